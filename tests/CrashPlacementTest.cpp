// Tests how the dispatcher detects targets that crash under a request, and refuses such requests (src/dispatch,
// src/quarantine).

#include <sagechute/Dispatch.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr quarantine::RequestKey crashing = 7;
constexpr quarantine::RequestKey innocent = 8;

/// One router with application targets that a test can crash.
struct TestRouter {
    TestRouter()
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
            targets.push_back(target(i, "app", 1));
        publish();
    }

    static Target target(unsigned i, const std::string& service, std::int64_t startedAtMs)
    {
        return { { "t" + std::to_string(i) }, { service }, "10.0.0." + std::to_string(i) + ":1", { "a" }, 6, false,
            startedAtMs };
    }

    void publish() { dispatcher->setTargets(now, targets); }

    Decision place(quarantine::RequestKey key)
    {
        now += 2s;
        return dispatcher->place(now,
            { { "c" }, { "app" }, &table->config().routes.front(), {}, 0, now, now + 6s, {}, key }, AttemptKind::First);
    }

    /// Places a request and reports its attempt as broken.
    /// @return the target.
    Target breakAttempt(quarantine::RequestKey key)
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

    /// @return the entry of the target in the list.
    Target& listed(const Target& target)
    {
        return *std::find_if(targets.begin(), targets.end(), [&](const Target& it) { return it.id == target.id; });
    }

    std::size_t crashCount() { return dispatcher->crashes().cases().size(); }

    TimePoint now { 100s };
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<Dispatcher> dispatcher = Dispatcher::make({}, { "a" }, 7);
    std::vector<Target> targets;
};

} // namespace

TEST_CASE("a request under which three targets crashed is refused, and others are not")
{
    TestRouter router;
    for (int i = 0; i < 3; ++i) {
        const Target ended = router.breakAttempt(crashing);
        router.answerChecks(quarantine::CheckResult::Refused);
        router.listed(ended).startedAtMs += 1;
        router.publish();
    }
    const Decision decision = router.place(crashing);
    REQUIRE(std::holds_alternative<Refusal>(decision));
    CHECK(std::get<Refusal>(decision).reason == RefusalReason::Quarantined);
    CHECK(std::get<Refusal>(decision).retryAfter > 1min);
    CHECK(std::holds_alternative<Placement>(router.place(innocent)));
}

TEST_CASE("load reports tell other routers which requests crash targets")
{
    TestRouter router;
    TestRouter other;
    for (int i = 0; i < 3; ++i) {
        router.breakAttempt(crashing);
        router.answerChecks(quarantine::CheckResult::Refused);
    }
    const absl::StatusOr<LoadReport> report = decodeLoadReport(encode(router.dispatcher->report(router.now)));
    REQUIRE(report.ok());
    other.dispatcher->peerReported(other.now, { "peer" }, *report);
    CHECK(std::holds_alternative<Refusal>(other.place(crashing)));
}

TEST_CASE("a target whose entry disappears has crashed unless it was draining")
{
    TestRouter router;
    const bool isDraining = GENERATE(false, true);
    const Placement placement = std::get<Placement>(router.place(crashing));
    router.listed(placement.target).draining = isDraining;
    router.publish();
    router.dispatcher->ended(router.now, placement.attempt, AttemptEnd::Broken);
    std::erase_if(router.targets, [&](const Target& it) { return it.id == placement.target.id; });
    router.publish();
    CHECK(router.crashCount() == (isDraining ? 0 : 1));
}

TEST_CASE("a new incarnation at a target's address proves its crash, a target of another service there does not")
{
    TestRouter router;
    const std::string service = GENERATE("app", "other");
    const Target ended = router.breakAttempt(crashing);
    router.answerChecks(quarantine::CheckResult::Accepted);
    Target next = TestRouter::target(9, service, 2);
    next.address = ended.address;
    router.targets.push_back(next);
    router.publish();
    CHECK(router.crashCount() == (service == "app" ? 1 : 0));
}

TEST_CASE("an unchanged target list does not count as a crash")
{
    TestRouter router;
    router.breakAttempt(innocent);
    router.publish();
    router.publish();
    CHECK(router.crashCount() == 0);
}

// Guards against callers of equal requests that are all refused because three sound targets paused.
TEST_CASE("a request is not refused once targets that were silent under it are heard from")
{
    TestRouter router;
    std::map<TargetId, AttemptId> others;
    for (std::size_t i = 0; i < router.targets.size(); ++i) {
        const Placement placement = std::get<Placement>(router.place(innocent));
        others[placement.target.id] = placement.attempt;
    }
    REQUIRE(others.size() == router.targets.size());
    std::map<TargetId, AttemptId> silent;
    for (unsigned i = 0; i < quarantine::quarantineThreshold; ++i) {
        const Placement placement = std::get<Placement>(router.place(crashing));
        silent[placement.target.id] = placement.attempt;
    }
    REQUIRE(silent.size() == quarantine::quarantineThreshold);
    for (const auto& [target, attempt] : silent)
        router.dispatcher->ended(router.now, attempt, AttemptEnd::Silent);
    REQUIRE(std::holds_alternative<Refusal>(router.place(crashing)));

    const auto isHeard = GENERATE(true, false);
    const auto end = isHeard ? GENERATE(AttemptEnd::Answered, AttemptEnd::Failed, AttemptEnd::NotRun)
                             : GENERATE(AttemptEnd::WrongTarget, AttemptEnd::Unreachable, AttemptEnd::CallerGone);
    const bool isOnlyFirstAnswer = isHeard && GENERATE(true, false);
    for (const auto& [target, attempt] : silent) {
        if (isOnlyFirstAnswer)
            router.dispatcher->firstAnswer(router.now, others.at(target));
        else
            router.dispatcher->ended(router.now, others.at(target), end);
    }
    CHECK(std::holds_alternative<Placement>(router.place(crashing)) == isHeard);
}

TEST_CASE("a load report from a release without crash detection is decoded")
{
    LoadReport report;
    report.serial = 5;
    std::string bytes = encode(report);
    constexpr char sevenRows = '\x97';
    constexpr char sixRows = '\x96';
    constexpr char fiveRows = '\x95';
    REQUIRE(bytes.front() == sevenRows);
    bytes.pop_back();
    bytes.front() = sixRows; // Without detection of crashing parts.
    REQUIRE(decodeLoadReport(bytes).ok());
    bytes.pop_back();
    bytes.front() = fiveRows;
    const absl::StatusOr<LoadReport> read = decodeLoadReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->serial == 5);
}
