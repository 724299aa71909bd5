// Promises to callers when targets, connections and routers fail.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

Send posting(const std::string& session, std::uint64_t sequence)
{
    Send send;
    send.customer = "tellers";
    send.service = "posting";
    send.session = session;
    send.sequence = sequence;
    return send;
}

/// A pool of one target, so that a fault meets the request that it is meant for.
std::unique_ptr<FleetFake> oneTargetFleet(FleetFake::Options options = {})
{
    auto fleet = std::make_unique<FleetFake>(std::move(options));
    fleet->declareCustomer("tellers");
    fleet->declareTarget("worker-1", "model", 2);
    fleet->declareTarget("posting-1", "posting", 2);
    fleet->declareService("model", "model", true);
    fleet->declareService("posting", "posting", false);
    fleet->start();
    return fleet;
}

} // namespace

TEST_CASE("a reply is lost and the caller sends again through another router")
{
    // Symptom: interest is posted twice.
    // Sequence: the request runs; its reply is lost on the way to the caller; the caller sends it again elsewhere.
    // Cause: the second router cannot know of the first run; only the holder of the session does.
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    const RequestId first = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    const RequestId again = fleet->send(1, posting(session, 1));
    const RequestId third = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, first).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, again).body == onlyEnd(*fleet, first).body);
    REQUIRE(onlyEnd(*fleet, third).body == onlyEnd(*fleet, first).body);
    requireQuiet(*fleet);
}

TEST_CASE("a resend while the first send runs waits for its end")
{
    // Symptom: a caller that is too quick gets an error, or makes the request run twice.
    // Sequence: the same number comes twice again, through two routers, while it runs.
    // Cause: "begun" has to be remembered as well as "ended".
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    std::vector<RequestId> sends;
    for (const std::size_t router : { 0, 1, 2 }) {
        sends.push_back(fleet->send(router, posting(session, 7)));
        fleet->run(20ms);
    }
    fleet->run(1s);
    for (const RequestId& it : sends)
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}

TEST_CASE("the holder of a session crashes")
{
    // Symptom: a resend runs the request a second time on a router that never heard of it.
    // Sequence: the request runs, its router crashes before answering, and starts again; resends go everywhere.
    // Cause: nobody knows what became of it, and only "unknown" is true.
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    fleet->send(0, posting(session, 1));
    fleet->run(50ms);
    fleet->crash(0);
    const RequestId atOnce = fleet->send(1, posting(session, 1));
    fleet->run(5s);
    const RequestId later = fleet->send(1, posting(session, 1));
    const RequestId neverSent = fleet->send(2, posting(session, 2));
    fleet->restart(0);
    fleet->run(3s);
    const RequestId atNewLife = fleet->send(0, posting(session, 1));
    fleet->run(3s);
    for (const RequestId& it : { atOnce, later, neverSent, atNewLife }) {
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Unknown);
        REQUIRE(fleet->runsOf(it) == 0);
    }
    requireQuiet(*fleet);
}

TEST_CASE("the holder crashes while another router waits for its answer")
{
    // Symptom: the caller at the other router never gets an end.
    // Sequence: a request handed over to its holder runs there; the holder crashes.
    // Cause: the hand-over is a connection like any other and has to end with it.
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    const RequestId id = fleet->send(1, posting(session, 1));
    fleet->run(50ms);
    fleet->crash(0);
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Unknown);
    requireQuiet(*fleet);
}

TEST_CASE("the caller leaves")
{
    auto fleet = smallFleet();
    SECTION("a repeatable request is cancelled and its slot is free")
    {
        const RequestId id = fleet->send(0, { .customer = "tellers", .cost = 5s });
        fleet->run(100ms);
        fleet->callerLeaves(id);
        fleet->run(100ms);
        REQUIRE(fleet->target("worker-1").running + fleet->target("worker-2").running == 0);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("a request that may not be repeated runs on, and its answer is kept")
    {
        const std::string session = fleet->session(0);
        Send send = posting(session, 1);
        send.cost = 2s;
        const RequestId id = fleet->send(0, send);
        fleet->run(100ms);
        fleet->callerLeaves(id);
        fleet->run(3s);
        const RequestId again = fleet->send(1, send);
        fleet->run(100ms);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("one that still waits is withdrawn, and may run when it is sent again")
    {
        for (int n = 0; n < 8; ++n)
            fleet->send(0, { .customer = "tellers", .service = "posting", .cost = 300ms });
        const std::string session = fleet->session(0);
        const RequestId id = fleet->send(0, posting(session, 1));
        fleet->run(50ms);
        fleet->callerLeaves(id);
        fleet->run(50ms);
        const RequestId again = fleet->send(2, posting(session, 1));
        fleet->run(3s);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 0);
    }
    SECTION("one that a resend waits for runs all the same")
    {
        for (int n = 0; n < 8; ++n)
            fleet->send(0, { .customer = "tellers", .service = "posting", .cost = 300ms });
        const std::string session = fleet->session(0);
        const RequestId id = fleet->send(0, posting(session, 1));
        const RequestId again = fleet->send(2, posting(session, 1));
        fleet->run(50ms);
        fleet->callerLeaves(id);
        fleet->run(3s);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
    }
    requireQuiet(*fleet);
}

TEST_CASE("a target gives the answer of another request")
{
    // Symptom: a caller reads another customer's answer.
    // Sequence: a target answers with a foreign identity, once for a repeatable request and once for another.
    // Cause: a late answer of an earlier request came on a connection that was used again.
    auto fleet = oneTargetFleet();
    fleet->target("worker-1").faults = { Fault::Crossed };
    fleet->target("posting-1").faults = { Fault::Crossed };
    const RequestId repeatable = fleet->send(0, { "tellers" });
    const RequestId posted = fleet->send(0, { .customer = "tellers", .service = "posting" });
    fleet->run(3s);
    REQUIRE(onlyEnd(*fleet, repeatable).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, posted).outcome == Outcome::Unknown);
    requireQuiet(*fleet);
}

TEST_CASE("a target refuses connections")
{
    // Symptom: requests that could have run elsewhere are refused, or wait for ever because their only target is the
    // one to avoid.
    // Sequence: connections are refused once, for requests of both kinds; the pool has one target, or two.
    // Cause: what failed is remembered as a target to avoid, and nothing else is left.
    const bool one = GENERATE(true, false);
    auto fleet = one ? oneTargetFleet() : smallFleet();
    fleet->target("worker-1").faults = { Fault::Refuse, Fault::Refuse };
    fleet->target("posting-1").faults = { Fault::Refuse, Fault::Refuse };
    std::vector<RequestId> ids;
    for (int n = 0; n < 4; ++n) {
        ids.push_back(fleet->send(0, { "tellers" }));
        ids.push_back(fleet->send(1, { .customer = "tellers", .service = "posting" }));
    }
    fleet->run(6s);
    for (const RequestId& it : ids)
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}

TEST_CASE("a target runs a request and its reply is lost")
{
    // Symptom: a bid is confirmed twice, or its caller is told that it was not run.
    // Sequence: the application runs the call and the connection breaks before the answer.
    // Cause: a broken connection says nothing about what happened behind it.
    auto fleet = oneTargetFleet();
    fleet->target("posting-1").faults = { Fault::DropReply };
    const std::string session = fleet->session(0);
    const RequestId id = fleet->send(0, posting(session, 1));
    fleet->run(1s);
    const RequestId again = fleet->send(1, posting(session, 1));
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Unknown);
    REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Unknown);
    REQUIRE(fleet->target("posting-1").started == 1);
    requireQuiet(*fleet);
}

TEST_CASE("a streamed answer breaks")
{
    auto fleet = oneTargetFleet();
    Send streamed { .customer = "tellers", .cost = 400ms, .streamed = true };
    SECTION("and is taken up at its position")
    {
        fleet->target("worker-1").faults = { Fault::BreakStream };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(2s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 1);
        REQUIRE(fleet->record(id).positions == 400);
    }
    SECTION("and cannot be taken up: the end is explicit")
    {
        fleet->target("worker-1").faults = { Fault::BreakForGood };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(2s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Incomplete);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("because its target dies")
    {
        // Symptom: the caller gets the beginning of one answer and the end of another, or a request that may not be
        // repeated runs twice.
        // Sequence: the target dies in the middle of a stream; taking it up finds nobody at the address.
        // Cause: "nothing was sent" is true of the attempt to take it up, not of the request.
        fleet->declareTarget("worker-2", "model", 2);
        fleet->run(500ms);
        std::vector<RequestId> ids;
        for (int n = 0; n < 4; ++n) {
            streamed.repeatable = n % 2 == 0;
            ids.push_back(fleet->send(0, streamed));
        }
        fleet->run(150ms);
        fleet->killTarget("worker-1");
        fleet->killTarget("worker-2");
        fleet->run(100ms);
        fleet->reviveTarget("worker-1");
        fleet->reviveTarget("worker-2");
        fleet->run(10s);
        for (const RequestId& it : ids)
            REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Incomplete);
    }
    SECTION("before its first token, and may not be repeated")
    {
        streamed.repeatable = false;
        streamed.cost = 1ms;
        fleet->target("worker-1").faults = { Fault::BreakForGood };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(2s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Unknown);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("by falling silent")
    {
        fleet->target("worker-1").faults = { Fault::Hang };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(8s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    }
    requireQuiet(*fleet);
}

TEST_CASE("a request's deadline passes in the queue")
{
    auto fleet = oneTargetFleet();
    for (int n = 0; n < 3; ++n) // The slots, and the one that waits at the target.
        fleet->send(0, { .customer = "tellers", .cost = 2s });
    fleet->run(50ms);
    Send hurried { .customer = "tellers" };
    hurried.deadline = 500ms;
    std::vector<RequestId> ids;
    for (std::size_t router = 0; router < 3; ++router)
        ids.push_back(fleet->send(router, hurried));
    fleet->run(600ms);
    for (const RequestId& it : ids) {
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::NotRun);
        REQUIRE(onlyEnd(*fleet, it).kind == ErrorKind::DeadlineExceeded);
        REQUIRE(onlyEnd(*fleet, it).at - fleet->now() > -150ms);
    }
    requireQuiet(*fleet);
}

TEST_CASE("a dead pool gets no storm of retries")
{
    // Symptom: all targets of a pool are down, and the routers send each request three times.
    // Sequence: 200 requests come while nothing listens at the targets' addresses.
    // Cause: retries without a budget multiply the load just when a pool is weakest.
    auto fleet = smallFleet();
    for (const std::string target : { "worker-1", "worker-2" })
        fleet->killTarget(target);
    for (int n = 0; n < 200; ++n) {
        fleet->send(static_cast<std::size_t>(n) % 3, { "tellers" });
        fleet->run(20ms);
    }
    fleet->run(120s);
    const double budget = 200 + 3 * (0.1 * 67 + 10);
    REQUIRE(static_cast<double>(fleet->sendsInAll()) <= budget);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == 0);
    for (const std::string target : { "worker-1", "worker-2" })
        fleet->reviveTarget(target);
    requireQuiet(*fleet, 30s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) > 100);
}

TEST_CASE("a resend meets a router that has no configuration yet")
{
    // Symptom: a caller is told "not run" of a posting that ran.
    // Sequence: a posting ran; a router that restarted in an outage of the log gets the resend before it has any
    // configuration.
    // Cause: without the service nothing tells that it may not be repeated, and an unknown service was answered first.
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    fleet->send(0, posting(session, 1));
    fleet->run(1s);
    fleet->setLogReachable(1, false);
    fleet->crash(1);
    fleet->restart(1);
    const RequestId again = fleet->send(1, posting(session, 1));
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, again).outcome != Outcome::NotRun);
    requireQuiet(*fleet);
}

TEST_CASE("a pooled connection turns out to be dead")
{
    // Symptom: a repeatable request fails because of a connection that something between the two ends had forgotten.
    // Sequence: the target closed an idle connection; the next request is sent on it.
    // Cause: it can be told only by sending. Requests that may not be repeated never use such a connection.
    auto fleet = oneTargetFleet();
    fleet->target("worker-1").faults = { Fault::Stale };
    fleet->target("posting-1").faults = { Fault::Stale };
    const RequestId repeatable = fleet->send(0, { "tellers" });
    const RequestId posted = fleet->send(0, { .customer = "tellers", .service = "posting" });
    fleet->run(2s);
    REQUIRE(onlyEnd(*fleet, repeatable).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, posted).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}
