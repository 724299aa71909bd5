#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

void TargetRoster::storeLost(TimePoint now)
{
    if (!m_lostAt)
        m_lostAt = now;
    m_graceUntil.reset();
}

void TargetRoster::storeRegained(TimePoint now, bool mayHaveLapsed)
{
    if (!m_lostAt)
        return;
    m_lostAt.reset();
    if (mayHaveLapsed)
        m_graceUntil = now + returnGrace;
}

void TargetRoster::apply(TimePoint now, const TargetChange& change)
{
    if (!change.target) {
        remove(now, change.id);
        return;
    }
    const auto it = m_entries.find(change.id);
    if (it == m_entries.end()) {
        m_entries.emplace(change.id, Entry { *change.target, std::nullopt });
        return;
    }
    const bool wasDraining = it->second.target.draining;
    it->second = { *change.target, std::nullopt };
    it->second.target.draining = wasDraining || change.target->draining;
}

void TargetRoster::applyAll(TimePoint now, const std::vector<TargetChange>& changes)
{
    std::map<TargetId, TargetChange> last;
    for (const TargetChange& it : changes) {
        TargetChange& change = last.try_emplace(it.id, it).first->second;
        const bool wasDraining = change.target && change.target->draining;
        change = it;
        if (change.target)
            change.target->draining = change.target->draining || wasDraining;
    }
    for (const auto& [id, change] : last)
        apply(now, change);
}

void TargetRoster::remove(TimePoint now, const TargetId& id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.goneAt)
        return;
    const bool mayHaveLapsed = m_graceUntil && now < *m_graceUntil && !it->second.target.draining;
    if (mayHaveLapsed)
        it->second.goneAt = *m_graceUntil;
    else
        m_entries.erase(it);
}

void TargetRoster::replace(TimePoint now, const std::vector<TargetChange>& all)
{
    std::set<TargetId> present;
    for (const TargetChange& it : all) {
        present.insert(it.id);
        apply(now, it);
    }
    std::vector<TargetId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const TargetId& id : missing)
        remove(now, id);
}

void TargetRoster::replaceFromPeer(TimePoint now, const std::vector<ListedTarget>& all)
{
    std::vector<TargetChange> present;
    for (const ListedTarget& it : all) {
        const auto known = m_entries.find(it.target.id);
        if (it.keptFor && known == m_entries.end())
            continue;
        present.push_back({ it.target.id, it.target });
    }
    replace(now, present);
    for (const ListedTarget& it : all) {
        const auto known = m_entries.find(it.target.id);
        if (it.keptFor && known != m_entries.end())
            known->second.goneAt = now + *it.keptFor;
    }
}

std::optional<Duration> TargetRoster::keptFor(TimePoint now, const Entry& entry) const
{
    if (!entry.goneAt)
        return std::nullopt;
    return m_lostAt ? returnGrace : std::max(Duration::zero(), Duration(*entry.goneAt - now));
}

std::vector<ListedTarget> TargetRoster::listed(TimePoint now) const
{
    std::vector<ListedTarget> result;
    result.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        result.push_back({ entry.target, keptFor(now, entry) });
    return result;
}

bool TargetRoster::expire(TimePoint now)
{
    if (m_lostAt)
        return false;
    return std::erase_if(m_entries, [&](const auto& it) { return it.second.goneAt && now >= *it.second.goneAt; }) > 0;
}

std::uint64_t TargetRoster::mark() const
{
    std::uint64_t mark = 0;
    for (const auto& [id, entry] : m_entries)
        mark = stableHash(id.value, mark + (entry.target.draining ? 1 : 0));
    return mark;
}

std::vector<dispatch::Target> TargetRoster::targets() const
{
    std::vector<dispatch::Target> result;
    for (const auto& [id, entry] : m_entries)
        result.push_back(entry.target);
    return result;
}

} // namespace sagechute::edge
