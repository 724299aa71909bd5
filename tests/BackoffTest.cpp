// Tests placement and refusals while targets are in a backoff pause (src/dispatch).

#include "dispatch/BackoffTable.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

/// One router with identical application targets.
struct TestRouter {
    explicit TestRouter(unsigned count)
    {
        FleetConfig config;
        config.version = 1;
        config.services = { { { "app" }, 100, std::nullopt } };
        Route route;
        route.timeout = 6s;
        config.routes = { route };
        table = RoutingTable::make(config);
        for (unsigned i = 0; i < count; ++i)
            targets.push_back({ { "t" + std::to_string(i) }, { "app" }, "127.0.0.1:1", { "a" }, 8, false });
        DispatchSettings settings;
        settings.retryRatio = 1e6; // Unlimited; the retry budget has its own tests.
        dispatcher = Dispatcher::make(settings, { "a" }, 7);
        dispatcher->setConfig(table);
        dispatcher->setTargets(start, targets);
    }

    Decision place(TimePoint now, const std::set<TargetIncarnation>& tried = {})
    {
        const PlacementRequest demand { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s,
            tried };
        return dispatcher->place(now, demand, tried.empty() ? AttemptKind::First : AttemptKind::RetryAfterSend);
    }

    /// @return the target of a request that is answered at once, or an empty string if it was refused.
    std::string serve(TimePoint now)
    {
        const Decision decision = place(now);
        const auto* placement = std::get_if<Placement>(&decision);
        if (!placement)
            return {};
        dispatcher->firstAnswer(now, placement->attempt);
        dispatcher->ended(now, placement->attempt, AttemptEnd::Answered);
        return placement->target.id.value;
    }

    void pause(TimePoint now, unsigned target, Duration time)
    {
        dispatcher->backOff(now, targets[target].incarnation(), time);
    }

    std::shared_ptr<const RoutingTable> table;
    std::vector<Target> targets;
    std::unique_ptr<Dispatcher> dispatcher;
};

const Refusal& refusalOf(const Decision& decision) { return std::get<Refusal>(decision); }

} // namespace

TEST_CASE("a target in a pause gets no request before the pause ends, even if all others were tried or are unreachable")
{
    TestRouter router(2);
    router.pause(start, 0, 3s);
    CHECK(router.serve(start) == "t1");
    const Decision retried = router.place(start + 1s, { router.targets[1].incarnation() });
    CHECK(std::get<Placement>(retried).target.id.value == "t1");
    router.dispatcher->ended(start + 1s, std::get<Placement>(retried).attempt, AttemptEnd::Unreachable);
    CHECK(router.serve(start + 1s) == "t1");
    CHECK_FALSE(router.dispatcher->maySend(start + 2999ms, router.targets[0].incarnation()));
    CHECK(router.dispatcher->maySend(start + 3s, router.targets[0].incarnation()));
}

TEST_CASE("a later backoff request of a target can extend its pause but never shortens it")
{
    BackoffTable table;
    const TargetIncarnation incarnation { { "t" } };
    CHECK(table.recordBackoff(start, incarnation, 3s));
    CHECK_FALSE(table.recordBackoff(start + 1s, incarnation, 100ms));
    table.served(start + 1s, incarnation);
    CHECK(table.pauseEnd(start + 1s, incarnation) == start + 3s);
    CHECK_FALSE(table.recordBackoff(start + 2s, incarnation, 2s));
    CHECK(table.pauseEnd(start + 2s, incarnation) == start + 4s);
    CHECK_FALSE(table.isPaused(start + 4s, incarnation));
    CHECK_FALSE(table.recordBackoff(start + 4s, incarnation, 0s));
    CHECK_FALSE(table.isPaused(start + 4s, incarnation));
    CHECK(table.recordBackoff(start + 4s, incarnation, 24h));
    CHECK(table.pauseEnd(start + 4s, incarnation) == start + 4s + BackoffTable::maxPause);
}

TEST_CASE("if all targets are in a pause, a request is refused at once with the earliest end of a pause as retry time")
{
    TestRouter router(3);
    router.pause(start, 0, 9s);
    router.pause(start, 1, 5s);
    router.targets[2].draining = true;
    router.dispatcher->setTargets(start, router.targets);
    for (int i = 0; i < 20; ++i) {
        const Decision decision = router.place(start + 1s);
        CHECK(refusalOf(decision).reason == RefusalReason::Backoff);
        CHECK(refusalOf(decision).retryAfter >= 4s);
        CHECK(refusalOf(decision).retryAfter <= 4500ms);
    }
    CHECK(router.dispatcher->giveUp(start + 1s, { "app" }).retryAfter >= 4s);
    router.targets[2].draining = false;
    router.dispatcher->setTargets(start, router.targets);
    CHECK(router.dispatcher->giveUp(start + 1s, { "app" }).reason == RefusalReason::NoTarget);
}

TEST_CASE("after its pause a target is probed by a single request, and others follow once the probe is served")
{
    TestRouter router(2);
    const TimePoint back = start + 1s;
    router.pause(start, 0, 1s);
    // The load in flight at the other target makes this one the better choice for all later requests.
    for (int i = 0; i < 12; ++i)
        router.place(back - 10ms);
    const Decision trial = router.place(back);
    CHECK(std::get<Placement>(trial).target.id.value == "t0");
    for (int i = 0; i < 5; ++i)
        CHECK(std::get<Placement>(router.place(back + 10ms)).target.id.value == "t1");
    router.dispatcher->firstAnswer(back + 20ms, std::get<Placement>(trial).attempt);
    CHECK(std::get<Placement>(router.place(back + 30ms)).target.id.value == "t0");
    CHECK(std::get<Placement>(router.place(back + 30ms)).target.id.value == "t0");
}

TEST_CASE("a target that rejects its probe is paused again")
{
    TestRouter router(2);
    router.pause(start, 0, 1s);
    for (int i = 0; i < 12; ++i)
        router.place(start + 990ms);
    const Decision trial = router.place(start + 1s);
    REQUIRE(std::get<Placement>(trial).target.id.value == "t0");
    router.pause(start + 1010ms, 0, 1s);
    router.dispatcher->ended(start + 1010ms, std::get<Placement>(trial).attempt, AttemptEnd::NotRun);
    for (int i = 0; i < 12; ++i)
        CHECK(std::get<Placement>(router.place(start + 2009ms)).target.id.value == "t1");
    CHECK(std::get<Placement>(router.place(start + 2010ms)).target.id.value == "t0");
}

TEST_CASE("a target that was often paused gets its part of a light load afterwards")
{
    TestRouter router(2);
    for (int i = 0; i < 20; ++i) {
        const TimePoint now = start + i * 1s;
        const Decision decision = router.place(now);
        const Placement& placement = std::get<Placement>(decision);
        const bool isPausing = placement.target.id.value == "t0";
        if (isPausing)
            router.pause(now, 0, 500ms);
        router.dispatcher->ended(now, placement.attempt, isPausing ? AttemptEnd::NotRun : AttemptEnd::Answered);
    }
    unsigned served = 0;
    for (int i = 0; i < 20; ++i)
        served += router.serve(start + 30s + i * 100ms) == "t0" ? 1 : 0;
    CHECK(served >= 5);
}

TEST_CASE("a pause survives the temporary absence of the target's entry but not a restart of the target")
{
    TestRouter router(2);
    router.pause(start, 0, 3s);
    router.dispatcher->setTargets(start + 1s, { router.targets[1] });
    router.dispatcher->setTargets(start + 2s, router.targets);
    CHECK_FALSE(router.dispatcher->maySend(start + 2s, router.targets[0].incarnation()));
    router.targets[0].startedAtMs = 5;
    router.dispatcher->setTargets(start + 2s, router.targets);
    CHECK(router.dispatcher->maySend(start + 2s, router.targets[0].incarnation()));
}

TEST_CASE("a request is not sent to a target that is draining, paused or gone since the placement")
{
    TestRouter router(3);
    router.pause(start, 0, 1s);
    router.targets[1].draining = true;
    router.dispatcher->setTargets(start, { router.targets[0], router.targets[1] });
    for (const Target& it : router.targets)
        CHECK_FALSE(router.dispatcher->maySend(start, it.incarnation()));
}
