"""Targets that answer before they have read the request, or with a status that HTTP doesn't have, before a real edge router.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import itertools
import os
import socket
import struct
import sys
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from late_answers_test import TargetsTest, success  # noqa: E402

UPLOAD = "x" * (7 << 20)  # More than the kernel takes at once.
READ_BYTES = 20_000  # Of the body, before the target answers.
PART = "the beginning of an answer"
REQUESTS = 8
PAUSE = 0.025  # A single customer's requests that come faster are refused by the router's own limit.
RESET = struct.pack("ii", 1, 0)  # For SO_LINGER.
HEADS = ("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n")
STATUSES = ("000", "001", "099", "600", "999")


def signed(line, request_id):
    return f"{line}X-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Response-Signature: s\r\n"


class EarlyAnswersTest(TargetsTest):
    def send(self, path, method="POST", body=""):
        """Returns (id, status, body); the status is 0 where the answer visibly ends early.

        Each request differs: the same one again would be suspected of breaking the targets.
        """
        time.sleep(PAUSE)
        request_id = uuid.uuid4().hex[:16]
        status, _, answer = self.fleet.send(path + request_id, request_id, method=method, body=body)
        return request_id, status, answer.decode()

    def test_an_early_answer_whose_connection_is_reset_during_the_upload_is_not_complete(self):
        """Guards against the beginning of an answer without length that a caller gets as the whole: the router's send fails by
        the reset, after which the connection seems to end properly."""
        now = {}  # How the target answers.

        def answer(target, connection, request_id):
            target.runs.append(request_id)
            connection.recv(READ_BYTES)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.sendall((signed(now["head"], request_id) + "\r\n" + now["part"]).encode())
            time.sleep(now["pause"])
            connection.close()

        now.update(head=HEADS[0], part="", pause=0)
        target, = self.start(answer)
        self.fleet.configure(maxBodyBytes=len(UPLOAD))
        self.fleet.wait_until("the router takes large bodies", lambda: self.send("/posts/", body="x" * 100_000)[1] == 502)
        for head, part, pause in itertools.product(HEADS, ("", PART), (0, 0.03)):
            with self.subTest(head=head, part=part, pause=pause):
                now.update(head=head, part=part, pause=pause)
                asked = len(target.runs)
                for _ in range(REQUESTS):
                    request_id, status, body = self.send("/posts/", body=UPLOAD)
                    self.assertIn(status, (0, 502, 503), body)
                    self.assertLessEqual(target.runs.count(request_id), 1)
                    self.assertFalse(status == 503 and request_id in target.runs)
                self.assertGreater(len(target.runs), asked)

    def test_a_status_that_http_does_not_have_is_no_answer(self):
        """Guards against a status line of a target in trouble that reaches callers, whose HTTP library can't read it."""
        status_now = [STATUSES[0]]

        def answer(target, connection, request_id):
            target.runs.append(request_id)
            connection.sendall((signed(f"HTTP/1.1 {status_now[0]} OK\r\n", request_id)
                                + "Content-Length: 2\r\n\r\nno").encode())

        target, = self.start(answer)
        for status_now[0] in STATUSES:
            for path, method in (("/posts/", "POST"), ("/reads/", "GET")):
                with self.subTest(status=status_now[0], path=path):
                    asked = len(target.runs)
                    seen = [self.send(path, method) for _ in range(REQUESTS)]
                    for request_id, status, body in seen:
                        self.assertIn(status, (502, 503), body)
                        if path.startswith("/posts"):
                            self.assertLessEqual(target.runs.count(request_id), 1)
                            self.assertFalse(status == 503 and request_id in target.runs)
                    self.assertGreater(len(target.runs), asked, seen)

    def test_a_safe_request_is_tried_again_after_an_unknown_status(self):
        """Guards against a caller that gets a failure though another target would have answered."""
        def trouble(target, connection, request_id):
            target.runs.append(request_id)
            connection.sendall((signed("HTTP/1.1 600 OK\r\n", request_id) + "Content-Length: 2\r\n\r\nno").encode())

        def sound(target, connection, request_id):
            target.runs.append(request_id)
            connection.sendall(success(request_id))

        self.start(trouble, sound)
        for _ in range(REQUESTS):
            request_id, status, body = self.send("/reads/", "GET")
            self.assertEqual((status, body), (200, request_id))


if __name__ == "__main__":
    TargetsTest.build = sys.argv.pop(1)
    unittest.main(verbosity=2)
