"""Starts the routers of the deploy file with the project's stand-in store on loopback, and has a small worker and a small
client of its own. Used by the scripts in the folders beside it.

The worker and the client speak HTTP/1.1 on plain sockets, so that a script decides which bytes are sent and when.
"""

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
ZONE = "thamel-hall"
HEARTBEAT_S = 1.2

# What the platform fills into the settings template of a small deployment; addresses and ports are set at the start.
FIELDS = {
    "zone": ZONE, "limits.cpuShare": "0.25", "limits.cores": "1", "limits.memoryMb": "260", "limits.maxFds": "4100",
    "bootstrap": "false", "bounds.graceS": "8", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000",
    "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "56", "bounds.quotaWindowS": "4",
    "bounds.ttl_max_s": "5",
}


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


def free_ports(count, address):
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        first_ephemeral = int(file.read().split()[0])
    drawn, found = random.SystemRandom(), set()
    while len(found) < count:
        port = drawn.randrange(12000, first_ephemeral)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        found.add(port)
    return sorted(found)


def read_message(sock, buffered=b""):
    """Returns (first line, fields, body, what follows), or None at the connection's end."""
    while b"\r\n\r\n" not in buffered:
        data = sock.recv(65536)
        if not data:
            return None
        buffered += data
    head, _, rest = buffered.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    return lines[0], fields, rest[:length], rest[length:]


class Case:
    """One play: its processes, its record and its verdict."""

    def __init__(self, folder, trouble, fields=None):
        """trouble: whether the disruption is played."""
        self.trouble = trouble
        self.fields = {**FIELDS, **(fields or {})}
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.is_over = threading.Event()
        self.version = 3
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]
        self.record(f"disruption: {'yes' if self.trouble else 'no'}")

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write(f"{self.now():8.3f} {text}\n")

    def start_process(self, name, command, environment=None):
        kept = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            child = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                     env={**kept, **(environment or {})})
        self.processes.append(child)
        self.record(f"started {name}, process {child.pid}")
        return child

    def start_store(self):
        self.store = f"127.0.0.1:{free_ports(1, '127.0.0.1')[0]}"
        self.start_process("store", [os.path.join(ROOT, "target", "sagechute-standin-store"), "--listen", self.store])
        self.wait("the store answers", lambda: self.call(self.store, "POST", "/standin/counts")[0] == 200)

    def start_routers(self, count=1, stores=None):
        """stores: by number, the address at which a router finds the store; the others find it directly."""
        addresses = [f"127.0.0.{11 + i}" for i in range(count)]
        ports = free_ports(6, addresses[0])
        seeds = ",".join(f"{it}:{ports[2]}" for it in addresses[:3])
        self.routers = []
        for i, address in enumerate(addresses):
            fields = {**self.fields, "node": f"edge-{i + 1}", "ip": address, "listen.front": f"{address}:{ports[0]}",
                      "listen.readiness": f"{address}:{ports[1]}", "listen.control": f"{address}:{ports[2]}",
                      "listen.directory": f"{address}:{ports[3]}", "portRange": f"{ports[4]},{ports[5]}", "seeds": seeds,
                      "provider.address": (stores or {}).get(i, self.store)}
            with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
                text = re.sub(r"\{\{([^}]*)\}\}", lambda it: fields.get(it[1], ""), file.read())
            path = os.path.join(self.directory, f"router-{i}.conf")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            self.routers.append({"name": f"router-{i}", "settings": path, "front": (address, ports[0]),
                                 "ready": f"{address}:{ports[1]}", "control": f"{address}:{ports[2]}"})
            self.start_router(self.routers[-1])

    def start_router(self, router):
        words = self.role["run"].split()
        router["process"] = self.start_process(router["name"], [os.path.join(ROOT, words[0]), *words[1:]],
                                               {"SAGECHUTE_NODE_FILE": router["settings"]})

    def wait_ready(self, workers):
        for it in self.routers:
            self.wait("a router is ready", lambda it=it: self.call(it["ready"], "GET", "/sagechute/ready")[0] == 200)
            self.wait("a router knows the workers", lambda it=it: {w.id for w in workers} <= self.known_to(it))

    def known_to(self, router):
        status, _, body = self.call(router["control"], "GET", "/v1/status")
        return {it["id"] for it in json.loads(body)["targets"] if not it["draining"]} if status == 200 else set()

    def peers_of(self, router):
        status, _, body = self.call(router["control"], "GET", "/v1/status")
        return [it["vm"] for it in json.loads(body)["peers"]] if status == 200 else []

    def wait(self, what, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def call(self, address, method, path, body=b""):
        host, port = address.split(":")
        try:
            with socket.create_connection((host, int(port)), 2) as sock:
                sock.settimeout(3)
                sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                answer = read_message(sock)
        except OSError:
            answer = None
        return (int(answer[0].split()[1]), answer[1], answer[2]) if answer else (0, {}, b"")

    def put(self, topic, key, document):
        status = self.call(self.store, "POST", f"/standin/put?topic={topic}&key={key}", json.dumps(document).encode())[0]
        return status == 200

    def configure(self, routes, services, keys=(KEY,), **limits):
        common = {"host": HOST, "timeoutMs": 3000, "goalMs": 300, "priority": 1, "attempts": 2, "public": False}
        document = {
            "version": self.version, "routes": [{**common, **it} for it in routes],
            "services": [{"name": it, "healthPath": "/healthz", "maxConns": 370} for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000,
                       "tokensPerS": 100000, **limits},
            "tenants": [{"name": TENANT, "apiKeys": list(keys)}],
        }
        self.version += 3
        if not self.put("keyed.op", "config", document):
            raise CannotRun("the store did not take the configuration")

    def router_exits(self):
        return [it["process"].poll() for it in self.routers]

    def end(self):
        self.is_over.set()
        for it in self.processes:
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
        for it in self.processes:
            it.wait()
        with self.lock:
            self.record_file.close()


class Worker:
    """A worker that registers in the store as long as the case goes on. `serve` handles each of its requests."""

    def __init__(self, case, worker_id, service, slots, serve):
        self.case, self.id, self.service, self.slots, self.serve = case, worker_id, service, slots, serve
        self.runs = []
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(400)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        seq = 0
        while not self.case.is_over.is_set():
            seq += 1
            self.case.put("keyed.servers", self.id, {
                "service": self.service, "address": self.address, "zone": ZONE, "version": "v1", "slots": self.slots,
                "state": "ready", "coldLeftMs": 0, "seq": seq, "born": self.born})
            self.case.is_over.wait(HEARTBEAT_S)

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock):
        try:
            self.serve(self, sock)
        except OSError:
            pass
        finally:
            sock.close()

    def note_run(self, request_id):
        with self.lock:
            self.runs.append((self.case.now(), request_id))
        self.case.record(f"worker {self.id} runs {request_id}")

    def answer(self, request_id, body=b"done"):
        return (f"HTTP/1.1 200 OK\r\nX-Sagechute-Attempt-Id: {request_id}\r\nX-Sagechute-Response-Signature: s.{self.id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class StoreProxy:
    """Stands between one router and the store. While `is_refusing`, the router's calls get 503, as from a store that turns
    this router away."""

    def __init__(self, case):
        self.case, self.is_refusing = case, False
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(50)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock):
        host, port = self.case.store.split(":")
        buffered = b""
        try:
            with sock, socket.create_connection((host, int(port)), 2) as store:
                while True:
                    message = read_message(sock, buffered)
                    if message is None:
                        return
                    line, fields, body, buffered = message
                    if self.is_refusing:
                        sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        continue
                    head = [line] + [f"{name}: {value}" for name, value in fields.items()]
                    store.sendall("\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body)
                    answer = read_message(store)
                    if answer is None:
                        return
                    head = [answer[0]] + [f"{name}: {value}" for name, value in answer[1].items()]
                    sock.sendall("\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + answer[2])
        except OSError:
            pass


class Client:
    """A client with one kept connection to one router."""

    def __init__(self, case, front):
        self.case, self.front = case, front
        self.sock = None

    def send(self, method, path, body=b"", deadline_ms=3000, headers=(), key=KEY):
        """Returns (id, status, fields, body). status 0: no whole answer."""
        request_id = uuid.uuid4().hex[:16]
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Sagechute-Attempt-Id: {request_id}",
                f"X-Sagechute-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}", f"Content-Length: {len(body)}", *headers]
        answer = None
        try:
            if self.sock is None:
                self.sock = socket.create_connection(self.front, 1)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(deadline_ms / 1000 + 1)
            self.case.record(f"client sends {request_id} {method} {path} {len(body)} bytes")
            self.sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            answer = read_message(self.sock)
        except OSError as error:
            self.case.record(f"client: {request_id}: {error}")
        if answer is None:
            self.close()
            self.case.record(f"client gets no answer to {request_id}")
            return request_id, 0, {}, b""
        status, fields = int(answer[0].split()[1]), answer[1]
        self.case.record(f"client gets {status} for {request_id}, signature {fields.get('x-sagechute-response-signature', 'none')}")
        if fields.get("connection", "").lower() == "close":
            self.close()
        return request_id, status, fields, answer[2]

    def close(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def play(folder, body, trouble, fields=None):
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    case = Case(folder, trouble, fields)
    text, code = "ended before its end", 2
    try:
        broken = body(case)
        text, code = ("BROKEN: " + broken, 1) if broken else ("the rule held", 0)
    except Exception as error:  # Nothing that fails here says anything of the rule.
        text, code = f"could not run: {type(error).__name__}: {error}", 2
    finally:
        case.is_over.set()
        case.record(text)
        case.end()
    try:
        print(text, flush=True)
    except OSError:
        pass  # Nobody reads the output; the exit code stands.
    return code
