#include <sagechute/Steward.h>

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// A snapshot must be there well before the records that it replaces go; a writer may be down for a while.
    constexpr int safetyFactor = 3;

    constexpr std::size_t mostSightings = 1024;

} // namespace

SnapshotSchedule::SnapshotSchedule(const SnapshotSettings& settings)
    : m_settings(settings)
{
}

void SnapshotSchedule::sawLog(LogOffset first, LogOffset end, TimePoint now)
{
    if (end > 0 && (m_sightings.empty() || m_sightings.back().end < end) && m_sightings.size() < mostSightings)
        m_sightings.push_back({ end, now });
    if (first <= m_first)
        return;
    m_first = first;
    m_learnedRecords = end + 1 - first;
    // A record seen as the log's last one at some time, and gone now, was kept for no longer than since then.
    while (!m_sightings.empty() && m_sightings.front().end < first) {
        const Duration age = now - m_sightings.front().at;
        m_learnedAge = m_learnedAge ? std::min(*m_learnedAge, age) : age;
        m_sightings.erase(m_sightings.begin());
    }
}

void SnapshotSchedule::wrote(LogOffset covers, TimePoint now)
{
    m_covers = covers;
    m_writtenAt = now;
    m_notBefore = now + m_settings.retryAfter;
}

void SnapshotSchedule::failed(TimePoint now) { m_notBefore = now + m_settings.retryAfter; }

Duration SnapshotSchedule::gap() const
{
    return m_learnedAge ? std::min(m_settings.longestGap, *m_learnedAge / safetyFactor) : m_settings.longestGap;
}

bool SnapshotSchedule::due(LogOffset applied, TimePoint now) const
{
    if (applied == 0 || now < m_notBefore)
        return false;
    if (!m_covers || now - m_writtenAt >= gap())
        return true;
    const LogOffset behind = applied > *m_covers ? applied - *m_covers : 0;
    const LogOffset most = m_learnedRecords
        ? std::clamp<LogOffset>(*m_learnedRecords / safetyFactor, 1, m_settings.mostRecords)
        : m_settings.mostRecords;
    return behind >= most || (behind > 0 && *m_covers + 1 < m_first);
}

} // namespace sagechute::steward
