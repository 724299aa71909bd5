#pragma once

#include "EdgeMetrics.h"
#include "EdgeState.h"

namespace sagechute::edge {

/// Reports in metrics and the log how late targets that leave were heeded, stalls of this process, and
/// returns of the store from a copy.
class DepartureMonitor {
public:
    DepartureMonitor(EdgeState& state, EdgeMetrics& metrics)
        : m_state(state)
        , m_metrics(metrics)
    {
    }

    /// To be called at each tick.
    void update();

private:
    EdgeState& m_state;
    EdgeMetrics& m_metrics;
};

} // namespace sagechute::edge
