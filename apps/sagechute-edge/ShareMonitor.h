#pragma once

#include "EdgeMetrics.h"
#include "EdgeState.h"

namespace sagechute::edge {

/// Reports in metrics and the log how customers share the engines, as this router sees it.
class ShareMonitor {
public:
    ShareMonitor(EdgeState& state, EdgeMetrics& metrics)
        : m_state(state)
        , m_metrics(metrics)
    {
    }

    /// Call it once a second. Logs a line while customers are refused, whether or not a share level is known.
    void update(TimePoint now);

private:
    EdgeState& m_state;
    EdgeMetrics& m_metrics;
};

} // namespace sagechute::edge
