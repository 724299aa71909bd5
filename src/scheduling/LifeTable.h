#pragma once

/// @file
/// Registers of the service that other router lives have charged.

#include "scheduling/GapMeter.h"
#include "scheduling/MovingMean.h"

#include <sagechute/Scheduling.h>

#include <deque>
#include <map>
#include <set>

namespace sagechute::scheduling {

/// One customer's part of a summary, with the customer's position in place of its name.
struct ServiceReport {
    CustomerIndex customer = 0;
    Cost service = 0;
    bool backlogged = false;
};

/// What a merge changes for one customer.
struct RegisterChange {
    CustomerIndex customer = 0;
    Cost service = 0; ///< Difference of the service to count.
    int backlogs = 0; ///< Difference of the number of lives where it is backlogged.
    bool history = false; ///< The difference was charged before this router knew of it at all.
};

/// The other lives of one pool. Each register holds an absolute value and the sequence number of its summary, so
/// merging is idempotent and independent of order.
///
/// Routers are replaced at any time, so lives pile up. A retired life keeps its registers while it is among the latest
/// kRetiredLivesKept, so that a life retired by mistake adds only what is new when it returns. An older one is folded
/// into a base, and of it only the name is kept: should it return, its first values count as already folded.
class LifeTable {
public:
    static constexpr std::size_t kRetiredLivesKept = 64;
    static constexpr std::size_t kLivesKept = 512; ///< Retired ones included, so that known() fits into another table.
    static constexpr std::size_t kNamesKept = 4096;

    explicit LifeTable(RouterLife self);

    /// Merges the reports of one summary of @p life.
    /// @return the changes; at most one per customer and report.
    std::vector<RegisterChange> absorb(
        const RouterLife& life, std::uint64_t sequence, bool full, const std::vector<ServiceReport>& reports);

    /// @return the backlogs that end.
    std::vector<RegisterChange> retire(const RouterLife& life);

    /// Takes a peer's base, if this table has none and so has missed the lives in it.
    std::vector<RegisterChange> absorbBase(const std::vector<ServiceReport>& reports);

    /// @return the sum over lives of the largest step that one summary made to a customer: what may be charged unseen.
    Cost unseen() const { return m_unseen; }

    /// @return the same from the latest summaries' usual steps.
    Cost usualStep() const;

    /// One life's registers for passing on.
    struct Known {
        RouterLife life;
        std::uint64_t sequence = 0;
        std::vector<ServiceReport> reports;
    };

    /// @return the base first (an empty VM), then every life with registers, all without backlogs: a life that is dead
    /// but not known to be so here would keep its customers backlogged for ever in a router that learns of it only now.
    std::vector<Known> known() const;

    std::size_t lifeCount() const { return m_lives.size(); }

private:
    struct Register {
        Cost service = 0;
        Cost folded = 0; ///< Part of the service that the base holds already.
        std::uint64_t sequence = 0;
        bool known = false;
        bool backlogged = false;
    };

    struct Life {
        std::vector<Register> registers;
        std::uint64_t sequence = 0;
        std::uint64_t heard = 0;
        std::uint64_t retiredAt = 0; ///< Sequence number then.
        std::uint32_t newerSummaries = 0; ///< Since its retirement.
        bool retired = false;
        bool returned = false; ///< The base holds what it had charged.
        bool complete = false; ///< A full summary was merged.
        Cost largestStep = 0;
        MovingMean usualStep;
    };

    using Lives = std::map<RouterLife, Life>;

    Life& lifeFor(const RouterLife&);
    void noteSequence(const RouterLife&, Life&, std::uint64_t sequence, std::vector<RegisterChange>&);
    /// @return by how much the service changed, history aside.
    Cost merge(Life&, std::uint64_t sequence, const ServiceReport&, std::vector<RegisterChange>&);
    void endOldBacklogs(Life&, std::uint64_t sequence, std::vector<RegisterChange>&);
    void retireEarlierLives(const RouterLife&, std::vector<RegisterChange>&);
    bool hasLaterLife(const RouterLife&) const;
    void retire(const RouterLife&, Life&, std::vector<RegisterChange>&);
    void revive(const RouterLife&, Life&, std::vector<RegisterChange>&);
    void limitLives(std::vector<RegisterChange>&);
    void fold(Lives::iterator);
    void rememberName(const RouterLife&);
    Cost& base(CustomerIndex);

    RouterLife m_self;
    Lives m_lives;
    std::deque<RouterLife> m_retired; ///< Oldest first.
    std::vector<Cost> m_base;
    std::set<RouterLife> m_foldedNames;
    std::deque<RouterLife> m_foldedOrder;
    std::uint64_t m_heard = 0;
    Cost m_unseen = 0;
};

} // namespace sagechute::scheduling
