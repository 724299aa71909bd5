#include "scheduling/CellSchedulerCore.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    // After a network partition, customers that received less service are preferred until the difference is at most
    // this multiple of the gap bound.
    constexpr double kCompensationFactor = 4;

} // namespace

void CellSchedulerCore::expireGrants(TimePoint now)
{
    while (!m_grants.empty() && m_requests[m_grants.first].expires <= now) {
        const RequestIndex r = m_grants.first;
        if (m_requests[r].state == RequestState::Dropped) {
            endDroppedGrant(r);
            continue;
        }
        endGrant(r);
        ++m_stats.expired;
        m_requests[r].grantExpired = true;
        startWaiting(r);
    }
}

void CellSchedulerCore::expireOffers(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->at <= now)
        removeWaiting(m_deadlines.begin()->request);
}

void CellSchedulerCore::applyPendingReorders()
{
    for (const CustomerIndex c : m_pendingReorders) {
        m_customers[c].needsReorder = false;
        m_queues.reorder(c);
    }
    m_pendingReorders.clear();
}

double CellSchedulerCore::effectiveAffinitySlack() const
{
    // With Policy::Fifo all queue keys have service 0, so any slack would let every request overtake.
    return m_settings.policy == Policy::Fifo ? 0 : std::max(0.0, m_settings.affinitySlack);
}

Cost CellSchedulerCore::estimate(const Request& request)
{
    const Cost cost = customer(request.customer).estimator.estimate(request.hint, m_poolCost.value());
    return clampCost(cost);
}

Grant CellSchedulerCore::grant(TimePoint now, const GrantChooser::Choice& choice)
{
    Request& request = m_requests[choice.request];
    // Ends the backlog before charging. A customer that becomes backlogged next then starts level with the customer
    // served last, instead of behind the charge for this request.
    stopWaiting(choice.request);
    request.state = RequestState::Granted;
    request.grantExpired = false;
    request.target = choice.target;
    request.targetHash = m_targets.hash(choice.target);
    request.expires = now + m_settings.grantLifetime;
    request.estimate = estimate(request);
    m_targets.acquire(choice.target);
    m_grants.append(m_requests, choice.request);
    m_gapBound.recordGrant(normalised(request, request.estimate));
    charge(request, request.estimate);
    ++m_stats.granted;
    m_stats.affinityHits += choice.prefixCached;
    const TargetId& target = m_targets.id(choice.target);
    return { m_requests.id(choice.request), m_ledger.customerId(request.customer), target, request.charged,
        request.expires };
}

std::vector<Grant> CellSchedulerCore::schedule(TimePoint now)
{
    expireGrants(now);
    expireOffers(now);
    std::vector<Grant> grants;
    while (true) {
        applyPendingReorders();
        const auto choice = m_chooser.next(effectiveAffinitySlack() * m_gapBound.spread(0, 0));
        if (!choice)
            break;
        grants.push_back(grant(now, *choice));
    }
    m_ledger.raiseLagLimit(m_gapBound.spread(effectiveAffinitySlack(), m_ledger.unreported()));
    m_ledger.raiseCompensationLimit(kCompensationFactor * m_gapBound.gap(effectiveAffinitySlack(), 0));
    return grants;
}

std::optional<TimePoint> CellSchedulerCore::nextDue() const
{
    std::optional<TimePoint> due;
    if (!m_grants.empty())
        due = m_requests[m_grants.first].expires;
    if (!m_deadlines.empty() && (!due || m_deadlines.begin()->at < *due))
        due = m_deadlines.begin()->at;
    return due;
}

CellDigest CellSchedulerCore::digest() const
{
    CellDigest digest { m_cell.index, m_targets.freeSlots(), m_queues.waiting() };
    using Order = IndexedHeap<WaitingQueues::ServiceKey>;
    const Order* first = &m_queues.unrestricted().order;
    for (const auto& it : m_queues.restricted()) {
        const Order& order = it.second.order;
        if (first->empty() || order.top().key < first->top().key)
            first = &order;
    }
    if (!first->empty())
        digest.headService = m_ledger.virtualService(first->top().item);
    return digest;
}

CellStats CellSchedulerCore::stats() const
{
    CellStats stats = m_stats;
    stats.waiting = m_queues.waiting();
    stats.slots = m_targets.slots();
    stats.freeSlots = m_targets.freeSlots();
    stats.gapBound = m_gapBound.gap(effectiveAffinitySlack(), m_ledger.unreported());
    return stats;
}

} // namespace sagechute::scheduling
