// Tests of the quarantine of parts of prompts that crash targets, with many routers under a virtual clock
// (src/quarantine/PartGuard.cpp).

#include "PartWorld.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr PartKey shared = 1; ///< First part of all sound requests.
constexpr PartKey crashing = 66;
constexpr PartKey companion = 67;
constexpr Duration stableTime = 3s;
constexpr unsigned maxLateExits = 3;

PartWorldSettings settingsOf(unsigned routers, std::uint64_t seed)
{
    PartWorldSettings settings;
    settings.routers = routers;
    settings.isRelayed = routers > 12;
    settings.reportInterval = settings.isRelayed ? 150ms : 60ms;
    settings.targets = std::max(9U, routers / 4);
    settings.soundInterval = std::chrono::milliseconds(1000) / std::max(50U, 3 * routers);
    settings.seed = seed;
    return settings;
}

struct Arrivals {
    PartWorld::Parts parts;
    Duration interval;
    unsigned atOnce;
};

} // namespace

// Guards against requests that crash a target each because no two of them are alike.
TEST_CASE("at most three targets more exit later than 3 s after the fifth under one part of prompts")
{
    const unsigned routers = GENERATE(3U, 8U, 120U);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    const Arrivals arrivals = GENERATE(Arrivals { { shared, crashing }, 300ms, 1 }, Arrivals { { crashing }, 300ms, 1 },
        Arrivals { { shared, 5, crashing, 6 }, 1200ms, 1 }, Arrivals { { shared, crashing }, 1500ms, 6 },
        Arrivals { { shared, crashing }, 2000ms, 1 });
    CAPTURE(routers, seed, arrivals.parts, arrivals.interval.count(), arrivals.atOnce);
    PartWorld world(settingsOf(routers, seed));
    world.run(3s);
    world.crashingPart = crashing;
    world.runWith(25s, arrivals.parts, arrivals.interval, arrivals.atOnce);
    CHECK(world.crashes() >= partQuarantineThreshold);
    CHECK(world.exitsLaterThan(stableTime) <= maxLateExits);
    CHECK(world.quarantinedAt(crashing) == routers);
    CHECK(world.quarantinedAt(shared) == 0);
    CHECK(world.soundRefused == 0);
}

// Guards against a part that is refused although all that speaks against it is that it was there.
TEST_CASE("no part is quarantined for exits that it did not cause")
{
    const unsigned routers = GENERATE(3U, 8U, 120U);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    PartWorldSettings settings = settingsOf(routers, seed);
    settings.targets = 9;
    PartWorld world(settings);
    world.soundPrompts = { { shared }, { shared, 2 }, { shared, 3 }, { 4, 5 } };
    world.run(2s);
    SECTION("targets end one after the other")
    {
        for (unsigned i = 0; i < 40; ++i) {
            world.kill(i % settings.targets);
            world.run(400ms);
        }
    }
    SECTION("a rack is lost, again and again")
    {
        for (unsigned i = 0; i < 5; ++i) {
            for (unsigned target = 0; target < settings.targets - 2; ++target)
                world.kill(target);
            world.run(4s);
        }
    }
    SECTION("all targets are lost at once, again and again")
    {
        for (unsigned i = 0; i < 5; ++i) {
            for (unsigned target = 0; target < settings.targets; ++target)
                world.kill(target);
            world.run(5s);
        }
    }
    for (const PartKey it : { 1U, 2U, 3U, 4U, 5U })
        CHECK(world.quarantinedAt(it) == 0);
    CHECK(world.soundRefused == 0);
}

// Guards against a part of large prompts that is refused because smaller ones show sooner that they survived.
TEST_CASE("a part whose requests are answered late is not quarantined when targets end in quick succession")
{
    PartWorldSettings settings = settingsOf(8, GENERATE(1U, 2U, 3U));
    settings.slowPart = 2;
    settings.slowFirstEventDelay = 900ms;
    settings.answerTime = 2500ms;
    settings.targets = 60;
    settings.soundInterval = 5ms;
    settings.downtime = 1s;
    PartWorld world(settings);
    world.soundPrompts = { { shared }, { 2 }, { 3 } };
    world.run(3s);
    for (unsigned i = 0; i < 100; ++i) {
        world.kill(i % settings.targets);
        world.run(100ms);
    }
    CHECK(world.quarantinedAt(2) == 0);
    CHECK(world.soundRefused == 0);
}

// Guards against past completions that speak for a part for ever.
TEST_CASE("a part that was sound is quarantined once it crashes targets")
{
    PartWorld world(settingsOf(8, GENERATE(1U, 2U, 3U)));
    world.runWith(8s, { shared, crashing }, 100ms);
    world.crashingPart = crashing;
    world.runWith(15s, { shared, crashing }, 300ms);
    CHECK(world.exitsLaterThan(stableTime) <= maxLateExits);
    CHECK(world.quarantinedAt(crashing) == 8);
    CHECK(world.soundRefused == 0);
}

// Guards against a sound part that stays refused because it came only together with the one that crashes targets.
TEST_CASE("a companion of a crashing part is cleared by the first request that comes without that part")
{
    const unsigned routers = GENERATE(3U, 8U, 120U);
    PartWorld world(settingsOf(routers, GENERATE(1U, 2U, 3U)));
    world.crashingPart = crashing;
    world.runWith(12s, { shared, companion, crashing }, 300ms);
    REQUIRE(world.quarantinedAt(crashing) == routers);
    REQUIRE(world.quarantinedAt(companion) == routers);
    CHECK(world.send({ shared, companion }));
    world.run(3s);
    CHECK(world.quarantinedAt(companion) == 0);
    CHECK(world.quarantinedAt(crashing) == routers);
    const unsigned crashes = world.crashes();
    for (unsigned i = 0; i < routers; ++i) {
        CHECK(world.send({ shared, companion }, i));
        CHECK_FALSE(world.send({ shared, companion, crashing }, i));
    }
    world.run(1s);
    CHECK(world.crashes() == crashes);
}

// Guards against a companion whose quarantine lets the crashing part through for ever.
TEST_CASE("a crashing part that comes without its companion is refused after few exits")
{
    PartWorld world(settingsOf(8, GENERATE(1U, 2U, 3U)));
    world.crashingPart = crashing;
    world.runWith(10s, { shared, companion, crashing }, 300ms);
    const unsigned crashes = world.crashes();
    world.runWith(10s, { shared, crashing }, 300ms);
    CHECK(world.crashes() - crashes <= maxLateExits);
}

TEST_CASE("a second part that crashes targets later is quarantined too")
{
    PartWorld world(settingsOf(8, GENERATE(1U, 2U, 3U)));
    world.crashingPart = crashing;
    world.runWith(10s, { shared, crashing }, 300ms);
    const unsigned crashes = world.crashes();
    world.crashingPart = companion;
    world.runWith(15s, { shared, companion }, 300ms);
    CHECK(world.quarantinedAt(companion) == 8);
    CHECK(world.crashes() - crashes <= 15);
}

TEST_CASE("a router that has just started learns of a quarantined part from the others")
{
    PartWorld world(settingsOf(8, GENERATE(1U, 2U, 3U)));
    world.crashingPart = crashing;
    world.runWith(10s, { shared, crashing }, 300ms);
    for (unsigned i = 0; i < 7; ++i)
        world.restartRouter(i);
    world.run(2s);
    CHECK(world.quarantinedAt(crashing) == 8);
}

TEST_CASE("a part that is suspected is neither sent again after a break nor to a second target")
{
    PartGuard guard;
    TimePoint now { 100s };
    for (TargetKey target = 1; target <= 2; ++target) {
        guard.sent(now, target, { shared, crashing });
        const std::vector<PartKey> suspects = guard.ended(now + 100ms, target, false);
        REQUIRE(suspects.size() == 2);
        guard.exited(now + 100ms, target, { { shared, now }, { crashing, now } });
        now += 200ms;
    }
    CHECK(guard.standing(now, { crashing }) == Standing::Clear);
    guard.sent(now, 3, { shared });
    guard.answering(now + 50ms, 3);
    guard.ended(now + 300ms, 3, true);
    now += 1500ms;
    CHECK(guard.standing(now, { crashing }) == Standing::Suspect);
    CHECK(guard.standing(now, { shared }) == Standing::Clear);
}

TEST_CASE("a target that answers for a while before it exits clears the parts of that request")
{
    PartGuard guard;
    TimePoint now { 100s };
    const Duration answered = GENERATE(100ms, 700ms);
    guard.sent(now, 1, { crashing });
    guard.answering(now + 50ms, 1);
    CHECK(guard.ended(now + 50ms + answered, 1, false).empty() == (answered > 500ms));
}

TEST_CASE("an answer to a request that was sent before an exit does not clear its parts of that exit")
{
    PartGuard guard;
    const TimePoint now { 100s };
    guard.sent(now, 1, { crashing });
    guard.exited(now + 100ms, 7, { { crashing, now } });
    guard.answering(now + 200ms, 1);
    guard.ended(now + 300ms, 1, true);
    CHECK(guard.cases().size() == 1);
    guard.sent(now + 400ms, 2, { crashing });
    guard.answering(now + 500ms, 2);
    guard.ended(now + 600ms, 2, true);
    CHECK(guard.cases().empty());
}

TEST_CASE("routers that learn of a verdict, of exits and of clearings in any order agree")
{
    const std::vector<CrashRecord> records { { crashing, 1, false, true }, { crashing, 1, true }, { crashing, 2 },
        { crashing, 2, false, true }, { crashing, 3, false, false, true } };
    std::vector<std::size_t> order { 0, 1, 2, 3, 4 };
    do {
        CrashRecordSet set;
        for (const std::size_t it : order)
            set.merge(TimePoint { 1s }, records[it], 1);
        const CrashCase found = set.find(crashing);
        REQUIRE(found.targets == std::vector<TargetKey> { 2, 3 });
        REQUIRE(found.confirmed == 1);
        REQUIRE(found.repeated == 1);
    } while (std::next_permutation(order.begin(), order.end()));
}
