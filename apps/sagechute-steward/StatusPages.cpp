#include "StatusPages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace sagechute::steward {
namespace {

    using nlohmann::json;

    bool isDone(const TargetProgress& target) { return target.done; }

    json targetDocument(const TargetProgress& target)
    {
        return { { "target", target.target.value }, { "reachable", target.reachable }, { "done", target.done },
            { "phase", target.phase }, { "waitsFor", target.blockedReason } };
    }

    json statusDocument(const StewardStatus& status)
    {
        json targets = json::array();
        for (const TargetProgress& target : status.targets)
            targets.push_back(targetDocument(target));
        return { { "self", status.self }, { "holder", status.holder }, { "holdsLease", status.hold.has_value() },
            { "fencing", status.hold ? status.hold->fencing : 0 }, { "offset", status.offset },
            { "logEnd", status.logEnd }, { "problem", status.problem }, { "snapshots", status.snapshots },
            { "targets", std::move(targets) } };
    }

} // namespace

StatusPages::StatusPages()
{
    addGauge("sagechute_steward_lease_held", "1 while this process holds the lease",
        [](const StewardStatus& status) { return status.hold ? 1.0 : 0.0; });
    addGauge("sagechute_steward_fencing", "Fencing number of the lease held, 0 without",
        [](const StewardStatus& status) { return status.hold ? static_cast<double>(status.hold->fencing) : 0; });
    addGauge("sagechute_steward_config_offset", "Offset of the configuration in force here",
        [](const StewardStatus& status) { return static_cast<double>(status.offset); });
    addGauge("sagechute_steward_log_end", "Latest offset of the configuration stream",
        [](const StewardStatus& status) { return static_cast<double>(status.logEnd); });
    addGauge("sagechute_steward_targets", "Targets that are watched",
        [](const StewardStatus& status) { return static_cast<double>(status.targets.size()); });
    addGauge(
        "sagechute_steward_targets_done", "Targets that have what they should have", [](const StewardStatus& status) {
            return static_cast<double>(std::count_if(status.targets.begin(), status.targets.end(), isDone));
        });
    addCounter("sagechute_steward_orders_total", "Orders sent",
        [](const StewardStatus& status) { return status.counts.sent; });
    addCounter("sagechute_steward_orders_repeated_total", "Orders repeated because the state read back differed",
        [](const StewardStatus& status) { return status.counts.repeated; });
    addCounter("sagechute_steward_orders_superseded_total", "Orders that a target refused for their fencing number",
        [](const StewardStatus& status) { return status.counts.superseded; });
    addCounter("sagechute_steward_orders_failed_total", "Orders that failed or had no answer",
        [](const StewardStatus& status) { return status.counts.failed; });
    addCounter("sagechute_steward_loads_refused_total", "Refusals by the weight store's rate limit",
        [](const StewardStatus& status) { return status.counts.loadsRefused; });
    addCounter("sagechute_steward_snapshots_total", "Snapshots written",
        [](const StewardStatus& status) { return status.snapshots; });
}

void StatusPages::addGauge(const char* name, const char* help, double (*value)(const StewardStatus&))
{
    m_gauges.push_back(
        { &prometheus::BuildGauge().Name(name).Help(help).Register(m_metrics.registry()).Add({}), value });
}

void StatusPages::addCounter(const char* name, const char* help, std::uint64_t (*value)(const StewardStatus&))
{
    m_counters.push_back(
        { &prometheus::BuildCounter().Name(name).Help(help).Register(m_metrics.registry()).Add({}), value });
}

void StatusPages::update(StewardStatus status)
{
    for (const Gauge& it : m_gauges)
        it.gauge->Set(it.value(status));
    for (const Counter& it : m_counters)
        it.counter->Increment(static_cast<double>(it.value(status)) - it.counter->Value());
    const std::lock_guard lock(m_mutex);
    m_status = std::move(status);
}

void StatusPages::handle(net::ServerExchange& exchange) { exchange.respond(answer(exchange.request())); }

net::ServerResponse StatusPages::answer(const net::ServerRequest& request) const
{
    struct Page {
        std::string_view path;
        net::ServerResponse (StatusPages::*show)() const;
    };
    static constexpr std::array pages { Page { "/metrics", &StatusPages::metrics },
        Page { "/healthz", &StatusPages::health }, Page { "/readyz", &StatusPages::readiness },
        Page { "/v1/status", &StatusPages::status } };
    for (const Page& page : pages) {
        if (request.method == "GET" && request.path == page.path)
            return (this->*page.show)();
    }
    return net::errorResponse(
        makeError(ErrorKind::NotFound, "No such page", "Use GET with /metrics, /healthz, /readyz or /v1/status"));
}

net::ServerResponse StatusPages::metrics() const
{
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition() };
}

net::ServerResponse StatusPages::health() const { return net::jsonResponse(200, { { "alive", true } }); }

net::ServerResponse StatusPages::readiness() const
{
    const std::lock_guard lock(m_mutex);
    const bool isReady = m_status.problem.empty();
    return net::jsonResponse(isReady ? 200 : 503, { { "ready", isReady }, { "reason", m_status.problem } });
}

net::ServerResponse StatusPages::status() const
{
    const std::lock_guard lock(m_mutex);
    return net::jsonResponse(200, statusDocument(m_status));
}

} // namespace sagechute::steward
