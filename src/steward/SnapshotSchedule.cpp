#include <sagechute/Steward.h>

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// Snapshots are written at a third of the observed retention, so that one exists well before the records that it
    /// replaces expire, even if the writer is down for a while.
    constexpr int safetyFactor = 3;

    constexpr std::size_t maxEndObservations = 1024;

} // namespace

SnapshotSchedule::SnapshotSchedule(const SnapshotSettings& settings)
    : m_settings(settings)
{
}

void SnapshotSchedule::observeLog(LogOffset first, LogOffset end, TimePoint now)
{
    if (end > 0 && (m_endObservations.empty() || m_endObservations.back().end < end)
        && m_endObservations.size() < maxEndObservations)
        m_endObservations.push_back({ end, now });
    if (first <= m_first)
        return;
    m_first = first;
    m_observedRecordCount = end + 1 - first;
    // If a record was the last one in the log when observed and is gone now, it was retained for at most the time in
    // between.
    while (!m_endObservations.empty() && m_endObservations.front().end < first) {
        const Duration age = now - m_endObservations.front().at;
        m_observedRetention = m_observedRetention ? std::min(*m_observedRetention, age) : age;
        m_endObservations.erase(m_endObservations.begin());
    }
}

void SnapshotSchedule::wrote(LogOffset covers, TimePoint now)
{
    m_covers = covers;
    m_writtenAt = now;
    m_notBefore = now + m_settings.retryAfter;
}

void SnapshotSchedule::failed(TimePoint now) { m_notBefore = now + m_settings.retryAfter; }

Duration SnapshotSchedule::interval() const
{
    return m_observedRetention ? std::min(m_settings.maxInterval, *m_observedRetention / safetyFactor)
                               : m_settings.maxInterval;
}

bool SnapshotSchedule::due(LogOffset applied, TimePoint now) const
{
    if (applied == 0 || now < m_notBefore)
        return false;
    if (!m_covers || now - m_writtenAt >= interval())
        return true;
    const LogOffset recordsBehind = applied > *m_covers ? applied - *m_covers : 0;
    const LogOffset maxRecordsBehind = m_observedRecordCount
        ? std::clamp<LogOffset>(*m_observedRecordCount / safetyFactor, 1, m_settings.maxRecords)
        : m_settings.maxRecords;
    return recordsBehind >= maxRecordsBehind || (recordsBehind > 0 && *m_covers + 1 < m_first);
}

} // namespace sagechute::steward
