#include "operators/ApiMetrics.h"

#include <prometheus/registry.h>

namespace sagechute::operators {
namespace {

    prometheus::Family<prometheus::Counter>& counters(process::Metrics& metrics, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(metrics.registry());
    }

    prometheus::Gauge& gauge(process::Metrics& metrics, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(metrics.registry()).Add({});
    }

} // namespace

ApiMetrics::ApiMetrics()
    : m_changes(counters(m_metrics, "sagechute_api_changes_total", "Changes answered, by verdict"))
    , m_denials(counters(m_metrics, "sagechute_api_denials_total", "Requests without a known key or the role needed"))
    , m_offset(gauge(m_metrics, "sagechute_api_config_offset", "Log offset up to which this API has read"))
    , m_logReachable(gauge(m_metrics, "sagechute_api_log_reachable", "1 while the log answers"))
    , m_routers(gauge(m_metrics, "sagechute_api_routers", "Routers known to run"))
    , m_lagging(gauge(m_metrics, "sagechute_api_lagging_routers", "Routers without the latest configuration"))
{
}

void ApiMetrics::countChange(const std::string& verdict) { m_changes.Add({ { "verdict", verdict } }).Increment(); }

void ApiMetrics::countDenial(const std::string& kind) { m_denials.Add({ { "kind", kind } }).Increment(); }

std::string ApiMetrics::exposition(const LogStanding& standing, const Progress& progress)
{
    m_offset.Set(static_cast<double>(standing.offset));
    m_logReachable.Set(standing.reachable ? 1 : 0);
    m_routers.Set(static_cast<double>(progress.routers));
    m_lagging.Set(static_cast<double>(progress.lagging.size()));
    return m_metrics.exposition();
}

} // namespace sagechute::operators
