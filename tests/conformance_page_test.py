"""Holds docs/CONFORMANCE.md to the rows that tools/conformance.py plays. Run by ctest."""

import os
import re
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))
from conformance import TOGETHER  # noqa: E402
from trial_callers import CALLS  # noqa: E402
from trial_faults import FAULTS  # noqa: E402

PAGE = os.path.join(HERE, "..", "docs", "CONFORMANCE.md")
ANY_TARGET = " of *"


def named_rows():
    """The rows that the page's tables name in code font."""
    rows = set()
    with open(PAGE, encoding="utf-8") as file:
        for line in file:
            if not line.startswith("|"):
                continue
            for name in re.findall(r"`([^`]+)`", line.split("|")[2]):
                stem = name.removesuffix(ANY_TARGET)
                rows |= {stem + " of engine", stem + " of app"} if name.endswith(ANY_TARGET) else {name}
    return rows


class ConformancePageTest(unittest.TestCase):
    def test_names_each_row_of_the_run(self):
        """Guards against a row that the page leaves out, or a row on the page that nothing plays."""
        self.assertEqual(named_rows(), {it.name for it in FAULTS} | set(CALLS))

    def test_counts_the_rows_of_the_run(self):
        """Guards against counts on the page that are not those of the run."""
        with open(PAGE, encoding="utf-8") as file:
            counts = re.findall(r"(\d+) rows and (\d+) pairs, .*: (\d+) of targets, .*, (\d+) of callers", file.read())
        total = len(FAULTS) + len(CALLS)
        self.assertEqual(counts, [tuple(map(str, (total, len(TOGETHER), len(FAULTS), len(CALLS))))])


if __name__ == "__main__":
    unittest.main()
