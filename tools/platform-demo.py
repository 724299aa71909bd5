"""Shows sagechute on the stand-ins of the users' platform: three edge routers, a store, workers, callers and faults.

Exits 0 only if every answer was right. Called by tools/demo.sh --platform with the build directory.
"""

import collections
import sys
import threading
import time
import uuid

from platform_fleet import Fleet, events_of
from target_signals import ROUTER_HEADER, SignalCheck

CALLERS = 8
REQUESTS_EACH = 30
EVENTS = list(range(1, 11))
PATHS = [("/answers/a", "POST"), ("/chats/a", "POST"), ("/posts/a", "POST"), ("/reads/a", "GET")]


def is_right(path, status, body):
    """Whether the answer is the whole one, or says truthfully what is the matter."""
    if status == 200:
        return events_of(body) == EVENTS if path.startswith(("/answers", "/chats")) else b'"id"' in body
    return status in (0, 429, 500, 502, 503)


def caller(fleet, number, ends, wrong, signals):
    for i in range(REQUESTS_EACH):
        path, method = PATHS[i % len(PATHS)]
        request = uuid.uuid4().hex[:16]
        router = (number + i) % len(fleet.routers)
        signals.note_send(request, time.monotonic())
        status, fields, body = fleet.send(path, request, router=router, method=method,
                                          headers={ROUTER_HEADER: str(router)})
        signals.note_answer(str(router), request, fields, time.monotonic())
        ends[(path, status)] += 1
        runs, _ = fleet.runs(request)
        is_doubled = path.startswith(("/posts", "/chats")) and runs > 1
        is_false = status in (429, 503) and runs > 0
        if is_doubled or is_false or not is_right(path, status, body):
            wrong.append((path, status, runs))


def main():
    print("== a store, three engines, two applications, three edge routers")
    with Fleet(sys.argv[1], routers=3, engines=3, applications=2) as fleet:
        fleet.wait_ready()
        fleet.wait_until("each router gives all three", lambda: all(len(fleet.locate(i)) == 3 for i in range(3)))
        print("== callers send; engines break streams, one as if they were whole, one asks for a pause, one leaves; an "
              "application loses answers, the store goes away")
        fleet.fault_all("engine", "break", 5)
        fleet.fault("engine-0", "close-in-event", 5)
        fleet.command(fleet.workers["engine-1"]["address"], "/standin/fault?kind=shed&count=5&retry-after-ms=1500")
        fleet.command(fleet.workers["engine-2"]["address"], "/standin/drain?store=untold")
        fleet.fault("app-0", "lose", 5)
        fleet.command(fleet.store, "/standin/fault?kind=reset")
        ends, wrong, signals = collections.Counter(), [], SignalCheck()
        threads = [threading.Thread(target=caller, args=(fleet, n, ends, wrong, signals)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        fleet.command(fleet.store, "/standin/fault?kind=none")
        print(f"{'path':12} {'status':>6} {'requests':>8}   (status 0: the answer visibly ends early)")
        for (path, status), n in sorted(ends.items()):
            print(f"{path:12} {status:6} {n:8}")
        for name in fleet.workers:
            signals.note_ledger(name, fleet.ledger(name)["arrivals"])
        unwanted = signals.after_draining() + signals.in_backoff()
        print(f"{sum(ends.values())} answers, {len(wrong)} wrong {wrong[:5]}; {len(signals.told)} routers told of the engine "
              f"that leaves; {len(unwanted)} requests that an engine did not want {unwanted[:5]}")
        return 1 if wrong or unwanted else 0


if __name__ == "__main__":
    sys.exit(main())
