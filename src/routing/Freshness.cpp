#include "routing/Freshness.h"

namespace sagechute::routing {

Freshness::Freshness(const RouterSettings& settings)
    : m_limit(settings.freshness)
    , m_maxConfigLag(settings.maxConfigLag)
    , m_pauseGracePeriod(settings.pauseGracePeriod)
{
}

bool Freshness::logReachable(TimePoint now) const
{
    return m_lastLogReadStart != TimePoint::min() && m_lastLogReadStart >= m_resumedAt
        && now - m_lastLogReadStart <= m_limit;
}

bool Freshness::fresh(TimePoint now, const membership::Gossip& gossip) const
{
    if (logReachable(now))
        return true;
    // Datagrams may pass where streams do not: a majority is heard, but its newer configuration never arrives.
    if (m_behindSince && now - *m_behindSince > m_maxConfigLag)
        return false;
    // Contact before a pause may look recent by the clock. Once the full limit has passed since the pause, everything
    // that still counts happened after it.
    const bool settled = m_resumedAt == TimePoint::min() || now - m_resumedAt >= m_limit;
    return settled && gossip.hearsMajority(now);
}

bool Freshness::isCutOff(TimePoint now, const membership::Gossip& gossip) const
{
    const bool inGracePeriod = m_resumedAt != TimePoint::min() && now - m_resumedAt < m_pauseGracePeriod;
    return !inGracePeriod && !fresh(now, gossip);
}

} // namespace sagechute::routing
