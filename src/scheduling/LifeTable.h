#pragma once

/// @file
/// Registers of the service charged by other router incarnations.

#include "scheduling/GapMeter.h"
#include "scheduling/MovingMean.h"

#include <sagechute/Scheduling.h>

#include <deque>
#include <map>
#include <set>

namespace sagechute::scheduling {

/// One customer's entry of a summary, with the customer's index instead of its name.
struct ServiceReport {
    CustomerIndex customer = 0;
    Cost service = 0;
    bool backlogged = false;
};

/// Effect of a merge on one customer.
struct RegisterChange {
    CustomerIndex customer = 0;
    Cost service = 0; ///< Change of the normalised service.
    int backlogs = 0; ///< Change of the number of incarnations where the customer is backlogged.
    /// The service was charged before this router first heard of it, so it does not count as a gap.
    bool history = false;
};

/// Service per customer charged by the other router incarnations (RouterLife) of one pool. Each register holds an
/// absolute value and the sequence number of its summary, so merging is idempotent and independent of order.
///
/// Routers restart and are replaced, so incarnations accumulate. The latest kMaxRetired retired incarnations keep their
/// registers; if one of them was retired by mistake and returns, only its new charges are added. Older ones are folded
/// into a common base and only their names are kept; if one of these returns, the first values that it reports are
/// taken as already folded.
class LifeTable {
public:
    static constexpr std::size_t kMaxRetired = 64;
    /// Includes retired ones, so that snapshots() fits into another table.
    static constexpr std::size_t kMaxIncarnations = 512;
    static constexpr std::size_t kMaxFoldedNames = 4096;

    explicit LifeTable(RouterLife self);

    /// Merges the reports of one summary of @p life.
    /// @return the changes, at most one per customer and report.
    std::vector<RegisterChange> mergeReports(
        const RouterLife& life, std::uint64_t sequence, bool full, const std::vector<ServiceReport>& reports);

    /// Marks an incarnation as terminated. @return the backlogs that end.
    std::vector<RegisterChange> retire(const RouterLife& life);

    /// Adopts a peer's base if this table has none, since then it has not seen the incarnations folded into it.
    std::vector<RegisterChange> mergeBase(const std::vector<ServiceReport>& reports);

    /// @return a bound on the service charged to one customer and not yet reported here: the sum over all incarnations
    /// of the largest change that a single summary made to a customer.
    Cost unreported() const { return m_unreported; }

    /// @return the same sum, of the moving mean of each incarnation's changes instead of the largest one.
    Cost meanStep() const;

    /// Registers of one incarnation, for sending to another router.
    struct Snapshot {
        RouterLife life;
        std::uint64_t sequence = 0;
        std::vector<ServiceReport> reports;
    };

    /// @return the base (with an empty VM), followed by every incarnation with registers. Backlogs are left out: an
    /// incarnation that has died unnoticed would keep its customers backlogged forever in a router that merges it now.
    std::vector<Snapshot> snapshots() const;

    std::size_t incarnationCount() const { return m_incarnations.size(); }

private:
    struct Register {
        Cost service = 0;
        Cost folded = 0; ///< Part of the service that is already included in the base.
        std::uint64_t sequence = 0;
        bool known = false;
        bool backlogged = false;
    };

    struct RouterEntry {
        std::vector<Register> registers;
        std::uint64_t sequence = 0;
        std::uint64_t lastUpdate = 0; ///< Value of m_updateCount.
        std::uint64_t retiredAt = 0; ///< Sequence number at retirement.
        std::uint32_t summariesSinceRetired = 0;
        bool retired = false;
        bool wasFolded = false; ///< Folded before it returned: the base includes its earlier charges.
        bool complete = false; ///< All its charges are known: a full summary or the first one was merged.
        Cost largestStep = 0;
        MovingMean meanStep;
    };

    using RouterEntries = std::map<RouterLife, RouterEntry>;

    RouterEntry& findOrCreate(const RouterLife&);
    void advanceSequence(const RouterLife&, RouterEntry&, std::uint64_t sequence, std::vector<RegisterChange>&);
    /// @return the absolute change of the service, or 0 if it is history.
    Cost merge(RouterEntry&, std::uint64_t sequence, const ServiceReport&, std::vector<RegisterChange>&);
    void endStaleBacklogs(RouterEntry&, std::uint64_t sequence, std::vector<RegisterChange>&);
    void retireOlderIncarnations(const RouterLife&, std::vector<RegisterChange>&);
    bool hasNewerIncarnation(const RouterLife&) const;
    void retire(const RouterLife&, RouterEntry&, std::vector<RegisterChange>&);
    void revive(const RouterLife&, RouterEntry&, std::vector<RegisterChange>&);
    void enforceLimits(std::vector<RegisterChange>&);
    void fold(RouterEntries::iterator);
    void rememberFolded(const RouterLife&);
    Cost& base(CustomerIndex);

    RouterLife m_self;
    RouterEntries m_incarnations;
    std::deque<RouterLife> m_retiredOrder; ///< Oldest first.
    std::vector<Cost> m_base;
    std::set<RouterLife> m_foldedNames;
    std::deque<RouterLife> m_foldedOrder;
    std::uint64_t m_updateCount = 0;
    Cost m_unreported = 0;
};

} // namespace sagechute::scheduling
