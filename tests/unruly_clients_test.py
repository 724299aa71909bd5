"""Clients that don't keep to the limits, before each listener that clients reach. Of each play it is judged that the process
lives, that its memory with what the kernel holds unread for it stays within the stated limit, that its descriptors do, and
that an ordinary request is answered while the crowd is connected.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import os
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
import fleet as trial  # noqa: E402
from late_answers_test import REQUEST_ID, Target, success  # noqa: E402
from platform_fleet import HOST, KEY, Fleet, Process, call, free_ports  # noqa: E402
from unruly_crowd import Crowd, Watch, chunked, endless, then, tiny_chunks  # noqa: E402

BUILD = "build"
EDGE_MEMORY_MB = 64
EDGE_DESCRIPTORS = 1400
OTHER_MEMORY_MB = 256  # Of the processes of the other product.
LARGEST_BODY = 4 << 20
LARGEST_HEAD = 16 << 10
IDLE_MS = 60_000  # Longer than a play: no connection ends by being idle.
ANSWER_S = 20  # Until a request in calm has its answer.
PATIENCE_S = 10.0  # Of an ordinary caller.
QUIET_S = 0.7
HIGHEST_FIRST_PORT = 31_000
MOST_PLAY_S = 6.0
HELD = "held-"  # Requests whose ids begin so wait at the target until the play is over.
LARGE = "large-"  # These get a large answer at once.
LARGE_ANSWER = 2 << 20
LARGE_STREAM = 8 << 20
CHUNK = b"x" * (1 << 20)
PIECE = b"x" * (64 << 10)
FIELD = b"a:b\r\n"
EVENT = b"x" * (4 << 10)


def head(method, path, *fields, host=HOST):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Api-Key: {KEY}", "X-Sagechute-Deadline-Ms: 60000",
             f"X-Sagechute-Attempt-Id: {uuid.uuid4().hex[:16]}", *fields]
    return "".join(it + "\r\n" for it in lines).encode()


def identified(method, path, prefix, *fields):
    """A head whose request the target recognises by its id."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Api-Key: {KEY}", "X-Sagechute-Deadline-Ms: 60000",
             f"X-Sagechute-Attempt-Id: {prefix}{uuid.uuid4().hex[:16]}", *fields]
    return "".join(it + "\r\n" for it in lines).encode()


def chunked_head(path="/posts/x"):
    return head("POST", path, "Transfer-Encoding: chunked") + b"\r\n"


def announced_body(path, announced, sent):
    return then(head("POST", path, f"Content-Length: {announced}") + b"\r\n", sent)


def short_of_end(path, total):
    return announced_body(path, total, [b"x" * (total - 64)])


def open_head(path="/posts/x"):
    """A head of the largest size that a reader takes, without its end."""
    begun = head("GET", path)
    return [begun + b"X-Long: " + b"x" * (LARGEST_HEAD - len(begun))]


def open_head_of_fields(path="/posts/x"):
    begun = head("GET", path)
    return [begun + FIELD * ((LARGEST_HEAD - len(begun)) // len(FIELD))]


class Play(unittest.TestCase):
    """One process, a crowd and what is judged of both."""

    def watch(self, process, ports, memory_mb, descriptors):
        self.process, self.memory_mb, self.descriptors = process, memory_mb, descriptors
        self.watching = Watch(process.pid, ports)
        self.addCleanup(self.watching.end)

    def play(self, address, plays, reads=False):
        crowd = Crowd(address, plays, reads)
        self.addCleanup(crowd.end)
        crowd.settle(QUIET_S, MOST_PLAY_S)
        return crowd

    def judge(self, ask, *crowds):
        """ask: sends an ordinary request, returns whether it was answered and how long to wait before the next try."""
        end = time.monotonic() + PATIENCE_S
        is_answered = False
        while not is_answered and time.monotonic() < end:
            is_answered, wait_s = ask()
            if not is_answered:
                time.sleep(wait_s)
        for it in crowds:
            it.end()
        self.watching.end()
        peak_mb = self.watching.peak_bytes / (1 << 20)
        print(f"{self.id()}: {peak_mb:.0f} of {self.memory_mb} MB, {self.watching.peak_unread >> 20} MB unread, "
              f"{self.watching.peak_descriptors} of {self.descriptors} descriptors, answered: {is_answered}", flush=True)
        self.assertIsNone(self.process.poll(), "the process has ended")
        self.assertLessEqual(peak_mb, self.memory_mb)
        self.assertLessEqual(self.watching.peak_descriptors, self.descriptors)
        self.assertTrue(is_answered, "an ordinary request was not answered")

    @staticmethod
    def outcome(status, fields):
        return status == 200, float(fields.get("retry-after", 0.1))


class EdgePlay(Play):
    """One edge router before a target."""

    memory_mb = EDGE_MEMORY_MB

    def setUp(self):
        self.fleet = Fleet(BUILD, routers=1, engines=0, applications=0, router_settings={
            "memory-mb": str(self.memory_mb), "max-descriptors": str(EDGE_DESCRIPTORS)})
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_until("the store answers", lambda: call(self.fleet.store, "GET", "/standin/counts")[0] == 200)
        self.is_over = threading.Event()
        self.addCleanup(self.is_over.set)

        class Patient(Target):
            slots = 400

        class Engine(Patient):
            service = "llm"

        target = Patient("patient", self.fleet, self.answer)
        engine = Engine("engine", self.fleet, self.stream)
        self.addCleanup(target.end)
        self.addCleanup(engine.end)
        self.fleet.wait_ready()
        self.router = self.fleet.routers[0]
        self.fleet.wait_until("the router knows the targets",
                              lambda: {"patient", "engine"} <= self.fleet.known_to(self.router))
        self.fleet.configure(timeout_ms=IDLE_MS, maxBodyBytes=LARGEST_BODY, idleTimeoutMs=IDLE_MS)
        time.sleep(2.5)
        ports = [int(self.router[it].split(":")[1]) for it in ("front", "ready", "locate", "control", "metrics")]
        self.watch(self.router["process"].child, ports, self.memory_mb, EDGE_DESCRIPTORS)

    def answer(self, _, connection, request_id):
        if request_id.startswith(HELD):
            self.is_over.wait(IDLE_MS / 1000)
        if not request_id.startswith(LARGE):
            connection.sendall(success(request_id))
            return
        connection.sendall(f"HTTP/1.1 200 OK\r\nX-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Response-Signature: s\r\n"
                           f"Content-Length: {LARGE_ANSWER}\r\n\r\n".encode() + b"x" * LARGE_ANSWER)

    def stream(self, _, connection, request_id):
        connection.sendall(f"HTTP/1.1 200 OK\r\nX-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Response-Signature: s\r\n"
                           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(LARGE_STREAM // len(EVENT)):
            event = b"id: %d\ndata: " % number + EVENT + b"\n\n"
            connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
        connection.sendall(b"0\r\n\r\n")

    def ask(self):
        return self.outcome(*self.fleet.send("/reads/x", uuid.uuid4().hex[:16], method="GET", timeout=2.0)[:2])


class Callers(EdgePlay):
    """The listener for callers' requests."""

    def check(self, count, make, reads=False):
        crowd = self.play(self.router["front"], [make() for _ in range(count)], reads)
        self.judge(self.ask, crowd)

    def test_announced_bodies(self):
        """Guards against bodies far over the limit whose senders announce them and go on sending."""
        self.check(100, lambda: announced_body("/posts/x", 10 << 30, endless(PIECE)))

    def test_endless_bodies(self):
        """Guards against bodies over the limit that are read on."""
        self.check(50, lambda: then(chunked_head(), endless(b"%x\r\n" % len(CHUNK) + CHUNK + b"\r\n")))

    def test_huge_chunks(self):
        """Guards against a chunk that announces nearly 2^63 bytes."""
        self.check(50, lambda: then(chunked_head(), b"7fffffffffffffff\r\n", endless(PIECE)))

    def test_large_chunks(self):
        """Guards against chunked bodies that are counted by less than they take while they grow."""
        self.check(60, lambda: then(chunked_head(), chunked(CHUNK, LARGEST_BODY - len(CHUNK)), b"100000\r\n", CHUNK[64:]))

    def test_small_chunks(self):
        """Guards against chunked bodies whose framing costs memory."""
        self.check(100, lambda: then(chunked_head(), tiny_chunks(512 << 10)))

    def test_bodies_short_of_their_end(self):
        """Guards against announced bodies, each with its last bytes missing, that keep the budget for all bodies."""
        self.check(60, lambda: short_of_end("/posts/x", LARGEST_BODY))

    def test_small_bodies_short_of_their_end(self):
        """Guards against requests without an end that take all connections, with bodies too small to be counted."""
        self.check(1200, lambda: short_of_end("/posts/x", 16 << 10))

    def test_heads_short_of_their_end(self):
        """Guards against heads without an end that take all connections."""
        self.check(1200, open_head)

    def test_heads_of_small_fields(self):
        """Guards against heads that take many times their bytes once they are parsed."""
        self.check(400, open_head_of_fields)

    def test_waiting_requests_of_small_fields(self):
        """Guards against the same heads of requests that wait for their answers."""
        def make():
            begun = identified("GET", "/reads/x", HELD)
            return [begun + FIELD * ((LARGEST_HEAD - len(begun)) // len(FIELD)) + b"\r\n"]
        self.check(300, make)

    def test_chunk_extensions(self):
        """Guards against a chunk extension without end, which is kept until it ends."""
        self.check(100, lambda: then(chunked_head(), b"1;", endless(PIECE)))

    def test_trailers(self):
        """Guards against trailers without end."""
        self.check(100, lambda: then(chunked_head(), b"1\r\nx\r\n0\r\n", endless(FIELD * 4096)))

    def test_requests_behind_one_that_waits(self):
        """Guards against what is read ahead while a request is served, and what the kernel holds behind it."""
        self.check(300, lambda: then(identified("GET", "/reads/x", HELD) + b"\r\n",
                                     endless(head("GET", "/reads/x") + b"\r\n")))

    def test_unread_answers(self):
        """Guards against whole answers that their callers don't read."""
        self.check(60, lambda: [identified("GET", "/reads/x", LARGE) + b"\r\n"])

    def test_unread_streams(self):
        """Guards against streams that their callers don't read."""
        self.check(60, lambda: [identified("POST", "/chats/x", LARGE, "X-Sagechute-Model: m", "X-Sagechute-Token-Usage: 10,10",
                                           "X-Sagechute-Prompt-Prefix: 5c1e07a2:10", "Content-Length: 0") + b"\r\n"])

    def test_unread_refusals(self):
        """Guards against requests sent on and on, whose refusals nobody reads."""
        self.check(300, lambda: endless((head("GET", "/no-such-route") + b"\r\n") * 64))

    def test_idle_connections(self):
        """Guards against connections that send nothing and take all places."""
        self.check(1300, lambda: [])

    def test_idle_connections_that_were_refused(self):
        """Guards against the same after one request each that was denied."""
        self.check(1300, lambda: [b"GET /reads/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n\r\n"], reads=True)


class CalmCallers(EdgePlay):
    """What a single caller within or outside of the limits sees, on a router of the smallest memory that the platform names."""

    memory_mb = 160

    def send(self, body, headers=None, path="/posts/x"):
        status, fields, _ = self.fleet.send(path, uuid.uuid4().hex[:16], body=body, headers=headers, timeout=ANSWER_S)
        return status, fields

    def test_largest_body_is_served(self):
        """Guards against a limit that a body of the largest allowed size meets."""
        for body in (b"x" * LARGEST_BODY, iter([CHUNK] * 4), iter([b"x" * 999] * (LARGEST_BODY // 999))):
            self.assertEqual(self.send(body, {"X-Sagechute-Deadline-Ms": "20000"})[0], 200)

    def test_largest_head_is_served(self):
        """Guards against a limit that a head of the largest allowed size meets, as one field or as many."""
        room = LARGEST_HEAD - 400
        for more in ({"X-Long": "x" * room}, {f"f{i}": "x" for i in range(room // 9)}):
            self.assertEqual(self.send(b"", more)[0], 200)

    def test_refusal_of_a_large_body_is_seen(self):
        """Guards against a connection that is reset before the caller has read why."""
        self.assertEqual(self.send(b"x" * (LARGEST_BODY + 1))[0], 413)
        self.assertEqual(self.send(iter([CHUNK] * 5))[0], 413)
        self.assertEqual(self.send(iter([PIECE] * 120))[0], 413)

    def test_refusal_for_memory_is_seen(self):
        """Guards against a body that no memory is left for and whose caller is not told to come again."""
        crowd = self.play(self.router["front"], [short_of_end("/posts/x", LARGEST_BODY) for _ in range(60)])
        refused = [it for it in (self.send(b"x" * LARGEST_BODY) for _ in range(3)) if it[0] != 200]
        crowd.end()
        for status, fields in refused:
            self.assertEqual(status, 503)
            self.assertGreater(float(fields["retry-after"]), 0)


class OtherListeners(EdgePlay):
    """The listeners where callers look up routers, the platform asks for readiness, and operators and routers ask."""

    def check(self, listener, path, count, make):
        crowd = self.play(self.router[listener], [make() for _ in range(count)])
        self.judge(lambda: self.outcome(*call(self.router[listener], "GET", path, timeout=2.0)[:2]), crowd)

    LOCATE = f"/sagechute/resolve?name={HOST}&region=r&zone=a"

    def test_idle_directory(self):
        """Guards against idle connections that keep callers from learning which router to use."""
        self.check("locate", self.LOCATE, 500, lambda: [])

    def test_open_heads_at_directory(self):
        """Guards against heads without an end at the directory."""
        self.check("locate", self.LOCATE, 500, lambda: open_head_of_fields("/sagechute/resolve"))

    def test_open_bodies_at_directory(self):
        """Guards against bodies without an end at the directory."""
        self.check("locate", self.LOCATE, 500, lambda: then(chunked_head(), chunked(PIECE[:1000], 60 << 10)))

    def test_unread_lookups(self):
        """Guards against answers of the directory that nobody reads."""
        self.check("locate", self.LOCATE, 500, lambda: endless((head("GET", self.LOCATE) + b"\r\n") * 64))

    def test_idle_readiness(self):
        """Guards against idle connections that keep the platform from learning that a router is ready."""
        self.check("ready", "/sagechute/ready", 500, lambda: [])

    def test_idle_control(self):
        """Guards against idle connections that keep operators and other routers out."""
        self.check("control", "/v1/status", 500, lambda: [])

    def test_idle_metrics(self):
        """Guards against idle connections that keep metrics from being read."""
        self.check("metrics", "/metrics", 500, lambda: [])

    def test_unread_metrics(self):
        """Guards against large answers of the control listeners that nobody reads."""
        self.check("metrics", "/metrics", 500, lambda: endless((head("GET", "/metrics") + b"\r\n") * 64))

    def test_all_listeners(self):
        """Guards against limits of listeners that together exceed the process's descriptors and memory."""
        crowds = [self.play(self.router[it], [open_head_of_fields() for _ in range(700)])
                  for it in ("front", "locate", "ready", "control", "metrics")]
        self.judge(self.ask, *crowds)


class LimitedFleet(trial.Fleet):
    """Its routers have less memory than by default."""

    def _router_command(self, plan):
        return super()._router_command(plan) + memory_setting("sagechute-router")


def low_port():
    """A free port with room for those of a fleet behind it."""
    while (port := free_ports(1)[0]) > HIGHEST_FIRST_PORT:
        pass
    return port


def memory_setting(program):
    """Empty where a program has no such setting: what it holds is judged all the same."""
    names = subprocess.run([os.path.join(BUILD, program), "--help"], capture_output=True, text=True, check=False).stdout
    return ["--memory-mb", str(OTHER_MEMORY_MB)] if "--memory-mb" in names else []


class OwnApiPlay(Play):
    """The router with its own API, sagechute-api and sagechute-steward."""

    deployment = {"zones": ["z"], "customers": [{"name": "head-desk", "weight": 1.0}],
                  "pools": [{"name": "pool", "targets": 1, "mode": "application", "slots": 8, "flags": ["--service-time", "1ms"]}],
                  "services": [{"name": "jobs", "pool": "pool", "mode": "application", "repeatable": True}]}
    authorization = "Authorization: Bearer key-of-head-desk"
    path = "/v1/services/jobs/requests"

    def setUp(self):
        self.directory = tempfile.mkdtemp(prefix="sagechute-unruly-")
        self.trial = LimitedFleet(BUILD, self.deployment, 1, "cells", 0, self.directory, low_port())
        self.addCleanup(self.trial.stop)
        self.trial.start()
        self.trial.declare()
        self.front = self.trial.routers[0]["address"]

    def watch_process(self, process, address, descriptors=20_000):
        self.watch(process, [int(address.split(":")[1])], OTHER_MEMORY_MB, descriptors)

    def check(self, address, ask, count, make, reads=False):
        crowd = self.play(address, [make() for _ in range(count)], reads)
        self.judge(ask, crowd)

    def body_head(self, *fields):
        return head("POST", self.path, self.authorization, "Content-Type: application/json", *fields) + b"\r\n"


class OwnApiCallers(OwnApiPlay):
    """The listener of the router with its own API."""

    def setUp(self):
        super().setUp()
        self.watch_process(self.trial.router_processes[self.trial.routers[0]["vm"]]._child, self.front)

    def ask(self):
        return self.outcome(*call(self.front, "POST", self.path, body="{}", headers={
            "Authorization": "Bearer key-of-head-desk", "Content-Type": "application/json"}, timeout=2.0)[:2])

    def test_chunked_bodies(self):
        """Guards against chunked bodies that together exceed the memory."""
        self.check(self.front, self.ask, 120, lambda: then(
            self.body_head("Transfer-Encoding: chunked"), chunked(CHUNK, LARGEST_BODY - len(CHUNK)), b"100000\r\n", CHUNK[64:]))

    def test_announced_bodies(self):
        """Guards against announced bodies that together exceed the memory."""
        self.check(self.front, self.ask, 120, lambda: then(
            self.body_head(f"Content-Length: {LARGEST_BODY}"), b"x" * (LARGEST_BODY - 64)))

    def test_heads_of_small_fields(self):
        """Guards against heads that take many times their bytes."""
        self.check(self.front, self.ask, 1000, open_head_of_fields)

    def test_chunk_extensions(self):
        """Guards against a chunk extension without end."""
        self.check(self.front, self.ask, 150, lambda: then(
            self.body_head("Transfer-Encoding: chunked"), b"1;", endless(PIECE)))

    def test_unread_answers(self):
        """Guards against requests sent on and on, whose answers nobody reads."""
        self.check(self.front, self.ask, 1000, lambda: endless((head("GET", "/metrics") + b"\r\n") * 64))

    def test_idle_connections(self):
        """Guards against connections that send nothing and take all places."""
        self.check(self.front, self.ask, 9000, lambda: [])


class OwnApiOperators(OwnApiPlay):
    """The listener of sagechute-api."""

    def setUp(self):
        super().setUp()
        self.watch_process(self.trial.api_process._child, self.trial.api)

    def ask(self):
        return self.outcome(*call(self.trial.api, "GET", "/v1/resources", headers={
            "Authorization": "Bearer " + trial.OPERATOR_KEY}, timeout=2.0)[:2])

    def test_idle_connections(self):
        """Guards against connections that send nothing and keep operators out."""
        self.check(self.trial.api, self.ask, 1500, lambda: [])

    def test_chunked_bodies(self):
        """Guards against chunked bodies that together exceed the memory."""
        self.check(self.trial.api, self.ask, 1000, lambda: then(chunked_head("/v1/changes"), chunked(PIECE[:1 << 15], 248 << 10)))

    def test_heads_of_small_fields(self):
        """Guards against heads that take many times their bytes."""
        self.check(self.trial.api, self.ask, 1000, open_head_of_fields)

    def test_unread_answers(self):
        """Guards against requests sent on and on, whose answers nobody reads."""
        self.check(self.trial.api, self.ask, 1000, lambda: endless((head("GET", "/") + b"\r\n") * 64))


class OwnApiSteward(OwnApiPlay):
    """The listener of sagechute-steward."""

    def setUp(self):
        super().setUp()
        self.steward = f"127.0.0.1:{free_ports(1)[0]}"
        process = Process("steward", [os.path.join(BUILD, "sagechute-steward"), "--vm-id", "s", "--listen", self.steward,
                                      "--platform", "http://" + self.trial.platform], self.directory)
        self.addCleanup(process.end)
        self.trial.wait_ready([("the steward", self.steward, "/healthz")])
        self.watch_process(process.child, self.steward)

    def ask(self):
        return self.outcome(*call(self.steward, "GET", "/healthz", timeout=2.0)[:2])

    def test_heads_of_small_fields(self):
        """Guards against heads that take many times their bytes."""
        self.check(self.steward, self.ask, 1000, open_head_of_fields)

    def test_idle_connections(self):
        """Guards against connections that send nothing and take all places."""
        self.check(self.steward, self.ask, 5000, lambda: [])


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
