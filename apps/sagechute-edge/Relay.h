#pragma once

/// @file
/// Carries the requests of callers: the sockets, timers and logs around relay::RequestFlow.

#include "DueTimers.h"
#include "EdgeMetrics.h"
#include "EdgeState.h"

#include <sagechute/Relay.h>

namespace sagechute::edge {

/// What every relay uses. All of it outlives the relays.
struct RelayTools {
    EdgeState& state;
    net::HttpClient& client;
    const CallerProtocol& callers;
    const TargetProtocol& targets;
    DueTimers& timers;
    EdgeMetrics& metrics;
};

/// A request whose route, customer and service are known.
struct RelayOrder {
    std::shared_ptr<net::ServerExchange> exchange;
    CallerFacts facts;
    std::shared_ptr<const dispatch::RoutingTable> table; ///< The one that it was accepted under keeps its route alive.
    const dispatch::Route* route = nullptr;
    ServiceId service;
    CustomerId customer;
    TimePoint arrived;
};

/// Carries one request to targets and their answer back.
///
/// Its events come from three threads: the server's (the caller leaves), the client's (the answer) and the timers'. One
/// mutex makes them sequential; none of the calls made under it waits.
class Relay : public std::enable_shared_from_this<Relay>, private relay::FlowPort {
public:
    static void start(const RelayTools&, RelayOrder);

    Relay(const RelayTools&, RelayOrder);
    ~Relay() override;

    /// Just before a request leaves: a router that lags behind for seconds would send on requests whose callers have
    /// left or whose targets have asked for no more.
    /// @return false when its caller has gone, or its target takes no more requests.
    bool isStillWanted(unsigned number, const dispatch::TargetIncarnation&);

    // From the attempt's sink.
    void onHead(unsigned number, int status, const std::vector<net::Field>&);
    void onBytes(unsigned number, std::string_view);
    void onEnd(unsigned number, const net::TransferResult&);

private:
    dispatch::Decision place(TimePoint now, const dispatch::PlacementRequest&, dispatch::AttemptKind) override;
    void firstAnswer(TimePoint now, dispatch::AttemptId) override;
    void attemptEnded(TimePoint now, dispatch::AttemptId, dispatch::AttemptEnd, const relay::AnswerEnd&) override;
    void targetSaid(TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&) override;
    dispatch::Refusal giveUp(TimePoint now, const ServiceId&) override;
    void send(const relay::AttemptOrder&) override;
    void cancel() override;
    void startStream(int status, const std::vector<net::Field>&) override;
    void write(std::string_view) override;
    void finish() override;
    void abort() override;
    void respond(const TargetAnswerHead&, std::string body) override;
    void refuse(int status, std::string_view reason, std::optional<Duration> comeBack) override;

    void begin();

    /// Calls @p event with the flow, then sets its timer, or concludes it.
    template <typename Event> void handle(Event&& event);
    void armTimer();
    void conclude();
    void sendAnswer(net::ServerResponse);
    void closeIfWanted(std::vector<net::Field>&) const;

    const RelayTools m_tools;
    const RelayOrder m_order;
    const quarantine::RequestKey m_key;

    std::mutex m_mutex;
    relay::RequestFlow m_flow;
    bool m_isConcluded = false;
    DueTimers::TimerId m_timer = 0;
    std::optional<TimePoint> m_timerAt;
    net::TransferId m_transfer = 0;
};

} // namespace sagechute::edge
