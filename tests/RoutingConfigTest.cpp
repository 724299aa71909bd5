// Configuration that arrives late, through a peer, or not at all, including targets that leave meanwhile.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

/// Sends a few requests through every router, so that new work arrives continuously.
void sendSteadily(FleetFake& fleet, Duration length)
{
    constexpr Duration step = 50ms;
    for (Duration done {}; done < length; done += step) {
        for (std::size_t n = 0; n < fleet.routers(); ++n) {
            if (fleet.up(n))
                fleet.send(n, { .customer = n % 2 ? "batch" : "tellers", .cost = 60ms });
        }
        fleet.run(step);
    }
}

void markWorkerLeaving(FleetFake& fleet) { fleet.declareTarget("worker-1", "model", 2, true); }

} // namespace

TEST_CASE("a target that leaves gets no new work after three seconds")
{
    // Guards against new work at a target that is about to be switched off. The target is declared leaving while
    // requests keep arriving and one fault is present, so that some router may act on outdated configuration.
    FleetFake::Options options;
    options.routers = 5;
    auto fleet = oneCellFleet(options);
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t other = routerOtherThan(*fleet, { owner });
    sendSteadily(*fleet, 500ms);
    SECTION("within a second without faults")
    {
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, 5s);
        REQUIRE(fleet->target("worker-1").lastStartAfterLeaving <= 1s);
    }
    SECTION("one router cannot reach the log")
    {
        fleet->setLogReachable(GENERATE(true, false) ? owner : other, false);
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, 8s);
    }
    SECTION("the log is slow for one router")
    {
        fleet->setLogDelay(GENERATE(true, false) ? owner : other, 10s);
        fleet->run(12s);
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, 8s);
    }
    SECTION("a router is paused and resumes")
    {
        const std::size_t paused = GENERATE(true, false) ? owner : other;
        const Duration length = GENERATE(800ms, 2900ms, 10000ms);
        fleet->pause(paused);
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, length);
        fleet->resume(paused);
        sendSteadily(*fleet, 5s);
    }
    SECTION("a router is isolated at that moment")
    {
        const std::size_t cut = GENERATE(true, false) ? owner : other;
        fleet->isolate(cut);
        fleet->setLogReachable(cut, false);
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, 8s);
        fleet->isolate(cut, false);
        sendSteadily(*fleet, 5s);
    }
    SECTION("a router loses the log and all streams, while datagrams pass")
    {
        const std::size_t cut = GENERATE(true, false) ? owner : other;
        fleet->setLogReachable(cut, false);
        for (std::size_t n = 0; n < fleet->routers(); ++n)
            fleet->cutStreams(cut, n);
        markWorkerLeaving(*fleet);
        sendSteadily(*fleet, 8s);
    }
    SECTION("grants for it are in transit to a paused router")
    {
        fleet->pause(other);
        sendSteadily(*fleet, 200ms);
        markWorkerLeaving(*fleet);
        fleet->run(6s);
        fleet->resume(other);
        sendSteadily(*fleet, 2s);
    }
    SECTION("a router restarts during an outage of the log")
    {
        markWorkerLeaving(*fleet);
        fleet->run(300ms);
        for (std::size_t n = 0; n < fleet->routers(); ++n)
            fleet->setLogReachable(n, false);
        fleet->crash(other);
        sendSteadily(*fleet, 1s);
        fleet->restart(other);
        sendSteadily(*fleet, 6s);
    }
    requireNoViolations(*fleet);
}

TEST_CASE("configuration reaches a router through its peers")
{
    // Guards against a change that never reaches a router without access to the log: the router loses the log, and a
    // new service with a target is declared. Its peers have to pass the configuration on.
    auto fleet = smallFleet();
    fleet->setLogReachable(1, false);
    fleet->declareTarget("worker-3", "drafts", 1);
    fleet->declareService("drafts", "drafts", true);
    fleet->run(3s);
    const RequestId id = fleet->send(1, { .customer = "tellers", .service = "drafts" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
}

TEST_CASE("requests are served during a complete outage of the log")
{
    // Guards against an outage of the log stopping all service because it is mistaken for isolation. The log is down
    // for every router for half a minute, and one router restarts without state meanwhile.
    auto fleet = smallFleet();
    for (std::size_t n = 0; n < 3; ++n)
        fleet->setLogReachable(n, false);
    for (int n = 0; n < 30; ++n) {
        fleet->send(static_cast<std::size_t>(n) % 3, { "tellers" });
        fleet->run(1s);
    }
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
    fleet->crash(0);
    fleet->run(5s);
    fleet->restart(0);
    fleet->run(5s);
    REQUIRE(fleet->status(0).configOffset == fleet->status(1).configOffset);
    const RequestId id = fleet->send(0, { "tellers" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
}

TEST_CASE("a router that reaches neither log nor peers at startup refuses requests")
{
    // Guards against a wrong "there is no such service", after which the caller would give up. A router starts without
    // access to the log and its peers; without configuration it cannot tell which services exist.
    auto fleet = smallFleet();
    fleet->crash(2);
    fleet->isolate(2);
    fleet->setLogReachable(2, false);
    fleet->restart(2);
    fleet->run(5s);
    const RequestId id = fleet->send(2, { "tellers" });
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::NotRun);
    REQUIRE(onlyEnd(*fleet, id).kind == ErrorKind::CutOff);
}

TEST_CASE("a briefly paused router does not refuse its waiting requests")
{
    // Guards against a short pause of a VM causing refusals. A router with waiting requests is paused for 1.5 s while
    // log and peers are well; after the pause it needs a moment to hear from the log again.
    auto fleet = smallFleet();
    for (int n = 0; n < 100; ++n)
        fleet->send(0, { "tellers" });
    fleet->run(200ms);
    fleet->pause(0);
    fleet->run(1500ms);
    fleet->resume(0);
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}
