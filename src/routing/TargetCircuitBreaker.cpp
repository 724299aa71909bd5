#include "routing/TargetCircuitBreaker.h"

#include <algorithm>

namespace sagechute::routing {

bool TargetCircuitBreaker::report(TimePoint now, const TargetId& target, wire::TargetHealth health)
{
    if (health == wire::TargetHealth::Good) {
        m_records.erase(target);
        return false;
    }
    Record& record = m_records[target];
    ++record.failures;
    const unsigned tolerated = health == wire::TargetHealth::Unreachable ? 0 : toleratedBrokenAnswers;
    if (record.blocked || record.failures <= tolerated)
        return record.blocked;
    record.blocked = true;
    record.blockedUntil = now + std::min(maxBlockTime, initialBlockTime * (1 << std::min(record.trips, 4U)));
    ++record.trips;
    return true;
}

bool TargetCircuitBreaker::blocked(const TargetId& target) const
{
    auto it = m_records.find(target);
    return it != m_records.end() && it->second.blocked;
}

std::vector<TargetId> TargetCircuitBreaker::released(TimePoint now)
{
    std::vector<TargetId> result;
    for (auto& [target, record] : m_records) {
        if (!record.blocked || record.blockedUntil > now)
            continue;
        record.blocked = false;
        result.push_back(target);
    }
    return result;
}

} // namespace sagechute::routing
