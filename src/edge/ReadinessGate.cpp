#include <sagechute/Edge.h>

namespace sagechute::edge {

void ReadinessGate::measure(TimePoint now, std::uint32_t utilizationPercent, std::uint32_t fleetPercent)
{
    const bool isOverloaded
        = utilizationPercent >= m_settings.overloadPercent && fleetPercent <= m_settings.maxFleetPercent;
    if (!isOverloaded)
        m_overloadedSince.reset();
    else if (!m_overloadedSince)
        m_overloadedSince = now;
    const bool becomesUnready = m_isOpen && m_overloadedSince && now - *m_overloadedSince >= m_settings.overloadTime;
    if (becomesUnready)
        m_unreadyUntil = now + m_settings.unreadyTime;
    m_isOpen = now >= m_unreadyUntil;
}

} // namespace sagechute::edge
