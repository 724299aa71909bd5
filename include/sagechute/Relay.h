#pragma once

/// @file
/// The lifecycle of one caller's request at an edge router, from its arrival to the end of the response: which attempts
/// are made, which response bytes are forwarded to the caller, and when the request fails. Decision logic without
/// sockets, threads or a clock: events and the current time are passed in, and actions are calls on a delegate.

#include <sagechute/Edge.h>

namespace sagechute::relay {

/// Limit for buffered responses, i.e. those that are not streams; a longer response is rejected. Responses in the
/// deployments are far smaller.
inline constexpr std::size_t maxBufferedBodyBytes = 16 << 20;

/// A request whose route, customer and service have been resolved.
struct RequestInfo {
    std::string id; ///< Targets echo it in their responses.
    const dispatch::Route* route = nullptr; ///< Must outlive the flow.
    ServiceId service;
    CustomerId customer;
    dispatch::PromptSize prompt;
    std::size_t bytes = 0;
    TimePoint arrived;
    TimePoint deadline; ///< When the caller's deadline or the route's timeout expires.
    quarantine::RequestKey key = 0; ///< See quarantine::requestKeyOf().
};

/// An attempt to send to a target.
struct OutgoingAttempt {
    unsigned number = 0; ///< Identifies the attempt in later events: events of a replaced attempt may still arrive.
    dispatch::Placement placement;
    Duration timeLeft {}; ///< Until the request's deadline.
    std::string resumeAfter; ///< ID of the last event that the caller has received; empty: start from the beginning.
};

/// How the response to an attempt ended, as far as its bytes show.
struct ResponseEnd {
    net::TransferEnd transfer = net::TransferEnd::Cancelled;
    std::size_t truncatedBytes = 0; ///< Bytes of an incomplete event at the end of a stream.
    bool hasNoEvent = false; ///< The stream ended before its first complete event.
    std::string_view rejectReason; ///< Why the response is discarded even if complete; empty: it is forwarded.
};

/// @return the concatenation of "+closed", "+cut:BYTES" and "+unsound:WHY", each only where it applies.
std::string toString(const ResponseEnd&);

/// Actions that a flow asks its owner for. No call may block or call back into the flow.
class RequestFlowDelegate {
public:
    virtual ~RequestFlowDelegate() = default;

    // Placement and load accounting, shared by all requests.
    virtual dispatch::Decision place(TimePoint now, const dispatch::PlacementRequest&, dispatch::AttemptKind) = 0;
    virtual void firstAnswer(TimePoint now, dispatch::AttemptId) = 0;
    virtual void attemptEnded(TimePoint now, dispatch::AttemptId, dispatch::AttemptEnd, const ResponseEnd&) = 0;

    /// A target reported signals about itself, whether or not its response is usable.
    virtual void onTargetSignals(TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&) = 0;

    /// Reserves memory for bytes of responses, beyond what each may hold anyway.
    /// @return false if the requests of this router together hold too much.
    virtual bool reserveBuffer(std::size_t) { return true; }
    virtual void releaseBuffer(std::size_t) { }

    /// @return the refusal for a request that has used up its attempts.
    virtual dispatch::Refusal giveUp(TimePoint now, const ServiceId&) = 0;

    // Towards the target.
    virtual void send(const OutgoingAttempt&) = 0;

    /// Cancels an attempt. Events that are already under way may still arrive.
    virtual void cancel(unsigned number) = 0;

    // Towards the caller.
    virtual void startStream(int status, const std::vector<net::Field>&) = 0;
    virtual void write(std::string_view) = 0;
    virtual void finish() = 0;

    /// Closes the caller's connection without ending the response, so that the caller can tell that it is incomplete.
    virtual void abort() = 0;
    virtual void respond(const edge::TargetResponseHead&, std::string body) = 0;

    /// Sends a response of the router's own. @param comeBack when the caller may retry; absent: no such promise.
    virtual void refuse(int status, std::string_view reason, std::optional<Duration> comeBack) = 0;
};

/// The rules that a flow applies. Tests replace them one by one to show which failure each rule prevents.
struct FlowRules {
    /// Decides what follows an attempt.
    dispatch::NextStep (*next)(const dispatch::AttemptFacts&) = dispatch::nextStep;

    /// @return whether a response head belongs to this request. A kept-alive connection may still hold a late duplicate
    /// response to an earlier request. The ID does not tell the attempts of one request apart: they never share a
    /// connection.
    bool (*isResponseTo)(const edge::TargetResponseHead&, const std::string& requestId) = nullptr;

    /// @return how an attempt ended, from its response's head and end.
    dispatch::AttemptEnd (*classify)(const ResponseEnd&, const std::optional<edge::TargetResponseHead>&) = nullptr;

    static FlowRules standard();
};

/// The outcome of a request, for logs and metrics.
struct FlowRecord {
    int status = 0; ///< Sent to the caller; 499 if the caller disconnected first.
    std::string outcome;
    std::string trace; ///< Attempts and how they ended, separated by spaces.
    Duration firstEventLatency {};
    Duration firstEventPredictionError {}; ///< Observed minus predicted.
    dispatch::Placement placement; ///< Of the attempt whose response was forwarded, else of the last one but hedges.
    dispatch::Refusal refusal; ///< The most recent one, hedges aside.
    bool isRefused = false; ///< Whether the last placement decision, hedges aside, was a refusal.
    bool isCut = false; ///< The caller's connection was closed in the middle of its answer.
    bool isLost
        = false; ///< Sent to a target, and the caller got no whole answer of it and no promise that it has not run.
    dispatch::AttemptEnd lastEnd = dispatch::AttemptEnd::Withdrawn; ///< Of the last attempt that ended, if any.
    Duration longestSilence {}; ///< Longest time without an event or answer of a target while an attempt was in flight.
};

struct Attempt;

/// State machine of one request. Not thread-safe.
///
/// A target that falls silent may go on a second later, so its attempt is not given up for that alone before the
/// deadline. A request that may run again is hedged instead: a second target is asked beside the first, and whichever
/// progresses first is kept. Without a target for the hedge the request stays where it is.
class RequestFlow {
public:
    RequestFlow(RequestFlowDelegate&, RequestInfo, const FlowRules& = FlowRules::standard());
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    void begin(TimePoint now);

    // Events of the attempt with that number.

    /// @return whether the head is one of a response to this request.
    bool head(TimePoint now, unsigned number, edge::TargetResponseHead);
    void bytes(TimePoint now, unsigned number, std::string_view);
    void ended(TimePoint now, unsigned number, net::TransferEnd);

    /// The attempt was not sent, because its target stopped accepting requests.
    void withdrawn(TimePoint now, unsigned number);

    void callerGone(TimePoint now);

    /// Handles expired timers. Call it at nextWake() or later.
    void wake(TimePoint now);
    TimePoint nextWake() const;

    bool isDone() const { return m_done; }

    /// @return whether an attempt goes on, possibly without its caller; it ends by the request's deadline.
    bool hasAttempts() const { return !m_attempts.empty(); }
    const FlowRecord& record() const { return m_record; }

private:
    using AttemptKind = dispatch::AttemptKind;
    using AttemptEnd = dispatch::AttemptEnd;

    dispatch::Progress progress() const;
    dispatch::Decision askForPlacement(TimePoint now, AttemptKind);
    void place(TimePoint now, AttemptKind);

    /// Sends the request to a second target if there is one, and otherwise leaves it where it is.
    void hedge(TimePoint now);
    bool mayHedge(const Attempt&) const;
    void checkSilence(TimePoint now);
    Duration silenceLimit(TimePoint now, const Attempt&) const;
    void send(TimePoint now, const dispatch::Placement&);

    /// @return the attempt in flight with that number, or null.
    Attempt* find(unsigned number);

    /// Removes an attempt from those in flight.
    std::unique_ptr<Attempt> take(const Attempt&);

    /// Records the end of an attempt that has been removed.
    void finishAttempt(TimePoint now, const Attempt&, AttemptEnd, const ResponseEnd& = {});

    /// Removes an attempt and records its end, then takes the next step unless the request is done or another attempt
    /// is in flight.
    void endAttempt(TimePoint now, Attempt&, AttemptEnd, const ResponseEnd& = {});
    void cancelAttempt(TimePoint now, const Attempt&, AttemptEnd);
    void cancelAll(TimePoint now, AttemptEnd);

    /// Cancels the other attempt in flight, if any.
    void keepOnly(TimePoint now, unsigned number);
    void forwardSignals(TimePoint now, unsigned number, const dispatch::TargetSignals&);
    void takeNextStep(TimePoint now, Attempt&, AttemptEnd);
    void forwardAnswer(TimePoint now, Attempt&);
    void processStreamBytes(TimePoint now, Attempt&, std::string_view);
    void startStream(TimePoint now, const Attempt&);
    void endStream(TimePoint now, const Attempt&);
    void rejectResponse(Attempt&, std::string_view why);

    /// @return whether the attempt may hold this many bytes of its response.
    bool mayHold(Attempt&, std::size_t);
    void recordSilence(TimePoint now, const Attempt&);
    bool isStreamed(const Attempt&) const;
    bool isResumable() const { return m_info.route->isResumable && m_mayResume; }
    ResponseEnd responseEnd(const Attempt&, net::TransferEnd) const;
    void relaySavedFailure();
    void refuse(const dispatch::Refusal&);
    void fail(int status, std::string_view reason);
    void conclude(int status, std::string_view outcome);

    RequestFlowDelegate& m_delegate;
    const RequestInfo m_info;
    const FlowRules m_rules;
    bool m_done = false;

    std::vector<std::unique_ptr<Attempt>> m_attempts; ///< In flight, the earliest first; two at most.
    std::vector<dispatch::TargetIncarnation> m_sentTo; ///< Indexed by attempt number minus one.
    unsigned m_possibleRuns = 0; ///< Of attempts that have ended.
    bool m_mayHaveRun = false;
    bool m_hasStarted = false;
    std::string m_lastEventId;
    bool m_mayResume = true; ///< The ID of the last event that the caller received is known.
    std::optional<edge::TargetResponseHead> m_failedHead; ///< A target's error, forwarded if no attempt does better.
    std::string m_failedBody;
    FlowRecord m_record;
};

} // namespace sagechute::relay
