// Configuration that comes late, by another way, or not at all; and targets that leave meanwhile.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

/// Sends a little work through every router, so that no moment passes without new work.
void trickle(FleetFake& fleet, Duration length)
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

void leave(FleetFake& fleet) { fleet.declareTarget("worker-1", "model", 2, true); }

} // namespace

TEST_CASE("a target that leaves gets no new work after three seconds")
{
    // Symptom: a target is switched off with fresh requests on it.
    // Sequence: it is declared leaving while work keeps coming, and one thing goes wrong at the same time.
    // Cause: some router starts work by what it knew before.
    FleetFake::Options options;
    options.routers = 5;
    auto fleet = oneCellFleet(options);
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t other = otherThan(*fleet, { owner });
    trickle(*fleet, 500ms);
    SECTION("with everything well, it is a second")
    {
        leave(*fleet);
        trickle(*fleet, 5s);
        REQUIRE(fleet->target("worker-1").lastStartAfterLeaving <= 1s);
    }
    SECTION("the log is out of reach of one router")
    {
        fleet->setLogReachable(GENERATE(true, false) ? owner : other, false);
        leave(*fleet);
        trickle(*fleet, 8s);
    }
    SECTION("the log is slow for one router")
    {
        fleet->setLogDelay(GENERATE(true, false) ? owner : other, 10s);
        fleet->run(12s);
        leave(*fleet);
        trickle(*fleet, 8s);
    }
    SECTION("a router is paused and goes on")
    {
        const std::size_t paused = GENERATE(true, false) ? owner : other;
        const Duration length = GENERATE(800ms, 2900ms, 10000ms);
        fleet->pause(paused);
        leave(*fleet);
        trickle(*fleet, length);
        fleet->resume(paused);
        trickle(*fleet, 5s);
    }
    SECTION("a router is cut off from all at that moment")
    {
        const std::size_t cut = GENERATE(true, false) ? owner : other;
        fleet->isolate(cut);
        fleet->setLogReachable(cut, false);
        leave(*fleet);
        trickle(*fleet, 8s);
        fleet->isolate(cut, false);
        trickle(*fleet, 5s);
    }
    SECTION("a router loses the log and all streams, while datagrams pass")
    {
        const std::size_t cut = GENERATE(true, false) ? owner : other;
        fleet->setLogReachable(cut, false);
        for (std::size_t n = 0; n < fleet->routers(); ++n)
            fleet->cutStreams(cut, n);
        leave(*fleet);
        trickle(*fleet, 8s);
    }
    SECTION("grants for it are on their way to a router that is paused")
    {
        fleet->pause(other);
        trickle(*fleet, 200ms);
        leave(*fleet);
        fleet->run(6s);
        fleet->resume(other);
        trickle(*fleet, 2s);
    }
    SECTION("a router restarts in an outage of the log")
    {
        leave(*fleet);
        fleet->run(300ms);
        for (std::size_t n = 0; n < fleet->routers(); ++n)
            fleet->setLogReachable(n, false);
        fleet->crash(other);
        trickle(*fleet, 1s);
        fleet->restart(other);
        trickle(*fleet, 6s);
    }
    requireKept(*fleet);
}

TEST_CASE("configuration reaches a router through its peers")
{
    // Symptom: a change is in force everywhere but at one router, for as long as that one does not reach the log.
    // Sequence: a router loses the log; a new customer's service and targets are declared.
    // Cause: nobody passes configuration on.
    auto fleet = smallFleet();
    fleet->setLogReachable(1, false);
    fleet->declareTarget("worker-3", "drafts", 1);
    fleet->declareService("drafts", "drafts", true);
    fleet->run(3s);
    const RequestId id = fleet->send(1, { .customer = "tellers", .service = "drafts" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}

TEST_CASE("the fleet goes on while nobody reaches the log")
{
    // Symptom: an outage of the log stops all service.
    // Sequence: the log is down for all; work goes on for a minute; one router restarts in it without memory.
    // Cause: being out of reach of the log was taken for being cut off.
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
    requireQuiet(*fleet);
}

TEST_CASE("a router that reaches neither log nor peers when it starts takes nothing")
{
    // Symptom: a router that knows no service says "there is no such service", and the caller gives up.
    // Sequence: a router starts alone, without log and peers.
    // Cause: without configuration nothing can be said about services.
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

TEST_CASE("a router that was paused for a moment does not turn its callers away")
{
    // Symptom: each hiccup of a VM makes it refuse all that waits there.
    // Sequence: a router with waiting requests stands still for 1.5 s; log and peers are well.
    // Cause: after a pause it has to hear of the log again first, which takes a moment.
    auto fleet = smallFleet();
    for (int n = 0; n < 100; ++n)
        fleet->send(0, { "tellers" });
    fleet->run(200ms);
    fleet->pause(0);
    fleet->run(1500ms);
    fleet->resume(0);
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}
