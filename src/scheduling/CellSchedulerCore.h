#pragma once

/// @file
/// The implementation of CellScheduler.

#include "scheduling/CostEstimator.h"
#include "scheduling/GapBound.h"
#include "scheduling/GrantChooser.h"

namespace sagechute::scheduling {

class CellSchedulerCore final : public CellScheduler, private LedgerObserver {
public:
    CellSchedulerCore(CellId, const CellSettings&, LedgerCore&);
    ~CellSchedulerCore() override;
    CellSchedulerCore(const CellSchedulerCore&) = delete;
    CellSchedulerCore& operator=(const CellSchedulerCore&) = delete;

    void setTargets(const std::vector<CellTarget>&) override;
    void setAccepting(const TargetId&, bool accepting) override;
    void offer(TimePoint now, Offer) override;
    void withdraw(TimePoint now, const RequestId&) override;
    void decline(TimePoint now, const RequestId&) override;
    void started(TimePoint now, const RequestId&) override;
    void adopt(TimePoint now, const InFlight&) override;
    void progress(TimePoint now, const RequestId&, Cost soFar) override;
    void settle(TimePoint now, const RequestId&, Cost final) override;
    void dropRouter(TimePoint now, const RouterLife&) override;
    void prefixStored(const TargetId&, std::uint64_t prefix) override;
    void prefixEvicted(const TargetId&, std::uint64_t prefix) override;
    void prefixesUnknown(const TargetId&) override;
    std::vector<Grant> schedule(TimePoint now) override;
    std::optional<TimePoint> nextDue() const override;
    std::optional<TargetId> targetOf(const RequestId&) const override;
    CellDigest digest() const override;
    CellStats stats() const override;

private:
    struct Deadline {
        TimePoint at;
        RequestIndex request = kNoRequest;
        auto operator<=>(const Deadline&) const = default;
    };

    struct Customer {
        CostEstimator estimator;
        bool needsReorder = false; ///< Its virtual service changed since its queue keys were set.
    };

    void onServiceChanged(CustomerIndex) override;
    Customer& customer(CustomerIndex);
    Cost normalised(const Request&, Cost) const;

    void applyOffer(Request&, Offer&&) const;
    void replaceOffer(RequestIndex, Offer&&);
    void startWaiting(RequestIndex);
    void stopWaiting(RequestIndex);
    void removeWaiting(RequestIndex);

    void setRunning(Request&, TargetIndex);
    void charge(Request&, Cost total);
    void refund(Request&);
    void endGrant(RequestIndex);
    void endDroppedGrant(RequestIndex);
    bool recoverExpiredGrant(RequestIndex);

    /// Marks a request as running after a message from its router, since any message on a granted request implies that
    /// the grant was used. @return false if the request is still waiting.
    bool ensureRunning(RequestIndex);
    void seedEstimates(const Request&);
    void finish(RequestIndex, Cost final);
    void dropRequest(RequestIndex);

    void expireGrants(TimePoint now);
    void expireOffers(TimePoint now);
    void applyPendingReorders();
    double effectiveAffinitySlack() const;
    Cost estimate(const Request&);
    Grant grant(TimePoint now, const GrantChooser::Choice&);

    CellId m_cell;
    CellSettings m_settings;
    LedgerCore& m_ledger;
    TargetTable m_targets;
    PrefixIndex m_prefixes;
    CellRequests m_requests;
    WaitingQueues m_queues;
    GrantChooser m_chooser;
    GapBound m_gapBound;
    MovingMean m_poolCost;
    std::vector<Customer> m_customers;
    std::vector<CustomerIndex> m_pendingReorders;
    /// Granted and dropped requests, in order of expiry, since all grants have the same lifetime.
    RequestList m_grants;
    std::set<Deadline> m_deadlines; ///< Deadlines of waiting requests.
    std::uint64_t m_arrivals = 0;
    CellStats m_stats;
};

} // namespace sagechute::scheduling
