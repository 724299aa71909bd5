"""What callers of a trial send and get, and whether that keeps what the platform's pages promise.

Used by tools/soak.py and tools/conformance.py. A finding begins with the name of the rule that it breaks. Times are those
of the machine's monotonic clock, which the stand-ins use, too.
"""

import collections
import http.client
import random
import threading
import time

from platform_fleet import HOST, KEY, with_line_feeds
from target_signals import ROUTER_HEADER

ALL_EVENTS = list(range(1, 11))
NOT_RUN = (408, 421, 429, 503)
FAILED = (500, 502, 504)
DENIED = (400, 401, 403, 404, 405, 411, 413, 414, 431)
DEADLINE_SECONDS = 3.0
TIMEOUT_SECONDS = 4.0  # Of a caller; beyond the deadline.
DEADLINE_SLACK_SECONDS = 0.5  # By which a target may be told more time than is left.
GONE_SECONDS = 0.5  # After its caller left, a request may still reach a target, and run there.
GONE_SLACK_SECONDS = 0.25  # For threads of this trial that wake late.
MOST_ARRIVALS_AFTER_LEAVING = 3
ATTEMPTS = {"/answers": 2, "/chats": 1, "/posts": 1, "/reads": 2, "/open": 2}
SERVICES = {"answers": "llm", "chats": "llm", "posts": "app", "reads": "app", "open": "app"}
CUSTOMER = "teller"


class Request:
    """One send of a caller and what came of it."""

    KINDS = (("/reads/x", "GET"), ("/posts/x", "POST"), ("/answers/x", "POST"), ("/chats/x", "POST"))

    def __init__(self, request_id, path="/reads/x", method="GET", key=KEY):
        self.id = request_id
        self.path, self.method, self.key = path, method, key
        self.sent_body = f"body of {request_id}" if method == "POST" else ""
        self.resume_after = 0
        self.status = None
        self.is_whole = False
        self.fields = {}
        self.body = b""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.left_at = None  # When its caller closed the connection before the answer's end.

    def service(self):
        return self.path.split("/", 2)[1]

    def may_repeat(self):
        return self.service() in ("reads", "answers", "open")

    def is_stream(self):
        return self.service() in ("answers", "chats")

    def headers(self, router):
        fields = {"Host": HOST, ROUTER_HEADER: router, "X-Sagechute-Attempt-Id": self.id,
                  "X-Sagechute-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)), "Api-Key": self.key}
        if self.is_stream():
            fields.update({"X-Sagechute-Model": "m", "X-Sagechute-Token-Usage": "1000,10",
                           "X-Sagechute-Prompt-Prefix": "5c1e07a2:800,77:200"})
        if self.resume_after:
            fields["Last-Event-Id"] = str(self.resume_after)
        return fields

    def take(self, answer):
        """Reads an http.client answer; raises what that raises."""
        self.fields = {name.lower(): value for name, value in answer.getheaders()}
        self.status = answer.status
        try:
            self.body = answer.read()
        except http.client.IncompleteRead as error:
            self.body = error.partial
            raise
        self.is_whole = True


    def send(self, router):
        """On a connection of its own; tells nothing of a failure but by is_whole."""
        host, port = router.split(":")
        self.sent_at = time.monotonic()
        connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
        try:
            connection.request(self.method, self.path, body=self.sent_body or None, headers=self.headers(router))
            self.take(connection.getresponse())
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.ended_at = time.monotonic()


class Caller(threading.Thread):
    """Keeps its connection for as long as it is open, as the users' callers do."""

    def __init__(self, number, addresses, rng, pause, is_over, signals=None, keys=lambda rng: KEY):
        """addresses: the routers that it may use; pause: seconds between two requests, at most."""
        super().__init__(daemon=True)
        self._number = number
        self._addresses = addresses
        self._rng = rng
        self._pause = pause
        self._is_over = is_over
        self._signals = signals
        self._keys = keys
        self._connection = None
        self._address = None
        self.requests = []

    def run(self):
        while not self._is_over.is_set():
            path, method = self._rng.choice(Request.KINDS)
            request = Request(f"{self._number:02x}{len(self.requests):014x}", path, method, self._keys(self._rng))
            self.requests.append(request)
            self._send(request)
            time.sleep(self._rng.uniform(0.0, self._pause))
        if self._connection:
            self._drop()

    def _connect(self):
        self._address = self._rng.choice(self._addresses())
        host, port = self._address.split(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)

    def _send(self, request):
        request.sent_at = time.monotonic()
        if self._signals:
            self._signals.note_send(request.id, request.sent_at)
        try:
            if not self._connection:
                self._connect()
            self._connection.request(request.method, request.path, body=request.sent_body or None,
                                     headers=request.headers(self._address))
            answer = self._connection.getresponse()
            request.take(answer)
            if self._signals:
                self._signals.note_answer(self._address, request.id, request.fields, time.monotonic())
            if answer.will_close:
                self._drop()
        except (OSError, http.client.HTTPException):
            self._drop()
        request.ended_at = time.monotonic()

    def _drop(self):
        if self._connection:
            self._connection.close()
        self._connection = None


def read_events(body):
    """The identities of the whole events of a stream, whichever line ends and other fields they have."""
    blocks = with_line_feeds(body).split(b"\n\n")[:-1]
    ids = [[line for line in block.split(b"\n") if line.startswith(b"id: ")] for block in blocks]
    return [int(lines[-1].removeprefix(b"id: ")) for lines in ids if lines]


def ends_inside_event(body):
    """Whether more than comments follows the last whole event of a stream."""
    rest = with_line_feeds(body).rpartition(b"\n\n")[2]
    return any(line and not line.startswith(b":") for line in rest.split(b"\n"))


class Ledgers:
    """What the targets say of the requests that came to them, over all their lives."""

    def __init__(self):
        self.runs, self.completed = collections.Counter(), collections.Counter()
        self.disordered = set()  # Requests whose events a target itself sent in another order.
        self.arrivals = []
        self.lost = set()  # Targets of which a life ended without its ledger.

    def add(self, ledger):
        self.runs.update(ledger["runs"])
        self.completed.update(ledger["completed"])
        self.disordered.update(ledger["disordered"])
        self.arrivals += [{**it, "service": ledger["service"]} for it in ledger["arrivals"]]


def check(requests, ledgers):
    """Returns the findings on all requests, each beside the ledgers."""
    found = [f"{what}: id={it.id} {it.method} {it.path} status={it.status} runs={ledgers.runs[it.id]}"
             for it in requests for what in findings_of(it, ledgers)]
    return found + check_arrivals(requests, ledgers)


def findings_of(request, ledgers):
    """Yields what is wrong with what one caller got."""
    runs = ledgers.runs[request.id]
    if not request.may_repeat() and runs > 1:
        yield "TWICE ran twice"
    if request.status in NOT_RUN and not request.may_repeat() and runs:
        yield "REFUSED said not to have run"
    if runs > ATTEMPTS["/" + request.service()]:
        yield "BUDGET ran on more targets than its route allows"
    if request.status == 200 and request.is_whole and request.method != "HEAD":
        yield from _of_answer(request, ledgers)
    if request.is_stream() and request.status == 200 and not request.is_whole:
        events = read_events(request.body)
        if request.id not in ledgers.disordered \
                and events != ALL_EVENTS[request.resume_after:request.resume_after + len(events)]:
            yield "ORDER disorder in a broken stream"
    if request.key == KEY and request.status in DENIED:
        yield "DENIED a proper request"


def _of_answer(request, ledgers):
    signature = request.fields.get("x-sagechute-response-signature")
    if signature is None:
        yield "MIXED success without a signature"
    if request.fields.get("x-sagechute-attempt-id") != request.id:
        yield "MIXED another request's answer"
    if request.is_stream():
        if read_events(request.body) != ALL_EVENTS[request.resume_after:] or ends_inside_event(request.body):
            yield "ORDER a whole stream with other events"
    elif request.id.encode() not in request.body:
        yield "MIXED another body"
    # A resumed stream keeps its first target's signature, so that any lost ledger may be the one.
    if not ledgers.completed[request.id] and not ledgers.lost:
        yield "ORDER framed as complete, and no target's answer was"


def check_arrivals(requests, ledgers, is_excused=lambda begin, end: False):
    """Returns the findings on what came to the targets.

    is_excused: whether a target may have been late between these times to see what was sent to it.
    """
    found = []
    late = []
    first = {}
    sent = {it.id: it for it in requests}
    for it in sorted(ledgers.arrivals, key=lambda arrival: arrival["at"]):
        request = sent.get(it["id"])
        if request is None:
            found.append(f"UNASKED a request that nobody sent: {it['id']} {it['line']}")
            continue
        if it["line"] != f"{request.method} {request.path}" or it["bytes"] != len(request.sent_body) \
                or not request.sent_body.startswith(it["body"]):
            found.append(f"UNASKED changed on the way: {it['id']} {it['line']} {it['bytes']} bytes {it['body']!r}")
        if it["run"] and it["service"] != SERVICES[request.service()]:
            found.append(f"ROUTE run by a target of {it['service']}: {it['id']} {it['line']}")
        if it["customer"] != ("" if request.service() == "open" else CUSTOMER) or it["system"]:
            found.append(f"UNASKED of customer {it['customer']!r} with {it['system']}: {it['id']}")
        left = request.sent_at + DEADLINE_SECONDS - it["at"] + DEADLINE_SLACK_SECONDS
        begin = first.setdefault(it["id"], it["at"])
        is_again = it["at"] - begin > DEADLINE_SLACK_SECONDS and not is_excused(begin, it["at"])
        if it["deadline"] is None or it["deadline"] > DEADLINE_SECONDS + DEADLINE_SLACK_SECONDS \
                or (is_again and it["deadline"] > left):
            found.append(f"BUDGET told {it['deadline']} s, {left:.2f} s are left: {it['id']}")
        if request.left_at is not None:
            limit = request.left_at + GONE_SECONDS + GONE_SLACK_SECONDS
            late += [it["id"]] if it["at"] > limit else []
            if request.may_repeat() and it["run"] and (it["end"] is None or it["end"] > limit):
                found.append(f"GONE at work after its caller left: {it['id']} {request.path}")
    if len(late) > MOST_ARRIVALS_AFTER_LEAVING:
        found.append(f"GONE {len(late)} requests reached targets after their callers left: {late[:3]}")
    return found
