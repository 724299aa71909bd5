#pragma once

/// @file
/// Sends requests to targets and to other routers, and relays their answers.

#include "CallerRequest.h"
#include "Inbox.h"

#include <memory>

namespace sagechute::router {

/// Limits of the relay.
struct RelaySettings {
    std::size_t streamBufferBytes = 256 << 10; ///< Bytes queued for a slow caller before its target's stream is paused.
    std::size_t mostAnswerBytes = 16 << 20; ///< A larger whole answer is cut off.
    std::size_t keptStreamBytes = 256 << 10; ///< Of a streamed answer that is remembered for resends.
    std::chrono::milliseconds connectTimeout { 500 };
};

/// Starts attempts on the client's threads; each reports its end to the inbox, once.
class Attempts {
public:
    Attempts(net::HttpClient&, Inbox&, const RelaySettings&);

    /// @return the transfer, for cancel().
    net::TransferId start(const std::shared_ptr<CallerRequest>&, const routing::StartAttempt&);
    net::TransferId start(const std::shared_ptr<CallerRequest>&, const routing::StartForward&, const VmId& self);
    void cancel(net::TransferId transfer) { m_client.cancel(transfer); }

    /// Tells an engine to stop a request; nobody waits for the answer.
    void cancelAtTarget(const std::string& address, const std::string& requestId);

private:
    net::HttpClient& m_client;
    Inbox& m_inbox;
    RelaySettings m_settings;
};

} // namespace sagechute::router
