#pragma once

#include <sagechute/Net.h>
#include <sagechute/Process.h>
#include <sagechute/Steward.h>

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace sagechute::steward {

/// What the pages tell.
struct StewardStatus {
    std::string self;
    std::string holder;
    std::optional<LeaseHold> hold;
    std::string problem = "starting"; ///< Why the configuration is not current, empty when it is.
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

    /// Takes over the present status; the pages show it until the next.
    void show(StewardStatus);

    /// Answers at once; any thread.
    void handle(net::ServerExchange&);

private:
    /// A metric, and where its value comes from.
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
