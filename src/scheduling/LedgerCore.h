#pragma once

/// @file
/// The ledger as the schedulers of its router see it: customers by position instead of name.

#include "scheduling/IndexedHeap.h"
#include "scheduling/LifeTable.h"

#include <absl/container/flat_hash_map.h>

namespace sagechute::scheduling {

/// Hears of changes of virtual service, whoever makes them; a port for the schedulers.
class LedgerObserver {
public:
    virtual ~LedgerObserver() = default;
    void serviceChanged(CustomerIndex c) { onServiceChanged(c); }

private:
    virtual void onServiceChanged(CustomerIndex) = 0;
};

/// The implementation of ServiceLedger.
class LedgerCore : public ServiceLedger {
public:
    LedgerCore(PoolId, RouterLife self);

    void setWeight(const CustomerId&, double weight) override;
    void charge(const CustomerId&, Cost) override;
    void setBacklogged(const CustomerId&, bool) override;
    Cost virtualService(const CustomerId&) const override;
    void absorb(const PoolSummary&) override;
    PoolSummary summarize(bool full) override;
    std::vector<PoolSummary> others() const override;
    void retire(const RouterLife&) override;
    Cost measuredGap() const override { return m_meter.largestGap(); }

    /// @return the customer's position; it stays the same for good.
    CustomerIndex intern(const CustomerId&);
    const CustomerId& customerId(CustomerIndex c) const { return m_customers[c].id; }
    double weight(CustomerIndex c) const { return m_customers[c].weight; }
    Cost virtualService(CustomerIndex c) const { return m_customers[c].virtualService(); }
    void charge(CustomerIndex, Cost);

    /// A scheduler's cell has its first, or no longer any, waiting request of the customer; each scheduler counts once.
    void addBacklog(CustomerIndex);
    void removeBacklog(CustomerIndex);

    /// @param observer outlives its stopObserving().
    void observe(LedgerObserver& observer) { m_observers.push_back(&observer); }
    void stopObserving(LedgerObserver& observer) { std::erase(m_observers, &observer); }

    /// Bounds what a customer may be ahead of another after absorbing what was charged out of sight, such as in a
    /// partition: those further behind are lifted. Without it the customer that was served there would get nothing for
    /// as long as the partition lasted. @param most in normalised units; the largest limit set counts.
    void limitCompensation(Cost most) { m_compensation = std::max(m_compensation, most); }

    /// Sets how much of its lag a customer keeps while it is not backlogged. A customer whose window of offers runs out
    /// for a round trip is not idle: lifted each time, it would lose what it is owed again and again, and the customer
    /// ahead of it would draw away for good. @param most in normalised units; the largest limit set counts.
    void keepLag(Cost most) { m_lagKept = std::max(m_lagKept, most); }

    /// @return normalised service that other lives may have charged to one customer without this router knowing it yet.
    /// With other owners this one's own charges between two summaries count as well: for that time a customer that has
    /// left another cell still counts as backlogged here.
    Cost unseen() const { return m_lives.unseen() > 0 ? m_lives.unseen() + m_largestOwnStep : 0; }

    std::size_t lifeCount() const { return m_lives.lifeCount(); }

private:
    struct Customer {
        CustomerId id;
        double weight = 1;
        Cost own = 0; ///< Normalised service charged by this life.
        Cost others = 0; ///< The same by all others.
        Cost lift = 0;
        Cost told = 0; ///< Of `own`, in the last summary.
        Cost leftAt = 0; ///< Virtual time when it was last backlogged.
        std::uint32_t ownBacklogs = 0;
        std::uint32_t otherBacklogs = 0;
        bool backloggedByName = false; ///< By setBacklogged().
        bool changed = false; ///< Since the last summary.
        bool wasBacklogged = false; ///< Here, at some time since the last summary.

        Cost virtualService() const { return own + others + lift; }
        bool backlogged() const { return ownBacklogs + otherBacklogs; }
        bool worthTelling() const { return own != 0 || lift != 0 || wasBacklogged; }
    };

    /// Test hook: a test derives a ledger that lifts wrongly and requires that its properties notice.
    /// @return by how much a customer that becomes backlogged is raised.
    virtual Cost onLift(Cost service, Cost leftAt, Cost virtualTime) const;

    void tell(CustomerIndex);
    void serviceMoved(CustomerIndex);
    /// @return the smallest virtual service of the backlogged, or the largest such value seen when there is none.
    Cost virtualTime() const { return m_order.empty() ? m_virtualTime : m_order.top().key; }
    void noteVirtualTime() { m_virtualTime = std::max(m_virtualTime, virtualTime()); }
    void enterBacklogged(CustomerIndex);
    void leaveBacklogged(CustomerIndex);
    void apply(const std::vector<RegisterChange>&);
    void mergeLift(CustomerIndex, Cost lift);
    void boundCompensation(Cost usualStep);
    CustomerService report(CustomerIndex) const;
    void noteTold(const std::vector<CustomerIndex>&);
    std::vector<CustomerIndex> allWorthTelling() const;
    std::vector<CustomerIndex> changedAndSomeInTurn();

    PoolId m_pool;
    RouterLife m_self;
    std::vector<Customer> m_customers;
    absl::flat_hash_map<CustomerId, CustomerIndex, std::hash<CustomerId>> m_index;
    std::vector<LedgerObserver*> m_observers;
    LifeTable m_lives;
    GapMeter m_meter;
    IndexedHeap<Cost> m_order; ///< The backlogged customers by virtual service.
    std::vector<CustomerIndex> m_changed;
    Cost m_virtualTime = 0;
    Cost m_compensation = 0; ///< 0 for no bound.
    Cost m_lagKept = 0;
    Cost m_largestOwnStep = 0;
    std::uint64_t m_sequence = 0;
    CustomerIndex m_nextInTurn = 0;
};

} // namespace sagechute::scheduling
