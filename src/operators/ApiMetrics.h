#pragma once

#include "operators/FleetDocument.h"

#include <sagechute/Process.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <string>

namespace sagechute::operators {

/// What the API counts, for /metrics. Safe from any thread.
class ApiMetrics {
public:
    ApiMetrics();

    /// A change was answered. @param verdict "accepted", "conflict", "refused" or "unavailable".
    void countChange(const std::string& verdict);

    /// A request was turned away for want of a key or a role. @param kind the error's kind.
    void countDenial(const std::string& kind);

    /// @return all metrics in the Prometheus text format.
    std::string exposition(const LogStanding&, const Progress&);

private:
    process::Metrics m_metrics;
    prometheus::Family<prometheus::Counter>& m_changes;
    prometheus::Family<prometheus::Counter>& m_denials;
    prometheus::Gauge& m_offset;
    prometheus::Gauge& m_logReachable;
    prometheus::Gauge& m_routers;
    prometheus::Gauge& m_lagging;
};

} // namespace sagechute::operators
