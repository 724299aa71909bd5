"""The scenarios: each is a few lines of load, fault and time."""

import copy
import threading
import time

from fleet import http


class Scenario:
    """What a trial does: how the deployment's flows change, and what happens when."""

    def __init__(self, summary, seconds=20, load=None, fault=None, fault_at=6.0):
        self.summary = summary
        self.seconds = seconds
        self.load = load or (lambda flows, deployment, fleet: flows)
        self.fault = fault
        self.fault_at = fault_at


class Trial:
    """What a fault may use."""

    def __init__(self, fleet, note):
        self.fleet = fleet
        self.note = note

    def router(self, index):
        return self.fleet.router_processes[self.fleet.routers[index % len(self.fleet.routers)]["vm"]]

    def target(self, index):
        return self.fleet.targets[index]

    def say(self, text, **fields):
        self.note("fault", text=text, **fields)


def of(flows, customer):
    return [flow for flow in flows if flow["customer"] == customer]


def uneven(flows, deployment, fleet):
    """Each large customer's callers all on one router, the desks' on another."""
    for index, name in enumerate(deployment["roles"]["large"]):
        for flow in of(flows, name):
            flow["pinnedTo"] = [fleet.routers[index % len(fleet.routers)]["address"]]
    return flows


def flood(flows, deployment, _fleet):
    name = deployment["roles"]["flooder"]
    return flows + [{"customer": name, "service": deployment["streamService"], "arrival": "open", "perSecond": 150, "clients": 4,
                     "maxOutstanding": 600, "startMs": 6000, "maxTokens": {"shape": "uniform", "least": 20, "most": 60}}]


def wrong_hints(flows, deployment, _fleet):
    for name in deployment["roles"]["large"][1:]:
        for flow in of(flows, name):
            flow["hint"] = "wrong"
    return flows


def batch_close(flows, deployment, _fleet):
    """The batch comes with four times its callers while the desks and the small customers go on."""
    for flow in of(flows, deployment["roles"]["batch"]):
        late = copy.deepcopy(flow)
        late.update(startMs=4000, callers=3 * flow.get("callers", 1))
        flows = flows + [late]
    return flows


def auction_close(flows, deployment, _fleet):
    """Everybody's appraisals at once, as lots close."""
    burst = [{"customer": name, "service": deployment["streamService"], "arrival": "open", "perSecond": 12, "streamed": True,
              "startMs": 6000, "stopMs": 12000, "maxTokens": {"shape": "uniform", "least": 20, "most": 60}}
             for name in deployment["roles"]["desks"]]
    return flows + burst


def lose_replies(flows, _deployment, _fleet):
    for flow in flows:
        if not flow.get("repeatable", True):
            flow.update(loseReplies=0.3, loseAfterMs=150)
    return flows


def router_crash(trial):
    trial.router(1).kill()
    trial.say("killed router 2")
    time.sleep(6)
    trial.router(1).start()
    trial.say("started router 2 again, without memory")


def router_pause(trial):
    trial.router(1).pause()
    trial.say("paused router 2")
    time.sleep(10)
    trial.router(1).resume()
    trial.say("resumed router 2")


def target_crash(trial):
    process = trial.fleet.target_processes[trial.target(0)["name"]]
    process.kill()
    trial.say("killed target " + trial.target(0)["name"])
    time.sleep(6)
    process.start()
    trial.say("started it again")


def target_leave(trial):
    plan = trial.target(0)
    # The clock starts before the call: the change is accepted at some moment during it.
    at = time.time()
    trial.fleet.apply([trial.fleet.target_resource(plan, "leaving")], wait=False)
    trial.note("target-leave-accepted", at=at, target=plan["name"])


def log_outage(trial):
    http("POST", trial.fleet.platform, "/standin/faults", {"outage": True})
    trial.say("the platform's log is down")
    time.sleep(3)
    trial.router(1).kill()
    trial.router(1).start()
    trial.say("killed and started router 2 during the outage")
    time.sleep(6)
    http("POST", trial.fleet.platform, "/standin/faults", {"outage": False})
    trial.say("the platform's log is back")


def planned_stop(trial):
    process = trial.router(1)
    process.signal(15)
    trial.say("asked router 2 to stop")
    code = process.wait(30)
    trial.say(f"router 2 ended with exit code {code}")
    if code is not None:
        process.start()
        trial.say("started router 2 again")


def drop_replies(trial):
    for plan in trial.fleet.targets:
        if plan["mode"] == "application":
            http("POST", plan["address"], "/standin/faults", {"fault": "drop-reply", "count": 3})
    trial.say("each application target drops three replies after running")


def acceptance(trial):
    """The whole of the promise at once: one router killed, one paused for 10 s, one target dying mid-stream."""
    steps = [threading.Thread(target=step, args=(trial,)) for step in (target_crash, router_crash)]
    for step in steps:
        step.start()
    trial.router(2).pause()
    trial.say("paused router 3")
    time.sleep(10)
    trial.router(2).resume()
    trial.say("resumed router 3")
    for step in steps:
        step.join()


SCENARIOS = {
    "demo": Scenario("a short run for newcomers", seconds=8),
    "steady": Scenario("more work than slots, nothing fails"),
    "uneven": Scenario("each large customer's callers all on one router", load=uneven),
    "flood": Scenario("one customer sends 150 requests a second from second 6 on", load=flood),
    "wrong-hints": Scenario("two large customers give cost hints wrong by a factor of 20", load=wrong_hints),
    "batch-close": Scenario("the batch comes with four times its callers beside desks and small customers", load=batch_close),
    "auction-close": Scenario("a burst of streamed work from the desks, seconds 6 to 12", load=auction_close),
    "router-crash": Scenario("a router is killed and comes back without memory", seconds=24, fault=router_crash),
    "router-pause": Scenario("a router is paused for 10 s and resumed", seconds=24, fault=router_pause),
    "target-crash": Scenario("an engine dies mid-stream and comes back", fault=target_crash),
    "target-leave": Scenario("a target is declared leaving", fault=target_leave),
    "log-outage": Scenario("the log is down for 9 s and a router restarts meanwhile", seconds=24, fault=log_outage),
    "planned-stop": Scenario("a router is asked to stop under load", seconds=24, fault=planned_stop),
    "caller-resend": Scenario("callers lose replies of requests that must not run twice, and send again",
                              load=lose_replies, fault=drop_replies, fault_at=4.0),
    "acceptance": Scenario("uneven placement, a router killed, another paused, a target killed", seconds=30, load=uneven,
                           fault=acceptance),
}
