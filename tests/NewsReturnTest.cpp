// Tests of what routers know when the store returns from a copy: src/news.

#include "NewsWorld.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <sstream>

using namespace sagechute;
using namespace sagechute::news;
using namespace sagechute::news::test;
using namespace std::chrono_literals;

namespace {

/// Courses with returns by chance.
struct ReturnSet {
    std::size_t routers;
    Duration bound;
    double faultsPerSecond;
    std::uint64_t count;
    bool keepsFormerEras = false;
    bool mixesVersions = false;
};

NewsReport runOne(const ReturnSet& it, std::uint64_t seed, DeliberateFault fault, bool isTraced = false)
{
    NewsWorldOptions options { it.routers, it.bound, seed, fault, it.faultsPerSecond };
    options.isFirstStart = false;
    options.returnsPerSecond = 0.1;
    options.isTraced = isTraced;
    options.keepsFormerEras = it.keepsFormerEras;
    options.mixesVersions = it.mixesVersions;
    return NewsWorld(options).run(30s);
}

/// @return what is wrong in a course; empty if nothing is.
std::string faultsOf(const NewsReport& report, Duration bound)
{
    std::string text;
    const auto add = [&](const char* name, bool isWrong) { text += isWrong ? std::string(name) + " " : ""; };
    add("late", report.worstAge > bound);
    add("used-after-removal", report.worstUseAfterRemoval > bound);
    add("lost-target", report.lostTargets > 0);
    add("lost-zone", report.lostZones > 0);
    add("wrong-zones", report.wrongZones > 0);
    add("disagreement", report.disagreements > 0);
    add("older-configuration", report.worstOlderConfig > bound);
    return text;
}

/// @return whether any course shows the fault that is sound without it.
bool isCaught(DeliberateFault fault)
{
    const ReturnSet set { 9, 2s, 0.3, 100 };
    for (std::uint64_t seed = 1; seed <= set.count; ++seed) {
        const auto isWrong = [&](DeliberateFault it) { return !faultsOf(runOne(set, seed, it), set.bound).empty(); };
        if (isWrong(fault) && !isWrong(DeliberateFault::None))
            return true;
    }
    return false;
}

} // namespace

// By hand: RETURNS="ROUTERS BOUND_SECONDS FAULTS_PER_SECOND FIRST LAST FAULT KEEPS_ERAS MIXES_VERSIONS [trace]"
// NewsReturnTest "[by-hand]"
TEST_CASE("returns of the store by hand", "[.][by-hand]")
{
    const char* const text = std::getenv("RETURNS");
    REQUIRE(text);
    std::istringstream in(text);
    ReturnSet set {};
    double bound = 0;
    std::uint64_t first = 0;
    int fault = 0;
    std::string trace;
    in >> set.routers >> bound >> set.faultsPerSecond >> first >> set.count >> fault >> set.keepsFormerEras
        >> set.mixesVersions >> trace;
    set.bound = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bound));
    NewsReport sum;
    std::size_t failures = 0;
    for (std::uint64_t seed = first; seed <= set.count; ++seed) {
        const NewsReport report = runOne(set, seed, static_cast<DeliberateFault>(fault), !trace.empty());
        sum.returns += report.returns;
        sum.lateAnswers += report.lateAnswers;
        sum.storeCalls += report.storeCalls;
        sum.worstAge = std::max(sum.worstAge, report.worstAge);
        const std::string found = faultsOf(report, set.bound);
        failures += found.empty() ? 0 : 1;
        if (!found.empty())
            std::printf("seed %lu: %s (age %ld ms, use %ld ms, older %ld ms, lost %zu/%zu, wrong %zu, disagree %zu)\n",
                seed, found.c_str(), std::chrono::duration_cast<std::chrono::milliseconds>(report.worstAge).count(),
                std::chrono::duration_cast<std::chrono::milliseconds>(report.worstUseAfterRemoval).count(),
                std::chrono::duration_cast<std::chrono::milliseconds>(report.worstOlderConfig).count(),
                report.lostTargets, report.lostZones, report.wrongZones, report.disagreements);
    }
    std::printf("%zu of %lu courses failed; %zu returns, %zu late answers, %lu calls, worst age %ld ms\n", failures,
        set.count - first + 1, sum.returns, sum.lateAnswers, sum.storeCalls,
        std::chrono::duration_cast<std::chrono::milliseconds>(sum.worstAge).count());
}

// Guards against routers that take records of the store before its return for later ones than those after it: they use
// targets that have left, drop live ones and miss configurations and evacuations that were written again.
TEST_CASE("routers agree with the store after it returns from a copy, whichever routers fail")
{
    for (const ReturnSet& it : { ReturnSet { 6, 2s, 0, 60 }, ReturnSet { 9, 2s, 0.3, 100 },
             ReturnSet { 9, 2s, 0.3, 20, true }, ReturnSet { 24, 3s, 0.3, 25 } }) {
        for (std::uint64_t seed = 1; seed <= it.count; ++seed) {
            CAPTURE(it.routers, it.bound, it.keepsFormerEras, seed);
            CHECK_THAT(faultsOf(runOne(it, seed, DeliberateFault::None), it.bound), Catch::Equals(""));
        }
    }
}

// Guards against a check that passes whatever the routers make of the store's era.
TEST_CASE("the check of returns detects each injected bug")
{
    CHECK(isCaught(DeliberateFault::IgnoresEra));
    CHECK(isCaught(DeliberateFault::TakesEraOfArrival));
    CHECK(isCaught(DeliberateFault::TakesOlderEraFromPeer));
    CHECK(isCaught(DeliberateFault::HidesEraFromPeers));
}

// Guards against a router that was away during a return and goes on from its offset, where the store has given out
// other records since, or brings back what it knew of the former era.
TEST_CASE("routers that are away or start while the store returns know what the others know")
{
    const std::size_t routers = GENERATE(std::size_t { 6 }, std::size_t { 24 });
    const Duration bound = routers == 6 ? 2s : 3s;
    struct Case {
        const char* name;
        FaultKind kind;
        Duration at;
        Duration length;
    };
    const Case it = GENERATE(Case { "none", FaultKind::Paused, 50s, 0s },
        Case { "paused over a return", FaultKind::Paused, 9s, 3s },
        Case { "paused over both returns", FaultKind::Paused, 9s, 8s },
        Case { "cut off over a return", FaultKind::Partitioned, 9s, 3s },
        Case { "cut off over both returns", FaultKind::Partitioned, 9s, 8s },
        Case { "refused over both returns", FaultKind::Refused, 9s, 10s },
        Case { "not answered over both returns", FaultKind::Unanswered, 9s, 10s },
        Case { "hears nobody over both returns", FaultKind::DropsInbound, 9s, 8s },
        Case { "restarts before the return", FaultKind::Restarted, 9800ms, 0s },
        Case { "restarts after the return", FaultKind::Restarted, 10300ms, 0s });
    const Duration apart = GENERATE(Duration(300ms), Duration(1500ms), Duration(5s));
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        CAPTURE(routers, it.name, apart, seed);
        NewsWorldOptions options { routers, bound, seed, DeliberateFault::None, 0 };
        options.isFirstStart = false;
        NewsWorld world(options);
        world.plan({ it.at, it.kind, { 1, world.relayOf(0) }, it.length });
        world.planZone(5s, { "a" }, true);
        world.planZone(8500ms, { "b" }, true);
        world.planZone(9s, { "a" }, false);
        world.planReturn(10s, 3s);
        world.planReturn(10s + apart, 2s + 100ms);
        const NewsReport report = world.run(26s);
        CHECK_THAT(faultsOf(report, bound), Catch::Equals(""));
        CHECK(report.returns == 2);
    }
}
