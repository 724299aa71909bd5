"""Starts the stand-ins, the API and the routers of one deployment on loopback, and ends them by process id."""

import json
import os
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

OPERATOR_KEY = "trial-operator-key"
FLEET_SECRET = {"SAGECHUTE_FLEET_SECRET": "trial-fleet-secret"}
READY_SECONDS = 30
STOP_SECONDS = 20
LOOPBACK = "127.0.0.1"


class TrialError(Exception):
    """Something that ends a trial; the message names the remedy."""


def http(method, address, path, document=None, headers=None, timeout=2.0):
    """Returns (status, body); status 0 when nothing answered."""
    body = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method, headers=headers or {})
    if body is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


class Ports:
    """Hands out ports below the ephemeral range that are free for both TCP and UDP."""

    def __init__(self, base):
        self._next = base

    def take(self):
        while self._next < 32000:
            port, self._next = self._next, self._next + 1
            if self._free(port, socket.SOCK_STREAM) and self._free(port, socket.SOCK_DGRAM):
                return f"{LOOPBACK}:{port}"
        raise TrialError("no free port is left below 32000; give a lower --port-base")

    @staticmethod
    def _free(port, kind):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
                return True
            except OSError:
                return False


class Gate:
    """Closed when the trial ends. Without it a fault that restarts a router late would leave that router running for good."""

    def __init__(self):
        self.lock = threading.Lock()
        self.open = True


class Process:
    """One process that this script started."""

    def __init__(self, gate, name, command, log_directory, environment=None):
        self._gate = gate
        self.name = name
        self.command = command
        self.stopped = False
        self._log_path = os.path.join(log_directory, name + ".log")
        self._environment = {**clean_environment(), **(environment or {})}
        self._child = None
        self.start()

    def start(self):
        with self._gate.lock, open(self._log_path, "ab") as log:
            if not self._gate.open:
                raise TrialError(f"{self.name} is not started: the trial is over")
            self._child = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=self._environment, start_new_session=True)

    @property
    def pid(self):
        return self._child.pid

    def alive(self):
        return self._child.poll() is None

    def running(self):
        return self.alive() and not self.stopped

    def signal(self, number):
        # poll() first: the id of a child that has been waited for may already belong to another process.
        if self.alive():
            os.kill(self._child.pid, number)

    def pause(self):
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)
        self.stopped = False

    def kill(self):
        self.signal(signal.SIGKILL)
        self._child.wait()

    def wait(self, seconds):
        try:
            return self._child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def last_lines(self, count=15):
        with open(self._log_path, "r", errors="replace") as log:
            return "".join(log.readlines()[-count:])


def clean_environment():
    """An unknown SAGECHUTE_ variable ends a process, so the caller's own are not passed on."""
    return {name: value for name, value in os.environ.items() if not name.startswith("SAGECHUTE_")}


class Fleet:
    """All processes of one trial."""

    def __init__(self, build, deployment, router_count, policy, cells_per_pool, log_directory, port_base):
        self._build = build
        self.deployment = deployment
        self.policy = policy
        self.cells_per_pool = cells_per_pool
        self.log_directory = log_directory
        self._ports = Ports(port_base)
        self._gate = Gate()
        self.processes = []
        self.platform = self._ports.take()
        self.api = self._ports.take()
        self.routers = [self._router_plan(n) for n in range(router_count)]
        self.targets = self._target_plans()
        self.target_processes = {}
        self.router_processes = {}
        self.platform_process = None
        self.api_process = None

    def _router_plan(self, index):
        zones = self.deployment["zones"]
        zone = zones[index % len(zones)]
        return {"vm": f"{zone}-{index // len(zones) + 1}", "zone": zone, "address": self._ports.take(),
                "peer": self._ports.take(), "gossip": self._ports.take()}

    def _target_plans(self):
        zones = self.deployment["zones"]
        plans = []
        for pool in self.deployment["pools"]:
            for index in range(pool["targets"]):
                plans.append({"name": f"{pool['name']}-{index + 1:02}", "pool": pool["name"], "mode": pool["mode"],
                              "slots": pool["slots"], "flags": pool.get("flags", []), "zone": zones[index % len(zones)],
                              "address": self._ports.take()})
        return plans

    def binary(self, name):
        path = os.path.join(self._build, name)
        if not os.access(path, os.X_OK):
            raise TrialError(f"{path} is missing; build it with: cmake --build {self._build}")
        return path

    def _launch(self, name, command, environment=None):
        process = Process(self._gate, name, command, self.log_directory, environment)
        self.processes.append(process)
        return process

    def start(self):
        self.platform_process = self._launch(
            "platform", [self.binary("sagechute-standin-platform"), "--listen", self.platform])
        for plan in self.targets:
            self.target_processes[plan["name"]] = self._launch(plan["name"], self._target_command(plan))
        self.wait_ready([("the platform stand-in", self.platform, "/healthz")])
        self.wait_ready([(plan["name"], plan["address"], "/healthz") for plan in self.targets])
        self._list_vms()
        for plan in self.routers:
            self.router_processes[plan["vm"]] = self._launch(plan["vm"], self._router_command(plan), FLEET_SECRET)
        self.wait_ready([(plan["vm"], plan["address"], "/healthz") for plan in self.routers])
        routers = ",".join("http://" + plan["address"] for plan in self.routers)
        self.api_process = self._launch(
            "api",
            [self.binary("sagechute-api"), "--listen", self.api, "--platform", "http://" + self.platform, "--routers", routers],
            {"SAGECHUTE_OPERATOR_KEYS": f"trial:change:{OPERATOR_KEY}", **FLEET_SECRET})
        self.wait_ready([("the API", self.api, "/healthz")])

    def _list_vms(self):
        vms = [{"vm": plan["vm"], "zone": plan["zone"], "address": plan["gossip"], "state": "live"} for plan in self.routers]
        http("POST", self.platform, "/standin/vms", {"vms": vms})

    def _target_command(self, plan):
        return [self.binary("sagechute-standin-target"), "--listen", plan["address"], "--mode", plan["mode"],
                "--slots", str(plan["slots"]), *plan["flags"]]

    def _router_command(self, plan):
        seeds = ",".join(other["gossip"] for other in self.routers if other is not plan)
        command = [self.binary("sagechute-router"), "--vm-id", plan["vm"], "--zone", plan["zone"], "--listen", plan["address"],
                   "--peer-listen", plan["peer"], "--gossip-listen", plan["gossip"], "--platform", "http://" + self.platform,
                   "--policy", self.policy, "--cells-per-pool", str(self.cells_per_pool)]
        return command + (["--seeds", seeds] if seeds else [])

    def wait_ready(self, checks):
        deadline = time.monotonic() + READY_SECONDS
        for name, address, path in checks:
            while True:
                status, body = http("GET", address, path)
                if status == 200:
                    break
                self._fail_if_dead()
                if time.monotonic() > deadline:
                    raise TrialError(f"{name} at {address} is not ready after {READY_SECONDS} s "
                                     f"(status {status} {body[:200]!r}); see {self.log_directory}")
                time.sleep(0.05)

    def _fail_if_dead(self):
        for process in self.processes:
            if not process.alive():
                raise TrialError(f"{process.name} ended at its start:\n{process.last_lines()}see {self.log_directory}")

    def customer_key(self, name):
        return f"key-of-{name}"

    def resources(self):
        customers = [{"kind": "customer", "name": it["name"],
                      "spec": {"weight": it["weight"], "key": self.customer_key(it["name"]), "maxQueued": it.get("maxQueued", 200),
                               "maxConnections": it.get("maxConnections", 1000)}} for it in self.deployment["customers"]]
        services = [{"kind": "service", "name": it["name"],
                     "spec": {"pool": it["pool"], "mode": it["mode"], "repeatable": it["repeatable"]}}
                    for it in self.deployment["services"]]
        return customers + services + [self.target_resource(plan, "serving") for plan in self.targets]

    @staticmethod
    def target_resource(plan, state):
        return {"kind": "target", "name": plan["name"],
                "spec": {"pool": plan["pool"], "zone": plan["zone"], "address": plan["address"], "mode": plan["mode"],
                         "slots": plan["slots"], "checksFencing": plan["mode"] == "engine", "state": state}}

    def apply(self, resources, wait=True):
        """Declares resources through sagechutectl; returns when the change is accepted, with wait when it is in force."""
        path = os.path.join(self.log_directory, "apply.json")
        with open(path, "w") as file:
            json.dump({"resources": resources}, file, indent=1)
        command = [self.binary("sagechutectl"), "--api", "http://" + self.api, "apply", "-f", path] + (["--wait"] if wait else [])
        environment = {**clean_environment(), "SAGECHUTE_OPERATOR_KEY": OPERATOR_KEY}
        try:
            result = subprocess.run(
                command, env=environment, capture_output=True, text=True, timeout=READY_SECONDS, check=False)
        except subprocess.TimeoutExpired as error:
            raise TrialError(f"sagechutectl apply did not end within {READY_SECONDS} s; see {self.log_directory}") from error
        with open(os.path.join(self.log_directory, "sagechutectl.log"), "a") as log:
            log.write(result.stdout + result.stderr)
        if result.returncode != 0:
            raise TrialError(f"sagechutectl apply failed with {result.returncode}:\n{result.stdout}{result.stderr}")

    def declare(self):
        self.apply(self.resources())
        self.wait_ready([(plan["vm"], plan["address"], "/readyz") for plan in self.routers])
        first = self.deployment["customers"][0]["name"]
        for plan in self.routers:
            self.wait_key_known(plan, self.customer_key(first), READY_SECONDS)

    @staticmethod
    def wait_key_known(plan, key, seconds):
        """Waits until a router knows a customer's key; returns whether it does."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status, _ = http("GET", plan["address"], "/v1/locate", headers={"Authorization": "Bearer " + key})
            if status == 200:
                return True
            time.sleep(0.01)
        return False

    def running_routers(self):
        return [plan for plan in self.routers if self.router_processes[plan["vm"]].running()]

    def stop(self):
        """Ends everything that was started: politely, then for good. Returns the names of those that had to be killed."""
        with self._gate.lock:
            self._gate.open = False
        for process in self.processes:
            process.resume()
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        left = []
        for process in self.processes:
            if process.wait(max(0.1, deadline - time.monotonic())) is None:
                left.append(process.name)
                process.kill()
        return left
