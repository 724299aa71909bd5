"""What callers do in a trial besides sending one request after the other: one table, one line a behaviour.

Used by tools/conformance.py. Each function makes its requests at one router, and returns them with what came of them; a
finding of its own is appended to the list that it is given.
"""

import http.client
import socket
import time
import uuid

from platform_fleet import HOST
from promises import Request

TIMEOUT_SECONDS = 5.0
EVENT_PAUSE_SECONDS = 0.02


def fresh(path="/reads/x", method="GET"):
    return Request(uuid.uuid4().hex[:16], path, method)


class Wire:
    """A connection on which bytes are written and answers are read."""

    def __init__(self, router):
        host, port = router["front"].split(":")
        self.router = router["front"]
        self.socket = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)

    def head(self, request, version="1.1", fields=(), line=None):
        line = line or f"{request.method} {request.path} HTTP/{version}"
        lines = [line] + [f"{name}: {value}" for name, value in {**request.headers(self.router), **dict(fields)}.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def whole(self, request, version="1.1", fields=()):
        length = {"Content-Length": len(request.sent_body)} if request.method == "POST" else {}
        return self.head(request, version, {**length, **dict(fields)}) + request.sent_body.encode()

    def send(self, request, data):
        request.sent_at = time.monotonic()
        self.socket.sendall(data)

    def read(self, request):
        answer = http.client.HTTPResponse(self.socket, method=request.method)
        try:
            answer.begin()
            request.take(answer)
        except (OSError, http.client.HTTPException):
            pass
        request.ended_at = time.monotonic()
        return answer

    def leave(self, request):
        self.socket.close()
        request.left_at = request.ended_at = time.monotonic()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.socket.close()


def each_kind():
    return [fresh(path, method) for path, method in Request.KINDS]


def sent(make):
    """A behaviour that sends each kind of request once, on a connection of its own, as `make(wire, request)` has it."""
    def play(router, _):
        requests = each_kind()
        for request in requests:
            with Wire(router) as wire:
                wire.send(request, make(wire, request))
                wire.read(request)
        return requests
    return play


def old_version(wire, request):
    return wire.whole(request, version="1.0")


def in_chunks(wire, request):
    if request.method == "GET":
        return wire.head(request)
    body = request.sent_body.encode()
    chunks = b"".join(b"%x;ext=1\r\n%s\r\n" % (len(body[i:i + 5]), body[i:i + 5]) for i in range(0, len(body), 5))
    return wire.head(request, fields={"Transfer-Encoding": "chunked"}) + chunks + b"0\r\nX-Trailer: t\r\n\r\n"


def no_body_in_pieces(router, _):
    """A body in chunks that has none, its last chunk byte by byte."""
    requests = [it for it in each_kind() if it.method == "POST"]
    for request in requests:
        request.sent_body = ""
        with Wire(router) as wire:
            wire.send(request, wire.head(request, fields={"Transfer-Encoding": "chunked"}))
            for byte in (b"0", b"\r", b"\n", b"\r", b"\n"):
                wire.socket.sendall(byte)
                time.sleep(0.005)
            wire.read(request)
    return requests


def lower_case(wire, request):
    head, _, body = wire.whole(request).partition(b"\r\n\r\n")
    first, *fields = head.split(b"\r\n")
    low = [name.lower() + b":" + value.strip() for name, _, value in (it.partition(b":") for it in fields)]
    return b"\r\n".join([first] + low) + b"\r\n\r\n" + body


def forged(wire, request):
    return wire.whole(request, fields={
        "X-Sagechute-Tenant": "somebody", "X-Sagechute-Target-Instance": "engine-99", "X-Sagechute-Hold": "1",
        "X-Sagechute-Pin-Ms": "5", "X-Sagechute-Kv-Backup": "127.0.0.1:1", "Kv-From": "127.0.0.1:1/2",
        "Kv-Fetch": "127.0.0.1:1", "Connection": "close, X-Hop", "X-Hop": "1", "TE": "trailers"})


def long_body(wire, request):
    if request.method == "POST":
        request.sent_body = request.id + "x" * 60_000
    return wire.whole(request)


def raw_path(wire, request):
    request.path = request.path + "%2F..%2f?q=%41&empty=&a=b=c"
    return wire.whole(request)


def expecting(router, found):
    requests = [it for it in each_kind() if it.method == "POST"]
    for request in requests:
        with Wire(router) as wire:
            wire.send(request, wire.head(request, fields={"Content-Length": len(request.sent_body),
                                                          "Expect": "100-continue"}))
            first = wire.socket.recv(64)
            if not first.startswith(b"HTTP/1.1 100"):
                found.append(f"LOST no leave to send a body: {first[:30]}")
                continue
            wire.socket.sendall(request.sent_body.encode())
            wire.read(request)
    return requests


def head_only(router, found):
    request = fresh("/reads/x", "HEAD")
    following = fresh()
    with Wire(router) as wire:
        wire.send(request, wire.whole(request))
        wire.read(request)
        if request.body:
            found.append("MIXED an answer to HEAD with a body")
        wire.send(following, wire.whole(following))
        wire.read(following)
    return [request, following]


def pipelined(router, _):
    requests = [fresh("/reads/x"), fresh("/posts/x", "POST"), fresh("/answers/x", "POST"), fresh("/reads/x")]
    with Wire(router) as wire:
        data = b"".join(wire.whole(it) for it in requests)
        for request in requests:
            request.sent_at = time.monotonic()
        wire.socket.sendall(data)
        reader = wire.socket.makefile("rb")
        for request in requests:
            answer = http.client.HTTPResponse(FileSocket(reader), method=request.method)
            try:
                answer.begin()
                request.take(answer)
            except (OSError, http.client.HTTPException):
                break
    return requests


class FileSocket:
    """Lets several answers be read from one buffered file."""

    def __init__(self, reader):
        self._reader = reader

    def makefile(self, *_):
        return Unclosed(self._reader)


class Unclosed:
    def __init__(self, reader):
        self._reader = reader

    def __getattr__(self, name):
        return getattr(self._reader, name)

    def close(self):
        pass


def slowly_sent(router, _):
    requests = each_kind()
    for request in requests:
        with Wire(router) as wire:
            data = wire.whole(request)
            request.sent_at = time.monotonic()
            for i in range(0, len(data), 40):
                wire.socket.sendall(data[i:i + 40])
                time.sleep(0.002)
            wire.read(request)
    return requests


def half_closed(router, _):
    """A caller that ends its sending side counts as gone; it may get nothing, but not half."""
    requests = each_kind()
    for request in requests:
        with Wire(router) as wire:
            wire.send(request, wire.whole(request))
            wire.socket.shutdown(socket.SHUT_WR)
            wire.read(request)
    return requests


def leaving(after):
    """Leaves so many seconds after the request was sent."""
    def play(router, _):
        requests = each_kind()
        for request in requests:
            with Wire(router) as wire:
                wire.send(request, wire.whole(request))
                time.sleep(after)
                wire.leave(request)
        return requests
    return play


def leaving_in_request(router, _):
    """Leaves before its request is whole: it must run nowhere."""
    requests = each_kind()
    for request in requests:
        with Wire(router) as wire:
            data = wire.whole(request)
            wire.send(request, data[:len(data) * 2 // 3])
            wire.leave(request)
    return []


def pausing(router, _):
    requests = [fresh("/answers/x", "POST"), fresh("/chats/x", "POST")]
    for request in requests:
        with Wire(router) as wire:
            wire.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            wire.send(request, wire.whole(request))
            time.sleep(1.2)
            wire.read(request)
    return requests


def resuming(router, _):
    requests = []
    for after in (1, 4, 9, 10):
        request = fresh("/answers/x", "POST")
        request.resume_after = after
        with Wire(router) as wire:
            wire.send(request, wire.whole(request))
            wire.read(request)
        requests.append(request)
    return requests


def malformed(router, found):
    """Bytes that are no request are refused, and nothing behind them runs."""
    for data in (b"nonsense\r\n\r\n", b"GET /reads/x HTTP/1.1\r\nHost : a\r\n\r\n", b"\0" * 100,
                 b"GET /reads/x HTTP/1.1\nHost: a\n\n",
                 b"POST /posts/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"):
        inner = fresh()
        with Wire(router) as wire:
            wire.socket.sendall(data + wire.whole(inner))
            wire.socket.settimeout(2.0)
            try:
                answer = wire.socket.recv(4096)
            except OSError:
                answer = b""
            if answer and not answer.startswith(b"HTTP/1.1 400"):
                found.append(f"MIXED {answer[:40]} to {data[:30]}")
    return []


def smuggling(router, found):
    """The inner request must run nowhere: its id is known to nobody."""
    outer, inner = fresh("/posts/x", "POST"), fresh("/posts/x", "POST")
    with Wire(router) as wire:
        hidden = wire.whole(inner)
        wire.socket.sendall(wire.head(outer, fields={"Content-Length": len(hidden) + 5, "Transfer-Encoding": "chunked"})
                            + b"0\r\n\r\n" + hidden)
        answer = wire.socket.recv(4096)
        if answer and not answer.startswith(b"HTTP/1.1 400"):
            found.append(f"UNASKED {answer[:40]} to a request with two lengths")
    return []


def too_long(router, found):
    request = fresh("/posts/x", "POST")
    with Wire(router) as wire:
        wire.socket.sendall(wire.head(request, fields={"Content-Length": 70_000}) + b"x" * 70_000)
        answer = wire.socket.recv(4096)
        if not answer.startswith(b"HTTP/1.1 413"):
            found.append(f"DENIED {answer[:40]} to a body beyond the limit")
    return []


def wrong_key(router, found):
    for key, path, wanted in (("wrong", "/posts/x", 401), ("wrong", "/nowhere/x", 404), (None, "/reads/x", 401)):
        request = fresh(path, "POST")
        request.key = key or ""
        with Wire(router) as wire:
            wire.send(request, wire.whole(request))
            wire.read(request)
        if request.status != wanted:
            found.append(f"DENIED {request.status} in place of {wanted} for key {key} on {path}")
    return []


def public(router, _):
    request = fresh("/open/x")
    with Wire(router) as wire:
        wire.send(request, wire.whole(request))
        wire.read(request)
    return [request]


def same_id_again(router, _):
    """Both are requests; what must run once runs once for each send, so that only idempotent ones are sent."""
    first = fresh()
    again = Request(first.id, first.path, first.method)
    for request in (first, again):
        with Wire(router) as wire:
            wire.send(request, wire.whole(request))
            wire.read(request)
    return [first] if first.status == 200 and again.status == 200 else [first]


CALLS = {
    "HTTP/1.0": sent(old_version), "body in chunks": sent(in_chunks),
    "empty body in chunks": no_body_in_pieces, "lower case names": sent(lower_case),
    "headers of the system": sent(forged), "long body": sent(long_body), "raw path and query": sent(raw_path),
    "Expect": expecting, "HEAD": head_only, "pipelined": pipelined, "slowly sent": slowly_sent,
    "half-closed": half_closed, "leaves at once": leaving(0.0), "leaves before the answer": leaving(0.01),
    "leaves in the answer": leaving(0.08), "leaves in its request": leaving_in_request, "pauses reading": pausing,
    "resumes": resuming, "malformed": malformed, "smuggling": smuggling, "body beyond the limit": too_long,
    "wrong key or path": wrong_key, "public route": public, "same id again": same_id_again,
}
