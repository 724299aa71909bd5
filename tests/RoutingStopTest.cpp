// Planned stops: they cut off nothing, and what was remembered lives on.

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

/// Longer than callers keep an answer to "which address".
constexpr Duration stopTime = 12s;

} // namespace

TEST_CASE("a planned stop under load")
{
    // Symptom: callers of a router that is replaced are cut off, or the process never ends.
    // Sequence: the owner of the cells is stopped with work of its own and of others waiting and running; callers with
    // an old answer to "which address" still come for five seconds.
    // Cause: a stop has to be told before it is done, and ends only when nothing is left.
    auto fleet = oneCellFleet();
    const std::size_t leaving = fleet->ownerOf("model");
    const std::size_t other = otherThan(*fleet, { leaving });
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
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the memory of outcomes outlives a planned stop")
{
    // Symptom: a caller whose reply was lost shortly before a release gets "unknown" for a posting that went well.
    // Sequence: a posting ends, its router stops as planned, and so does the one that took over; then the resend comes.
    // Cause: what the session's holder remembered ended with its process.
    auto fleet = smallFleet({ .routers = 5 });
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    std::size_t stopped = 0;
    for (int generation = 0; generation < 2; ++generation) {
        fleet->stop(stopped);
        fleet->run(stopTime);
        REQUIRE(fleet->exited(stopped));
        const std::size_t asked = otherThan(*fleet, { 0, stopped });
        const RequestId again = fleet->send(asked, posting(session, 1));
        const RequestId never = fleet->send(asked, posting(session, 2));
        fleet->run(1s);
        REQUIRE(onlyEnd(*fleet, again).body == onlyEnd(*fleet, first).body);
        REQUIRE(onlyEnd(*fleet, never).outcome == Outcome::NotRun);
        REQUIRE(onlyEnd(*fleet, never).kind == ErrorKind::Internal); // Handed over, so the kind is in the answer.
        for (std::size_t n = 1; n < 5 && generation == 0; ++n) {
            if (fleet->status(n).outcomeEntries)
                stopped = n;
        }
    }
    requireQuiet(*fleet);
}

TEST_CASE("the successor crashes while it takes over")
{
    // Symptom: the stopping router waits for ever, or exits with the only copy of its memory.
    // Sequence: the first successor is paused when the parts are sent, and does not confirm.
    // Cause: a hand-over without confirmation is a hope.
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
    requireQuiet(*fleet);
}

TEST_CASE("a stop waits for what may not be repeated, and a resend during the stop is answered")
{
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1, 10s));
    fleet->run(100ms);
    fleet->callerLeaves(first);
    fleet->stop(0);
    fleet->run(8s);
    REQUIRE_FALSE(fleet->exited(0));
    const RequestId again = fleet->send(1, posting(session, 1, 10s));
    fleet->run(6s);
    REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
    REQUIRE(fleet->exited(0));
    requireQuiet(*fleet);
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
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the last router stops")
{
    // Symptom: the last router of a fleet that is taken down never exits, or cuts off what it runs.
    // Cause: it owns no cell any more, nobody else does, and there is no successor for its memory.
    auto fleet = smallFleet({ .routers = 1 });
    const std::string session = fleet->session(0);
    fleet->send(0, posting(session, 1));
    for (int n = 0; n < 30; ++n)
        fleet->send(0, { "tellers" });
    fleet->run(50ms);
    fleet->stop(0);
    fleet->run(30s);
    REQUIRE(fleet->exited(0));
    requireKept(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the only target dies during a stop")
{
    // Symptom: a stop takes ten minutes because of requests that can never run.
    // Sequence: the pool's targets die, and the router with waiting requests stops; they live again later.
    // Cause: waiting requests count as in flight.
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
    requireQuiet(*fleet);
}

TEST_CASE("a request comes on an open connection just before the exit")
{
    // Symptom: a caller is cut off by a planned stop.
    // Sequence: the router has stopped listening and hands its memory over; a request for another holder's session
    // comes on a connection that was open before, and is handed to that holder.
    // Cause: the exit waited for the memory only.
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
    requireQuiet(*fleet);
}
