#include "scheduling/CellSchedulerCore.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    // A prompt of 32 KB has over a hundred prefixes; an evenly spaced subset is enough to find the shared part.
    constexpr std::size_t kMaxPrefixesPerRequest = 16;
    constexpr std::size_t kMaxAvoidedTargets = 64;

    std::vector<std::uint64_t> selectPrefixes(std::vector<std::uint64_t> prefixes)
    {
        if (prefixes.size() <= kMaxPrefixesPerRequest)
            return prefixes;
        std::vector<std::uint64_t> selected;
        for (std::size_t n = 1; n <= kMaxPrefixesPerRequest; ++n)
            selected.push_back(prefixes[n * prefixes.size() / kMaxPrefixesPerRequest - 1]);
        return selected;
    }

    std::vector<TargetHash> hashesOf(const std::vector<TargetId>& targets)
    {
        std::vector<TargetHash> hashes;
        for (const auto& it : targets) {
            if (hashes.size() < kMaxAvoidedTargets)
                hashes.push_back(targetHash(it));
        }
        std::sort(hashes.begin(), hashes.end());
        hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
        return hashes;
    }

} // namespace

std::unique_ptr<CellScheduler> CellScheduler::make(CellId cell, const CellSettings& settings, ServiceLedger& ledger)
{
    return std::make_unique<CellSchedulerCore>(std::move(cell), settings, static_cast<LedgerCore&>(ledger));
}

CellSchedulerCore::CellSchedulerCore(CellId cell, const CellSettings& settings, LedgerCore& ledger)
    : m_cell(std::move(cell))
    , m_settings(settings)
    , m_ledger(ledger)
    , m_queues(m_requests, ledger, settings.policy == Policy::Fifo)
    , m_chooser(m_requests, m_queues, m_targets, m_prefixes)
{
    m_ledger.observe(*this);
}

CellSchedulerCore::~CellSchedulerCore()
{
    m_ledger.stopObserving(*this);
    for (CustomerIndex c = 0; c < m_customers.size(); ++c) {
        if (m_queues.waitingOf(c))
            m_ledger.removeBacklog(c);
    }
}

void CellSchedulerCore::onServiceChanged(CustomerIndex c)
{
    if (!m_queues.waitingOf(c) || m_customers[c].needsReorder)
        return;
    m_customers[c].needsReorder = true;
    m_pendingReorders.push_back(c);
}

CellSchedulerCore::Customer& CellSchedulerCore::customer(CustomerIndex c)
{
    if (c >= m_customers.size())
        m_customers.resize(c + 1);
    return m_customers[c];
}

Cost CellSchedulerCore::normalised(const Request& request, Cost cost) const
{
    return cost / m_ledger.weight(request.customer);
}

void CellSchedulerCore::setTargets(const std::vector<CellTarget>& targets)
{
    const auto update = m_targets.setTargets(targets);
    for (const TargetIndex t : update.removed)
        m_prefixes.clearTarget(t);
    m_prefixes.setTargetCount(m_targets.size());
    m_gapBound.recordSlots(m_targets.slots());
}

void CellSchedulerCore::setAccepting(const TargetId& target, bool accepting)
{
    m_targets.setAccepting(target, accepting);
}

void CellSchedulerCore::applyOffer(Request& request, Offer&& offer) const
{
    request.hint = offer.hint;
    request.prefixes = selectPrefixes(std::move(offer.prefixes));
    request.avoid = hashesOf(offer.avoid);
    request.deadline = offer.deadline.value_or(TimePoint::max());
}

void CellSchedulerCore::offer(TimePoint now, Offer offer)
{
    RequestIndex r = m_requests.find(offer.request);
    if (r != kNoRequest && m_requests[r].state == RequestState::Dropped) {
        endDroppedGrant(r);
        r = kNoRequest;
    }
    if (r != kNoRequest) {
        replaceOffer(r, std::move(offer));
        return;
    }
    if (offer.deadline && *offer.deadline <= now)
        return;
    r = m_requests.create(offer.request);
    m_requests[r].customer = m_ledger.intern(offer.customer);
    m_requests[r].arrival = ++m_arrivals;
    applyOffer(m_requests[r], std::move(offer));
    startWaiting(r);
}

void CellSchedulerCore::replaceOffer(RequestIndex r, Offer&& offer)
{
    Request& request = m_requests[r];
    if (request.state == RequestState::Running)
        return;
    if (request.state != RequestState::Waiting) {
        applyOffer(request, std::move(offer));
        return;
    }
    // Keeps the customer backlogged meanwhile: ending and restarting the backlog would lift a customer that never
    // stopped waiting.
    const CustomerIndex c = request.customer;
    m_ledger.addBacklog(c);
    stopWaiting(r);
    applyOffer(request, std::move(offer));
    startWaiting(r);
    m_ledger.removeBacklog(c);
}

void CellSchedulerCore::startWaiting(RequestIndex r)
{
    Request& request = m_requests[r];
    request.state = RequestState::Waiting;
    customer(request.customer);
    // The ledger comes first, since the lift changes the customer's key in the queue.
    if (!m_queues.waitingOf(request.customer))
        m_ledger.addBacklog(request.customer);
    m_queues.add(r);
    if (request.deadline != TimePoint::max())
        m_deadlines.insert({ request.deadline, r });
}

void CellSchedulerCore::stopWaiting(RequestIndex r)
{
    const Request& request = m_requests[r];
    m_queues.remove(r);
    if (request.deadline != TimePoint::max())
        m_deadlines.erase({ request.deadline, r });
    if (!m_queues.waitingOf(request.customer))
        m_ledger.removeBacklog(request.customer);
}

void CellSchedulerCore::removeWaiting(RequestIndex r)
{
    stopWaiting(r);
    m_requests.remove(r);
}

void CellSchedulerCore::withdraw(TimePoint now, const RequestId& id)
{
    const RequestIndex r = m_requests.find(id);
    if (r == kNoRequest)
        return;
    if (m_requests[r].state == RequestState::Waiting)
        removeWaiting(r);
    else if (m_requests[r].state == RequestState::Granted)
        decline(now, id);
}

void CellSchedulerCore::decline(TimePoint, const RequestId& id)
{
    const RequestIndex r = m_requests.find(id);
    if (r == kNoRequest)
        return;
    Request& request = m_requests[r];
    if (request.state == RequestState::Granted) {
        endGrant(r);
    } else if (request.state == RequestState::Running) {
        // An owner with a reliable stream to the router assumes that every grant is used and is told of exceptions
        // only.
        --m_stats.running;
        refund(request);
    } else {
        return;
    }
    m_requests.remove(r);
}

void CellSchedulerCore::charge(Request& request, Cost total)
{
    m_ledger.charge(request.customer, total - request.charged);
    request.charged = total;
}

void CellSchedulerCore::setRunning(Request& request, TargetIndex target)
{
    m_targets.acquire(target);
    request.target = target;
    request.state = RequestState::Running;
    ++m_stats.running;
}

void CellSchedulerCore::endGrant(RequestIndex r)
{
    m_grants.remove(m_requests, r);
    refund(m_requests[r]);
}

void CellSchedulerCore::refund(Request& request)
{
    m_targets.release(request.target);
    m_gapBound.recordEnd(normalised(request, request.estimate), 0);
    charge(request, 0);
}

void CellSchedulerCore::endDroppedGrant(RequestIndex r)
{
    m_grants.remove(m_requests, r);
    m_requests.remove(r);
}

void CellSchedulerCore::started(TimePoint, const RequestId& id)
{
    const RequestIndex r = m_requests.find(id);
    if (r != kNoRequest)
        ensureRunning(r);
}

bool CellSchedulerCore::ensureRunning(RequestIndex r)
{
    Request& request = m_requests[r];
    if (request.state == RequestState::Running)
        return true;
    if (request.state != RequestState::Granted)
        return recoverExpiredGrant(r);
    m_grants.remove(m_requests, r);
    request.state = RequestState::Running;
    ++m_stats.running;
    return true;
}

void CellSchedulerCore::progress(TimePoint, const RequestId& id, Cost soFar)
{
    const RequestIndex r = m_requests.find(id);
    if (r == kNoRequest || !ensureRunning(r) || !isValidCost(soFar))
        return;
    Request& request = m_requests[r];
    const Cost cost = clampCost(soFar);
    if (cost <= request.charged)
        return;
    m_gapBound.recordEnd(normalised(request, request.estimate), normalised(request, cost));
    charge(request, cost);
}

void CellSchedulerCore::settle(TimePoint, const RequestId& id, Cost final)
{
    const RequestIndex r = m_requests.find(id);
    if (r == kNoRequest)
        return;
    if (ensureRunning(r))
        finish(r, final);
    else
        removeWaiting(r);
}

void CellSchedulerCore::finish(RequestIndex r, Cost final)
{
    Request& request = m_requests[r];
    --m_stats.running;
    m_targets.release(request.target);
    if (isValidCost(final)) {
        const Cost cost = clampCost(final);
        m_gapBound.recordEnd(normalised(request, request.estimate), normalised(request, cost));
        charge(request, cost);
        // A request that did not run is no sample of its customer's costs.
        if (cost > 0) {
            customer(request.customer).estimator.learn(request.hint, cost);
            m_poolCost.add(cost);
        }
    }
    m_requests.remove(r);
}

std::optional<TargetId> CellSchedulerCore::targetOf(const RequestId& id) const
{
    const RequestIndex r = m_requests.find(id);
    if (r == kNoRequest || m_requests[r].target == kNoTarget)
        return std::nullopt;
    const Request& request = m_requests[r];
    if (request.state != RequestState::Granted && request.state != RequestState::Running)
        return std::nullopt;
    return m_targets.id(request.target);
}

void CellSchedulerCore::prefixStored(const TargetId& target, std::uint64_t prefix)
{
    const TargetIndex t = m_targets.find(target);
    if (t != kNoTarget)
        m_prefixes.store(t, prefix);
}

void CellSchedulerCore::prefixEvicted(const TargetId& target, std::uint64_t prefix)
{
    const TargetIndex t = m_targets.find(target);
    if (t != kNoTarget)
        m_prefixes.evict(t, prefix);
}

void CellSchedulerCore::prefixesUnknown(const TargetId& target)
{
    const TargetIndex t = m_targets.find(target);
    if (t != kNoTarget)
        m_prefixes.clearTarget(t);
}

} // namespace sagechute::scheduling
