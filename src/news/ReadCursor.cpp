#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    constexpr Duration leastRetryDelay = std::chrono::milliseconds(60);

    /// A leaving target must be known of within two seconds of the store's return.
    constexpr Duration mostRetryDelay = std::chrono::milliseconds(500);
    constexpr unsigned mostDoublings = 3;

} // namespace

std::optional<Duration> ReadCursor::readDone(TimePoint now, LogOffset next)
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

void ReadCursor::toldByPeer(LogOffset next)
{
    // What was no longer kept is not kept now; only what lies behind it can be read on from.
    if (m_lost && next <= *m_lost)
        return;
    if (!m_next || *m_next < next)
        m_next = next;
}

Duration ReadCursor::retryDelay() const
{
    return std::min(mostRetryDelay, leastRetryDelay * (1 << std::min(m_failures, mostDoublings)));
}

} // namespace sagechute::news
