#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    /// A router that did not answer is not asked again for this long; others may have the same data.
    constexpr Duration failureRetention = std::chrono::seconds(2);

    /// The pause after a response is the age of the data divided by this, so that requests become rarer the longer the
    /// store is unavailable.
    constexpr int ageToPauseDivisor = 10;

} // namespace

PeerRequests::PeerRequests(const NewsTimes& times, TimePoint startedAt)
    : m_times(times)
    , m_startedAt(startedAt)
{
}

bool PeerRequests::canAsk(const VmId& vm, TimePoint now) const
{
    const auto failed = m_failedAt.find(vm);
    return !m_pending.contains(vm) && (failed == m_failedAt.end() || now - failed->second >= failureRetention);
}

TimePoint PeerRequests::anyoneDue(TimePoint now, std::optional<TimePoint> knownUntil) const
{
    TimePoint due = knownUntil ? *knownUntil + m_times.ask : m_startedAt + m_times.startWait;
    if (m_lastSent)
        due = std::max(due, *m_lastSent + m_times.askNext);
    if (m_lastAnswered) {
        const Duration age = now - knownUntil.value_or(m_startedAt);
        due = std::max(due,
            *m_lastAnswered + std::clamp<Duration>(age / ageToPauseDivisor, m_times.minAskPause, m_times.maxAskPause));
    }
    return due;
}

PeerRequests::Whom PeerRequests::due(
    TimePoint now, std::optional<TimePoint> knownUntil, const std::optional<VmId>& source) const
{
    const bool isAwaited = !m_pending.empty() && m_lastSent && now - *m_lastSent < m_times.askNext;
    if (source && canAsk(*source, now) && !isAwaited)
        return Whom::Source;
    return now >= anyoneDue(now, knownUntil) ? Whom::Anyone : Whom::Nobody;
}

void PeerRequests::sent(const VmId& vm, TimePoint now, Whom whom)
{
    m_pending[vm] = whom;
    m_lastSent = now;
}

void PeerRequests::ended(const VmId& vm, TimePoint now, bool isAnswered)
{
    const auto it = m_pending.find(vm);
    if (it == m_pending.end())
        return;
    if (isAnswered && it->second == Whom::Anyone)
        m_lastAnswered = now;
    m_pending.erase(it);
    std::erase_if(m_failedAt, [&](const auto& failed) { return now - failed.second >= failureRetention; });
    if (!isAnswered)
        m_failedAt[vm] = now;
}

} // namespace sagechute::news
