// Targets that asked for a pause: what is placed on them, and what callers are told. src/dispatch.

#include "dispatch/BackoffTable.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

/// One router before applications that are alike.
struct World {
    explicit World(unsigned count)
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
        settings.retryRatio = 1e6; // The budget has tests of its own.
        dispatcher = Dispatcher::make(settings, { "a" }, 7);
        dispatcher->setConfig(table);
        dispatcher->setTargets(start, targets);
    }

    Decision place(TimePoint now, const std::set<TargetLife>& tried = {})
    {
        const Demand demand { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s, tried };
        return dispatcher->place(now, demand, tried.empty() ? Round::First : Round::AfterArrival);
    }

    /// @return the target of a request that is answered at once, or nothing where it was refused.
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
        dispatcher->backOff(now, targets[target].life(), time);
    }

    std::shared_ptr<const RoutingTable> table;
    std::vector<Target> targets;
    std::unique_ptr<Dispatcher> dispatcher;
};

const Refusal& refusalOf(const Decision& decision) { return std::get<Refusal>(decision); }

} // namespace

TEST_CASE(
    "a target that asked for a pause gets nothing before its end, though all others were tried or can't be reached")
{
    World world(2);
    world.pause(start, 0, 3s);
    CHECK(world.serve(start) == "t1");
    const Decision retried = world.place(start + 1s, { world.targets[1].life() });
    CHECK(std::get<Placement>(retried).target.id.value == "t1");
    world.dispatcher->ended(start + 1s, std::get<Placement>(retried).attempt, AttemptEnd::Unreachable);
    CHECK(world.serve(start + 1s) == "t1");
    CHECK_FALSE(world.dispatcher->maySend(start + 2999ms, world.targets[0].life()));
    CHECK(world.dispatcher->maySend(start + 3s, world.targets[0].life()));
}

TEST_CASE("a pause is made longer by what a target asks for later, and never shorter")
{
    BackoffTable table;
    const TargetLife life { { "t" } };
    CHECK(table.ask(start, life, 3s));
    CHECK_FALSE(table.ask(start + 1s, life, 100ms));
    table.served(start + 1s, life);
    CHECK(table.end(start + 1s, life) == start + 3s);
    CHECK_FALSE(table.ask(start + 2s, life, 2s));
    CHECK(table.end(start + 2s, life) == start + 4s);
    CHECK_FALSE(table.isPaused(start + 4s, life));
    CHECK_FALSE(table.ask(start + 4s, life, 0s));
    CHECK_FALSE(table.isPaused(start + 4s, life));
    CHECK(table.ask(start + 4s, life, 24h));
    CHECK(table.end(start + 4s, life) == start + 4s + BackoffTable::mostPause);
}

TEST_CASE("where all targets pause, a request is refused at once with the time of the first that is back")
{
    World world(3);
    world.pause(start, 0, 9s);
    world.pause(start, 1, 5s);
    world.targets[2].draining = true;
    world.dispatcher->setTargets(start, world.targets);
    for (int i = 0; i < 20; ++i) {
        const Decision decision = world.place(start + 1s);
        CHECK(refusalOf(decision).reason == RefusalReason::Backoff);
        CHECK(refusalOf(decision).comeBack >= 4s);
        CHECK(refusalOf(decision).comeBack <= 4500ms);
    }
    CHECK(world.dispatcher->giveUp(start + 1s, { "app" }).comeBack >= 4s);
    world.targets[2].draining = false;
    world.dispatcher->setTargets(start, world.targets);
    CHECK(world.dispatcher->giveUp(start + 1s, { "app" }).reason == RefusalReason::NoTarget);
}

TEST_CASE("after its pause a target is tried by a single request, and the others follow once that is served")
{
    World world(2);
    const TimePoint back = start + 1s;
    world.pause(start, 0, 1s);
    // What is in flight at the other makes the target the better one for all that come.
    for (int i = 0; i < 12; ++i)
        world.place(back - 10ms);
    const Decision trial = world.place(back);
    CHECK(std::get<Placement>(trial).target.id.value == "t0");
    for (int i = 0; i < 5; ++i)
        CHECK(std::get<Placement>(world.place(back + 10ms)).target.id.value == "t1");
    world.dispatcher->firstAnswer(back + 20ms, std::get<Placement>(trial).attempt);
    CHECK(std::get<Placement>(world.place(back + 30ms)).target.id.value == "t0");
    CHECK(std::get<Placement>(world.place(back + 30ms)).target.id.value == "t0");
}

TEST_CASE("a target that turns its trial away pauses again")
{
    World world(2);
    world.pause(start, 0, 1s);
    for (int i = 0; i < 12; ++i)
        world.place(start + 990ms);
    const Decision trial = world.place(start + 1s);
    REQUIRE(std::get<Placement>(trial).target.id.value == "t0");
    world.pause(start + 1010ms, 0, 1s);
    world.dispatcher->ended(start + 1010ms, std::get<Placement>(trial).attempt, AttemptEnd::NotRun);
    for (int i = 0; i < 12; ++i)
        CHECK(std::get<Placement>(world.place(start + 2009ms)).target.id.value == "t1");
    CHECK(std::get<Placement>(world.place(start + 2010ms)).target.id.value == "t0");
}

TEST_CASE("a target that often paused gets its part of a light load afterwards")
{
    World world(2);
    for (int i = 0; i < 20; ++i) {
        const TimePoint now = start + i * 1s;
        const Decision decision = world.place(now);
        const Placement& placement = std::get<Placement>(decision);
        const bool isPausing = placement.target.id.value == "t0";
        if (isPausing)
            world.pause(now, 0, 500ms);
        world.dispatcher->ended(now, placement.attempt, isPausing ? AttemptEnd::NotRun : AttemptEnd::Answered);
    }
    unsigned served = 0;
    for (int i = 0; i < 20; ++i)
        served += world.serve(start + 30s + i * 100ms) == "t0" ? 1 : 0;
    CHECK(served >= 5);
}

TEST_CASE("a pause outlasts the absence of the target's entry, and not the target's life")
{
    World world(2);
    world.pause(start, 0, 3s);
    world.dispatcher->setTargets(start + 1s, { world.targets[1] });
    world.dispatcher->setTargets(start + 2s, world.targets);
    CHECK_FALSE(world.dispatcher->maySend(start + 2s, world.targets[0].life()));
    world.targets[0].born = 5;
    world.dispatcher->setTargets(start + 2s, world.targets);
    CHECK(world.dispatcher->maySend(start + 2s, world.targets[0].life()));
}

TEST_CASE("a request is not sent to a target that leaves, pauses or has gone since it was placed")
{
    World world(3);
    world.pause(start, 0, 1s);
    world.targets[1].draining = true;
    world.dispatcher->setTargets(start, { world.targets[0], world.targets[1] });
    for (const Target& it : world.targets)
        CHECK_FALSE(world.dispatcher->maySend(start, it.life()));
}
