"""Times changes of configuration on real processes: how long `sagechutectl apply --wait` takes until a change is accepted and in
force on every router, whether every router then really knows it, and whether all changes are still in force at the end.

Usage: python3 -B tools/config-latency.py --build build [--fault none|restart|outage] [--changes 200] [--routers 8] [--port-base N]
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import threading
import time

from fleet import OPERATOR_KEY, Fleet, TrialError, clean_environment, http
from measurements import ROOT, Measurement, percentiles

OUTAGE_SECONDS = 20
ATTEMPT_SECONDS = 60
RETRY_SECONDS = 0.25
SETTLE_SECONDS = 8
RETURN_SECONDS = 15


class Trial:
    """Declares one customer after the other and checks each at every router."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._path = os.path.join(fleet.log_directory, "change.json")
        self._environment = {**clean_environment(), "SAGECHUTE_OPERATOR_KEY": OPERATOR_KEY}
        self._command = [fleet.binary("sagechutectl"), "--api", "http://" + fleet.api, "apply", "-f", self._path, "--wait"]
        self.milliseconds = []
        self.failed_attempts = 0
        self.missing_after_wait = 0
        self.accepted = []

    @staticmethod
    def key(number):
        return f"key-of-change-{number:04}"

    def change(self, number):
        """Applies change number until it is accepted and in force; an attempt that failed may have been taken, so it is repeated."""
        spec = {"weight": 1 + number % 7, "key": self.key(number)}
        with open(self._path, "w") as file:
            json.dump({"resources": [{"kind": "customer", "name": f"change-{number:04}", "spec": spec}]}, file)
        while True:
            started = time.monotonic()
            result = subprocess.run(self._command, env=self._environment, capture_output=True, text=True, timeout=ATTEMPT_SECONDS,
                                    check=False)
            if result.returncode == 0:
                break
            self.failed_attempts += 1
            time.sleep(RETRY_SECONDS)
        self.milliseconds.append((time.monotonic() - started) * 1000)
        self.missing_after_wait += len(self.missing(number))
        self.accepted.append(number)

    def missing(self, number):
        """The running routers that do not know a change's key now. One that is just starting and says so is none of them."""
        headers = {"Authorization": "Bearer " + self.key(number)}
        return [plan["vm"] for plan in self._fleet.running_routers()
                if http("GET", plan["address"], "/readyz")[0] == 200
                and http("GET", plan["address"], "/v1/locate", headers=headers)[0] != 200]

    def reverted(self):
        """Accepted changes that some router does not know, or whose declared weight is another one now."""
        lost = []
        for number in self.accepted:
            status, body = http("GET", self._fleet.api, f"/v1/resources/customer/change-{number:04}",
                                headers={"Authorization": "Bearer " + OPERATOR_KEY})
            weight = json.loads(body)["spec"]["weight"] if status == 200 else None
            if weight != 1 + number % 7 or self.missing(number):
                lost.append(number)
        return lost


def restart_router(fleet):
    """Kills a router and starts it again without memory."""
    process = fleet.router_processes[fleet.routers[1]["vm"]]
    process.kill()
    time.sleep(1)
    process.start()


def log_outage(fleet):
    http("POST", fleet.platform, "/standin/faults", {"outage": True})
    time.sleep(OUTAGE_SECONDS)
    http("POST", fleet.platform, "/standin/faults", {"outage": False})


FAULTS = {"none": None, "restart": restart_router, "outage": log_outage}


def run(args, fleet):
    fleet.start()
    fleet.declare()
    time.sleep(SETTLE_SECONDS)
    trial = Trial(fleet)
    fault = threading.Thread(target=FAULTS[args.fault], args=(fleet,)) if FAULTS[args.fault] else None
    for number in range(args.changes):
        if fault and number == args.changes // 2:
            fault.start()
        trial.change(number)
        if number % 50 == 49:
            print(f"== {number + 1} of {args.changes} changes", flush=True)
    if fault:
        fault.join()
        time.sleep(RETURN_SECONDS)
    return {"routers": args.routers, "changes": args.changes, "fault": args.fault, "applyWaitMs": percentiles(trial.milliseconds),
            "above2000Ms": sum(1 for it in trial.milliseconds if it > 2000), "failedAttempts": trial.failed_attempts,
            "notKnownAfterWait": trial.missing_after_wait, "reverted": len(trial.reverted()),
            "routersRunningAtTheEnd": len(fleet.running_routers())}


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--fault", choices=sorted(FAULTS), default="none")
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--port-base", type=int, default=20000)
    parser.add_argument("--deployment", choices=["bureau", "himalbid"], default="bureau")
    return parser.parse_args()


def main():
    args = parse_arguments()
    command = f"python3 -B tools/config-latency.py --build build --fault {args.fault} --changes {args.changes} --routers {args.routers}"
    measurement = Measurement("config-latency-" + args.fault, command)
    with open(os.path.join(ROOT, "deployments", args.deployment + ".json")) as file:
        deployment = json.load(file)
    fleet = Fleet(args.build, deployment, args.routers, "cells", 0, tempfile.mkdtemp(prefix="sagechute-config-"), args.port_base)
    try:
        results = run(args, fleet)
    except (TrialError, subprocess.TimeoutExpired) as error:
        print(f"config-latency: {error}; logs in {fleet.log_directory}", file=sys.stderr)
        return 1
    finally:
        fleet.stop()
    print(json.dumps(results, indent=1))
    measurement.write(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
