#include "scheduling/WaitingQueues.h"

#include <algorithm>

namespace sagechute::scheduling {

WaitingQueues::WaitingQueues(CellRequests& requests, const LedgerCore& ledger, bool byArrival)
    : m_requests(requests)
    , m_ledger(ledger)
    , m_byArrival(byArrival)
{
}

WaitingQueues::Queue& WaitingQueues::queueOf(const Request& request)
{
    Customer& customer = m_customers[request.customer];
    if (request.avoid.empty()) {
        customer.unrestricted.group = &m_unrestricted;
        return customer.unrestricted;
    }
    const auto [group, isNew] = m_restricted.try_emplace(request.avoid);
    if (isNew)
        group->second.avoid = request.avoid;
    for (auto& it : customer.restricted) {
        if (it.group == &group->second)
            return it;
    }
    customer.restricted.push_back({ &group->second, {} });
    return customer.restricted.back();
}

void WaitingQueues::updateKey(const Queue& queue, CustomerIndex c)
{
    const Cost service = m_byArrival ? 0 : m_ledger.virtualService(c);
    queue.group->order.set(c, { service, m_requests[queue.requests.first].arrival });
}

void WaitingQueues::add(RequestIndex r)
{
    const CustomerIndex c = m_requests[r].customer;
    if (c >= m_customers.size())
        m_customers.resize(c + 1);
    Queue& queue = queueOf(m_requests[r]);
    queue.requests.insertByArrival(m_requests, r);
    if (queue.requests.first == r)
        updateKey(queue, c);
    ++m_customers[c].waiting;
    ++m_waiting;
}

void WaitingQueues::remove(RequestIndex r)
{
    const CustomerIndex c = m_requests[r].customer;
    Queue& queue = queueOf(m_requests[r]);
    const bool wasFirst = queue.requests.first == r;
    queue.requests.remove(m_requests, r);
    --m_customers[c].waiting;
    --m_waiting;
    if (queue.requests.empty())
        removeQueue(c, queue);
    else if (wasFirst)
        updateKey(queue, c);
}

void WaitingQueues::removeQueue(CustomerIndex c, Queue& queue)
{
    Group& group = *queue.group;
    group.order.erase(c);
    if (&group == &m_unrestricted)
        return;
    std::vector<Queue>& queues = m_customers[c].restricted;
    queue = queues.back();
    queues.pop_back();
    if (group.order.empty())
        m_restricted.erase(m_restricted.find(group.avoid));
}

void WaitingQueues::reorder(CustomerIndex c)
{
    if (!waitingOf(c))
        return;
    const Customer& customer = m_customers[c];
    if (!customer.unrestricted.requests.empty())
        updateKey(customer.unrestricted, c);
    for (const auto& it : customer.restricted)
        updateKey(it, c);
}

RequestIndex WaitingQueues::head(const Group& group, CustomerIndex c) const
{
    if (&group == &m_unrestricted)
        return m_customers[c].unrestricted.requests.first;
    for (const auto& it : m_customers[c].restricted) {
        if (it.group == &group)
            return it.requests.first;
    }
    return kNoRequest;
}

} // namespace sagechute::scheduling
