#pragma once

/// @file
/// Exports the router's status document and metrics.

#include <sagechute/Net.h>
#include <sagechute/Peer.h>
#include <sagechute/Process.h>
#include <sagechute/Routing.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <array>
#include <atomic>
#include <mutex>

namespace sagechute::router {

/// Bytes counted by the transports, by purpose.
struct ControlBytes {
    peer::ByteCount peer;
    peer::ByteCount gossip;
    peer::ByteCount log;
};

/// Updated by the core thread about four times a second and read by the HTTP threads.
class StatusExporter {
public:
    StatusExporter();

    /// @param coreCpuTime CPU time that the core thread has used so far.
    void update(const routing::RouterStatus&, const ControlBytes&, Duration coreCpuTime);
    void countOutcome(Outcome);

    /// Counts a message to another router by kind. @p bytes is the payload only; the transport counts headers.
    void countMessage(std::string_view kind, std::size_t bytes);

    nlohmann::json statusDocument() const;
    std::string exposition() const { return m_metrics.exposition(); }

private:
    void updatePools(const routing::RouterStatus&);
    prometheus::Gauge& poolGauge(prometheus::Family<prometheus::Gauge>&, const PoolId&);

    process::Metrics m_metrics;
    prometheus::Family<prometheus::Counter>& m_controlBytes;
    prometheus::Family<prometheus::Counter>& m_messages;
    prometheus::Family<prometheus::Counter>& m_messageBytes;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Gauge>& m_fairnessGap;
    prometheus::Family<prometheus::Gauge>& m_fairnessGapBound;
    prometheus::Family<prometheus::Gauge>& m_waiting;
    prometheus::Family<prometheus::Gauge>& m_running;
    prometheus::Gauge& m_residentMemory;
    prometheus::Gauge& m_processCpuTime;
    prometheus::Gauge& m_coreCpuTime;
    prometheus::Gauge& m_configOffset;
    prometheus::Gauge& m_undecodableMessages;
    mutable std::mutex m_mutex;
    routing::RouterStatus m_status;
};

} // namespace sagechute::router
