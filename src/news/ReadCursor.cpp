#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    constexpr Duration minRetryDelay = std::chrono::milliseconds(60);

    /// A draining target must be known within two seconds of the store's return.
    constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);
    constexpr unsigned maxDoublings = 3;

} // namespace

std::optional<Duration> ReadCursor::readDone(TimePoint now, LogPosition next)
{
    std::optional<Duration> away;
    if (m_failingSince)
        away = now - *m_failingSince;
    m_failingSince.reset();
    m_lost.reset();
    m_failures = 0;
    m_next = next;
    return away;
}

bool ReadCursor::readFailed(TimePoint now)
{
    ++m_failures;
    if (m_failingSince)
        return false;
    m_failingSince = now;
    return true;
}

void ReadCursor::historyLost()
{
    m_lost = m_next;
    m_next.reset();
}

void ReadCursor::toldByPeer(LogPosition next)
{
    // Records that were no longer retained are still gone; reading can only continue after them.
    if (m_lost && next <= *m_lost)
        return;
    if (!m_next || *m_next < next)
        m_next = next;
}

Duration ReadCursor::retryDelay() const
{
    return std::min(maxRetryDelay, minRetryDelay * (1 << std::min(m_failures, maxDoublings)));
}

} // namespace sagechute::news
