#include "routing/RequestTable.h"

#include <algorithm>

namespace sagechute::routing {

Request& RequestTable::add(Request request)
{
    const std::uint64_t serial = request.id.serial;
    if (request.deadline)
        m_deadlines.emplace(*request.deadline, serial);
    return m_requests.insert_or_assign(serial, std::move(request)).first->second;
}

Request* RequestTable::find(const RequestId& id)
{
    Request* request = findSerial(id.serial);
    return request && request->id == id ? request : nullptr;
}

Request* RequestTable::findSerial(std::uint64_t serial)
{
    auto it = m_requests.find(serial);
    return it == m_requests.end() ? nullptr : &it->second;
}

void RequestTable::remove(const RequestId& id)
{
    auto it = m_requests.find(id.serial);
    if (it == m_requests.end())
        return;
    if (it->second.deadline)
        m_deadlines.erase({ *it->second.deadline, id.serial });
    m_requests.erase(it);
}

void RequestTable::setDeadlineActive(const Request& request, bool active)
{
    if (!request.deadline)
        return;
    if (active)
        m_deadlines.emplace(*request.deadline, request.id.serial);
    else
        m_deadlines.erase({ *request.deadline, request.id.serial });
}

std::vector<std::uint64_t> RequestTable::pastDeadline(TimePoint now) const
{
    std::vector<std::uint64_t> result;
    for (const auto& [deadline, serial] : m_deadlines) {
        if (deadline > now)
            break;
        result.push_back(serial);
    }
    return result;
}

std::vector<std::uint64_t> RequestTable::backoffEnded(TimePoint now) const
{
    std::vector<std::uint64_t> result;
    for (const auto& [serial, request] : m_requests) {
        if (request.phase == RequestPhase::Backoff && request.retryAt <= now)
            result.push_back(serial);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::uint64_t> RequestTable::serials() const
{
    std::vector<std::uint64_t> result;
    result.reserve(m_requests.size());
    for (const auto& entry : m_requests)
        result.push_back(entry.first);
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace sagechute::routing
