// Tests which application gets requests after another one has broken off an answer (src/dispatch).

#include <sagechute/Dispatch.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
constexpr unsigned seeds = 100;
constexpr unsigned slots = 6;
constexpr unsigned maxPlacements = 100;

/// One router before two applications that report their load.
struct TestRouter {
    explicit TestRouter(std::uint64_t seed)
    {
        FleetConfig config;
        config.version = 1;
        config.services = { { { "app" }, 100, std::nullopt } };
        Route route;
        route.kind = RequestKind::Idempotent;
        route.timeout = 6s;
        route.goal = 300ms;
        config.routes = { route };
        table = RoutingTable::make(config);
        targets = { { { "t0" }, { "app" }, "127.0.0.1:1", { "a" }, slots, false },
            { { "t1" }, { "app" }, "127.0.0.1:2", { "a" }, slots, false } };
        dispatcher = Dispatcher::make(DispatchSettings {}, { "a" }, seed);
        dispatcher->setConfig(table);
        dispatcher->setTargets(start, targets);
        for (const Target& it : targets)
            dispatcher->observeLoad(start, it.incarnation(), { 0, 0, slots, {} });
    }

    Placement place(TimePoint now)
    {
        const PlacementRequest request { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s,
            {} };
        const Decision decision = dispatcher->place(now, request, AttemptKind::First);
        REQUIRE(std::holds_alternative<Placement>(decision));
        return std::get<Placement>(decision);
    }

    /// Places requests until one goes to the second application, and ends that one as @p end, the others as answered.
    void endOneAtSecond(AttemptEnd end)
    {
        for (unsigned i = 0; i < maxPlacements; ++i) {
            const Placement placement = place(start);
            const bool isThere = placement.target.id.value == "t1";
            dispatcher->ended(start, placement.attempt, isThere ? end : AttemptEnd::Answered);
            if (isThere)
                return;
        }
        FAIL("the second application gets no request");
    }

    std::shared_ptr<const RoutingTable> table;
    std::vector<Target> targets;
    std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

// Guards against a second request in a row to an application that breaks its answers off, which the retry budget of a
// quiet router can't repair.
TEST_CASE("an application that broke off an answer gets no request while another one has room")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TestRouter router(seed);
        router.endOneAtSecond(AttemptEnd::Broken);
        router.dispatcher->observeLoad(start + 10ms, router.targets[0].incarnation(), { 0, 0, slots, {} });
        CAPTURE(seed);
        for (unsigned i = 0; i < slots; ++i)
            CHECK(router.place(start + 10ms).target.id.value == "t0");
    }
}

// Guards against an application that is never used again after one broken answer.
TEST_CASE("an application that broke off an answer is used again after a while")
{
    unsigned used = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TestRouter router(seed);
        router.endOneAtSecond(AttemptEnd::Broken);
        used += router.place(start + 1s).target.id.value == "t1" ? 1 : 0;
    }
    CHECK(used > seeds / 10);
}

// Guards against requests that wait for a full application while one that broke off an answer is idle.
TEST_CASE("an application that broke off an answer is used if the other one is full")
{
    unsigned used = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TestRouter router(seed);
        router.endOneAtSecond(AttemptEnd::Broken);
        router.dispatcher->observeLoad(start + 1ms, router.targets[0].incarnation(), { slots, slots, slots, {} });
        used += router.place(start + 1ms).target.id.value == "t1" ? 1 : 0;
    }
    CHECK(used > seeds / 2);
}

// Guards against an application being left alone for failures that it reports itself.
TEST_CASE("an application that reports failures is not taken for one that breaks answers off")
{
    unsigned used = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TestRouter router(seed);
        router.endOneAtSecond(AttemptEnd::Failed);
        used += router.place(start + 10ms).target.id.value == "t1" ? 1 : 0;
    }
    CHECK(used > seeds / 10);
}
