// Failures of routers and of the network between them.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

/// Sends a batch of requests through one router.
std::vector<RequestId> sendRequests(
    FleetFake& fleet, std::size_t router, int requests, const std::string& customer = "tellers")
{
    std::vector<RequestId> ids;
    ids.reserve(static_cast<std::size_t>(requests));
    for (int n = 0; n < requests; ++n)
        ids.push_back(fleet.send(router, { customer }));
    return ids;
}

} // namespace

TEST_CASE("a request is served through any router")
{
    auto fleet = smallFleet();
    std::vector<RequestId> ids;
    for (std::size_t n = 0; n < 3; ++n) {
        ids.push_back(fleet->send(n, { "tellers" }));
        ids.push_back(fleet->send(n, { .customer = "batch", .service = "posting" }));
    }
    requireQuiescent(*fleet);
    for (const RequestId& it : ids)
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Completed);
}

TEST_CASE("the owner of a cell crashes with work waiting and running")
{
    // Guards against requests waiting forever for a grant of a crashed owner, and against a new owner granting slots
    // that are still in use. The owner's queue is soft state: offers have to be sent again to the new owner, and
    // running requests reported to it. Most of the load arrives through another router, and the owner restarts later.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    sendRequests(*fleet, holder, 60);
    sendRequests(*fleet, owner, 4);
    fleet->run(150ms);
    fleet->crash(owner);
    fleet->run(8s);
    REQUIRE(fleet->ownerOf("model") != owner);
    fleet->restart(owner);
    fleet->run(2s);
    sendRequests(*fleet, owner, 10);
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) >= 70);
}

TEST_CASE("the fallback serves requests before the owner's crash is detected")
{
    // Guards against slots idling for seconds between an owner's crash and its detection by gossip. Until then nobody
    // but the fallback scheduler may grant.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    fleet->send(holder, { "tellers" });
    fleet->run(500ms);
    fleet->crash(owner);
    fleet->run(20ms);
    const RequestId id = fleet->send(holder, { "tellers" });
    fleet->run(400ms);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
}

TEST_CASE("an owner is paused for ten seconds and resumes")
{
    // Guards against late grants of a paused owner that run requests twice, and against new work for a target that left
    // during the pause. The process resumes after 10 s as if no time had passed.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    sendRequests(*fleet, holder, 300);
    sendRequests(*fleet, owner, 40, "batch");
    fleet->run(200ms);
    fleet->pause(owner);
    fleet->run(1s);
    fleet->declareTarget("worker-2", "model", 2, true);
    fleet->run(9s);
    fleet->resume(owner);
    fleet->run(100ms);
    sendRequests(*fleet, owner, 10, "batch");
    requireQuiescent(*fleet, 40s);
    REQUIRE(countEnds(*fleet, Outcome::NotRun) <= 50);
    REQUIRE(countEnds(*fleet, Outcome::Completed) >= 300);
}

TEST_CASE("an isolated router refuses requests with the correct outcome and rejoins after the partition")
{
    // Guards against an isolated router that keeps its callers waiting, works with outdated configuration, or still
    // refuses after the partition has ended. One of three routers loses the others and the log while its own requests
    // wait. It cannot learn of changes, so it must start nothing; it detects this only by the absence of contact.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    sendRequests(*fleet, owner, 400);
    fleet->run(300ms);
    fleet->isolate(owner);
    fleet->setLogReachable(owner, false);
    fleet->run(5s);
    const RequestId late = fleet->send(owner, { "tellers" });
    REQUIRE(onlyEnd(*fleet, late).outcome == Outcome::NotRun);
    REQUIRE(onlyEnd(*fleet, late).kind == ErrorKind::CutOff);
    REQUIRE(fleet->status(owner).pools.front().waitingHere == 0);
    const std::size_t other = routerOtherThan(*fleet, { owner });
    const RequestId elsewhere = fleet->send(other, { "tellers" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, elsewhere).outcome == Outcome::Completed);

    fleet->isolate(owner, false);
    fleet->setLogReachable(owner, true);
    fleet->run(15s);
    const RequestId after = fleet->send(owner, { "tellers" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, after).outcome == Outcome::Completed);
    requireQuiescent(*fleet);
}

TEST_CASE("two owners during a partition neither lose nor repeat requests")
{
    // Guards against lost or repeated requests when both sides of a partition reach the log. One of three routers loses
    // the others but not the log, so each side's view names its own owner of the cell, and both have load.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t other = routerOtherThan(*fleet, { owner });
    fleet->isolate(owner);
    for (int n = 0; n < 20; ++n) {
        sendRequests(*fleet, owner, 4);
        sendRequests(*fleet, other, 4, "batch");
        fleet->send(n % 3, { .customer = "batch", .service = "posting" });
        fleet->run(300ms);
    }
    fleet->isolate(owner, false);
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("a router restarts without state before gossip declares it dead")
{
    // Guards against slots held forever by the previous incarnation of a router, and against answers for it reaching
    // the next one. The router crashes with requests running and restarts within 200 ms, so that only the new
    // incarnation number reveals the crash.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    for (const std::size_t router : { holder, owner }) {
        sendRequests(*fleet, router, 8);
        fleet->run(50ms);
        fleet->crash(router);
        fleet->run(200ms);
        fleet->restart(router);
        fleet->run(1s);
        sendRequests(*fleet, router, 4);
        fleet->run(3s);
    }
    requireQuiescent(*fleet);
}

TEST_CASE("a router's streams are cut while its datagrams pass")
{
    // Guards against requests waiting forever for an owner that gossip calls alive, against slots held by grants that
    // never arrived, and against an owner never being used again after the cut. All TCP of one router is cut for longer
    // than any timeout while UDP passes, which membership does not notice.
    auto fleet = oneCellFleet({ .routers = 8 });
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    sendRequests(*fleet, holder, 100);
    fleet->run(150ms);
    for (std::size_t n = 0; n < 8; ++n)
        fleet->cutStreams(holder, n);
    sendRequests(*fleet, holder, 20, "batch");
    fleet->run(20s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
    const std::size_t third = routerOtherThan(*fleet, { owner, holder });
    sendRequests(*fleet, third, 20);
    fleet->run(5s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());

    for (std::size_t n = 0; n < 8; ++n)
        fleet->cutStreams(holder, n, false);
    fleet->run(10s);
    const std::uint64_t before = fleet->messagesOf("offer");
    sendRequests(*fleet, holder, 10);
    requireQuiescent(*fleet);
    REQUIRE(fleet->messagesOf("offer") >= before + 10);
}

TEST_CASE("a stream breaks with offers, grants and settlements on it")
{
    // Guards against an owner losing free slots with each broken stream until it grants nothing. An owner counts a slot
    // as used as soon as the grant is sent, and a lost settlement frees nothing. The streams break every 70 ms under
    // load and reconnect at once.
    const std::uint32_t cells = GENERATE(1u, 2u);
    FleetFake::Options options;
    options.cellsPerPool = cells;
    auto fleet = smallFleet(options);
    for (std::size_t holder = 0; holder < 3; ++holder)
        sendRequests(*fleet, holder, 60);
    for (int n = 0; n < 60; ++n) {
        fleet->run(70ms);
        fleet->breakStream(0, 1);
        fleet->breakStream(1, 2);
        fleet->breakStream(0, 2);
    }
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the last settlements are lost and the router sends nothing further")
{
    // Guards against slots held for requests that ended long ago. The stream breaks just before the router's last
    // requests end, and nothing is sent afterwards; a resynchronisation has to cover cells without running requests
    // too.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    sendRequests(*fleet, holder, 4);
    fleet->run(90ms);
    fleet->breakStream(holder, owner);
    requireQuiescent(*fleet);
}

TEST_CASE("routers disagree on the owner of a cell")
{
    // Guards against offers bouncing between routers, or being lost, while routers disagree on the owner. Owners are
    // derived from each router's own view, and views agree only eventually. One router is cut off from the owner only,
    // so that the views may differ for seconds.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = routerOtherThan(*fleet, { owner });
    for (int n = 0; n < 6; ++n) {
        fleet->cut(owner, holder, n % 2 == 0);
        sendRequests(*fleet, holder, 30);
        sendRequests(*fleet, owner, 10, "batch");
        fleet->run(1500ms);
    }
    requireQuiescent(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("an owner briefly drops its cell without any other router noticing")
{
    // Guards against requests waiting forever although all routers agree on a healthy owner. The owner wrongly suspects
    // others while datagrams to it are lost, computes other owners, drops the cell with all its offers and takes it
    // back empty. Routers whose own view never changed have no reason to send their offers again.
    auto fleet = oneCellFleet({ .routers = 5 });
    const std::size_t owner = fleet->ownerOf("model");
    for (std::size_t n = 0; n < 5; ++n)
        sendRequests(*fleet, n, 60);
    for (int round = 0; round < 4; ++round) {
        const std::size_t other = routerOtherThan(*fleet, { owner });
        fleet->run(300ms);
        fleet->cut(owner, other);
        fleet->run(900ms);
        fleet->cut(owner, other, false);
    }
    requireQuiescent(*fleet, 30s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}
