"""Three entries of another writer in the list of workers, then one router is restarted as planned: does it stay up?

The script plays the platform: it kills a router whose resident memory passes its `memoryMb` and starts it again. Without the
disruption the entries aren't written; the router is restarted there too.
"""

import os
import signal
import sys
import threading
import time
import urllib.parse

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import Client, Worker, play, read_message  # noqa: E402

FOREIGN_KEYS = ("a&1", "a&2", "a&3")
FOREIGN_VALUE = b"\x00" * 2000  # Bytes that can't be read.
MEMORY_MB = 260
CLIENTS = 10
SECONDS = 45
WORK_S = 0.2
RESTART_DELAY_S = 0.5
MAX_LOST = 3  # "more than three times"


def serve(worker, sock):
    buffered = b""
    while True:
        message = read_message(sock, buffered)
        if message is None:
            return
        _, fields, _, buffered = message
        request_id = fields.get("x-sagechute-attempt-id", "")
        worker.note_run(request_id)
        time.sleep(WORK_S)
        sock.sendall(worker.answer(request_id))


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


class Platform:
    def __init__(self, case, router):
        self.case, self.router, self.kills, self.peak = case, router, 0, 0
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while not self.case.is_over.wait(0.02):
            process = self.router["process"]
            try:
                used = resident_mb(process.pid)
            except OSError:
                continue
            self.peak = max(self.peak, used)
            if used <= MEMORY_MB:
                continue
            process.kill()
            process.wait()
            self.kills += 1
            self.case.record(f"platform: {self.router['name']} holds {used:.0f} MB, more than {MEMORY_MB}: killed")
            if self.case.is_over.wait(RESTART_DELAY_S):
                return
            self.case.start_router(self.router)


def body(case):
    case.start_store()
    case.configure([{"name": "score-submit", "pathPrefix": "/score/", "service": "scorekeep", "kind": "unsafe",
                     "timeoutMs": 1200}], ["scorekeep"])
    workers = [Worker(case, f"i-{i}", "scorekeep", 6, serve) for i in range(1, 5)]
    case.start_routers(3)
    case.wait_ready(workers)
    case.wait("the routers know each other", lambda: all(len(case.peers_of(it)) == 2 for it in case.routers))
    if case.trouble:
        for key in FOREIGN_KEYS:
            path = "/standin/put?topic=keyed.servers&key=" + urllib.parse.quote(key)
            if case.call(case.store, "POST", path, FOREIGN_VALUE)[0] != 200:
                raise RuntimeError("the store did not take the entry")
        case.record(f"another writer writes the entries {FOREIGN_KEYS}")
    time.sleep(2)
    router = case.routers[0]
    router["process"].send_signal(signal.SIGTERM)
    router["process"].wait(9)
    case.record("router-0 has stopped after SIGTERM")
    case.start_router(router)
    case.wait("router-0 is ready", lambda: case.call(router["ready"], "GET", "/sagechute/ready")[0] == 200)
    platform = Platform(case, router)
    statuses, end = [], time.monotonic() + SECONDS

    def use():
        client, is_kept = Client(case, router["front"]), False
        while time.monotonic() < end:
            request_id, status, _, _ = client.send("POST", "/score/submit", b"x" * 200, deadline_ms=1200)
            statuses.append((request_id, status, is_kept))
            is_kept = client.sock is not None
            if status != 200:
                time.sleep(0.3)
        client.close()

    threads = [threading.Thread(target=use) for _ in range(CLIENTS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    ran = {request_id for it in workers for _, request_id in it.runs}
    lost = [request_id for request_id, status, is_kept in statuses if status == 0 and is_kept and request_id in ran]
    served = sum(1 for _, status, _ in statuses if status == 200)
    case.record(f"{served} of {len(statuses)} requests served; highest memory {platform.peak:.0f} MB; router-0 killed "
                f"{platform.kills} times")
    case.record(f"of kept connections, passed to a worker and closed without an answer: {len(lost)}")
    if len(lost) > MAX_LOST:
        return (f"LOST: {len(lost)} requests of kept connections were passed to sound workers and closed without an answer; the "
                f"restarted router was killed for its memory {platform.kills} times")
    return None


sys.exit(play(FOLDER, body, os.environ.get("TROUBLE", "1") != "0", {"limits.memoryMb": str(MEMORY_MB)}))
