#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

bool EvacuatedZones::apply(TimePoint now, const ZoneChange& change)
{
    const auto known = m_zones.find(change.zone);
    const bool wasEvacuated = known != m_zones.end();
    // A full list may contain records after its end, which are then read again along with older ones.
    if (wasEvacuated && known->second.position > change.position)
        return false;
    m_doubtful.erase(change.zone);
    if (!change.isEvacuated) {
        m_lifted[change.zone] = now;
        return m_zones.erase(change.zone) > 0;
    }
    m_lifted.erase(change.zone);
    Entry& entry = m_zones[change.zone];
    entry.position = change.position;
    entry.keptUntil.reset();
    if (!wasEvacuated)
        entry.since = now;
    return !wasEvacuated;
}

std::vector<ZoneChange> EvacuatedZones::applyAll(
    TimePoint now, const std::vector<ZoneChange>& changes, LogPosition next)
{
    // Only the last record of each zone counts: a zone that was evacuated and lifted while nothing was read must not be
    // evacuated for a moment.
    std::map<ZoneId, ZoneChange> last;
    for (const ZoneChange& it : changes) {
        if (it.position >= m_next.value_or(LogPosition {}))
            last[it.zone] = it;
    }
    std::vector<ZoneChange> changed;
    for (const auto& [zone, change] : last) {
        if (apply(now, change))
            changed.push_back(change);
    }
    m_next = std::max(m_next.value_or(LogPosition {}), next);
    m_revision += changed.size();
    return changed;
}

std::vector<ZoneChange> EvacuatedZones::replace(TimePoint now, const std::vector<ZoneChange>& all, LogPosition end)
{
    if (m_next && end < *m_next)
        return {};
    const bool isNewEra = m_next && m_next->era > 0 && end.era > m_next->era;
    std::vector<ZoneChange> changed;
    std::set<ZoneId> listed;
    for (const ZoneChange& it : all) {
        if (!it.isEvacuated)
            continue;
        listed.insert(it.zone);
        const auto lifted = m_lifted.find(it.zone);
        const bool isDoubtful = isNewEra && lifted != m_lifted.end() && now - lifted->second < maxCopyAge;
        const auto doubtful = m_doubtful.find(it.zone);
        const bool isKnownDoubtful = doubtful != m_doubtful.end() && it.position <= doubtful->second.position;
        if (isDoubtful)
            m_doubtful[it.zone] = { it.position, now + TargetRoster::reregistrationGrace };
        else if (!isKnownDoubtful && apply(now, it))
            changed.push_back(it);
    }
    for (auto& [zone, entry] : m_zones) {
        // A zone whose record is later was evacuated after the list was made.
        if (listed.contains(zone) || entry.position >= end)
            continue;
        if (isNewEra)
            entry.keptUntil = now + TargetRoster::reregistrationGrace;
        else if (!entry.keptUntil)
            changed.push_back({ zone, false, end });
    }
    for (const ZoneChange& it : changed) {
        if (!it.isEvacuated)
            apply(now, it);
    }
    std::erase_if(m_doubtful, [&](const auto& it) { return !listed.contains(it.first); });
    m_next = end;
    m_revision += changed.size();
    return changed;
}

std::vector<ZoneChange> EvacuatedZones::expire(TimePoint knownUntil)
{
    const TimePoint now = std::max(knownUntil, m_knownUntil.value_or(knownUntil));
    if (m_knownUntil && now - *m_knownUntil > m_maxReadGap) {
        for (auto& [zone, entry] : m_zones) {
            if (entry.keptUntil)
                entry.keptUntil = now + TargetRoster::reregistrationGrace;
        }
        for (auto& [zone, doubtful] : m_doubtful)
            doubtful.until = now + TargetRoster::reregistrationGrace;
    }
    m_knownUntil = now;
    std::vector<ZoneChange> due;
    for (const auto& [zone, entry] : m_zones) {
        if (entry.keptUntil && *entry.keptUntil <= now)
            due.push_back({ zone, false, m_next.value_or(LogPosition {}) });
    }
    for (const auto& [zone, doubtful] : m_doubtful) {
        if (doubtful.until <= now)
            due.push_back({ zone, true, doubtful.position });
    }
    for (const ZoneChange& it : due)
        apply(now, it);
    std::erase_if(m_lifted, [&](const auto& it) { return now - it.second >= maxCopyAge; });
    m_revision += due.size();
    return due;
}

std::vector<ZoneChange> EvacuatedZones::all() const
{
    std::map<ZoneId, LogPosition> positions;
    for (const auto& [zone, entry] : m_zones) {
        if (!entry.keptUntil)
            positions[zone] = entry.position;
    }
    for (const auto& [zone, doubtful] : m_doubtful)
        positions[zone] = doubtful.position;
    std::vector<ZoneChange> result;
    result.reserve(positions.size());
    for (const auto& [zone, position] : positions)
        result.push_back({ zone, true, position });
    return result;
}

} // namespace sagechute::news
