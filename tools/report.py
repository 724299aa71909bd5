"""Draws reports of tools/experiment.sh as SVG, policy against policy.

Usage: python3 tools/report.py [--out docs/figures] REPORT.json...

Each figure is one measure of one deployment: a group of bars for each scenario, a bar for each policy. A run of the same
scenario, deployment and policy with several seeds becomes one bar, its mean, with a line from the least to the most.
"""

import argparse
import collections
import html
import json
import os
import sys

POLICIES = ("cells", "static", "fifo")
COLOURS = {"cells": "#1b6e8c", "static": "#c98a1b", "fifo": "#8c4b6e"}
MEASURES = (
    ("fairnessGapMax", "fairness gap, cost units per weight", 1),
    ("utilisation", "slot time in use while work waits, %", 100),
    ("controlBytesPerSecondMax", "control traffic of the busiest router, bytes/s", 1),
    ("waitMsP95Smallest", "95th percentile of the wait, customers of weight 1, ms", 1),
)
BAR, GAP, GROUP_GAP, HEIGHT, LEFT, TOP, BOTTOM = 16, 3, 22, 220, 70, 54, 96


def measure(report, field):
    if field != "waitMsP95Smallest":
        return report.get(field)
    waits = [row["waitMsP95"] for row in report["customers"] if row["weight"] <= 1 and row["waitMsP95"] is not None]
    return max(waits) if waits else None


def collect(reports, deployment, field):
    """Returns {scenario: {policy: [value...]}} in the order of the reports."""
    values = collections.OrderedDict()
    for report in reports:
        value = measure(report, field)
        if report["deployment"] == deployment and value is not None:
            values.setdefault(report["scenario"], {}).setdefault(report["policy"], []).append(value)
    return values


def round_up(value):
    if value <= 0:
        return 1
    power = 10 ** (len(str(int(value))) - 1) if value >= 1 else 0.1
    return next(step * power for step in (1, 1.5, 2, 3, 4, 5, 6, 8, 10) if step * power >= value)


class Chart:
    """Writes one SVG."""

    def __init__(self, title, groups, scale):
        self._title = title
        self._groups = {name: {policy: [value * scale for value in values] for policy, values in bars.items()}
                        for name, bars in groups.items()}
        self._policies = [policy for policy in POLICIES if any(policy in bars for bars in self._groups.values())]
        self._top = round_up(max(max(values) for bars in self._groups.values() for values in bars.values()))
        self._group_width = len(self._policies) * (BAR + GAP) + GROUP_GAP
        self._width = max(420, LEFT + len(self._groups) * self._group_width + 20)
        self._parts = []

    def _y(self, value):
        return TOP + HEIGHT * (1 - value / self._top)

    def _text(self, x, y, text, anchor="start", extra=""):
        self._parts.append(f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" {extra}>{html.escape(text)}</text>')

    def _rectangle(self, x, y, width, height, colour):
        self._parts.append(f'<rect x="{x:.1f}" y="{y:.1f}" width="{width}" height="{height:.1f}" fill="{colour}"/>')

    def _line(self, x1, y1, x2, y2, colour):
        self._parts.append(f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" stroke="{colour}"/>')

    def _axis(self):
        for step in range(5):
            value = self._top * step / 4
            self._line(LEFT, self._y(value), self._width - 10, self._y(value), "#ddd")
            self._text(LEFT - 6, self._y(value) + 4, f"{value:g}", "end")

    def _legend(self):
        x = LEFT
        for policy in self._policies:
            self._rectangle(x, 30, 10, 10, COLOURS[policy])
            self._text(x + 14, 39, policy)
            x += 70

    def _bar(self, x, policy, values):
        mean = sum(values) / len(values)
        self._rectangle(x, self._y(mean), BAR, TOP + HEIGHT - self._y(mean), COLOURS[policy])
        if len(values) > 1:
            self._line(x + BAR / 2, self._y(min(values)), x + BAR / 2, self._y(max(values)), "#222")

    def _group(self, index, name, bars):
        x = LEFT + 10 + index * self._group_width
        for position, policy in enumerate(self._policies):
            if policy in bars:
                self._bar(x + position * (BAR + GAP), policy, bars[policy])
        centre, y = x + (self._group_width - GROUP_GAP) / 2, TOP + HEIGHT + 14
        self._text(centre, y, name, "end", f'transform="rotate(-40 {centre:.1f} {y})"')

    def draw(self):
        self._text(LEFT, 20, self._title, extra='font-weight="bold"')
        self._axis()
        self._legend()
        for index, (name, bars) in enumerate(self._groups.items()):
            self._group(index, name, bars)
        height = TOP + HEIGHT + BOTTOM
        return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{self._width}" height="{height}" '
                f'viewBox="0 0 {self._width} {height}" font-family="sans-serif" font-size="11">\n'
                f'<rect width="100%" height="100%" fill="white"/>\n' + "\n".join(self._parts) + "\n</svg>\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--out", default="docs/figures")
    parser.add_argument("reports", nargs="+")
    args = parser.parse_args()
    reports = []
    for path in args.reports:
        with open(path) as file:
            reports.append(json.load(file))
    os.makedirs(args.out, exist_ok=True)
    for deployment in sorted({report["deployment"] for report in reports}):
        for field, title, scale in MEASURES:
            groups = collect(reports, deployment, field)
            if not groups:
                continue
            path = os.path.join(args.out, f"{deployment}-{field}.svg")
            with open(path, "w") as file:
                file.write(Chart(f"{deployment}: {title}", groups, scale).draw())
            print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
