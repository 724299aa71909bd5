#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    /// How long a target that has gone is remembered. Entries of a life that has ended come late by seconds, those that
    /// another router passes on by as long as it was cut off.
    constexpr Duration lifeKept = std::chrono::minutes(10);

} // namespace

void TargetRoster::known(LogOffset next, ReadSpan told)
{
    m_next = std::max(m_next.value_or(0), next);
    if (!m_read) {
        m_read = told;
        return;
    }
    const bool isJoined = told.from - m_read->until <= awayTime && m_read->from - told.until <= awayTime;
    if (isJoined)
        m_read = { std::min(m_read->from, told.from), std::max(m_read->until, told.until) };
    else if (told.until > m_read->until)
        noteBreak(told);
    if (m_readBefore && m_read->from - *m_readBefore <= awayTime)
        closeBreak();
}

void TargetRoster::noteBreak(ReadSpan after)
{
    m_readBefore = m_read->until;
    m_read = after;
    m_graceUntil = after.from + returnGrace;
    // A break during the grace of the one before: what is missing had no chance to come back.
    for (auto& [id, entry] : m_entries) {
        if (entry.goneAt)
            entry.goneAt = *m_graceUntil;
    }
}

void TargetRoster::closeBreak()
{
    for (auto& [id, entry] : m_entries) {
        if (entry.goneAt)
            entry.goneAt = *m_readBefore;
    }
    m_readBefore.reset();
    m_graceUntil.reset();
}

bool TargetRoster::isOver(TimePoint graceUntil, TimePoint now) const
{
    return now >= graceUntil && m_read && m_read->until >= graceUntil - (returnGrace - returnTime);
}

bool TargetRoster::noteLife(TimePoint now, dispatch::Target& target)
{
    LifeMemory& newest = m_lives[target.id];
    newest.at = now;
    if (target.born < newest.born)
        return false;
    if (target.born > newest.born) {
        newest.born = target.born;
        newest.isLeaving = false;
    }
    newest.isLeaving = newest.isLeaving || target.draining;
    target.draining = newest.isLeaving;
    return true;
}

bool TargetRoster::isOutdated(const TargetChange& change) const
{
    const auto it = m_lives.find(change.id);
    return it != m_lives.end() && change.offset < it->second.offset;
}

bool TargetRoster::isLeftOut(const TargetChange& change) const
{
    return change.offset < m_completeFrom && !m_lives.contains(change.id);
}

void TargetRoster::apply(TimePoint now, const TargetChange& change)
{
    if (isLeftOut(change))
        return;
    if (!change.target) {
        if (!isOutdated(change))
            remove(now, change.id, change.offset);
        return;
    }
    TargetChange told = change;
    const bool isOld = isOutdated(change);
    if (!noteLife(now, *told.target))
        return;
    if (!isOld) {
        set(now, told);
        return;
    }
    // An old record may still say that the present life leaves.
    const auto known = m_entries.find(told.id);
    const bool isSameLife = known != m_entries.end() && known->second.target.born == told.target->born;
    if (isSameLife && told.target->draining && !known->second.target.draining) {
        known->second.target.draining = true;
        ++m_revision;
    }
}

void TargetRoster::set(TimePoint now, const TargetChange& change)
{
    LifeMemory& life = m_lives[change.id];
    life.at = now;
    life.offset = change.offset;
    life.isGone = false;
    Entry& entry = m_entries[change.id];
    const bool isSame = entry.target == *change.target;
    entry = { *change.target, change.offset, std::nullopt };
    if (!isSame)
        ++m_revision;
}

void TargetRoster::applyAll(TimePoint now, const std::vector<TargetChange>& changes)
{
    std::map<TargetId, TargetChange> last;
    for (TargetChange it : changes) {
        if (isLeftOut(it))
            continue;
        if (!it.target || noteLife(now, *it.target))
            last[it.id] = std::move(it);
    }
    for (const auto& [id, change] : last)
        apply(now, change);
}

void TargetRoster::remove(TimePoint now, const TargetId& id, LogOffset offset)
{
    LifeMemory& life = m_lives[id];
    life.at = now;
    life.offset = std::max(life.offset, offset);
    life.isGone = true;
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.goneAt)
        return;
    const bool mayReturn = m_graceUntil && !isOver(*m_graceUntil, now);
    if (mayReturn && !it->second.target.draining) {
        it->second.goneAt = *m_graceUntil;
        return;
    }
    m_entries.erase(it);
    ++m_revision;
}

void TargetRoster::replace(TimePoint now, const std::vector<TargetChange>& all, LogOffset end)
{
    std::set<TargetId> present;
    for (const TargetChange& it : all) {
        present.insert(it.id);
        apply(now, it);
    }
    std::vector<TargetId> missing;
    for (const auto& [id, entry] : m_entries) {
        // What a later record said came after the list was made.
        if (!present.contains(id) && entry.offset < end)
            missing.push_back(id);
    }
    for (const TargetId& id : missing)
        remove(now, id, end);
    // Targets that came and went unseen are missing here; who knows them needs the whole list.
    m_completeFrom = std::max(m_completeFrom, end);
}

std::optional<std::vector<TargetChange>> TargetRoster::changesSince(LogOffset from) const
{
    if (from < m_completeFrom)
        return std::nullopt;
    std::vector<TargetChange> changes;
    for (const auto& [id, life] : m_lives) {
        if (life.offset < from)
            continue;
        const auto it = m_entries.find(id);
        if (life.isGone)
            changes.push_back({ id, std::nullopt, life.offset });
        else if (it != m_entries.end())
            changes.push_back({ id, it->second.target, life.offset });
    }
    return changes;
}

std::vector<TargetChange> TargetRoster::all() const
{
    std::vector<TargetChange> result;
    result.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        if (!entry.goneAt)
            result.push_back({ id, entry.target, entry.offset });
    }
    return result;
}

void TargetRoster::forgetOld(TimePoint now)
{
    std::erase_if(m_lives, [&](const auto& it) {
        if (m_entries.contains(it.first) || now - it.second.at <= lifeKept)
            return false;
        m_completeFrom = std::max(m_completeFrom, it.second.offset + 1);
        return true;
    });
}

bool TargetRoster::expire(TimePoint now)
{
    forgetOld(now);
    const auto n
        = std::erase_if(m_entries, [&](const auto& it) { return it.second.goneAt && isOver(*it.second.goneAt, now); });
    m_revision += n;
    return n > 0;
}

std::vector<dispatch::Target> TargetRoster::targets() const
{
    std::vector<dispatch::Target> result;
    for (const auto& [id, entry] : m_entries)
        result.push_back(entry.target);
    return result;
}

} // namespace sagechute::news
