// Tests of a router's target list: src/news/TargetRoster.cpp.

#include <sagechute/News.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::news;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

TargetChange entry(const std::string& id, bool draining = false, std::int64_t startedAtMs = 0, LogOffset offset = 0)
{
    return { { id }, dispatch::Target { { id }, { "s" }, "127.0.0.1:1", { "a" }, 4, draining, startedAtMs }, offset };
}

TargetChange gone(const std::string& id, LogOffset offset = 0) { return { { id }, std::nullopt, offset }; }

} // namespace

// Guards against cold targets that the dispatcher takes for warm, and warm ones that are limited again and again
// because their record arrives a second time.
TEST_CASE("a target's cold time is that of its newest record, counted from its first arrival")
{
    TargetRoster roster;
    const auto cold = [](Duration left, LogOffset offset, std::int64_t startedAtMs = 1) {
        TargetChange change = entry("t", false, startedAtMs, offset);
        change.target->coldLeft = left;
        return change;
    };
    const auto left = [&](TimePoint now) { return roster.targets(now).front().coldLeft; };
    roster.apply(start, cold(30s, 5));
    CHECK(left(start + 10s) == 20s);
    CHECK(roster.all(start + 10s).front().target->coldLeft == 20s);
    CHECK(roster.changesSince({ 5 }, start + 10s)->front().target->coldLeft == 20s);
    const std::uint64_t revision = roster.revision();
    SECTION("the same record from a full read or another router changes nothing")
    {
        roster.replace(start + 10s, { cold(30s, 5) }, { 6 });
        CHECK(left(start + 10s) == 20s);
        roster.applyAll(start + 40s, { cold(25s, 5) });
        CHECK(left(start + 40s) == 0s);
        CHECK(roster.revision() == revision);
    }
    SECTION("a renewal that arrives a little earlier or later is no change of the list")
    {
        roster.apply(start + 1s, cold(28900ms, 6));
        CHECK(left(start + 1s) == 29s);
        CHECK(roster.revision() == revision);
    }
    SECTION("a newer record without cold time makes it warm, and an older one doesn't make it cold again")
    {
        roster.apply(start + 1s, cold(0s, 6));
        CHECK(left(start + 1s) == 0s);
        CHECK(roster.revision() == revision + 1);
        roster.applyAll(start + 2s, { cold(30s, 5) });
        roster.replace(start + 2s, { cold(30s, 5) }, { 6 });
        CHECK(left(start + 2s) == 0s);
        roster.apply(start + 3s, cold(0s, 7));
        CHECK(roster.revision() == revision + 1);
    }
    SECTION("a change of only the cold time is a change of the list, in the same life")
    {
        roster.apply(start + 40s, cold(20s, 6));
        CHECK(left(start + 40s) == 20s);
        CHECK(roster.revision() == revision + 1);
        CHECK(roster.targets().front().incarnation() == entry("t", false, 1).target->incarnation());
    }
}

TEST_CASE("a target that was seen draining stays draining")
{
    TargetRoster roster;
    roster.apply(start, entry("t", true));
    roster.apply(start, entry("t", false));
    CHECK(roster.targets().front().draining);
}

// Guards against a target restarted under the same name never getting requests again, or a draining one getting new
// ones. A life drains, the target restarts under its name, and entries of the earlier life arrive late, twice, or from
// a router that was partitioned. Draining was stored by name, and entries were applied in order of arrival.
TEST_CASE(
    "a new life of a target is not affected by its predecessor's draining, and reports about that one are ignored")
{
    TargetRoster roster;
    roster.apply(start, entry("t", true, 1000));
    roster.apply(start + 1s, entry("t", false, 2000));
    REQUIRE(roster.targets().size() == 1);
    CHECK_FALSE(roster.targets().front().draining);
    CHECK(roster.targets().front().startedAtMs == 2000);
    SECTION("a late entry")
    {
        const std::uint64_t revision = roster.revision();
        roster.apply(start + 2s, entry("t", true, 1000));
        roster.applyAll(start + 2s, { entry("t", false, 1000), entry("t", true, 1000) });
        CHECK_FALSE(roster.targets().front().draining);
        CHECK(roster.targets().front().startedAtMs == 2000);
        CHECK(roster.revision() == revision);
    }
    SECTION("a whole list from a router that knows the earlier life")
    {
        roster.replace(start + 2s, { entry("t", true, 1000) }, { 1 });
        roster.replace(start + 2s, { entry("t", false, 1000) }, { 1 });
        CHECK_FALSE(roster.expire(start + 5s));
        REQUIRE(roster.size() == 1);
        CHECK(roster.targets().front().startedAtMs == 2000);
        CHECK_FALSE(roster.targets().front().draining);
    }
    SECTION("an entry of the earlier life after the newer one has gone")
    {
        roster.apply(start + 2s, gone("t"));
        roster.apply(start + 3s, entry("t", false, 1000));
        CHECK(roster.size() == 0);
        roster.apply(start + 4s, entry("t", false, 3000));
        CHECK(roster.size() == 1);
    }
    SECTION("reordered in one read")
    {
        roster.applyAll(start + 2s, { entry("t", false, 4000), entry("t", true, 3000), entry("t", true, 2000) });
        CHECK(roster.targets().front().startedAtMs == 4000);
        CHECK_FALSE(roster.targets().front().draining);
    }
}

// Guards against a draining target getting new requests for some seconds. Its entry is marked as draining and then
// removed, and an earlier entry of the same life arrives late. The state of the life was discarded with its entry.
TEST_CASE("a life that was seen draining stays draining after its entry is removed")
{
    TargetRoster roster;
    roster.apply(start, entry("t", true, 1000));
    roster.apply(start + 1s, gone("t"));
    roster.apply(start + 2s, entry("t", false, 1000));
    REQUIRE(roster.size() == 1);
    CHECK(roster.targets().front().draining);
}

TEST_CASE("lives of a target may be reported in any order and repeatedly: the newest wins, draining if it ever was")
{
    rc::prop("over any course of entries, lists and reads", [] {
        TargetRoster roster;
        std::int64_t newest = 0;
        std::set<std::int64_t> leaving;
        TimePoint now = start;
        const int steps = *rc::gen::inRange(1, 30);
        for (int i = 0; i < steps; ++i) {
            now += 100ms;
            const auto startedAtMs = *rc::gen::inRange<std::int64_t>(1, 5);
            const bool drains = *rc::gen::arbitrary<bool>();
            const TargetChange told = entry("t", drains, startedAtMs);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                roster.apply(now, told);
                break;
            case 1:
                roster.applyAll(now, { told, told });
                break;
            case 2:
                roster.replace(now, { told }, { 1 });
                break;
            case 3:
                roster.applyAll(now, { told });
                break;
            }
            newest = std::max(newest, startedAtMs);
            if (drains && startedAtMs == newest)
                leaving.insert(startedAtMs);
            RC_ASSERT(roster.size() == 1U);
            RC_ASSERT(roster.targets().front().startedAtMs == newest);
            RC_ASSERT(roster.targets().front().draining == leaving.contains(newest));
        }
    });
}

TEST_CASE("a missing entry is removed at once while the store is available")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    roster.apply(start, gone("t"));
    CHECK(roster.size() == 0);
}

// Guards against requests being refused for two seconds for lack of targets after a store outage. Entries expire during
// the outage, and the list is empty until the targets register again. An expired entry was taken for a removed target.
TEST_CASE("entries that expired during a store outage are retained for two seconds after it")
{
    TargetRoster roster;
    roster.apply(start, entry("lives"));
    roster.apply(start, entry("died"));
    roster.apply(start, entry("left", true));
    roster.known({ 3 }, start);
    CHECK_FALSE(roster.expire(start + 60s));
    CHECK(roster.size() == 3);
    const TimePoint back = start + 60s;
    roster.known({ 6 }, back);
    roster.replace(back, {}, { 6 });
    CHECK(roster.size() == 2);
    roster.apply(back + 1s, entry("lives", false, 0, 6));
    CHECK_FALSE(roster.expire(back + 1s));
    roster.known({ 7 }, back + 2s);
    CHECK(roster.expire(back + TargetRoster::reregistrationGrace));
    REQUIRE(roster.size() == 1);
    CHECK(roster.targets().front().id.value == "lives");
}

TEST_CASE("after a short interruption of the store a missing entry is removed at once")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    roster.known({ 1 }, start);
    roster.known({ 2 }, start + 300ms);
    roster.apply(start + 300ms, gone("t"));
    CHECK(roster.size() == 0);
}

TEST_CASE("a roster's revision changes when the list does, and not on repetition")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    const std::uint64_t revision = roster.revision();
    roster.apply(start + 1s, entry("t"));
    CHECK(roster.revision() == revision);
    roster.apply(start + 2s, entry("u"));
    CHECK(roster.revision() != revision);
    const std::uint64_t two = roster.revision();
    roster.apply(start + 3s, entry("u", true));
    CHECK(roster.revision() != two);
}

// Guards against requests reaching a target up to four seconds after its removal was acknowledged. A router of a large
// fleet fails to read the store once, and a relay reads for it from then on. Twenty seconds later it reads the store
// itself again, from its old offset. It concluded that the store had been unavailable for twenty seconds, applied the
// records of that time one by one, and retained targets that had been added and removed meanwhile as if their entries
// had just expired.
TEST_CASE("a router that catches up on data received from others restores no removed target")
{
    ReadCursor cursor;
    CHECK_FALSE(cursor.next());
    cursor.readDone(start, { 10 });
    CHECK(cursor.readFailed(start + 1s));
    CHECK_FALSE(cursor.readFailed(start + 2s));
    CHECK(cursor.retryDelay() > ReadCursor().retryDelay());
    cursor.toldByPeer({ 150 });
    CHECK(cursor.next() == LogPosition { 150 });
    cursor.renewed();
    CHECK(cursor.failures() == 0);
    cursor.readDone(start + 20s, { 178 });
    cursor.toldByPeer({ 150 });
    CHECK(cursor.next() == LogPosition { 178 });
    CHECK(cursor.readFailed(start + 30s));
    CHECK(cursor.readDone(start + 33s, { 180 }) == Duration(3s));

    const std::vector<TargetChange> caughtUp { entry("passing"), entry("leaving"), gone("passing"),
        entry("leaving", true), entry("leaving", false), gone("stays") };
    SECTION("others told of the time between: what is missing has gone")
    {
        TargetRoster roster;
        roster.apply(start, entry("stays"));
        for (int second = 1; second <= 20; ++second)
            roster.known({ 150 }, start + second * 1s);
        roster.applyAll(start + 20s, caughtUp);
        REQUIRE(roster.size() == 1);
        CHECK(roster.targets().front().id.value == "leaving");
        CHECK(roster.targets().front().draining);
    }
    SECTION("nobody did: what was there before may have lapsed")
    {
        TargetRoster roster;
        roster.apply(start, entry("stays"));
        roster.known({ 1 }, start + 1s);
        roster.known({ 7 }, start + 20s);
        roster.applyAll(start + 20s, caughtUp);
        const auto targets = roster.targets();
        REQUIRE(targets.size() == 2);
        CHECK(targets[0].id.value == "leaving");
        CHECK(targets[0].draining);
        CHECK(targets[1].id.value == "stays");
    }
}

// Guards against a router that had seen a target's removal sending it requests three seconds later. The store refuses
// some routers, a target's entry is removed, and the store serves those routers again. One of them retains the missing
// entry for the grace period and sends its list to a router that never lost the store, which adopted the retained entry
// over its own data.
TEST_CASE("a router reports a removed entry to others, also while it retains the target itself")
{
    TargetRoster cutOff;
    cutOff.apply(start, entry("t"));
    cutOff.apply(start, entry("u"));
    cutOff.known({ 2 }, start);
    cutOff.known({ 3 }, start + 9s);
    cutOff.apply(start + 9s, gone("t", 2));
    REQUIRE(cutOff.size() == 2);
    REQUIRE(cutOff.changesSince({ 2 }));

    TargetRoster inTouch;
    inTouch.apply(start, entry("t"));
    inTouch.apply(start, entry("u"));
    SECTION("to one that saw it go")
    {
        inTouch.apply(start + 8s, gone("t", 2));
        inTouch.applyAll(start + 9s, *cutOff.changesSince({ 2 }));
        inTouch.replace(start + 9s, cutOff.all(), { 3 });
    }
    SECTION("to one that was in touch, and has not heard of it yet")
    {
        inTouch.known({ 2 }, start + 8s);
        inTouch.known({ 3 }, start + 9s);
        inTouch.applyAll(start + 9s, *cutOff.changesSince({ 2 }));
    }
    SECTION("to one that takes the whole list")
    {
        inTouch.known({ 2 }, start + 8s);
        inTouch.known({ 3 }, start + 9s);
        inTouch.replace(start + 9s, cutOff.all(), { 3 });
    }
    REQUIRE(inTouch.size() == 1);
    CHECK(inTouch.targets().front().id.value == "u");
}

// Guards against routers that never lost the store sending requests to a target up to four seconds after its removal.
// The relay of their zone was partitioned from the store; after its return the entry is removed, and the relay retains
// it for two seconds, as it may have expired. Meanwhile its list changes several times and the routers adopt it. With
// each list they retained the missing entry for another two seconds.
TEST_CASE("a repeated removal does not extend the grace period of a retained entry")
{
    TargetRoster follower;
    follower.apply(start, entry("t"));
    follower.known({ 1 }, start);
    follower.known({ 1 }, start + 9s);
    for (const Duration after : { Duration(10s), Duration(10500ms), Duration(11s) }) {
        follower.known({ 2 }, start + after);
        follower.apply(start + after, gone("t", 1));
    }
    CHECK_FALSE(follower.expire(start + 11s));
    CHECK(follower.expire(start + 9s + TargetRoster::reregistrationGrace));
    CHECK(follower.size() == 0);
}

// Guards against requests reaching a target that was removed two seconds before. Two routers read the store; one
// retains the removed entry for the grace period, the other doesn't. A third hears from both that they have the same
// records, first from the one whose list equals its own. It considered itself up to date and never fetched the removal.
TEST_CASE("a router's progress is defined by the records that it applied, not by equal lists")
{
    Knowledge mine { 1, start, { 15 }, start };
    CHECK(learn(mine, { 1, 0ms, { 16 }, 0ms, 0ms }, start + 1s).targets);
    CHECK(mine.targetsNext == LogPosition { 15 });
    CHECK(mine.targetsUntil == start);
    CHECK(learn(mine, { 1, 0ms, { 16 }, 0ms, 0ms }, start + 1s).targets);
}

// Guards against a removed target getting requests for the lifetime of a router. A starting router fetches everything
// from another one and reads the store meanwhile; the target is removed in between. The other router's response, one
// record older than the store's (next=34 and 35), arrived last, and the target was taken for new: the record of its
// removal was before the offset to read from.
TEST_CASE("a full list that arrives after a newer one restores no removed target")
{
    TargetRoster roster;
    roster.known({ 35 }, start);
    roster.replace(start, { entry("stays", false, 0, 10) }, { 35 });
    const std::vector<TargetChange> older { entry("left", false, 0, 20), entry("stays", false, 0, 10) };
    roster.known({ 34 }, start + 10ms);
    SECTION("as a list") { roster.replace(start + 10ms, older, { 34 }); }
    SECTION("as changes") { roster.applyAll(start + 10ms, older); }
    REQUIRE(roster.size() == 1);
    CHECK(roster.targets().front().id.value == "stays");
    // A target added later is accepted from any source.
    roster.applyAll(start + 20ms, { entry("new", false, 0, 36) });
    CHECK(roster.size() == 2);
}

// Guards against routers dropping live targets. Their entries had expired while the store was unavailable; half a
// second before the last of them was registered again, the store refused the one router that read for all. The others
// dropped that target at the end of the grace period, although they had no data for the last part of it:
//   23.190 known until  23.357 the entry is back, record 38  23.740 dropped, next=38
TEST_CASE("a missing entry is dropped only if its time to register again is covered by known reads")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    roster.known({ 1 }, start);
    const TimePoint back = start + 10s;
    roster.known({ 2 }, back);
    roster.applyAll(back, { gone("t", 1) });
    roster.known({ 2 }, back + 1500ms);
    CHECK_FALSE(roster.expire(back + TargetRoster::reregistrationGrace));
    CHECK(roster.size() == 1);
    SECTION("it was back all the while")
    {
        roster.known({ 3 }, back + 3s);
        roster.applyAll(back + 3s, { entry("t", false, 0, 2) });
        CHECK_FALSE(roster.expire(back + 3s));
        CHECK(roster.size() == 1);
    }
    SECTION("it never came")
    {
        roster.known({ 2 }, back + 2s);
        CHECK(roster.expire(back + 3s));
        CHECK(roster.size() == 0);
    }
}

// The store was unavailable twice. After the second outage a router learned that entries had expired in the first, and
// dropped them immediately, as by its clock their time to register again had passed. They could not do so during the
// outage, and no router had data for that time. In the simulation:
//   11.040 the store is back  11.140 unavailable again  13.580 known until 11.080, kept until 13.240: dropped
TEST_CASE("an entry found missing late is dropped only if its time to register again is covered by known reads")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    roster.known({ 1 }, start);
    const TimePoint back = start + 5s;
    roster.known({ 2 }, back);
    const TimePoint late = back + TargetRoster::reregistrationGrace + 300ms;
    roster.apply(late, gone("t", 1));
    CHECK_FALSE(roster.expire(late));
    CHECK(roster.size() == 1);
    SECTION("it is back")
    {
        roster.known({ 3 }, late + 1s);
        roster.apply(late + 1s, entry("t", false, 0, 2));
        CHECK_FALSE(roster.expire(late + 2s));
        CHECK(roster.size() == 1);
    }
    SECTION("it is not, and the store was read")
    {
        roster.known({ 2 }, back + 2s);
        CHECK(roster.expire(late + 1s));
        CHECK(roster.size() == 0);
    }
}

TEST_CASE("an entry missing again after a second store outage is retained from the second return on")
{
    TargetRoster roster;
    roster.apply(start, entry("t"));
    roster.known({ 1 }, start);
    roster.known({ 2 }, start + 5s);
    roster.apply(start + 5s, gone("t", 1));
    CHECK_FALSE(roster.expire(start + 9s)); // Unavailable again: targets that could not register may still be alive.
    roster.known({ 2 }, start + 10s);
    CHECK_FALSE(roster.expire(start + 10s));
    CHECK_FALSE(roster.expire(start + 12s));
    roster.known({ 2 }, start + 12s);
    CHECK(roster.expire(start + 10s + TargetRoster::reregistrationGrace));
}

// A router that had received nothing for 2.3 s learned that a target had been removed 0.6 s before, and used it for
// another 2.2 s. It took its own lack of data for a store outage, in which entries expire; the others had read the
// store all the time. In the simulation:
//   3.640 a target is removed  4.270 known until 4.260, before 1.990; missing targets kept until 6.460
//   5.980 it is still used  next=13 known until 5.890
TEST_CASE("a router without data for seconds retains no entry whose removal others saw while reading the store")
{
    TargetRoster roster;
    roster.known({ 1 }, start);
    roster.apply(start, entry("t"));
    const TimePoint back = start + 5s;
    SECTION("it hears it from another, which knows since when the store is read")
    {
        roster.known({ 3 }, ReadSpan { start - 10s, back });
        roster.apply(back, gone("t", 2));
        CHECK(roster.size() == 0);
        CHECK_FALSE(roster.keepsMissingUntil());
        CHECK(roster.readSince() == start - 10s);
    }
    SECTION("it reads the store itself first: the entry may have lapsed, until another tells that it can't have")
    {
        roster.known({ 3 }, back);
        roster.apply(back, gone("t", 2));
        roster.expire(back);
        CHECK(roster.size() == 1);
        roster.known({ 3 }, ReadSpan { start - 10s, back + 100ms });
        roster.expire(back + 100ms);
        CHECK(roster.size() == 0);
        CHECK_FALSE(roster.keepsMissingUntil());
    }
    SECTION("the other was away as well: nothing is known of that time")
    {
        roster.known({ 3 }, back);
        roster.apply(back, gone("t", 2));
        roster.known({ 3 }, ReadSpan { start + 3s, back + 100ms });
        roster.expire(back + 100ms);
        CHECK(roster.size() == 1);
        CHECK(roster.readSince() == start + 3s);
    }
    SECTION("it hears from one that has been without news for longer: that says nothing of now")
    {
        roster.known({ 3 }, back);
        roster.known({ 1 }, ReadSpan { start - 10s, start + 1s });
        CHECK(roster.readSince() == back);
        CHECK(roster.knownUntil() == back);
    }
}

// Guards against a router that was cut off, and whose relay then fell silent, using a removed target for four seconds
// after its return. It read the store itself every half of the bound, which kept its data fresh, so that it asked no
// other router, although only another could tell that the store had been read in the meantime. In the simulation:
//   25.200 it is back  26.570 it reads the store, known before until 19.370; kept until 28.760  29.550 dropped
TEST_CASE("a router that retains entries asks others until one has reported reads after the gap")
{
    const NewsTimes times = NewsTimes::make(3s, false);
    const PeerRequests requests(times, start - 1h);
    TargetRoster roster(times.storeBreak);
    const auto whom = [&](TimePoint now) { return requests.due(now, roster.witnessedUntil(), std::nullopt); };
    roster.known({ 1 }, start);
    const TimePoint back = start + 7s;
    CHECK(whom(start) == PeerRequests::Whom::Nobody);
    SECTION("it reads the store itself")
    {
        roster.known({ 2 }, back);
        CHECK(whom(back) == PeerRequests::Whom::Anyone);
        roster.known({ 2 }, back + 500ms);
        CHECK(whom(back + 500ms) == PeerRequests::Whom::Anyone);
        SECTION("another that was cut off, too, says nothing of the gap")
        {
            roster.known({ 2 }, ReadSpan { start - 10s, start + 100ms, true });
            CHECK(whom(back + 500ms) == PeerRequests::Whom::Anyone);
        }
        SECTION("another read the store all the time")
        {
            roster.known({ 2 }, ReadSpan { start - 10s, back + 600ms, true });
            CHECK(whom(back + 600ms) == PeerRequests::Whom::Nobody);
            CHECK_FALSE(roster.keepsMissingUntil());
        }
        SECTION("another found the store away")
        {
            roster.known({ 2 }, ReadSpan { back, back + 600ms, true });
            CHECK(whom(back + 600ms) == PeerRequests::Whom::Nobody);
            CHECK(roster.keepsMissingUntil());
        }
    }
    SECTION("another tells it of the gap: the store was away")
    {
        roster.known({ 2 }, ReadSpan { back, back, true });
        CHECK(whom(back) == PeerRequests::Whom::Nobody);
    }
}

TEST_CASE("the start of gapless reading merges the intervals seen by several routers")
{
    TargetRoster roster;
    roster.known({ 1 }, ReadSpan { start, start + 1s });
    roster.known({ 1 }, ReadSpan { start + 2s, start + 4s });
    CHECK(roster.readSince() == start);
    roster.known({ 1 }, ReadSpan { start - 3s, start - 1s });
    CHECK(roster.readSince() == start - 3s);
    CHECK(roster.knownUntil() == start + 4s);
    roster.known({ 1 }, start + 4s + TargetRoster::entryLapseTime + 1ms);
    CHECK(roster.readSince() == start + 4s + TargetRoster::entryLapseTime + 1ms);
}

// The store was unavailable, returned for 0.4 s, and was unavailable again for 0.8 s. Targets whose entries had expired
// could not register again in time and were dropped although they were alive: a second outage too short for entries to
// expire was ignored. In the simulation:
//   27.470 known until 27.340, before 21.310; kept until 29.550  27.750 to 28.530 the store is unavailable
//   28.930 known until 28.700, before 27.470  29.550 dropped; back by 30.530
TEST_CASE("a missing entry is retained longer if the store was unavailable again in its time to register")
{
    TargetRoster roster(1100ms);
    roster.known({ 1 }, start);
    roster.apply(start, entry("t"));
    const TimePoint back = start + 6s;
    roster.known({ 2 }, back);
    roster.apply(back, gone("t", 1));
    const TimePoint backAgain = back + 1400ms;
    SECTION("nobody knows of anything in between")
    {
        roster.known({ 2 }, backAgain);
        CHECK(roster.keepsMissingUntil() == backAgain + TargetRoster::reregistrationGrace);
        roster.known({ 2 }, back + TargetRoster::reregistrationGrace);
        CHECK_FALSE(roster.expire(back + TargetRoster::reregistrationGrace));
        roster.known({ 2 }, backAgain + TargetRoster::reregistrationTime / 2);
        roster.known({ 2 }, backAgain + TargetRoster::reregistrationTime);
        CHECK(roster.expire(backAgain + TargetRoster::reregistrationGrace));
    }
    SECTION("another read the store in between: only the first absence counts")
    {
        roster.known({ 2 }, backAgain);
        roster.known({ 2 }, ReadSpan { back, backAgain });
        CHECK(roster.keepsMissingUntil() == back + TargetRoster::reregistrationGrace);
        CHECK(roster.readSince() == back);
    }
    SECTION("a short break while nothing is missing")
    {
        TargetRoster well(1100ms);
        well.known({ 1 }, start);
        well.known({ 1 }, start + 1500ms);
        CHECK_FALSE(well.keepsMissingUntil());
        CHECK(well.readSince() == start + 1500ms);
    }
}

TEST_CASE("of two records for one target the later wins, in whatever order they are reported")
{
    TargetRoster roster;
    roster.apply(start, entry("t", false, 5, 7));
    roster.apply(start, gone("t", 4));
    CHECK(roster.size() == 1);
    roster.apply(start, gone("t", 8));
    roster.apply(start, entry("t", false, 5, 7));
    CHECK(roster.size() == 0);
    roster.apply(start, entry("t", false, 6, 9));
    CHECK(roster.size() == 1);
    // A full list older than the newest record removes no entry that was added after it.
    roster.replace(start, {}, { 9 });
    CHECK(roster.size() == 1);
    roster.replace(start, {}, { 10 });
    CHECK(roster.size() == 0);
}

TEST_CASE("an old record changes nothing except that the current life is draining")
{
    TargetRoster roster;
    roster.apply(start, entry("t", false, 5, 9));
    const std::uint64_t revision = roster.revision();
    roster.apply(start, entry("t", true, 4, 8));
    CHECK(roster.revision() == revision);
    roster.apply(start, entry("t", true, 5, 7));
    CHECK(roster.targets().front().draining);
    CHECK(roster.revision() != revision);
}

TEST_CASE("changes since a record give another router the same list, and a full list does where some were discarded")
{
    rc::prop("over any course of changes", [] {
        TargetRoster teller;
        TargetRoster listener;
        LogOffset next = 0;
        const int rounds = *rc::gen::inRange(1, 6);
        for (int round = 0; round < rounds; ++round) {
            const int steps = *rc::gen::inRange(0, 8);
            for (int i = 0; i < steps; ++i) {
                const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                const TargetChange change = *rc::gen::arbitrary<bool>() ? gone(id, next) : entry(id, false, 0, next);
                teller.apply(start, change);
                ++next;
            }
            teller.known({ next }, start);
            const auto changes = teller.changesSince(listener.next().value_or(LogPosition {}));
            RC_ASSERT(changes.has_value());
            listener.applyAll(start, *changes);
            listener.known({ next }, start);
            const bool isSame = listener.targets() == teller.targets();
            RC_ASSERT(isSame);
        }
    });
    TargetRoster late;
    late.replace(start, { entry("t", false, 0, 3) }, { 10 });
    CHECK_FALSE(late.changesSince({ 9 }));
    CHECK(late.changesSince({ 10 }));
    late.apply(start, gone("t", 11));
    late.expire(start);
    CHECK(late.changesSince({ 11 })->size() == 1);
    late.expire(start + 1h); // The removed target's life is discarded.
    CHECK_FALSE(late.changesSince({ 11 }));
}

TEST_CASE("a life that reported itself as draining stays so, whatever a record or another router says")
{
    TargetRoster roster;
    roster.apply(start, entry("t", false, 1000, 5));
    const std::uint64_t revision = roster.revision();
    CHECK(roster.saidDraining(start, { { "t" }, 1000 }));
    CHECK(roster.targets().front().draining);
    CHECK(roster.revision() > revision);
    CHECK_FALSE(roster.saidDraining(start, { { "t" }, 1000 }));
    roster.apply(start + 1s, entry("t", false, 1000, 6));
    roster.replace(start + 2s, { entry("t", false, 1000, 7) }, { 8 });
    CHECK(roster.targets().front().draining);
    roster.apply(start + 3s, gone("t", 8));
    roster.apply(start + 4s, entry("t", false, 1000, 9));
    CHECK(roster.targets().front().draining);
    roster.apply(start + 5s, entry("t", false, 2000, 10));
    CHECK_FALSE(roster.targets().front().draining);
}

TEST_CASE("reports about an ended life do not affect the next one")
{
    TargetRoster roster;
    CHECK_FALSE(roster.saidDraining(start, { { "t" }, 1000 }));
    roster.apply(start, entry("t", false, 2000));
    CHECK_FALSE(roster.saidDraining(start, { { "t" }, 1000 }));
    CHECK_FALSE(roster.targets().front().draining);
}

// Guards against a target that went while all routers stood still getting requests for two seconds after they go on.
TEST_CASE("after a stall a missing entry gets no requests, unless most of its service is missing")
{
    TargetRoster roster;
    const auto enter = [&](const std::string& id, const std::string& service, LogOffset offset) {
        TargetChange change = entry(id, false, 1000, offset);
        change.target->service = { service };
        roster.apply(start, change);
    };
    enter("t1", "s", 0);
    enter("t2", "s", 1);
    enter("t3", "s", 2);
    enter("only", "other", 3);
    roster.known({ 4 }, start);
    const auto usable = [&] {
        std::set<std::string> ids;
        for (const dispatch::Target& it : roster.targets()) {
            if (!it.draining)
                ids.insert(it.id.value);
        }
        return ids;
    };
    using Ids = std::set<std::string>;
    const TimePoint woken = start + 4s;
    const auto wakeAndRead = [&](const std::vector<TargetChange>& changes) {
        roster.known({ 4 + changes.size() }, woken + 10ms);
        roster.applyAll(woken + 20ms, changes);
    };
    SECTION("the router did not run: what is missing has gone")
    {
        roster.noteStall({ start + 100ms, woken });
        const std::uint64_t revision = roster.revision();
        wakeAndRead({ gone("t1", 4) });
        CHECK(usable() == Ids { "t2", "t3", "only" });
        CHECK(roster.revision() > revision);
        SECTION("until most of the service is missing")
        {
            roster.applyAll(woken + 1s, { gone("t2", 5) });
            CHECK(usable() == Ids { "t1", "t2", "t3", "only" });
        }
        SECTION("or it is back")
        {
            TargetChange change = entry("t1", false, 1000, 5);
            change.target->service = { "s" };
            const std::uint64_t before = roster.revision();
            roster.applyAll(woken + 1s, { change });
            CHECK(usable() == Ids { "t1", "t2", "t3", "only" });
            CHECK(roster.revision() > before);
        }
        SECTION("or its time to register again is over")
        {
            roster.known({ 5 }, ReadSpan { woken + 10ms, woken + 3s });
            CHECK(roster.expire(woken + 3s));
            CHECK(roster.size() == 3);
        }
        SECTION("nor when that time is over and it has not been dropped yet")
        {
            roster.takeDepartures();
            roster.known({ 5 }, ReadSpan { woken + 10ms, woken + 3s });
            TargetChange renewed = entry("t2", false, 1000, 6);
            renewed.target->service = { "s" };
            roster.applyAll(woken + 3s, { renewed });
            CHECK(usable() == Ids { "t2", "t3", "only" });
            CHECK(roster.expire(woken + 3s));
            CHECK(roster.takeDepartures().empty());
        }
    }
    SECTION("the same by a full list")
    {
        roster.noteStall({ start + 100ms, woken });
        roster.known({ 5 }, woken + 10ms);
        TargetChange second = entry("t2", false, 1000, 1);
        TargetChange third = entry("t3", false, 1000, 2);
        second.target->service = third.target->service = { "s" };
        roster.replace(woken + 20ms, { second, third }, { 5 });
        CHECK(usable() == Ids { "t2", "t3", "only" });
    }
    SECTION("the router ran for most of the gap: entries may have lapsed")
    {
        roster.noteStall({ start + 100ms, start + 700ms });
        wakeAndRead({ gone("t1", 4) });
        CHECK(usable() == Ids { "t1", "t2", "t3", "only" });
    }
}

// Guards against a target without a start time that never gets a request again after it left and started again under
// its id, and against one that gets some while it leaves.
TEST_CASE("without a start time a life that leaves ends with two later records in a row that say ready")
{
    TargetRoster roster;
    const auto say
        = [&](bool isDraining, LogOffset offset) { roster.applyAll(start, { entry("t", isDraining, 0, offset) }); };
    const auto isDraining = [&] { return roster.targets().front().draining; };
    say(false, 4);
    SECTION("by its entry")
    {
        say(true, 5);
        say(false, 6);
        CHECK(isDraining());
        say(false, 6);
        CHECK(isDraining());
        say(false, 7);
        CHECK_FALSE(isDraining());
    }
    SECTION("after its entry has gone")
    {
        roster.applyAll(start, { entry("t", true, 0, 5), gone("t", 6) });
        CHECK(roster.size() == 0);
        roster.replace(start, { entry("t", false, 0, 9) }, { 10 });
        CHECK(isDraining());
        roster.replace(start, { entry("t", false, 0, 12) }, { 13 });
        CHECK_FALSE(isDraining());
    }
    SECTION("not with a late record before the next one that says that it leaves")
    {
        say(true, 5);
        say(false, 6);
        say(true, 7);
        say(false, 8);
        CHECK(isDraining());
    }
    SECTION("not with earlier records")
    {
        say(true, 9);
        say(false, 6);
        say(false, 7);
        CHECK(isDraining());
    }
    SECTION("by its own word: not before its entry has gone")
    {
        CHECK(roster.saidDraining(start, { { "t" }, 0 }));
        say(false, 5);
        say(false, 6);
        CHECK(isDraining());
        roster.applyAll(start, { gone("t", 7), entry("t", false, 0, 8), entry("t", false, 0, 9) });
        CHECK_FALSE(isDraining());
    }
}

// Guards against a target that said that it leaves getting requests for two seconds, as if its entry had only lapsed.
TEST_CASE("an entry that goes in a grace period isn't retained if its target had said that it leaves")
{
    TargetRoster roster;
    roster.apply(start, entry("t", false, 1000, 0));
    roster.known({ 1 }, start);
    const TimePoint back = start + 5s;
    SECTION("both in one read")
    {
        roster.known({ 3 }, back);
        roster.applyAll(back, { entry("t", true, 1000, 1), gone("t", 2) });
    }
    SECTION("by a router that read both")
    {
        TargetRoster other;
        other.apply(start, entry("t", false, 1000, 0));
        other.known({ 1 }, start);
        other.apply(start, entry("t", true, 1000, 1));
        other.apply(start, gone("t", 2));
        other.known({ 3 }, back);
        roster.known({ 3 }, ReadSpan { back, back, true });
        roster.applyAll(back, *other.changesSince({ 1 }));
    }
    CHECK(roster.size() == 0);
}

// Guards against metrics that take a late notice for a fresh one, as where its entry was kept before it was heeded.
TEST_CASE("a departure tells since when the store can have held its notice, once for each life")
{
    TargetRoster roster;
    roster.apply(start, entry("t", false, 1000, 0));
    roster.apply(start, entry("u", false, 1000, 1));
    roster.known({ 2 }, start);
    roster.known({ 2 }, start + 1s);
    roster.known({ 3 }, start + 2s);
    roster.applyAll(start + 2s, { entry("t", true, 1000, 2) });
    std::vector<Departure> departures = roster.takeDepartures();
    REQUIRE(departures.size() == 1);
    CHECK(departures.front().target.id.value == "t");
    CHECK_FALSE(departures.front().isGone);
    CHECK(departures.front().noticeAfter == start + 1s);

    // The store was away: u is kept until it may have registered again.
    roster.known({ 5 }, start + 8s);
    roster.applyAll(start + 8s, { gone("t", 3), gone("u", 4) });
    CHECK(roster.takeDepartures().empty());
    roster.known({ 5 }, ReadSpan { start + 8s, start + 11s });
    CHECK(roster.expire(start + 11s));
    departures = roster.takeDepartures();
    REQUIRE(departures.size() == 1);
    CHECK(departures.front().target.id.value == "u");
    CHECK(departures.front().isGone);
    CHECK(departures.front().noticeAfter == start + 2s);
}
