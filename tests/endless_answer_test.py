"""Targets that send bytes without end, before a real edge router: in a head, a chunk extension, a trailer, interim
answers, bodies and events.

Run by ctest with the build directory as the first argument.
"""

import concurrent.futures
import json
import os
import re
import sys
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call  # noqa: E402

BUILD = "build"
ALWAYS = 1_000_000
AT_ONCE = 10
DEADLINE_SECONDS = 3.0
CLOSED_SECONDS = 1.0  # After the answers, by which the router has closed its connections to the targets.
MOST_GROWTH_BYTES = 64 << 20
NO_ANSWER = ("endless-field", "endless-fields", "endless-interim", "endless-no-http", "endless-chunk-extension",
             "endless-trailer", "endless-trailers", "endless-foreign-body", "endless-refusal")
BODIES = ("endless-body",)
EVENTS = ("endless-event", "endless-lines", "endless-comments")


class EndlessAnswersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(BUILD, routers=1, engines=1, applications=1)
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.fleet.wait_ready()

    def setUp(self):
        self.addCleanup(self.fleet.fault_all, "", "none", 0)
        self.send_at_once("/reads/x", "GET")
        self.send_at_once("/chats/x", "POST")

    def memory(self):
        with open(f"/proc/{self.fleet.routers[0]['process'].child.pid}/status", encoding="ascii") as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read())[1]) << 10

    def rejected_answers(self):
        text = call(self.fleet.routers[0]["metrics"], "GET", "/metrics")[2].decode()
        return sum(int(n) for n in re.findall(r"rejected_answers_total\{[^}]*\} (\d+)", text))

    def send_at_once(self, path, method):
        def send(_):
            request = uuid.uuid4().hex[:16]
            return self.fleet.send(path, request, method=method, body=request if method == "POST" else "")
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            return list(pool.map(send, range(AT_ONCE)))

    def check(self, kind, worker, path, method):
        with self.subTest(kind=kind, path=path):
            memory, counted = self.memory(), self.rejected_answers()
            self.fleet.fault(worker, kind, ALWAYS)
            begun = time.monotonic()
            answers = self.send_at_once(path, method)
            took = time.monotonic() - begun
            time.sleep(CLOSED_SECONDS)
            active = json.loads(call(self.fleet.workers[worker]["address"], "POST", "/standin/ledger")[2])["active"]
            self.fleet.fault(worker, "none", 0)
            self.assertNotIn(200, {it[0] for it in answers if it[2]}, "an answer without end was passed on as whole")
            if kind == "endless-refusal":
                self.assertEqual({it[0] for it in answers}, {503}, "what has not run is not said to have")
            self.assertLess(took, DEADLINE_SECONDS, "the caller waited until its deadline")
            self.assertEqual(active, 0, "connections to the target are still open")
            self.assertLess(self.memory() - memory, MOST_GROWTH_BYTES)
            self.assertGreater(self.rejected_answers(), counted)

    def test_bytes_that_are_no_answer_come_without_end(self):
        """Guards against a router that waits for the end of bytes that are no answer, or keeps them."""
        for kind in NO_ANSWER:
            self.check(kind, "app-0", "/posts/x", "POST")
            self.check(kind, "engine-0", "/chats/x", "POST")

    def test_a_body_comes_without_end(self):
        """Guards against answers of which each is within its bound, but all together are not within the router's memory."""
        for kind in BODIES:
            self.check(kind, "app-0", "/posts/x", "POST")

    def test_events_come_without_end(self):
        """Guards against an event that is kept until its end, which doesn't come."""
        for kind in EVENTS:
            self.check(kind, "engine-0", "/chats/x", "POST")


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
