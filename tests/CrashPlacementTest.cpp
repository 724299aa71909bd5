// What the dispatcher makes of targets that end under a request: src/dispatch, src/quarantine.

#include <sagechute/Dispatch.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr quarantine::RequestKey crashing = 7;
constexpr quarantine::RequestKey innocent = 8;

/// A router before applications that a test ends.
struct World {
    World()
    {
        FleetConfig config;
        config.services = { { { "app" }, 100, std::nullopt }, { { "other" }, 100, std::nullopt } };
        Route route;
        route.name = "route";
        route.timeout = 6s;
        config.routes = { route };
        table = RoutingTable::make(config);
        dispatcher->setConfig(table);
        for (unsigned i = 0; i < 5; ++i)
            list.push_back(target(i, "app", 1));
        publish();
    }

    static Target target(unsigned i, const std::string& service, std::int64_t born)
    {
        return { { "t" + std::to_string(i) }, { service }, "10.0.0." + std::to_string(i) + ":1", { "a" }, 6, false,
            born };
    }

    void publish() { dispatcher->setTargets(now, list); }

    Decision place(quarantine::RequestKey key)
    {
        now += 2s;
        return dispatcher->place(
            now, { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s, {}, key }, Round::First);
    }

    /// Sends a request, and breaks its attempt off.
    Target breakOff(quarantine::RequestKey key)
    {
        const Placement placement = std::get<Placement>(place(key));
        now += 10ms;
        dispatcher->ended(now, placement.attempt, AttemptEnd::Broken);
        return placement.target;
    }

    void answerChecks(quarantine::CheckResult result)
    {
        now += 1s;
        for (const auto& it : dispatcher->crashes().checksDue(now))
            dispatcher->crashes().checked(now, it, result);
    }

    /// The same target, by its place in the list.
    Target& listed(const Target& target)
    {
        return *std::find_if(list.begin(), list.end(), [&](const Target& it) { return it.id == target.id; });
    }

    std::size_t ends() { return dispatcher->crashes().cases().size(); }

    TimePoint now { 100s };
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<Dispatcher> dispatcher = Dispatcher::make({}, { "a" }, 7);
    std::vector<Target> list;
};

} // namespace

TEST_CASE("a request under which three targets ended is refused, and others are not")
{
    World world;
    for (int i = 0; i < 3; ++i) {
        const Target ended = world.breakOff(crashing);
        world.answerChecks(quarantine::CheckResult::Refused);
        world.listed(ended).born += 1;
        world.publish();
    }
    const Decision decision = world.place(crashing);
    REQUIRE(std::holds_alternative<Refusal>(decision));
    CHECK(std::get<Refusal>(decision).reason == RefusalReason::Quarantined);
    CHECK(std::get<Refusal>(decision).comeBack > 1min);
    CHECK(std::holds_alternative<Placement>(world.place(innocent)));
}

TEST_CASE("a router is told with a load report what targets ended under")
{
    World world;
    World other;
    for (int i = 0; i < 3; ++i) {
        world.breakOff(crashing);
        world.answerChecks(quarantine::CheckResult::Refused);
    }
    const absl::StatusOr<LoadReport> report = decodeLoadReport(encode(world.dispatcher->report(world.now)));
    REQUIRE(report.ok());
    other.dispatcher->peerReported(other.now, { "peer" }, *report);
    CHECK(std::holds_alternative<Refusal>(other.place(crashing)));
}

TEST_CASE("a target whose entry goes while it was not leaving has ended, one that was draining has not")
{
    World world;
    const bool isDraining = GENERATE(false, true);
    const Placement placement = std::get<Placement>(world.place(crashing));
    world.listed(placement.target).draining = isDraining;
    world.publish();
    world.dispatcher->ended(world.now, placement.attempt, AttemptEnd::Broken);
    std::erase_if(world.list, [&](const Target& it) { return it.id == placement.target.id; });
    world.publish();
    CHECK(world.ends() == (isDraining ? 0 : 1));
}

TEST_CASE("another life at a target's address shows its end, one of another service does not")
{
    World world;
    const std::string service = GENERATE("app", "other");
    const Target ended = world.breakOff(crashing);
    world.answerChecks(quarantine::CheckResult::Accepted);
    Target next = World::target(9, service, 2);
    next.address = ended.address;
    world.list.push_back(next);
    world.publish();
    CHECK(world.ends() == (service == "app" ? 1 : 0));
}

TEST_CASE("a list that says the same again ends no target")
{
    World world;
    world.breakOff(innocent);
    world.publish();
    world.publish();
    CHECK(world.ends() == 0);
}

TEST_CASE("a load report of a release that knows no crashes is read")
{
    LoadReport report;
    report.serial = 5;
    std::string bytes = encode(report);
    constexpr char sixRows = '\x96';
    constexpr char fiveRows = '\x95';
    REQUIRE(bytes.front() == sixRows);
    bytes.front() = fiveRows;
    bytes.pop_back();
    const absl::StatusOr<LoadReport> read = decodeLoadReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->serial == 5);
}
