#pragma once

/// @file
/// Relays callers' requests to targets: the sockets, timers and logs around relay::RequestFlow.

#include "EdgeMetrics.h"
#include "EdgeState.h"
#include "TimerQueue.h"

#include <sagechute/Relay.h>

namespace sagechute::edge {

/// Dependencies shared by all relays, which they outlive.
struct RelayContext {
    EdgeState& state;
    net::HttpClient& client;
    const CallerProtocol& callerProtocol;
    const TargetProtocol& targetProtocol;
    TimerQueue& timers;
    EdgeMetrics& metrics;
    net::ByteBudget& answerBudget; ///< See relay::RequestFlowDelegate::reserveBuffer().
};

/// A request to be relayed, with its route, customer and service.
struct RelayOrder {
    std::shared_ptr<net::ServerExchange> exchange;
    CallerInfo facts;
    std::shared_ptr<const dispatch::RoutingTable> table; ///< The table used on acceptance; keeps the route alive.
    const dispatch::Route* route = nullptr;
    ServiceId service;
    CustomerId customer;
    TimePoint arrived;
};

/// Relays one request to targets and the response back to the caller.
///
/// Events come from the server (the caller disconnects), the client (the response) and the timers, possibly on three
/// threads. A mutex serializes them; no call made under it blocks.
class Relay : public std::enable_shared_from_this<Relay>, private relay::RequestFlowDelegate {
public:
    static void start(const RelayContext&, RelayOrder);

    Relay(const RelayContext&, RelayOrder);
    ~Relay() override;

    /// Checks again just before a request is sent: a router that lags by seconds would otherwise send requests whose
    /// callers have disconnected or whose targets have asked for no more.
    /// @return false if the caller has disconnected or the target accepts no more requests.
    bool shouldSend(unsigned number, const dispatch::TargetIncarnation&);

    // Called by the attempt's transfer sink.
    /// @return whether it is the head of an answer to this request.
    bool onHead(unsigned number, int status, const std::vector<net::Field>&, net::ConnectionUse);
    void onBytes(unsigned number, std::string_view);
    void onEnd(unsigned number, const net::TransferResult&);

private:
    dispatch::Decision place(TimePoint now, const dispatch::PlacementRequest&, dispatch::AttemptKind) override;
    void firstAnswer(TimePoint now, dispatch::AttemptId) override;
    void attemptEnded(TimePoint now, dispatch::AttemptId, dispatch::AttemptEnd, const relay::ResponseEnd&) override;
    bool reserveBuffer(std::size_t) override;
    void releaseBuffer(std::size_t) override;
    void onTargetSignals(TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&) override;
    dispatch::Refusal giveUp(TimePoint now, const ServiceId&) override;
    void send(const relay::OutgoingAttempt&) override;
    void cancel(unsigned number) override;
    void startStream(int status, const std::vector<net::Field>&) override;
    void write(std::string_view) override;
    void finish() override;
    void abort() override;
    void respond(const TargetResponseHead&, std::string body) override;
    void refuse(int status, std::string_view reason, std::optional<Duration> retryAfter) override;

    void begin();

    /// Calls @p event with the flow, then arms the timer for the flow's next wake-up, or completes the request.
    template <typename Event> void handleEvent(Event&& event);
    void armTimer();
    void complete();
    void sendResponse(net::ServerResponse);

    /// Looks at a held attempt again after a while.
    void armHeldTimer(unsigned number);

    /// Sends a held attempt unless newer data is still awaited.
    void sendHeld(unsigned number);
    void startTransfer(const relay::OutgoingAttempt&);
    void addCloseHeader(std::vector<net::Field>&) const;

    /// When the last attempt was sent to its target.
    struct LastSend {
        Duration sinceArrival {};
        std::optional<Duration> knowledgeAge; ///< See SendCheck.
    };

    const RelayContext m_context;
    const RelayOrder m_order;
    const quarantine::RequestKey m_key;

    std::mutex m_mutex;
    relay::RequestFlow m_flow;
    bool m_isCompleted = false;
    std::optional<LastSend> m_lastSend;
    TimerQueue::TimerId m_timer = 0;
    std::optional<TimePoint> m_timerDue;
    std::vector<net::TransferId> m_transfers; ///< Indexed by attempt number minus one; 0: not sent.
    std::vector<net::ConnectionId> m_usedConnections; ///< Of attempts that have ended.

    /// An attempt that is sent once the list of targets is new enough.
    struct HeldAttempt {
        relay::OutgoingAttempt attempt;
        TimePoint since;
    };
    std::map<unsigned, HeldAttempt> m_held; ///< By attempt number.
};

} // namespace sagechute::edge
