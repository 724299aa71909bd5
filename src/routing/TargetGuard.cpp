#include "routing/TargetGuard.h"

#include <algorithm>

namespace sagechute::routing {

bool TargetGuard::report(TimePoint now, const TargetId& target, wire::TargetHealth health)
{
    if (health == wire::TargetHealth::Good) {
        m_records.erase(target);
        return false;
    }
    Record& record = m_records[target];
    ++record.failures;
    const unsigned tolerated = health == wire::TargetHealth::Unreachable ? 0 : brokenTolerated;
    if (record.blocked || record.failures <= tolerated)
        return record.blocked;
    record.blocked = true;
    record.until = now + std::min(longestPause, firstPause * (1 << std::min(record.pauses, 4U)));
    ++record.pauses;
    return true;
}

bool TargetGuard::blocked(const TargetId& target) const
{
    auto it = m_records.find(target);
    return it != m_records.end() && it->second.blocked;
}

std::vector<TargetId> TargetGuard::released(TimePoint now)
{
    std::vector<TargetId> result;
    for (auto& [target, record] : m_records) {
        if (!record.blocked || record.until > now)
            continue;
        record.blocked = false;
        result.push_back(target);
    }
    return result;
}

} // namespace sagechute::routing
