#pragma once

#include <sagechute/Net.h>
#include <sagechute/Process.h>
#include <sagechute/Steward.h>

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace sagechute::steward {

/// The state shown on the status pages.
struct StewardStatus {
    std::string self;
    std::string holder;
    std::optional<HeldLease> hold;
    std::string problem = "starting"; ///< Why the configuration is not current; empty if it is.
    LogOffset offset = 0;
    LogOffset logEnd = 0;
    std::uint64_t snapshots = 0;
    std::vector<TargetProgress> targets;
    OrderCounts counts;
};

/// Serves /metrics, /healthz, /readyz and /v1/status.
class StatusPages {
public:
    StatusPages();

    /// Replaces the status that the pages show.
    void update(StewardStatus);

    /// Responds without blocking; callable from any thread.
    void handle(net::ServerExchange&);

private:
    /// A metric and the function that reads its value from the status.
    struct Gauge {
        prometheus::Gauge* gauge;
        double (*value)(const StewardStatus&);
    };
    struct Counter {
        prometheus::Counter* counter;
        std::uint64_t (*value)(const StewardStatus&);
    };

    void addGauge(const char* name, const char* help, double (*value)(const StewardStatus&));
    void addCounter(const char* name, const char* help, std::uint64_t (*value)(const StewardStatus&));
    net::ServerResponse answer(const net::ServerRequest&) const;
    net::ServerResponse metrics() const;
    net::ServerResponse health() const;
    net::ServerResponse readiness() const;
    net::ServerResponse status() const;

    process::Metrics m_metrics;
    std::vector<Gauge> m_gauges;
    std::vector<Counter> m_counters;
    mutable std::mutex m_mutex;
    StewardStatus m_status;
};

} // namespace sagechute::steward
