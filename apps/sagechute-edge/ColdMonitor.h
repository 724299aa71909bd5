#pragma once

#include "EdgeMetrics.h"
#include "EdgeState.h"

#include <set>

namespace sagechute::edge {

/// Reports in metrics and the log which targets are cold.
class ColdMonitor {
public:
    ColdMonitor(EdgeState& state, EdgeMetrics& metrics)
        : m_state(state)
        , m_metrics(metrics)
    {
    }

    /// Call it once a second.
    void update(TimePoint now);

private:
    EdgeState& m_state;
    EdgeMetrics& m_metrics;
    std::set<dispatch::TargetIncarnation> m_cold; ///< As last logged.
    std::uint64_t m_placements = 0; ///< As last counted in the metrics.
};

} // namespace sagechute::edge
