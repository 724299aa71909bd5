#include <sagechute/Quarantine.h>

namespace sagechute::quarantine {

Standing CrashGuard::standing(TimePoint now, RequestKey request)
{
    const unsigned ends = m_ledger.ends(request);
    if (ends >= quarantineEnds) {
        m_ledger.asked(now, request);
        return Standing::Quarantined;
    }
    const bool mayBeDecided = ends + m_detector.undecided(request) >= quarantineEnds;
    return mayBeDecided ? Standing::Undecided : Standing::Clear;
}

void CrashGuard::completed(TimePoint sentAt, TargetKey target, RequestKey request)
{
    m_detector.ended(sentAt, target);
    clear(request);
}

void CrashGuard::broke(TimePoint now, TimePoint sentAt, TargetKey target, RequestKey request, bool isSilent)
{
    m_detector.broke(now, sentAt, target, request, isSilent);
    takeEnds(now);
}

void CrashGuard::checked(TimePoint now, const TargetCheck& check, CheckResult result)
{
    m_detector.checked(now, check, result);
    takeEnds(now);
}

void CrashGuard::entryGone(TimePoint now, TargetKey target)
{
    m_detector.entryGone(now, target);
    takeEnds(now);
}

void CrashGuard::replaced(TimePoint now, TargetKey target)
{
    m_detector.replaced(now, target);
    takeEnds(now);
}

void CrashGuard::takeEnds(TimePoint now)
{
    for (TargetEnd& end : m_detector.takeEnds()) {
        for (const RequestKey request : end.requests) {
            const CrashRecord record { request, end.target, false };
            m_news.own.push_back(record);
            merge(now, record, ownTellings);
        }
        m_news.ends.push_back(std::move(end));
    }
}

void CrashGuard::merge(TimePoint now, const CrashRecord& record, unsigned tellings)
{
    const bool wasQuarantined = m_ledger.ends(record.request) >= quarantineEnds;
    m_ledger.merge(now, record, tellings);
    const bool isQuarantined = m_ledger.ends(record.request) >= quarantineEnds;
    if (wasQuarantined && !isQuarantined)
        m_news.released.push_back(record.request);
    if (wasQuarantined || !isQuarantined)
        return;
    m_news.quarantined.push_back(m_ledger.find(record.request));
}

bool CrashGuard::clear(RequestKey request)
{
    if (m_ledger.ends(request) >= quarantineEnds)
        m_news.released.push_back(request);
    const std::vector<CrashRecord> cleared = m_ledger.clear(request);
    m_news.own.insert(m_news.own.end(), cleared.begin(), cleared.end());
    return !cleared.empty();
}

CrashNews CrashGuard::takeNews() { return std::exchange(m_news, {}); }

} // namespace sagechute::quarantine
