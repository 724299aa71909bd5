// Delivery guarantees when targets, connections and routers fail.

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

/// A pool with a single target, so that a fault hits the intended request.
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

TEST_CASE("a resend after a lost reply is answered through another router")
{
    // Guards against a request running twice: it runs, its reply to the caller is lost, and the caller resends through
    // another router. That router cannot know of the first run; only the holder of the session does.
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
    requireQuiescent(*fleet);
}

TEST_CASE("a resend waits while the first send is running")
{
    // Guards against an error or a second run when the same sequence number arrives twice more, through other routers,
    // while the request runs. Started requests have to be remembered as well as completed ones.
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
    requireQuiescent(*fleet);
}

TEST_CASE("the holder of a session crashes")
{
    // Guards against a resend running again on a router that never heard of the first send. The holder crashes before
    // it answers and restarts, so the outcome is lost and only "unknown" is a correct answer.
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
    requireQuiescent(*fleet);
}

TEST_CASE("the holder crashes while another router waits for its answer")
{
    // Guards against a caller that never gets an end: a forwarded request runs at the holder of its session, and the
    // holder crashes. The forwarding has to end with the connection.
    auto fleet = smallFleet();
    const std::string session = fleet->session(0);
    const RequestId id = fleet->send(1, posting(session, 1));
    fleet->run(50ms);
    fleet->crash(0);
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Unknown);
    requireQuiescent(*fleet);
}

TEST_CASE("the caller disconnects")
{
    auto fleet = smallFleet();
    SECTION("a repeatable request is cancelled and its slot is free")
    {
        const RequestId id = fleet->send(0, { .customer = "tellers", .cost = 5s });
        fleet->run(100ms);
        fleet->disconnectCaller(id);
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
        fleet->disconnectCaller(id);
        fleet->run(3s);
        const RequestId again = fleet->send(1, send);
        fleet->run(100ms);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("a waiting request is withdrawn, and may run when it is sent again")
    {
        for (int n = 0; n < 8; ++n)
            fleet->send(0, { .customer = "tellers", .service = "posting", .cost = 300ms });
        const std::string session = fleet->session(0);
        const RequestId id = fleet->send(0, posting(session, 1));
        fleet->run(50ms);
        fleet->disconnectCaller(id);
        fleet->run(50ms);
        const RequestId again = fleet->send(2, posting(session, 1));
        fleet->run(3s);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 0);
    }
    SECTION("a request that a resend waits for still runs")
    {
        for (int n = 0; n < 8; ++n)
            fleet->send(0, { .customer = "tellers", .service = "posting", .cost = 300ms });
        const std::string session = fleet->session(0);
        const RequestId id = fleet->send(0, posting(session, 1));
        const RequestId again = fleet->send(2, posting(session, 1));
        fleet->run(50ms);
        fleet->disconnectCaller(id);
        fleet->run(3s);
        REQUIRE(onlyEnd(*fleet, again).outcome == Outcome::Completed);
    }
    requireQuiescent(*fleet);
}

TEST_CASE("a target returns the answer of another request")
{
    // Guards against a caller reading another customer's answer. A late answer to an earlier request arrives on a
    // reused connection, once for a repeatable request and once for one that may not be repeated.
    auto fleet = oneTargetFleet();
    fleet->target("worker-1").faults = { Fault::Crossed };
    fleet->target("posting-1").faults = { Fault::Crossed };
    const RequestId repeatable = fleet->send(0, { "tellers" });
    const RequestId posted = fleet->send(0, { .customer = "tellers", .service = "posting" });
    fleet->run(3s);
    REQUIRE(onlyEnd(*fleet, repeatable).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, posted).outcome == Outcome::Unknown);
    requireQuiescent(*fleet);
}

TEST_CASE("a target refuses connections")
{
    // Guards against refusing requests that could run elsewhere, and against waiting forever because the pool's only
    // target is on the request's list of targets to avoid. Connections are refused for both kinds of requests, with one
    // target and with two.
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
    requireQuiescent(*fleet);
}

TEST_CASE("a target runs a request and its reply is lost")
{
    // Guards against running a call twice or reporting it as not run when the application runs it and the connection
    // breaks before the answer. A broken connection does not tell whether the call has run.
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
    requireQuiescent(*fleet);
}

TEST_CASE("a streamed answer breaks")
{
    auto fleet = oneTargetFleet();
    Send streamed { .customer = "tellers", .cost = 400ms, .streamed = true };
    SECTION("and is resumed at its position")
    {
        fleet->target("worker-1").faults = { Fault::BreakStream };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(2s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
        REQUIRE(fleet->runsOf(id) == 1);
        REQUIRE(fleet->record(id).positions == 400);
    }
    SECTION("and cannot be resumed: it ends as incomplete")
    {
        fleet->target("worker-1").faults = { Fault::BreakForGood };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(2s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Incomplete);
        REQUIRE(fleet->runsOf(id) == 1);
    }
    SECTION("because its target dies")
    {
        // Guards against splicing two answers and against running a request twice that may not be repeated. The target
        // dies during a stream and the resume attempt cannot connect: "nothing was sent" holds for the resume attempt,
        // not for the request.
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
    SECTION("by stalling")
    {
        fleet->target("worker-1").faults = { Fault::Hang };
        const RequestId id = fleet->send(0, streamed);
        fleet->run(8s);
        REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    }
    requireQuiescent(*fleet);
}

// Guards against a stream that is lost because its service allows less silence than a sound engine needs at times.
TEST_CASE("a short pause of a target costs no stream, however short its service's limit on silence")
{
    auto fleet = oneTargetFleet();
    fleet->declareService("model", "model", true, 10ms);
    fleet->run(1s);
    fleet->target("worker-1").faults = { Fault::Pause };
    Send streamed { .customer = "tellers", .streamed = true };
    streamed.repeatable = GENERATE(false, true);
    const RequestId id = fleet->send(0, streamed);
    fleet->run(5s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    REQUIRE(fleet->runsOf(id) == 1);
    requireQuiescent(*fleet);
}

// Guards against a run that is cancelled for its silence before it is known that the request may run elsewhere.
TEST_CASE("a silent stream that may not be retried goes on where it runs")
{
    auto fleet = oneTargetFleet();
    fleet->target("worker-1").faults.assign(40, Fault::Reject);
    for (int n = 0; n < 12; ++n) {
        fleet->send(0, { "tellers" });
        fleet->run(20s);
    }
    REQUIRE(countEnds(*fleet, Outcome::Unknown) > 0); // The retry budget is spent.
    fleet->target("worker-1").faults = { Fault::Pause };
    fleet->target("worker-1").pause = 6s;
    const RequestId id = fleet->send(0, { .customer = "tellers", .streamed = true });
    fleet->run(20s);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    REQUIRE(fleet->runsOf(id) == 1);
    requireQuiescent(*fleet);
}

TEST_CASE("a request's deadline expires in the queue")
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
    requireQuiescent(*fleet);
}

TEST_CASE("retries to an unreachable pool stay within the budget")
{
    // Guards against retries multiplying the load on a failed pool: without a budget each request would be sent three
    // times. 200 requests arrive while nothing listens at the targets' addresses.
    auto fleet = smallFleet();
    for (const std::string target : { "worker-1", "worker-2" })
        fleet->killTarget(target);
    for (int n = 0; n < 200; ++n) {
        fleet->send(static_cast<std::size_t>(n) % 3, { "tellers" });
        fleet->run(20ms);
    }
    fleet->run(120s);
    const double budget = 200 + 3 * (0.1 * 67 + 10);
    REQUIRE(static_cast<double>(fleet->totalAttempts()) <= budget);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == 0);
    for (const std::string target : { "worker-1", "worker-2" })
        fleet->reviveTarget(target);
    requireQuiescent(*fleet, 30s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) > 100);
}

TEST_CASE("a resend meets a router that has no configuration yet")
{
    // Guards against a false "not run" for a request that ran. A router restarts during an outage of the log and gets
    // the resend before it has any configuration: it cannot look up whether the service is repeatable, and must not
    // answer "unknown service" first.
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
    requireQuiescent(*fleet);
}

TEST_CASE("a pooled connection turns out to be closed")
{
    // Guards against a repeatable request failing because the other end has closed an idle pooled connection, which is
    // detected only by sending. Requests that may not be repeated never use a pooled connection.
    auto fleet = oneTargetFleet();
    fleet->target("worker-1").faults = { Fault::Stale };
    fleet->target("posting-1").faults = { Fault::Stale };
    const RequestId repeatable = fleet->send(0, { "tellers" });
    const RequestId posted = fleet->send(0, { .customer = "tellers", .service = "posting" });
    fleet->run(2s);
    REQUIRE(onlyEnd(*fleet, repeatable).outcome == Outcome::Completed);
    REQUIRE(onlyEnd(*fleet, posted).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
}
