// Tests of the dispatcher while availability zones are evacuated.

#include <sagechute/Dispatch.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const ZoneId evacuated { "a" };

/// A router in zone a, with three targets there and one in zone b. Only the latter is left by an evacuation of zone a,
/// although the others are nearer and idle.
struct TwoZones {
    TwoZones()
    {
        FleetConfig config;
        config.version = 1;
        config.services = { { { "app" }, 100, std::nullopt } };
        Route route;
        route.timeout = 6s;
        config.routes = { route };
        table = RoutingTable::make(config);
        for (const char* zone : { "a", "a", "a", "b" })
            targets.push_back(
                { { "t" + std::to_string(targets.size()) }, { "app" }, "127.0.0.1:1", { zone }, 8, false });
        DispatchSettings settings;
        settings.retryRatio = 1e6; // Unlimited; the retry budget has its own tests.
        dispatcher = Dispatcher::make(settings, evacuated, 7);
        dispatcher->setConfig(table);
        dispatcher->setTargets(start, targets);
    }

    Decision place(TimePoint now, AttemptKind kind = AttemptKind::First, Progress progress = Progress::NotRun,
        const std::set<TargetIncarnation>& tried = {})
    {
        return dispatcher->place(now,
            { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s, tried, 0, progress }, kind);
    }

    std::shared_ptr<const RoutingTable> table;
    std::vector<Target> targets;
    std::unique_ptr<Dispatcher> dispatcher;
};

ZoneId zoneOf(const Decision& decision) { return std::get<Placement>(decision).target.zone; }
const Refusal& refusalOf(const Decision& decision) { return std::get<Refusal>(decision); }

} // namespace

// Guards against a request that waits for a connection and is sent to a zone evacuated meanwhile.
TEST_CASE("a request that was placed before its target's zone was evacuated may not be sent and is placed elsewhere")
{
    TwoZones world;
    const Decision first = world.place(start);
    REQUIRE(zoneOf(first) == evacuated);
    const TargetIncarnation target = std::get<Placement>(first).target.incarnation();
    CHECK(world.dispatcher->maySend(start, target));
    world.dispatcher->setEvacuatedZones(start + 1ms, { evacuated });
    CHECK_FALSE(world.dispatcher->maySend(start + 1ms, target));
    world.dispatcher->ended(start + 1ms, std::get<Placement>(first).attempt, AttemptEnd::Withdrawn);
    CHECK(zoneOf(world.place(start + 1ms, AttemptKind::RetryUnsent, Progress::NotRun, { target })) == ZoneId { "b" });
    world.dispatcher->setEvacuatedZones(start + 1s, {});
    CHECK(world.dispatcher->maySend(start + 1s, target));
    CHECK(zoneOf(world.place(start + 1s)) == evacuated);
}

// Guards against later attempts of a request, which also consider targets that were tried or are avoided, going to an
// evacuated zone.
TEST_CASE("retries, hedges, resumed streams and probes avoid evacuated zones")
{
    TwoZones world;
    const Decision failing = world.place(start);
    world.dispatcher->ended(start, std::get<Placement>(failing).attempt, AttemptEnd::Unreachable);
    world.dispatcher->backOff(start, world.targets[1].incarnation(), 10ms);
    world.dispatcher->setEvacuatedZones(start, { evacuated });
    const std::set<TargetIncarnation> tried { world.targets[3].incarnation() };
    for (int i = 0; i < 50; ++i) {
        const TimePoint now = start + 100ms * i;
        CHECK(zoneOf(world.place(now)) == ZoneId { "b" });
        CHECK(zoneOf(world.place(now, AttemptKind::RetryUnsent, Progress::NotRun, tried)) == ZoneId { "b" });
        CHECK(zoneOf(world.place(now, AttemptKind::RetryAfterSend, Progress::MayHaveRun, tried)) == ZoneId { "b" });
        CHECK(zoneOf(world.place(now, AttemptKind::RetryAfterSend, Progress::Begun, tried)) == ZoneId { "b" });
        // The only target left has been tried, and a hedge there is no better than waiting.
        CHECK(std::holds_alternative<Refusal>(world.place(now, AttemptKind::Hedge, Progress::MayHaveRun, tried)));
    }
}

// Guards against callers that wait, or are told to retry when a target's pause ends, although no target may be used.
TEST_CASE("if all targets of a service are evacuated, a request is refused at once with a reason of its own")
{
    TwoZones world;
    world.dispatcher->setEvacuatedZones(start, { evacuated, { "b" }, { "zone-without-targets" } });
    for (const Target& it : world.targets)
        world.dispatcher->backOff(start, it.incarnation(), 1h);
    const Decision decision = world.place(start);
    CHECK(refusalOf(decision).reason == RefusalReason::Evacuated);
    CHECK(refusalOf(decision).retryAfter > 0s);
    CHECK(refusalOf(decision).retryAfter <= 3s);
    CHECK(world.dispatcher->giveUp(start, { "app" }).reason == RefusalReason::Evacuated);
    CHECK(toString(RefusalReason::Evacuated) == "evacuated");
    CHECK(world.dispatcher->giveUp(start, { "other" }).reason == RefusalReason::NoTarget);
    SECTION("a target that drains doesn't count")
    {
        world.targets[3].draining = true;
        world.dispatcher->setTargets(start, world.targets);
        world.dispatcher->setEvacuatedZones(start, { evacuated });
        CHECK(world.dispatcher->giveUp(start, { "app" }).reason == RefusalReason::Evacuated);
    }
    SECTION("the pauses of evacuated targets don't matter for the retry time")
    {
        world.dispatcher->backOff(start, world.targets[0].incarnation(), 1s);
        world.dispatcher->setTargets(start + 1min, world.targets);
        world.dispatcher->setEvacuatedZones(start, { evacuated });
        world.dispatcher->backOff(start + 1min, world.targets[3].incarnation(), 9s);
        const Refusal refusal = world.dispatcher->giveUp(start + 1min, { "app" });
        CHECK(refusal.reason == RefusalReason::Backoff);
        CHECK(refusal.retryAfter >= 9s);
    }
}
