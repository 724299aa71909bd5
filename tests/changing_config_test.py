"""Versions of the configuration in quick series, before real edge routers with callers on kept connections.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import collections
import os
import random
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import KEY, Fleet  # noqa: E402
from promises import Caller, Ledgers, check  # noqa: E402

BUILD = "build"
SEED = int(os.environ.get("CONFIG_CHANGE_SEED", "52"))
SECONDS = float(os.environ.get("CONFIG_CHANGE_SECONDS", "10"))
ROUTERS = 2
CALLERS = 40
CHANGE_SECONDS = (0.05, 0.3)  # Between two versions of the configuration.
STREAM_SECONDS = 1.0
RESTART_SECONDS = 0.7  # Between two targets that leave.
BREAK_SECONDS = 0.15  # Between two streams that break.
FAILURES = (500, 502, 504)
TIMEOUTS_MS = (1800, 3000, 6000)
QUOTAS = (20, 2000, 100000)  # Tokens per second; a stream takes 1,020.
OTHER_KEY = "another-key-of-teller"
OTHER_ENGINES = {"engine-b0": "llm-b", "engine-b1": "llm-b"}


class ChangingConfigTest(unittest.TestCase):
    def play(self, change, disturb=None, may_break=()):
        """change: changes the document of a version at random.

        disturb: called with the fleet and a random generator until the traffic ends.
        may_break: paths on which a request may be lost as its target breaks.
        Returns the requests that got neither a whole answer nor a refusal.
        """
        rng = random.Random(SEED)
        fleet = Fleet(BUILD, routers=ROUTERS, engines=3, applications=2, others=OTHER_ENGINES,
                      worker_arguments=["--event-interval", "100ms"])
        self.addCleanup(fleet.__exit__)
        fleet.wait_ready()
        is_over = threading.Event()
        addresses = [it["front"] for it in fleet.routers]
        callers = [Caller(i, lambda: addresses, random.Random(rng.random()), 0.05, is_over) for i in range(CALLERS)]
        ledgers = Ledgers()
        changes = random.Random(rng.random())
        troubles = random.Random(rng.random())
        threads = [threading.Thread(target=self.change, args=(fleet, change, changes, is_over), daemon=True)]
        if disturb:
            threads.append(threading.Thread(target=self.repeat, args=(disturb, fleet, troubles, ledgers, is_over), daemon=True))
        for it in callers + threads:
            it.start()
        time.sleep(SECONDS)
        is_over.set()
        for it in callers + threads:
            it.join(timeout=15)
            self.assertFalse(it.is_alive())
        requests = [request for it in callers for request in it.requests]
        for name in fleet.workers:
            self.add(ledgers, fleet, name)
        # A version without the route or the key denies a request, and one with another service sends it there.
        found = [it for it in check(requests, ledgers) if not it.startswith("DENIED")]
        lost = [it for it in requests if (not it.is_whole or it.status in FAILURES) and it.path not in may_break]
        print(f"{len(requests)} requests, {fleet.version // 3} versions; by status:",
              dict(collections.Counter((it.status, it.is_whole) for it in requests)), "lost by path and status:",
              dict(collections.Counter((it.path, it.status) for it in lost)), f"logs in {fleet.directory}", flush=True)
        for it in lost[:10]:
            for router in fleet.routers:
                print("\n".join(line for line in router["process"].log().splitlines() if it.id in line), flush=True)
        self.assertEqual(found, [])
        return [f"{it.id} {it.path} status={it.status} after {it.ended_at - it.sent_at:.2f} s" for it in lost]

    def add(self, ledgers, fleet, name):
        ledger = fleet.ledger(name)
        ledgers.add({**ledger, "service": "llm" if name.startswith("engine") else ledger["service"]})

    def change(self, fleet, change, rng, is_over):
        while not is_over.wait(rng.uniform(*CHANGE_SECONDS)):
            fleet.configure(change=lambda document: change(document, rng))

    def repeat(self, disturb, fleet, rng, ledgers, is_over):
        while not is_over.is_set():
            disturb(fleet, rng, ledgers, is_over)

    @staticmethod
    def change_all(document, rng):
        """Routes move, are dropped and come back; timeouts, attempts, keys, quotas and services change."""
        for route in document["routes"]:
            route["timeoutMs"] = rng.choice(TIMEOUTS_MS)
            route["goalMs"] = rng.choice((0, 200, 500, 1000))
            if route["service"] == "llm":
                route["service"] = rng.choice(("llm", "llm-b"))
            if rng.random() < 0.3:
                route["backends"] = [{"service": it, "weight": rng.choice((0, 1, 50))} for it in ("llm", "llm-b")] \
                    if route["service"].startswith("llm") else [{"service": "app", "weight": 1}]
        document["routes"] = [it for it in document["routes"] if rng.random() < 0.85]
        rng.shuffle(document["routes"])
        other = {**document["services"][0], "name": "llm-b"}
        document["services"] = [it for it in document["services"] + [other] if rng.random() < 0.85]
        document["limits"]["tokensPerS"] = rng.choice(QUOTAS)
        keys = rng.choice(([KEY], [KEY, OTHER_KEY], [OTHER_KEY, KEY], [KEY, KEY], [OTHER_KEY]))
        document["tenants"] = [{"name": "teller", "apiKeys": keys}]

    @staticmethod
    def change_quota(document, rng):
        document["limits"]["tokensPerS"] = rng.choice(QUOTAS)

    def leave_and_return(self, fleet, rng, ledgers, is_over):
        """A target drains, ends when its streams have, leaves the list and comes back under the same name."""
        name = rng.choice(sorted(fleet.workers))
        worker = fleet.workers[name]
        fleet.command(worker["address"], "/standin/drain?store=told")
        time.sleep(2 * STREAM_SECONDS)
        if is_over.is_set():
            return
        self.add(ledgers, fleet, name)
        worker["process"].end()
        if rng.random() < 0.5:
            fleet.command(fleet.store, f"/standin/drop?topic=keyed.servers&key={name}")
            time.sleep(rng.uniform(0, 0.5))
        worker["process"].start()
        fleet.wait_until("a target is back", lambda: fleet.is_up(name))
        is_over.wait(RESTART_SECONDS)

    @staticmethod
    def break_stream(fleet, _rng, _ledgers, is_over):
        """The next answer of one target breaks off halfway; the others go on with it."""
        fleet.fault("engine-0", "reset-between-events")
        is_over.wait(BREAK_SECONDS)

    def test_changes_end_no_request(self):
        """Guards against requests that a version of the configuration ends while they are placed, queued or running."""
        self.assertEqual(self.play(self.change_all), [])

    def test_changes_end_no_request_beside_targets_that_leave(self):
        """Guards against requests that are lost as their target leaves the list beside a change."""
        self.assertEqual(self.play(self.change_all, self.leave_and_return), [])

    def test_changes_end_no_stream_whose_target_breaks(self):
        """Guards against begun answers that are cut because their route, key or service is gone when their target breaks."""
        self.assertEqual(self.play(self.change_all, self.break_stream, may_break=("/chats/x",)), [])

    def test_a_lower_quota_ends_no_stream_whose_target_breaks(self):
        """Guards against begun answers that are cut because their customer's quota is lower than when they began."""
        self.assertEqual(self.play(self.change_quota, self.break_stream, may_break=("/chats/x",)), [])


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
