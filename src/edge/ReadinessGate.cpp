#include <sagechute/Edge.h>

namespace sagechute::edge {

void ReadinessGate::measure(TimePoint now, std::uint32_t usePercent, std::uint32_t fleetPercent)
{
    const bool isOverloaded = usePercent >= m_settings.overloadPercent && fleetPercent <= m_settings.roomPercent;
    if (!isOverloaded)
        m_overloadedSince.reset();
    else if (!m_overloadedSince)
        m_overloadedSince = now;
    const bool leaves = m_isOpen && m_overloadedSince && now - *m_overloadedSince >= m_settings.overloadTime;
    if (leaves)
        m_awayUntil = now + m_settings.away;
    m_isOpen = now >= m_awayUntil;
}

} // namespace sagechute::edge
