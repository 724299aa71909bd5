#pragma once

/// @file
/// What the router shows of itself: status document and metrics.

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

/// Bytes that the transports have counted, by purpose.
struct ControlBytes {
    peer::ByteCount peer;
    peer::ByteCount gossip;
    peer::ByteCount log;
};

/// Written by the deciding thread about four times a second, read by the HTTP threads.
class StatusBoard {
public:
    StatusBoard();

    /// @param coreTime processor time of the deciding thread so far.
    void update(const routing::RouterStatus&, const ControlBytes&, Duration coreTime);
    void countOutcome(Outcome);

    /// A message to another router, by kind: payload only, the transport counts headers.
    void countMessage(std::string_view kind, std::size_t bytes);

    nlohmann::json statusDocument() const;
    std::string exposition() const { return m_metrics.exposition(); }

private:
    void updatePools(const routing::RouterStatus&);
    prometheus::Gauge& poolGauge(prometheus::Family<prometheus::Gauge>&, const PoolId&);

    process::Metrics m_metrics;
    prometheus::Family<prometheus::Counter>& m_control;
    prometheus::Family<prometheus::Counter>& m_messages;
    prometheus::Family<prometheus::Counter>& m_messageBytes;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Gauge>& m_gap;
    prometheus::Family<prometheus::Gauge>& m_gapBound;
    prometheus::Family<prometheus::Gauge>& m_waiting;
    prometheus::Family<prometheus::Gauge>& m_running;
    prometheus::Gauge& m_resident;
    prometheus::Gauge& m_processorTime;
    prometheus::Gauge& m_coreTime;
    prometheus::Gauge& m_configOffset;
    prometheus::Gauge& m_undecodable;
    mutable std::mutex m_mutex;
    routing::RouterStatus m_status;
};

} // namespace sagechute::router
