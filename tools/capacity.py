"""Recomputes the tables of docs/CAPACITY.md from docs/measurements/.

Usage: python3 tools/capacity.py [--check]

--check changes nothing and exits with 1 when the page is not what the files give.
"""

import json
import math
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
DESIGN_ROUTERS = 370
LIMITS = {"control bytes/s": 4096, "part of a core": 0.044, "resident bytes": 256 << 20}
CONFIG_CHANGES_PER_DAY = 1000
CHANGE_RECORD_BYTES = 400
OUTCOMES_KEPT_SECONDS = 600
OFFERS_PER_SECOND = 8


def load(name):
    with open(os.path.join(ROOT, "docs", "measurements", name), encoding="utf-8") as file:
        return json.load(file)["results"]


def short(value):
    if value >= 1 << 20:
        return f"{value / (1 << 20):.1f} MB"
    if value >= 1000:
        return f"{value / 1000:.1f} KB"
    return f"{value:.3g}"


def extrapolate(rows, field):
    """Power law through the two largest sizes measured, carried to the design size."""
    first, second = sorted(rows, key=lambda row: row["routers"])[-2:]
    exponent = math.log(second[field] / first[field]) / math.log(second["routers"] / first["routers"])
    return exponent, second[field] * (DESIGN_ROUTERS / second["routers"]) ** exponent


def verdict(value, limit):
    return f"holds, margin {limit / value:.1f}" if value <= limit else f"**over by {value / limit:.1f}**"


def slope_table(rows, title_rows):
    sizes = sorted(row["routers"] for row in rows)
    lines = ["| measure | " + " | ".join(f"{n} routers" for n in sizes) + " | exponent | at 370 (arithmetic) | limit | verdict |",
             "|---|" + "---|" * (len(sizes) + 4)]
    for title, field, limit in title_rows:
        values = [next(row[field] for row in rows if row["routers"] == n) for n in sizes]
        exponent, design = extrapolate(rows, field)
        limited = short(LIMITS[limit]) if limit else "-"
        judged = verdict(design, LIMITS[limit]) if limit else "-"
        lines.append(f"| {title} | " + " | ".join(short(it) for it in values) + f" | {exponent:.2f} | {short(design)} | {limited} | {judged} |")
    return lines


STEADY = (("control bytes/s, mean router", "steady/controlBytesPerSecond", "control bytes/s"),
          ("control bytes/s, busiest router", "steady/controlBytesPerSecondMost", "control bytes/s"),
          ("of these, gossip", "steady/gossipBytesPerSecond", None),
          ("segments sent/s", "segmentsPerSecond", None),
          ("deciding thread, mean router", "steady/coreFraction", "part of a core"),
          ("deciding thread, busiest router", "steady/coreFractionMost", "part of a core"),
          ("state of a busy router's core", "bytesPerBusyRouter", "resident bytes"))


def parts_table(parts):
    gossip = parts["gossipBytesPerSecond"]
    waiting = parts["schedulerBytesPerWaiting"] * 1000
    cell = parts["schedulerBytesPerTarget"] * 60 + parts["schedulerBytesPerCustomer"] * 1100
    outcomes = OFFERS_PER_SECOND * OUTCOMES_KEPT_SECONDS * parts["outcomeBytesPerEntry"]
    config = CONFIG_CHANGES_PER_DAY * CHANGE_RECORD_BYTES / 86400
    return ["| part | figure | how it comes about | carried by |", "|---|---|---|---|",
            f"| membership, messages | {gossip['370']} bytes/s | measured at 370 members (3: {gossip['3']}, 8: {gossip['8']}, 64: {gossip['64']}) | gossip with a fixed number of probes, `src/membership` |",
            f"| membership, joining | {short(parts['gossipBootBytesPerSecond370'])}/s for {parts['gossipBootSeconds370']:.0f} s | measured at 370 members starting at once | comparison of tables in parts |",
            f"| cell owner, processor | {parts['decisionMicroseconds']['1100x660']} µs a decision, {8 * parts['decisionMicroseconds']['1100x660'] / 1e4:.4f} % of a core at 8 decisions/s | measured at 1,100 customers and 660 targets ({parts['decisionMicroseconds']['16x9']} µs at 16 and 9) | indexed heaps, `src/scheduling` |",
            f"| cell owner, memory | {short(cell)} a pool, {short(waiting)} for 1,000 waiting requests | measured bytes per target, customer and waiting request, times 60, 1,100 and 1,000 | interned identifiers |",
            f"| outcome memory | {short(outcomes)} at 8 non-repeatable requests/s, kept 10 min; bounded at 32 MB | measured bytes per entry | `src/delivery`, oldest answer of the largest customer goes first |",
            f"| configuration, processor | {parts['applyChangeMilliseconds']} ms a change, {CONFIG_CHANGES_PER_DAY * parts['applyChangeMilliseconds'] / 1000 / 864:.6f} % of a core | measured at 1,100 customers and 660 targets | one copy of the view a batch, `src/config` |",
            f"| configuration, bytes | {config:.1f} bytes/s of records | 1,000 changes a day of about 400 bytes | log long poll, relay between routers |",
            f"| configuration, start | {parts['startMilliseconds']} ms and {short(parts['snapshotBytes'])} from a snapshot | measured; 290 restarts a day are one each 5 min in the fleet | snapshot with offset, from the log or a peer |",
            f"| entry, processor | {parts['customerByKeyMicroseconds']} µs to know a customer by its key | measured at 1,100 customers; counts as relaying | RCU snapshot, digest index |"]


def sections():
    after, before, parts = load("routing-slopes.json"), load("routing-slopes-before.json"), load("parts.json")
    return {"steady": slope_table(after, STEADY), "before": slope_table(before, STEADY[:5]), "parts": parts_table(parts)}


def rewritten(page):
    for name, lines in sections().items():
        pattern = re.compile(rf"(<!-- {name}:begin -->\n).*?(<!-- {name}:end -->)", re.S)
        if not pattern.search(page):
            raise SystemExit(f"docs/CAPACITY.md has no place marked {name}; put the markers back")
        page = pattern.sub(lambda match: match.group(1) + "\n".join(lines) + "\n" + match.group(2), page)
    return page


def main():
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    wanted = rewritten(page)
    if "--check" in sys.argv:
        if page != wanted:
            raise SystemExit("docs/CAPACITY.md is not what docs/measurements gives; run python3 tools/capacity.py")
        return
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(wanted)


if __name__ == "__main__":
    main()
