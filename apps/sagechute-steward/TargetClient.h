#pragma once

#include <sagechute/Net.h>
#include <sagechute/Steward.h>

#include <atomic>
#include <mutex>

namespace sagechute::steward {

/// Results of requests to targets and to the weight store.
struct StateAnswer {
    TargetId target;
    std::uint64_t number = 0;
    std::optional<ObservedState> state;
};
struct LoadAnswer {
    TargetId target;
    bool granted = false;
    Duration wait {};
};
struct OrderResult {
    TargetId target;
    OrderAnswer answer = OrderAnswer::Failed;
};
using TargetEvent = std::variant<StateAnswer, LoadAnswer, OrderResult>;

/// Executes order actions over HTTP without blocking and queues the results for the thread that runs TargetOrders.
class TargetClient {
public:
    /// @param platform base URL of the weight store. @param timeout total timeout of each request.
    TargetClient(std::unique_ptr<net::HttpClient>, std::string platform, Duration timeout);

    void execute(const OrderAction&);

    /// @return the events queued since the last call.
    std::vector<TargetEvent> takeEvents();

    /// @return number of requests in flight.
    std::size_t inFlight() const { return m_inFlight; }

    /// Queues an event; callable from any thread.
    void push(TargetEvent);

    /// Records that a request has ended.
    void ended() { --m_inFlight; }

private:
    void send(const ReadState&);
    void send(const RequestLoadGrant&);
    void send(const SendOrder&);
    void start(net::ClientRequest, std::function<TargetEvent(const net::ClientResponse&)> read);
    net::ClientRequest requestTo(std::string url) const;

    const std::string m_platform;
    const std::chrono::milliseconds m_timeout;
    std::atomic<std::size_t> m_inFlight { 0 };
    std::mutex m_mutex;
    std::vector<TargetEvent> m_events;
    std::unique_ptr<net::HttpClient>
        m_client; ///< Declared last: its destructor ends the transfers, which still call push().
};

} // namespace sagechute::steward
