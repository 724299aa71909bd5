"""Cold targets before real edge routers, which must share what these tolerate without exchanging anything.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import json
import os
import signal
import sys
import threading
import time
import typing
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call  # noqa: E402

BUILD = "build"
ROUTERS = 3
COLD_PER_S = 8.4
BOUND = COLD_PER_S * 1.5 + 5
SETTLING_SECONDS = 4
MEASURED_SECONDS = 4
DEADLINE_SECONDS = 3  # Of callers, see Fleet.send().
REFUSAL_SECONDS = 1  # "At once", with time for a busy machine.


class Answer(typing.NamedTuple):
    router: int
    begin: float
    end: float
    status: int
    fields: dict


def limit_cold_targets(document, seconds=60):
    for service in document["services"]:
        service.update({"coldS": seconds, "coldPerS": COLD_PER_S})


class ColdTargetsTest(unittest.TestCase):
    def start(self, *arguments):
        self.start_fleet(ROUTERS, arguments, limit_cold_targets, has_router_addresses=False)
        time.sleep(SETTLING_SECONDS)
        self.start_load()

    def start_fleet(self, routers, arguments, change, has_router_addresses=True):
        self.fleet = Fleet(BUILD, routers=routers, engines=0, applications=2, worker_arguments=arguments,
                           has_router_addresses=has_router_addresses)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.fleet.configure(change=change)

    def start_load(self):
        self.answers = []
        self.absences = []
        self.target_ends = []
        self.is_stopping = False
        for i in range(12):
            thread = threading.Thread(target=self.send, args=(i,), daemon=True)
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.stop)

    def stop(self):
        self.is_stopping = True

    def send(self, turn):
        while not self.is_stopping:
            router = turn % len(self.fleet.routers)
            begin = time.monotonic()
            status, fields, _ = self.fleet.send("/reads/x", uuid.uuid4().hex[:16], router=router, method="GET")
            self.answers.append(Answer(router, begin, time.monotonic(), status, fields))
            turn += 1
            time.sleep(0.01)

    def metric(self, name):
        return sum(self.metric_of(router, name) for router in self.fleet.routers)

    def metric_of(self, router, name):
        text = call(router["control"], "GET", "/metrics")[2].decode()
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name + " "))

    def cold_placements(self, number):
        return self.metric_of(self.fleet.routers[number], "sagechute_edge_cold_placements_total")

    def restart(self, numbers, action):
        """Runs an action that restarts routers; until they are ready again, these may give no answer."""
        begin = time.monotonic()
        action()
        for number in numbers:
            self.fleet.wait_until("a restarted router is ready",
                                  lambda it=number: self.fleet.is_ready(self.fleet.routers[it]))
        self.absences.append((set(numbers), begin, time.monotonic()))

    def is_absent(self, answer):
        return any(answer.router in numbers and answer.begin < end and begin < answer.end
                   for numbers, begin, end in self.absences)

    def is_broken_off(self, answer):
        """Whether a target ended while the request may have run on it: the answer must not say that it did not run."""
        return any(answer.begin < end and begin < answer.end for begin, end in self.target_ends)

    def is_warm_with_limits(self, router):
        """Whether a router has the limits and knows no cold target; the metric of these is up to a second late."""
        code, _, body = call(router["control"], "GET", "/v1/status")
        status = json.loads(body) if code == 200 else {}
        return status.get("configVersion") == self.fleet.version and status["coldTargets"] == []

    def wait_for_limits(self):
        """Without them the first requests would not be limited."""
        self.fleet.wait_until("all routers limit the cold targets",
                              lambda: self.metric("sagechute_edge_cold_targets") == 2 * len(self.fleet.routers), 5)

    def cold_totals(self):
        return {name: self.fleet.ledger(name)["coldTotal"] for name in self.fleet.workers}

    def assert_within_bound(self):
        """coldPeak is the largest number of requests in any second since the start of the target."""
        peaks = {name: self.fleet.ledger(name)["coldPeak"] for name in self.fleet.workers}
        print("cold peaks", peaks, flush=True)
        for name, peak in peaks.items():
            self.assertLessEqual(peak, BOUND, name)
            self.assertIsNone(self.fleet.workers[name]["process"].child.poll(), name + " ended")

    def wait_until_used(self):
        """The cold targets get some of what they tolerate: routers that send nothing would pass all else."""
        before = self.cold_totals()
        wanted = 0.4 * COLD_PER_S * MEASURED_SECONDS
        self.fleet.wait_until("cold targets get requests",
                              lambda: all(total - before[name] > wanted for name, total in self.cold_totals().items()),
                              SETTLING_SECONDS + MEASURED_SECONDS)

    def assert_served_or_refused_at_once(self):
        answers = [it for it in list(self.answers) if it.status != 0 or not self.is_absent(it)]
        print("answers", {status: sum(it.status == status for it in answers) for status in {it.status for it in answers}},
              "longest", round(max(it.end - it.begin for it in answers), 2), flush=True)
        broken_off = [it for it in answers if it.status == 502 and self.is_broken_off(it)]
        self.assertEqual({it.status for it in answers if it not in broken_off}, {200, 503})
        self.assertEqual([it for it in answers if it.status == 503 and "retry-after" not in it.fields], [])
        self.assertEqual([it for it in answers if it.end - it.begin >= DEADLINE_SECONDS], [])
        self.assertEqual([it for it in answers if it.status == 503 and it.end - it.begin >= REFUSAL_SECONDS], [])

    def test_cold_targets_get_most_of_what_they_tolerate_and_no_more(self):
        """Guards against targets that crash while cold, and routers that leave cold targets idle."""
        self.start("--cold", "60s", "--cold-rate", str(COLD_PER_S))
        before = {name: self.fleet.ledger(name)["coldTotal"] for name in self.fleet.workers}
        time.sleep(6)
        for name in self.fleet.workers:
            ledger = self.fleet.ledger(name)
            self.assertLessEqual(ledger["coldPeak"], BOUND)
            self.assertGreater(ledger["coldTotal"] - before[name], 0.4 * COLD_PER_S * 6)
        refused = [it.fields for it in self.answers if it.status == 503]
        self.assertGreater(len(refused), 50)
        self.assertTrue(all("retry-after" in it for it in refused))
        self.assertEqual({it.status for it in self.answers}, {200, 503})
        self.assertEqual(self.metric("sagechute_edge_cold_targets"), 2 * ROUTERS)
        self.assertGreater(self.metric("sagechute_edge_cold_placements_total"), 0)
        self.assertTrue(all("target-cold target=app-0" in it["process"].log() for it in self.fleet.routers))

    def test_a_target_is_limited_again_when_it_becomes_cold_and_free_when_it_is_warm(self):
        """Guards against routers that learn of cold targets only at their start, or never of their warmth."""
        self.start()
        time.sleep(1)
        for name in self.fleet.workers:
            self.assertEqual(self.fleet.ledger(name)["coldTotal"], 0)
        self.assertEqual({it.status for it in self.answers}, {200})
        worker = self.fleet.workers["app-0"]["address"]
        self.fleet.command(worker, "/standin/cold?ms=8000")
        time.sleep(2)
        before = self.fleet.ledger("app-0")["coldTotal"]
        time.sleep(5)
        sent = self.fleet.ledger("app-0")["coldTotal"] - before
        self.assertLessEqual(sent, BOUND * 5)
        self.assertGreater(sent, 0)
        self.fleet.wait_until("it gets its full share again", lambda: self.metric("sagechute_edge_cold_targets") == 0, 5)
        self.assertEqual({it.status for it in self.answers}, {200})

    def test_two_groups_of_routers_that_do_not_hear_each_other_stay_within_the_bound(self):
        """Guards against groups that each take all of what cold targets tolerate, and more than two such shares."""
        self.start_fleet(5, ("--cold", "60s", "--cold-rate", str(COLD_PER_S)), limit_cold_targets)
        self.wait_for_limits()
        self.start_load()
        # The majority still counts the two; these have never heard of it. After the second restart neither group knows
        # of the other.
        for group in ([3, 4], [0, 1, 2]):
            self.restart(group, lambda: self.fleet.restart_as_group(group))
            time.sleep(SETTLING_SECONDS + 1)
            self.wait_until_used()
            for users in ([3, 4], [0, 1, 2]):
                self.assertGreater(sum(self.cold_placements(it) for it in users), 0, users)
        self.assertEqual([len(self.fleet.locate(it)) for it in range(5)], [3, 3, 3, 2, 2])
        self.assert_within_bound()
        self.assert_served_or_refused_at_once()

    def test_a_restart_of_all_routers_while_targets_are_cold_stays_within_the_bound(self):
        """Guards against restarted routers that use slots before they know the others, or of which others still use."""
        self.start_fleet(ROUTERS, ("--cold", "60s", "--cold-rate", str(COLD_PER_S)), limit_cold_targets)
        self.wait_for_limits()
        self.start_load()
        self.wait_until_used()
        for restart in (self.restart_all_abruptly, self.restart_all_in_order):
            self.restart(range(ROUTERS), restart)
            self.wait_until_used()
        self.assert_within_bound()
        self.assert_served_or_refused_at_once()

    def restart_all_abruptly(self):
        for router in self.fleet.routers:
            router["process"].end()
        for router in self.fleet.routers:
            router["process"].start()

    def restart_all_in_order(self):
        for router in self.fleet.routers:
            router["process"].send(signal.SIGTERM)
        for router in self.fleet.routers:
            router["process"].wait()
            router["process"].start()

    def test_targets_that_start_again_under_load_get_no_more_than_they_tolerate(self):
        """Guards against routers that send a returned target its full share before they know that it is cold."""
        cold_seconds = 4
        self.start_fleet(ROUTERS, ("--cold", f"{cold_seconds}s", "--cold-rate", str(COLD_PER_S)),
                         lambda document: limit_cold_targets(document, cold_seconds))
        self.fleet.wait_until("all targets are warm", lambda: all(map(self.is_warm_with_limits, self.fleet.routers)), 10)
        self.start_load()
        time.sleep(0.5)
        self.assertEqual(set(self.cold_totals().values()), {0})
        for names in (["app-0"], ["app-0", "app-1"]):
            begin = time.monotonic()
            for name in names:
                self.fleet.workers[name]["process"].end()
            self.target_ends.append((begin, time.monotonic()))
            for name in names:
                self.fleet.workers[name]["process"].start()
            for name in names:
                self.fleet.wait_until("a target is up again", lambda it=name: self.fleet.is_up(it), 5)
            time.sleep(2)
            self.assert_within_bound()
            for name in self.fleet.workers:
                self.assertEqual(self.fleet.ledger(name)["coldTotal"] > 0, name in names, name)
            if names == ["app-0"]:
                # The other target is warm and has connections for all callers; a busy router may refuse some all the same.
                served = sum(it.status == 200 for it in list(self.answers))
                self.assertGreater(served, len(self.answers) / 2)
        self.assert_served_or_refused_at_once()


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
