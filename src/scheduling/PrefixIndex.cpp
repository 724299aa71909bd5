#include "scheduling/PrefixIndex.h"

#include <algorithm>

namespace sagechute::scheduling {

void PrefixIndex::setTargetCount(std::size_t count)
{
    m_maxPerTarget = std::max(kMinPerTarget, kMaxPrefixes / std::max<std::size_t>(1, count));
    for (TargetIndex t = 0; t < m_contents.size(); ++t)
        trim(t);
}

void PrefixIndex::store(TargetIndex t, std::uint64_t prefix)
{
    if (t >= m_contents.size())
        m_contents.resize(t + 1);
    Contents& contents = m_contents[t];
    const std::uint64_t serial = contents.firstSerial + contents.order.size();
    contents.order.push_back(prefix);
    if (contents.storedAt.insert_or_assign(prefix, serial).second)
        m_holders[prefix].push_back(t);
    trim(t);
}

void PrefixIndex::evict(TargetIndex t, std::uint64_t prefix)
{
    if (t < m_contents.size() && m_contents[t].storedAt.erase(prefix))
        removeHolder(prefix, t);
}

void PrefixIndex::clearTarget(TargetIndex t)
{
    if (t >= m_contents.size())
        return;
    for (const auto& it : m_contents[t].storedAt)
        removeHolder(it.first, t);
    m_contents[t] = Contents {};
}

void PrefixIndex::removeHolder(std::uint64_t prefix, TargetIndex t)
{
    const auto it = m_holders.find(prefix);
    std::erase(it->second, t);
    if (it->second.empty())
        m_holders.erase(it);
}

void PrefixIndex::trim(TargetIndex t)
{
    Contents& contents = m_contents[t];
    // The order list needs its own bound: it grows whenever the same prefix is stored again.
    while (contents.storedAt.size() > m_maxPerTarget || contents.order.size() > 2 * m_maxPerTarget) {
        const std::uint64_t prefix = contents.order.front();
        const auto it = contents.storedAt.find(prefix);
        if (it != contents.storedAt.end() && it->second == contents.firstSerial) {
            contents.storedAt.erase(it);
            removeHolder(prefix, t);
        }
        contents.order.pop_front();
        ++contents.firstSerial;
    }
}

} // namespace sagechute::scheduling
