#pragma once

/// @file
/// A caller's request and the HTTP exchange on which it is answered.

#include <sagechute/Delivery.h>
#include <sagechute/Net.h>
#include <sagechute/Routing.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sagechute::router {

/// Shared by the HTTP thread that received the request, the client thread that relays the response, and the core
/// thread.
class CallerRequest {
public:
    /// The request counts against the customer's admission limits until it is destroyed; the creator has already called
    /// enter() on the counters.
    CallerRequest(RequestId, CustomerId, std::shared_ptr<net::ServerExchange>,
        std::shared_ptr<delivery::AdmissionCounters>, bool streamed);
    ~CallerRequest();
    CallerRequest(const CallerRequest&) = delete;
    CallerRequest& operator=(const CallerRequest&) = delete;

    const RequestId& id() const { return m_id; }
    const std::string& idText() const { return m_idText; }
    const CustomerId& customer() const { return m_customer; }
    const net::ServerRequest& request() const { return m_exchange->request(); }
    net::ServerExchange& exchange() { return *m_exchange; }
    bool streamed() const { return m_streamed; }

    /// Marks the request as no longer queued: it stops counting against the customer's queue limits. Only the first
    /// call has an effect.
    void leaveQueue();

    /// Starts the streamed response. Only the first call has an effect.
    void startStream();
    bool streamStarted() const { return m_streamStarted.load(std::memory_order_acquire); }

    /// Records a pooled connection that an attempt of the request was sent on. A second answer to that attempt may
    /// arrive there, and has the same request id as the answer to the next attempt.
    void addUsedConnection(net::ConnectionId);
    std::vector<net::ConnectionId> usedConnections() const;

    /// Sends a complete response.
    void answer(const delivery::KeptAnswer&);

    /// Reports that the request did not end in a complete response.
    void refuse(Outcome, const absl::Status&, std::optional<std::chrono::seconds> retryAfter);

    /// Ends a streamed response with an outcome event.
    void endStream(Outcome, const absl::Status&, const std::string& usage);

    /// Stream position relayed so far, for progress reports to the core.
    std::atomic<std::uint64_t> positions { 0 };

    /// The paused transfer to resume when the caller's write queue has drained; 0 for none.
    std::atomic<net::TransferId> pausedTransfer { 0 };

private:
    RequestId m_id;
    std::string m_idText;
    CustomerId m_customer;
    std::shared_ptr<net::ServerExchange> m_exchange;
    std::shared_ptr<delivery::AdmissionCounters> m_counters;
    std::uint64_t m_bodyBytes;
    bool m_streamed;
    mutable std::mutex m_mutex;
    std::vector<net::ConnectionId> m_usedConnections; ///< Guarded by m_mutex.
    std::atomic<bool> m_waiting { true };
    std::atomic<bool> m_streamStarted { false };
};

} // namespace sagechute::router
