"""A store that returns from a copy some seconds old, before real edge routers with callers.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
import leaving_targets_test  # noqa: E402
from platform_fleet import EVACUATION_BOUND_MS, HOST, Fleet  # noqa: E402
from promises import Caller  # noqa: E402
from target_signals import DRAIN_SECONDS, SignalCheck  # noqa: E402

BUILD = "build"
CALLERS = 24
CALLERS_PAUSE_SECONDS = 0.02
OLDER_SECONDS = 8.0  # Of most copies: the store takes about as long to give out the offsets up to the former end again.
AWAY_SECONDS = 1.5
EXEMPT_SECONDS = 3.0  # After a return: what is acknowledged in that time counts as acknowledged at its end.
CONFIG_SECONDS = 2.0  # From the acknowledgement of a version until it is in force.
WATCH_SECONDS = 4.0
TOPICS = ("configuration", "targets")  # As the routers' log names them.
KEYED_TOPICS = ("keyed.op", "keyed.servers")
FULL_READS = 2  # Most by a router, of a topic, for a return.
GAP_SECONDS = 1.0  # Between two requests of one router to a target that serves all the time,
PASSED_BY = 15  # while it sends more than this to the two others of the service: of so many one in three is expected.
EVACUATED = "b"
LISTS = 5  # Returns after which a list may be read without what it lost.
SILENT_SECONDS = 60.0  # Of targets whose entries a test writes itself.


def route(name):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": "safe", "timeoutMs": 3000, "goalMs": 500,
            "priority": 1, "service": "app", "attempts": 2, "public": True}


class RestoredCase(leaving_targets_test.LeavingCase):
    def start(self, routers=3, engines=3, applications=3, callers=CALLERS, **more):
        self.fleet = Fleet(BUILD, routers=routers, engines=engines, applications=applications, **more)
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.check = SignalCheck()
        self.is_over = threading.Event()
        self.probes = 0
        addresses = [it["front"] for it in self.fleet.routers]
        self.callers = [Caller(i, lambda: addresses, random.Random(i), CALLERS_PAUSE_SECONDS, self.is_over, self.check)
                        for i in range(callers)]
        self.addCleanup(self.is_over.set)
        for it in self.callers:
            it.start()

    def restore(self, older, away=AWAY_SECONDS, **more):
        """Returns when the store was back."""
        begin, end = self.fleet.restore_store(older * 1000, away, **more)
        self.check.note_store_away(begin, end)
        return end

    @staticmethod
    def mark_copy():
        """The moment of a copy that has all that was written before and nothing of what is written from now on."""
        time.sleep(0.3)
        moment = time.monotonic()
        time.sleep(0.3)
        return moment

    @staticmethod
    def wait_till(moment):
        time.sleep(max(0.0, moment - time.monotonic()))

    def fill_operator_log(self, records):
        """Writes records that change nothing: they evacuate a zone without targets and lift that again."""
        for i in range(records):
            (self.fleet.lift_evacuation if i % 2 else self.fleet.evacuate)("without-targets")

    def status(self, router, name):
        """What a router answers on a route."""
        self.probes += 1
        return self.fleet.send(f"/{name}/x", f"fe{self.probes:014x}", router, "GET", timeout=2.0)[0]

    def wrong_routes(self, present, absent, until, routers=None):
        """Asks the routers until then; returns (router, route, status) of wrong answers and how many were right."""
        wrong, right = [], 0
        expected = [(name, 200) for name in present] + [(name, 404) for name in absent]
        while time.monotonic() < until:
            for router in routers if routers is not None else range(len(self.fleet.routers)):
                for name, status in expected:
                    found = self.status(router, name)
                    right += found == status
                    if found != status:
                        wrong.append((router, name, found))
            time.sleep(0.05)
        self.assertGreater(right + len(wrong), 0)
        return wrong, right

    def assert_routes(self, present, absent, until, routers=None):
        wrong, right = self.wrong_routes(present, absent, until, routers)
        print(f"wrong answers on routes: {len(wrong)} of {len(wrong) + right}", flush=True)
        self.assertEqual(wrong[:10], [])

    def wait_for_routes(self, present, absent=()):
        for router in range(len(self.fleet.routers)):
            for name, status in [(it, 200) for it in present] + [(it, 404) for it in absent]:
                self.fleet.wait_until("a version is in force", lambda a=router, b=name, c=status: self.status(a, b) == c, 5)

    def finish(self):
        self.is_over.set()
        for it in self.callers:
            it.join()
        for worker in self.fleet.workers:
            self.check.note_ledger(worker, self.arrivals(worker))
        history = self.fleet.command(self.fleet.store, "/standin/acknowledged?topic=keyed.servers")
        self.check.note_store(history["records"])
        late, knowing = self.check.after_word(), self.check.after_knowing()
        evacuated = self.check.after_evacuating()
        print(f"requests late after the store's word: {len(late)}, after a router knew: {len(knowing)}, "
              f"after an evacuation: {len(evacuated)}; logs in {self.fleet.directory}", flush=True)
        self.assertEqual(late[:10], [])
        self.assertEqual(knowing[:10], [])
        self.assertEqual(evacuated[:10], [])


class RestoredTargetsTest(RestoredCase):
    def test_a_target_that_drains_at_an_offset_given_out_again_gets_requests(self):
        """Guards against a word of draining that is passed over because routers held a later offset before the return."""
        self.start()
        time.sleep(OLDER_SECONDS)
        returned = self.restore(OLDER_SECONDS)
        leaving = [self.busiest("engine"), self.busiest("app")]
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        for worker in leaving:
            self.fleet.leave(worker, "told", "untold")
        time.sleep(1 + DRAIN_SECONDS + WATCH_SECONDS)
        self.finish()

    def test_a_target_that_started_anew_after_the_return_drains_and_gets_requests(self):
        """Guards against the same where the routers passed over the start of that life, too."""
        self.start()
        time.sleep(OLDER_SECONDS)
        returned = self.restore(OLDER_SECONDS)
        leaving = [self.busiest("engine"), self.busiest("app")]
        for worker in leaving:
            self.come_back(worker)
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        for worker in leaving:
            self.fleet.leave(worker, "told", "untold")
        time.sleep(1 + DRAIN_SECONDS + WATCH_SECONDS)
        self.finish()

    def test_a_word_of_draining_below_the_offset_that_routers_hold_is_never_read(self):
        """Guards against a word that is written once, while the offsets up to the routers' own are given out again."""
        self.start()
        workers = list(self.fleet.workers)
        for worker in workers:
            self.fleet.silence(worker, SILENT_SECONDS)
        leaving = [self.busiest("engine"), self.busiest("app")]
        copied = self.mark_copy()
        for _ in range(2):
            for worker in workers:
                self.write_entry(worker, "ready")
        time.sleep(1)

        def write_again():
            for worker in leaving:
                self.write_entry(worker, "draining")
            for _ in range(2):
                for worker in (it for it in workers if it not in leaving):
                    self.write_entry(worker, "ready")
            self.write_entry(next(it for it in workers if it not in leaving), "ready", 8)

        returned = self.restore(time.monotonic() - copied, meanwhile=write_again)
        time.sleep(EXEMPT_SECONDS + DRAIN_SECONDS + WATCH_SECONDS)
        self.check.words += [(worker, returned + EXEMPT_SECONDS, float("inf")) for worker in leaving]
        self.finish()

    def write_entry(self, worker, state, times=1):
        """Writes a target's entry as it is, but for its state and its number."""
        for _ in range(times):
            self.fleet.write_entry(worker, state=state)

    def test_a_target_whose_entry_goes_after_the_return_gets_requests(self):
        """Guards against a removal that is passed over because routers held a later offset before the return."""
        self.start()
        time.sleep(OLDER_SECONDS)
        returned = self.restore(OLDER_SECONDS)
        leaving = [self.busiest("engine"), self.busiest("app")]
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        for worker in leaving:
            self.fleet.leave(worker, "gone", "untold")
        time.sleep(DRAIN_SECONDS + WATCH_SECONDS)
        self.finish()

    def test_a_target_that_left_before_the_return_is_used_again(self):
        """Guards against a copy's word that a target is ready of which the routers know that it left."""
        self.start()
        time.sleep(OLDER_SECONDS)
        drained, gone = self.busiest("engine"), self.busiest("app")
        begun = time.monotonic()
        self.fleet.leave(drained, "told", "untold")
        self.fleet.leave(gone, "gone", "untold")
        for worker in (drained, gone):
            self.wait_until_known(worker)
        self.fleet.silence(drained, AWAY_SECONDS + 2.5)
        returned = self.restore(time.monotonic() - begun + 1)
        self.wait_till(returned + 2.5)
        self.fleet.remove_entry(gone)
        time.sleep(DRAIN_SECONDS + WATCH_SECONDS)
        self.finish()


class RestoredLivesTest(RestoredCase):
    def test_a_target_that_the_copy_lacks_is_dropped(self):
        """Guards against a live target that is not used until it has written its entry again."""
        self.start(worker_arguments=("--renewal", "250ms"))
        worker = "app-1"
        self.fleet.workers[worker]["process"].end()
        self.fleet.remove_entry(worker)
        self.wait_until_known(worker)
        self.check.known.clear()
        time.sleep(DRAIN_SECONDS)
        begun = time.monotonic()
        self.fleet.workers[worker]["process"].start()
        self.fleet.wait_until("the target is up", lambda: self.fleet.is_up(worker))
        fronts = {it["front"] for it in self.fleet.routers}
        self.fleet.wait_until("all routers use it", lambda: fronts <= {it["sender"] for it in self.arrivals(worker)}, 5)
        time.sleep(1)
        self.fleet.silence(worker, AWAY_SECONDS + 1.6)
        watched = time.monotonic()
        returned = self.restore(time.monotonic() - begun + 1)
        self.wait_till(returned + OLDER_SECONDS)
        end = time.monotonic()
        others = [it for name in self.fleet.workers if name.startswith("app") and name != worker for it in self.arrivals(name)]
        arrivals = self.arrivals(worker)
        gaps = {}
        for front in fronts:
            times = [watched] + sorted(it["at"] for it in arrivals if it["sender"] == front and watched < it["at"] < end) + [end]
            length, begin = max((after - before, before) for before, after in zip(times, times[1:]))
            passed = sum(it["sender"] == front and begin < it["at"] < begin + length for it in others)
            gaps[front] = (round(length, 2), passed)
        print("longest time without a request and requests to others in it, by router:", gaps, flush=True)
        self.finish()
        self.assertEqual([it for it in gaps.values() if it[0] > GAP_SECONDS and it[1] > PASSED_BY], [])

    def test_a_target_that_left_before_the_return_and_started_anew_is_not_used(self):
        """Guards against a leaving that is held against the next life because its entry has a lower offset."""
        self.start()
        time.sleep(OLDER_SECONDS)
        leaving = [self.busiest("engine"), self.busiest("app")]
        for worker, store in zip(leaving, ("told", "gone")):
            self.fleet.leave(worker, store, "untold")
        for worker in leaving:
            self.wait_until_known(worker)
        self.restore(OLDER_SECONDS)
        for worker in leaving:
            self.come_back(worker)
        self.check.known.clear()
        for router in self.fleet.routers:
            for worker in leaving:
                self.fleet.wait_until("a router uses it again",
                                      lambda a=router, b=worker: not self.is_leaving(a, b), EXEMPT_SECONDS + 1)
        self.finish()


class RestoredConfigTest(RestoredCase):
    def test_a_version_below_the_offset_that_routers_hold_is_never_read(self):
        """Guards against a version of the configuration at an offset that is given out again and held as read."""
        self.start(callers=4)
        self.fleet.configure(extra_routes=[route("former")])
        self.wait_for_routes(["former"])
        copied = self.mark_copy()
        self.fill_operator_log(4)
        time.sleep(1)

        def write_again():
            self.fleet.configure(extra_routes=[route("later")])
            self.fill_operator_log(6)

        returned = self.restore(time.monotonic() - copied, meanwhile=write_again)
        self.wait_till(returned + EXEMPT_SECONDS + CONFIG_SECONDS)
        self.assert_routes(["later"], ["former"], time.monotonic() + WATCH_SECONDS)
        self.finish()

    def test_a_version_long_after_the_return_is_never_read(self):
        """Guards against a version that is passed over while the log is shorter than before the return."""
        self.start(callers=4)
        self.fleet.configure(extra_routes=[route("former")])
        self.wait_for_routes(["former"])
        copied = self.mark_copy()
        self.fill_operator_log(20)
        time.sleep(1)
        returned = self.restore(time.monotonic() - copied)
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        self.fleet.configure(extra_routes=[route("later")])
        time.sleep(CONFIG_SECONDS)
        self.assert_routes(["later"], ["former"], time.monotonic() + WATCH_SECONDS)
        self.finish()

    def test_a_copy_takes_a_version_out_of_force(self):
        """Guards against an older version in the copy, also at a router that starts while the store is away."""
        self.start(callers=4)
        self.fleet.configure(extra_routes=[route("former")])
        self.wait_for_routes(["former"])
        time.sleep(1)
        copied = self.mark_copy()
        self.fleet.configure(extra_routes=[route("later")])
        self.wait_for_routes(["later"], ["former"])
        time.sleep(1)
        restarted = self.fleet.routers[1]

        def restart():
            restarted["process"].end()
            restarted["process"].start()

        returned = self.restore(time.monotonic() - copied, meanwhile=restart)
        others = [i for i, it in enumerate(self.fleet.routers) if it is not restarted]
        self.assert_routes(["later"], ["former"], returned + CONFIG_SECONDS, others)
        self.fleet.wait_until("the router is ready", lambda: self.fleet.is_ready(restarted), 5)
        ready = time.monotonic()
        self.assert_routes(["later"], ["former"], max(ready, returned + EXEMPT_SECONDS))
        self.fleet.configure_again()
        self.assert_routes(["later"], ["former"], time.monotonic() + WATCH_SECONDS)
        self.finish()


class RestoredZonesTest(RestoredCase):
    def targets_in(self, zone):
        return [name for name, it in self.fleet.workers.items() if it["zone"] == zone]

    def wait_evacuated(self, zone):
        for router in self.fleet.routers:
            self.fleet.wait_until("a router evacuates", lambda it=router: zone in self.fleet.evacuated_for(it), 5)

    def test_a_copy_lifts_an_evacuation(self):
        """Guards against requests to an evacuated zone until the operator has written the evacuation again."""
        self.start(engines=4, applications=4, zones=("a", EVACUATED))
        time.sleep(2)
        copied = self.mark_copy()
        acknowledged = self.fleet.evacuate(EVACUATED)
        self.check.note_evacuation(self.targets_in(EVACUATED), acknowledged, float("inf"))
        self.wait_evacuated(EVACUATED)
        time.sleep(EVACUATION_BOUND_MS / 1000 + 0.5)
        returned = self.restore(time.monotonic() - copied)
        lifted = []
        is_written = False
        while time.monotonic() < returned + EXEMPT_SECONDS + WATCH_SECONDS:
            if not is_written and time.monotonic() > returned + 1:
                self.fleet.evacuate(EVACUATED)
                is_written = True
            lifted += [it["front"] for it in self.fleet.routers if EVACUATED not in self.fleet.evacuated_for(it)]
            time.sleep(0.05)
        self.finish()
        self.assertEqual(lifted[:10], [])

    def test_other_records_after_the_return_lift_an_evacuation(self):
        """Guards against an evacuation that is dropped by a list that is longer than before the return, yet without it."""
        self.start(engines=4, applications=4, zones=("a", EVACUATED))
        time.sleep(2)
        copied = self.mark_copy()
        acknowledged = self.fleet.evacuate(EVACUATED)
        self.check.note_evacuation(self.targets_in(EVACUATED), acknowledged, float("inf"))
        self.wait_evacuated(EVACUATED)
        time.sleep(EVACUATION_BOUND_MS / 1000 + 0.5)
        lifted = []
        for i in range(LISTS):
            returned = self.restore(time.monotonic() - copied)
            self.wait_till(returned + 0.4 + 0.05 * i)  # Amid the reads of routers, which may come in pairs.
            self.fill_operator_log(4 + 6 * i)
            lifted += self.lifting(EVACUATED, returned + 1)
            self.fleet.evacuate(EVACUATED)
            lifted += self.lifting(EVACUATED, returned + EXEMPT_SECONDS)
        self.finish()
        self.assertEqual(lifted[:10], [])

    def lifting(self, zone, until):
        """The routers that were seen without the evacuation until then."""
        found = []
        while time.monotonic() < until:
            found += [it["front"] for it in self.fleet.routers if zone not in self.fleet.evacuated_for(it)]
            time.sleep(0.05)
        return found

    def test_an_evacuation_after_the_return_is_passed_over(self):
        """Guards against an evacuation, or its end, that has a lower offset than routers held before the return."""
        self.start(engines=4, applications=4, zones=("a", EVACUATED))
        time.sleep(2)
        copied = self.mark_copy()
        self.fill_operator_log(20)
        time.sleep(1)
        returned = self.restore(time.monotonic() - copied)
        self.fleet.configure_again()
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        acknowledged = self.fleet.evacuate(EVACUATED)
        time.sleep(EVACUATION_BOUND_MS / 1000 + WATCH_SECONDS)
        self.check.note_evacuation(self.targets_in(EVACUATED), acknowledged, time.monotonic())
        self.fleet.lift_evacuation(EVACUATED)
        time.sleep(CONFIG_SECONDS)
        still = [it["front"] for it in self.fleet.routers if EVACUATED in self.fleet.evacuated_for(it)]
        self.finish()
        self.assertEqual(still, [])


class RestoredRoutersTest(RestoredCase):
    def test_a_second_return_makes_routers_pass_over_words(self):
        """Guards against a return that is taken for the one before, for targets and the configuration."""
        self.start()
        self.fleet.configure(extra_routes=[route("former")])
        time.sleep(OLDER_SECONDS)
        self.fill_operator_log(10)
        time.sleep(0.5)
        self.restore(OLDER_SECONDS)
        self.fleet.configure_again()
        self.fill_operator_log(10)
        time.sleep(1)
        returned = self.restore(1.5, away=0.7, kind="reset")
        leaving = [self.busiest("engine"), self.busiest("app")]
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        for worker, store in zip(leaving, ("told", "gone")):
            self.fleet.leave(worker, store, "untold")
        self.fleet.configure(extra_routes=[route("later")])
        time.sleep(CONFIG_SECONDS)
        self.assert_routes(["later"], ["former"], time.monotonic() + WATCH_SECONDS)
        self.finish()

    def test_a_router_that_was_stopped_over_the_return_brings_the_others_back(self):
        """Guards against a router that goes on with the former era, for itself and for what it tells the others."""
        self.start()
        self.fleet.configure(extra_routes=[route("former")])
        self.wait_for_routes(["former"])
        time.sleep(OLDER_SECONDS)
        copied = self.mark_copy()
        self.fill_operator_log(4)
        time.sleep(1)
        stopped = self.fleet.routers[2]
        leaving = [self.busiest("engine"), self.busiest("app")]
        stopped["process"].send(signal.SIGSTOP)
        stop = time.monotonic()

        def write_again():
            self.fleet.configure(extra_routes=[route("later")])
            self.fill_operator_log(6)

        returned = self.restore(time.monotonic() - copied, meanwhile=write_again)
        self.wait_till(returned + EXEMPT_SECONDS + 0.2)
        for worker in leaving:
            self.fleet.leave(worker, "gone", "untold")
        time.sleep(1)
        stopped["process"].send(signal.SIGCONT)
        self.check.note_stop(stopped["front"], stop, time.monotonic())
        self.wait_till(returned + EXEMPT_SECONDS + 0.2 + 1 + EXEMPT_SECONDS)
        self.assert_routes(["later"], ["former"], time.monotonic() + WATCH_SECONDS)
        self.finish()

    def test_each_second_read_after_a_return_is_lost(self):
        """Guards against reads in full that are repeated for as long as the log is shorter than before the return."""
        self.start(routers=6, callers=6)
        self.fill_operator_log(10)
        time.sleep(OLDER_SECONDS)
        logs = [len(it["process"].log()) for it in self.fleet.routers]
        reads = self.fleet.store_counts()["fullReads"]
        returned = self.restore(OLDER_SECONDS + 2)
        self.fleet.configure_again()
        self.wait_till(returned + OLDER_SECONDS)
        reads = {it: self.fleet.store_counts()["fullReads"].get(it, 0) - reads.get(it, 0) for it in KEYED_TOPICS}
        lines = [[sum("store-history-lost" in line and topic in line for line in it["process"].log()[before:].splitlines())
                  for topic in TOPICS] for it, before in zip(self.fleet.routers, logs)]
        print(f"reads in full by topic: {reads}; lines store-history-lost by router and topic: {lines}", flush=True)
        self.finish()
        self.assertLessEqual(max(max(it) for it in lines), FULL_READS)
        self.assertLessEqual(max(reads.values()), FULL_READS * len(self.fleet.routers))


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
