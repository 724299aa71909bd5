"""A small deployment for the scripts of review/6 to review/10: edge routers, a store, and workers written here.

The routers are the program of deploy/system.toml, started with its template (platform/edge.settings) filled in. The store
is the project's stand-in. Workers and clients are coroutines of the script that imports this file. All addresses are
loopback addresses; every process that is started here is ended here.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "callers.example"
KEY = "key-of-the-only-tenant"
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing of the rule."""


def first_ephemeral_port():
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            return int(file.read().split()[0])
    except OSError:
        return 32768


def free_ports(count, addresses=("127.0.0.1",)):
    """Ports that are free at all these addresses and that the kernel gives to no outgoing connection."""
    found = []
    candidates = list(range(10000, min(first_ephemeral_port(), 32000)))
    start = (os.getpid() * 97) % len(candidates)
    for port in candidates[start:] + candidates[:start]:
        if len(found) == count:
            break
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
        except OSError:
            continue
        found.append(port)
    if len(found) < count:
        raise CannotRun("no free ports")
    return found


def filled_template(values):
    """platform/edge.settings as the platform fills it in: plain values only."""
    with open(os.path.join(ROOT, "platform", "edge.settings"), encoding="utf-8") as file:
        text = file.read()
    return re.sub(r"\{\{([^}]*)\}\}", lambda found: str(values.get(found[1], "")), text)


class Record:
    """What was sent, answered and run, with the seconds since the start, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def say(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Deployment:
    def __init__(self, record, routers=2, **bounds):
        self.record, self.count, self.bounds = record, routers, bounds
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.processes, self.routers, self.version = [], [], 0

    def program(self, name):
        path = os.path.join(ROOT, "target", name)
        if not os.access(path, os.X_OK):
            raise CannotRun(f"target/{name} is not built")
        return path

    def start_process(self, name, command, environment=None):
        kept = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            child = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                     env={**kept, **(environment or {})})
        self.processes.append(child)
        return child

    async def start(self, document):
        self.store = f"127.0.0.1:{free_ports(1)[0]}"
        self.start_process("store", [self.program("sagechute-standin-store"), "--listen", self.store])
        await self.until("the store answers", lambda: self.call(self.store, "GET", "/standin/counts"))
        await self.configure(document)
        addresses = [f"127.0.0.{11 + i}" for i in range(self.count)]
        ports = free_ports(6, addresses)  # The last two are the first and last of those between routers.
        seeds = ",".join(f"{it}:{ports[2]}" for it in addresses[:3])
        for i, address in enumerate(addresses):
            values = {
                "node": f"edge-{i}", "zone": "zone-a", "listen.front": f"{address}:{ports[0]}",
                "listen.readiness": f"{address}:{ports[1]}", "listen.control": f"{address}:{ports[2]}",
                "listen.directory": f"{address}:{ports[3]}", "ip": address,
                "portRange": f"{min(ports[4:])},{max(ports[4:])}", "seeds": seeds, "provider.address": self.store,
                "limits.maxFds": 4100, "limits.memoryMb": 260, "limits.cpuShare": 0.25, "limits.cores": 1,
                "bounds.graceS": 8, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 52, "bounds.budgetWindowS": 10,
                "bounds.quotaWindowS": 4, "bounds.ttl_max_s": 5, "bounds.configApplyMs": 2000, "bounds.drainMs": 2000,
                "bootstrap": "true", **{f"bounds.{name}": value for name, value in self.bounds.items()},
            }
            path = os.path.join(self.directory, f"edge-{i}.settings")
            with open(path, "w", encoding="utf-8") as file:
                file.write(filled_template(values))
            child = self.start_process(f"edge-{i}", [self.program("sagechute-edge")], {"SAGECHUTE_NODE_FILE": path})
            self.routers.append({"child": child, "front": values["listen.front"], "ready": values["listen.readiness"],
                                 "control": values["listen.control"], "name": f"edge-{i}"})

    async def ready(self, workers):
        """Returns when each router is ready and knows these workers, and has been undisturbed for stableMs."""
        for router in self.routers:
            await self.until(f"{router['name']} is ready", lambda it=router: self.call(it["ready"], "GET", "/sagechute/ready"))

            async def knows(it=router):
                body = await self.call(it["control"], "GET", "/v1/status")
                return body and set(workers) <= {target["id"] for target in json.loads(body)["targets"]}

            await self.until(f"{router['name']} knows the workers", knows)
        await asyncio.sleep(self.bounds.get("stableMs", 3000) / 1000 + 1)

    async def until(self, what, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def call(self, address, method, path, body=b""):
        """Returns the body of an answer with status 200, else nothing."""
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 2)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(reader.read(), 5)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        head, _, rest = answer.partition(b"\r\n\r\n")
        return (rest or b"{}") if head.startswith(b"HTTP/1.1 200") else None

    async def put(self, topic, key, value):
        if not await self.call(self.store, "POST", f"/standin/put?topic={topic}&key={key}", json.dumps(value).encode()):
            raise CannotRun(f"the store took no record of {topic}")

    async def configure(self, document):
        self.version += 3
        await self.put("keyed.op", "config", {"version": self.version, **document})
        self.record.say(f"the store has acknowledged version {self.version} of the configuration")

    def check_alive(self):
        for router in self.routers:
            if router["child"].poll() is not None:
                raise CannotRun(f"{router['name']} has ended with {router['child'].returncode}")

    def end(self):
        for child in self.processes:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.processes:
            child.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


class Worker:
    """A worker: registers in the store each heartbeat and serves one request at a time on each connection.

    A subclass has `async serve(request, reader, writer)`; it may raise ConnectionError to end the connection.
    """

    service, slots = "llm", 64

    def __init__(self, name, deployment):
        self.name, self.deployment, self.record = name, deployment, deployment.record
        self.born = int(time.time() * 1000)
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.tasks.append(asyncio.create_task(self.register()))

    async def register(self):
        seq = 0
        while True:
            seq += 1
            entry = {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                     "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": self.born}
            await self.deployment.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def accept(self, reader, writer):
        try:
            while request := await self.read(reader):
                if request.get("x-sagechute-target-instance", self.name) != self.name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                await self.serve(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def read(reader):
        """Returns the header fields of the next request by their names in lower case, with "line" and "body"."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        request = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in lines[1:] if it)}
        request["line"] = lines[0]
        request["body"] = await reader.readexactly(int(request.get("content-length", 0)))
        return request

    def end(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


def head(status, request, *fields, signed=True):
    lines = [f"HTTP/1.1 {status}", f"X-Sagechute-Attempt-Id: {request['x-sagechute-attempt-id']}"]
    lines += ["X-Sagechute-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"] if signed else []
    return ("\r\n".join(lines + list(fields)) + "\r\n\r\n").encode()


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 5000,
            "goalMs": 600, "priority": 1, "attempts": 1, "public": False, **more}


def document(routes, services):
    return {"routes": routes,
            "services": [{"name": it, "healthPath": "/healthz", "maxConns": 360,
                          **({"engine": {"slots": 64, "kvCapacity": 491660, "stride": 6}} if it == "llm" else {})}
                         for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000,
                       "tokensPerS": 400000},
            "tenants": [{"name": "tenant", "apiKeys": [KEY]}]}


def main(case, folder):
    """Runs `case(record, has_trouble)`, which returns whether the rule held, and exits as a script of the review does."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = HELD if asyncio.run(asyncio.wait_for(case(record, has_trouble), 115)) else BROKEN
    except (CannotRun, asyncio.TimeoutError) as problem:
        record.say(f"the case couldn't run: {problem!r}")
        code = NOT_RUN
    record.say(f"exit code {code}")
    record.close()
    print({HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "the case couldn't run"}[code])
    sys.exit(code)
