"""Targets whose second answers arrive late, at the point where the next answer is expected, before a real edge router.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import contextlib
import json
import os
import socket
import sys
import threading
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_fleet import Fleet, call  # noqa: E402

COPY_DELAY_S = 0.02
WORK_S = 0.06  # Longer than the delay of a copy.
HEARTBEAT_S = 1.0
REQUEST_ID = "x-sagechute-attempt-id"
PROMISES = (408, 421, 429, 503)


class Target(threading.Thread):
    """An application whose `answer` is called with each request on its connections, one at a time for each connection."""

    service, slots = "app", 6

    def __init__(self, name, fleet, answer):
        super().__init__(daemon=True)
        self.name, self.fleet, self.answer = name, fleet, answer
        self.runs, self.connections = [], 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        self.is_over = threading.Event()
        threading.Thread(target=self.register, daemon=True).start()
        self.start()

    def register(self):
        seq, born = 0, int(time.time() * 1000)
        while not self.is_over.is_set():
            seq += 1
            entry = {"service": self.service, "address": "127.0.0.1:%d" % self.listener.getsockname()[1], "zone": "a", "version": "v1",
                     "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": born}
            self.fleet.command(self.fleet.store, f"/standin/put?topic=keyed.servers&key={self.name}", json.dumps(entry))
            self.is_over.wait(HEARTBEAT_S)

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections += 1
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            while request_id := self.read(connection):
                self.answer(self, connection, request_id)
        except OSError:
            pass

    def read(self, connection):
        """Returns the id of the next request; these have no body. Empty at the connection's end."""
        return self.read_head(connection).get(REQUEST_ID, "")

    @staticmethod
    def read_head(connection):
        """Returns the next request's header fields, their names in lower case; none at the connection's end."""
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = connection.recv(1)
            if not byte:
                return {}
            head += byte
        fields = (it.split(": ", 1) for it in head.decode().split("\r\n")[1:] if it)
        return {name.lower(): value for name, value in fields}

    def work(self, request_id):
        self.runs.append(request_id)
        time.sleep(WORK_S)

    def end(self):
        self.is_over.set()
        self.listener.close()


def success(request_id):
    return (f"HTTP/1.1 200 OK\r\nX-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Response-Signature: s\r\n"
            f"Content-Length: {len(request_id)}\r\n\r\n{request_id}").encode()


def rejection(request_id=None):
    name = f"X-Sagechute-Attempt-Id: {request_id}\r\n" if request_id else ""
    return f"HTTP/1.1 503 Service Unavailable\r\n{name}X-Sagechute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()


def send_if_open(connection, data):
    with contextlib.suppress(OSError):
        connection.sendall(data)


class TargetsTest(unittest.TestCase):
    """A router and targets that a test answers for."""

    build = "build"

    def setUp(self):
        self.fleet = Fleet(self.build, routers=1, engines=0, applications=0)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_until("the store answers", lambda: call(self.fleet.store, "GET", "/standin/counts")[0] == 200)

    def start(self, *answers):
        """Starts one target for each of these functions."""
        targets = [Target(f"target-{i}", self.fleet, it) for i, it in enumerate(answers)]
        for it in targets:
            self.addCleanup(it.end)
        self.fleet.wait_ready()
        self.fleet.wait_until("the router knows the targets",
                              lambda: {it.name for it in targets} <= self.fleet.known_to(self.fleet.routers[0]))
        return targets


class LateAnswersTest(TargetsTest):
    def send(self):
        """Returns (id, status, body) of an unsafe request."""
        request_id = uuid.uuid4().hex[:16]
        status, _, body = self.fleet.send("/posts/x", request_id)
        return request_id, status, body.decode()

    def test_a_late_copy_of_a_rejection_is_not_the_answer_to_the_next_try(self):
        """Symptom: a caller is told that its request has not run, but it runs. Its first try was rejected; a copy of the
        rejection arrives on the same connection, and the ID of both tries is the same."""
        arrived, rejected = [], set()

        def answer(target, connection, request_id):
            arrived.append(request_id)
            # Seldom enough for the retry budget.
            if len(set(arrived)) % 8 or request_id in rejected:
                target.work(request_id)
                connection.sendall(success(request_id))
                return
            rejected.add(request_id)
            connection.sendall(rejection(request_id))
            threading.Timer(COPY_DELAY_S, send_if_open, (connection, rejection(request_id))).start()

        target, = self.start(answer)
        for _ in range(50):
            request_id, status, body = self.send()
            self.assertEqual((status, body, target.runs.count(request_id)), (200, request_id, 1))
        self.assertEqual(len(rejected), 6)
        self.assertLessEqual(target.connections, 1 + 2 * len(rejected))

    def test_a_rejection_without_an_id_is_not_believed_on_a_used_connection(self):
        """Symptom: an unsafe request runs twice. A rejection of an earlier request arrives late, and has no ID that tells."""
        def answer(target, connection, request_id):
            target.runs.append(request_id)
            if len(target.runs) % 3 == 0:
                connection.sendall(rejection())
            time.sleep(WORK_S)
            connection.sendall(success(request_id))

        targets = self.start(answer, answer)
        served = 0
        for _ in range(20):
            request_id, status, body = self.send()
            runs = sum(it.runs.count(request_id) for it in targets)
            self.assertEqual(runs, 1)
            self.assertNotIn(status, PROMISES)
            self.assertIn((status, body), ((200, request_id), (502, body)))
            served += status == 200
        self.assertGreaterEqual(served, 12)

    def test_a_rejection_without_an_id_is_believed_on_a_new_connection(self):
        """Symptom: a caller gets no promise though its request has not run. Nothing else can have been answered there."""
        def answer(_, connection, request_id):
            connection.sendall(rejection())
            connection.close()

        self.start(answer)
        self.assertEqual(self.send()[1], 503)

    def test_an_answer_to_another_request_costs_one_request(self):
        """Symptom: every request on a connection gets the answer to the one before it and fails. A foreign answer arrived
        whole, and the connection was used on while the right answer was still to come."""
        def answer(target, connection, request_id):
            target.work(request_id)
            previous, target.previous = getattr(target, "previous", None), request_id
            if previous and len(target.runs) == 3:
                connection.sendall(success(previous))
                time.sleep(COPY_DELAY_S)
            connection.sendall(success(request_id))

        target, = self.start(answer)
        statuses = [self.send()[1] for _ in range(10)]
        self.assertEqual(statuses, [200, 200, 502] + [200] * 7)
        self.assertEqual(len(target.runs), 10)


if __name__ == "__main__":
    TargetsTest.build = sys.argv.pop(1)
    unittest.main(verbosity=2)
