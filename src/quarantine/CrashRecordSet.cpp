#include <sagechute/Quarantine.h>

#include <algorithm>
#include <limits>

namespace sagechute::quarantine {

namespace {

    /// Limit for remembered requests. A target may have dozens in flight when it exits.
    constexpr std::size_t maxEntries = 4096;

    /// Limit for the targets of one request; a valid request that is sent for years is cleared of an exit now and then.
    constexpr std::size_t maxTargetsPerRequest = 32;
    constexpr TargetKey maxTargetKey = std::numeric_limits<TargetKey>::max();

    // Limits per report, which must fit into a small datagram.
    constexpr std::size_t maxPendingPerReport = 24;
    constexpr std::size_t maxRepeatedPerReport = 4;

    /// Requests with this many exits are sent repeatedly, since the next exit decides and a router that has just
    /// started needs to know about them.
    constexpr unsigned minRepeatedExits = quarantineThreshold - 1;

} // namespace

void CrashRecordSet::merge(TimePoint now, const CrashRecord& record, unsigned transmissions)
{
    Entry& entry = m_entries[record.request];
    const auto [it, isNew] = entry.targets.emplace(record.target, record.isCleared);
    if (!isNew && it->second == record.isCleared)
        return;
    if (!isNew && it->second) {
        // The sender has not received the clearing yet.
        m_pendingSends[{ record.request, record.target }] = transmissions;
        return;
    }
    it->second = record.isCleared;
    if (!record.isCleared)
        ++entry.exitCount;
    else if (!isNew)
        --entry.exitCount;
    if (isNew)
        entry.lastRequestedAt = now;
    m_pendingSends[{ record.request, record.target }] = transmissions;
    dropClearedTargets(entry, record.request);
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
    const RequestKey request = leastRelevant->first;
    m_pendingSends.erase(
        m_pendingSends.lower_bound({ request, 0 }), m_pendingSends.upper_bound({ request, maxTargetKey }));
    m_entries.erase(leastRelevant);
}

void CrashRecordSet::dropClearedTargets(Entry& entry, RequestKey request)
{
    for (auto it = entry.targets.begin(); it != entry.targets.end() && entry.targets.size() > maxTargetsPerRequest;) {
        if (it->second)
            m_pendingSends.erase({ request, it->first });
        it = it->second ? entry.targets.erase(it) : std::next(it);
    }
}

unsigned CrashRecordSet::exitCount(RequestKey request) const
{
    const auto it = m_entries.find(request);
    return it == m_entries.end() ? 0 : it->second.exitCount;
}

CrashCase CrashRecordSet::find(RequestKey request) const
{
    CrashCase found { request, {} };
    const auto entry = m_entries.find(request);
    if (entry == m_entries.end())
        return found;
    for (const auto& [target, isCleared] : entry->second.targets) {
        if (!isCleared)
            found.targets.push_back(target);
    }
    return found;
}

void CrashRecordSet::markRequested(TimePoint now, RequestKey request)
{
    if (const auto it = m_entries.find(request); it != m_entries.end())
        it->second.lastRequestedAt = now;
}

std::vector<CrashRecord> CrashRecordSet::clear(RequestKey request)
{
    std::vector<CrashRecord> cleared;
    const auto it = m_entries.find(request);
    if (it == m_entries.end())
        return cleared;
    for (auto& [target, isCleared] : it->second.targets) {
        if (isCleared)
            continue;
        isCleared = true;
        cleared.push_back({ request, target, true });
        m_pendingSends[{ request, target }] = ownRecordTransmissions;
    }
    it->second.exitCount = 0;
    return cleared;
}

std::vector<CrashRecord> CrashRecordSet::recordsToSend()
{
    std::set<CrashRecord> told;
    for (std::size_t n = std::min(maxPendingPerReport, m_pendingSends.size()); n; --n) {
        auto it = m_pendingSends.upper_bound(m_lastPendingSent);
        if (it == m_pendingSends.end())
            it = m_pendingSends.begin();
        m_lastPendingSent = it->first;
        const auto& [request, target] = it->first;
        told.insert({ request, target, m_entries.at(request).targets.at(target) });
        if (--it->second == 0)
            m_pendingSends.erase(it);
    }
    std::map<RecordId, bool> decisive;
    for (const auto& [request, entry] : m_entries) {
        if (entry.exitCount < minRepeatedExits)
            continue;
        for (const auto& [target, isCleared] : entry.targets)
            decisive.emplace(RecordId { request, target }, isCleared);
    }
    for (std::size_t i = 0; i < std::min(maxRepeatedPerReport, decisive.size()); ++i) {
        auto it = decisive.upper_bound(m_lastRepeated);
        if (it == decisive.end())
            it = decisive.begin();
        m_lastRepeated = it->first;
        told.insert({ it->first.first, it->first.second, it->second });
    }
    return { told.begin(), told.end() };
}

std::vector<CrashCase> CrashRecordSet::cases() const
{
    std::vector<CrashCase> found;
    for (const auto& [request, entry] : m_entries) {
        if (entry.exitCount)
            found.push_back(find(request));
    }
    std::stable_sort(found.begin(), found.end(),
        [](const CrashCase& a, const CrashCase& b) { return a.targets.size() > b.targets.size(); });
    return found;
}

} // namespace sagechute::quarantine
