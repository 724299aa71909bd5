/// @file
/// What a cell's scheduler does when it or a router starts anew, or a router's word comes late.

#include "scheduling/CellSchedulerCore.h"

namespace sagechute::scheduling {

void CellSchedulerCore::adopt(TimePoint, const InFlight& inFlight)
{
    RequestIndex r = m_requests.find(inFlight.request);
    if (r != kNoRequest) {
        if (isRunning(r))
            return;
        forgetWaiting(r);
    }
    r = m_requests.create(inFlight.request);
    Request& request = m_requests[r];
    request.customer = m_ledger.intern(inFlight.customer);
    customer(request.customer);
    request.charged = isCost(inFlight.charged) ? boundedCost(inFlight.charged) : 0;
    request.estimate = request.charged;
    m_bound.noteGrant(normalised(request, request.estimate));
    seedEstimates(request);
    run(request, m_targets.find(inFlight.target));
}

void CellSchedulerCore::seedEstimates(const Request& request)
{
    // A new owner has seen no request end yet. Until some have, what the last owner charged is the best that it knows;
    // without it all customers would be charged alike, and the error of each running request would add to the gap.
    if (request.charged <= 0)
        return;
    CostEstimator& estimator = customer(request.customer).estimator;
    if (!estimator.hasLearned())
        estimator.learn(0, request.charged);
    if (!m_poolCost.samples())
        m_poolCost.add(request.charged);
}

void CellSchedulerCore::dropRouter(TimePoint, const RouterLife& life)
{
    for (const RequestIndex r : m_requests.from(life))
        dropFrom(r);
}

void CellSchedulerCore::dropFrom(RequestIndex r)
{
    Request& request = m_requests[r];
    switch (request.state) {
    case RequestState::Waiting:
        forgetWaiting(r);
        break;
    case RequestState::Granted:
        endGrant(r);
        request.state = RequestState::Dropped;
        m_grants.append(m_requests, r);
        break;
    case RequestState::Running:
        // What it has cost so far stays charged; a router that resynchronises reports the charge with the request.
        --m_stats.running;
        m_targets.release(request.target);
        m_requests.remove(r);
        break;
    case RequestState::Dropped:
        break;
    }
}

bool CellSchedulerCore::takeUpLapsed(RequestIndex r)
{
    // The router used the grant in time, but the word of it came after the grant's expiry here, or after the router was
    // dropped. The request runs, so its slot and its charge are due; else the target would get one request too many.
    Request& request = m_requests[r];
    if (request.state == RequestState::Waiting && request.lapsed)
        stopWaiting(r);
    else if (request.state == RequestState::Dropped)
        m_grants.remove(m_requests, r);
    else
        return false;
    const bool isStillThere = m_targets.hash(request.target) == request.targetHash;
    run(request, isStillThere ? request.target : kNoTarget);
    charge(request, request.estimate);
    return true;
}

} // namespace sagechute::scheduling
