"""Keeps the figures of experiment reports that docs/MEASUREMENTS.md uses, rounded, in one small file.

Usage: python3 tools/scenario_rows.py OUT.json REPORT.json...
"""

import json
import sys

FIELDS = ("scenario", "deployment", "policy", "seed", "routers", "requests", "completed", "refusedNotRun", "unknown",
          "incomplete", "lost", "doubled", "crossed", "falseNotRun", "fairnessGapMax", "fairnessGapBound", "utilisation",
          "idleWhileWaitingSeconds", "controlBytesPerSecondMax", "controlCpuFractionMax", "residentBytesMax",
          "firstTokenMsP95", "tokenGapMsP95", "configInForceMsMax", "newWorkAfterLeaveMs")
POOL_FIELDS = ("pool", "fairnessGapMax", "fairnessGapBound", "utilisation")


def rounded(value):
    return float(f"{value:.4g}") if isinstance(value, float) else value


def row(path):
    with open(path, encoding="utf-8") as file:
        report = json.load(file)
    kept = {name: rounded(report.get(name)) for name in FIELDS}
    kept["pools"] = [{name: rounded(pool.get(name)) for name in POOL_FIELDS} for pool in report["pools"]]
    return kept


def main():
    out, reports = sys.argv[1], sys.argv[2:]
    rows = sorted((row(path) for path in reports), key=lambda it: (it["deployment"], it["scenario"], it["policy"]))
    with open(out, "w", encoding="utf-8") as file:
        json.dump({"command": "tools/experiment.sh SCENARIO --deployment D --policy P --routers 8", "rows": rows}, file, indent=1)
        file.write("\n")


if __name__ == "__main__":
    main()
