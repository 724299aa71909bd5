#include "routing/Freshness.h"

namespace sagechute::routing {

Freshness::Freshness(const RouterSettings& settings)
    : m_limit(settings.freshness)
    , m_lagMost(settings.lagMost)
    , m_regainTime(settings.regainTime)
{
}

bool Freshness::logReachable(TimePoint now) const
{
    return m_logAsked != TimePoint::min() && m_logAsked >= m_resumedAt && now - m_logAsked <= m_limit;
}

bool Freshness::fresh(TimePoint now, const membership::Gossip& gossip) const
{
    if (logReachable(now))
        return true;
    // Datagrams may pass where streams don't: the majority is heard, and what it knows never arrives.
    if (m_behindSince && now - *m_behindSince > m_lagMost)
        return false;
    // What was heard before a pause may look recent by the clock. After the full limit all that counts is from after
    // the pause.
    const bool settled = m_resumedAt == TimePoint::min() || now - m_resumedAt >= m_limit;
    return settled && gossip.hearsMajority(now);
}

bool Freshness::cutOff(TimePoint now, const membership::Gossip& gossip) const
{
    const bool regaining = m_resumedAt != TimePoint::min() && now - m_resumedAt < m_regainTime;
    return !regaining && !fresh(now, gossip);
}

} // namespace sagechute::routing
