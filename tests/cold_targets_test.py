"""Cold targets before real edge routers, which must share what these tolerate without exchanging anything.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import os
import sys
import threading
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call  # noqa: E402

BUILD = "build"
ROUTERS = 3
COLD_PER_S = 8.4
BOUND = COLD_PER_S * 1.5 + 5
SETTLING_SECONDS = 4


def limit_cold_targets(document):
    for service in document["services"]:
        service.update({"coldS": 60, "coldPerS": COLD_PER_S})


class ColdTargetsTest(unittest.TestCase):
    def start(self, *arguments):
        self.fleet = Fleet(BUILD, routers=ROUTERS, engines=0, applications=2, worker_arguments=arguments)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.fleet.configure(change=limit_cold_targets)
        time.sleep(SETTLING_SECONDS)
        self.answers = []
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
            status, fields, _ = self.fleet.send("/reads/x", uuid.uuid4().hex[:16], router=turn % ROUTERS, method="GET")
            self.answers.append((status, fields))
            turn += 1
            time.sleep(0.01)

    def metric(self, name):
        total = 0.0
        for router in self.fleet.routers:
            text = call(router["control"], "GET", "/metrics")[2].decode()
            total += sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name + " "))
        return total

    def test_cold_targets_get_most_of_what_they_tolerate_and_no_more(self):
        """Guards against targets that crash while cold, and routers that leave cold targets idle."""
        self.start("--cold", "60s", "--cold-rate", str(COLD_PER_S))
        before = {name: self.fleet.ledger(name)["coldTotal"] for name in self.fleet.workers}
        time.sleep(6)
        for name in self.fleet.workers:
            ledger = self.fleet.ledger(name)
            self.assertLessEqual(ledger["coldPeak"], BOUND)
            self.assertGreater(ledger["coldTotal"] - before[name], 0.4 * COLD_PER_S * 6)
        refused = [fields for status, fields in self.answers if status == 503]
        self.assertGreater(len(refused), 50)
        self.assertTrue(all("retry-after" in it for it in refused))
        self.assertEqual({status for status, _ in self.answers}, {200, 503})
        self.assertEqual(self.metric("sagechute_edge_cold_targets"), 2 * ROUTERS)
        self.assertGreater(self.metric("sagechute_edge_cold_placements_total"), 0)
        self.assertTrue(all("target-cold target=app-0" in it["process"].log() for it in self.fleet.routers))

    def test_a_target_is_limited_again_when_it_becomes_cold_and_free_when_it_is_warm(self):
        """Guards against routers that learn of cold targets only at their start, or never of their warmth."""
        self.start()
        time.sleep(1)
        for name in self.fleet.workers:
            self.assertEqual(self.fleet.ledger(name)["coldTotal"], 0)
        self.assertEqual({status for status, _ in self.answers}, {200})
        worker = self.fleet.workers["app-0"]["address"]
        self.fleet.command(worker, "/standin/cold?ms=8000")
        time.sleep(2)
        before = self.fleet.ledger("app-0")["coldTotal"]
        time.sleep(5)
        sent = self.fleet.ledger("app-0")["coldTotal"] - before
        self.assertLessEqual(sent, BOUND * 5)
        self.assertGreater(sent, 0)
        self.fleet.wait_until("it gets its full share again", lambda: self.metric("sagechute_edge_cold_targets") == 0, 5)
        self.assertEqual({status for status, _ in self.answers}, {200})


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
