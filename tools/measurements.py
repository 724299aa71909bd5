"""Files of measurements: small, rounded, with date, command, cores and load average beside the figures."""

import datetime
import json
import math
import os

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DIRECTORY = os.path.join(ROOT, "docs", "measurements")
SIGNIFICANT_DIGITS = 4


def rounded(value):
    """Rounds every number in a document; more digits than these are noise on a shared machine."""
    if isinstance(value, dict):
        return {name: rounded(it) for name, it in value.items()}
    if isinstance(value, list):
        return [rounded(it) for it in value]
    if isinstance(value, float):
        short = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
        return int(short) if short.is_integer() else short
    return value


def quantile(values, part):
    """The smallest value that at least this part of the values does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * part) - 1)]


def percentiles(values):
    if not values:
        return None
    return {"p50": quantile(values, 0.5), "p95": quantile(values, 0.95), "p99": quantile(values, 0.99), "most": max(values)}


class Measurement:
    """One file: begun before the run, so that the load average tells what else the machine did."""

    def __init__(self, name, command, directory=DIRECTORY):
        self._path = os.path.join(directory, name + ".json")
        self._document = {"date": datetime.datetime.now(datetime.timezone.utc).strftime("%Y-%m-%d %H:%M UTC"), "command": command,
                          "machine": {"cores": os.cpu_count()}, "loadAverageBefore": os.getloadavg()[0]}

    def write(self, results):
        self._document["loadAverageAfter"] = os.getloadavg()[0]
        self._document["results"] = results
        os.makedirs(os.path.dirname(self._path), exist_ok=True)
        with open(self._path, "w") as file:
            json.dump(rounded(self._document), file, indent=1)
            file.write("\n")
        print(f"== wrote {os.path.relpath(self._path, ROOT)}", flush=True)


def read(name, directory=DIRECTORY):
    """Returns the document of that name, or None when it was not measured yet."""
    path = os.path.join(directory, name + ".json")
    if not os.path.exists(path):
        return None
    with open(path) as file:
        return json.load(file)
