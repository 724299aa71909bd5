#include "config/ChangeMemory.h"

namespace sagechute::config {

ChangeMemory::ChangeMemory(std::size_t records)
    : m_records(records)
{
}

void ChangeMemory::remember(const Applied& applied)
{
    const Applied& kept = m_order.emplace_back(applied);
    m_byId.emplace(kept.changeId, &kept);
}

void ChangeMemory::advance(LogOffset offset)
{
    while (!m_order.empty() && m_order.front().offset + m_records < offset) {
        m_byId.erase(m_order.front().changeId);
        m_order.pop_front();
    }
}

const Applied* ChangeMemory::find(std::string_view changeId) const
{
    const auto it = m_byId.find(changeId);
    return it == m_byId.end() ? nullptr : it->second;
}

} // namespace sagechute::config
