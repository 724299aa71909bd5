"""A request that crashes every target that runs it, before real edge routers and stand-ins that are started again.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import json
import os
import signal
import sys
import threading
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call, events_of  # noqa: E402

BUILD = "build"
MARKER = "this-crashes-the-target"
CRASH_TOPIC = "keyed.sagechute-crashes"
ROUTERS = 3
ENGINES = 5
DOWN_SECONDS = 2.0
HANG_SECONDS = 3.0  # Until a process that hangs is ended.
SILENCE_SECONDS = 1.4
STABLE_SECONDS = 3.0
MOST_MORE = 3  # Targets that may still end later than that after the third.
PAUSE_SECONDS = 0.3
CALLERS = 6


def fresh():
    return uuid.uuid4().hex[:16]


class Keeper(threading.Thread):
    """Starts targets again that have ended, some time later, and notes when they ended."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.ends = []
        self.is_stopping = False

    def run(self):
        due = {}
        while not self.is_stopping:
            now = time.monotonic()
            for name, worker in self.fleet.workers.items():
                if name in due:
                    if now >= due[name]:
                        del due[name]
                        worker["process"].start()
                elif worker["process"].child.poll() is not None:
                    self.ends.append(now)
                    due[name] = now + DOWN_SECONDS
            time.sleep(0.01)

    def ends_too_many(self):
        """Ends later than the routers had to know of the third."""
        if len(self.ends) < 3:
            return 0
        return sum(it > self.ends[2] + STABLE_SECONDS for it in self.ends)


def is_stopped(process):
    """Whether the process is stopped by a signal."""
    try:
        with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
            return file.read().rpartition(")")[2].split()[0] == "T"
    except OSError:
        return False


class HangKeeper(Keeper):
    """Also ends targets that hang."""

    def run(self):
        threading.Thread(target=self.end_hanging, daemon=True).start()
        super().run()

    def end_hanging(self):
        since = {}
        while not self.is_stopping:
            now = time.monotonic()
            for name, worker in self.fleet.workers.items():
                if not is_stopped(worker["process"]):
                    since.pop(name, None)
                elif now - since.setdefault(name, now) > HANG_SECONDS:
                    worker["process"].send(signal.SIGKILL)
            time.sleep(0.05)


class Callers:
    """Send requests of their own, one after the other."""

    def __init__(self, fleet, callers=CALLERS, body=None):
        """body: that of all requests; absent: each has its own."""
        self.fleet = fleet
        self.body = body
        self.is_stopping = False
        self.results = []  # (when it was sent, whether it was answered whole)
        self.threads = [threading.Thread(target=self.send, args=(i,), daemon=True) for i in range(callers)]
        for it in self.threads:
            it.start()

    def send(self, turn):
        while not self.is_stopping:
            begun = time.monotonic()
            status, _, body = self.fleet.send("/answers/x", fresh(), router=turn % len(self.fleet.routers),
                                              body=self.body or fresh())
            self.results.append((begun, status == 200 and len(events_of(body)) == 10))
            turn += 1
            time.sleep(0.02)

    def stop(self):
        self.is_stopping = True
        for it in self.threads:
            it.join()

    def served_share(self, since):
        results = [is_whole for begun, is_whole in self.results if begun >= since]
        return sum(results) / max(1, len(results))


class CrashingTargetsCase(unittest.TestCase):
    worker_arguments = ["--crash-marker", MARKER, "--work", "60ms"]
    keeper_type = Keeper

    def setUp(self):
        self.fleet = Fleet(BUILD, routers=ROUTERS, engines=ENGINES, applications=0,
                           worker_arguments=self.worker_arguments)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.keeper = self.keeper_type(self.fleet)
        self.keeper.start()
        self.addCleanup(self.stop_keeper)
        self.callers = Callers(self.fleet)
        self.addCleanup(self.callers.stop)
        self.answers = []

    def stop_keeper(self):
        self.keeper.is_stopping = True
        self.keeper.join()

    def repeat(self, seconds, router=None):
        """Sends the crashing request again and again, each time under a new id."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            chosen = len(self.answers) % ROUTERS if router is None else router
            self.answers.append(self.fleet.send("/answers/x", fresh(), router=chosen, body=MARKER)[:2])
            time.sleep(PAUSE_SECONDS)

    def repeat_until_third(self):
        while len(self.keeper.ends) < 3:
            self.repeat(PAUSE_SECONDS / 2)

    def restart(self, routers):
        for it in routers:
            it["process"].end()
        for it in routers:
            it["process"].start()
        for it in routers:
            self.fleet.wait_until("it is ready", lambda: self.fleet.is_ready(it), 8)

    def check(self):
        self.assertGreaterEqual(len(self.keeper.ends), 3, "the request crashed no targets")
        self.assertLessEqual(self.keeper.ends_too_many(), MOST_MORE, f"{len(self.keeper.ends)} ended in all")


class CrashingRequestTest(CrashingTargetsCase):
    def test_a_request_that_crashes_targets_is_repeated_at_all_routers(self):
        """Guards against a request that ends a target each time it comes, whichever router it comes to."""
        self.repeat(11)
        self.check()
        status, fields = self.answers[-1]
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["retry-after"]), 1)
        self.assertGreater(self.callers.served_share(time.monotonic() - 3), 0.95)

    def test_a_request_that_crashes_targets_is_repeated_at_a_router_that_started_after_the_third(self):
        """Guards against a router without memory of what the others know."""
        self.repeat_until_third()
        self.repeat(1)
        self.restart(self.fleet.routers[:1])
        self.repeat(8, router=0)
        self.check()

    def test_a_request_that_crashes_targets_is_repeated_after_all_routers_were_lost(self):
        """Guards against knowledge that lives in routers only."""
        self.repeat_until_third()
        self.repeat(1)
        for _ in range(2):
            self.restart(self.fleet.routers)
            self.repeat(6)
        self.check()

    def test_a_request_that_crashes_targets_is_repeated_while_the_store_is_away(self):
        """Guards against routers that learn of each other's lost targets by the store only."""
        self.fleet.command(self.fleet.store, "/standin/fault?kind=silent")
        self.repeat(9)
        self.fleet.command(self.fleet.store, "/standin/fault?kind=none")
        self.check()

    def test_a_request_that_crashes_targets_is_repeated_at_routers_that_cannot_reach_each_other(self):
        """Guards against routers that learn of each other's lost targets from each other only."""
        self.fleet.command(self.fleet.store, "/standin/fault?kind=silent&topic=keyed.status")
        for it in self.fleet.routers:
            it["process"].end()
        for it in self.fleet.routers:
            self.fleet.restart_with_stale_seeds(it)
        for it in self.fleet.routers:
            self.fleet.wait_until("it is ready", lambda: self.fleet.is_ready(it), 8)
        self.repeat_until_third()
        time.sleep(STABLE_SECONDS)
        self.repeat(7)
        self.assertEqual([len(self.fleet.locate(it)) for it in range(ROUTERS)], [1] * ROUTERS)
        self.check()

    def test_a_request_that_an_operator_released_stays_refused_at_other_routers(self):
        """Guards against a release that only the router knows which was told of it."""
        self.repeat_until_third()
        self.fleet.wait_until("it is quarantined", lambda: self.quarantined(2))
        key = self.quarantined(2)[0]
        self.assertEqual(call(self.fleet.routers[0]["control"], "DELETE", f"/v1/quarantine/{key}")[0], 200)
        for router in range(ROUTERS):
            self.fleet.wait_until("it is released", lambda it=router: not self.quarantined(it), 2)
        self.restart(self.fleet.routers)
        time.sleep(2)
        self.assertFalse(self.quarantined(0))

    def test_all_routers_are_killed_right_after_a_release_was_answered(self):
        """Guards against a release that was answered with 200 before the store held it, and is lost with the routers."""
        self.repeat_until_third()
        self.fleet.wait_until("it is quarantined", lambda: self.quarantined(2))
        path = f"/v1/quarantine/{self.quarantined(2)[0]}"
        self.fleet.wait_until("the store holds the quarantine", lambda: b"quarantined/" in self.stored())
        control = self.fleet.routers[0]["control"]
        self.fleet.command(self.fleet.store, f"/standin/fault?kind=silent&topic={CRASH_TOPIC}")
        answers = []
        release = threading.Thread(target=lambda: answers.append(call(control, "DELETE", path)))
        release.start()
        slowest = 0.0
        while release.is_alive():
            begun = time.monotonic()
            self.assertEqual(call(control, "GET", "/healthz")[0], 200)
            slowest = max(slowest, time.monotonic() - begun)
            time.sleep(0.05)
        status, fields, body = answers[0]
        if status != 200:
            self.assertEqual(status, 503)
            self.assertIn(b"release-not-stored", body)
            self.assertGreater(int(fields["retry-after"]), 0)
            self.assertLess(slowest, 1.0, "a release that waits for the store delays other requests")
            self.assertEqual([bool(self.quarantined(it)) for it in range(ROUTERS)], [True] * ROUTERS)
            self.fleet.command(self.fleet.store, "/standin/fault?kind=none")
            self.assertEqual(call(control, "DELETE", path)[0], 200)
        for it in self.fleet.routers:
            it["process"].end()
        self.fleet.command(self.fleet.store, "/standin/fault?kind=none")
        # A quarantine of another request shows when the routers have read the records.
        other = "00000000000000aa"
        self.fleet.command(self.fleet.store, f"/standin/put?topic={CRASH_TOPIC}&key=quarantined/{other}",
                           json.dumps({"request": other, "targets": [1, 2, 3], "cleared": False}))
        self.restart(self.fleet.routers)
        for router in range(ROUTERS):
            self.fleet.wait_until("it has read the records", lambda it=router: other in self.quarantined(it))
        time.sleep(1)
        self.assertEqual([self.quarantined(it) for it in range(ROUTERS)], [[other]] * ROUTERS, f"answered {status}")
        self.assertEqual(call(control, "DELETE", path)[0], 200, "a release can be repeated")

    def stored(self):
        return call(self.fleet.store, "GET", f"/sagechute/log-newest?topic={CRASH_TOPIC}&part=0")[2]

    def quarantined(self, router):
        status, _, body = call(self.fleet.routers[router]["control"], "GET", "/v1/quarantine")
        self.assertEqual(status, 200)
        return [it["key"] for it in json.loads(body)["requests"] if it["quarantined"]]


class CrashInsideEventTest(CrashingTargetsCase):
    worker_arguments = CrashingTargetsCase.worker_arguments + ["--crash-in-event"]

    def test_a_request_that_crashes_targets_inside_an_event_is_taken_for_answered(self):
        """Guards against a crash that is held to be a complete run, as the connection of its answer was closed in order."""
        self.repeat(11)
        self.check()
        self.assertEqual(self.answers[-1][0], 503)


class HangingRequestTest(CrashingTargetsCase):
    worker_arguments = CrashingTargetsCase.worker_arguments + ["--hang"]
    keeper_type = HangKeeper

    def test_a_request_that_hangs_targets_until_they_are_ended_is_repeated(self):
        """Guards against a request whose targets are held to be alive because their kernels accept connections."""
        self.repeat(16)
        self.check()
        self.assertEqual(self.answers[-1][0], 503)


class PausedTargetsTest(unittest.TestCase):
    def test_equal_requests_of_many_callers_are_refused_because_their_targets_paused(self):
        """Guards against a request that is refused as crashing because three sound targets paused in turn."""
        fleet = Fleet(BUILD, routers=2, engines=4, applications=0, worker_arguments=["--event-interval", "100ms"])
        self.addCleanup(fleet.__exit__)
        fleet.wait_ready()
        callers = Callers(fleet, callers=24, body="the same of all")
        self.addCleanup(callers.stop)
        for name in sorted(fleet.workers):
            process = fleet.workers[name]["process"]
            process.send(signal.SIGSTOP)
            time.sleep(SILENCE_SECONDS)
            process.send(signal.SIGCONT)
            time.sleep(PAUSE_SECONDS)
        time.sleep(1)
        logs = "".join(it["process"].log() for it in fleet.routers)
        refused = logs.count("refused:quarantined")
        self.assertGreaterEqual(logs.count(":silent"), 3, "no target was seen silent")
        self.assertEqual(refused, 0, f"of {len(callers.results)} requests")


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
