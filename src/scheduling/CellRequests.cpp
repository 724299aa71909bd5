#include "scheduling/CellRequests.h"

#include <algorithm>

namespace sagechute::scheduling {

RequestIndex CellRequests::find(const RequestId& id) const
{
    const auto origin = m_originIndex.find(id.origin);
    if (origin == m_originIndex.end())
        return kNoRequest;
    const auto it = m_index.find({ origin->second, id.serial });
    return it == m_index.end() ? kNoRequest : it->second;
}

RequestIndex CellRequests::create(const RequestId& id)
{
    RequestIndex r = RequestIndex(m_requests.size());
    if (m_unusedIndices.empty()) {
        m_requests.emplace_back();
    } else {
        r = m_unusedIndices.back();
        m_unusedIndices.pop_back();
    }
    Request& request = m_requests[r];
    request.origin = acquireOrigin(id.origin);
    request.serial = id.serial;
    m_index.emplace(Key { request.origin, id.serial }, r);
    return r;
}

void CellRequests::remove(RequestIndex r)
{
    Request& request = m_requests[r];
    m_index.erase({ request.origin, request.serial });
    releaseOrigin(request.origin);
    request = Request {};
    m_unusedIndices.push_back(r);
}

RequestId CellRequests::id(RequestIndex r) const
{
    return { m_origins[m_requests[r].origin].life, m_requests[r].serial };
}

OriginIndex CellRequests::acquireOrigin(const RouterLife& life)
{
    const auto [it, isNew] = m_originIndex.try_emplace(life, OriginIndex(m_origins.size()));
    if (isNew && m_unusedOrigins.empty()) {
        m_origins.push_back({ life });
    } else if (isNew) {
        it->second = m_unusedOrigins.back();
        m_unusedOrigins.pop_back();
        m_origins[it->second] = { life };
    }
    ++m_origins[it->second].requests;
    return it->second;
}

void CellRequests::releaseOrigin(OriginIndex origin)
{
    if (--m_origins[origin].requests)
        return;
    m_originIndex.erase(m_origins[origin].life);
    m_unusedOrigins.push_back(origin);
}

std::vector<RequestIndex> CellRequests::requestsFrom(const RouterLife& life) const
{
    std::vector<RequestIndex> found;
    const auto origin = m_originIndex.find(life);
    if (origin == m_originIndex.end())
        return found;
    for (const auto& it : m_index) {
        if (it.first.origin == origin->second)
            found.push_back(it.second);
    }
    const auto hasLowerSerial
        = [this](RequestIndex a, RequestIndex b) { return m_requests[a].serial < m_requests[b].serial; };
    std::sort(found.begin(), found.end(), hasLowerSerial);
    return found;
}

void RequestList::append(CellRequests& requests, RequestIndex r) { insertBefore(requests, r, kNoRequest); }

void RequestList::insertByArrival(CellRequests& requests, RequestIndex r)
{
    const std::uint64_t arrival = requests[r].arrival;
    if (empty() || requests[last].arrival < arrival) {
        append(requests, r);
        return;
    }
    RequestIndex next = first;
    while (requests[next].arrival < arrival)
        next = requests[next].next;
    insertBefore(requests, r, next);
}

void RequestList::insertBefore(CellRequests& requests, RequestIndex r, RequestIndex next)
{
    Request& request = requests[r];
    request.next = next;
    request.previous = next == kNoRequest ? last : requests[next].previous;
    (request.previous == kNoRequest ? first : requests[request.previous].next) = r;
    (next == kNoRequest ? last : requests[next].previous) = r;
}

void RequestList::remove(CellRequests& requests, RequestIndex r)
{
    Request& request = requests[r];
    (request.previous == kNoRequest ? first : requests[request.previous].next) = request.next;
    (request.next == kNoRequest ? last : requests[request.next].previous) = request.previous;
    request.previous = request.next = kNoRequest;
}

} // namespace sagechute::scheduling
