"""Starts edge routers with the stand-ins of the users' platform on loopback, and speaks to them as callers do.

Used by tests/platform_path_test.py and tools/platform-demo.py.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

HOST = "callers.example"
KEY = "key-of-teller"
FIRST_PORT = 12000
BLOCK_PORTS = 64
ROUTER_ZONE = "routers"
EVACUATION_BOUND_MS = 2000
READY_SECONDS = 20
STOP_SECONDS = 15
REGISTERING_SECONDS = 0.3  # Until a registration of a worker that was on its way has come.


def first_ephemeral_port():
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            return int(file.read().split()[0])
    except OSError:
        return 32768


class PortBlocks:
    """Blocks of ports that this process has claimed from others that start fleets beside it."""

    def __init__(self):
        self.guards = []  # Bound to the first port of each block until the process ends.
        self.ports = iter(())

    def claim(self):
        blocks = (first_ephemeral_port() - FIRST_PORT) // BLOCK_PORTS
        while True:
            first = FIRST_PORT + BLOCK_PORTS * random.SystemRandom().randrange(blocks)
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            self.guards.append(guard)
            self.ports = iter(range(first + 1, first + BLOCK_PORTS))
            return

    def next(self):
        while (port := next(self.ports, None)) is None:
            self.claim()
        return port


BLOCKS = PortBlocks()


def free_ports(count):
    """Ports that are free now, all different.

    They lie below the ports that the kernel gives to outgoing connections, and in blocks of this process: another
    connection or fleet could take a port between the moment it is found free and the moment a program listens on it.
    """
    found = []
    while len(found) < count:
        port = BLOCKS.next()
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, headers, body). status 0: no whole answer; the body has what came of it."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    received = b""
    fields = {}
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        received = answer.read()
        return answer.status, fields, received
    except http.client.IncompleteRead as error:
        return 0, fields, error.partial
    except (OSError, http.client.HTTPException):
        return 0, fields, received
    finally:
        connection.close()


class Process:
    """One process that this script started; its output goes to a file."""

    def __init__(self, name, command, directory, environment=None):
        self.name = name
        self.command = command
        self.log_path = os.path.join(directory, name + ".log")
        self.environment = environment or {}
        self.child = None
        self.start()

    def start(self):
        environment = {name: value for name, value in os.environ.items() if not name.startswith("SAGECHUTE_")}
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env={**environment, **self.environment})

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self):
        return self.child.wait(timeout=STOP_SECONDS)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.child.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    """A store, workers and edge routers. Ends all of them by id when it is closed."""

    def __init__(self, build, routers=2, engines=2, applications=2, proxy=None, worker_arguments=(), others=None,
                 zones=("a",), has_router_addresses=False, router_settings=None):
        """proxy: given an address, returns the one by which routers reach it; absent: they reach it directly.

        others: the services of further workers, by name; engines if the service begins with llm.
        zones: availability zones of the workers, in turn for each service. The routers are in the first if it is the
        only one, and else in another, so that all workers are equally far.
        has_router_addresses: each router has a loopback address of its own, and all have the same ports for each other.
        Only then they meet by their seeds, as a router takes a seed's gossip port to be its own.
        router_settings: further settings of each router, by name.
        """
        self.has_router_addresses = has_router_addresses
        self.router_settings = router_settings or {}
        self.zones = zones
        self.build = build
        self.worker_arguments = list(worker_arguments)
        self.proxy = proxy or (lambda address: address)
        self.directory = tempfile.mkdtemp(prefix="sagechute-edge-")
        self.processes = []
        self.version = 0
        self.newest_document = ""
        self.configuring = threading.Lock()  # Versions are written in their order.
        others = others or {}
        ports = iter(free_ports(1 + engines + applications + len(others) + 8 * routers))
        self.store = f"127.0.0.1:{next(ports)}"
        self.store_process = self._start("store", ["sagechute-standin-store", "--listen", self.store])
        self.workers = {}
        for i in range(engines):
            self._add_worker(f"engine-{i}", next(ports), ["--engine", "--service", "llm"], zones[i % len(zones)])
        for i in range(applications):
            self._add_worker(f"app-{i}", next(ports), ["--service", "app"], zones[i % len(zones)])
        for name, service in others.items():
            self._add_worker(name, next(ports), ["--service", service] + (["--engine"] if service.startswith("llm") else []))
        layouts = [[next(ports) for _ in range(8)] for _ in range(routers)]
        self.routers = self._add_group(range(routers), layouts)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()

    def _start(self, name, command, environment=None):
        process = Process(name, [os.path.join(self.build, command[0])] + command[1:], self.directory, environment)
        self.processes.append(process)
        return process

    def _add_worker(self, name, port, arguments, zone="a"):
        address = f"127.0.0.1:{port}"
        command = ["sagechute-standin-worker", "--listen", address, "--advertise", self.proxy(address), "--id", name,
                   "--store", self.store, "--zone", zone]
        self.workers[name] = {"address": address, "zone": zone, "process": self._start(name, command + arguments + self.worker_arguments)}

    def _add_group(self, numbers, layouts):
        """Routers whose seeds are some of them."""
        if self.has_router_addresses:
            layouts = [layout[:4] + layouts[0][4:] for layout in layouts]
        seeds = ",".join(f"{self._router_address(number)}:{layout[2]}" for number, layout in list(zip(numbers, layouts))[:3])
        return [self._add_router(number, layout, seeds) for number, layout in zip(numbers, layouts)]

    def _router_address(self, index):
        return f"127.0.0.{10 + index}" if self.has_router_addresses else "127.0.0.1"

    def _add_router(self, index, ports, seeds):
        address = self._router_address(index)
        settings = {
            "vm-id": f"router-{index}", "zone": self.zones[0] if len(self.zones) == 1 else ROUTER_ZONE, "callers-listen": f"{address}:{ports[0]}",
            "readiness-listen": f"{address}:{ports[1]}", "control-listen": f"{address}:{ports[2]}",
            "locate-listen": f"{address}:{ports[3]}", "address": address,
            "port-range": f"{ports[4]},{ports[5]}", "seeds": seeds, "store": self.proxy(self.store),
            "stop-grace-seconds": "4", "evacuation-bound-ms": str(EVACUATION_BOUND_MS), **self.router_settings,
        }
        path = os.path.join(self.directory, f"router-{index}.settings")
        if ports[5] < ports[4]:
            settings["port-range"] = f"{ports[5]},{ports[4]}"
        with open(path, "w") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        process = self._start(f"router-{index}", ["sagechute-edge"], {"SAGECHUTE_NODE_FILE": path})
        return {"settings": path, "process": process, "front": settings["callers-listen"],
                "ready": settings["readiness-listen"], "locate": settings["locate-listen"],
                "control": settings["control-listen"], "metrics": f"{address}:{max(ports[4], ports[5])}"}

    def wait_until(self, what, condition, seconds=READY_SECONDS):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError(f"not within {seconds} s: {what}; logs in {self.directory}")

    def wait_ready(self):
        self.wait_until("the store answers", lambda: call(self.store, "GET", "/standin/counts")[0] == 200)
        self.configure()
        for router in self.routers:
            self.wait_until("a router is ready", lambda it=router: self.is_ready(it))
        for router in self.routers:
            # A router is ready with the first target; a worker that registers a moment later is known with the next read.
            self.wait_until("a router knows all workers", lambda it=router: set(self.workers) <= self.known_to(it))
        for number in range(len(self.routers)):
            # They meet by the store; one whose first look there came too early looks again after some seconds.
            self.wait_until("a router knows the others", lambda it=number: len(self.locate(it)) == len(self.routers))

    def restart_with_stale_seeds(self, router):
        """It then finds the others by the store only."""
        router["process"].end()
        with open(router["settings"]) as file:
            text = file.read()
        with open(router["settings"], "w") as file:
            file.writelines(line if not line.startswith("seeds=") else "seeds=127.0.0.9:1\n"
                            for line in text.splitlines(keepends=True))
        router["process"].start()

    def restart_as_group(self, numbers):
        """Restarts routers abruptly with new ports and with only each other as seeds.

        They and the other routers can't hear each other: neither knows the ports of the others, and a router looks for
        those in the store only while it is alone. At least two, with addresses of their own.
        """
        for number in numbers:
            self.routers[number]["process"].end()
        ports = free_ports(8 * len(numbers))
        layouts = [ports[8 * i:8 * i + 8] for i in range(len(numbers))]
        for number, router in zip(numbers, self._add_group(numbers, layouts)):
            self.routers[number] = router

    def is_ready(self, router):
        return call(router["ready"], "GET", "/sagechute/ready", timeout=1.0)[0] == 200

    def is_up(self, worker):
        return call(self.workers[worker]["address"], "POST", "/standin/ledger", timeout=1.0)[0] == 200

    def known_to(self, router):
        """The targets that a router knows."""
        status, _, body = call(router["control"], "GET", "/v1/status")
        return {target["id"] for target in json.loads(body)["targets"]} if status == 200 else set()

    def evacuated_for(self, router):
        """The zones that a router takes for evacuated."""
        status, _, body = call(router["control"], "GET", "/v1/status")
        return {it["zone"] for it in json.loads(body)["evacuatedZones"]} if status == 200 else set()

    def evacuate(self, zone):
        """Returns when the store had acknowledged it."""
        self.command(self.store, f"/standin/put?topic=keyed.op&key=evacuate/{zone}", "{}")
        return time.monotonic()

    def lift_evacuation(self, zone):
        self.command(self.store, f"/standin/drop?topic=keyed.op&key=evacuate/{zone}")

    def restore_store(self, older_ms, away_s=1.5, kind="busy", meanwhile=lambda: None):
        """Takes the store away and lets it return from a copy; returns when that began and ended.

        older_ms: age of the copy when the store goes away. kind: what routers get from the store that is away.
        meanwhile: called when the store holds the copy and doesn't answer routers yet, for what is written again at once.
        What the operator wrote is lost until configure_again() and evacuate(); targets write their entries again by
        themselves, and the end of an entry is written again by remove_entry().
        """
        begin = time.monotonic()
        self.command(self.store, f"/standin/fault?kind={kind}")
        time.sleep(away_s)
        age_ms = older_ms + (time.monotonic() - begin) * 1000
        self.command(self.store, f"/standin/restore?olderMs={age_ms:.0f}")
        meanwhile()
        self.command(self.store, "/standin/fault?kind=none")
        return begin, time.monotonic()

    def remove_entry(self, worker):
        self.command(self.store, f"/standin/drop?topic=keyed.servers&key={worker}")

    def write_entry(self, worker, **changes):
        """Writes the newest entry of a worker once more, with another number and these changes."""
        records = self.command(self.store, "/standin/acknowledged?topic=keyed.servers")["records"]
        entry = json.loads(next(it["value"] for it in reversed(records) if it["key"] == worker and it["value"]))
        entry.update({"seq": entry["seq"] + 1, **changes})
        self.command(self.store, f"/standin/put?topic=keyed.servers&key={worker}", json.dumps(entry))

    def silence(self, worker, seconds):
        """For so long the worker doesn't write its entry."""
        self.command(self.workers[worker]["address"], f"/standin/silence?ms={seconds * 1000:.0f}")

    def store_counts(self):
        return self.command(self.store, "/standin/counts")

    def configure_again(self):
        """Writes the newest version of the configuration once more."""
        with self.configuring:
            self.command(self.store, "/standin/put?topic=keyed.op&key=config", self.newest_document)

    def configure(self, keys=(KEY,), extra_routes=(), change=lambda document: None, timeout_ms=3000, **limits):
        """Writes the next version of the configuration.

        change: changes the document before it is written; timeout_ms: of all routes but the extra ones; limits: other
        values of the document's limits.
        """
        with self.configuring:
            self.version += 3
            self._write_configuration(keys, extra_routes, change, timeout_ms, limits)

    def _write_configuration(self, keys, extra_routes, change, timeout_ms, limits):

        def route(name, prefix, kind, service, **more):
            return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "goalMs": 500,
                    "priority": 1, "service": service, "attempts": 2, "public": False, **more}

        document = {
            "version": self.version,
            "routes": [route("answers", "/answers/", "streaming", "llm", resumable=True, gapTargetMs=250),
                       route("chats", "/chats/", "streaming", "llm", attempts=1, resumable=False),
                       route("posts", "/posts/", "unsafe", "app", attempts=1),
                       route("reads", "/reads/", "safe", "app"),
                       route("open", "/open/", "safe", "app", public=True)] + list(extra_routes),
            "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 100,
                          "engine": {"slots": 8, "kvCapacity": 500000, "stride": 1}},
                         {"name": "app", "healthPath": "/healthz", "maxConns": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "idleTimeoutMs": 15000, "tokensPerS": 100000, **limits},
            "tenants": [{"name": "teller", "apiKeys": list(keys)}],
        }
        change(document)
        self.newest_document = json.dumps(document)
        self.command(self.store, "/standin/put?topic=keyed.op&key=config", self.newest_document)

    def command(self, address, path, body=""):
        status, _, answer = call(address, "POST", path, body)
        assert status == 200, (path, status)
        return json.loads(answer or b"{}")

    def leave(self, worker, store="told", answers="told"):
        """Lets a worker leave. answers: untold, these say nothing of it.

        store: told, its entry says so; untold, it doesn't; gone, it goes without that. The worker may be starting again.
        """
        call(self.workers[worker]["address"], "POST", f"/standin/drain?store={store}&answers={answers}")
        if store == "gone":
            time.sleep(REGISTERING_SECONDS)
            self.remove_entry(worker)

    def fault(self, worker, kind, count=1):
        self.command(self.workers[worker]["address"], f"/standin/fault?kind={kind}&count={count}")

    def fault_all(self, prefix, kind, count=1):
        for name in self.workers:
            if name.startswith(prefix):
                self.fault(name, kind, count)

    def runs(self, request_id):
        """How often the workers ran a request, and for whom."""
        total, customers = 0, set()
        for worker in self.workers.values():
            if worker["process"].child.poll() is not None:
                continue
            ledger = self.command(worker["address"], "/standin/ledger")
            total += ledger["runs"].get(request_id, 0)
            if request_id in ledger["customers"]:
                customers.add(ledger["customers"][request_id])
        return total, customers

    def ledger(self, worker):
        return self.command(self.workers[worker]["address"], "/standin/ledger")

    def send(self, path, request_id, router=0, method="POST", body="", headers=None, timeout=6.0):
        fields = {"Host": HOST, "X-Sagechute-Attempt-Id": request_id, "X-Sagechute-Deadline-Ms": "3000",
                  "Api-Key": KEY}
        if path.startswith(("/answers", "/chats")):
            fields.update({"X-Sagechute-Model": "m", "X-Sagechute-Token-Usage": "1000,10",
                           "X-Sagechute-Prompt-Prefix": f"5c1e07a2:800,{abs(hash(request_id)) % 2**32:x}:200"})
        fields.update(headers or {})
        fields = {name: value for name, value in fields.items() if value is not None}
        return call(self.routers[router]["front"], method, path, body, fields, timeout)

    def locate(self, router=0):
        query = urllib.parse.urlencode({"name": HOST, "region": "r", "zone": "a"})
        status, _, body = call(self.routers[router]["locate"], "GET", "/sagechute/resolve?" + query)
        return json.loads(body)["addresses"] if status == 200 else []


def with_line_feeds(body):
    """A stream with each line end as a line feed."""
    return body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def events_of(body):
    """The identities of the whole events of a stream."""
    text = body.decode()
    return [int(block.split("\n")[0].removeprefix("id: ")) for block in text.split("\n\n") if block.startswith("id: ")]
