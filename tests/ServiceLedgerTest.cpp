#include "scheduling/LedgerCore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace sagechute;
using namespace sagechute::scheduling;

namespace {

const PoolId kPool { "posting" };
const CustomerId kTellers { "tellers" };
const CustomerId kBatch { "batch" };

RouterLife life(const std::string& vm, Incarnation incarnation = 1) { return { VmId { vm }, incarnation }; }

PoolSummary summaryOf(const RouterLife& from, std::uint64_t sequence, Cost service, bool backlogged = false)
{
    return { kPool, from, sequence, false, 0, { { kTellers, service, 0, backlogged } }, {} };
}

} // namespace

TEST_CASE("Ledgers converge when summaries are lost, duplicated or reordered", "[scheduling]")
{
    REQUIRE(rc::check("convergence under loss, duplication and reordering", [] {
        std::vector<std::unique_ptr<ServiceLedger>> ledgers;
        ledgers.reserve(3);
        for (int n = 0; n < 3; ++n)
            ledgers.push_back(ServiceLedger::make(kPool, life("router-" + std::to_string(n))));
        std::map<CustomerId, Cost> truth;
        std::vector<PoolSummary> underWay;
        for (int n = *rc::gen::inRange(0, 60); n > 0; --n) {
            ServiceLedger& ledger = *ledgers[*rc::gen::inRange(0, 3)];
            const CustomerId customer { "customer-" + std::to_string(*rc::gen::inRange(0, 4)) };
            const Cost cost = *rc::gen::inRange(-20, 100);
            ledger.charge(customer, cost);
            truth[customer] += cost;
            if (*rc::gen::inRange(0, 2))
                underWay.push_back(ledger.summarize(*rc::gen::inRange(0, 4) == 0));
        }
        for (int n = *rc::gen::inRange(0, 60); n > 0 && !underWay.empty(); --n)
            ledgers[*rc::gen::inRange(0, 3)]->mergeSummary(*rc::gen::elementOf(underWay));
        for (auto& from : ledgers) {
            const PoolSummary full = from->summarize(true);
            for (auto& to : ledgers)
                to->mergeSummary(full);
        }
        for (const auto& [customer, service] : truth) {
            for (const auto& it : ledgers)
                RC_ASSERT(std::abs(it->virtualService(customer) - service) < 1e-6);
        }
    }));
}

TEST_CASE("Idle customers earn no credit and keep their debt and lag", "[scheduling]")
{
    LedgerCore ledger(kPool, life("router-1"));
    ledger.raiseLagLimit(50);
    ledger.setBacklogged(kBatch, true);
    ledger.charge(kBatch, 1000);
    SECTION("a new customer starts at the virtual time")
    {
        ledger.setBacklogged(kTellers, true);
        REQUIRE(ledger.virtualService(kTellers) == 1000);
    }
    SECTION("a new customer starts at the virtual time when no customer is backlogged")
    {
        ledger.setBacklogged(kBatch, false);
        ledger.setBacklogged(kTellers, true);
        REQUIRE(ledger.virtualService(kTellers) == 1000);
    }
    SECTION("debt is kept")
    {
        ledger.charge(kTellers, 1500);
        ledger.setBacklogged(kTellers, true);
        REQUIRE(ledger.virtualService(kTellers) == 1500);
    }
    SECTION("a window of offers that runs out briefly keeps the lag")
    {
        // Guards against a gap of thousands of units between two customers with constant demand in two cells. The
        // lagging customer's window of offers was repeatedly used up for a round trip, and each return lifted it fully
        // to the smallest virtual service, so that it lost the service it was owed.
        ledger.setBacklogged(kTellers, true);
        ledger.charge(kBatch, 30);
        for (int n = 0; n < 10; ++n) {
            ledger.setBacklogged(kTellers, false);
            ledger.setBacklogged(kTellers, true);
        }
        REQUIRE(ledger.virtualService(kTellers) == 1000);
        ledger.setBacklogged(kTellers, false);
        ledger.charge(kBatch, 500);
        ledger.setBacklogged(kTellers, true);
        REQUIRE(ledger.virtualService(kTellers) == 1500);
    }
}

TEST_CASE("A change of weight applies to later charges only", "[scheduling]")
{
    const auto ledger = ServiceLedger::make(kPool, life("router-1"));
    ledger->charge(kBatch, 1000);
    ledger->setWeight(kBatch, 10);
    REQUIRE(ledger->virtualService(kBatch) == 1000);
    ledger->charge(kBatch, 100);
    REQUIRE(ledger->virtualService(kBatch) == 1010);
}

TEST_CASE("A late summary does not restore the backlog of a retired router", "[scheduling]")
{
    // Guards against a customer that gets every slot when it returns after an hour of idleness. A router died and was
    // retired; then its last summary arrived, which had been in transit. It made the customer count as backlogged
    // forever, so that the customer was not lifted on its return.
    LedgerCore ledger(kPool, life("router-1"));
    const RouterLife dead = life("router-2");
    ledger.mergeSummary(summaryOf(dead, 1, 10, true));
    ledger.retire(dead);
    ledger.mergeSummary(summaryOf(dead, 2, 20, true));
    ledger.setBacklogged(kBatch, true);
    ledger.charge(kBatch, 1000);
    ledger.setBacklogged(kTellers, true);
    REQUIRE(ledger.virtualService(kTellers) == ledger.virtualService(kBatch));
    SECTION("a router retired by mistake is revived by further summaries")
    {
        ledger.setBacklogged(kTellers, false);
        for (std::uint64_t n = 3; n < 7; ++n)
            ledger.mergeSummary(summaryOf(dead, n, 20 + n, true));
        ledger.charge(kBatch, 1000);
        const Cost before = ledger.virtualService(kTellers);
        ledger.setBacklogged(kTellers, true);
        REQUIRE(ledger.virtualService(kTellers) == before);
    }
}

TEST_CASE("Thousands of router incarnations keep their service in bounded memory", "[scheduling]")
{
    LedgerCore ledger(kPool, life("router-1"));
    for (Incarnation n = 1; n <= 5000; ++n) {
        const RouterLife one = life("router-" + std::to_string(n % 7 + 2), n);
        ledger.mergeSummary(summaryOf(one, 1, 1));
        if (n % 2)
            ledger.retire(one);
    }
    for (int n = 0; n < 2000; ++n)
        ledger.mergeSummary(summaryOf(life("once-" + std::to_string(n)), 1, 1));
    REQUIRE(ledger.virtualService(kTellers) == 7000);
    REQUIRE(ledger.incarnationCount() <= LifeTable::kMaxIncarnations);
    SECTION("a folded incarnation that returns adds only its new charges")
    {
        ledger.mergeSummary(summaryOf(life("once-1000"), 2, 1));
        ledger.mergeSummary(summaryOf(life("once-1000"), 3, 5));
        REQUIRE(ledger.virtualService(kTellers) == 7004);
    }
    SECTION("a router without state gets all service from one peer, even if sent twice")
    {
        ledger.mergeSummary(summaryOf(life("once-1000"), 2, 1));
        LedgerCore fresh(kPool, life("router-9", 9999));
        for (int n = 0; n < 2; ++n) {
            for (const auto& it : ledger.peerSummaries())
                fresh.mergeSummary(it);
            fresh.mergeSummary(ledger.summarize(true));
        }
        REQUIRE(fresh.virtualService(kTellers) == 7000);
        fresh.mergeSummary(summaryOf(life("once-1000"), 4, 8));
        REQUIRE(fresh.virtualService(kTellers) == 7007);
    }
}

TEST_CASE("Charges hidden by a partition are compensated up to a limit", "[scheduling]")
{
    // Guards against a customer that gets no service for minutes after a network partition. Both sides had served
    // requests for ten minutes, which left the customer 600,000 units ahead, and the others were preferred until they
    // had caught up completely.
    LedgerCore ledger(kPool, life("router-1"));
    ledger.raiseCompensationLimit(1000);
    ledger.setBacklogged(kBatch, true);
    ledger.setBacklogged(kTellers, true);
    ledger.mergeSummary({ kPool, life("router-2"), 1, true, 0, { { kTellers, 10 } }, {} });
    ledger.mergeSummary(summaryOf(life("router-2"), 2, 600'000));
    const Cost ahead = ledger.virtualService(kTellers) - ledger.virtualService(kBatch);
    REQUIRE(ahead > 999);
    REQUIRE(ahead < 2000);
}

TEST_CASE("Invalid numbers are ignored", "[scheduling]")
{
    const auto ledger = ServiceLedger::make(kPool, life("router-1"));
    ledger->charge(kTellers, 5);
    ledger->charge(kTellers, std::nan(""));
    ledger->charge(kTellers, INFINITY);
    ledger->setWeight(kTellers, std::nan(""));
    ledger->setWeight(kTellers, -1);
    for (const Cost cost : { std::nan(""), double(INFINITY), 1e300 })
        ledger->mergeSummary(summaryOf(life("router-2"), 1, cost));
    ledger->mergeSummary({ PoolId { "other" }, life("router-3"), 1, true, 0, { { kTellers, 7 } }, {} });
    REQUIRE(ledger->virtualService(kTellers) == 5);
}

TEST_CASE("The measured gap starts when the later customer becomes backlogged", "[scheduling]")
{
    LedgerCore ledger(kPool, life("router-1"));
    ledger.setBacklogged(kBatch, true);
    ledger.charge(kBatch, 700);
    ledger.setBacklogged(kTellers, true);
    ledger.charge(kTellers, 1);
    ledger.charge(kTellers, 1);
    REQUIRE(ledger.measuredGap() < 3);
    ledger.charge(kBatch, 40);
    ledger.charge(kBatch, 40);
    REQUIRE(ledger.measuredGap() == Approx(80).margin(3));
    ledger.setBacklogged(kBatch, false);
    REQUIRE(ledger.measuredGap() == 0);
}
