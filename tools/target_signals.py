"""Checks what routers make of targets that leave, by the store's word or their own, or ask for a pause, and of evacuations.

Used by tests/target_signals_test.py, tests/leaving_targets_test.py, tests/restored_store_test.py and tools/soak.py. Times are
those of the machine's monotonic clock, which the stand-ins use, too.
"""

import bisect
import collections
import json

from platform_fleet import EVACUATION_BOUND_MS

DRAIN_SECONDS = 2.0  # A request sent later than that after a router passed the word on may not reach the target.
BACKOFF_GRACE_SECONDS = 0.5  # What is on its way when the target asks for a pause may still reach it.
MOST_IN_BACKOFF = 2
EVACUATION_SECONDS = EVACUATION_BOUND_MS / 1000  # From the acknowledgement until an evacuation is in force.
STORE_READ_SECONDS = 1.0  # Half of the bound: a store that serves for so long has been read by some router.
HELD_SECONDS = 0.5  # Until what was held up has been read.
TOUCH_SECONDS = 3.0  # A router counts as in touch, and the store as stable, after so long without a fault.
SIGNER = "signed-by."
ROUTER_HEADER = "X-Trial-Router"  # Callers name in it the router that they send to; stand-ins write it down.


class SignalCheck:
    """Sends and answers of callers, beside what came to the targets."""

    def __init__(self):
        self.sent = {}  # By the request's id: when its caller sent it.
        self.told = collections.defaultdict(dict)  # By router and target: requests whose answer said that it leaves, and when.
        self.stops = collections.defaultdict(list)  # By router: spans in which it was restarted or paused.
        self.cuts = []  # Spans in which answers of targets may not have come to the routers.
        self.evacuations = []  # (targets, when acknowledged, when the end was requested)
        self.held = []  # Spans in which what was sent to targets may not have come to them, or may not have been read.
        self.store_away = []  # Spans in which no router may have been answered by the store.
        self.arrivals = collections.defaultdict(list)  # By router and target's life: what came there.
        self.returns = []  # Spans in which the store was away before it came back from an older copy.
        self.words = []  # (target, acknowledged, ended): spans in which the store held that a target leaves or has gone.
        self.known = {}  # By router and target: when the router was seen to know that it leaves or has gone.

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

    def note_held(self, begin, end):
        self.held.append((begin, end))

    def note_store_away(self, begin, end):
        self.store_away.append((begin, end))

    def note_return(self, begin, end):
        """What was acknowledged earlier may be lost until it is written again."""
        self.note_store_away(begin, end)
        self.returns.append((begin, end))

    def note_evacuation(self, targets, acknowledged, ended):
        self.evacuations.append((frozenset(targets), acknowledged, ended))

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

    def note_store(self, records):
        """What the stand-in store acknowledged of the list of targets, in its order; to be called once."""
        since = {}
        for it in records:
            target, entry = it["key"], json.loads(it["value"]) if it["value"] else None
            begun = since.get(target)
            if entry is None or entry["state"] == "draining":
                if begun is None:
                    since[target] = (it["at"], entry)
                elif entry is not None and begun[1] is None:
                    since[target] = (begun[0], entry)
            elif begun is not None and self._is_next_life(entry, begun[1]):
                self.words.append((target, begun[0], it["at"]))
                del since[target]
        self.words += [(target, begun[0], float("inf")) for target, begun in since.items()]

    @staticmethod
    def _is_next_life(entry, before):
        """Whether an entry that says ready belongs to a life after the one that left."""
        if before is None:
            return True  # Its entry went without a word, and is back.
        return (entry.get("born", 0), -entry["seq"]) > (before.get("born", 0), -before["seq"])

    def _may_be_lost(self, acknowledged, at):
        """Whether a word is not yet bound to be in force again after a return.

        What the store acknowledges in the first seconds after it counts as acknowledged at their end.
        """
        return any(acknowledged < end + TOUCH_SECONDS and begin < at < end + TOUCH_SECONDS + DRAIN_SECONDS
                   for begin, end in self.returns)

    def note_known(self, router, target, at):
        """A router itself was seen to know that the target leaves or has gone."""
        self.known.setdefault((router, target), at)

    def after_word(self):
        """(router, target, seconds) of requests that came to a target long after the store held that it leaves or has gone."""
        found = []
        for target, acknowledged, ended in self.words:
            if overlaps(self.store_away, acknowledged - TOUCH_SECONDS, acknowledged):
                continue
            for router, seconds, at in self._arrivals_late(target, acknowledged, ended):
                excused = overlaps(self.stops[router], at - TOUCH_SECONDS, at) \
                    or overlaps(self.held, at - TOUCH_SECONDS, at) or overlaps(self.store_away, at - TOUCH_SECONDS, at) \
                    or self._may_be_lost(acknowledged, at)
                if not excused:
                    found.append((router, target, seconds))
        return found

    def after_knowing(self):
        """(router, target, seconds) of requests that a router sent to a target long after it knew itself that it leaves.

        Neither a store that is away nor a stop of the router excuses these, as long as it is the same process.
        """
        return [(router, target, seconds) for (router, target), known in self.known.items()
                for sender, seconds, at in self._arrivals_late(target, known, float("inf"))
                if sender == router and not overlaps(self.held, at - TOUCH_SECONDS, at)]

    def _arrivals_late(self, target, since, ended):
        for (router, name), lives in self.arrivals.items():
            if name == target:
                for life in lives:
                    yield from ((router, round(it["at"] - since, 2), it["at"]) for it in life
                                if since + DRAIN_SECONDS < it["at"] < ended)

    def after_evacuating(self):
        """(router, target, seconds) of requests that came to a target of an evacuated zone later than the bound allows."""
        found = []
        for targets, acknowledged, ended in self.evacuations:
            in_force = self._readable_since(acknowledged) + EVACUATION_SECONDS
            for (router, target), lives in self.arrivals.items():
                if target not in targets:
                    continue
                found += [(router, target, round(it["at"] - acknowledged, 2)) for life in lives for it in life
                          if in_force < it["at"] < ended
                          and not overlaps(self.stops[router], it["at"] - EVACUATION_SECONDS, it["at"])
                          and not overlaps(self.held, it["at"] - HELD_SECONDS, it["at"])]
        return found

    def _readable_since(self, acknowledged):
        since = acknowledged
        for begin, end in sorted(self.store_away):
            if begin < since + STORE_READ_SECONDS and end > since:
                since = end + (TOUCH_SECONDS if (begin, end) in self.returns else 0.0)
        return since

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
