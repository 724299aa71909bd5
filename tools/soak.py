"""A randomized soak of the edge routers: real processes on loopback, faults from outside, promises checked all the while.

    tools/soak.py --build build --seed 7 --seconds 20     one seed
    tools/soak.py --build build --seeds 1-50              several, one after the other
    tools/soak.py --build build --regressions             the seeds that ever failed (tests/soak-seeds.txt)

Ends only processes that it started, by id. Exits with 1 when a promise was broken.
"""

import argparse
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

from platform_fleet import KEY, Fleet, call
from promises import Caller, Ledgers, Request, check_arrivals, findings_of
from soak_proxy import Proxy
from target_signals import SignalCheck, overlaps
from trial_faults import ALWAYS, FAULTS, Stage

CALLERS = 6
CALLERS_PAUSE_SECONDS = 0.06
EXTRA_KEY = "key-that-comes-and-goes"
REVOKE_SECONDS = 3.0  # After the store's acknowledgement; the platform allows 2 s to routers in touch.
RECOVERY_SECONDS = 12.0
CUT_LASTS_SECONDS = 4.0  # A connection that was cut stays so until the request on it is given up.
EXTRAS = ("signals", "answers")  # What came to the soak later; each has chances of its own.
HERE = os.path.dirname(os.path.abspath(__file__))
SEEDS_FILE = os.path.join(HERE, "..", "tests", "soak-seeds.txt")


class Soak:
    """One seed: a fleet behind proxies, callers, and a schedule of overlapping faults."""

    def __init__(self, build, seed, seconds, extras=EXTRAS):
        """extras: what comes beside the faults of each seed."""
        self.seed = seed
        self.signals = SignalCheck()
        self._extras = extras
        self._ledgers = Ledgers()
        self._stage = None
        self._recovery = []  # Requests that were sent to see whether all is served again.
        self.is_over = threading.Event()
        self.breaches = []
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._proxies = []
        self._history = []
        self._restarts = {}  # By a router's address: held by the fault that restarts it.
        self._read_ids = set()  # Requests that a router has read, by the logs.
        self._unplanned = []  # Spans in which requests may be lost for no fault of the routers.
        self._store_away = []  # Spans in which routers may not learn of changes.
        self._revoked = None  # When the extra key's removal was acknowledged; None while it is there.
        self._revocations = []
        self._fleet = Fleet(build, routers=3, engines=3, applications=2, proxy=self._proxied)
        self._threads = []

    def _proxied(self, address):
        proxy = Proxy(address)
        self._proxies.append(proxy)
        return proxy.address

    def addresses(self):
        """The routers' addresses; callers may use any, also those of routers that are stopping."""
        return [router["front"] for router in self._fleet.routers]

    def run(self):
        try:
            self._fleet.wait_ready()
            self._configure(True)
            self._stage = Stage(self._fleet, {"targets": self._proxies}, random.Random(f"answers of {self.seed}"),
                                self._ledgers, self.signals)
            self._threads = [Caller(i, self.addresses, random.Random(self.seed * 1000 + i), CALLERS_PAUSE_SECONDS,
                                    self.is_over, self.signals, choose_key) for i in range(CALLERS)]
            for thread in self._threads:
                thread.start()
            self._disturb()
            self._heal()
            self._check_recovery()
            self.is_over.set()
            for thread in self._threads:
                thread.join(timeout=10)
            self._check()
        finally:
            self.is_over.set()
            self._fleet.__exit__()
            for proxy in self._proxies:
                proxy.close()
        return self.breaches

    def _disturb(self):
        end = time.monotonic() + self._seconds
        beside = {"signals": self._signal, "answers": self._spoil_answers}
        pending = [threading.Thread(target=beside[it], args=(end,), daemon=True) for it in self._extras]
        for thread in pending:
            thread.start()
        while time.monotonic() < end:
            fault = self._rng.choice(self.FAULTS)
            lasts = self._rng.uniform(0.3, 2.5)
            self._history.append(f"{fault.__name__} for {lasts:.1f} s")
            thread = threading.Thread(target=fault, args=(self, lasts), daemon=True)
            thread.start()
            pending.append(thread)
            time.sleep(self._rng.uniform(0.2, 1.2))
        for thread in pending:
            thread.join(timeout=20)

    def _signal(self, end):
        """Beside the other faults, with chances of its own, so that these come as they do without it."""
        rng = random.Random(f"signals of {self.seed}")
        while time.monotonic() < end:
            signal_of = rng.choice((self._leave_and_return, self._ask_for_pause))
            name, lasts = rng.choice(sorted(self._fleet.workers)), rng.uniform(1.0, 4.0)
            self._history.append(f"{signal_of.__name__} {name} for {lasts:.1f} s")
            signal_of(name, lasts)
            time.sleep(rng.uniform(0.1, 1.0))

    def _spoil_answers(self, end):
        """Beside the other faults, as _signal."""
        rng = self._stage.rng
        spoilt = [it for it in FAULTS if it.subject == "answers"]
        while time.monotonic() < end:
            fault, lasts = rng.choice(spoilt), rng.uniform(0.3, 2.0)
            self._history.append(f"{fault.name} for {lasts:.1f} s")
            if fault.breaks:
                self._unplanned_for(lasts)
            stop = fault.begin(self._stage)
            time.sleep(lasts)
            stop()
            time.sleep(rng.uniform(0.0, 0.5))

    def _leave_and_return(self, name, lasts):
        worker = self._fleet.workers[name]
        told = "told" if lasts < 2 else "untold"
        call(worker["address"], "POST", f"/standin/drain?store={told}")
        time.sleep(lasts)
        self._stage.read_ledger(name)
        self._unplanned_for(0)
        worker["process"].end()
        worker["process"].start()
        self._fleet.wait_until("a worker is there again",
                               lambda: call(worker["address"], "POST", "/standin/ledger", timeout=1.0)[0] == 200)

    def _ask_for_pause(self, name, lasts):
        """All workers of a service where the time is long, else one: the others are then better anyway."""
        service = name.split("-")[0]
        asking = [it for it in self._fleet.workers if it == name or (lasts > 2 and it.startswith(service))]
        for it in asking:
            call(self._fleet.workers[it]["address"], "POST",
                 f"/standin/fault?kind=shed&count={ALWAYS}&retry-after-ms={int(lasts * 600)}")
        time.sleep(lasts)
        for it in asking:
            self._fault(it, "none", 0)

    def _unplanned_for(self, seconds):
        now = time.monotonic()
        self._unplanned.append((now - 0.2, now + seconds + 3.0))

    def _restarting(self):
        """A router that no other fault restarts just now: two starts of one would fight for its ports."""
        router = self._rng.choice(self._fleet.routers)
        return router["process"], self._restarts.setdefault(router["front"], threading.Lock())

    def _kill_router(self, lasts):
        process, restart = self._restarting()
        with restart:
            self._unplanned_for(lasts)
            begun = time.monotonic()
            process.end()
            time.sleep(lasts)
            process.start()
            self._note_stop(process, begun)

    def _stop_router(self, lasts):
        process, restart = self._restarting()
        with restart:
            begun = time.monotonic()
            process.send(signal.SIGTERM)
            try:
                process.wait()
            except subprocess.TimeoutExpired:  # It outlived its grace period: that is the finding.
                self.breaches.append("a router outlived its grace period")
                process.end()
            time.sleep(lasts / 4)
            process.start()
            self._note_stop(process, begun)

    def _pause_router(self, lasts):
        self._unplanned_for(lasts)
        process = self._rng.choice(self._fleet.routers)["process"]
        begun = time.monotonic()
        process.send(signal.SIGSTOP)
        time.sleep(lasts)
        process.send(signal.SIGCONT)
        self._note_stop(process, begun)

    def _note_stop(self, process, begun):
        router = next(it for it in self._fleet.routers if it["process"] is process)
        self.signals.note_stop(router["front"], begun, time.monotonic())

    def _hang_up(self, lasts):
        for router in self._fleet.routers:
            router["process"].send(signal.SIGHUP)
        time.sleep(lasts / 4)

    def _harm_connections(self, lasts):
        self._unplanned_for(lasts)
        proxy = self._rng.choice(self._proxies)
        begun = time.monotonic()
        proxy.set_mode(self._rng.choice(("delay", "reset", "silence", "cut-up", "cut-down")))
        time.sleep(lasts)
        proxy.set_mode("pass")
        self.signals.note_cut(begun, time.monotonic() + CUT_LASTS_SECONDS)

    def _harm_store(self, lasts):
        kind = self._rng.choice(("reset", "busy", "silent", "lost"))
        now = time.monotonic()
        self._store_away.append((now, now + lasts + REVOKE_SECONDS))
        self._fleet.command(self._fleet.store, f"/standin/fault?kind={kind}")
        time.sleep(lasts)
        self._fleet.command(self._fleet.store, "/standin/fault?kind=none")

    def _forget_history(self, _lasts):
        topic = self._rng.choice(("keyed.op", "keyed.servers"))
        self._fleet.command(self._fleet.store, f"/standin/forget?topic={topic}")

    def _harm_worker(self, lasts):
        self._unplanned_for(lasts)
        name = self._rng.choice(sorted(self._fleet.workers))
        kind = self._rng.choice(("lose", "shed", "break", "foreign", "fail"))
        self._fault(name, kind, self._rng.randint(1, 20))
        time.sleep(lasts)
        self._fault(name, "none", 0)

    def _fault(self, name, kind, count):
        """On a worker that may be starting again just now."""
        call(self._fleet.workers[name]["address"], "POST", f"/standin/fault?kind={kind}&count={count}")

    def _pause_worker(self, lasts):
        self._unplanned_for(lasts)
        process = self._fleet.workers[self._rng.choice(sorted(self._fleet.workers))]["process"]
        process.send(signal.SIGSTOP)
        time.sleep(lasts)
        process.send(signal.SIGCONT)

    def _change_configuration(self, _lasts):
        self._configure(self._rng.random() < 0.5)

    def _configure(self, has_extra):
        self._fleet.configure(keys=(KEY, EXTRA_KEY) if has_extra else (KEY,))
        now = time.monotonic()
        if has_extra and self._revoked is not None:
            self._revocations.append((self._revoked, now))
            self._revoked = None
        elif not has_extra and self._revoked is None:
            self._revoked = now

    FAULTS = (_kill_router, _stop_router, _pause_router, _hang_up, _harm_connections, _harm_store, _forget_history,
              _harm_worker, _pause_worker, _change_configuration)

    def _heal(self):
        for proxy in self._proxies:
            proxy.set_mode("pass")
        self._fleet.command(self._fleet.store, "/standin/fault?kind=none")
        for name in self._fleet.workers:
            self._fleet.fault(name, "none", 0)

    def _check_recovery(self):
        end = time.monotonic() + RECOVERY_SECONDS
        open_checks = [(router, path, method) for router in self._fleet.routers for path, method in Request.KINDS]
        while open_checks and time.monotonic() < end:
            router, path, method = open_checks[0]
            request = Request(f"ff{len(self._recovery):014x}", path, method)
            self._recovery.append(request)
            request.send(router["front"])
            if request.status == 200 and request.is_whole:
                open_checks.pop(0)
            else:
                time.sleep(0.2)
        for router, path, _ in open_checks:
            self.breaches.append(f"{router['front']} doesn't serve {path} {RECOVERY_SECONDS} s after the last fault")

    def _check(self):
        for name in self._fleet.workers:
            self._stage.read_ledger(name)
        logs = "".join(router["process"].log() for router in self._fleet.routers)
        self._read_ids = set(re.findall(r" request id=([0-9a-f]+)", logs))
        requests = [request for thread in self._threads for request in thread.requests]
        for request in requests:
            self._check_request(request)
        self.breaches += check_arrivals(requests + self._recovery, self._ledgers,
                                        lambda begin, end: overlaps(self._unplanned, begin, end))
        for router, target, seconds in self.signals.after_draining():
            self.breaches.append(f"{target} got a request {seconds} s after {router} had passed on that it leaves")
        for router, target, count in self.signals.in_backoff():
            self.breaches.append(f"{target} got {count} requests of {router} in the pause that it had asked for")
        served = sum(it.status == 200 and it.is_whole for it in requests)
        print(f"seed {self.seed}: {len(requests)} requests, {served} served, {len(self._history)} faults, "
              f"{len(self.signals.told)} times told of a leaving target, "
              f"{len(self.breaches)} promises broken", flush=True)

    def _check_request(self, request):
        found = list(findings_of(request, self._ledgers))
        if request.key == EXTRA_KEY and request.status == 200 and self._was_revoked(request):
            found.append("ROUTE served with a removed key")
        # A connection that a stopped router refuses, or closes before it has read the request, loses nothing.
        if not request.is_whole and request.id in self._read_ids and not self._is_excused(request):
            found.append("LOST without an unplanned fault")
        runs = self._ledgers.runs[request.id]
        self.breaches += [f"{it}: id={request.id} {request.path} status={request.status} runs={runs}" for it in found]

    def _was_revoked(self, request):
        """Whether its key had been gone for long enough when it was sent, with nothing that could delay the news."""
        spans = self._revocations + ([(self._revoked, float("inf"))] if self._revoked is not None else [])
        return any(begin + REVOKE_SECONDS < request.sent_at and request.ended_at < end for begin, end in spans) \
            and not overlaps(self._unplanned + self._store_away, request.sent_at - REVOKE_SECONDS, request.ended_at)

    def _is_excused(self, request):
        return overlaps(self._unplanned, request.sent_at, request.ended_at)


def choose_key(rng):
    return EXTRA_KEY if rng.random() < 0.1 else KEY


def run_seed(build, seed, seconds, extras):
    soak = Soak(build, seed, seconds, extras)
    breaches = soak.run()
    for breach in breaches[:20]:
        print(f"  {breach}", flush=True)
    if breaches:
        print(f"  faults: {', '.join(soak._history)}\n  logs in {soak._fleet.directory}", flush=True)
    return not breaches


def seeds_of(arguments):
    """Returns (seed, extras) of each soak; those that ever failed are played as they were."""
    seeds = []
    if arguments.regressions:
        with open(SEEDS_FILE, encoding="utf-8") as file:
            lines = [line.split() for line in file if line.strip() and not line.startswith("#")]
        seeds += [(int(words[0]), EXTRAS[:EXTRAS.index(words[1]) + 1] if words[1] in EXTRAS else ()) for words in lines]
    if arguments.seeds:
        first, last = arguments.seeds.split("-")
        seeds += [(it, EXTRAS) for it in range(int(first), int(last) + 1)]
    return seeds or [(arguments.seed, EXTRAS)]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build", help="directory with the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=15.0, help="how long faults come, for each seed")
    parser.add_argument("--regressions", action="store_true", help="the seeds that ever failed")
    arguments = parser.parse_args()
    failed = [seed for seed, extras in seeds_of(arguments)
              if not run_seed(arguments.build, seed, arguments.seconds, extras)]
    print(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
