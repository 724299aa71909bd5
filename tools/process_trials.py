"""Runs of real processes at several sizes: what routers, the steward and the API cost when idle and under load."""

import json
import math
import os
import re
import subprocess
import tempfile
import time

from fleet import OPERATOR_KEY, Fleet, Ports, TrialError, clean_environment, http
from measurements import Measurement

SETTLE_SECONDS = 10
WINDOW_SECONDS = 20
LOAD_LEAD_SECONDS = 8
STOP_SECONDS = 10
STEWARD_PORT = 900  # Beyond the ports of the fleet itself.
REQUESTS_PER_ROUTER = 8
TARGETS_PER_ROUTER = 660 / 370
CUSTOMERS = 30
METRIC = re.compile(r'^(\w+)(?:\{(.*)\})? ([-+.\deE]+)$')
LABEL = re.compile(r'(\w+)="([^"]*)"')


def deployment_of(routers, targets):
    """Targets and request rate for each router as at the size to design for, with shorter answers."""
    return {
        "name": "capacity", "region": "one", "zones": ["zone-a", "zone-b", "zone-c"],
        "pools": [{"name": "model", "mode": "engine", "targets": targets, "slots": 16,
                   "flags": ["--step-base", "40ms", "--step-per-running", "1ms", "--model", "appraiser", "--model-version", "1"]}],
        "services": [{"name": "appraise", "pool": "model", "mode": "engine", "repeatable": True}],
        "customers": [{"name": f"customer-{n:02}", "weight": 1} for n in range(CUSTOMERS)], "routers": routers,
    }


class FleetTrial:
    """A fleet that ends with its block."""

    def __init__(self, args, routers, targets):
        self.fleet = Fleet(args.build, deployment_of(routers, targets), routers, "cells", 0,
                           tempfile.mkdtemp(prefix="sagechute-measure-"), args.port_base)

    def __enter__(self):
        try:
            self.fleet.start()
            self.fleet.declare()
        except BaseException:
            self.fleet.stop()
            raise
        return self.fleet

    def __exit__(self, *_):
        self.fleet.stop()


def metrics(address):
    """Returns {(name, labels...): value} of a process's /metrics."""
    status, body = http("GET", address, "/metrics", timeout=5.0)
    if status != 200:
        raise TrialError(f"{address} gives no metrics (status {status})")
    values = {}
    for line in body.decode().splitlines():
        match = METRIC.match(line)
        if match:
            values[(match[1], *sorted(LABEL.findall(match[2] or "")))] = float(match[3])
    return values


def label(key, name):
    return dict(key[1:]).get(name, "")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def usage(pid, seconds=WINDOW_SECONDS):
    """What a process takes over a time."""
    before, started = processor_seconds(pid), time.monotonic()
    time.sleep(seconds)
    return {"processFraction": (processor_seconds(pid) - before) / (time.monotonic() - started),
            "residentBytes": resident_bytes(pid)}


class Sample:
    """The counters of all routers at one moment."""

    def __init__(self, fleet):
        self.at = time.monotonic()
        self.routers = {}
        for plan in fleet.running_routers():
            pid = fleet.router_processes[plan["vm"]].pid
            self.routers[plan["vm"]] = {"metrics": metrics(plan["address"]), "processor": processor_seconds(pid),
                                        "resident": resident_bytes(pid)}


def growth(before, after, name):
    """How much each counter of that name grew between two samples of one router."""
    return {key: value - before["metrics"].get(key, 0) for key, value in after["metrics"].items() if key[0] == name}


def router_rates(before, after, seconds):
    control = growth(before, after, "sagechute_control_bytes_total")
    by_purpose = {}
    for key, value in control.items():
        by_purpose[label(key, "purpose")] = by_purpose.get(label(key, "purpose"), 0) + value / seconds
    messages = {label(key, "kind"): value / seconds for key, value in growth(before, after, "sagechute_messages_total").items()}
    payload = {label(key, "kind"): value / seconds for key, value in growth(before, after, "sagechute_message_bytes_total").items()}
    core = sum(growth(before, after, "sagechute_core_cpu_seconds").values()) / seconds
    ended = sum(growth(before, after, "sagechute_requests_total").values()) / seconds
    return {"controlBytesPerSecond": sum(by_purpose.values()), "byPurpose": by_purpose, "messagesPerSecond": messages,
            "payloadBytesPerSecond": payload, "coreFraction": core, "requestsPerSecond": ended,
            "processFraction": (after["processor"] - before["processor"]) / seconds, "residentBytes": after["resident"]}


def average(rows, field):
    """The mean of a number, or of each number in a table, over routers."""
    if isinstance(rows[0][field], dict):
        names = sorted({name for row in rows for name in row[field]})
        return {name: sum(row[field].get(name, 0) for row in rows) / len(rows) for name in names}
    return sum(row[field] for row in rows) / len(rows)


def window(fleet, seconds=WINDOW_SECONDS):
    """Mean and largest rates of all routers over a time."""
    first = Sample(fleet)
    time.sleep(seconds)
    last = Sample(fleet)
    rows = [router_rates(first.routers[vm], last.routers[vm], last.at - first.at) for vm in last.routers if vm in first.routers]
    result = {field: average(rows, field) for field in rows[0]}
    result["controlBytesPerSecondMost"] = max(row["controlBytesPerSecond"] for row in rows)
    result["coreFractionMost"] = max(row["coreFraction"] for row in rows)
    result["residentBytesMost"] = max(row["residentBytes"] for row in rows)
    return result


def load_plan(fleet, seconds, per_second, flows=None):
    """A plan of sagechute-load for the fleet."""
    names = [it["name"] for it in fleet.deployment["customers"]]
    flows = flows or [{"customer": name, "service": "appraise", "arrival": "open", "perSecond": per_second / len(names),
                       "clients": 8, "streamed": True, "promptBytes": 256,
                       "maxTokens": {"shape": "uniform", "least": 20, "most": 60}} for name in names]
    return {
        "scenario": "capacity", "deployment": fleet.deployment["name"], "policy": "cells", "seed": 1,
        "durationMs": round(seconds * 1000), "warmUpMs": 2000, "patienceMs": 60000, "runsEveryMs": 60000,
        "sampleEveryMs": 5000, "entries": [plan["address"] for plan in fleet.routers], "routers": [],
        "targets": [],
        "services": [{"name": it["name"], "pool": it["pool"], "mode": it["mode"]} for it in fleet.deployment["services"]],
        "customers": [{"name": name, "key": fleet.customer_key(name), "weight": 1} for name in names], "flows": flows,
    }


class Beside:
    """A process beside the fleet, ended with its block."""

    def __init__(self, fleet, name, command, environment=None):
        self._log = open(os.path.join(fleet.log_directory, name + ".log"), "ab")
        self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=self._log, stderr=self._log,
                                        env={**clean_environment(), **(environment or {})})

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._log.close()


class Load(Beside):
    """sagechute-load beside the measuring."""

    def __init__(self, fleet, plan, threads=4):
        self._report = os.path.join(fleet.log_directory, "report.json")
        path = os.path.join(fleet.log_directory, "plan.json")
        with open(path, "w") as file:
            json.dump(plan, file)
        self._seconds = plan["durationMs"] / 1000 + plan["patienceMs"] / 1000 + 30
        super().__init__(fleet, "load", [fleet.binary("sagechute-load"), "--plan", path, "--report", self._report,
                                         "--threads", str(threads)])

    def report(self):
        self.process.wait(self._seconds)
        if not os.path.exists(self._report):
            raise TrialError("sagechute-load ended without a report")
        with open(self._report) as file:
            return json.load(file)


def promises(report):
    return {name: report[name] for name in ("requests", "completed", "refusedNotRun", "unknown", "incomplete", "lost", "doubled",
                                            "crossed", "falseNotRun", "malformed")}


def measure_routers(args):
    sizes = " ".join(str(n) for n in args.routers)
    measurement = Measurement("processes", f"tools/measure.sh build processes --routers {sizes}", args.out)
    rows = []
    for routers in args.routers:
        targets = max(2, math.ceil(routers * TARGETS_PER_ROUTER))
        print(f"== {routers} routers, {targets} targets", flush=True)
        with FleetTrial(args, routers, targets) as fleet:
            time.sleep(SETTLE_SECONDS)
            row = {"routers": routers, "targets": targets, "customers": CUSTOMERS, "loadAverage": os.getloadavg()[0]}
            row["idle"] = window(fleet)
            plan = load_plan(fleet, LOAD_LEAD_SECONDS + WINDOW_SECONDS + 4, REQUESTS_PER_ROUTER * routers)
            with Load(fleet, plan) as load:
                time.sleep(LOAD_LEAD_SECONDS)
                row["busy"] = window(fleet)
                row["callers"] = promises(load.report())
            rows.append(row)
    measurement.write(rows)


def measure_steward(args):
    """The steward with all its targets' states wanted, at several numbers of targets."""
    measurement = Measurement("steward", "tools/measure.sh build steward", args.out)
    rows = []
    for targets in (4, 20, 60):
        with FleetTrial(args, 1, targets) as fleet:
            address = Ports(args.port_base + STEWARD_PORT).take()
            wanted = [fleet.target_resource(plan, "serving") for plan in fleet.targets]
            for resource in wanted:
                resource["spec"].update(model="appraiser", version="1")
            command = [fleet.binary("sagechute-steward"), "--vm-id", "zone-a-1", "--platform", "http://" + fleet.platform,
                       "--listen", address]
            with Beside(fleet, "steward", command) as steward:
                fleet.wait_ready([("the steward", address, "/healthz")])
                fleet.apply(wanted)
                time.sleep(SETTLE_SECONDS)
                rows.append({"targets": targets, **usage(steward.process.pid)})
    measurement.write(rows)


def api_row(fleet):
    row = usage(fleet.api_process.pid)
    _, status = http("GET", fleet.routers[0]["address"], "/v1/status", timeout=5.0)
    _, document = http("GET", fleet.api, "/v1/fleet", headers={"Authorization": "Bearer " + OPERATOR_KEY}, timeout=5.0)
    return {**row, "statusBytesOfARouter": len(status), "fleetDocumentBytes": len(document)}


def measure_api(args):
    sizes = [n for n in args.routers if n <= 32]
    measurement = Measurement("api", "tools/measure.sh build api", args.out)
    rows = []
    for routers in sizes:
        with FleetTrial(args, routers, max(2, math.ceil(routers * TARGETS_PER_ROUTER))) as fleet:
            time.sleep(SETTLE_SECONDS)
            rows.append({"routers": routers, **api_row(fleet)})
    measurement.write(rows)
