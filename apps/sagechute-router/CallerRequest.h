#pragma once

/// @file
/// The caller's side of one request: its body until it is sent, and the way its answer takes.

#include <sagechute/Delivery.h>
#include <sagechute/Net.h>
#include <sagechute/Routing.h>

#include <atomic>
#include <memory>
#include <string>

namespace sagechute::router {

/// Shared by the HTTP thread that took the request, the client thread that relays the answer, and the thread that
/// decides.
class CallerRequest {
public:
    /// Counts the request in until it is destroyed. @p counters has been entered by the maker.
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

    /// It stopped waiting: its body no longer counts against the customer's queue. Only the first call counts.
    void leaveQueue();

    /// Starts the streamed answer; only the first call has an effect.
    void startStream();
    bool streamStarted() const { return m_streamStarted.load(std::memory_order_acquire); }

    /// Gives a whole answer.
    void answer(const delivery::KeptAnswer&);

    /// Tells the caller that its request did not end in a complete answer.
    void refuse(Outcome, const absl::Status&, std::optional<std::chrono::seconds> retryAfter);

    /// Ends a streamed answer with its outcome event.
    void endStream(Outcome, const absl::Status&, const std::string& usage);

    /// Service relayed so far, for progress reports.
    std::atomic<std::uint64_t> positions { 0 };

    /// The transfer to resume when the caller has taken what was queued; 0 for none.
    std::atomic<net::TransferId> pausedTransfer { 0 };

private:
    RequestId m_id;
    std::string m_idText;
    CustomerId m_customer;
    std::shared_ptr<net::ServerExchange> m_exchange;
    std::shared_ptr<delivery::AdmissionCounters> m_counters;
    std::uint64_t m_bodyBytes;
    bool m_streamed;
    std::atomic<bool> m_waiting { true };
    std::atomic<bool> m_streamStarted { false };
};

} // namespace sagechute::router
