"""Runs one scenario, or all, on real processes over loopback. Called by tools/experiment.sh."""

import argparse
import copy
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from fleet import Fleet, TrialError, clean_environment
from scenarios import SCENARIOS, Trial

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROBE_AT_SECONDS = 3.0
IN_FORCE_SECONDS = 20
PATIENCE_SECONDS = 30
LOAD_SLACK_SECONDS = 60
PROMISES = ("lost", "doubled", "crossed", "falseNotRun", "malformed")


def say(text):
    print(f"== {text}", flush=True)


class EventsFile:
    """Tells the load tool what was done and when."""

    def __init__(self, path):
        self._path = path
        self._lock = threading.Lock()
        open(path, "w").close()

    def note(self, event, at=None, **fields):
        line = json.dumps({"atUnixMs": round((at or time.time()) * 1000), "event": event, **fields})
        with self._lock, open(self._path, "a") as file:
            file.write(line + "\n")
        if event != "fault":
            return
        say("   " + fields.get("text", ""))


def load_plan(args, scenario_name, fleet, deployment, events_path):
    scenario = SCENARIOS[scenario_name]
    flows = scenario.load(copy.deepcopy(deployment["flows"]), deployment, fleet)
    return {
        "scenario": scenario_name, "deployment": deployment["name"], "policy": args.policy, "seed": args.seed,
        "durationMs": round(scenario.seconds * 1000), "warmUpMs": 2000, "patienceMs": PATIENCE_SECONDS * 1000,
        "runsEveryMs": 250 if scenario_name in ("target-crash", "acceptance") else 2000, "eventsFile": events_path,
        "entries": [plan["address"] for plan in fleet.routers],
        "routers": [{"vm": plan["vm"], "zone": plan["zone"], "address": plan["address"],
                     "processId": fleet.router_processes[plan["vm"]].pid} for plan in fleet.routers],
        "targets": [{"name": plan["name"], "pool": plan["pool"], "address": plan["address"]} for plan in fleet.targets],
        "services": [{"name": it["name"], "pool": it["pool"], "mode": it["mode"]} for it in deployment["services"]],
        "customers": [{"name": it["name"], "key": fleet.customer_key(it["name"]), "weight": it["weight"]}
                      for it in deployment["customers"]],
        "flows": flows,
    }


def probe_configuration(fleet, events):
    """Declares a customer and times how long until every running router knows its key."""
    key = f"probe-{time.time_ns()}"
    started = time.time()
    fleet.apply([{"kind": "customer", "name": "probe", "spec": {"weight": 1, "key": key}}], wait=False)
    results = {}

    def watch(plan):
        known = fleet.wait_key_known(plan, key, IN_FORCE_SECONDS)
        results[plan["vm"]] = (time.time() - started) * 1000 if known else None

    watchers = [threading.Thread(target=watch, args=(plan,)) for plan in fleet.running_routers()]
    for watcher in watchers:
        watcher.start()
    for watcher in watchers:
        watcher.join()
    late = [vm for vm, value in results.items() if value is None]
    if late:
        raise TrialError(f"a change is not in force after {IN_FORCE_SECONDS} s on {', '.join(late)}")
    events.note("config-in-force", milliseconds=max(results.values()))


class FaultThread(threading.Thread):
    """Provokes what the scenario says while the load runs."""

    def __init__(self, scenario, fleet, events):
        super().__init__(daemon=True)
        self._scenario = scenario
        self._fleet = fleet
        self._events = events
        self.error = None

    def run(self):
        try:
            time.sleep(PROBE_AT_SECONDS)
            probe_configuration(self._fleet, self._events)
            time.sleep(max(0.0, self._scenario.fault_at - PROBE_AT_SECONDS))
            if self._scenario.fault:
                self._scenario.fault(Trial(self._fleet, self._events.note))
        except Exception as error:  # Reported by whoever joins: a fault that was not provoked must not look like a pass.
            self.error = error


def run_load(args, fleet, plan, report_path):
    plan_path = os.path.join(fleet.log_directory, "plan.json")
    with open(plan_path, "w") as file:
        json.dump(plan, file, indent=1)
    command = [fleet.binary("sagechute-load"), "--plan", plan_path, "--report", report_path, "--threads", str(args.load_threads)]
    seconds = plan["durationMs"] / 1000 + PATIENCE_SECONDS + LOAD_SLACK_SECONDS
    return subprocess.run(command, env=clean_environment(), timeout=seconds, check=False).returncode


def run_scenario(args, name, report_path):
    """Returns the load tool's exit code."""
    scenario = SCENARIOS[name]
    with open(os.path.join(ROOT, "deployments", args.deployment + ".json")) as file:
        deployment = json.load(file)
    log_directory = tempfile.mkdtemp(prefix=f"sagechute-{name}-")
    say(f"{name}: {scenario.summary}")
    say(f"{args.deployment}, policy {args.policy}, {args.routers} routers, seed {args.seed}; logs in {log_directory}")
    fleet = Fleet(args.build, deployment, args.routers, args.policy, args.cells_per_pool, log_directory, args.port_base)
    events = EventsFile(os.path.join(log_directory, "events.jsonl"))
    try:
        say(f"starting the stand-ins ({len(fleet.targets)} targets, 1 platform), {args.routers} routers and the API")
        fleet.start()
        say("declaring customers, services and targets with sagechutectl apply")
        fleet.declare()
        say(f"sending requests for {scenario.seconds} s and checking every answer")
        fault = FaultThread(scenario, fleet, events)
        fault.start()
        code = run_load(args, fleet, load_plan(args, name, fleet, deployment, events_path=os.path.join(log_directory, "events.jsonl")),
                        report_path)
        fault.join(PATIENCE_SECONDS)
        if fault.error or fault.is_alive():
            raise TrialError(f"the fault was not provoked as planned: {fault.error or 'it did not end'}")
        return code
    finally:
        say("ending all processes that were started")
        # A second Ctrl-C here would leave the rest running.
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        for stubborn in fleet.stop():
            say(f"   {stubborn} did not stop when asked and was killed")
        obey_signals()


def obey_signals():
    """Lets Ctrl-C and SIGTERM end the script through its clean-up; by default SIGTERM would leave its processes running."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))


def summary_line(name, report):
    number = lambda field, form: form.format(report[field]) if report.get(field) is not None else "-"
    broken = sum(report.get(field) or 0 for field in PROMISES)
    return (f"{name:<15}{report['requests']:>9}{report['completed']:>10}{report['refusedNotRun']:>9}{broken:>8}"
            f"{number('fairnessGapMax', '{:.0f}'):>9}{number('fairnessGapBound', '{:.0f}'):>9}"
            f"{number('utilisation', '{:.3f}'):>8}")


def run_all(args):
    directory = args.out or tempfile.mkdtemp(prefix="sagechute-reports-")
    os.makedirs(directory, exist_ok=True)
    worst = 0
    lines = []
    names = [name for name in SCENARIOS if name != "demo"]
    for number, name in enumerate(names, 1):
        say(f"[{number}/{len(names)}]")
        path = os.path.join(directory, f"{name}-{args.deployment}-{args.policy}.json")
        try:
            code = run_scenario(args, name, path)
            with open(path) as file:
                lines.append(summary_line(name, json.load(file)))
        except (TrialError, OSError, subprocess.TimeoutExpired) as error:
            say(f"{name} did not run to its end: {error}")
            lines.append(f"{name:<15} NOT RUN TO ITS END")
            code = 1
        worst = max(worst, code)
    print(f"\n{'scenario':<15}{'requests':>9}{'completed':>10}{'refused':>9}{'broken':>8}{'gap':>9}{'bound':>9}{'util':>8}")
    print("\n".join(lines))
    say(f"reports in {directory}")
    return worst


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/experiment.sh", description=__doc__)
    parser.add_argument("scenario", nargs="?", help="a name from --list, or all")
    parser.add_argument("--list", action="store_true", help="name the scenarios and end")
    parser.add_argument("--policy", choices=["cells", "static", "fifo"], default="cells")
    parser.add_argument("--deployment", choices=["bureau", "himalbid"], default="bureau")
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cells-per-pool", type=int, default=0, help="0: what the fleet resource says, a cell for every two targets")
    parser.add_argument("--out", help="the JSON report (for all: a directory)")
    parser.add_argument("--build", default=os.path.join(ROOT, "build"), help="where the binaries are")
    parser.add_argument("--port-base", type=int, default=20000)
    parser.add_argument("--load-threads", type=int, default=2)
    args = parser.parse_args()
    if not args.list and args.scenario not in (*SCENARIOS, "all"):
        parser.error("name a scenario of --list, or all")
    return args


def main():
    args = parse_arguments()
    if args.list:
        for name, scenario in SCENARIOS.items():
            print(f"{name:<15}{scenario.summary}")
        return 0
    obey_signals()
    try:
        if args.scenario == "all":
            return run_all(args)
        path = args.out or os.path.join(tempfile.mkdtemp(prefix="sagechute-report-"), args.scenario + ".json")
        code = run_scenario(args, args.scenario, path)
        say(f"report in {path}")
        return code
    except (TrialError, subprocess.TimeoutExpired) as error:
        print(f"experiment: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
