/// @file
/// State recovery of the cell scheduler: after a change of owner, after the loss of a router, and when a router's
/// message arrives after the grant has expired.

#include "scheduling/CellSchedulerCore.h"

namespace sagechute::scheduling {

void CellSchedulerCore::adopt(TimePoint, const InFlight& inFlight)
{
    RequestIndex r = m_requests.find(inFlight.request);
    if (r != kNoRequest) {
        if (ensureRunning(r))
            return;
        removeWaiting(r);
    }
    r = m_requests.create(inFlight.request);
    Request& request = m_requests[r];
    request.customer = m_ledger.intern(inFlight.customer);
    customer(request.customer);
    request.charged = isValidCost(inFlight.charged) ? clampCost(inFlight.charged) : 0;
    request.estimate = request.charged;
    m_gapBound.recordGrant(normalised(request, request.estimate));
    seedEstimates(request);
    setRunning(request, m_targets.find(inFlight.target));
}

void CellSchedulerCore::seedEstimates(const Request& request)
{
    // A new owner has no settled requests to learn from yet, so it starts from the charges made by the previous owner.
    // Otherwise all customers would be charged alike, and the error of each running request would add to the gap.
    if (request.charged <= 0)
        return;
    CostEstimator& estimator = customer(request.customer).estimator;
    if (!estimator.hasSamples())
        estimator.learn(0, request.charged);
    if (!m_poolCost.samples())
        m_poolCost.add(request.charged);
}

void CellSchedulerCore::dropRouter(TimePoint, const RouterLife& life)
{
    for (const RequestIndex r : m_requests.requestsFrom(life))
        dropRequest(r);
}

void CellSchedulerCore::dropRequest(RequestIndex r)
{
    Request& request = m_requests[r];
    switch (request.state) {
    case RequestState::Waiting:
        removeWaiting(r);
        break;
    case RequestState::Granted:
        endGrant(r);
        request.state = RequestState::Dropped;
        m_grants.append(m_requests, r);
        break;
    case RequestState::Running:
        // The charge so far stays. A router that resynchronises reports the charge together with the request.
        --m_stats.running;
        m_targets.release(request.target);
        m_requests.remove(r);
        break;
    case RequestState::Dropped:
        break;
    }
}

bool CellSchedulerCore::recoverExpiredGrant(RequestIndex r)
{
    // The router used the grant in time, but its message arrived after the grant expired here or after the router was
    // dropped. The request runs, so its slot and charge are accounted for; otherwise the target would get one request
    // too many.
    Request& request = m_requests[r];
    if (request.state == RequestState::Waiting && request.grantExpired)
        stopWaiting(r);
    else if (request.state == RequestState::Dropped)
        m_grants.remove(m_requests, r);
    else
        return false;
    const bool isSameTarget = m_targets.hash(request.target) == request.targetHash;
    setRunning(request, isSameTarget ? request.target : kNoTarget);
    charge(request, request.estimate);
    return true;
}

} // namespace sagechute::scheduling
