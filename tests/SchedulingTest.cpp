#include "SchedulingSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::scheduling;
using namespace sagechute::scheduling::test;

namespace {

/// Forwards all calls. Deliberate faults derive from it and override one member.
class ForwardingScheduler : public CellScheduler {
public:
    explicit ForwardingScheduler(std::unique_ptr<CellScheduler> inner)
        : m_inner(std::move(inner))
    {
    }

    void setTargets(const std::vector<CellTarget>& it) override { m_inner->setTargets(it); }
    void setAccepting(const TargetId& id, bool accepting) override { m_inner->setAccepting(id, accepting); }
    void offer(TimePoint now, Offer it) override { m_inner->offer(now, std::move(it)); }
    void withdraw(TimePoint now, const RequestId& id) override { m_inner->withdraw(now, id); }
    void decline(TimePoint now, const RequestId& id) override { m_inner->decline(now, id); }
    void started(TimePoint now, const RequestId& id) override { m_inner->started(now, id); }
    void adopt(TimePoint now, const InFlight& it) override { m_inner->adopt(now, it); }
    void progress(TimePoint now, const RequestId& id, Cost cost) override { m_inner->progress(now, id, cost); }
    void settle(TimePoint now, const RequestId& id, Cost cost) override { m_inner->settle(now, id, cost); }
    void dropRouter(TimePoint now, const RouterLife& it) override { m_inner->dropRouter(now, it); }
    void prefixStored(const TargetId& id, std::uint64_t prefix) override { m_inner->prefixStored(id, prefix); }
    void prefixEvicted(const TargetId& id, std::uint64_t prefix) override { m_inner->prefixEvicted(id, prefix); }
    void prefixesUnknown(const TargetId& id) override { m_inner->prefixesUnknown(id); }
    std::vector<Grant> schedule(TimePoint now) override { return m_inner->schedule(now); }
    std::optional<TimePoint> nextDue() const override { return m_inner->nextDue(); }
    std::optional<TargetId> targetOf(const RequestId& id) const override { return m_inner->targetOf(id); }
    CellDigest digest() const override { return m_inner->digest(); }
    CellStats stats() const override { return m_inner->stats(); }

protected:
    CellScheduler& inner() { return *m_inner; }

private:
    std::unique_ptr<CellScheduler> m_inner;
};

struct WithoutSettlement final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    void settle(TimePoint now, const RequestId& id, Cost) override { inner().settle(now, id, std::nan("")); }
};

struct WithoutAvoidance final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    void offer(TimePoint now, Offer it) override
    {
        it.avoid.clear();
        inner().offer(now, std::move(it));
    }
};

struct SkippingScheduler final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    std::vector<Grant> schedule(TimePoint now) override
    {
        return ++m_calls % 3 ? inner().schedule(now) : std::vector<Grant> {};
    }
    int m_calls = 0;
};

struct WithoutExpiry final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    std::vector<Grant> schedule(TimePoint now) override
    {
        auto grants = inner().schedule(now);
        for (const auto& it : grants)
            inner().started(now, it.request);
        return grants;
    }
};

struct ReleasingOnStart final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    void started(TimePoint now, const RequestId& id) override { inner().settle(now, id, 0); }
};

struct OverstatingSlots final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    void setTargets(const std::vector<CellTarget>& targets) override
    {
        auto more = targets;
        for (auto& it : more)
            ++it.slots;
        inner().setTargets(more);
    }
};

struct DroppingOffers final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    void offer(TimePoint now, Offer it) override
    {
        if (it.customer.value != "customer-0")
            inner().offer(now, std::move(it));
    }
};

struct DuplicatingGrants final : ForwardingScheduler {
    using ForwardingScheduler::ForwardingScheduler;
    std::vector<Grant> schedule(TimePoint now) override
    {
        auto grants = inner().schedule(now);
        if (!grants.empty())
            grants.push_back(grants.front());
        return grants;
    }
};

template <typename Fault> WrapScheduler withScheduler()
{
    return [](std::unique_ptr<CellScheduler> inner) { return std::make_unique<Fault>(std::move(inner)); };
}

/// Omits the lift, so that idle customers earn credit.
class LedgerWithoutLift final : public LedgerCore {
public:
    using LedgerCore::LedgerCore;

private:
    Cost liftFor(Cost, Cost, Cost) const override { return 0; }
};

template <typename Ledger> MakeLedger withLedger()
{
    return [](const PoolId& pool, const RouterLife& life) { return std::make_unique<Ledger>(pool, life); };
}

/// @return in how many of 20 simulations the violation occurs.
int countViolations(Violation violation, SimulationSettings settings)
{
    int found = 0;
    for (settings.seed = 1; settings.seed <= 20; ++settings.seed)
        found += Simulation(settings).run().contains(violation);
    return found;
}

SimulationSettings randomSettings()
{
    SimulationSettings settings;
    settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
    settings.targetsPerCell = *rc::gen::inRange(1U, 4U);
    settings.slotsPerTarget = *rc::gen::inRange(1U, 4U);
    settings.weights = *rc::gen::container<std::vector<double>>(
        *rc::gen::inRange<std::size_t>(2, 7), rc::gen::elementOf(std::vector<double> { 0.5, 1, 2, 4 }));
    settings.largestCost = *rc::gen::elementOf(std::vector<double> { 5, 100, 400 });
    settings.cell.affinitySlack = *rc::gen::elementOf(std::vector<double> { 0, 0.25 });
    return settings;
}

} // namespace

TEST_CASE("One cell upholds all invariants under random faults", "[scheduling]")
{
    REQUIRE(rc::check("gap bound, work conservation, single grants, slot limits, no starvation",
        [] { RC_ASSERT(Simulation(randomSettings()).run() == std::set<Violation> {}); }));
}

TEST_CASE("Avoided targets are not used, and no usable slot is left idle", "[scheduling]")
{
    REQUIRE(rc::check("avoidance", [] {
        SimulationSettings settings = randomSettings();
        settings.targetsPerCell = *rc::gen::inRange(2U, 4U);
        settings.avoidance = true;
        auto violations = Simulation(settings).run();
        // A customer whose requests avoid all free targets falls behind legitimately, so gaps are no violation here.
        violations.erase(Violation::Gap);
        violations.erase(Violation::MeasuredGap);
        RC_ASSERT(violations == std::set<Violation> {});
    }));
}

TEST_CASE("Two cells keep the gap bound while summaries are lost, duplicated and reordered", "[scheduling]")
{
    REQUIRE(rc::check("two cells", [] {
        SimulationSettings settings = randomSettings();
        settings.routers = 3;
        settings.cells = 2;
        RC_ASSERT(Simulation(settings).run() == std::set<Violation> {});
    }));
}

TEST_CASE("Each invariant check detects its deliberate fault", "[scheduling]")
{
    SimulationSettings settings;
    SECTION("control without a fault")
    {
        for (settings.seed = 1; settings.seed <= 20; ++settings.seed)
            REQUIRE(Simulation(settings).run().empty());
    }
    SECTION("lift left out")
    {
        settings.makeLedger = withLedger<LedgerWithoutLift>();
        REQUIRE(countViolations(Violation::Gap, settings) > 10);
    }
    SECTION("settlement left out")
    {
        settings.idlePhases = false;
        settings.duration = std::chrono::seconds(30);
        settings.wrapScheduler = withScheduler<WithoutSettlement>();
        REQUIRE(countViolations(Violation::Gap, settings) > 10);
    }
    SECTION("affinity without bound")
    {
        settings.idlePhases = false;
        settings.duration = std::chrono::seconds(30);
        settings.cell.affinitySlack = 1e6;
        settings.boundSlack = 0.25;
        REQUIRE(countViolations(Violation::Gap, settings) > 10);
    }
    SECTION("order of arrival instead of fair order")
    {
        settings.idlePhases = false;
        settings.cell.policy = Policy::Fifo;
        REQUIRE(countViolations(Violation::Gap, settings) > 10);
    }
    SECTION("avoided targets ignored")
    {
        settings.avoidance = true;
        settings.wrapScheduler = withScheduler<WithoutAvoidance>();
        REQUIRE(countViolations(Violation::AvoidIgnored, settings) == 20);
    }
    SECTION("every third schedule() does nothing")
    {
        settings.wrapScheduler = withScheduler<SkippingScheduler>();
        REQUIRE(countViolations(Violation::IdleSlot, settings) == 20);
    }
    SECTION("unused grants do not expire")
    {
        settings.wrapScheduler = withScheduler<WithoutExpiry>();
        REQUIRE(countViolations(Violation::IdleSlot, settings) == 20);
    }
    SECTION("a slot counts as free once its request has started")
    {
        settings.wrapScheduler = withScheduler<ReleasingOnStart>();
        REQUIRE(countViolations(Violation::SlotsExceeded, settings) == 20);
    }
    SECTION("one slot more than there is")
    {
        settings.wrapScheduler = withScheduler<OverstatingSlots>();
        REQUIRE(countViolations(Violation::SlotsExceeded, settings) == 20);
    }
    SECTION("a request granted twice")
    {
        settings.wrapScheduler = withScheduler<DuplicatingGrants>();
        REQUIRE(countViolations(Violation::GrantedTwice, settings) == 20);
    }
    SECTION("one customer's offers lost")
    {
        settings.wrapScheduler = withScheduler<DroppingOffers>();
        REQUIRE(countViolations(Violation::Starved, settings) == 20);
    }
    SECTION("no summaries between two cells")
    {
        settings.routers = 3;
        settings.cells = 2;
        settings.summaryLoss = 1;
        REQUIRE(countViolations(Violation::Gap, settings) > 10);
    }
}

TEST_CASE("Retained registers reduce the service gap after owner crashes", "[scheduling]")
{
    // Guards against a gap between backlogged customers that grows with the number of crashed owners. Each crash loses
    // the charges made since the owner's last summary; without registers it loses all of the owner's charges. The owner
    // crashes 40 times, and each successor takes over the cell and its running requests.
    const auto gapAfterCrashes = [](std::uint64_t seed, bool keepRegisters, Cost& bound) {
        SimulationSettings settings;
        settings.seed = seed;
        settings.weights = { 1, 1, 1, 1, 2, 4 };
        settings.targetsPerCell = 3;
        settings.largestCost = 200;
        settings.idlePhases = false;
        settings.faults = false;
        Simulation world(settings);
        world.runFor(std::chrono::seconds(2));
        for (std::uint32_t n = 1; n <= 40; ++n) {
            world.crashOwner(n % 2, keepRegisters);
            world.runFor(std::chrono::seconds(1));
        }
        bound = world.bound();
        return world.gap();
    };
    Cost withRegisters = 0;
    Cost withoutRegisters = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Cost bound = 0;
        const Cost gap = gapAfterCrashes(seed, true, bound);
        REQUIRE(gap <= bound);
        withRegisters += gap;
        withoutRegisters += gapAfterCrashes(seed, false, bound);
    }
    CAPTURE(withRegisters, withoutRegisters);
    REQUIRE(withRegisters < withoutRegisters);
}
