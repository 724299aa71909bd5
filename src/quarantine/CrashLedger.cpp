#include <sagechute/Quarantine.h>

#include <algorithm>
#include <limits>

namespace sagechute::quarantine {

namespace {

    /// Requests that are remembered. A target that ends may have had dozens at work.
    constexpr std::size_t mostEntries = 4096;

    /// Targets of one request; a proper one that is sent for years is cleared of some now and then.
    constexpr std::size_t mostTargets = 32;
    constexpr TargetKey mostTargetKey = std::numeric_limits<TargetKey>::max();

    // In one report, whose datagram must stay small.
    constexpr std::size_t mostFresh = 24;
    constexpr std::size_t mostRepeated = 4;

    /// From so many ends on the next one decides, so that a router which has just started is told of them.
    constexpr unsigned repeatedEnds = quarantineEnds - 1;

} // namespace

void CrashLedger::merge(TimePoint now, const CrashRecord& record, unsigned tellings)
{
    Entry& entry = m_entries[record.request];
    const auto [it, isNew] = entry.targets.emplace(record.target, record.isCleared);
    if (!isNew && it->second == record.isCleared)
        return;
    if (!isNew && it->second) {
        // Who still says so has not heard that it was cleared.
        m_fresh[{ record.request, record.target }] = tellings;
        return;
    }
    it->second = record.isCleared;
    if (!record.isCleared)
        ++entry.ends;
    else if (!isNew)
        --entry.ends;
    if (isNew)
        entry.lastAsked = now;
    m_fresh[{ record.request, record.target }] = tellings;
    forgetCleared(entry, record.request);
    makeRoom();
}

void CrashLedger::makeRoom()
{
    if (m_entries.size() <= mostEntries)
        return;
    const auto least = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.ends, a.second.lastAsked) < std::pair(b.second.ends, b.second.lastAsked);
    });
    // Nothing is told any more of what is forgotten here: others may still need it.
    const RequestKey request = least->first;
    m_fresh.erase(m_fresh.lower_bound({ request, 0 }), m_fresh.upper_bound({ request, mostTargetKey }));
    m_entries.erase(least);
}

void CrashLedger::forgetCleared(Entry& entry, RequestKey request)
{
    for (auto it = entry.targets.begin(); it != entry.targets.end() && entry.targets.size() > mostTargets;) {
        if (it->second)
            m_fresh.erase({ request, it->first });
        it = it->second ? entry.targets.erase(it) : std::next(it);
    }
}

unsigned CrashLedger::ends(RequestKey request) const
{
    const auto it = m_entries.find(request);
    return it == m_entries.end() ? 0 : it->second.ends;
}

CrashCase CrashLedger::find(RequestKey request) const
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

void CrashLedger::asked(TimePoint now, RequestKey request)
{
    if (const auto it = m_entries.find(request); it != m_entries.end())
        it->second.lastAsked = now;
}

std::vector<CrashRecord> CrashLedger::clear(RequestKey request)
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
        m_fresh[{ request, target }] = ownTellings;
    }
    it->second.ends = 0;
    return cleared;
}

std::vector<CrashRecord> CrashLedger::tell()
{
    std::set<CrashRecord> told;
    for (std::size_t n = std::min(mostFresh, m_fresh.size()); n; --n) {
        auto it = m_fresh.upper_bound(m_lastFresh);
        if (it == m_fresh.end())
            it = m_fresh.begin();
        m_lastFresh = it->first;
        const auto& [request, target] = it->first;
        told.insert({ request, target, m_entries.at(request).targets.at(target) });
        if (--it->second == 0)
            m_fresh.erase(it);
    }
    std::map<RecordId, bool> decisive;
    for (const auto& [request, entry] : m_entries) {
        if (entry.ends < repeatedEnds)
            continue;
        for (const auto& [target, isCleared] : entry.targets)
            decisive.emplace(RecordId { request, target }, isCleared);
    }
    for (std::size_t i = 0; i < std::min(mostRepeated, decisive.size()); ++i) {
        auto it = decisive.upper_bound(m_lastTold);
        if (it == decisive.end())
            it = decisive.begin();
        m_lastTold = it->first;
        told.insert({ it->first.first, it->first.second, it->second });
    }
    return { told.begin(), told.end() };
}

std::vector<CrashCase> CrashLedger::cases() const
{
    std::vector<CrashCase> found;
    for (const auto& [request, entry] : m_entries) {
        if (entry.ends)
            found.push_back(find(request));
    }
    std::stable_sort(found.begin(), found.end(),
        [](const CrashCase& a, const CrashCase& b) { return a.targets.size() > b.targets.size(); });
    return found;
}

} // namespace sagechute::quarantine
