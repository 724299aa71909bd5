#pragma once

/// @file
/// Sends requests to targets and other routers and relays their responses.

#include "CallerRequest.h"
#include "EventQueue.h"

#include <memory>

namespace sagechute::router {

/// Limits on relayed responses.
struct RelaySettings {
    std::size_t streamBufferBytes = 256 << 10; ///< Bytes queued for a slow caller before its target's stream is paused.
    std::size_t maxAnswerBytes = 16 << 20; ///< A larger non-streamed response fails the attempt.
    std::size_t maxStoredStreamBytes = 256 << 10; ///< A larger streamed response is not stored for resends.
    std::chrono::milliseconds connectTimeout { 500 };
};

/// Starts attempts on the HTTP client's threads. Each pushes exactly one AttemptEnded event to the queue.
class AttemptSender {
public:
    AttemptSender(net::HttpClient&, EventQueue&, const RelaySettings&);

    /// @return the transfer id for cancel().
    net::TransferId start(const std::shared_ptr<CallerRequest>&, const routing::StartAttempt&);
    net::TransferId start(const std::shared_ptr<CallerRequest>&, const routing::StartForward&, const VmId& self);
    void cancel(net::TransferId transfer) { m_client.cancel(transfer); }

    /// Asks an engine to stop a request. The response is ignored.
    void cancelAtTarget(const std::string& address, const std::string& requestId);

private:
    net::HttpClient& m_client;
    EventQueue& m_eventQueue;
    RelaySettings m_settings;
};

} // namespace sagechute::router
