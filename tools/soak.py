"""A randomized soak of the edge routers: real processes on loopback, faults from outside, promises checked all the while.

    tools/soak.py --build build --seed 7 --seconds 20     one seed
    tools/soak.py --build build --seeds 1-50              several, one after the other
    tools/soak.py --build build --regressions             the seeds that ever failed (tests/soak-seeds.txt)
    tools/soak.py --build build --seeds 1-5 --routers 40 --engines 80 --applications 40 --callers 60     a larger fleet

The faults of a seed come together, returns of the store from older copies among them; what these lose, the operator and the
targets write again within AGAIN_SECONDS and in another order. Then come silences of targets, each shorter than the time that
a request has, beside changes of the configuration and other planned work alone: no request may be lost by these. At last come
requests with a part of their prompts that crashes targets, again beside planned work: few targets may end by it.

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
from promises import DEADLINE_SLACK_SECONDS, FAILED, Caller, Ledgers, Request, check_arrivals, findings_of
from soak_proxy import Proxy
from target_signals import SignalCheck, overlaps
from trial_faults import ALWAYS, CRASHING_PART, FAULTS, SILENCE_SECONDS, Stage, draw_changes, lift, send_crashing

SIZES = {"routers": 3, "engines": 3, "applications": 2, "callers": 6}
CALLERS_PAUSE_SECONDS = 0.06
EXTRA_KEY = "key-that-comes-and-goes"
REVOKE_SECONDS = 3.0  # After the store's acknowledgement; the platform allows 2 s to routers in touch.
RECOVERY_SECONDS = 12.0
CUT_LASTS_SECONDS = 4.0  # A connection that was cut stays so until the request on it is given up.
TOLD_LATE_SECONDS = 2.0  # A failure sooner than that is no matter of time, however long targets were silent.
HELD_UP_SECONDS = 1.5  # By which a request is held up that has its answer in time nevertheless.
LONGEST_SERIES = 4  # Versions of the configuration around one silence.
STABLE_SECONDS = 3.0  # After the decisive crash under a part of prompts, until all routers must know.
DECISIVE_CRASHES = 5
MOST_LATE_CRASHES = 3
CRASHING_INTERVALS_SECONDS = (0.3, 0.9)
DOWN_SECONDS = (1.0, 3.0)  # Of a target that crashed.
EVACUATED_SECONDS = (3.0, 6.0)  # More than the bound within which an evacuation is in force.
LEAVING_SECONDS = (2.5, 5.0)  # More than the bound within which the store's word is in force.
RESTART_SECONDS = 0.3  # After a process has ended, until the platform starts it again.
ZONES = ("a", "b", "c")
COPY_AGE_SECONDS = (0.5, 8.0)  # Of a copy from which the store returns, when it goes away.
STORE_AWAY_SECONDS = (0.3, 2.5)  # Before it returns.
AGAIN_SECONDS = 2.0  # Longest time from a return until the operator and targets have written again what is lost.
# What came to the soak later; each has chances of its own.
EXTRAS = ("signals", "answers", "silences", "parts", "zones", "leavings", "returns")
HERE = os.path.dirname(os.path.abspath(__file__))
SEEDS_FILE = os.path.join(HERE, "..", "tests", "soak-seeds.txt")


class Soak:
    """One seed: a fleet behind proxies, callers, and a schedule of overlapping faults."""

    def __init__(self, build, seed, seconds, extras=EXTRAS, sizes=None):
        """extras: what comes beside the faults of each seed; sizes: other numbers than those of SIZES."""
        self._sizes = {**SIZES, **(sizes or {})}
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
        self._silences = []  # Spans in which sound targets may hold up requests.
        self._planned_since = float("inf")  # When no unplanned fault was left.
        self._configuring = threading.Lock()
        self._store_away = []  # Spans in which routers may not learn of changes.
        self._revoked = None  # When the extra key's removal was acknowledged; None while it is there.
        self._revocations = []
        self._evacuations = 0
        self._evacuated = set()
        self._evacuating = threading.Lock()  # The store gets evacuations in the order in which they are noted.
        self._removed = set()  # Targets whose entry went and that have not started again.
        self._removing = threading.Lock()
        self._returns = 0
        self._ready_at = 0.0
        self._leaving = {}  # By target: held while it leaves and returns.
        self._fleet = Fleet(build, self._sizes["routers"], self._sizes["engines"], self._sizes["applications"],
                            proxy=self._proxied, worker_arguments=("--crash-part", CRASHING_PART),
                            zones=ZONES if "zones" in extras else ZONES[:1])
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
            self._ready_at = time.monotonic()
            self._stage = Stage(self._fleet, {"targets": self._proxies}, random.Random(f"answers of {self.seed}"),
                                self._ledgers, self.signals)
            self._threads = [Caller(i, self.addresses, random.Random(self.seed * 1000 + i), CALLERS_PAUSE_SECONDS,
                                    self.is_over, self.signals, choose_key) for i in range(self._sizes["callers"])]
            for thread in self._threads:
                thread.start()
            threading.Thread(target=self._restart_ended, daemon=True).start()
            self._disturb()
            self._heal()
            if "silences" in self._extras:
                self._disturb_by_plan()
                self._heal()
            if "parts" in self._extras:
                self._crash_by_part()
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
        beside = {"signals": self._signal, "answers": self._spoil_answers, "silences": self._silence,
                  "zones": self._evacuate, "leavings": self._leave_by_store,
                  "returns": self._return_store}
        pending = [threading.Thread(target=beside[it], args=(end,), daemon=True) for it in beside
                   if it in self._extras]
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

    def _leave_by_store(self, end):
        """Beside the other faults, as _signal: targets that leave by the store's word alone."""
        rng = random.Random(f"leavings of {self.seed}")
        while time.monotonic() < end:
            name, word = rng.choice(sorted(self._fleet.workers)), rng.choice(("told", "gone"))
            lasts = rng.uniform(*LEAVING_SECONDS)
            self._history.append(f"{name} leaves by the store alone ({word}) for {lasts:.1f} s")
            self._leave_and_return(name, lasts, word, "untold")
            time.sleep(rng.uniform(0.1, 1.0))

    def _return_store(self, end, beside="faults"):
        """Beside the other faults, as _signal: the store returns from copies, in series that overlap what is written again."""
        rng = random.Random(f"returns beside {beside} of {self.seed}")
        writers = []
        while time.monotonic() < end:
            for _ in range(rng.choice((1, 1, 2, 3))):
                older, away = rng.uniform(*COPY_AGE_SECONDS), rng.uniform(*STORE_AWAY_SECONDS)
                kind, pauses = rng.choice(("busy", "reset", "silent")), [rng.uniform(0.0, AGAIN_SECONDS) for _ in range(3)]
                self._history.append(f"return of the store from a copy of {older:.1f} s after {away:.1f} s ({kind})")
                self._return_once(older, away, kind, rng)
                order = rng.sample(self.WRITTEN_AGAIN, len(self.WRITTEN_AGAIN))
                writers.append(threading.Thread(target=self._write_again, args=(order, sorted(pauses)), daemon=True))
                writers[-1].start()
                time.sleep(rng.uniform(0.0, 1.5))
            time.sleep(rng.uniform(1.0, 6.0))
        for thread in writers:
            thread.join()

    def _return_once(self, older, away, kind, rng):
        for name in sorted(self._fleet.workers):
            if rng.random() < 0.3:
                silent_ms = (away + rng.uniform(0.0, AGAIN_SECONDS - 1.0)) * 1000
                call(self._fleet.workers[name]["address"], "POST", f"/standin/silence?ms={silent_ms:.0f}")
        # The first configuration was written long before the first request.
        older = min(older, time.monotonic() - self._ready_at)
        begun, ended = self._fleet.restore_store(older * 1000, away, kind)
        self.signals.note_return(begun, ended)
        self._store_away.append((begun, ended + AGAIN_SECONDS + REVOKE_SECONDS))
        self._returns += 1

    def _write_again(self, order, due):
        begun = time.monotonic()
        for write, pause in zip(order, due):
            time.sleep(max(0.0, begun + pause - time.monotonic()))
            write(self)

    def _configure_again(self):
        self._fleet.configure_again()

    def _evacuate_again(self):
        with self._evacuating:
            for zone in ZONES:
                if zone in self._evacuated:
                    self._fleet.evacuate(zone)
                else:
                    self._fleet.lift_evacuation(zone)

    def _remove_again(self):
        with self._removing:
            for name in self._removed:
                self._fleet.remove_entry(name)

    WRITTEN_AGAIN = (_configure_again, _evacuate_again, _remove_again)

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

    def _evacuate(self, end):
        """Beside the other faults, as _signal: one availability zone, or two whose evacuations overlap."""
        rng = random.Random(f"zones of {self.seed}")
        while time.monotonic() < end:
            zones = rng.sample(ZONES, rng.choice((1, 1, 2)))
            begun = []
            for zone in zones:
                with self._evacuating:
                    self._evacuated.add(zone)
                    begun.append((zone, self._fleet.evacuate(zone)))
                time.sleep(rng.uniform(0.2, 1.0))
            lasts = rng.uniform(*EVACUATED_SECONDS)
            self._history.append(f"evacuation of {', '.join(zones)} for {lasts:.1f} s")
            time.sleep(lasts)
            for zone, acknowledged in begun:
                with self._evacuating:
                    self._evacuated.discard(zone)
                    lift(self._stage, zone, acknowledged)
                time.sleep(rng.uniform(0.2, 1.0))
            self._evacuations += len(zones)

    def _disturb_by_plan(self):
        """Silences with nothing beside them but what may break no request."""
        self._unplanned_for(0)
        for proxy in self._proxies:
            proxy.set_mode("reset")  # What was harmed stays so until it is closed.
            proxy.set_mode("pass")
        self._unplanned_for(0)
        self._planned_since = self._unplanned[-1][1]
        rng = random.Random(f"planned work of {self.seed}")
        end = self._planned_since + self._seconds
        pending = [threading.Thread(target=self._silence, args=(end, it), daemon=True) for it in ("engine", "app")]
        if "returns" in self._extras:
            pending.append(threading.Thread(target=self._return_store, args=(end, "planned work"), daemon=True))
        for thread in pending:
            thread.start()
        while time.monotonic() < end:
            work = rng.choice(self.PLANNED)
            lasts = rng.uniform(0.3, 2.0)
            self._history.append(f"{work.__name__} for {lasts:.1f} s")
            thread = threading.Thread(target=work, args=(self, lasts), daemon=True)
            thread.start()
            pending.append(thread)
            time.sleep(rng.uniform(0.5, 2.0))
        for thread in pending:
            thread.join(timeout=20)

    def _crash_by_part(self):
        """A part of prompts crashes targets; planned work comes beside it."""
        rng = random.Random(f"parts of {self.seed}")
        self._stage.give_up_ledgers("engine")
        end = time.monotonic() + self._seconds
        self._unplanned.append((time.monotonic() - 0.2, end + max(DOWN_SECONDS) + 4.0))
        crashes, is_done = [], threading.Event()
        keeper = threading.Thread(target=self._restart_crashed, args=(crashes, is_done, rng), daemon=True)
        keeper.start()
        while time.monotonic() < end:
            routers = self._fleet.routers
            threading.Thread(target=send_crashing, args=(self._fleet, rng.choice(routers), rng), daemon=True).start()
            time.sleep(rng.uniform(*CRASHING_INTERVALS_SECONDS))
            if rng.random() < 0.1:
                rng.choice(self.PLANNED)(self, rng.uniform(0.3, 2.0))
        time.sleep(max(DOWN_SECONDS) + 1.0)
        is_done.set()
        keeper.join()
        self._history.append(f"{len(crashes)} crashes by a part")
        late = sum(it > crashes[DECISIVE_CRASHES - 1] + STABLE_SECONDS for it in crashes[DECISIVE_CRASHES:])
        if late > MOST_LATE_CRASHES:
            self.breaches.append(f"BUDGET {late} of {len(crashes)} targets crashed by a part after it had to be known")

    def _restart_crashed(self, crashes, is_done, rng):
        due = {}
        while not is_done.is_set() or due:
            now = time.monotonic()
            for name, worker in self._fleet.workers.items():
                if name in due and now >= due[name]:
                    del due[name]
                    worker["process"].start()
                elif name not in due and worker["process"].child.poll() is not None:
                    crashes.append(now)
                    due[name] = now + rng.uniform(*DOWN_SECONDS)
            time.sleep(0.01)

    def _silence(self, end, prefix=""):
        """Beside the other faults, as _signal: targets that fall silent and go on, amid a series of changes."""
        rng = random.Random(f"silences of {prefix} {self.seed}")
        while time.monotonic() < end:
            name = rng.choice([it for it in sorted(self._fleet.workers) if it.startswith(prefix)])
            service = name.split("-")[0]
            alike = [it for it in sorted(self._fleet.workers) if it.startswith(service)]
            silent = alike if rng.random() < 0.3 else [name]
            lasts = rng.uniform(*SILENCE_SECONDS) if rng.random() < 0.7 else rng.uniform(0.3, min(SILENCE_SECONDS))
            series = [(rng.uniform(0.0, 0.4), draw_changes(rng), rng.random() < 0.8)
                      for _ in range(rng.randint(0, LONGEST_SERIES))]
            self._history.append(f"{', '.join(silent)} silent for {lasts:.1f} s beside {len(series)} changes")
            changes = threading.Thread(target=self._change_in_series, args=(series,), daemon=True)
            changes.start()
            time.sleep(rng.uniform(0.0, 0.3))
            self._stop_for([self._fleet.workers[it]["process"] for it in silent], lasts)
            time.sleep(rng.choice((0.0, rng.uniform(0.5, 2.0))))
            changes.join()

    def _change_in_series(self, series):
        for pause, changes, has_extra in series:
            self._configure(has_extra, **changes)
            time.sleep(pause)

    def _stop_for(self, processes, lasts):
        """Sound targets that go on after a time that requests bear."""
        begun = time.monotonic()
        for process in processes:
            process.send(signal.SIGSTOP)
        time.sleep(lasts)
        for process in processes:
            process.send(signal.SIGCONT)
        self._silences.append((begun, time.monotonic()))
        self.signals.note_held(*self._silences[-1])

    def _leave_and_return(self, name, lasts, word=None, answers="told"):
        """word: what the store says of it, or nothing if that is to follow from how long it lasts."""
        with self._leaving.setdefault(name, threading.Lock()):
            self._leave_and_return_alone(name, lasts, word or ("told" if lasts < 2 else "untold"), answers)

    def _leave_and_return_alone(self, name, lasts, word, answers):
        worker = self._fleet.workers[name]
        self._fleet.leave(name, word, answers)
        if word == "gone":
            with self._removing:
                self._removed.add(name)
        time.sleep(lasts)
        self._stage.read_ledger(name)
        self._unplanned_for(0)
        worker["process"].end()
        with self._removing:
            self._removed.discard(name)
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

    def _restart_ended(self):
        """Starts a router that ended by itself again, as the platform does. Only a SIGHUP may end one: it can come before
        the program is there to block it.
        """
        while not self.is_over.wait(0.05):
            for router in self._fleet.routers:
                process, restart = router["process"], self._restarts.setdefault(router["front"], threading.Lock())
                if process.child.poll() is None or not restart.acquire(blocking=False):
                    continue
                try:
                    self._start_ended(process)
                finally:
                    restart.release()

    def _start_ended(self, process):
        code = process.child.poll()
        if code is None:
            return
        self._unplanned_for(RESTART_SECONDS)
        if code == -signal.SIGHUP:
            self._history.append(f"{process.name} ended by a SIGHUP as it started")
        else:
            self.breaches.append(f"{process.name} ended by itself with {code}")
        time.sleep(RESTART_SECONDS)
        process.start()

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
        self.signals.note_held(begun, time.monotonic())
        self.signals.note_cut(begun, time.monotonic() + CUT_LASTS_SECONDS)

    def _harm_store(self, lasts):
        kind = self._rng.choice(("reset", "busy", "silent", "lost"))
        now = time.monotonic()
        self._store_away.append((now, now + lasts + REVOKE_SECONDS))
        self._fleet.command(self._fleet.store, f"/standin/fault?kind={kind}")
        time.sleep(lasts)
        self._fleet.command(self._fleet.store, "/standin/fault?kind=none")
        self.signals.note_store_away(now, time.monotonic())

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
        if lasts > max(SILENCE_SECONDS):
            self._unplanned_for(lasts)
        self._stop_for([self._fleet.workers[self._rng.choice(sorted(self._fleet.workers))]["process"]], lasts)

    def _change_configuration(self, _lasts):
        self._configure(self._rng.random() < 0.5)

    def _configure(self, has_extra, **changes):
        with self._configuring:
            self._write_configuration(has_extra, changes)

    def _write_configuration(self, has_extra, changes):
        self._fleet.configure(keys=(KEY, EXTRA_KEY) if has_extra else (KEY,), **changes)
        now = time.monotonic()
        if has_extra and self._revoked is not None:
            self._revocations.append((self._revoked, now))
            self._revoked = None
        elif not has_extra and self._revoked is None:
            self._revoked = now

    FAULTS = (_kill_router, _stop_router, _pause_router, _hang_up, _harm_connections, _harm_store, _forget_history,
              _harm_worker, _pause_worker, _change_configuration)
    PLANNED = (_stop_router, _hang_up, _harm_store, _forget_history)

    def _heal(self):
        if "silences" in self._extras:
            self._configure(True)  # The last change may have left a quota below what is asked for.
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
                                        self._may_arrive_late)
        for router, target, seconds in self.signals.after_draining():
            self.breaches.append(f"{target} got a request {seconds} s after {router} had passed on that it leaves")
        history = self._fleet.command(self._fleet.store, "/standin/acknowledged?topic=keyed.servers")
        self.signals.note_store(history["records"])
        for router, target, seconds in self.signals.after_word():
            self.breaches.append(f"DRAIN {target} got a request of {router} {seconds} s after the store held that it leaves")
        for router, target, count in self.signals.in_backoff():
            self.breaches.append(f"{target} got {count} requests of {router} in the pause that it had asked for")
        for router, target, seconds in self.signals.after_evacuating():
            self.breaches.append(f"EVAC {target} got a request of {router} {seconds} s after its zone was evacuated")
        served = sum(it.status == 200 and it.is_whole for it in requests)
        print(f"seed {self.seed}: {len(requests)} requests, {served} served, {len(self._history)} faults, "
              f"{len(self.signals.told)} times told of a leaving target, {self._evacuations} evacuations, "
              f"{self._returns} returns of the store, "
              f"{len(self.breaches)} promises broken", flush=True)

    def _check_request(self, request):
        found = list(findings_of(request, self._ledgers))
        if request.key == EXTRA_KEY and request.status == 200 and self._was_revoked(request):
            found.append("ROUTE served with a removed key")
        # A connection that a stopped router refuses, or closes before it has read the request, loses nothing.
        if not request.is_whole and request.id in self._read_ids and not self._is_excused(request):
            found.append("LOST without an unplanned fault")
        if request.status in FAILED and request.sent_at > self._planned_since and not self._is_excused(request):
            found.append("LOST failed without an unplanned fault")
        runs = self._ledgers.runs[request.id]
        self.breaches += [f"{it}: id={request.id} {request.path} status={request.status} runs={runs}" for it in found]

    def _was_revoked(self, request):
        """Whether its key had been gone for long enough when it was sent, with nothing that could delay the news."""
        spans = self._revocations + ([(self._revoked, float("inf"))] if self._revoked is not None else [])
        return any(begin + REVOKE_SECONDS < request.sent_at and request.ended_at < end for begin, end in spans) \
            and not overlaps(self._unplanned + self._store_away, request.sent_at - REVOKE_SECONDS, request.ended_at)

    def _is_excused(self, request):
        return overlaps(self._unplanned, request.sent_at, request.ended_at) or self._ran_out_of_time(request)

    def _may_arrive_late(self, begin, end):
        """Whether what was sent at the first time may have been seen by its target only at the second."""
        return overlaps(self._unplanned, begin, end) \
            or end - begin - covered(self._silences, begin, end) <= DEADLINE_SLACK_SECONDS

    def _ran_out_of_time(self, request):
        """Whether it met so much silence that its time may have ended before its answer."""
        held_up = covered(self._silences, request.sent_at, request.ended_at)
        return request.ended_at - request.sent_at > TOLD_LATE_SECONDS and held_up > HELD_UP_SECONDS


def covered(spans, begin, end):
    """The time between begin and end that lies in spans."""
    total, at = 0.0, begin
    for first, last in sorted(spans):
        total += max(0.0, min(last, end) - max(first, at))
        at = max(at, last)
    return total


def choose_key(rng):
    return EXTRA_KEY if rng.random() < 0.1 else KEY


def run_seed(build, seed, seconds, extras, sizes=None):
    soak = Soak(build, seed, seconds, extras, sizes)
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
    for name, count in SIZES.items():
        parser.add_argument(f"--{name}", type=int, default=count, help=f"{count}, but for a trial of another size")
    arguments = parser.parse_args()
    sizes = {name: getattr(arguments, name) for name in SIZES}
    failed = [seed for seed, extras in seeds_of(arguments)
              if not run_seed(arguments.build, seed, arguments.seconds, extras, sizes)]
    print(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
