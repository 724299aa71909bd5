"""What one edge router costs and adds, on loopback: processor time by part, latency against the target directly.

    tools/path_cost.py --build build                      all loads with a whole core
    tools/path_cost.py --build build --share 0.12         the router runs 12 ms of each 100 ms, as under a quota
    tools/path_cost.py --build build --load streams       one load

Prints a table and, with --json FILE, writes the figures. Needs no rights: processor time and switches come from /proc, the share is kept by
SIGSTOP and SIGCONT. Ends only processes that it started.
"""

import argparse
import json
import os
import signal
import subprocess
import threading
import time

from platform_fleet import HOST, KEY, Fleet

IDLE_SECONDS = 4
PERIOD_SECONDS = 0.1

# name: requests a second, path, events of a stream (0: an application's answer), key
LOADS = {
    "answers": (200, "/posts/x", 0, KEY),
    "short streams": (150, "/answers/x", 1, KEY),
    "streams": (100, "/answers/x", 40, KEY),
    "refusals": (400, "/posts/x", 0, "wrong"),
}


class Meter:
    """Processor time and context switches of a process, all threads."""

    def __init__(self, pid):
        self._pid = pid

    def read(self):
        seconds, switches = 0.0, 0
        for task in os.listdir(f"/proc/{self._pid}/task"):
            base = f"/proc/{self._pid}/task/{task}/"
            with open(base + "schedstat", encoding="ascii") as file:
                seconds += int(file.read().split()[0]) / 1e9
            with open(base + "status", encoding="ascii") as file:
                switches += sum(int(line.split()[1]) for line in file if "ctxt_switches" in line)
        return seconds, switches

    def resident_mb(self):
        with open(f"/proc/{self._pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


class Share(threading.Thread):
    """Lets a process run for a part of each tenth of a second only."""

    def __init__(self, pid, share):
        super().__init__(daemon=True)
        self._pid, self._share = pid, share
        self.is_over = threading.Event()

    def run(self):
        while not self.is_over.is_set():
            os.kill(self._pid, signal.SIGCONT)
            time.sleep(PERIOD_SECONDS * self._share)
            os.kill(self._pid, signal.SIGSTOP)
            time.sleep(PERIOD_SECONDS * (1 - self._share))
        os.kill(self._pid, signal.SIGCONT)


def send(build, address, load, seconds, rate):
    _, path, events, key = load
    headers = [f"Host={HOST}", "X-Sagechute-Deadline-Ms=15000", f"Api-Key={key}"]
    if events:
        headers += ["X-Sagechute-Model=m", "X-Sagechute-Token-Usage=1000,40", "X-Sagechute-Prompt-Prefix=5c1e07a2:800;77:200"]
    command = [os.path.join(build, "sagechute-path-load"), "--to", address, "--path", path, "--rate", str(rate),
               "--lasts", f"{int(seconds * 1000)}ms", "--id-header", "X-Sagechute-Attempt-Id", "--body-bytes", "500"]
    for header in headers:
        command += ["--header", header]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=seconds + 60)
    return json.loads(done.stdout)


def measure(build, name, seconds, share, scale):
    rate, path, events, _ = LOADS[name]
    rate *= scale
    arguments = ["--events", str(max(1, events)), "--event-interval", "20ms"]
    with Fleet(build, routers=1, engines=2, applications=2, worker_arguments=arguments) as fleet:
        fleet.wait_ready()
        process = fleet.routers[0]["process"]
        pid = process.child.pid
        meter = Meter(pid)
        before = meter.read()
        time.sleep(IDLE_SECONDS)
        idle = (meter.read()[0] - before[0]) / IDLE_SECONDS
        keeper = Share(pid, share)
        if share < 1:
            keeper.start()
        before, began = meter.read(), time.monotonic()
        seen = send(build, fleet.routers[0]["front"], LOADS[name], seconds, rate)
        lasted = time.monotonic() - began
        after = meter.read()
        if share < 1:
            keeper.is_over.set()
            keeper.join()
        worker = fleet.workers["engine-0" if events else "app-0"]["address"]
        direct = send(build, worker, LOADS[name], min(seconds, 3), rate / 2)
        cost = after[0] - before[0] - idle * lasted
        return {
            "load": name, "share": share, "rate": rate, "sent": seen["sent"], "statuses": seen["statuses"],
            "idleCores": idle, "msPerRequest": 1000 * cost / seen["sent"],
            "switchesPerRequest": (after[1] - before[1]) / seen["sent"], "residentMb": meter.resident_mb(),
            "firstMs": seen["firstMs"], "directFirstMs": direct["firstMs"], "totalMs": seen["totalMs"],
            "eventsPerSecond": events * seen["statuses"].get("200", 0) / lasted,
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build", help="directory with the programs")
    parser.add_argument("--load", choices=sorted(LOADS), action="append", help="may be repeated; all if absent")
    parser.add_argument("--seconds", type=float, default=6.0, help="how long each load lasts")
    parser.add_argument("--share", type=float, default=1.0, help="part of a core that the router may use")
    parser.add_argument("--scale", type=float, default=1.0, help="times the loads' usual rates")
    parser.add_argument("--json", help="file that gets the figures")
    arguments = parser.parse_args()
    rows = []
    for name in arguments.load or LOADS:
        row = measure(arguments.build, name, arguments.seconds, arguments.share, arguments.scale)
        rows.append(row)
        print(f"{name:14} {row['rate']:6.0f}/s  {row['msPerRequest']:7.3f} ms processor a request, "
              f"{row['switchesPerRequest']:6.1f} switches, idle {row['idleCores']:.4f} cores, {row['residentMb']:.0f} MB, first "
              f"p50/p95/p99 {row['firstMs']['p50']:.2f}/{row['firstMs']['p95']:.2f}/{row['firstMs']['p99']:.2f} ms, direct "
              f"{row['directFirstMs']['p50']:.2f}/{row['directFirstMs']['p95']:.2f}/{row['directFirstMs']['p99']:.2f} ms, "
              f"{row['eventsPerSecond']:.0f} events/s, {row['statuses']}", flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
