#pragma once

/// @file
/// Implementation of ServiceLedger, with an interface by customer index for the schedulers of the same router.

#include "scheduling/IndexedHeap.h"
#include "scheduling/LifeTable.h"

#include <absl/container/flat_hash_map.h>

namespace sagechute::scheduling {

/// Notified of every change of a customer's virtual service, local or remote. Implemented by the schedulers.
class LedgerObserver {
public:
    virtual ~LedgerObserver() = default;
    void serviceChanged(CustomerIndex c) { onServiceChanged(c); }

private:
    virtual void onServiceChanged(CustomerIndex) = 0;
};

class LedgerCore : public ServiceLedger {
public:
    LedgerCore(PoolId, RouterLife self);

    void setWeight(const CustomerId&, double weight) override;
    void charge(const CustomerId&, Cost) override;
    void setBacklogged(const CustomerId&, bool) override;
    Cost virtualService(const CustomerId&) const override;
    void mergeSummary(const PoolSummary&) override;
    PoolSummary summarize(bool full) override;
    std::vector<PoolSummary> peerSummaries() const override;
    void retire(const RouterLife&) override;
    Cost measuredGap() const override { return m_meter.largestGap(); }

    /// @return the customer's index, which never changes.
    CustomerIndex intern(const CustomerId&);
    const CustomerId& customerId(CustomerIndex c) const { return m_customers[c].id; }
    double weight(CustomerIndex c) const { return m_customers[c].weight; }
    Cost virtualService(CustomerIndex c) const { return m_customers[c].virtualService(); }
    void charge(CustomerIndex, Cost);

    /// Called by a scheduler when its cell gets the customer's first waiting request, or loses the last one. Counted
    /// per scheduler.
    void addBacklog(CustomerIndex);
    void removeBacklog(CustomerIndex);

    /// @param observer must stay valid until stopObserving().
    void observe(LedgerObserver& observer) { m_observers.push_back(&observer); }
    void stopObserving(LedgerObserver& observer) { std::erase(m_observers, &observer); }

    /// Limits how far one customer may be ahead of another after merging charges that were not visible here, such as
    /// those made during a network partition; customers further behind are lifted. Otherwise a customer served on the
    /// other side would get no service for as long as the partition had lasted.
    /// @param limit in normalised units; the highest limit set so far applies.
    void raiseCompensationLimit(Cost limit) { m_compensationLimit = std::max(m_compensationLimit, limit); }

    /// Limits how much of its lag a customer keeps while it is not backlogged. A customer whose window of offers is
    /// used up for a round trip is not idle. If it were lifted fully on each return, it would lose the service it is
    /// owed every time, and the gap to the customer ahead of it would grow without bound.
    /// @param limit in normalised units; the highest limit set so far applies.
    void raiseLagLimit(Cost limit) { m_lagLimit = std::max(m_lagLimit, limit); }

    /// @return the normalised service that other routers may have charged to one customer without this router knowing
    /// yet. If there are other owners, this includes the router's own charges between two summaries, since during that
    /// time a customer that is no longer backlogged in another cell still counts as backlogged here.
    Cost unreported() const { return m_remote.unreported() > 0 ? m_remote.unreported() + m_largestOwnStep : 0; }

    std::size_t incarnationCount() const { return m_remote.incarnationCount(); }

private:
    struct Customer {
        CustomerId id;
        double weight = 1;
        Cost own = 0; ///< Normalised service charged by this router.
        Cost remote = 0; ///< Normalised service charged by all other router incarnations.
        Cost lift = 0;
        Cost reportedService = 0; ///< Value of `own` in the last summary.
        Cost idleSince = 0; ///< Virtual time when its last backlog ended.
        std::uint32_t ownBacklogs = 0;
        std::uint32_t remoteBacklogs = 0;
        bool explicitlyBacklogged = false; ///< Set by setBacklogged().
        bool changed = false; ///< Since the last summary.
        bool backloggedSinceReport = false; ///< Was backlogged at this router at some time since the last summary.

        Cost virtualService() const { return own + remote + lift; }
        bool backlogged() const { return ownBacklogs + remoteBacklogs; }
        bool isReportable() const { return own != 0 || lift != 0 || backloggedSinceReport; }
    };

    /// @return the lift of a customer that becomes backlogged.
    /// Virtual as a test hook: a test overrides it with a wrong lift to prove that its properties detect the fault.
    virtual Cost liftFor(Cost service, Cost idleSince, Cost virtualTime) const;

    void markChanged(CustomerIndex);
    void notifyServiceChanged(CustomerIndex);
    /// @return the smallest virtual service among the backlogged customers, or the highest such value recorded so far
    /// when there are none.
    Cost virtualTime() const { return m_backloggedOrder.empty() ? m_virtualTime : m_backloggedOrder.top().key; }
    void updateVirtualTime() { m_virtualTime = std::max(m_virtualTime, virtualTime()); }
    void enterBacklogged(CustomerIndex);
    void leaveBacklogged(CustomerIndex);
    void apply(const std::vector<RegisterChange>&);
    void mergeLift(CustomerIndex, Cost lift);
    void enforceCompensationLimit(Cost meanStep);
    CustomerServiceEntry makeEntry(CustomerIndex) const;
    void markReported(const std::vector<CustomerIndex>&);
    std::vector<CustomerIndex> reportableCustomers() const;
    std::vector<CustomerIndex> changedAndRefreshedCustomers();

    PoolId m_pool;
    RouterLife m_self;
    std::vector<Customer> m_customers;
    absl::flat_hash_map<CustomerId, CustomerIndex, std::hash<CustomerId>> m_index;
    std::vector<LedgerObserver*> m_observers;
    LifeTable m_remote;
    GapMeter m_meter;
    IndexedHeap<Cost> m_backloggedOrder; ///< Backlogged customers by virtual service.
    std::vector<CustomerIndex> m_changed;
    Cost m_virtualTime = 0;
    Cost m_compensationLimit = 0; ///< 0 for no limit.
    Cost m_lagLimit = 0;
    Cost m_largestOwnStep = 0;
    std::uint64_t m_sequence = 0;
    CustomerIndex m_refreshCursor = 0;
};

} // namespace sagechute::scheduling
