// Failures of routers and of the network between them.

#include "RoutingFleets.h"

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

/// Keeps one pool busy for a while from one router.
std::vector<RequestId> load(FleetFake& fleet, std::size_t router, int requests, const std::string& customer = "tellers")
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
    requireQuiet(*fleet);
    for (const RequestId& it : ids)
        REQUIRE(onlyEnd(*fleet, it).outcome == Outcome::Completed);
}

TEST_CASE("the owner of a cell crashes with work waiting and running")
{
    // Symptom: requests of other routers wait for ever for a grant of a router that is gone, or the new owner grants
    // slots that are still in use.
    // Sequence: all load comes through one router; the owner is another one and crashes; it starts again later.
    // Cause: the owner's queue is soft state. It has to be offered again elsewhere, and what runs has to be reported.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    load(*fleet, holder, 60);
    load(*fleet, owner, 4);
    fleet->run(150ms);
    fleet->crash(owner);
    fleet->run(8s);
    REQUIRE(fleet->ownerOf("model") != owner);
    fleet->restart(owner);
    fleet->run(2s);
    load(*fleet, owner, 10);
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) >= 70);
}

TEST_CASE("no request waits longer than the discovery of the owner's crash takes")
{
    // Symptom: between the crash of an owner and the change of view its cell's slots idle for seconds.
    // Sequence: the owner crashes; requests come through the others at once.
    // Cause: without a fallback nobody may grant until gossip has found the death.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    fleet->send(holder, { "tellers" });
    fleet->run(500ms);
    fleet->crash(owner);
    fleet->run(20ms);
    const RequestId id = fleet->send(holder, { "tellers" });
    fleet->run(400ms);
    REQUIRE(onlyEnd(*fleet, id).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}

TEST_CASE("an owner is paused for ten seconds and goes on")
{
    // Symptom: after the pause the old owner's late grants run requests twice, or its view of the targets sends new
    // work to one that left meanwhile.
    // Sequence: an owner with work waiting is paused; a target is declared leaving; the owner goes on after 10 s.
    // Cause: the paused process believes that no time has passed.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    load(*fleet, holder, 300);
    load(*fleet, owner, 40, "batch");
    fleet->run(200ms);
    fleet->pause(owner);
    fleet->run(1s);
    fleet->declareTarget("worker-2", "model", 2, true);
    fleet->run(9s);
    fleet->resume(owner);
    fleet->run(100ms);
    load(*fleet, owner, 10, "batch");
    requireQuiet(*fleet, 40s);
    REQUIRE(countEnds(*fleet, Outcome::NotRun) <= 50);
    REQUIRE(countEnds(*fleet, Outcome::Completed) >= 300);
}

TEST_CASE("a minority refuses at once, truthfully, and takes part again after the partition")
{
    // Symptom: a router that is cut off keeps its callers waiting, runs work on configuration from before, or still
    // refuses after the partition has ended.
    // Sequence: one of three routers loses the other two and the log, with its own requests waiting; later it rejoins.
    // Cause: it cannot learn of changes, so it must start nothing; which it knows only by what it no longer hears.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    load(*fleet, owner, 400);
    fleet->run(300ms);
    fleet->isolate(owner);
    fleet->setLogReachable(owner, false);
    fleet->run(5s);
    const RequestId late = fleet->send(owner, { "tellers" });
    REQUIRE(onlyEnd(*fleet, late).outcome == Outcome::NotRun);
    REQUIRE(onlyEnd(*fleet, late).kind == ErrorKind::CutOff);
    REQUIRE(fleet->status(owner).pools.front().waitingHere == 0);
    const std::size_t other = otherThan(*fleet, { owner });
    const RequestId elsewhere = fleet->send(other, { "tellers" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, elsewhere).outcome == Outcome::Completed);

    fleet->isolate(owner, false);
    fleet->setLogReachable(owner, true);
    fleet->run(15s);
    const RequestId after = fleet->send(owner, { "tellers" });
    fleet->run(1s);
    REQUIRE(onlyEnd(*fleet, after).outcome == Outcome::Completed);
    requireQuiet(*fleet);
}

TEST_CASE("two owners in a partition cost efficiency only")
{
    // Symptom: in a partition with the log in reach of both sides, requests run twice or are lost.
    // Sequence: one of three routers loses the others but not the log; both sides own the cell and have load.
    // Cause: each side's view names an owner of its own.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t other = otherThan(*fleet, { owner });
    fleet->isolate(owner);
    for (int n = 0; n < 20; ++n) {
        load(*fleet, owner, 4);
        load(*fleet, other, 4, "batch");
        fleet->send(n % 3, { .customer = "batch", .service = "posting" });
        fleet->run(300ms);
    }
    fleet->isolate(owner, false);
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("a router restarts without memory, faster than gossip finds it dead")
{
    // Symptom: slots that the router's last life held stay in use for ever, or answers to that life reach the next.
    // Sequence: a router with requests running crashes and starts again within 200 ms.
    // Cause: nobody ever sees it dead; only its new incarnation tells.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    for (const std::size_t router : { holder, owner }) {
        load(*fleet, router, 8);
        fleet->run(50ms);
        fleet->crash(router);
        fleet->run(200ms);
        fleet->restart(router);
        fleet->run(1s);
        load(*fleet, router, 4);
        fleet->run(3s);
    }
    requireQuiet(*fleet);
}

TEST_CASE("a router's streams are cut while its datagrams pass")
{
    // Symptom: the router's requests wait for ever for an owner that gossip calls alive, or the owner's slots stay with
    // grants that never arrived; after the cut the router never uses the owner again.
    // Sequence: all TCP of one router to the others is cut, for longer than any timeout, while UDP passes.
    // Cause: membership knows nothing of streams.
    auto fleet = oneCellFleet({ .routers = 8 });
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    load(*fleet, holder, 100);
    fleet->run(150ms);
    for (std::size_t n = 0; n < 8; ++n)
        fleet->cutStreams(holder, n);
    load(*fleet, holder, 20, "batch");
    fleet->run(20s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
    const std::size_t third = otherThan(*fleet, { owner, holder });
    load(*fleet, third, 20);
    fleet->run(5s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());

    for (std::size_t n = 0; n < 8; ++n)
        fleet->cutStreams(holder, n, false);
    fleet->run(10s);
    const std::uint64_t before = fleet->messagesOf("offer");
    load(*fleet, holder, 10);
    requireQuiet(*fleet);
    REQUIRE(fleet->messagesOf("offer") >= before + 10);
}

TEST_CASE("a stream breaks with offers, grants and settlements on it")
{
    // Symptom: an owner's free slots grow fewer with every broken stream, until it grants nothing.
    // Sequence: the stream between holder and owner breaks every 70 ms under load and comes back at once.
    // Cause: the owner takes a grant for used as soon as it is sent, and a lost settlement frees nothing.
    const std::uint32_t cells = GENERATE(1u, 2u);
    FleetFake::Options options;
    options.cellsPerPool = cells;
    auto fleet = smallFleet(options);
    for (std::size_t holder = 0; holder < 3; ++holder)
        load(*fleet, holder, 60);
    for (int n = 0; n < 60; ++n) {
        fleet->run(70ms);
        fleet->breakStream(0, 1);
        fleet->breakStream(1, 2);
        fleet->breakStream(0, 2);
    }
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("the last settlements are lost and the router has nothing more to say")
{
    // Symptom: an owner keeps slots in use for requests that ended long ago.
    // Sequence: the stream breaks just before the router's last requests end; no further request comes.
    // Cause: a resynchronisation that only covers cells with something running leaves the others as they were.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    load(*fleet, holder, 4);
    fleet->run(90ms);
    fleet->breakStream(holder, owner);
    requireQuiet(*fleet);
}

TEST_CASE("owners by different views")
{
    // Symptom: an offer is thrown to and fro between routers, or is lost, when two of them name different owners.
    // Sequence: a router is cut off from the owner only, so that its view may differ from the others' for seconds.
    // Cause: each router derives owners from its own view, and the views agree only in the end.
    auto fleet = oneCellFleet();
    const std::size_t owner = fleet->ownerOf("model");
    const std::size_t holder = otherThan(*fleet, { owner });
    for (int n = 0; n < 6; ++n) {
        fleet->cut(owner, holder, n % 2 == 0);
        load(*fleet, holder, 30);
        load(*fleet, owner, 10, "batch");
        fleet->run(1500ms);
    }
    requireQuiet(*fleet);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}

TEST_CASE("an owner forgets its cell for a moment that no other router notices")
{
    // Symptom: requests wait for ever although the owner is well and everybody agrees on it.
    // Sequence: the owner suspects others by mistake (datagrams to it are lost for a while), computes other owners,
    // drops the cell with all offers in it, and takes it back empty.
    // Cause: a holder whose own view never changed has no reason to offer again.
    auto fleet = oneCellFleet({ .routers = 5 });
    const std::size_t owner = fleet->ownerOf("model");
    for (std::size_t n = 0; n < 5; ++n)
        load(*fleet, n, 60);
    for (int round = 0; round < 4; ++round) {
        const std::size_t other = otherThan(*fleet, { owner });
        fleet->run(300ms);
        fleet->cut(owner, other);
        fleet->run(900ms);
        fleet->cut(owner, other, false);
    }
    requireQuiet(*fleet, 30s);
    REQUIRE(countEnds(*fleet, Outcome::Completed) == fleet->records().size());
}
