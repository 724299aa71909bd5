#pragma once

#include <sagechute/Net.h>
#include <sagechute/Steward.h>

#include <atomic>
#include <mutex>

namespace sagechute::steward {

/// Answers of targets and of the weight store.
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

/// Carries out order actions over HTTP without waiting; the answers are collected for the deciding thread.
class TargetClient {
public:
    /// @param platform base URL of the weight store. @param timeout longest request.
    TargetClient(std::unique_ptr<net::HttpClient>, std::string platform, Duration timeout);

    void carryOut(const OrderAction&);

    /// @return the answers since the last call.
    std::vector<TargetEvent> take();

    /// @return requests under way.
    std::size_t underWay() const { return m_underWay; }

    /// Takes an answer in; any thread.
    void push(TargetEvent);

    /// Counts a request that has ended.
    void ended() { --m_underWay; }

private:
    void send(const ReadState&);
    void send(const AskLoad&);
    void send(const SendOrder&);
    void start(net::ClientRequest, std::function<TargetEvent(const net::ClientResponse&)> read);
    net::ClientRequest requestTo(std::string url) const;

    const std::string m_platform;
    const std::chrono::milliseconds m_timeout;
    std::atomic<std::size_t> m_underWay { 0 };
    std::mutex m_mutex;
    std::vector<TargetEvent> m_events;
    std::unique_ptr<net::HttpClient> m_client; ///< Last: its end ends the transfers, which still push.
};

} // namespace sagechute::steward
