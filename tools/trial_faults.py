"""What targets, store, routers and the network do in a trial: one table, one line a fault.

Used by tools/soak.py and tools/conformance.py. A fault begins when its function is called with the stage on which it is
played, and ends when what that returned is called.
"""

import json
import signal
import threading
import time

from platform_fleet import KEY, call
from target_signals import DRAIN_SECONDS, EVACUATION_SECONDS

ALWAYS = 1_000_000  # Requests that a worker treats so until it is told otherwise.
STORE_DELAY_MS = 250
SILENCE_SECONDS = (1.0, 1.5)  # Of a sound target; the requests' deadline bears one.
CHANGES_IN_SERIES, CHANGE_INTERVAL_SECONDS = 4, 0.2
LOWER_IDLE_MS = 1000
LOWER_QUOTA = 2000  # Tokens per second: less than callers ask for.
OTHER_TIMEOUTS_MS = (2500, 4000)
OTHER_KEY = "another-key"
EVACUATED_SECONDS = 0.8  # After the bound: a request that comes then is a finding.
CRASHING_PART = "bad0000bad0000ba"
CRASHING_REQUESTS, CRASHING_INTERVAL_SECONDS = 3, 0.25


class Fault:
    """One line of the table."""

    def __init__(self, name, subject, rules, begin, breaks=True, seconds=0.0):
        """rules: that it can break; breaks: requests may fail through it; seconds: by which it can hold up a sound one."""
        self.name, self.subject, self.rules, self.begin, self.breaks = name, subject, rules, begin, breaks
        self.seconds = seconds


class Stage:
    """A fleet, chances, and what the faults that are played say to the checks."""

    def __init__(self, fleet, proxies, rng, ledgers, signals):
        self.fleet, self.proxies, self.rng, self.ledgers, self.signals = fleet, proxies, rng, ledgers, signals

    def worker(self, prefix):
        return self.rng.choice([it for it in sorted(self.fleet.workers) if it.startswith(prefix)])

    def router(self):
        return self.rng.choice(self.fleet.routers)

    def is_up(self, name):
        return call(self.fleet.workers[name]["address"], "POST", "/standin/nothing", timeout=1.0)[0] == 200

    def read_ledger(self, name):
        status, _, ledger = call(self.fleet.workers[name]["address"], "POST", "/standin/ledger")
        if status == 200:
            ledger = json.loads(ledger)
            self.ledgers.add(ledger)
            self.signals.note_ledger(name, ledger["arrivals"])

    def give_up_ledgers(self, prefix):
        """Reads the ledgers of targets that may end at any time from now on."""
        for name in self.fleet.workers:
            if name.startswith(prefix):
                self.read_ledger(name)
                call(self.fleet.workers[name]["address"], "POST", "/standin/forget")
                self.ledgers.lost.add(name)

    def restart_worker(self, name):
        self.fleet.workers[name]["process"].start()
        self.fleet.wait_until("a worker is there again", lambda: self.is_up(name))
        for router in self.fleet.routers:
            self.fleet.wait_until("a router knows it again", lambda it=router: name in self.fleet.known_to(it), 10)

    def restart_router(self, router):
        router["process"].start()
        self.fleet.wait_until("a router is ready again", lambda: self.fleet.is_ready(router), 15)


def answers(kind, prefix, all_of_them=False):
    def begin(stage):
        names = [it for it in stage.fleet.workers if it.startswith(prefix)] if all_of_them else [stage.worker(prefix)]
        for name in names:
            call(stage.fleet.workers[name]["address"], "POST", f"/standin/fault?kind={kind}&count={ALWAYS}")

        def end():
            for it in names:
                call(stage.fleet.workers[it]["address"], "POST", "/standin/fault?kind=none&count=0")
        return end
    return begin


def pause_asked(milliseconds):
    def begin(stage):
        name = stage.worker("engine")
        call(stage.fleet.workers[name]["address"], "POST",
             f"/standin/fault?kind=shed&count={ALWAYS}&retry-after-ms={milliseconds}")
        return lambda: call(stage.fleet.workers[name]["address"], "POST", "/standin/fault?kind=none&count=0")
    return begin


def drained(told):
    def begin(stage):
        name = stage.worker("engine")
        call(stage.fleet.workers[name]["address"], "POST", f"/standin/drain?store={told}")

        def end():
            time.sleep(DRAIN_SECONDS)  # Until a request that still comes is a finding.
            stage.read_ledger(name)
            stage.fleet.workers[name]["process"].end()
            stage.restart_worker(name)
        return end
    return begin


def crashed(stage):
    name = stage.worker("engine")
    stage.read_ledger(name)
    stage.ledgers.lost.add(name)
    stage.fleet.workers[name]["process"].end()
    return lambda: stage.restart_worker(name)


def crashed_by_part(stage):
    """Requests of which no two are alike share a part that ends the engines that begin to answer them."""
    def send():
        for _ in range(CRASHING_REQUESTS):
            send_crashing(stage.fleet, stage.router(), stage.rng)
            time.sleep(CRASHING_INTERVAL_SECONDS)
    stage.give_up_ledgers("engine")
    thread = threading.Thread(target=send, daemon=True)
    thread.start()

    def end():
        thread.join()
        for name, worker in stage.fleet.workers.items():
            if worker["process"].child.poll() is not None:
                stage.restart_worker(name)
    return end


def send_crashing(fleet, router, rng):
    """A request like no other but for its crashing part."""
    unique = f"{rng.getrandbits(64):016x}"
    return fleet.send("/chats/" + unique, unique, router=fleet.routers.index(router), body=unique,
                      headers={"X-Sagechute-Prompt-Prefix": f"5c1e07a2:200,{CRASHING_PART}:200,{unique}:100"})[0]


def frozen(stage):
    process = stage.fleet.workers[stage.worker("engine")]["process"]
    process.send(signal.SIGSTOP)
    return lambda: process.send(signal.SIGCONT)


def silent(prefix, all_of_them=False):
    """Stopped for a moment, and goes on by itself."""
    def begin(stage):
        names = [it for it in stage.fleet.workers if it.startswith(prefix)] if all_of_them else [stage.worker(prefix)]
        lasts = stage.rng.uniform(*SILENCE_SECONDS)

        def send(number):
            for name in names:
                stage.fleet.workers[name]["process"].send(number)
        send(signal.SIGSTOP)
        timer = threading.Timer(lasts, send, (signal.SIGCONT,))
        timer.start()
        return timer.join
    return begin


def address_taken(stage):
    """Another service's worker takes the address while routers still have the former entry."""
    name = stage.worker("engine")
    process = stage.fleet.workers[name]["process"]
    stage.read_ledger(name)
    stage.ledgers.lost.add(name)
    process.end()
    own = list(process.command)
    process.command = [f"taken-by-{name}" if it == name else ("app" if it == "llm" else it)
                       for it in own if it != "--engine"]
    process.start()

    def end():
        stage.read_ledger(name)
        process.end()
        stage.fleet.command(stage.fleet.store, f"/standin/drop?topic=keyed.servers&key=taken-by-{name}")
        process.command = own
        stage.restart_worker(name)
    return end


def entry(value):
    def begin(stage):
        stage.fleet.command(stage.fleet.store, "/standin/put?topic=keyed.servers&key=foreign", value)
        return lambda: stage.fleet.command(stage.fleet.store, "/standin/drop?topic=keyed.servers&key=foreign")
    return begin


def entry_of_other_service(stage):
    """The address of an application in the entry of an engine that has ended."""
    address = stage.fleet.workers[stage.worker("app")]["address"]
    return entry(json.dumps({"service": "llm", "address": address, "zone": "a", "slots": 6, "state": "ready",
                             "seq": 1}).encode())(stage)


def unlisted(stage):
    """Its entry goes without a word of draining, and it serves on; its next heartbeat brings it back."""
    name = stage.worker("engine")
    stage.fleet.command(stage.fleet.store, f"/standin/drop?topic=keyed.servers&key={name}")
    return lambda: None


def store(kind, topic="", delay=0):
    def begin(stage):
        begun = time.monotonic()
        stage.fleet.command(stage.fleet.store, f"/standin/fault?kind={kind}&topic={topic}&delayMs={delay}")

        def end():
            stage.fleet.command(stage.fleet.store, "/standin/fault?kind=none")
            stage.signals.note_store_away(begun, time.monotonic())
        return end
    return begin


def evacuated(*zones):
    """The operator evacuates availability zones, all before the first is lifted."""
    def begin(stage):
        evacuations = [(zone, stage.fleet.evacuate(zone)) for zone in zones]

        def end():
            time.sleep(EVACUATION_SECONDS + EVACUATED_SECONDS)
            for zone, acknowledged in evacuations:
                lift(stage, zone, acknowledged)
            for router in stage.fleet.routers:
                stage.fleet.wait_until("an evacuation is lifted", lambda it=router: not stage.fleet.evacuated_for(it),
                                       EVACUATION_SECONDS)
        return end
    return begin


def lift(stage, zone, acknowledged):
    """Ends an evacuation, and notes for the checks which targets it held for."""
    targets = [name for name, worker in stage.fleet.workers.items() if worker["zone"] == zone]
    stage.signals.note_evacuation(targets, acknowledged, time.monotonic())
    stage.fleet.lift_evacuation(zone)


def forgotten(topic):
    def begin(stage):
        stage.fleet.command(stage.fleet.store, f"/standin/forget?topic={topic}")
        return lambda: None
    return begin


def unreadable_configuration(stage):
    stage.fleet.command(stage.fleet.store, "/standin/put?topic=keyed.op&key=config", '{"version":-1,"routes":7}')
    return stage.fleet.configure


def other_keys(stage):
    stage.fleet.configure(keys=(KEY, OTHER_KEY))
    return stage.fleet.configure


def extra_routes(count):
    return [{"name": f"extra-{i}", "host": "callers.example", "pathPrefix": f"/extra/{i}/", "kind": "safe",
             "timeoutMs": 3000, "goalMs": 500, "priority": 1, "service": "app", "attempts": 2, "public": False}
            for i in range(count)]


def configured(**changes):
    def begin(stage):
        stage.fleet.configure(**changes)
        return stage.fleet.configure
    return begin


def draw_changes(rng):
    """One change of the configuration, beside those of keys: what Fleet.configure takes."""
    return rng.choice(({}, {"idleTimeoutMs": LOWER_IDLE_MS}, {"tokensPerS": LOWER_QUOTA},
                       {"extra_routes": extra_routes(rng.randint(1, 20))},
                       {"timeout_ms": rng.choice(OTHER_TIMEOUTS_MS)}))


def changed_in_series(prefix):
    """A target is silent while versions of the configuration come one upon the other."""
    def begin(stage):
        end_of_silence = silent(prefix)(stage)
        changes = [draw_changes(stage.rng) for _ in range(CHANGES_IN_SERIES)]

        def change():
            for it in changes:
                stage.fleet.configure(**it)
                time.sleep(CHANGE_INTERVAL_SECONDS)
        thread = threading.Thread(target=change, daemon=True)
        thread.start()

        def end():
            thread.join()
            end_of_silence()
            stage.fleet.configure()
        return end
    return begin


def interrupted(begin, end):
    """A router does not run, or not for long, until the fault's end."""
    def begin_on(stage):
        router = stage.router()
        begun = time.monotonic()
        begin(router["process"])

        def end_of():
            end(stage, router)
            stage.signals.note_stop(router["front"], begun, time.monotonic())
        return end_of
    return begin_on


def restart_stopped(stage, router):
    router["process"].wait()
    stage.restart_router(router)


def hung_up(stage):
    for router in stage.fleet.routers:
        router["process"].send(signal.SIGHUP)
    return lambda: None


def network(mode, to):
    def begin(stage):
        proxy = stage.rng.choice(stage.proxies[to])
        begun = time.monotonic()
        proxy.set_mode(mode)

        def end():
            proxy.set_mode("pass")
            stage.signals.note_held(begun, time.monotonic())
            stage.signals.note_cut(begun, time.monotonic() + 4)
        return end
    return begin


ALLOWED_FRAMES = ("unframed", "length", "http-1-0", "http-1-0-length", "chunk-extensions", "length-and-close", "keep-alive-1",
                  "interim", "trickle", "slow-events", "crlf", "cr", "unframed-crlf", "comments", "unframed-comment-last", "fields",
                  "large-events", "all-at-once")
STREAM_CUTS = ("end-in-event", "close-after-head", "close-in-first-event", "close-in-event", "close-before-empty-line",
               "close-in-crlf-event", "reset-between-events", "doubled-event", "swapped-events", "silent-in-event")
SILENCES = ("late-answer", "pause-between-events")  # Of a sound answer, once.
CUTS = ("lose", "reset", "break", "short-of-length", "close-in-head", "reset-in-event", "silent-after-head", "hang")
STRANGE = ("foreign", "foreign-first", "no-http", "zero-bytes", "unknown-status", "two-lengths", "no-id", "unsigned")
ENDLESS = ("endless-field", "endless-fields", "endless-interim", "endless-no-http", "endless-chunk-extension",
           "endless-trailer", "endless-trailers", "endless-body", "endless-foreign-body", "endless-refusal", "endless-event",
           "endless-lines", "endless-comments")
EXTRA = ("doubled", "extra-bytes", "extra-at-once", "idle-close", "idle-reset")
SAID = ("fail", "fail-at-deadline", "busy-unsaid", "other-target", "too-many", "busy-dated", "busy-absurd",
        "refused-body-late", "shed")

FAULTS = (
    [Fault(f"{kind} of {it}", "answers", "MIXED ORDER", answers(kind, it, True), breaks=False,
           seconds=1.5 if kind == "slow-events" and it == "engine" else 0.0)
     for kind in ALLOWED_FRAMES for it in ("engine", "app")]
    + [Fault(f"{kind} of engine", "answers", "ORDER MIXED", answers(kind, "engine")) for kind in STREAM_CUTS]
    + [Fault(f"{kind} of {it}", "answers", "ORDER MIXED TWICE REFUSED", answers(kind, it))
       for kind in CUTS + STRANGE + ENDLESS + EXTRA + SAID for it in ("engine", "app")]
    + [Fault(f"{kind} of {it}", "silences", "LOST ORDER", answers(kind, it, True), breaks=False, seconds=1.4)
       for kind in SILENCES for it in ("engine", "app")]
    + [Fault(f"silent {it}", "silences", "LOST TWICE", silent(it), breaks=False, seconds=max(SILENCE_SECONDS))
       for it in ("engine", "app")]
    + [Fault(f"all {it}s silent", "silences", "LOST TWICE", silent(it, True), breaks=False, seconds=max(SILENCE_SECONDS))
       for it in ("engine", "app")]
    + [Fault(f"silent {it} beside changes", "silences", "LOST CONFIG", changed_in_series(it), breaks=False,
             seconds=max(SILENCE_SECONDS)) for it in ("engine", "app")]
    + [
        Fault("shed of all engines", "answers", "REFUSED TWICE", answers("shed", "engine", True)),
        Fault("shed of all apps", "answers", "REFUSED TWICE", answers("shed", "app", True)),
        Fault("pause of 0.6 s asked for", "answers", "BUDGET", pause_asked(600)),
        Fault("pause of 1.5 s asked for", "answers", "BUDGET", pause_asked(1500)),
        Fault("drain told to the store", "targets", "DRAIN", drained("told"), breaks=False),
        Fault("drain in answers only", "targets", "DRAIN", drained("untold"), breaks=False),
        Fault("unlisted and serving", "targets", "ROUTE LOST", unlisted, breaks=False),
        Fault("crash", "targets", "ORDER TWICE BUDGET", crashed),
        Fault("part that crashes targets", "targets", "ORDER TWICE BUDGET", crashed_by_part),
        Fault("frozen target", "targets", "TWICE GONE", frozen),
        Fault("address taken by another service", "targets", "ROUTE TWICE", address_taken),
        Fault("entry that is no text", "targets", "ROUTE", entry(b"\xff\xfe\x00"), breaks=False),
        Fault("entry of another type", "targets", "ROUTE",
              entry(b'{"service":"llm","address":7,"zone":"a","slots":6,"state":"ready","seq":1}'), breaks=False),
        Fault("entry in an unknown state", "targets", "ROUTE",
              entry(b'{"service":"llm","address":"127.0.0.1:1","zone":"a","slots":6,"state":"unwell","seq":1}'),
              breaks=False),
        Fault("entry with another service's address", "targets", "ROUTE LOST", entry_of_other_service, breaks=False),
        Fault("entry where nobody listens", "targets", "LOST",
              entry(b'{"service":"llm","address":"127.0.0.1:1","zone":"a","slots":6,"state":"ready","seq":1}'),
              breaks=False),
    ]
    + [Fault(f"store {kind}", "store", "DRAIN CONFIG LOST", store(kind), breaks=False)
       for kind in ("busy", "too-many", "reset", "silent", "lost", "unframed", "http-1-0", "close-in-body",
                    "short-of-length", "no-http", "foreign-body")]
    + [
        Fault("store slow", "store", "DRAIN CONFIG", store("none", delay=STORE_DELAY_MS), breaks=False),
        Fault("store forgets targets", "store", "LOST ROUTE", forgotten("keyed.servers"), breaks=False),
        Fault("store forgets configurations", "store", "CONFIG", forgotten("keyed.op"), breaks=False),
        Fault("zone evacuated", "store", "EVAC LOST", evacuated("b"), breaks=False),
        Fault("all zones evacuated", "store", "EVAC REFUSED", evacuated("a", "b"), breaks=False),
        Fault("configuration that can't be read", "store", "CONFIG DENIED", unreadable_configuration, breaks=False),
        Fault("other keys", "store", "CONFIG DENIED", other_keys, breaks=False),
        Fault("200 more routes", "store", "CONFIG", configured(extra_routes=extra_routes(200)), breaks=False),
        Fault("lower idle time", "store", "LOST", configured(idleTimeoutMs=LOWER_IDLE_MS), breaks=False),
        Fault("lower quota", "store", "LOST", configured(tokensPerS=LOWER_QUOTA), breaks=False),
        Fault("router stops", "routers", "LOST REFUSED",
              interrupted(lambda process: process.send(signal.SIGTERM), restart_stopped), breaks=False),
        Fault("router is killed", "routers", "TWICE ORDER", interrupted(lambda process: process.end(), Stage.restart_router)),
        Fault("router freezes", "routers", "GONE TWICE",
              interrupted(lambda process: process.send(signal.SIGSTOP),
                          lambda _, router: router["process"].send(signal.SIGCONT))),
        Fault("settings change", "routers", "LOST", hung_up, breaks=False),
    ]
    + [Fault(f"{mode} before a target", "network", "TWICE ORDER BUDGET", network(mode, "targets"))
       for mode in ("delay", "reset", "silence", "cut-up", "cut-down")]
    + [Fault(f"{mode} between a router and the store", "network", "DRAIN CONFIG", network(mode, "store"), breaks=False)
       for mode in ("delay", "reset", "silence", "cut-up", "cut-down")]
)
