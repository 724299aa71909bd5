"""Answers of targets that end early or have neither a length nor chunks, before real edge routers.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import concurrent.futures
import os
import re
import socket
import sys
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import HOST, KEY, Fleet, call, events_of, with_line_feeds  # noqa: E402

BUILD = "build"
ALL_EVENTS = list(range(1, 11))
EVENT_SECONDS = 0.03
REQUESTS = 8
AT_ONCE = 18
WITHIN_RETRY_BUDGET = 3  # Requests that may be sent a second time in each case.
STILL = 1_000_000  # Requests that a stand-in treats so until it is told otherwise.
CUT_IN_EVENT = ("close-in-first-event", "close-in-event", "close-before-empty-line", "close-in-crlf-event",
                "end-in-event", "reset-in-event")
WHOLE = ("unframed", "crlf", "cr", "unframed-crlf", "unframed-comment-last")


def fresh():
    return uuid.uuid4().hex[:16]


def read_events(body):
    """The identities of the whole events, whichever line ends they have."""
    return events_of(with_line_feeds(body))


def send_raw(address, path, request_id, version):
    """Returns (bytes, whether the connection was closed in order, seconds to the first event, seconds to the end)."""
    host, port = address.split(":")
    received, first = b"", None
    begun = time.monotonic()
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall((f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nX-Sagechute-Attempt-Id: {request_id}\r\n"
                            f"X-Sagechute-Deadline-Ms: 3000\r\nApi-Key: {KEY}\r\nConnection: close\r\n"
                            f"X-Sagechute-Prompt-Prefix: {request_id[:8]}:800,{request_id[8:]}:200\r\n"
                            "X-Sagechute-Token-Usage: 1000,10\r\nContent-Length: 0\r\n\r\n").encode())
        try:
            while piece := connection.recv(65536):
                received += piece
                if first is None and b"id: 1" in received:
                    first = time.monotonic() - begun
        except (ConnectionResetError, socket.timeout):
            return received, False, first, time.monotonic() - begun
    return received, True, first, time.monotonic() - begun


class BrokenAnswersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(BUILD, routers=1, engines=3, applications=2,
                          worker_arguments=["--event-interval", f"{int(EVENT_SECONDS * 1000)}ms"])
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.fleet.wait_ready()

    def setUp(self):
        self.addCleanup(self.fleet.fault_all, "", "none", 0)

    def send(self, path, method="POST"):
        request = fresh()
        headers = {"X-Sagechute-Prompt-Prefix": f"{request[:8]}:800,{request[8:]}:200"}
        # A body of its own, too: the same request again would be suspected of breaking the targets.
        return request, *self.fleet.send(path, request, method=method, headers=headers, body=request)

    def send_at_once(self, path, count=REQUESTS):
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            return list(pool.map(lambda _: self.send(path), range(count)))

    def completed(self, request):
        """How often a target's answer to the request went out whole."""
        return sum(self.fleet.ledger(it)["completed"].get(request, 0) for it in self.fleet.workers)

    def attempts(self):
        """Attempts by how they ended."""
        text = call(self.fleet.routers[0]["metrics"], "GET", "/metrics")[2].decode()
        return {end: int(n) for end, n in re.findall(r'attempts_total\{end="([a-z-]+)"\} (\d+)', text)}

    def test_a_stream_that_was_cut_inside_an_event_looks_complete(self):
        """Guards against the end of a connection, or of chunks, that is taken for the end of a stream."""
        for fault in CUT_IN_EVENT:
            with self.subTest(fault):
                self.fleet.fault_all("engine", fault, STILL)
                for request, status, _, body in self.send_at_once("/chats/x"):
                    self.assertIn(status, (0, 502), body)
                    events = read_events(body)
                    self.assertEqual(events, ALL_EVENTS[:len(events)])
                    self.assertEqual(self.fleet.runs(request)[0], 1)

    def test_a_stream_that_was_cut_inside_an_event_is_not_resumed(self):
        """Guards against a resumable stream that ends where its target broke it off though another one is free."""
        for fault in CUT_IN_EVENT + ("close-after-head", "reset-between-events"):
            with self.subTest(fault):
                self.fleet.fault_all("engine", "none", 0)
                self.fleet.fault("engine-0", fault, WITHIN_RETRY_BUDGET)
                before = len(self.fleet.ledger("engine-0")["runs"])
                self.fleet.wait_until("the engine is asked", lambda: self.asks_again("engine-0", before))

    def asks_again(self, engine, runs_before):
        """Sends requests, all of which must be answered whole. They come at once, so that an engine that is thought little
        of gets some too, unless it is left alone just now.
        """
        for _, status, _, body in self.send_at_once("/answers/x", AT_ONCE):
            self.assertEqual((status, read_events(body)), (200, ALL_EVENTS))
        return len(self.fleet.ledger(engine)["runs"]) > runs_before

    def test_half_an_event_is_passed_on_to_a_caller_of_http_1_0(self):
        """Guards against a break that a caller without chunks takes for the end."""
        for fault in CUT_IN_EVENT:
            with self.subTest(fault):
                self.fleet.fault_all("engine", fault, STILL)
                received, is_closed, _, _ = send_raw(self.fleet.routers[0]["front"], "/chats/x", fresh(), "1.0")
                self.assertTrue(not is_closed or received.startswith(b"HTTP/1.1 502"), received)

    def test_a_stream_without_length_or_chunks_is_taken_for_a_broken_one(self):
        """Guards against a check of ends that takes each unusual one for a break."""
        for fault in WHOLE:
            for path in ("/answers/x", "/chats/x"):
                with self.subTest(fault=fault, path=path):
                    self.fleet.fault_all("engine", fault, STILL)
                    for request, status, _, body in self.send_at_once(path):
                        self.assertEqual((status, read_events(body)), (200, ALL_EVENTS))
                        self.assertEqual((self.fleet.runs(request)[0], self.completed(request)), (1, 1))

    def test_events_whose_lines_end_with_cr_come_all_at_the_end(self):
        """Guards against events that are held back until the end, as their line ends aren't known."""
        for fault in ("none", "crlf", "cr", "unframed-crlf"):
            with self.subTest(fault):
                self.fleet.fault_all("engine", fault, STILL)
                _, _, first, last = send_raw(self.fleet.routers[0]["front"], "/chats/x", fresh(), "1.1")
                self.assertGreater(last - first, 7 * EVENT_SECONDS)

    def test_a_caller_of_http_1_0_waits_for_the_end_of_a_whole_stream(self):
        """Guards against an end without chunks that never comes."""
        for fault in ("none", "unframed"):
            with self.subTest(fault):
                self.fleet.fault_all("engine", fault, STILL)
                received, is_closed, _, lasted = send_raw(self.fleet.routers[0]["front"], "/chats/x", fresh(), "1.0")
                self.assertEqual((is_closed, read_events(received.partition(b"\r\n\r\n")[2])), (True, ALL_EVENTS))
                self.assertLess(lasted, 2)

    def test_a_target_that_breaks_off_inside_events_counts_as_sound(self):
        """Guards against a target's record that believes what its connection says."""
        self.fleet.fault_all("engine", "close-in-event", STILL)
        before = self.attempts()
        self.send_at_once("/chats/x")
        after = self.attempts()
        self.assertEqual(after.get("broken", 0) - before.get("broken", 0), REQUESTS)
        self.assertEqual(after.get("answered", 0), before.get("answered", 0))

    def test_a_plain_answer_without_length_is_whole_and_a_reset_one_is_not(self):
        """Guards against both errors where an application's answer ends with its connection."""
        self.fleet.fault_all("app", "unframed", STILL)
        for path, method in (("/reads/x", "GET"), ("/posts/x", "POST")):
            request, status, _, body = self.send(path, method)
            self.assertEqual(status, 200)
            self.assertIn(request.encode(), body)
        self.fleet.fault_all("app", "reset-in-event", STILL)
        request, status, fields, _ = self.send("/posts/x")
        self.assertEqual((status, self.fleet.runs(request)[0]), (502, 1))
        self.assertNotIn("retry-after", fields)
        self.fleet.fault("app-0", "none", 0)
        for _ in range(4):
            self.assertEqual(self.send("/reads/x", "GET")[1], 200)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
