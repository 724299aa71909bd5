#include "ColdMonitor.h"

namespace sagechute::edge {

void ColdMonitor::update(TimePoint now)
{
    std::uint64_t placements = 0;
    const std::vector<dispatch::ColdTarget> cold = m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        placements = it.coldPlacements();
        return it.coldTargets(now);
    });
    m_metrics.coldPlacements().Increment(static_cast<double>(placements - m_placements));
    m_metrics.coldTargets().Set(static_cast<double>(cold.size()));
    m_placements = placements;
    std::set<dispatch::TargetIncarnation> present;
    for (const dispatch::ColdTarget& it : cold) {
        present.insert(it.target);
        if (m_cold.contains(it.target))
            continue;
        const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(it.left).count();
        process::log(process::LogLevel::Info, "target-cold",
            { { "target", toString(it.target) }, { "left-ms", std::to_string(leftMs) },
                { "slots", std::to_string(it.slots) } });
    }
    for (const dispatch::TargetIncarnation& it : m_cold) {
        if (!present.contains(it))
            process::log(process::LogLevel::Info, "target-warm", { { "target", toString(it) } });
    }
    m_cold = std::move(present);
}

} // namespace sagechute::edge
