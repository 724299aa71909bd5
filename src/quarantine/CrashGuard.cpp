#include <sagechute/Quarantine.h>

namespace sagechute::quarantine {

Standing CrashGuard::standing(TimePoint now, RequestKey request)
{
    const unsigned exitCount = m_records.exitCount(request);
    if (exitCount >= quarantineThreshold) {
        m_records.markRequested(now, request);
        return Standing::Quarantined;
    }
    const bool mayBeDecided = exitCount + m_detector.undecided(request) >= quarantineThreshold;
    return mayBeDecided ? Standing::Undecided : Standing::Clear;
}

void CrashGuard::completed(TimePoint sentAt, TargetKey target, RequestKey request)
{
    m_detector.ended(sentAt, target);
    clear(request);
}

void CrashGuard::broke(TimePoint now, TimePoint sentAt, TargetKey target, RequestKey request, bool isSilent,
    const std::vector<PartKey>& suspectParts)
{
    m_detector.broke(now, sentAt, target, request, isSilent, suspectParts);
    takeExits(now);
}

void CrashGuard::checked(TimePoint now, const TargetCheck& check, CheckResult result)
{
    m_detector.checked(now, check, result);
    takeExits(now);
}

void CrashGuard::entryGone(TimePoint now, TargetKey target)
{
    m_detector.entryGone(now, target);
    takeExits(now);
}

void CrashGuard::replaced(TimePoint now, TargetKey target)
{
    m_detector.replaced(now, target);
    takeExits(now);
}

void CrashGuard::takeExits(TimePoint now)
{
    for (TargetExit& end : m_detector.takeExits()) {
        for (const RequestKey request : end.requests) {
            const CrashRecord record { request, end.target };
            m_update.ownRecords.push_back(record);
            merge(now, record, ownRecordTransmissions);
        }
        m_parts.exited(now, end.target, end.parts);
        m_update.targetExits.push_back(std::move(end));
    }
}

void CrashGuard::merge(TimePoint now, const CrashRecord& record, unsigned transmissions)
{
    const bool wasQuarantined = m_records.exitCount(record.subject) >= quarantineThreshold;
    m_records.merge(now, record, transmissions);
    const bool isQuarantined = m_records.exitCount(record.subject) >= quarantineThreshold;
    if (wasQuarantined && !isQuarantined)
        m_update.released.push_back(record.subject);
    if (wasQuarantined || !isQuarantined)
        return;
    m_update.quarantined.push_back(m_records.find(record.subject));
}

std::vector<CrashRecord> CrashGuard::clearedRecords(const std::vector<RequestKey>& quarantined) const
{
    std::vector<CrashRecord> found;
    for (const RequestKey it : quarantined) {
        if (m_records.exitCount(it) >= quarantineThreshold)
            continue;
        const std::vector<CrashRecord> cleared = m_records.clearedRecords(it);
        found.insert(found.end(), cleared.begin(), cleared.end());
    }
    return found;
}

void CrashGuard::release(TimePoint now, const std::vector<CrashRecord>& records)
{
    for (const CrashRecord& it : records)
        merge(now, it, ownRecordTransmissions);
}

void CrashGuard::clear(RequestKey request)
{
    if (m_records.exitCount(request) >= quarantineThreshold)
        m_update.released.push_back(request);
    const std::vector<CrashRecord> cleared = m_records.clear(request);
    m_update.ownRecords.insert(m_update.ownRecords.end(), cleared.begin(), cleared.end());
}

QuarantineUpdate CrashGuard::takeUpdate()
{
    m_update.parts = m_parts.takeChanges();
    return std::exchange(m_update, {});
}

} // namespace sagechute::quarantine
