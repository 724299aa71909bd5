#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    /// Retention of a removed target's life. Entries of an ended life may arrive seconds late, or, if forwarded by
    /// another router, as late as that router was partitioned.
    constexpr Duration lifeRetention = std::chrono::minutes(10);

    /// More stalls than one gap may have; each lasts for seconds.
    constexpr std::size_t maxStalls = 16;

    /// @return what another router has to know of a life before the removal of its entry.
    dispatch::Target leavingTarget(const TargetId& id, std::int64_t startedAtMs)
    {
        dispatch::Target target;
        target.id = id;
        target.startedAtMs = startedAtMs;
        target.draining = true;
        return target;
    }

} // namespace

void TargetRoster::noteStall(const Stall& stall)
{
    if (m_stalls.size() >= maxStalls)
        m_stalls.erase(m_stalls.begin());
    m_stalls.push_back(stall);
}

void TargetRoster::known(LogPosition next, ReadSpan told)
{
    if (m_next && next.era < m_next->era)
        return;
    if (m_next && m_next->era > 0 && next.era > m_next->era)
        noteReturn(next, told.until);
    m_next = std::max(m_next.value_or(LogPosition {}), next);
    if (!m_read) {
        m_read = told;
        return;
    }
    if (told.until > m_read->until)
        m_knownBefore = m_read->until;
    narrowReadGaps(told);
    // A span whose end is older than what is known here shows no gap, however late its start is estimated.
    if (told.until > m_read->until && told.from - m_read->until > m_maxReadGap) {
        m_readGaps.push_back({ m_read->until, told.from });
        m_isGapWitnessed = told.isTold;
        m_read = told;
    } else if (m_read->from - told.until <= m_maxReadGap) {
        m_read = { std::min(m_read->from, told.from), std::max(m_read->until, told.until) };
    }
    updateGracePeriod();
    const bool isAfterGap = !m_readGaps.empty() && told.until > m_readGaps.back().after;
    m_isGapWitnessed = m_isGapWitnessed || (told.isTold && isAfterGap);
}

void TargetRoster::noteReturn(LogPosition end, TimePoint returnedBy)
{
    m_storeReturn = StoreReturn { *m_next, end };
    m_returnedBy = returnedBy;
    m_writtenSinceReturn = end;
}

void TargetRoster::narrowReadGaps(ReadSpan told)
{
    std::erase_if(m_readGaps, [&](ReadGap& it) {
        const bool coversStart = told.from - it.before <= m_maxReadGap && told.until > it.before;
        const bool coversEnd = it.after - told.until <= m_maxReadGap && told.from < it.after;
        if (coversStart && !coversEnd)
            it.before = told.until;
        else if (coversEnd && !coversStart)
            it.after = told.from;
        return coversStart && coversEnd;
    });
}

void TargetRoster::updateGracePeriod()
{
    m_graceUntil.reset();
    m_isGraceByStall = true;
    bool hasGap = false;
    for (const ReadGap& it : m_readGaps) {
        const bool mayHaveLapsed = it.after - it.before > entryLapseTime;
        const bool blocksReregistration = m_graceUntil && it.before < *m_graceUntil;
        if (!mayHaveLapsed && !blocksReregistration)
            continue;
        hasGap = true;
        m_graceUntil = it.after + reregistrationGrace;
        m_isGraceByStall = m_isGraceByStall && isExplainedByStalls(it);
    }
    if (m_returnedBy) {
        m_graceUntil = std::max(m_graceUntil.value_or(TimePoint {}), *m_returnedBy + reregistrationGrace);
        m_isGraceByStall = m_isGraceByStall && hasGap;
    }
    if (!m_graceUntil || m_read->until >= *m_graceUntil) {
        m_graceUntil.reset();
        m_returnedBy.reset();
        m_readGaps.clear();
    }
}

bool TargetRoster::isExplainedByStalls(const ReadGap& gap) const
{
    Duration rest = gap.after - gap.before;
    for (const Stall& it : m_stalls)
        rest -= std::max(Duration::zero(), Duration(std::min(it.until, gap.after) - std::max(it.from, gap.before)));
    return rest <= m_maxReadGap;
}

void TargetRoster::updateSuspended()
{
    // When the grace period is over, what is still missing is about to be dropped and must not be used until then.
    if (!m_graceUntil)
        return;
    struct Count {
        std::size_t missing = 0;
        std::size_t all = 0;
    };
    std::map<ServiceId, Count> counts;
    for (const auto& [id, entry] : m_entries) {
        Count& count = counts[entry.target.service];
        ++count.all;
        count.missing += entry.isMissing ? 1 : 0;
    }
    for (auto& [id, entry] : m_entries) {
        const Count& count = counts[entry.target.service];
        const bool isSuspended = m_isGraceByStall && entry.isMissing && 2 * count.missing <= count.all;
        if (isSuspended == entry.isSuspended)
            continue;
        if (isSuspended)
            recordDeparture(entry, true, entry.missingAfter);
        entry.isSuspended = isSuspended;
        ++m_revision;
    }
}

std::optional<TimePoint> TargetRoster::witnessedUntil() const
{
    const bool isUnwitnessed = m_graceUntil && !m_readGaps.empty() && !m_isGapWitnessed;
    return isUnwitnessed ? std::optional(m_readGaps.back().before) : knownUntil();
}

bool TargetRoster::isGracePeriodOver(TimePoint now) const
{
    return !m_graceUntil
        || (now >= *m_graceUntil && m_read->until >= *m_graceUntil - (reregistrationGrace - reregistrationTime));
}

bool TargetRoster::recordLife(TimePoint now, TargetChange& change)
{
    dispatch::Target& target = *change.target;
    LifeRecord& newest = m_lives[target.id];
    newest.at = now;
    if (target.startedAtMs < newest.startedAtMs)
        return false;
    if (target.startedAtMs > newest.startedAtMs || isNextLife(newest, change)) {
        newest.startedAtMs = target.startedAtMs;
        newest.isGone = newest.isGone && change.position < newest.position;
        newest.isLeaving = newest.isLeavingByItself = false;
        newest.readyAt.reset();
    }
    if (target.draining) {
        newest.isLeaving = true;
        newest.leavingAt = std::max(newest.leavingAt, change.position);
        newest.readyAt.reset();
    }
    target.draining = newest.isLeaving;
    return true;
}

bool TargetRoster::isNextLife(LifeRecord& life, const TargetChange& change)
{
    const dispatch::Target& target = *change.target;
    if (target.startedAtMs != 0 || target.draining || !life.isLeaving || life.isLeavingByItself
        || change.position <= life.leavingAt)
        return false;
    if (change.position.era > life.leavingAt.era) {
        // The first record of an era may be of a copy that is older than the target's leaving.
        life.leavingAt = change.position;
        life.readyAt.reset();
        return false;
    }
    if (!life.readyAt)
        life.readyAt = change.position;
    return change.position > *life.readyAt;
}

void TargetRoster::recordRemoval(const TargetChange& change)
{
    const auto it = m_lives.find(change.id);
    if (it == m_lives.end() || change.position < it->second.position)
        return;
    it->second.leavingAt = std::max(it->second.leavingAt, change.position);
    it->second.readyAt.reset();
    it->second.isLeavingByItself = false;
}

bool TargetRoster::isOutdated(const TargetChange& change) const
{
    const auto it = m_lives.find(change.id);
    return it != m_lives.end() && change.position < it->second.position;
}

bool TargetRoster::isOmittedFromFullList(const TargetChange& change) const
{
    return change.position < m_completeFrom && !m_entries.contains(change.id);
}

void TargetRoster::apply(TimePoint now, const TargetChange& change)
{
    if (isOmittedFromFullList(change))
        return;
    TargetChange told = change;
    if (!told.target || recordLife(now, told))
        applyToEntry(now, told);
}

void TargetRoster::applyToEntry(TimePoint now, const TargetChange& told)
{
    if (!told.target) {
        if (!isOutdated(told))
            remove(now, told.id, told.position);
        return;
    }
    if (!isOutdated(told)) {
        set(now, told);
        return;
    }
    // An old record may still show that the current life is draining.
    const auto known = m_entries.find(told.id);
    const bool isSameLife = known != m_entries.end() && known->second.target.startedAtMs == told.target->startedAtMs;
    if (isSameLife && told.target->draining && !known->second.target.draining) {
        recordDeparture(known->second, false, m_knownBefore);
        known->second.target.draining = true;
        ++m_revision;
    }
}

bool TargetRoster::saidDraining(TimePoint now, const dispatch::TargetIncarnation& life)
{
    const auto known = m_lives.find(life.id);
    if (known == m_lives.end() || known->second.startedAtMs != life.startedAtMs || known->second.isLeaving)
        return false;
    known->second.isLeaving = known->second.isLeavingByItself = true;
    known->second.at = now;
    const auto it = m_entries.find(life.id);
    if (it != m_entries.end() && it->second.target.startedAtMs == life.startedAtMs) {
        recordDeparture(it->second, false, now);
        it->second.target.draining = true;
        ++m_revision;
    }
    return true;
}

void TargetRoster::recordDeparture(const Entry& entry, bool isGone, std::optional<TimePoint> noticeAfter)
{
    if (entry.isUsed())
        m_departures.push_back({ entry.target.incarnation(), isGone, noticeAfter });
}

void TargetRoster::set(TimePoint now, const TargetChange& change)
{
    LifeRecord& life = m_lives[change.id];
    Entry& entry = m_entries[change.id];
    const bool isNew = entry.target.id.value.empty();
    const bool isFirstOfEra = change.position.era > entry.position.era;
    const bool isSameRecord = change.position == entry.position
        || (isFirstOfEra && change.position.offset == entry.position.offset && *change.target == entry.target);
    std::optional<TimePoint> heldUntil = change.position == entry.position ? entry.heldUntil : std::nullopt;
    // Offsets below the end of the copy denote the same records as before the return.
    const bool mayBeOlder = change.position < m_writtenSinceReturn && change.position.offset <= life.position.offset;
    if (isNew && life.isGone && change.position.era > life.position.era && mayBeOlder)
        heldUntil = now + lostRemovalTime;
    life.at = now;
    life.position = change.position;
    life.isGone = false;
    const TimePoint coldUntil = TargetRoster::coldUntil(now, change, entry, isSameRecord);
    const bool isSameColdTime = coldUntil == entry.coldUntil || std::max(coldUntil, entry.coldUntil) <= now;
    entry.target.coldLeft = change.target->coldLeft;
    const bool isSame = entry.target == *change.target && isSameColdTime && !entry.isSuspended
        && entry.heldUntil.has_value() == heldUntil.has_value();
    const bool isLeaving = change.target->draining || entry.target.incarnation() != change.target->incarnation();
    if (isLeaving && !isNew)
        recordDeparture(entry, !change.target->draining, entry.isMissing ? entry.missingAfter : m_knownBefore);
    entry = { *change.target, change.position, coldUntil };
    entry.heldUntil = heldUntil;
    if (!isSame)
        ++m_revision;
}

TimePoint TargetRoster::coldUntil(TimePoint now, const TargetChange& change, const Entry& known, bool isSameRecord)
{
    const dispatch::Target& target = *change.target;
    const TimePoint told = target.coldLeft > Duration::zero() ? now + target.coldLeft : TimePoint {};
    if (known.target.incarnation() != target.incarnation())
        return told;
    // The same record again, from a full read or another router: what was said first was said with less delay.
    if (isSameRecord)
        return std::min(told, known.coldUntil);
    return told < known.coldUntil && known.coldUntil - told <= coldEndTolerance ? known.coldUntil : told;
}

dispatch::Target TargetRoster::targetAt(const Entry& entry, std::optional<TimePoint> now)
{
    dispatch::Target target = entry.target;
    target.draining = target.draining || entry.isSuspended;
    if (now)
        target.coldLeft = std::max(Duration::zero(), entry.coldUntil - *now);
    return target;
}

void TargetRoster::applyAll(TimePoint now, const std::vector<TargetChange>& changes)
{
    std::map<TargetId, TargetChange> last;
    for (TargetChange it : changes) {
        if (isOmittedFromFullList(it))
            continue;
        if (!it.target)
            recordRemoval(it);
        if (!it.target || recordLife(now, it))
            last[it.id] = std::move(it);
    }
    for (const auto& [id, change] : last)
        applyToEntry(now, change);
    updateSuspended();
}

void TargetRoster::remove(TimePoint now, const TargetId& id, LogPosition position)
{
    LifeRecord& life = m_lives[id];
    recordRemoval({ id, std::nullopt, position });
    life.at = now;
    life.position = std::max(life.position, position);
    life.isGone = true;
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.isMissing)
        return;
    if (!isGracePeriodOver(now) && !it->second.target.draining && !life.isLeaving) {
        it->second.isMissing = true;
        it->second.missingAfter = m_knownBefore;
        return;
    }
    recordDeparture(it->second, true, m_knownBefore);
    m_entries.erase(it);
    ++m_revision;
}

void TargetRoster::replace(TimePoint now, const std::vector<TargetChange>& all, LogPosition end)
{
    if (m_next && end.era < m_next->era)
        return;
    std::set<TargetId> present;
    for (const TargetChange& it : all) {
        present.insert(it.id);
        apply(now, it);
    }
    std::erase_if(present, [&](const TargetId& id) {
        const auto it = m_entries.find(id);
        // The list has an earlier life than the one that is known, as its record was lost by the store's return.
        return it != m_entries.end() && it->second.position.era < end.era;
    });
    std::vector<TargetId> missing;
    for (const auto& [id, entry] : m_entries) {
        // Entries from later records were written after the list was made.
        if (!present.contains(id) && entry.position < end)
            missing.push_back(id);
    }
    for (const TargetId& id : missing)
        remove(now, id, end);
    // Targets that were added and removed unnoticed are missing here; routers that know them need the full list.
    m_completeFrom = std::max(m_completeFrom, end);
    if (m_storeReturn && m_storeReturn->current.era == end.era) {
        m_storeReturn->listed = present.size();
        m_storeReturn->kept = missingCount();
    }
    updateSuspended();
}

std::optional<std::vector<TargetChange>> TargetRoster::changesSince(
    LogPosition from, std::optional<TimePoint> now) const
{
    if (from < m_completeFrom)
        return std::nullopt;
    std::vector<TargetChange> changes;
    for (const auto& [id, life] : m_lives) {
        if (life.position < from)
            continue;
        const auto it = m_entries.find(id);
        if (life.isGone && life.isLeaving)
            changes.push_back({ id, leavingTarget(id, life.startedAtMs),
                life.leavingAt.era == life.position.era ? life.leavingAt : life.position });
        if (life.isGone)
            changes.push_back({ id, std::nullopt, life.position });
        else if (it != m_entries.end())
            changes.push_back({ id, targetAt(it->second, now), life.position });
    }
    return changes;
}

std::vector<TargetChange> TargetRoster::all(std::optional<TimePoint> now) const
{
    std::vector<TargetChange> result;
    result.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        if (!entry.isMissing)
            result.push_back({ id, targetAt(entry, now), entry.position });
    }
    return result;
}

void TargetRoster::removeExpiredLives(TimePoint now)
{
    std::erase_if(m_lives, [&](const auto& it) {
        if (m_entries.contains(it.first) || now - it.second.at <= lifeRetention)
            return false;
        const LogPosition last = it.second.position;
        const LogPosition afterLast { last.offset + 1, last.era };
        m_completeFrom = std::max(m_completeFrom, m_next ? std::min(afterLast, *m_next) : afterLast);
        return true;
    });
}

bool TargetRoster::expire(TimePoint now)
{
    removeExpiredLives(now);
    const std::uint64_t before = m_revision;
    updateSuspended();
    for (auto& [id, entry] : m_entries) {
        if (entry.heldUntil && *entry.heldUntil <= now) {
            entry.heldUntil.reset();
            ++m_revision;
        }
    }
    if (!isGracePeriodOver(now))
        return m_revision != before;
    const auto n = std::erase_if(m_entries, [this](const auto& it) {
        if (it.second.isMissing)
            recordDeparture(it.second, true, it.second.missingAfter);
        return it.second.isMissing;
    });
    m_revision += n;
    return m_revision != before;
}

std::size_t TargetRoster::missingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto& it) { return it.second.isMissing; }));
}

std::vector<dispatch::Target> TargetRoster::targets(std::optional<TimePoint> now) const
{
    std::vector<dispatch::Target> result;
    for (const auto& [id, entry] : m_entries) {
        result.push_back(targetAt(entry, now));
        result.back().draining = !entry.isUsed();
    }
    return result;
}

} // namespace sagechute::news
