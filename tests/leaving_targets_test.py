"""Targets that leave by the store's word alone, before real edge routers: their answers say nothing of it.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import json
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call  # noqa: E402
from promises import Caller  # noqa: E402
from target_signals import DRAIN_SECONDS, SignalCheck  # noqa: E402

BUILD = "build"
CALLERS = 32
CALLERS_PAUSE_SECONDS = 0.02
STOP_SECONDS = DRAIN_SECONDS + 1.5  # Of a router: longer than the word that it misses may be without force.
ENTRIES_KEPT_SECONDS = 2.2  # For which routers keep what may have lapsed while the store was away.
ROUNDS = 4


class LeavingCase(unittest.TestCase):
    def start(self, routers=3, engines=5, worker_arguments=()):
        self.fleet = Fleet(BUILD, routers=routers, engines=engines, applications=3, worker_arguments=worker_arguments)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.check = SignalCheck()
        self.is_over = threading.Event()
        addresses = [it["front"] for it in self.fleet.routers]
        self.callers = [Caller(i, lambda: addresses, random.Random(i), CALLERS_PAUSE_SECONDS, self.is_over, self.check)
                        for i in range(CALLERS)]
        self.addCleanup(self.is_over.set)
        for it in self.callers:
            it.start()
        time.sleep(1)

    def come_back(self, worker):
        """Under its id, as a new process."""
        self.check.note_ledger(worker, self.arrivals(worker))
        process = self.fleet.workers[worker]["process"]
        process.end()
        process.start()
        self.fleet.wait_until("the target is up", lambda: self.fleet.is_up(worker))

    def busiest(self, prefix):
        """The target that gets the most requests just now: one that is not used shows nothing."""
        names = [it for it in self.fleet.workers if it.startswith(prefix)]
        before = {it: len(self.arrivals(it)) for it in names}
        time.sleep(0.5)
        return max(names, key=lambda it: len(self.arrivals(it)) - before[it])

    def arrivals(self, worker):
        return self.fleet.ledger(worker)["arrivals"]

    def is_leaving(self, router, worker):
        """Whether the router knows that the target leaves or has gone."""
        status, _, body = call(router["control"], "GET", "/v1/status")
        entry = next((it for it in json.loads(body)["targets"] if it["id"] == worker), None) if status == 200 else {}
        return entry is None or entry.get("draining", False)

    def wait_until_known(self, worker):
        for router in self.fleet.routers:
            self.fleet.wait_until("a router knows that a target leaves", lambda it=router: self.is_leaving(it, worker), 5)
            self.check.note_known(router["front"], worker, time.monotonic())

    def finish(self):
        self.is_over.set()
        for it in self.callers:
            it.join()
        for worker in self.fleet.workers:
            self.check.note_ledger(worker, self.arrivals(worker))
        history = self.fleet.command(self.fleet.store, "/standin/acknowledged?topic=keyed.servers")
        self.check.note_store(history["records"])
        self.assertEqual(self.check.after_word(), [])
        self.assertEqual(self.check.after_knowing(), [])

    def served_share(self, since):
        results = [it.status == 200 and it.is_whole for caller in self.callers for it in caller.requests
                   if it.sent_at >= since and it.ended_at]
        return sum(results) / max(1, len(results))

    def pause(self, routers, during):
        """Stops routers for a while; they don't count as disturbed by it."""
        for it in routers:
            it["process"].send(signal.SIGSTOP)
        begun = time.monotonic()
        during()
        time.sleep(max(0.0, begun + STOP_SECONDS - time.monotonic()))
        for it in routers:
            it["process"].send(signal.SIGCONT)


class LeavingTargetsTest(LeavingCase):
    def test_requests_reach_targets_that_only_the_store_says_leave(self):
        """Guards against a leaving that is known by the targets' own answers only."""
        self.start()
        for store in ("told", "gone"):
            leaving = [self.busiest("engine"), self.busiest("app")]
            for worker in leaving:
                self.fleet.leave(worker, store, "untold")
            time.sleep(DRAIN_SECONDS + 2)
            for worker in leaving:
                self.come_back(worker)
            time.sleep(1)
        self.finish()

    def test_routers_forget_that_a_target_leaves_while_the_store_is_away(self):
        """Guards against a word that was known and is lost with the store, also where a router starts again meanwhile."""
        self.start(worker_arguments=("--no-start-time",))
        leaving = [self.busiest("engine"), self.busiest("app")]
        for worker in leaving:
            self.fleet.leave(worker, "told", "untold")
        for worker in leaving:
            self.wait_until_known(worker)
        self.fleet.command(self.fleet.store, "/standin/fault?kind=silent")
        router = self.fleet.routers[1]
        router["process"].end()
        router["process"].start()
        time.sleep(2 * DRAIN_SECONDS + 2)
        self.fleet.command(self.fleet.store, "/standin/fault?kind=none")
        time.sleep(3)
        self.finish()


class NextLifeTest(LeavingCase):
    def test_a_target_without_a_start_time_gets_nothing_after_it_left_and_started_again(self):
        """Guards against a leaving that is held against the id where entries don't say when their targets started."""
        self.start(worker_arguments=("--no-start-time",))
        for store in ("told", "gone"):
            for worker in (self.busiest("engine"), self.busiest("app")):
                self.fleet.leave(worker, store, "untold")
                time.sleep(DRAIN_SECONDS + 0.5)
                self.come_back(worker)
                for router in self.fleet.routers:
                    self.fleet.wait_until("a router uses it again", lambda it=router: not self.is_leaving(it, worker), 5)
                # An engine that is no home of the callers' prompt may get none while others have room.
                if worker.startswith("app"):
                    self.fleet.wait_until("it gets requests again", lambda it=worker: len(self.arrivals(it)) > 0, 5)
        self.finish()


class StalledRoutersTest(LeavingCase):
    def test_a_router_that_was_stopped_sends_to_targets_that_left_meanwhile(self):
        """Guards against requests that a router sends by what it knew before it was stopped."""
        self.start()
        for i in range(ROUNDS):
            worker = self.busiest("engine")
            self.pause([self.fleet.routers[i % len(self.fleet.routers)]], lambda it=worker: self.fleet.leave(it, "told", "untold"))
            time.sleep(1)
            self.come_back(worker)
            time.sleep(1)
        self.finish()

    def test_routers_that_were_all_stopped_send_to_targets_that_left_meanwhile(self):
        """Guards against the same where no other router knows more."""
        self.start()
        begun = time.monotonic()
        for i in range(ROUNDS):
            worker, store = self.busiest("engine"), ("told", "gone")[i % 2]
            self.pause(self.fleet.routers, lambda it=worker, word=store: self.fleet.leave(it, word, "untold"))
            time.sleep(ENTRIES_KEPT_SECONDS + 0.8)
            self.come_back(worker)
            time.sleep(1)
        self.finish()
        self.assertGreater(self.served_share(begun), 0.5)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
