// Planned stops: no caller is cut off, and remembered outcomes are kept.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

Send posting(const std::string& session, std::uint64_t sequence, Duration cost = 100ms)
{
    Send send;
    send.customer = "tellers";
    send.service = "posting";
    send.cost = cost;
    send.session = session;
    send.sequence = sequence;
    return send;
}

/// Longer than callers cache a /v1/locate answer.
constexpr Duration stopTime = 12s;

} // namespace

TEST_CASE("a planned stop under load")
{
    // Guards against cutting off callers of a stopping router and against a stop that never ends. The owner of the
    // cells is stopped while its own and other routers' requests wait and run, and callers with a cached /v1/locate
    // answer still arrive for five seconds.
    auto fleet = oneCellFleet();
    const std::size_t leaving = fleet->ownerOf("model");
    const std::size_t other = routerOtherThan(*fleet, { leaving });
    for (int n = 0; n < 60; ++n) {
        fleet->send(leaving, { "tellers" });
        fleet->send(other, { "batch" });
    }
    const RequestId slow = fleet->send(leaving, { .customer = "tellers", .cost = 9s, .streamed = true });
    fleet->run(300ms);
    fleet->stop(leaving);
    std::vector<RequestId> late;
    for (int n = 0; n < 50; ++n) {
        late.push_back(fleet->send(leaving, { "tellers" }));
        fleet->run(100ms);
    }
    REQUIRE(fleet->ownerOf("model") != leaving);
    fleet->run(stopTime);
    REQUIRE(fleet->exited(leaving));
    for (const RequestId& it : late)
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, slow).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("remembered outcomes survive a planned stop")
{
    // Guards against answering "unknown" for a request that succeeded and whose reply was lost shortly before a
    // release. The router of the session stops as planned, then its successor does too, and the resend arrives after
    // that; the remembered outcome must not end with the process.
    auto fleet = smallFleet({ .routers = 5 });
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    std::size_t stopped = 0;
    for (int generation = 0; generation < 2; ++generation) {
        fleet->stop(stopped);
        fleet->run(stopTime);
        REQUIRE(fleet->exited(stopped));
        const std::size_t asked = routerOtherThan(*fleet, { 0, stopped });
        const RequestId again = fleet->send(asked, posting(session, 1));
        const RequestId never = fleet->send(asked, posting(session, 2));
        fleet->run(1s);
        REQUIRE(onlyEnd(*fleet, again).body == onlyEnd(*fleet, first).body);
        REQUIRE(onlyEnd(*fleet, never).outcome == Outcome::NotRun);
        REQUIRE(onlyEnd(*fleet, never).kind == ErrorKind::Internal); // Forwarded, so the error kind is in the answer.
        for (std::size_t n = 1; n < 5 && generation == 0; ++n) {
            if (fleet->status(n).outcomeEntries)
                stopped = n;
        }
    }
    requireQuiescent(*fleet);
}

TEST_CASE("a successor does not confirm the handover")
{
    // Guards against a stopping router that waits forever or exits with the only copy of its outcome memory. The
    // streams to one candidate successor are cut shortly before the handover, so that it cannot confirm.
    auto fleet = smallFleet({ .routers = 4 });
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    fleet->stop(0);
    fleet->run(6800ms);
    std::vector<std::size_t> all { 1, 2, 3 };
    const std::size_t lost = GENERATE(1, 2, 3);
    fleet->cutStreams(0, lost);
    fleet->run(8s);
    REQUIRE(fleet->exited(0));
    std::size_t holders = 0;
    for (std::size_t n : all)
        holders += fleet->status(n).outcomeEntries > 0;
    REQUIRE(holders >= 1);
    const RequestId again = fleet->send(lost, posting(session, 1));
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, again).body == onlyEnd(*fleet, first).body);
    requireQuiescent(*fleet);
}

TEST_CASE("a stop waits for non-repeatable requests, and a resend during the stop is answered")
{
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1, 10s));
    fleet->run(100ms);
    fleet->disconnectCaller(first);
    fleet->stop(0);
    fleet->run(8s);
    REQUIRE_FALSE(fleet->exited(0));
    const RequestId again = fleet->send(1, posting(session, 1, 10s));
    fleet->run(6s);
    REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
    REQUIRE(fleet->exited(0));
    requireQuiescent(*fleet);
}

TEST_CASE("all routers but one stop at once")
{
    auto fleet = smallFleet();
    for (int n = 0; n < 30; ++n)
        fleet->send(static_cast<std::size_t>(n) % 3, { "tellers" });
    fleet->run(100ms);
    fleet->stop(0);
    fleet->stop(1);
    fleet->run(20s);
    REQUIRE(fleet->exited(0));
    REQUIRE(fleet->exited(1));
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the last router stops")
{
    // Guards against the last router of a fleet that is shut down never exiting, or cutting off what it runs. It owns
    // no cells any more, no other router does, and there is no successor for its outcome memory.
    auto fleet = smallFleet({ .routers = 1 });
    const std::string session = fleet->session(0);
    fleet->send(0, posting(session, 1));
    for (int n = 0; n < 30; ++n)
        fleet->send(0, { "tellers" });
    fleet->run(50ms);
    fleet->stop(0);
    fleet->run(30s);
    REQUIRE(fleet->exited(0));
    requireNoViolations(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the only target dies during a stop")
{
    // Guards against a stop that lasts the full ten minutes because of requests that cannot run. Waiting requests count
    // as in flight. The pool's targets die, the router with waiting requests stops, and the targets come back later.
    auto fleet = smallFleet();
    fleet->killTarget("worker-1");
    fleet->killTarget("worker-2");
    for (int n = 0; n < 10; ++n)
        fleet->send(0, { "tellers" });
    fleet->stop(0);
    fleet->run(20s);
    fleet->reviveTarget("worker-1");
    fleet->reviveTarget("worker-2");
    fleet->run(20s);
    REQUIRE(fleet->exited(0));
    requireQuiescent(*fleet);
}

TEST_CASE("a request arrives on an open connection just before the exit")
{
    // Guards against an exit that waits for the handover only and cuts off a caller. The router no longer listens and
    // hands its outcome memory over; a request for another holder's session arrives on an open connection and is
    // forwarded to that holder.
    auto fleet = smallFleet();
    const std::string own = fleet->session(0);
    const std::string other = fleet->session(1);
    fleet->send(0, posting(own, 1));
    fleet->run(1s);
    fleet->stop(0);
    fleet->run(7s);
    for (std::uint64_t n = 1; n <= 20; ++n) {
        if (fleet->up(0))
            fleet->send(0, posting(other, n));
        fleet->run(1ms);
    }
    fleet->run(stopTime);
    REQUIRE(fleet->exited(0));
    requireQuiescent(*fleet);
}
