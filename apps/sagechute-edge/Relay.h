#pragma once

/// @file
/// One caller's request from its arrival to the end of its answer.

#include "DueTimers.h"
#include "EdgeMetrics.h"
#include "EdgeState.h"

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
class Relay : public std::enable_shared_from_this<Relay> {
public:
    static void start(const RelayTools&, RelayOrder);

    Relay(const RelayTools&, RelayOrder);
    ~Relay();

    // From the attempt's sink; @p number names the attempt, as an old one may still speak after a new one began.
    void onHead(unsigned number, int status, const std::vector<net::Field>&);
    void onBytes(unsigned number, std::string_view);
    void onEnd(unsigned number, const net::TransferResult&);

private:
    using Round = dispatch::Round;

    void begin();
    void place(Round);
    void send(const dispatch::Placement&);
    void finishAttempt(dispatch::AttemptEnd);
    void follow(dispatch::AttemptEnd);
    dispatch::AttemptEnd judge(const net::TransferResult&) const;
    void takeStreamBytes(std::string_view);
    void startStream();
    void endStream();
    bool isStreamed() const;

    void relayHeldAnswer();
    void refuse(const dispatch::Refusal&);
    void fail(int status, std::string_view reason);
    void respond(net::ServerResponse);
    void conclude(int status, std::string_view outcome);
    void onDue();
    void onSilent(unsigned number);
    void watchSilence(Duration patience);
    void onCallerGone();
    void cancelTransfer();

    const RelayTools m_tools;
    const RelayOrder m_order;
    const TimePoint m_due;

    std::mutex m_mutex;
    bool m_done = false;
    DueTimers::TimerId m_dueTimer = 0;
    DueTimers::TimerId m_silenceTimer = 0;

    // The attempt that runs.
    unsigned m_number = 0;
    bool m_inFlight = false;
    net::TransferId m_transfer = 0;
    dispatch::Placement m_placement;
    TimePoint m_sentAt;
    TimePoint m_lastEventAt;
    std::optional<TargetAnswerHead> m_head;
    std::string m_body;
    bool m_isForeign = false; ///< The answer that came is one to another request.
    std::optional<EventSplitter> m_splitter;

    // Over all attempts.
    std::set<TargetId> m_tried;
    unsigned m_tries = 0;
    unsigned m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_hasStarted = false;
    std::string m_lastEventId;
    std::optional<TargetAnswerHead> m_failedHead; ///< A target's own failure, passed on if nothing better comes.
    std::string m_failedBody;
    dispatch::Refusal m_refusal; ///< The last one, for the log.
    std::string m_trace; ///< Attempts and their ends, for the log.
    Duration m_firstEventAfter {};
};

} // namespace sagechute::edge
