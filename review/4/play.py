"""Workers read long requests slowly: the router holds several copies of each, until the platform kills it for its memory."""

import os
import random
import re
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 the same is done without the disruption.
SECONDS = 16
UPLOADERS = 32  # As many clients as a small deployment has.
BODY_BYTES = 4_000_000  # The configuration allows 4,194,304.
UPLOAD_DEADLINE_MS = 12000
SLOW_BYTES_PER_S = 400_000  # A worker reads a whole request within its deadline.
READERS = 8  # Clients of the other, sound service.
SOUND_WORK_S = 0.5
MOST_LOST = 3


class Upload:
    """Reads a request at its pace, then runs it."""

    def serve(self, worker, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        buffered = b""
        while True:
            while b"\r\n\r\n" not in buffered:
                data = sock.recv(65536)
                if not data:
                    return
                buffered += data
            head, _, rest = buffered.partition(b"\r\n\r\n")
            request_id = re.search(rb"(?i)x-sagechute-attempt-id: (\S+)", head)[1].decode()
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            got = len(rest)
            while got < length:
                data = sock.recv(65536)
                if not data:
                    return
                got += len(data)
                if worker.case.trouble:
                    time.sleep(len(data) / SLOW_BYTES_PER_S)
            buffered = b""
            worker.note_run(request_id)
            sock.sendall(worker.answer(request_id))


def serve_soundly(worker, sock):
    buffered = b""
    while True:
        message = harness.read_message(sock, buffered)
        if message is None:
            return
        _, fields, _, buffered = message
        worker.note_run(fields["x-sagechute-attempt-id"])
        time.sleep(SOUND_WORK_S * random.uniform(0.5, 1.5))
        sock.sendall(worker.answer(fields["x-sagechute-attempt-id"]))


class MemoryLimit:
    """The platform: kills a process that exceeds its memory."""

    def __init__(self, case, process):
        self.case, self.process, self.peak, self.killed_at = case, process, 0, None
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        limit = int(self.case.fields["limits.memoryMb"])
        while not self.case.is_over.is_set():
            try:
                with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                    resident = int(re.search(r"VmRSS:\s+(\d+) kB", file.read())[1]) / 1024
            except (OSError, TypeError):
                return
            self.peak = max(self.peak, resident)
            if resident > limit:
                self.killed_at = self.case.now()
                self.case.record(f"the router holds {resident:.0f} MB of {limit} MB: killed")
                self.process.send_signal(signal.SIGKILL)
                return
            time.sleep(0.01)


def body(case):
    case.start_store()
    workers = [harness.Worker(case, f"i-upload{i}", "posting-app", 64, Upload().serve) for i in range(2)]
    workers += [harness.Worker(case, f"i-sound{i}", "verify-app", 16, serve_soundly) for i in range(2)]
    case.configure([{"name": "post-credit", "pathPrefix": "/credit/", "kind": "unsafe", "service": "posting-app", "attempts": 1,
                     "goalMs": 12000, "timeoutMs": 12000},
                    {"name": "post-verify", "pathPrefix": "/verify/", "kind": "safe", "service": "verify-app", "goalMs": 2500}],
                   ["posting-app", "verify-app"])
    case.start_routers(1)
    case.wait_ready(workers)
    limit = MemoryLimit(case, case.routers[0]["process"])
    end = time.monotonic() + SECONDS
    uploads, lost = [], []

    def upload(number):
        time.sleep(1 + number * 0.1)  # Ten a second.
        it = harness.Client(case, case.routers[0]["front"])
        uploads.append(it.send("POST", "/credit/1", b"x" * BODY_BYTES, UPLOAD_DEADLINE_MS)[1])
        it.close()

    def verify():
        it = harness.Client(case, case.routers[0]["front"])
        while time.monotonic() < end and case.routers[0]["process"].poll() is None:
            request_id, status, _, _ = it.send("GET", "/verify/1")
            if status == 0:
                lost.append(request_id)
            time.sleep(0.02)

    threads = [threading.Thread(target=upload, args=(i,)) for i in range(UPLOADERS)]
    threads += [threading.Thread(target=verify) for _ in range(READERS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    # Passed on to a sound worker on a kept connection, which then ended without an answer.
    started = {request_id for worker in workers[2:] for _, request_id in worker.runs}
    cut = [it for it in lost if it in started]
    text = (f"peak {limit.peak:.0f} MB of {case.fields['limits.memoryMb']} MB; uploads {sorted(uploads)}; "
            f"{len(cut)} requests to sound workers cut off")
    case.record(text)
    print(text)
    if not any(worker.runs for worker in workers[2:]):
        raise harness.CannotRun("the sound workers ran nothing")
    return f"LOST: {cut}" if len(cut) > MOST_LOST else ""


sys.exit(harness.play(FOLDER, body, TROUBLE))
