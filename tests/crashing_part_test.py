"""Requests that share one part of their prompts, which crashes every target that begins to answer it, before real edge
routers and stand-ins that are started again. No two requests are alike.

Run by ctest with the build directory as the first argument; names of tests may follow.
"""

import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from crashing_request_test import Callers, CrashingTargetsCase, Keeper, fresh  # noqa: E402
from platform_fleet import Fleet, call  # noqa: E402

BUILD = "build"
ROUTERS = 3
ENGINES = 8
STABLE_SECONDS = 3.0
LAST_DECISIVE_END = 5
MOST_MORE = 3  # Targets that may still end later than STABLE_SECONDS after that end.
PAUSE_SECONDS = 0.3
SOUND_SHARE = 0.5  # Of what was served before, from twice STABLE_SECONDS after that end.
FIRST_PART = "5c1e07a2"  # Of all sound requests.
CRASHING_PART = "bad0000bad0000ba"
COMPANION_PART = "c0ffee00c0ffee00"


def prompt(*parts):
    return {"X-Sagechute-Prompt-Prefix": ",".join(f"{it}:200" for it in parts + (fresh(),))}


class PartKeeper(Keeper):
    def ends_after(self, seconds):
        """Ends later than that after the decisive one."""
        if len(self.ends) < LAST_DECISIVE_END:
            return 0
        return sum(it > self.ends[LAST_DECISIVE_END - 1] + seconds for it in self.ends)

    def kill(self, name):
        self.fleet.workers[name]["process"].send(9)


class CrashingPartCase(CrashingTargetsCase):
    routers = ROUTERS
    engines = ENGINES

    def setUp(self):
        """Each test starts a fleet of its own."""

    def start(self, worker_arguments=("--crash-part", CRASHING_PART)):
        self.fleet = Fleet(BUILD, routers=self.routers, engines=self.engines, applications=0,
                           worker_arguments=["--work", "60ms", *worker_arguments])
        self.addCleanup(self.fleet.__exit__)
        self.fleet.wait_ready()
        self.keeper = PartKeeper(self.fleet)
        self.keeper.start()
        self.addCleanup(self.stop_keeper)
        self.callers = Callers(self.fleet)
        self.addCleanup(self.callers.stop)
        self.answers = []  # (when it was sent, status, fields)
        time.sleep(1)
        self.served_before = self.callers.served_share(0)

    def send(self, *parts, router=None):
        chosen = len(self.answers) % self.routers if router is None else router
        begun = time.monotonic()
        status, fields, _ = self.fleet.send("/answers/" + fresh(), fresh(), router=chosen, body=fresh(),
                                            headers=prompt(*parts))
        self.answers.append((begun, status, fields))
        return status

    def send_for(self, seconds, *parts, router=None, at_once=1, pause=PAUSE_SECONDS):
        """Sends requests with those parts and one of their own, each with another body."""
        end = time.monotonic() + seconds
        threads = []
        while time.monotonic() < end:
            for _ in range(at_once):
                threads.append(threading.Thread(target=self.send, args=parts, kwargs={"router": router}, daemon=True))
                threads[-1].start()
                time.sleep(0.01)
            time.sleep(pause)
        for it in threads:
            it.join()

    def send_until_fifth(self):
        end = time.monotonic() + 20
        while len(self.keeper.ends) < LAST_DECISIVE_END and time.monotonic() < end:
            self.send_for(PAUSE_SECONDS / 2, FIRST_PART, CRASHING_PART)

    def check_bound(self):
        self.assertGreaterEqual(len(self.keeper.ends), LAST_DECISIVE_END, "the part crashed no targets")
        self.assertLessEqual(self.keeper.ends_after(STABLE_SECONDS), MOST_MORE, f"{len(self.keeper.ends)} ended in all")

    def check_sound(self):
        since = self.keeper.ends[LAST_DECISIVE_END - 1] + 2 * STABLE_SECONDS
        self.assertGreater(self.callers.served_share(since), SOUND_SHARE * self.served_before)

    def check(self):
        self.check_bound()
        self.check_sound()
        _, status, fields = self.answers[-1]
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["retry-after"]), 1)

    def quarantined_parts(self, router=0):
        status, _, body = call(self.fleet.routers[router]["control"], "GET", "/v1/quarantine")
        self.assertEqual(status, 200)
        return [it["part"] for it in json.loads(body).get("parts", []) if it["quarantined"]]


class CrashingPartTest(CrashingPartCase):
    def test_a_part_that_crashes_targets_comes_to_all_routers(self):
        """Guards against requests that end a target each, since no two of them are alike."""
        self.start()
        self.send_for(14, FIRST_PART, CRASHING_PART)
        self.check()

    def test_a_part_that_crashes_targets_comes_first_in_its_prompts(self):
        """Guards against a part that is looked for behind the first one only."""
        self.start()
        self.send_for(12, CRASHING_PART)
        self.check()

    def test_a_part_that_crashes_targets_comes_in_bursts(self):
        """Guards against ends at the same moment that count as one."""
        self.start()
        self.send_for(12, FIRST_PART, "a1", "a2", CRASHING_PART, "a3", at_once=4, pause=1.5)
        self.check()

    def test_a_sound_part_turns_into_one_that_crashes_targets(self):
        """Guards against a part that is believed sound for ever because it once was."""
        crashes_from = time.time() + 12
        self.start(("--crash-part", CRASHING_PART, "--crash-part-from-ms", str(int(crashes_from * 1000))))
        self.send_for(3, FIRST_PART, CRASHING_PART)
        self.assertEqual({it[1] for it in self.answers}, {200})
        self.assertLess(time.time(), crashes_from, "the fleet took too long to start")
        self.send_for(crashes_from - time.time() + 12, FIRST_PART, CRASHING_PART)
        self.check()

    def test_another_part_crashes_targets_later(self):
        """Guards against one part's quarantine that explains the ends under another one."""
        self.start(("--crash-part", CRASHING_PART))
        self.send_for(8, FIRST_PART, CRASHING_PART)
        for worker in self.fleet.workers.values():
            command = worker["process"].command
            command[command.index(CRASHING_PART)] = COMPANION_PART
            worker["process"].end()
        time.sleep(4)
        begun = len(self.keeper.ends)
        self.send_for(12, FIRST_PART, COMPANION_PART)
        self.keeper.ends = self.keeper.ends[begun:]
        self.check()

    def test_a_part_that_crashes_targets_comes_with_a_sound_companion(self):
        """Guards against a sound part that stays refused because it came together with the one that crashes targets."""
        self.start()
        self.send_for(12, FIRST_PART, COMPANION_PART, CRASHING_PART)
        self.check()
        for router in range(self.routers):
            self.send(FIRST_PART, COMPANION_PART, router=router)
        time.sleep(1)
        self.assertEqual([self.send(FIRST_PART, COMPANION_PART, router=it) for it in range(self.routers)],
                         [200] * self.routers)

    def test_an_operator_releases_a_part(self):
        """Guards against a release that only the router knows which was told of it."""
        self.start()
        self.send_until_fifth()
        self.fleet.wait_until("it is quarantined", lambda: self.quarantined_parts(2) == [CRASHING_PART], 5)
        path = f"/v1/quarantine/parts/{CRASHING_PART}"
        self.assertEqual(call(self.fleet.routers[0]["control"], "DELETE", path)[0], 200)
        for router in range(self.routers):
            self.fleet.wait_until("it is released", lambda it=router: not self.quarantined_parts(it), 2)


class CrashingPartAndRoutersTest(CrashingPartCase):
    def test_a_part_that_crashes_targets_comes_to_a_router_that_started_after_the_fifth(self):
        """Guards against a router without memory of what the others know."""
        self.start()
        self.send_until_fifth()
        self.send_for(2, FIRST_PART, CRASHING_PART)
        self.restart(self.fleet.routers[:1])
        self.send_for(8, FIRST_PART, CRASHING_PART, router=0)
        self.check()

    def test_a_part_that_crashes_targets_comes_after_all_routers_were_lost(self):
        """Guards against knowledge that lives in routers only."""
        self.start()
        self.send_until_fifth()
        self.send_for(3, FIRST_PART, CRASHING_PART)
        self.restart(self.fleet.routers)
        self.send_for(8, FIRST_PART, CRASHING_PART)
        self.check()

    def test_a_part_that_crashes_targets_comes_while_the_store_is_away(self):
        """Guards against routers that learn of each other's lost targets by the store only."""
        self.start()
        self.fleet.command(self.fleet.store, "/standin/fault?kind=silent")
        self.send_for(12, FIRST_PART, CRASHING_PART)
        self.fleet.command(self.fleet.store, "/standin/fault?kind=none")
        self.check_bound()

    def test_a_part_ends_targets_inside_an_event(self):
        """Guards against a crash inside an event that counts as a sign of life."""
        self.start(("--crash-part", CRASHING_PART, "--crash-in-event"))
        self.send_for(12, FIRST_PART, CRASHING_PART)
        self.check()


class SoundPartTest(CrashingPartCase):
    routers = 3
    engines = 6

    def test_targets_end_one_after_the_other_under_a_sound_part(self):
        """Guards against a part that is refused because all requests of the targets that ended share it."""
        self.start()
        names = sorted(self.fleet.workers)
        for i in range(20):
            self.keeper.kill(names[i % len(names)])
            time.sleep(0.7)
        self.check_nothing_quarantined()

    def test_all_targets_end_at_once_under_a_sound_part(self):
        """Guards against a part that is refused because a rack went, with everything that could have shown it sound."""
        self.start()
        for _ in range(2):
            for name in self.fleet.workers:
                self.keeper.kill(name)
            time.sleep(6)
        self.check_nothing_quarantined()
        self.assertGreater(self.callers.served_share(time.monotonic() - 2), 0.9)

    def check_nothing_quarantined(self):
        logs = "".join(it["process"].log() for it in self.fleet.routers)
        self.assertEqual(logs.count("-quarantined"), 0, "a sound part or request was refused")


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
