#pragma once

/// @file
/// Simulation of cells, routers and targets under a virtual clock, with fault injection. Checks invariants at every
/// step; service and slots in use are taken from the simulation's own counts, not from the code under test.

#include "scheduling/LedgerCore.h"

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <set>

namespace sagechute::scheduling::test {

enum class Violation {
    Gap, ///< The service gap between two backlogged customers exceeds the bound.
    MeasuredGap, ///< The reported gap exceeds the reported bound.
    IdleSlot, ///< A slot is free after schedule() although a waiting request could use it.
    SlotsExceeded,
    GrantedTwice, ///< A request is granted while it already holds a grant or runs.
    AvoidIgnored,
    Starved, ///< A request is still unfinished long after arrivals have stopped.
};

std::ostream& operator<<(std::ostream&, Violation);

using WrapScheduler = std::function<std::unique_ptr<CellScheduler>(std::unique_ptr<CellScheduler>)>;
using MakeLedger = std::function<std::unique_ptr<ServiceLedger>(const PoolId&, const RouterLife&)>;

struct SimulationSettings {
    std::uint64_t seed = 1;
    std::uint32_t routers = 2; ///< Number of routers; the first ones own one cell each.
    std::uint32_t cells = 1;
    std::uint32_t targetsPerCell = 2;
    std::uint32_t slotsPerTarget = 2;
    std::vector<double> weights { 1, 1, 2, 1 }; ///< Weight of each customer.
    Cost largestCost = 100;
    bool avoidance = false; ///< Some requests avoid targets; these are excluded from the gap.
    bool faults = true; ///< Declined and unused grants, duplicate messages, router crashes, resynchronisations.
    bool crashes = true;
    double summaryLoss = 0.2;
    bool idlePhases = true; ///< Customers become idle and return.
    Duration duration = std::chrono::seconds(10);
    CellSettings cell;
    std::optional<double> boundSlack; ///< Affinity slack assumed by the bound, if different from the cell's.
    WrapScheduler wrapScheduler; ///< Replaces the scheduler by one with a deliberate fault.
    MakeLedger makeLedger; ///< Replaces the ledger likewise.
};

class Simulation {
public:
    explicit Simulation(const SimulationSettings&);

    /// Runs until all requests have ended or a timeout passes. @return the invariants that were violated.
    std::set<Violation> run();

    /// Crashes the owner of cell 0; router @p next takes over the cell.
    /// @param keepRegisters whether the successor keeps the summaries that it has merged, or starts with an empty
    /// ledger.
    void crashOwner(std::uint32_t next, bool keepRegisters);
    void runFor(Duration);

    /// @return the largest current service gap.
    Cost gap() const { return m_gap; }
    Cost bound() const;

private:
    enum class State { Offered, Granted, Running, Ended };

    struct Request {
        Offer offer;
        std::uint32_t router = 0;
        std::uint32_t customer = 0;
        CellId cell;
        TimePoint offeredAt {};
        State state = State::Offered;
        Cost cost = 0;
        Cost charged = 0;
        bool used = true; ///< The router uses the grant.
        bool declined = false; ///< The router declines the grant instead of letting it expire.
        TargetId target;
        TimePoint until {}; ///< Expiry of the grant, or end of the run.
    };

    struct Router {
        RouterLife life;
        std::unique_ptr<ServiceLedger> ledger;
        std::unique_ptr<CellScheduler> scheduler;
        std::unique_ptr<OfferPlacer> placer;
        std::optional<std::uint32_t> cell;
    };

    struct Customer {
        CustomerId id;
        double weight = 1;
        Cost meanCost = 1;
        double hintFactor = 0;
        bool active = true;
        Cost served = 0; ///< Actual normalised cost of the grants that were used.
        std::uint32_t waiting = 0;
    };

    struct SummaryInTransit {
        TimePoint due;
        std::uint32_t to = 0;
        PoolSummary summary;
    };

    CellScheduler& schedulerOf(const CellId&);
    std::vector<CellTarget> targetsOf(std::uint32_t cell) const;
    void takeOwnership(Router&, std::uint32_t cell);
    void step();
    void finishRuns();
    void removeEnded();
    void expireGrants();
    void setState(Request&, State);
    void generateArrivals();
    void addRequest(std::uint32_t customer);
    void injectFaults();
    void crashRouter(std::uint32_t router);
    void resynchronise(std::uint32_t router);
    void moveOffers();
    void scheduleCell(Router&);
    void handleGrant(Router&, const Grant&);
    void resolveGrants(Router&);
    void checkIdleSlots(const Router&);
    void exchangeSummaries();
    void updateBaselines();
    void checkGaps();
    bool chance(double probability) { return m_random.fraction() < probability; }

    SimulationSettings m_settings;
    SeededRandom m_random;
    PoolId m_pool { "appraisal" };
    TimePoint m_now {};
    std::vector<Router> m_routers;
    std::vector<Customer> m_customers;
    std::map<RequestId, Request> m_requests;
    std::map<TargetId, std::uint32_t> m_used;
    std::vector<SummaryInTransit> m_summariesInTransit;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Cost> m_baselines;
    std::set<Violation> m_violations;
    std::uint64_t m_serial = 0;
    TimePoint m_nextSummary {};
    Cost m_largestCost = 0;
    Cost m_largestError = 0;
    Cost m_gap = 0;
    bool m_arrivalsEnabled = true;
};

} // namespace sagechute::scheduling::test
