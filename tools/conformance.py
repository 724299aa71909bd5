"""Plays what the platform's pages allow targets, store, callers, routers and the network to do, with real processes.

    tools/conformance.py --build build                       every row of docs/CONFORMANCE.md, light and full load, then pairs
    tools/conformance.py --build build --seed 7 --draws 30   as many rows and pairs as drawn by the seed
    tools/conformance.py --build build --only NAME           one row, or two with a plus between them

Ends only processes that it started, by id. Exits with 1 when a promise was broken.
"""

import argparse
import random
import sys
import threading
import time
import uuid

from platform_fleet import Fleet
from promises import FAILED, Caller, Ledgers, Request, check
from soak_proxy import Proxy
from target_signals import SignalCheck
from trial_callers import CALLS
from trial_faults import CRASHING_PART, FAULTS, Stage

ROUTERS, ENGINES, APPLICATIONS = 3, 3, 2
FAULT_SECONDS = 1.0
SETTLE_SECONDS = 0.4  # Until what was sent during a fault has ended, where nothing is silent.
SERVES_AGAIN_SECONDS = 1.0  # After a fault's end.
CALLERS_REPEAT_SECONDS = 0.05
LOADS = {"light": (3, 0.08), "full": (20, 0.0)}  # Callers and the longest pause between their requests.
CALLS_AT_ONCE = 2
IDLE_SECONDS = 0.8  # Between two requests of one more caller: four fifths of the lowest idle time.
HELD_UP_SECONDS = 2.0  # By which faults may hold up a request that is answered in time nevertheless.
# What a row shows only beside another.
TOGETHER = (("slow-events of engine", "leaves in the answer"), ("slow-events of engine", "half-closed"),
            ("hang of app", "leaves before the answer"),
            ("entry with another service's address", "shed of all engines"),
            ("silent engine", "lower quota"), ("silent app", "lower idle time"),
            ("late-answer of engine", "lower idle time"), ("late-answer of app", "lower idle time"),
            ("silent engine", "router stops"), ("silent engine beside changes", "settings change"))


class Play:
    """One or two faults, or one behaviour of callers, on the fleet; then all promises."""

    def __init__(self, rig, faults, calls, load, seed):
        self.rig, self.faults, self.calls, self.load = rig, faults, calls, load
        self.found = []
        self.requests = []
        self.rng = random.Random(f"{seed} {[it.name for it in faults]} {calls} {load}")
        self.ledgers, self.signals = Ledgers(), SignalCheck()
        self.stage = Stage(rig.fleet, rig.proxies, self.rng, self.ledgers, self.signals)

    def run(self):
        self.rig.forget()
        is_over = threading.Event()
        count, pause = LOADS[self.load]
        addresses = [it["front"] for it in self.rig.fleet.routers]
        callers = [Caller(i, lambda: addresses, random.Random(self.rng.random()), pause, is_over, self.signals)
                   for i in range(count)]
        callers.append(Caller(count, lambda: addresses, random.Random(f"idle {self.rng.random()}"), IDLE_SECONDS,
                              is_over, self.signals))
        for it in callers:
            it.start()
        time.sleep(0.2)
        ends = [it.begin(self.stage) for it in self.faults]
        self._call()
        if self.faults:
            time.sleep(FAULT_SECONDS)
        for end in ends:
            end()
        ended_at = time.monotonic()
        if self.load == "light":
            self._check_service(ended_at)
        else:
            time.sleep(SERVES_AGAIN_SECONDS)
        is_over.set()
        for it in callers:
            it.join(timeout=10)
        time.sleep(SETTLE_SECONDS)
        background = [request for it in callers for request in it.requests]
        for name in self.rig.fleet.workers:
            self.stage.read_ledger(name)
        self.found += check(self.requests + background, self.ledgers)
        self.found += [f"DRAIN {target} got a request {late} s after {router} had passed on that it leaves"
                       for router, target, late in self.signals.after_draining()]
        self.found += [f"BUDGET {target} got {n} requests of {router} in a pause"
                       for router, target, n in self.signals.in_backoff()]
        self.found += [f"EVAC {target} got a request of {router} {late} s after its zone was evacuated"
                       for router, target, late in self.signals.after_evacuating()]
        if not any(it.breaks for it in self.faults) and sum(it.seconds for it in self.faults) <= HELD_UP_SECONDS:
            self.found += self._lost(background)
        return len(background)

    def _call(self):
        for name in self.calls:
            for router in self.rng.sample(self.rig.fleet.routers, CALLS_AT_ONCE):
                self.requests += CALLS[name](router, self.found)

    def _lost(self, requests):
        """Where nothing broke but what must break no request, each is answered, or refused as not run."""
        return [f"LOST id={it.id} {it.path} status={it.status} whole={it.is_whole}" for it in requests
                if not it.is_whole and (it.status is not None or self.ledgers.runs[it.id]) or it.status in FAILED]

    def _check_service(self, ended_at):
        waiting = [(router, path, method) for router in self.rig.fleet.routers for path, method in Request.KINDS]
        while waiting and time.monotonic() < ended_at + 10 * SERVES_AGAIN_SECONDS:
            router, path, method = waiting[0]
            request = Request(uuid.uuid4().hex[:16], path, method)
            self.requests.append(request)
            request.send(router["front"])
            if request.status == 200 and request.is_whole:
                waiting.pop(0)
            else:
                time.sleep(CALLERS_REPEAT_SECONDS)
        took = time.monotonic() - ended_at
        if waiting or took > SERVES_AGAIN_SECONDS + len(self.rig.fleet.routers) * self.rig.answer_seconds:
            self.found.append(f"RECOVER serves all again after {took:.2f} s, not yet: {waiting}")


class Rig:
    """A fleet behind proxies that all plays use, one after the other."""

    answer_seconds = 0.5  # Of one request of each kind at an idle router.

    def __init__(self, build):
        self.proxies = {"targets": [], "store": []}
        self.fleet = Fleet(build, routers=ROUTERS, engines=ENGINES, applications=APPLICATIONS, zones=("a", "b"), proxy=self._proxied,
                           worker_arguments=("--crash-part", CRASHING_PART))
        self.fleet.wait_ready()

    def _proxied(self, address):
        """The fleet asks for each worker's address first, then for the store's, once for each router."""
        proxy = Proxy(address)
        targets = self.proxies["targets"]
        (targets if len(targets) < ENGINES + APPLICATIONS else self.proxies["store"]).append(proxy)
        return proxy.address

    def forget(self):
        for name in self.fleet.workers:
            self.fleet.command(self.fleet.workers[name]["address"], "/standin/forget")

    def close(self):
        self.fleet.__exit__()
        for proxies in self.proxies.values():
            for proxy in proxies:
                proxy.close()


def singles():
    return [([it], []) for it in FAULTS] + [([], [name]) for name in CALLS] + [row_of(names) for names in TOGETHER]


def row_of(names):
    return [it for it in FAULTS if it.name in names], [it for it in CALLS if it in names]


def pair(rng):
    """Two rows at once: two faults, or a fault and a behaviour of callers."""
    first = rng.choice(FAULTS)
    if rng.random() < 0.3:
        return [first], [rng.choice(sorted(CALLS))]
    return [first, rng.choice([it for it in FAULTS if it.subject != first.subject])], []


def plays_of(arguments):
    if arguments.only:
        return [(*row_of(arguments.only.split("+")), load) for load in LOADS]
    rng = random.Random(f"conformance {arguments.seed}")
    if arguments.draws:
        rows = [rng.choice(singles()) if rng.random() < 0.5 else pair(rng) for _ in range(arguments.draws)]
        return [(*row, rng.choice(sorted(LOADS))) for row in rows]
    return [(*row, load) for load in arguments.loads for row in singles()] + \
        [(*pair(rng), rng.choice(sorted(LOADS))) for _ in range(arguments.pairs)]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build", help="directory with the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--draws", type=int, default=0, help="rows and pairs to draw; 0: all rows, then pairs")
    parser.add_argument("--pairs", type=int, default=60, help="pairs that are drawn after all rows")
    parser.add_argument("--loads", nargs="+", default=list(LOADS), choices=list(LOADS), help="of the rows one by one")
    parser.add_argument("--only", help="a row's name")
    arguments = parser.parse_args()
    rig = Rig(arguments.build)
    broken, total = [], 0
    try:
        for faults, calls, load in plays_of(arguments):
            name = " + ".join([it.name for it in faults] + calls) + f", {load} load"
            play = Play(rig, faults, calls, load, arguments.seed)
            begun = time.monotonic()
            total += play.run()
            if play.found:
                broken.append(name)
                print(f"BROKEN {name} ({time.monotonic() - begun:.1f} s)", flush=True)
                for it in play.found[:6]:
                    print(f"  {it}", flush=True)
        print(f"{total} requests of callers; broken: {broken or 'none'}; logs in {rig.fleet.directory}")
    finally:
        rig.close()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
