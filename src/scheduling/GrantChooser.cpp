#include "scheduling/GrantChooser.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    bool contains(const std::vector<TargetHash>& sorted, TargetHash hash)
    {
        return std::binary_search(sorted.begin(), sorted.end(), hash);
    }

} // namespace

GrantChooser::GrantChooser(
    const CellRequests& requests, const WaitingQueues& queues, const TargetTable& targets, const PrefixIndex& prefixes)
    : m_requests(requests)
    , m_queues(queues)
    , m_targets(targets)
    , m_prefixes(prefixes)
{
}

TargetIndex GrantChooser::leastLoadedTarget(const std::vector<TargetHash>& avoid) const
{
    for (const auto& it : m_targets.freeTargets()) {
        if (!contains(avoid, m_targets.hash(it.target)))
            return it.target;
    }
    return kNoTarget;
}

TargetIndex GrantChooser::bestCachedTarget(RequestIndex r) const
{
    const Request& request = m_requests[r];
    if (request.prefixes.empty())
        return kNoTarget;
    return m_prefixes.best(
        request.prefixes, m_targets, [&](TargetIndex t) { return !contains(request.avoid, m_targets.hash(t)); });
}

void GrantChooser::considerGroup(const WaitingQueues::Group& group, Head& first) const
{
    if (group.order.empty() || (first && first.group->order.top().key < group.order.top().key))
        return;
    const TargetIndex t = leastLoadedTarget(group.avoid);
    if (t != kNoTarget)
        first = { &group, t };
}

GrantChooser::Head GrantChooser::firstServable() const
{
    Head first;
    considerGroup(m_queues.unrestricted(), first);
    for (const auto& it : m_queues.restricted())
        considerGroup(it.second, first);
    return first;
}

std::optional<GrantChooser::Choice> GrantChooser::cachedWithinSlack(const WaitingQueues::Group& group, Cost slack) const
{
    std::optional<Choice> choice;
    if (m_prefixes.empty())
        return choice;
    const Cost limit = group.order.top().key.service + slack;
    std::size_t scanned = 0;
    group.order.visit([&](const auto& entry) {
        if (entry.key.service > limit)
            return false;
        const RequestIndex r = m_queues.head(group, entry.item);
        const TargetIndex t = bestCachedTarget(r);
        if (t != kNoTarget)
            choice = Choice { r, t, true };
        ++scanned;
        return !choice && slack > 0 && scanned < kMaxCustomersScanned;
    });
    return choice;
}

std::optional<GrantChooser::Choice> GrantChooser::next(Cost slack) const
{
    if (m_targets.freeTargets().empty())
        return std::nullopt;
    const Head head = firstServable();
    if (!head)
        return std::nullopt;
    if (const auto choice = cachedWithinSlack(*head.group, slack))
        return choice;
    return Choice { m_queues.head(*head.group, head.group->order.top().item), head.target };
}

} // namespace sagechute::scheduling
