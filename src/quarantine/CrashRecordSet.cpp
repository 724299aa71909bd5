#include <sagechute/Quarantine.h>

#include <algorithm>
#include <limits>

namespace sagechute::quarantine {

namespace {

    /// Limit for remembered subjects. A target may have dozens of requests in flight when it exits.
    constexpr std::size_t maxEntries = 4096;

    /// Limit for the targets of one subject; a valid one that is sent for years is cleared of an exit now and then.
    constexpr std::size_t maxTargetsPerSubject = 32;
    constexpr TargetKey maxTargetKey = std::numeric_limits<TargetKey>::max();

    // Limits per report, which must fit into a small datagram.
    constexpr std::size_t maxPendingPerReport = 24;
    constexpr std::size_t maxRepeatedPerReport = 4;

    /// Subjects with this many exits are sent repeatedly, since the next exit decides and a router that has just
    /// started needs to know about them.
    constexpr unsigned minRepeatedExits = quarantineThreshold - 1;

    CrashRecord merged(CrashRecord record, const CrashRecord& other)
    {
        record.isCleared |= other.isCleared;
        record.isConfirmed |= other.isConfirmed;
        record.isRepeated |= other.isRepeated;
        return record;
    }

} // namespace

void CrashRecordSet::merge(TimePoint now, const CrashRecord& record, unsigned transmissions)
{
    Entry& entry = m_entries[record.subject];
    const auto [it, isNew] = entry.exits.emplace(record.target, Exit { record, now });
    CrashRecord& known = it->second.record;
    if (!isNew && known == record)
        return;
    m_pendingSends[{ record.subject, record.target }] = transmissions;
    const bool wasCounted = !isNew && !known.isCleared;
    known = merged(known, record);
    if (!known.isCleared && isNew)
        ++entry.exitCount;
    else if (known.isCleared && wasCounted)
        --entry.exitCount;
    if (isNew)
        entry.lastRequestedAt = now;
    dropClearedTargets(entry, record.subject);
    evictIfFull();
}

void CrashRecordSet::evictIfFull()
{
    if (m_entries.size() <= maxEntries)
        return;
    const auto leastRelevant = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.exitCount, a.second.lastRequestedAt)
            < std::pair(b.second.exitCount, b.second.lastRequestedAt);
    });
    // Evicted records must not be sent on: other routers may still need theirs.
    const SubjectKey subject = leastRelevant->first;
    m_pendingSends.erase(
        m_pendingSends.lower_bound({ subject, 0 }), m_pendingSends.upper_bound({ subject, maxTargetKey }));
    m_entries.erase(leastRelevant);
}

void CrashRecordSet::dropClearedTargets(Entry& entry, SubjectKey subject)
{
    for (auto it = entry.exits.begin(); it != entry.exits.end() && entry.exits.size() > maxTargetsPerSubject;) {
        const bool isCleared = it->second.record.isCleared;
        if (isCleared)
            m_pendingSends.erase({ subject, it->first });
        it = isCleared ? entry.exits.erase(it) : std::next(it);
    }
}

unsigned CrashRecordSet::exitCount(SubjectKey subject) const
{
    const auto it = m_entries.find(subject);
    return it == m_entries.end() ? 0 : it->second.exitCount;
}

CrashCase CrashRecordSet::find(SubjectKey subject) const
{
    CrashCase found { subject, {} };
    const auto entry = m_entries.find(subject);
    if (entry == m_entries.end())
        return found;
    found.firstLearnedAt = TimePoint::max();
    for (const auto& [target, exit] : entry->second.exits) {
        if (exit.record.isCleared)
            continue;
        found.targets.push_back(target);
        found.confirmed += exit.record.isConfirmed ? 1 : 0;
        found.repeated += exit.record.isRepeated ? 1 : 0;
        found.firstLearnedAt = std::min(found.firstLearnedAt, exit.learnedAt);
    }
    return found;
}

void CrashRecordSet::markRequested(TimePoint now, SubjectKey subject)
{
    if (const auto it = m_entries.find(subject); it != m_entries.end())
        it->second.lastRequestedAt = now;
}

std::vector<CrashRecord> CrashRecordSet::clear(SubjectKey subject, TimePoint learnedUntil)
{
    std::vector<CrashRecord> cleared;
    const auto it = m_entries.find(subject);
    if (it == m_entries.end())
        return cleared;
    for (auto& [target, exit] : it->second.exits) {
        if (exit.record.isCleared || exit.learnedAt > learnedUntil)
            continue;
        exit.record.isCleared = true;
        --it->second.exitCount;
        cleared.push_back(exit.record);
        m_pendingSends[{ subject, target }] = ownRecordTransmissions;
    }
    return cleared;
}

std::vector<CrashRecord> CrashRecordSet::confirm(SubjectKey subject)
{
    std::vector<CrashRecord> confirmed;
    const auto it = m_entries.find(subject);
    if (it == m_entries.end())
        return confirmed;
    for (auto& [target, exit] : it->second.exits) {
        if (exit.record.isCleared)
            continue;
        exit.record.isConfirmed = true;
        confirmed.push_back(exit.record);
        m_pendingSends[{ subject, target }] = ownRecordTransmissions;
    }
    return confirmed;
}

std::vector<CrashRecord> CrashRecordSet::unclearedRecords(SubjectKey subject) const
{
    return recordsOf(subject, false);
}

std::vector<CrashRecord> CrashRecordSet::clearedRecords(SubjectKey subject) const { return recordsOf(subject, true); }

std::vector<CrashRecord> CrashRecordSet::recordsOf(SubjectKey subject, bool isCleared) const
{
    std::vector<CrashRecord> found;
    const auto it = m_entries.find(subject);
    if (it == m_entries.end())
        return found;
    for (const auto& [target, exit] : it->second.exits) {
        if (exit.record.isCleared == isCleared)
            found.push_back(exit.record);
    }
    return found;
}

std::vector<CrashRecord> CrashRecordSet::newest(std::vector<CrashRecord> records) const
{
    for (CrashRecord& record : records) {
        const auto it = m_entries.find(record.subject);
        if (it == m_entries.end())
            continue;
        if (const auto exit = it->second.exits.find(record.target); exit != it->second.exits.end())
            record = merged(record, exit->second.record);
    }
    return records;
}

std::vector<CrashRecord> CrashRecordSet::releaseRecords(SubjectKey subject) const
{
    std::vector<CrashRecord> records;
    const auto it = m_entries.find(subject);
    if (it == m_entries.end())
        return records;
    for (const auto& [target, exit] : it->second.exits) {
        records.push_back(exit.record);
        records.back().isCleared = true;
    }
    return records;
}

std::vector<CrashRecord> CrashRecordSet::recordsToSend()
{
    std::set<CrashRecord> told;
    for (std::size_t n = std::min(maxPendingPerReport, m_pendingSends.size()); n; --n) {
        auto it = m_pendingSends.upper_bound(m_lastPendingSent);
        if (it == m_pendingSends.end())
            it = m_pendingSends.begin();
        m_lastPendingSent = it->first;
        const auto& [subject, target] = it->first;
        told.insert(m_entries.at(subject).exits.at(target).record);
        if (--it->second == 0)
            m_pendingSends.erase(it);
    }
    std::map<RecordId, CrashRecord> decisive;
    for (const auto& [subject, entry] : m_entries) {
        if (entry.exitCount < minRepeatedExits)
            continue;
        for (const auto& [target, exit] : entry.exits)
            decisive.emplace(RecordId { subject, target }, exit.record);
    }
    for (std::size_t i = 0; i < std::min(maxRepeatedPerReport, decisive.size()); ++i) {
        auto it = decisive.upper_bound(m_lastRepeated);
        if (it == decisive.end())
            it = decisive.begin();
        m_lastRepeated = it->first;
        told.insert(it->second);
    }
    return { told.begin(), told.end() };
}

std::vector<CrashCase> CrashRecordSet::cases() const
{
    std::vector<CrashCase> found;
    for (const auto& [subject, entry] : m_entries) {
        if (entry.exitCount)
            found.push_back(find(subject));
    }
    std::stable_sort(found.begin(), found.end(),
        [](const CrashCase& a, const CrashCase& b) { return a.targets.size() > b.targets.size(); });
    return found;
}

} // namespace sagechute::quarantine
