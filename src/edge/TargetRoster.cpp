#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// How long a target that has gone is remembered. Entries of a life that has ended come late by seconds, those that
    /// another router passes on by as long as it was cut off.
    constexpr Duration lifeKept = std::chrono::minutes(10);

} // namespace

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

bool TargetRoster::noteLife(TimePoint now, dispatch::Target& target)
{
    LifeMemory& newest = m_lives[target.id];
    newest.at = now;
    if (target.born < newest.born)
        return false;
    if (target.born > newest.born)
        newest = { target.born, false, now };
    newest.isLeaving = newest.isLeaving || target.draining;
    target.draining = newest.isLeaving;
    return true;
}

void TargetRoster::apply(TimePoint now, const TargetChange& change)
{
    if (!change.target) {
        remove(now, change.id);
        return;
    }
    dispatch::Target target = *change.target;
    if (noteLife(now, target))
        m_entries[change.id] = { std::move(target), std::nullopt };
}

void TargetRoster::applyAll(TimePoint now, const std::vector<TargetChange>& changes)
{
    std::map<TargetId, TargetChange> last;
    for (TargetChange it : changes) {
        if (!it.target || noteLife(now, *it.target))
            last[it.id] = std::move(it);
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
        if (it.keptFor && known != m_entries.end() && known->second.target.born == it.target.born)
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
    std::erase_if(
        m_lives, [&](const auto& it) { return !m_entries.contains(it.first) && now - it.second.at > lifeKept; });
    if (m_lostAt)
        return false;
    return std::erase_if(m_entries, [&](const auto& it) { return it.second.goneAt && now >= *it.second.goneAt; }) > 0;
}

std::uint64_t TargetRoster::mark() const
{
    std::uint64_t mark = 0;
    for (const auto& [id, entry] : m_entries)
        mark = stableHash(toString(entry.target.life()), mark + (entry.target.draining ? 1 : 0));
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
