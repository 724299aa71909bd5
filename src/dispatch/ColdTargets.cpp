#include "dispatch/ColdTargets.h"

#include <algorithm>

namespace sagechute::dispatch {

void ColdTargets::recordKnown(TimePoint now, const Target& target)
{
    Entry& entry = m_entries[target.incarnation()];
    entry.byRecord = now + target.coldLeft;
    entry.listedAt = now;
}

void ColdTargets::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& it) { return now - it.second.listedAt > retention; });
}

void ColdTargets::responseSaid(TimePoint now, const TargetIncarnation& target, Duration left)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end())
        it->second.byResponses = std::max(it->second.byResponses, now + left);
}

void ColdTargets::zoneReturned(TimePoint now, const ZoneId& zone) { m_zoneReturns[zone] = now; }

void ColdTargets::unreachable(TimePoint now, const TargetIncarnation& target)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end())
        it->second.unreachableAt = now;
}

void ColdTargets::responded(TimePoint now, const TargetIncarnation& target)
{
    const auto it = m_entries.find(target);
    if (it == m_entries.end() || !it->second.unreachableAt)
        return;
    it->second.unreachableAt.reset();
    it->second.returnedAt = now;
}

std::optional<TimePoint> ColdTargets::coldUntil(TimePoint now, const Target& target, const Service* service) const
{
    if (!service || service->coldRate <= 0)
        return std::nullopt;
    std::optional<TimePoint> until;
    const auto extend = [&](TimePoint end) {
        if (end > now)
            until = std::max(until.value_or(end), end);
    };
    if (const auto it = m_entries.find(target.incarnation()); it != m_entries.end()) {
        extend(it->second.byRecord);
        extend(it->second.byResponses);
        // A router without slots tries again after this time: it would otherwise never learn of the target's return.
        if (it->second.unreachableAt)
            extend(*it->second.unreachableAt + service->coldTime);
        if (it->second.returnedAt)
            extend(*it->second.returnedAt + service->coldTime);
    }
    if (const auto it = m_zoneReturns.find(target.zone); it != m_zoneReturns.end())
        extend(it->second + service->coldTime);
    return until;
}

} // namespace sagechute::dispatch
