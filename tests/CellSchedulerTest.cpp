#include "scheduling/CostEstimator.h"

#include <sagechute/Scheduling.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace sagechute;
using namespace sagechute::scheduling;
using std::chrono::milliseconds;

namespace {

const PoolId kPool { "posting" };
const RouterLife kRouter { VmId { "moji-1" }, 1 };
const TargetId kFirst { "worker-1" };
const TargetId kSecond { "worker-2" };
const CustomerId kTellers { "tellers" };
const CustomerId kBatch { "batch" };

class Cell {
public:
    explicit Cell(const std::vector<CellTarget>& targets = { { kFirst, 1 } })
        : ledger(ServiceLedger::make(kPool, { VmId { "moji-2" }, 1 }))
        , scheduler(CellScheduler::make({ kPool, 0 }, {}, *ledger))
    {
        scheduler->setTargets(targets);
    }

    RequestId offer(std::uint64_t serial, const CustomerId& customer, std::vector<std::uint64_t> prefixes = {})
    {
        Offer offer { { kRouter, serial }, customer };
        offer.prefixes = std::move(prefixes);
        scheduler->offer(now, offer);
        return offer.request;
    }

    /// Calls schedule(). @return the serial numbers of the granted requests.
    std::vector<std::uint64_t> granted()
    {
        std::vector<std::uint64_t> serials;
        for (const auto& it : scheduler->schedule(now))
            serials.push_back(it.request.serial);
        return serials;
    }

    TimePoint now {};
    std::unique_ptr<ServiceLedger> ledger;
    std::unique_ptr<CellScheduler> scheduler;
};

using Serials = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("An unused grant expires and its request keeps its place in the queue", "[scheduling]")
{
    Cell cell;
    for (std::uint64_t n = 1; n <= 3; ++n)
        cell.offer(n, kTellers);
    REQUIRE(cell.granted() == Serials { 1 });
    REQUIRE(cell.scheduler->nextDue() == cell.now + milliseconds(500));
    cell.offer(1, kTellers);
    REQUIRE(cell.granted().empty());
    cell.now += milliseconds(500);
    REQUIRE(cell.granted() == Serials { 1 });
    REQUIRE(cell.scheduler->stats().expired == 1);

    SECTION("started() arrives after the grant has expired")
    {
        // Guards against two requests on a target with one slot. The router used the grant just in time, but its
        // message reached the owner after the grant had expired there, and the slot counted as free although the
        // request ran.
        const RequestId id { kRouter, 1 };
        cell.now += milliseconds(500);
        cell.scheduler->setAccepting(kFirst, false);
        REQUIRE(cell.granted().empty());
        REQUIRE(cell.ledger->virtualService(kTellers) == 0);
        cell.scheduler->started(cell.now, id);
        cell.scheduler->setAccepting(kFirst, true);
        REQUIRE(cell.granted().empty());
        cell.scheduler->settle(cell.now, id, 30);
        REQUIRE(cell.ledger->virtualService(kTellers) == 30);
        REQUIRE(cell.granted() == Serials { 2 });
    }
}

TEST_CASE("A declined grant is refunded once, even after started()", "[scheduling]")
{
    Cell cell;
    const RequestId id = cell.offer(1, kTellers);
    cell.granted();
    if (GENERATE(false, true))
        cell.scheduler->started(cell.now, id);
    cell.scheduler->decline(cell.now, id);
    cell.scheduler->decline(cell.now, id);
    REQUIRE(cell.ledger->virtualService(kTellers) == 0);
    REQUIRE(cell.scheduler->stats().freeSlots == 1);
    REQUIRE(cell.scheduler->stats().running == 0);
    REQUIRE(cell.granted().empty());
}

TEST_CASE("Offers end at their deadline", "[scheduling]")
{
    Cell cell(std::vector<CellTarget> {});
    Offer offer { { kRouter, 1 }, kTellers };
    offer.deadline = cell.now + milliseconds(20);
    cell.scheduler->offer(cell.now, offer);
    REQUIRE(cell.scheduler->nextDue() == offer.deadline);
    cell.now += milliseconds(20);
    cell.scheduler->setTargets({ { kFirst, 1 } });
    REQUIRE(cell.granted().empty());
    REQUIRE(cell.scheduler->stats().waiting == 0);
    REQUIRE_FALSE(cell.scheduler->nextDue());
}

TEST_CASE("Affinity prefers the target with the longest cached prefix and leaves no slot idle", "[scheduling]")
{
    Cell cell({ { kFirst, 1 }, { kSecond, 1 } });
    cell.scheduler->prefixStored(kFirst, 10);
    cell.scheduler->prefixStored(kSecond, 10);
    cell.scheduler->prefixStored(kSecond, 20);
    cell.offer(1, kTellers, { 10, 20 });
    auto grants = cell.scheduler->schedule(cell.now);
    REQUIRE(grants.at(0).target == kSecond);
    cell.offer(2, kTellers, { 10, 20 });
    grants = cell.scheduler->schedule(cell.now);
    REQUIRE(grants.at(0).target == kFirst);
    REQUIRE(cell.scheduler->stats().affinityHits == 2);

    SECTION("no affinity after cache events were lost")
    {
        cell.scheduler->prefixesUnknown(kFirst);
        cell.scheduler->prefixesUnknown(kSecond);
        cell.scheduler->settle(cell.now, { kRouter, 1 }, 1);
        cell.offer(3, kTellers, { 10, 20 });
        REQUIRE(cell.granted() == Serials { 3 });
        REQUIRE(cell.scheduler->stats().affinityHits == 2);
    }
}

TEST_CASE("A new owner accounts for the slots of running requests", "[scheduling]")
{
    Cell cell({ { kFirst, 2 } });
    const RequestId running { kRouter, 7 };
    for (int n = 0; n < 2; ++n)
        cell.scheduler->adopt(cell.now, { running, kBatch, kFirst, 40 });
    REQUIRE(cell.scheduler->stats().freeSlots == 1);
    REQUIRE(cell.scheduler->targetOf(running) == kFirst);
    cell.offer(7, kBatch);
    cell.offer(8, kBatch);
    REQUIRE(cell.granted() == Serials { 8 });
    cell.scheduler->settle(cell.now, running, 100);
    REQUIRE(cell.ledger->virtualService(kBatch) == Approx(60 + 40));
    REQUIRE(cell.scheduler->stats().freeSlots == 1);
}

TEST_CASE("The charge of a used grant survives the router's resynchronisation", "[scheduling]")
{
    // Guards against a request that goes uncharged whenever a stream to a router breaks. The router used a grant, the
    // stream broke before it could say so, and the router was dropped and then reported the running request. The drop
    // refunded the charge, and the settlement only charges what exceeds the reported charge.
    Cell cell;
    const RequestId id = cell.offer(1, kTellers);
    const Cost charged = cell.scheduler->schedule(cell.now).at(0).charged;
    cell.scheduler->dropRouter(cell.now, kRouter);
    REQUIRE(cell.scheduler->stats().freeSlots == 1);
    cell.scheduler->adopt(cell.now, { id, kTellers, kFirst, charged });
    REQUIRE(cell.scheduler->stats().freeSlots == 0);
    cell.scheduler->settle(cell.now, id, 50);
    REQUIRE(cell.ledger->virtualService(kTellers) == 50);
}

TEST_CASE("Invalid costs neither persist nor block the customer", "[scheduling]")
{
    Cell cell;
    std::uint64_t serial = 0;
    for (const Cost cost : { std::nan(""), -5.0, double(INFINITY), 1e300 }) {
        Offer offer { { kRouter, ++serial }, kTellers };
        offer.hint = cost;
        cell.scheduler->offer(cell.now, offer);
        REQUIRE(cell.granted() == Serials { serial });
        cell.scheduler->progress(cell.now, offer.request, std::isfinite(cost) && cost > 0 ? 0 : cost);
        cell.scheduler->settle(cell.now, offer.request, cost);
    }
    REQUIRE(cell.ledger->virtualService(kTellers) <= 1e9 + 10);
    REQUIRE(cell.scheduler->stats().freeSlots == 1);
}

TEST_CASE("A target that is removed with running requests returns with their slots in use", "[scheduling]")
{
    Cell cell({ { kFirst, 1 }, { kSecond, 1 } });
    cell.offer(1, kTellers);
    const TargetId used = cell.scheduler->schedule(cell.now).at(0).target;
    const TargetId other = used == kFirst ? kSecond : kFirst;
    cell.scheduler->started(cell.now, { kRouter, 1 });
    cell.scheduler->setTargets({ { other, 1 } });
    cell.scheduler->setTargets({ { used, 1 } });
    cell.offer(2, kTellers);
    REQUIRE(cell.granted().empty());
    cell.scheduler->settle(cell.now, { kRouter, 1 }, 1);
    REQUIRE(cell.granted() == Serials { 2 });
}

TEST_CASE("Hints are used once they have proved accurate, and within limits", "[scheduling]")
{
    CostEstimator honest;
    CostEstimator liar;
    for (int n = 0; n < 40; ++n) {
        const Cost actual = n % 2 ? 10 : 190;
        honest.learn(actual * 3, actual);
        liar.learn(n % 3 + 1, actual);
    }
    REQUIRE(honest.estimate(300, 0) == Approx(100));
    REQUIRE(honest.estimate(0.001, 0) > 20);
    REQUIRE(honest.estimate(1e8, 0) < 500);
    REQUIRE(liar.estimate(1e-6, 0) == Approx(100).margin(40));
    REQUIRE(CostEstimator().estimate(1e9, 70) == 70);
}
