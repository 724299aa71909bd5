"""Targets that fall silent for a second or so and go on, before real edge routers.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import collections
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet  # noqa: E402
from promises import Caller, Ledgers, Request, check  # noqa: E402

BUILD = "build"
ROUTERS = 2
SILENCE_SECONDS = 1.4
PAUSE_SECONDS = 2.0  # Between two silences, longer than a stream: a request meets one silence at most.
CHANGE_SECONDS = 0.7  # Between two versions of the configuration.
SECONDS = 10
FAILURES = (500, 502, 504)
LARGE_BODY_BYTES = 3 << 20  # More than a receive buffer and less than routers take.


class SilentTargetTest(unittest.TestCase):
    def play(self, engines, callers, silent, is_changed=False, seed=52):
        """silent: how the names of the targets begin that fall silent, one after the other.

        Returns the requests that got neither a whole answer nor a refusal.
        """
        rng = random.Random(seed)
        fleet = Fleet(BUILD, routers=ROUTERS, engines=engines, applications=2, worker_arguments=["--event-interval", "100ms"])
        self.addCleanup(fleet.__exit__)
        fleet.wait_ready()
        is_over = threading.Event()
        addresses = [it["front"] for it in fleet.routers]
        threads = [Caller(i, lambda: addresses, random.Random(rng.random()), 0.05, is_over) for i in range(callers)]
        for it in threads:
            it.start()
        changes = threading.Thread(target=self.change, args=(fleet, is_over), daemon=True)
        if is_changed:
            changes.start()
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            time.sleep(PAUSE_SECONDS)
            process = fleet.workers[rng.choice([it for it in sorted(fleet.workers) if it.startswith(silent)])]["process"]
            process.send(signal.SIGSTOP)
            time.sleep(SILENCE_SECONDS)
            process.send(signal.SIGCONT)
        time.sleep(PAUSE_SECONDS)
        is_over.set()
        for it in threads:
            it.join(timeout=10)
        if is_changed:
            changes.join()
        requests = [request for it in threads for request in it.requests]
        ledgers = Ledgers()
        for name in fleet.workers:
            ledgers.add(fleet.ledger(name))
        self.assertEqual(check(requests, ledgers), [])
        lost = [it for it in requests if not it.is_whole or it.status in FAILURES]
        print(f"{len(requests)} requests, lost by path and status:",
              dict(collections.Counter((it.path, it.status) for it in lost)), f"logs in {fleet.directory}", flush=True)
        return [f"{it.id} {it.path} status={it.status} after {it.ended_at - it.sent_at:.2f} s" for it in lost]

    def change(self, fleet, is_over):
        while not is_over.wait(CHANGE_SECONDS):
            fleet.configure()

    def test_streams_are_given_up_though_their_only_engine_goes_on(self):
        """Guards against streams that are given up for a silence of their target when there is no other."""
        self.assertEqual(self.play(engines=1, callers=12, silent="engine"), [])

    def test_streams_are_given_up_though_their_engine_goes_on(self):
        """Guards against streams that are given up for a silence of their target when no other may take them."""
        self.assertEqual(self.play(engines=3, callers=60, silent="engine"), [])

    def test_reads_fail_though_their_application_goes_on(self):
        """Guards against reads that fail for a silence of their target when no other may take them."""
        self.assertEqual(self.play(engines=1, callers=40, silent="app"), [])

    def test_large_posts_are_lost_though_their_application_goes_on(self):
        """Guards against a request that is cut while its body waits in front of a target that reads nothing for a while."""
        fleet = Fleet(BUILD, routers=1, engines=1, applications=1)
        self.addCleanup(fleet.__exit__)
        fleet.wait_ready()
        fleet.configure(maxBodyBytes=LARGE_BODY_BYTES)
        fleet.wait_until("the router has the limit", lambda: fleet.send("/posts/x", "f" * 16, body="x" * LARGE_BODY_BYTES)[0] == 200)
        application = fleet.workers["app-0"]["process"]
        for number in range(3):
            request = Request(f"{number:016x}", "/posts/x", "POST")
            request.sent_body = "x" * LARGE_BODY_BYTES
            application.send(signal.SIGSTOP)
            threading.Timer(SILENCE_SECONDS, application.send, (signal.SIGCONT,)).start()
            request.send(fleet.routers[0]["front"])
            self.assertEqual((request.status, request.is_whole), (200, True), fleet.routers[0]["process"].log()[-600:])
            self.assertGreater(request.ended_at - request.sent_at, SILENCE_SECONDS - 0.2)

    def test_requests_are_lost_beside_changes_of_the_configuration(self):
        """Guards against requests that are lost beside a change of the configuration while targets are silent."""
        self.assertEqual(self.play(engines=3, callers=60, silent=("app", "engine"), is_changed=True), [])


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
