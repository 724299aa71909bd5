"""A faulty worker sends its answer to a request that it shed a second time, late: when the router has sent the same request
again on that connection. The worker runs it; the router takes the late answer for a promise that it has not run."""

import collections
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 the same is done without the disruption.
SECONDS = 95
CLIENTS = 30
WORKERS = 2
SLOTS = 12
WORK_S = 0.03
SHED_SHARE = 0.3  # Of their requests, as in the site's largest `srv_grey`.
EXTRA_SHARE = 0.05  # Of the answers of one worker of three, as in the site's largest `garble` (0.6 of the workers).
TROUBLE_S = 5.5  # As long as a `garble` lasts, and a pause after it.
PAUSE_S = 0.5
NOT_RUN = (408, 421, 429, 503)


class Desk:
    """Runs what it gets, but sheds a part in times of trouble. Each answer has the request's attempt id."""

    def __init__(self, is_garbling):
        self.is_garbling = is_garbling
        self.slots = threading.Semaphore(SLOTS)
        self.random = random.Random()

    def is_trouble(self, case, share):
        return case.trouble and case.now() % (TROUBLE_S + PAUSE_S) < TROUBLE_S and self.random.random() < share

    def serve(self, worker, sock):
        late = b""  # The second answer, sent where the next answer is due.
        buffered = b""
        while True:
            message = harness.read_message(sock, buffered)
            if message is None:
                return
            _, fields, _, buffered = message
            request_id = fields["x-sagechute-attempt-id"]
            if late:
                worker.case.record(f"worker {worker.id} sends {late.split()[4].decode()}'s answer again, late, while {request_id} is due")
                sock.sendall(late)
            if self.is_trouble(worker.case, SHED_SHARE):
                worker.case.record(f"worker {worker.id} sheds {request_id}")
                answer = (f"HTTP/1.1 503 Busy\r\nX-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode()
            else:
                with self.slots:
                    worker.note_run(request_id)
                    time.sleep(WORK_S * self.random.uniform(0.5, 1.5))
                answer = worker.answer(request_id)
            sock.sendall(answer)
            late = answer if self.is_garbling and self.is_trouble(worker.case, EXTRA_SHARE) else b""


def body(case):
    case.start_store()
    workers = [harness.Worker(case, f"i-desk{i}", "bid-desk", SLOTS, Desk(i == 0).serve) for i in range(WORKERS)]
    case.configure([{"name": "bid-confirm", "pathPrefix": "/bid/", "kind": "unsafe", "service": "bid-desk", "attempts": 1}],
                   ["bid-desk"])
    case.start_routers(3)
    case.wait_ready(workers)
    answers = {}
    end = time.monotonic() + SECONDS

    def client(number):
        it = harness.Client(case, case.routers[number % 3]["front"])
        while time.monotonic() < end:
            request_id, status, fields, _ = it.send("POST", "/bid/1", b"bid")
            answers[request_id] = status
            time.sleep(max(0.01, min(1.0, float(fields.get("retry-after", "0")))))

    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    time.sleep(0.5)
    runs = collections.Counter(request_id for worker in workers for _, request_id in worker.runs)
    twice = [it for it, n in runs.items() if n > 1]
    refused = [it for it, status in answers.items() if status in NOT_RUN and runs[it]]
    served = sum(1 for it in answers.values() if it == 200)
    text = f"{len(answers)} requests, {served} served, {len(twice)} run twice, {len(refused)} refused though run"
    case.record(text)
    print(text)
    if served < 100:
        raise harness.CannotRun("too few requests were served")
    return f"TWICE: {twice}; REFUSED: {refused}" if twice or refused else ""


sys.exit(harness.play(FOLDER, body, TROUBLE))
