"""An entry of another writer in the list of workers, then all routers are killed: do they find the workers again?

Without the disruption the entry isn't written; all routers are killed there too.
"""

import os
import sys
import time
import urllib.parse

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import Client, Worker, play, read_message  # noqa: E402

FOREIGN_KEY = "i-2 old"
FOREIGN_VALUE = b'{"note": "kept for the audit"}'
DOWN_S = 1.0
RECOVERY_S = 15  # recoveryS
ASKED_S = 5
PAUSE_S = 0.05


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


def served_share(case, seconds):
    """Sends safe requests to the routers in turn, each on a new connection."""
    statuses, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        client = Client(case, case.routers[len(statuses) % len(case.routers)]["front"])
        statuses.append(client.send("GET", "/board/read", deadline_ms=1000)[1])
        client.close()
        time.sleep(PAUSE_S)
    share = statuses.count(200) / len(statuses)
    case.record(f"{share:.2f} of {len(statuses)} requests served")
    return share


def body(case):
    case.start_store()
    case.configure([{"name": "board-read", "pathPrefix": "/board/", "service": "scorekeep", "kind": "safe",
                     "timeoutMs": 1000}], ["scorekeep"])
    workers = [Worker(case, f"i-{i}", "scorekeep", 6, serve) for i in range(1, 5)]
    case.start_routers(2)
    case.wait_ready(workers)
    if case.trouble:
        path = "/standin/put?topic=keyed.servers&key=" + urllib.parse.quote(FOREIGN_KEY)
        if case.call(case.store, "POST", path, FOREIGN_VALUE)[0] != 200:
            raise RuntimeError("the store did not take the entry")
        case.record(f"another writer writes the entry {FOREIGN_KEY!r}")
    time.sleep(1)
    before = served_share(case, ASKED_S)
    for it in case.routers:
        it["process"].kill()
        it["process"].wait()
    case.record("all routers are killed")
    time.sleep(DOWN_S)
    for it in case.routers:
        case.start_router(it)
    served_share(case, RECOVERY_S)
    after = served_share(case, ASKED_S)
    if before < 0.25:
        raise RuntimeError("too few requests were served before the routers were killed")
    if after < 0.25:
        return f"{after:.2f} of the requests are served later than {RECOVERY_S} s after the routers are back; {before:.2f} before"
    return None


sys.exit(play(FOLDER, body, os.environ.get("TROUBLE", "1") != "0"))
