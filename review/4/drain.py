"""The store forgets its history while an entry of another writer is in the list; a worker drains seconds later.

The entry is there with and without the disruption. Without it the store keeps its history.
"""

import os
import sys
import threading
import time
import urllib.parse

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import Client, Worker, play, read_message  # noqa: E402

FOREIGN_KEY = "i-2 old"
FOREIGN_VALUE = b'{"note": "kept for the audit"}'
SILENT_S = 1.0  # platform_compact: "watches hear nothing for a second while changes are made"
STABLE_S = 5.0  # More than stableMs, 4 s there.
DRAIN_S = 3.0  # drainMs
ASKED_S = 5.0
PAUSE_S = 0.05
TOPIC = "keyed.servers"


class DrainingWorker(Worker):
    """Says `draining` in its entry once `leaving` is set, and goes on serving."""

    def __init__(self, *arguments):
        self.leaving = threading.Event()
        super().__init__(*arguments)

    def entry(self, seq):
        state = "draining" if self.leaving.is_set() else "ready"
        return {"service": self.service, "address": self.address, "zone": "thamel-hall", "version": "v1", "slots": self.slots,
                "state": state, "coldLeftMs": 0, "seq": seq, "born": self.born}

    def beat(self):
        seq = 0
        while not self.case.is_over.is_set():
            seq += 1
            if not self.leaving.is_set():
                self.case.put(TOPIC, self.id, self.entry(seq))
            self.case.is_over.wait(1.2)

    def leave(self):
        """Returns when the store has acknowledged the report."""
        self.leaving.set()
        if not self.case.put(TOPIC, self.id, self.entry(1000)):
            raise RuntimeError("the store did not take the report of draining")
        acknowledged = self.case.now()
        self.case.record(f"worker {self.id} is draining, acknowledged")
        return acknowledged


def serve(worker, sock):
    buffered = b""
    while True:
        message = read_message(sock, buffered)
        if message is None:
            return
        _, fields, _, buffered = message
        request_id = fields.get("x-sagechute-attempt-id", "")
        worker.note_run(request_id)
        time.sleep(0.015)
        sock.sendall(worker.answer(request_id))


def forget_history(case):
    """The store answers no reads of the list for a second while the workers write, then drops the older records."""
    case.record("the store's watches hear nothing")
    case.call(case.store, "POST", f"/standin/fault?kind=silent&topic={TOPIC}")
    time.sleep(SILENT_S)
    case.call(case.store, "POST", f"/standin/forget?topic={TOPIC}")
    case.call(case.store, "POST", "/standin/fault?kind=none")
    case.record("the store has forgotten its history and answers again")


def ask(case, seconds):
    asked, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        client = Client(case, case.routers[asked % len(case.routers)]["front"])
        client.send("POST", "/score/submit", b"x" * 200, deadline_ms=1200)
        client.close()
        asked += 1
        time.sleep(PAUSE_S)
    return asked


def body(case):
    case.start_store()
    case.configure([{"name": "score-submit", "pathPrefix": "/score/", "service": "scorekeep", "kind": "unsafe",
                     "timeoutMs": 1200}], ["scorekeep"])
    workers = [DrainingWorker(case, f"i-{i}", "scorekeep", 6, serve) for i in range(1, 5)]
    case.start_routers(2)
    case.wait_ready(workers)
    path = f"/standin/put?topic={TOPIC}&key=" + urllib.parse.quote(FOREIGN_KEY)
    if case.call(case.store, "POST", path, FOREIGN_VALUE)[0] != 200:
        raise RuntimeError("the store did not take the entry")
    case.record(f"another writer writes the entry {FOREIGN_KEY!r}")
    time.sleep(2)
    if case.trouble:
        forget_history(case)
    time.sleep(STABLE_S)
    leaver = workers[0]
    acknowledged = leaver.leave()
    time.sleep(DRAIN_S + 0.5)
    asked = ask(case, ASKED_S)
    late = [(at, request_id) for at, request_id in leaver.runs if at > acknowledged + DRAIN_S + 0.5]
    case.record(f"{len(late)} of {asked} requests reached worker {leaver.id} later than {DRAIN_S} s after the acknowledgement")
    if late:
        return (f"{len(late)} of {asked} requests reached a worker later than {DRAIN_S} s after the store acknowledged that it "
                f"is draining, the last {late[-1][0] - acknowledged:.1f} s after it")
    return None


sys.exit(play(FOLDER, body, os.environ.get("TROUBLE", "1") != "0",
              {"bounds.drainMs": "3000", "bounds.configApplyMs": "3000"}))
