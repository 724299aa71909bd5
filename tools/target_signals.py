"""Checks what routers make of targets that say in their answers that they leave or ask for a pause.

Used by tests/target_signals_test.py and tools/soak.py. Times are those of the machine's monotonic clock, which the
stand-ins use, too.
"""

import bisect
import collections

DRAIN_SECONDS = 2.0  # A request sent later than that after a router passed the word on may not reach the target.
BACKOFF_GRACE_SECONDS = 0.5  # What is on its way when the target asks for a pause may still reach it.
MOST_IN_BACKOFF = 2
SIGNER = "signed-by."
ROUTER_HEADER = "X-Trial-Router"  # Callers name in it the router that they send to; stand-ins write it down.


class SignalCheck:
    """Sends and answers of callers, beside what came to the targets."""

    def __init__(self):
        self.sent = {}  # By the request's id: when its caller sent it.
        self.told = collections.defaultdict(dict)  # By router and target: requests whose answer said that it leaves, and when.
        self.stops = collections.defaultdict(list)  # By router: spans in which it was restarted or paused.
        self.cuts = []  # Spans in which answers of targets may not have come to the routers.
        self.arrivals = collections.defaultdict(list)  # By router and target's life: what came there.

    def note_send(self, request_id, sent_at):
        self.sent[request_id] = sent_at

    def note_answer(self, router, request_id, fields, ended_at):
        target = fields.get("x-sagechute-response-signature", "").removeprefix(SIGNER)
        if target and fields.get("server-leaving") == "1":
            self.told[(router, target)][request_id] = ended_at

    def note_stop(self, router, begin, end):
        self.stops[router].append((begin, end))

    def note_cut(self, begin, end):
        self.cuts.append((begin, end))

    def note_ledger(self, target, arrivals):
        """To be called once for each life of a target."""
        by_router = collections.defaultdict(list)
        for it in arrivals:
            by_router[it["sender"]].append(it)
        for router, found in by_router.items():
            if router:
                self.arrivals[(router, target)].append(found)

    def after_draining(self):
        """(router, target, seconds) of requests that came to a target long after the router had passed on that it leaves."""
        found = []
        for (router, target), told in self.told.items():
            for life in self.arrivals[(router, target)]:
                # Only the answers of this life: the one before may have left, too.
                told_at = min((told[it["id"]] for it in life if it["id"] in told), default=None)
                if told_at is None:
                    continue
                for it in life:
                    late = self.sent.get(it["id"], 0) - told_at
                    if late > DRAIN_SECONDS and not overlaps(self.stops[router], told_at, it["at"]):
                        found.append((router, target, round(late, 2)))
        return found

    def in_backoff(self):
        """(router, target, requests) for each pause in which a router sent the target more than it may."""
        found = []
        for (router, target), lives in self.arrivals.items():
            for life in lives:
                times = sorted(it["at"] for it in life)
                for it in life:
                    if it["backoff"] is None:
                        continue
                    end = it["at"] + it["backoff"]
                    count = bisect.bisect_left(times, end) - bisect.bisect_right(times, it["at"] + BACKOFF_GRACE_SECONDS)
                    if count > MOST_IN_BACKOFF and not overlaps(self.stops[router] + self.cuts, it["at"], end):
                        found.append((router, target, count))
        return found


def overlaps(spans, begin, end):
    return any(first < end and begin < last for first, last in spans)
