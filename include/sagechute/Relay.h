#pragma once

/// @file
/// One caller's request at an edge router, from its arrival to the end of its answer: which attempts are made, what of
/// their answers goes to the caller, and when it is given up. Decision logic without sockets, threads or clock: events
/// and the time come in, calls on a port go out.

#include <sagechute/Edge.h>

namespace sagechute::relay {

/// A request whose route, customer and service are known.
struct RequestFacts {
    std::string id; ///< Targets echo it in their answers.
    const dispatch::Route* route = nullptr; ///< Outlives the flow.
    ServiceId service;
    CustomerId customer;
    dispatch::PromptSize prompt;
    std::size_t bytes = 0;
    TimePoint arrived;
    TimePoint due; ///< The caller or the route waits no longer.
    quarantine::RequestKey key = 0; ///< See quarantine::requestKeyOf().
};

/// An attempt to be sent.
struct AttemptOrder {
    unsigned number = 0; ///< Names the attempt in later events: an old one may still speak after a new one began.
    dispatch::Placement placement;
    Duration left {}; ///< Until nobody waits for the answer any more.
    std::string resumeAfter; ///< Identity of the last event that the caller has; empty: from the beginning.
};

/// What ended an attempt's answer, as far as its bytes tell.
struct AnswerEnd {
    net::TransferEnd transfer = net::TransferEnd::Cancelled;
    std::size_t cutBytes = 0; ///< Of an event that a stream ends inside of.
    bool isWithoutEvent = false; ///< A stream that ends before its first whole event.
    std::string_view unsound; ///< Why it is not passed on though it may have ended; empty: it is.
};

/// @return "+closed", "+cut:BYTES" and "+unsound:WHY", each where it is so.
std::string toString(const AnswerEnd&);

/// What a flow does outside. No call waits; none calls back into the flow.
class FlowPort {
public:
    virtual ~FlowPort() = default;

    // Towards the decisions on all requests.
    virtual dispatch::Decision place(TimePoint now, const dispatch::PlacementRequest&, dispatch::AttemptKind) = 0;
    virtual void firstAnswer(TimePoint now, dispatch::AttemptId) = 0;
    virtual void attemptEnded(TimePoint now, dispatch::AttemptId, dispatch::AttemptEnd, const AnswerEnd&) = 0;

    /// A target said something of itself, whether or not its answer is of use.
    virtual void targetSaid(TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&) = 0;

    /// @return how a request is turned away that was offered to as many targets as it may be.
    virtual dispatch::Refusal giveUp(TimePoint now, const ServiceId&) = 0;

    // Towards the target.
    virtual void send(const AttemptOrder&) = 0;

    /// Ends the attempt that was sent last. What it still says may or may not come.
    virtual void cancel() = 0;

    // Towards the caller.
    virtual void startStream(int status, const std::vector<net::Field>&) = 0;
    virtual void write(std::string_view) = 0;
    virtual void finish() = 0;

    /// Closes the caller's connection so that the answer looks as incomplete as it is.
    virtual void abort() = 0;
    virtual void respond(const edge::TargetAnswerHead&, std::string body) = 0;

    /// An answer of the router's own. @param comeBack when to send the request again; absent: no such promise.
    virtual void refuse(int status, std::string_view reason, std::optional<Duration> comeBack) = 0;
};

/// The rules that a flow keeps, each replaceable by a test that shows what it prevents.
struct FlowRules {
    /// What follows an attempt.
    dispatch::NextStep (*next)(const dispatch::AttemptFacts&) = dispatch::nextStep;

    /// @return whether an answer's head is the target's to this request. A late extra answer to an earlier request may
    /// lie on a kept connection.
    bool (*isAnswerTo)(const edge::TargetAnswerHead&, const std::string& requestId) = nullptr;

    /// @return how an attempt ended, by its answer's head and end.
    dispatch::AttemptEnd (*judge)(const AnswerEnd&, const std::optional<edge::TargetAnswerHead>&) = nullptr;

    static FlowRules standard();
};

/// How a request ended, for logs and metrics.
struct FlowRecord {
    int status = 0; ///< That the caller got; 499 where it left before.
    std::string outcome;
    std::string trace; ///< Attempts and their ends, separated by spaces.
    Duration firstEventAfter {};
    Duration firstEventError {}; ///< Seen against predicted.
    dispatch::Placement placement; ///< The last one.
    dispatch::Refusal refusal; ///< The last one.
    bool isRefused = false; ///< The last decision was a refusal.
};

/// The flow of one request. Not thread-safe.
class RequestFlow {
public:
    RequestFlow(FlowPort&, RequestFacts, const FlowRules& = FlowRules::standard());

    void begin(TimePoint now);

    // Of the attempt with that number.
    void head(TimePoint now, unsigned number, edge::TargetAnswerHead);
    void bytes(TimePoint now, unsigned number, std::string_view);
    void ended(TimePoint now, unsigned number, net::TransferEnd);

    /// The attempt was not sent, as its target takes no requests any more.
    void withdrawn(TimePoint now, unsigned number);

    void callerGone(TimePoint now);

    /// To be called at nextWake() or later.
    void wake(TimePoint now);
    TimePoint nextWake() const;

    bool isDone() const { return m_done; }
    const FlowRecord& record() const { return m_record; }

private:
    using AttemptKind = dispatch::AttemptKind;
    using AttemptEnd = dispatch::AttemptEnd;

    void place(TimePoint now, AttemptKind);
    void send(TimePoint now, const dispatch::Placement&);
    void finishAttempt(TimePoint now, AttemptEnd, const AnswerEnd& = {});

    /// Ends the attempt that runs, and goes on unless nobody waits any more.
    void endAttempt(TimePoint now, AttemptEnd, const AnswerEnd& = {});
    void passOnSignals(TimePoint now, unsigned number, const dispatch::TargetSignals&);
    void follow(TimePoint now, AttemptEnd);
    void cancelAs(TimePoint now, AttemptEnd);
    void takeStreamBytes(TimePoint now, std::string_view);
    void startStream(TimePoint now);
    void endStream(TimePoint now);
    void disown(std::string_view why);
    bool isStreamed() const;
    bool isResumable() const { return m_facts.route->isResumable && m_mayResume; }
    AnswerEnd answerEnd(net::TransferEnd) const;
    bool isOf(unsigned number) const { return !m_done && m_inFlight && number == m_number; }
    Duration patience(TimePoint now) const;
    void checkSilence(TimePoint now);
    void relayHeldAnswer();
    void refuse(const dispatch::Refusal&);
    void fail(int status, std::string_view reason);
    void conclude(int status, std::string_view outcome);

    FlowPort& m_port;
    const RequestFacts m_facts;
    const FlowRules m_rules;
    bool m_done = false;

    // The attempt that runs.
    unsigned m_number = 0;
    bool m_inFlight = false;
    TimePoint m_sentAt;
    TimePoint m_lastEventAt;
    TimePoint m_silenceCheck; ///< When to look whether the target is silent.
    std::optional<edge::TargetAnswerHead> m_head;
    std::string m_body;
    std::string_view m_unsound; ///< Why nothing more of the answer is passed on; empty: it is.
    std::optional<edge::EventSplitter> m_splitter;

    // Over all attempts.
    std::vector<dispatch::TargetIncarnation> m_sentTo; ///< By the attempt's number, from 1 on.
    unsigned m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_hasStarted = false;
    std::string m_lastEventId;
    bool m_mayResume = true; ///< The caller's last event is known by its identity.
    std::optional<edge::TargetAnswerHead> m_failedHead; ///< A target's own failure, passed on if nothing better comes.
    std::string m_failedBody;
    FlowRecord m_record;
};

} // namespace sagechute::relay
