"""What one router adds to a request's time, and how many requests and tokens it carries, on real processes over loopback."""

import http.client
import json
import os
import tempfile
import time

from fleet import Fleet, TrialError
from fleet import http as http_get
from measurements import Measurement, percentiles
from process_trials import Load, Sample, load_plan, processor_seconds, promises

SETTLE_SECONDS = 3
ROUNDS = 20
REQUESTS_PER_ROUND = 100
LOAD_SECONDS = 15
LEAD_SECONDS = 4
COUNT_SECONDS = 8
CLOSED_CALLERS = 64
STREAMS = 512
STREAM_TARGETS = 8
LOAD_THREADS = 4
PROMPT_BYTES = 64
INPUT_COST = PROMPT_BYTES / 4 / 4


def deployment_of(mode, targets, slots, flags):
    return {"name": "relay", "region": "one", "zones": ["zone-a"],
            "pools": [{"name": "pool", "mode": mode, "targets": targets, "slots": slots, "flags": flags}],
            "services": [{"name": "call", "pool": "pool", "mode": mode, "repeatable": True}],
            "customers": [{"name": f"customer-{n}", "weight": 1, "maxQueued": 100000, "maxConnections": 100000} for n in range(4)]}


class Running:
    """A fleet of one or two routers that ends with its block."""

    def __init__(self, args, deployment, routers=1, cells_per_pool=0):
        self.fleet = Fleet(args.build, deployment, routers, "cells", cells_per_pool, tempfile.mkdtemp(prefix="sagechute-relay-"),
                           args.port_base)

    def __enter__(self):
        try:
            self.fleet.start()
            self.fleet.declare()
        except BaseException:
            self.fleet.stop()
            raise
        time.sleep(SETTLE_SECONDS)
        return self.fleet

    def __exit__(self, *_):
        self.fleet.stop()


class Way:
    """One way to a target, on one connection that is kept."""

    def __init__(self, address, path, headers):
        self._connection = http.client.HTTPConnection(address, timeout=10)
        self._path = path
        self._headers = headers
        self.milliseconds = []

    def send(self, count):
        for number in range(count):
            headers = self._headers or {"Sagechute-Request-Id": f"direct.1.{number}"}
            started = time.perf_counter()
            self._connection.request("POST", self._path, body=b'{"work": 0.001}', headers=headers)
            answer = self._connection.getresponse()
            answer.read()
            self.milliseconds.append((time.perf_counter() - started) * 1000)
            if answer.status != 200:
                raise TrialError(f"{self._path} answered {answer.status}")


def caller_headers(fleet, repeatable):
    return {"Authorization": "Bearer " + fleet.customer_key("customer-0"), "Sagechute-Repeatable": repeatable}


def owner_and_other(fleet):
    """The plans of the router that owns the pool's one cell and of another one."""
    owners, others = [], []
    for plan in fleet.routers:
        connection = http.client.HTTPConnection(plan["address"], timeout=5)
        connection.request("GET", "/v1/status")
        pools = json.loads(connection.getresponse().read())["pools"]
        (owners if any(pool["cellsOwned"] for pool in pools) else others).append(plan)
    return owners[0], others[0] if others else None


def added(way, direct):
    """Differences of the percentiles; the rounds alternate, so both ways met the same load of the machine."""
    own, other = percentiles(way.milliseconds), percentiles(direct.milliseconds)
    return {name: own[name] - other[name] for name in ("p50", "p95", "p99")}


def measure_latency(args):
    measurement = Measurement("latency", "tools/measure.sh build latency", args.out)
    flags = ["--service-time", "1ms", "--service-jitter", "0"]
    with Running(args, deployment_of("application", 1, 64, flags), routers=2, cells_per_pool=1) as fleet:
        owner, other = owner_and_other(fleet)
        path = "/v1/services/call/requests"
        ways = {"direct": Way(fleet.targets[0]["address"], "/v1/call", {}),
                "throughOwner": Way(owner["address"], path, caller_headers(fleet, "yes")),
                "throughOwnerNotRepeatable": Way(owner["address"], path, caller_headers(fleet, "no"))}
        if other:
            ways["throughAnotherRouter"] = Way(other["address"], path, caller_headers(fleet, "yes"))
        for _ in range(ROUNDS):
            for way in ways.values():
                way.send(REQUESTS_PER_ROUND)
    results = {name: percentiles(way.milliseconds) for name, way in ways.items()}
    results["addedMs"] = {name: added(way, ways["direct"]) for name, way in ways.items() if name != "direct"}
    results["requestsPerWay"] = ROUNDS * REQUESTS_PER_ROUND
    measurement.write(results)


def cost_started(fleet):
    """What all targets have charged, and how many requests they have begun."""
    cost, started = 0, 0
    for plan in fleet.targets:
        _, body = http_get("GET", plan["address"], "/standin/stats", timeout=5.0)
        stats = json.loads(body)
        cost += sum(stats["costByCustomer"].values())
        started += sum(stats["startedByCustomer"].values())
    return cost, started


def under_load(fleet, flows, threads=LOAD_THREADS, seconds=LOAD_SECONDS, lead=LEAD_SECONDS):
    """Counts what the one router does in the middle of a load, and what processor time it and the others take."""
    router = fleet.router_processes[fleet.routers[0]["vm"]]
    targets = list(fleet.target_processes.values())
    with Load(fleet, load_plan(fleet, seconds, 0, flows), threads) as load:
        time.sleep(lead)
        cost_before, started_before = cost_started(fleet)
        first, first_targets = Sample(fleet), sum(processor_seconds(it.pid) for it in targets)
        load_before = processor_seconds(load.process.pid)
        time.sleep(COUNT_SECONDS)
        last, last_targets = Sample(fleet), sum(processor_seconds(it.pid) for it in targets)
        load_processor = processor_seconds(load.process.pid) - load_before
        cost_after, started_after = cost_started(fleet)
        report = load.report()
    vm = fleet.routers[0]["vm"]
    before, after, span = first.routers[vm], last.routers[vm], last.at - first.at
    ended = sum(value - before["metrics"].get(key, 0) for key, value in after["metrics"].items() if key[0] == "sagechute_requests_total")
    core = after["metrics"][("sagechute_core_cpu_seconds",)] - before["metrics"][("sagechute_core_cpu_seconds",)]
    processor = after["processor"] - before["processor"]
    row = {"requestsPerSecond": ended / span, "routerFraction": processor / span, "coreThreadFraction": core / span,
           "targetsFraction": (last_targets - first_targets) / span, "loadFraction": load_processor / span,
           "residentBytes": after["resident"], "callers": promises(report)}
    # An engine's cost unit is a token, and a quarter for each token of the prompt.
    tokens = cost_after - cost_before - INPUT_COST * (started_after - started_before)
    return row, processor, ended, tokens, span


def measure_requests(args):
    """Short whole answers from an application that takes hardly any time."""
    measurement = Measurement("requests", "tools/measure.sh build requests", args.out)
    results = {}
    flags = ["--service-time", "1ms", "--service-jitter", "0", "--threads", "4"]
    with Running(args, deployment_of("application", 4, 64, flags)) as fleet:
        for callers in (1, 8, CLOSED_CALLERS):
            flows = [{"customer": f"customer-{n}", "service": "call", "callers": max(1, callers // 4), "promptBytes": 64}
                     for n in range(min(4, callers))]
            row, processor, ended, _, _ = under_load(fleet, flows)
            results[f"{callers} callers"] = {**row, "routerMicrosecondsPerRequest": processor / ended * 1e6}
    measurement.write(results)


def measure_tokens(args):
    """Many streams at once, one event for each token."""
    measurement = Measurement("tokens", "tools/measure.sh build tokens", args.out)
    results = {}
    for step, flush in (("50ms", "0ms"), ("10ms", "0ms"), ("2ms", "0ms"), ("2ms", "10ms")):
        flags = ["--step-base", step, "--step-per-running", "0ms", "--flush-every", flush, "--threads", "2"]
        with Running(args, deployment_of("engine", STREAM_TARGETS, STREAMS // STREAM_TARGETS, flags)) as fleet:
            flows = [{"customer": f"customer-{n}", "service": "call", "callers": STREAMS // 4, "streamed": True,
                      "promptBytes": PROMPT_BYTES, "maxTokens": {"shape": "uniform", "least": 200, "most": 400}} for n in range(4)]
            row, processor, _, tokens, span = under_load(fleet, flows)
        results[f"a token each {step}, written each {flush}"] = {
            "streams": STREAMS, **row, "tokensPerSecond": tokens / span, "routerMicrosecondsPerToken": processor / tokens * 1e6}
    measurement.write(results)
