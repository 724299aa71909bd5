#include "relay/Attempt.h"

#include <algorithm>

namespace sagechute::relay {

namespace {

    using dispatch::AttemptEnd;
    using dispatch::NextStep;
    using dispatch::RequestKind;
    using edge::TargetResponseHead;

    constexpr int callerGoneStatus = 499;
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    constexpr int gatewayTimeout = 504;
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int firstNonSuccessStatus = 300;
    constexpr int firstServerErrorStatus = 500;

    /// An idempotent request is hedged once this fraction of its remaining time has passed without a response.
    constexpr double silenceFraction = 0.35;

    /// A resumable stream is hedged after this long without an event. Callers give up after two seconds, which leaves
    /// the second target some time to begin.
    constexpr Duration streamIdleTimeout = std::chrono::milliseconds(1200);
    constexpr int firstEventFactor = 2;

    /// Interval at which a hedge that was refused is asked for again.
    constexpr Duration hedgeRetryInterval = std::chrono::milliseconds(200);

    /// Each response may hold this much, so that one without end doesn't take the room of the others.
    constexpr std::size_t unreservedBytes = 64 << 10;

    /// The body of a response that says that the request has not run is of no use. Until here it is read, to keep the
    /// connection.
    constexpr std::size_t maxDiscardedBytes = 64 << 10;

    /// An attempt is not worth making with less time than this.
    constexpr Duration minAttemptTime = std::chrono::milliseconds(15);

    /// @return whether the status tells callers that their request has not run and will not run.
    bool impliesNotRun(int status)
    {
        return status == tooManyRequests || status == unavailable || status == requestTimeout || status == misdirected;
    }

    /// Such a status is trusted only if the target also states it in a header.
    bool isUnconfirmedNotRun(const std::optional<TargetResponseHead>& head)
    {
        return head && !head->hasNotRun && impliesNotRun(head->status);
    }

    /// A success must carry the target's signature; without it, an intermediary produced the response.
    bool isValidResponseTo(const TargetResponseHead& head, const std::string& requestId)
    {
        if (head.status < firstNonSuccessStatus && !head.isSigned)
            return false;
        if (head.requestId)
            return *head.requestId == requestId;
        // Targets don't run a request without an ID, and have none to echo.
        const bool isUnambiguous = head.connectionUse == net::ConnectionUse::First || requestId.empty();
        return head.hasNotRun && isUnambiguous;
    }

    AttemptEnd notRunEnd(const TargetResponseHead& head)
    {
        return head.isOtherTarget ? AttemptEnd::WrongTarget : AttemptEnd::NotRun;
    }

    /// An engine sends at least one event per run, so a connection that closes before the first event did not end the
    /// response. A stream whose framing ends it explicitly may be empty.
    bool isTruncated(const ResponseEnd& end)
    {
        return end.truncatedBytes > 0 || (end.transfer == net::TransferEnd::Closed && end.hasNoEvent);
    }

    AttemptEnd classifyResponse(const ResponseEnd& end, const std::optional<TargetResponseHead>& head)
    {
        switch (end.transfer) {
        case net::TransferEnd::NothingSent:
            return AttemptEnd::Unreachable;
        case net::TransferEnd::TimedOut:
            return AttemptEnd::Silent;
        case net::TransferEnd::BrokenAfterSend:
        case net::TransferEnd::Cancelled:
            // The head alone already states that the request has not run.
            return head && head->hasNotRun ? notRunEnd(*head) : AttemptEnd::Broken;
        case net::TransferEnd::Completed:
        case net::TransferEnd::Closed:
            break;
        }
        if (!head || !end.rejectReason.empty() || isTruncated(end))
            return AttemptEnd::Broken;
        if (head->hasNotRun)
            return notRunEnd(*head);
        return head->status >= firstServerErrorStatus ? AttemptEnd::Failed : AttemptEnd::Answered;
    }

    bool hasNotReachedTarget(AttemptEnd end) { return end == AttemptEnd::Unreachable || end == AttemptEnd::Withdrawn; }

    bool certainlyHasNotRun(AttemptEnd end)
    {
        return hasNotReachedTarget(end) || end == AttemptEnd::NotRun || end == AttemptEnd::WrongTarget;
    }

} // namespace

std::string toString(const ResponseEnd& end)
{
    std::string text = end.transfer == net::TransferEnd::Closed ? "+closed" : "";
    if (end.truncatedBytes)
        text += "+cut:" + std::to_string(end.truncatedBytes);
    if (!end.rejectReason.empty())
        text += "+unsound:" + std::string(end.rejectReason);
    return text;
}

FlowRules FlowRules::standard() { return { dispatch::nextStep, isValidResponseTo, classifyResponse }; }

RequestFlow::RequestFlow(RequestFlowDelegate& delegate, RequestInfo facts, const FlowRules& rules)
    : m_delegate(delegate)
    , m_info(std::move(facts))
    , m_rules(rules)
{
}

RequestFlow::~RequestFlow() = default;

void RequestFlow::begin(TimePoint now) { place(now, AttemptKind::First); }

dispatch::Progress RequestFlow::progress() const
{
    if (m_hasStarted)
        return dispatch::Progress::Begun;
    return m_mayHaveRun ? dispatch::Progress::MayHaveRun : dispatch::Progress::NotRun;
}

dispatch::Decision RequestFlow::askForPlacement(TimePoint now, AttemptKind kind)
{
    return m_delegate.place(now,
        { m_info.customer, m_info.service, m_info.route, m_info.prompt, m_info.bytes, m_info.arrived, m_info.deadline,
            { m_sentTo.begin(), m_sentTo.end() }, m_info.key, progress() },
        kind);
}

void RequestFlow::place(TimePoint now, AttemptKind kind)
{
    if (m_info.deadline - now < minAttemptTime) {
        fail(m_mayHaveRun ? gatewayTimeout : unavailable, "no time is left");
        return;
    }
    const dispatch::Decision decision = askForPlacement(now, kind);
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision)) {
        m_record.isRefused = false;
        m_record.placement = *placement;
        send(now, *placement);
        return;
    }
    m_record.isRefused = true;
    m_record.refusal = std::get<dispatch::Refusal>(decision);
    m_record.trace += " refused:" + std::string(toString(m_record.refusal.reason));
    if (m_failedHead && !m_hasStarted)
        relaySavedFailure();
    else if (m_mayHaveRun || m_hasStarted)
        fail(badGateway, "the target broke off");
    else
        refuse(m_record.refusal);
}

void RequestFlow::hedge(TimePoint now)
{
    if (m_info.deadline - now < minAttemptTime)
        return;
    const dispatch::Decision decision = askForPlacement(now, AttemptKind::Hedge);
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision)) {
        send(now, *placement);
        return;
    }
    const std::string refused = " hedge-refused:" + std::string(toString(std::get<dispatch::Refusal>(decision).reason));
    if (!m_record.trace.ends_with(refused))
        m_record.trace += refused;
}

void RequestFlow::send(TimePoint now, const dispatch::Placement& placement)
{
    m_sentTo.push_back(placement.target.incarnation());
    const auto number = static_cast<unsigned>(m_sentTo.size());
    Attempt& attempt = *m_attempts.emplace_back(std::make_unique<Attempt>(number, now, placement, m_lastEventId));
    attempt.hedgeDue = now + silenceLimit(now, attempt);
    m_delegate.send({ number, placement, m_info.deadline - now, m_hasStarted ? m_lastEventId : std::string() });
}

Duration RequestFlow::silenceLimit(TimePoint now, const Attempt& attempt) const
{
    const Duration timeLeft = m_info.deadline - now;
    if (m_info.route->kind == RequestKind::Idempotent)
        return std::chrono::duration_cast<Duration>(silenceFraction * timeLeft);
    if (m_info.route->kind == RequestKind::Stream && m_info.route->isResumable)
        return firstEventFactor * attempt.placement.predictedFirstEventDelay + streamIdleTimeout;
    return timeLeft;
}

TimePoint RequestFlow::nextWake() const
{
    return m_attempts.size() == 1 ? std::min(m_info.deadline, m_attempts.front()->hedgeDue) : m_info.deadline;
}

Attempt* RequestFlow::find(unsigned number)
{
    const auto it = std::find_if(
        m_attempts.begin(), m_attempts.end(), [number](const auto& attempt) { return attempt->number == number; });
    return it == m_attempts.end() ? nullptr : it->get();
}

std::unique_ptr<Attempt> RequestFlow::take(const Attempt& attempt)
{
    const auto it = std::find_if(
        m_attempts.begin(), m_attempts.end(), [&attempt](const auto& owner) { return owner.get() == &attempt; });
    std::unique_ptr<Attempt> taken = std::move(*it);
    m_attempts.erase(it);
    return taken;
}

bool RequestFlow::isStreamed(const Attempt& attempt) const
{
    return m_info.route->kind == RequestKind::Stream && attempt.head && attempt.head->isEventStream
        && attempt.head->status < firstNonSuccessStatus && !attempt.head->hasNotRun;
}

void RequestFlow::rejectResponse(Attempt& attempt, std::string_view why)
{
    attempt.rejectReason = why;
    m_delegate.cancel(attempt.number);
}

bool RequestFlow::head(TimePoint now, unsigned number, TargetResponseHead head)
{
    forwardSignals(now, number, head.signals);
    const bool isOwn = m_rules.isResponseTo(head, m_info.id);
    Attempt* attempt = find(number);
    if (m_done || !attempt)
        return isOwn;
    attempt->head = std::move(head);
    if (!isOwn) {
        rejectResponse(*attempt, "head");
        return false;
    }
    if (isStreamed(*attempt) || attempt->head->hasNotRun)
        return true;
    m_delegate.firstAnswer(now, attempt->placement.attempt);
    // Only a stream can continue one that the caller has begun to receive.
    if (m_hasStarted)
        rejectResponse(*attempt, "type");
    return true;
}

void RequestFlow::forwardSignals(TimePoint now, unsigned number, const dispatch::TargetSignals& signals)
{
    // Signals concern the target, so they count even if the caller has disconnected or the attempt has ended.
    if (signals.any() && number >= 1 && number <= m_sentTo.size())
        m_delegate.onTargetSignals(now, m_sentTo[number - 1], signals);
}

void RequestFlow::bytes(TimePoint now, unsigned number, std::string_view bytes)
{
    Attempt* attempt = find(number);
    if (m_done || !attempt || !attempt->rejectReason.empty() || !attempt->head)
        return;
    if (isStreamed(*attempt)) {
        processStreamBytes(now, *attempt, bytes);
        return;
    }
    if (attempt->head->hasNotRun) {
        attempt->discardedBytes += bytes.size();
        if (attempt->discardedBytes > maxDiscardedBytes)
            m_delegate.cancel(number);
        return;
    }
    const std::size_t size = attempt->body.size() + bytes.size();
    if (size > maxBufferedBodyBytes || !mayHold(*attempt, size)) {
        rejectResponse(*attempt, "size");
        return;
    }
    attempt->body += bytes;
}

bool RequestFlow::mayHold(Attempt& attempt, std::size_t bytes)
{
    if (bytes <= std::max(unreservedBytes, attempt.reservedBytes))
        return true;
    if (!m_delegate.reserveBuffer(bytes - attempt.reservedBytes))
        return false;
    attempt.reservedBytes = bytes;
    return true;
}

void RequestFlow::processStreamBytes(TimePoint now, Attempt& attempt, std::string_view bytes)
{
    const std::size_t eventsBefore = attempt.splitter.events();
    attempt.heldBytes += attempt.splitter.feed(bytes);
    // Comments alone don't show that the run progresses.
    const bool hasProgressed = attempt.splitter.events() > eventsBefore;
    const bool isHeld = m_attempts.size() > 1 && !hasProgressed;
    if (hasProgressed) {
        keepOnly(now, attempt.number);
        recordSilence(now, attempt);
        attempt.lastEventAt = now;
    }
    if (!attempt.heldBytes.empty() && !isHeld) {
        m_record.placement = attempt.placement;
        startStream(now, attempt);
        m_lastEventId = attempt.splitter.lastId();
        m_mayResume = attempt.splitter.canResumeAfterLastId();
        m_delegate.write(std::exchange(attempt.heldBytes, {}));
    }
    if (!mayHold(attempt, attempt.heldBytes.size() + attempt.splitter.remainder().size())) {
        rejectResponse(attempt, "size");
        return;
    }
    if (!attempt.splitter.hasInvalidEvent())
        return;
    if (!isHeld)
        m_mayResume &= attempt.splitter.canResumeAfterLastId();
    rejectResponse(attempt, attempt.splitter.isEventTooLarge() ? "size" : "order");
}

void RequestFlow::keepOnly(TimePoint now, unsigned number)
{
    const auto it = std::find_if(
        m_attempts.begin(), m_attempts.end(), [number](const auto& attempt) { return attempt->number != number; });
    if (it != m_attempts.end())
        cancelAttempt(now, **it, (*it)->number < number ? AttemptEnd::Silent : AttemptEnd::Superseded);
}

void RequestFlow::startStream(TimePoint now, const Attempt& attempt)
{
    if (attempt.splitter.events() > 0)
        m_delegate.firstAnswer(now, attempt.placement.attempt);
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_record.firstEventLatency = now - m_info.arrived;
    m_record.firstEventPredictionError = now - attempt.sentAt - attempt.placement.predictedFirstEventDelay;
    m_delegate.startStream(attempt.head->status, attempt.head->relayed);
}

void RequestFlow::ended(TimePoint now, unsigned number, net::TransferEnd transferEnd)
{
    Attempt* attempt = find(number);
    if (!attempt)
        return;
    const ResponseEnd end = responseEnd(*attempt, transferEnd);
    const bool isRejected = !attempt->rejectReason.empty();
    endAttempt(now, *attempt, isRejected ? AttemptEnd::Broken : m_rules.classify(end, attempt->head), end);
}

ResponseEnd RequestFlow::responseEnd(const Attempt& attempt, net::TransferEnd transferEnd) const
{
    ResponseEnd end { transferEnd };
    end.rejectReason
        = attempt.rejectReason.empty() && isUnconfirmedNotRun(attempt.head) ? "status" : attempt.rejectReason;
    if (attempt.discardedBytes > maxDiscardedBytes)
        end.rejectReason = "size";
    if (isStreamed(attempt)) {
        end.truncatedBytes = attempt.splitter.isInsideEvent() ? attempt.splitter.remainder().size() : 0;
        end.hasNoEvent = attempt.splitter.events() == 0;
    }
    return end;
}

void RequestFlow::withdrawn(TimePoint now, unsigned number)
{
    if (Attempt* attempt = find(number))
        endAttempt(now, *attempt, AttemptEnd::Withdrawn);
}

void RequestFlow::endAttempt(TimePoint now, Attempt& attempt, AttemptEnd end, const ResponseEnd& responseEnd)
{
    const std::unique_ptr<Attempt> owner = take(attempt);
    finishAttempt(now, *owner, end, responseEnd);
    // A request that continues after its caller disconnected gets no further attempts.
    if (!m_done)
        takeNextStep(now, *owner, end);
}

void RequestFlow::finishAttempt(TimePoint now, const Attempt& attempt, AttemptEnd end, const ResponseEnd& responseEnd)
{
    m_record.lastEnd = end;
    recordSilence(now, attempt);
    if (attempt.reservedBytes)
        m_delegate.releaseBuffer(attempt.reservedBytes);
    m_delegate.attemptEnded(now, attempt.placement.attempt, end, responseEnd);
    m_record.trace += " " + toString(attempt.placement.target.incarnation()) + ":" + std::string(toString(end))
        + toString(responseEnd);
    if (attempt.head)
        m_record.trace += toString(attempt.head->signals);
    if (!certainlyHasNotRun(end)) {
        m_mayHaveRun = true;
        ++m_possibleRuns;
    }
}

void RequestFlow::cancelAttempt(TimePoint now, const Attempt& attempt, AttemptEnd end)
{
    const std::unique_ptr<Attempt> owner = take(attempt);
    m_delegate.cancel(owner->number);
    finishAttempt(now, *owner, end);
}

void RequestFlow::cancelAll(TimePoint now, AttemptEnd end)
{
    while (!m_attempts.empty())
        cancelAttempt(now, *m_attempts.front(), end);
}

void RequestFlow::takeNextStep(TimePoint now, Attempt& attempt, AttemptEnd end)
{
    if (end == AttemptEnd::Failed) {
        m_failedHead = attempt.head;
        m_failedBody = attempt.body;
    }
    if (!m_attempts.empty() && end != AttemptEnd::Answered) {
        Attempt& other = *m_attempts.front();
        other.hedgeDue = std::max(other.hedgeDue, now + hedgeRetryInterval);
        return;
    }
    const dispatch::AttemptFacts facts { m_info.route->kind, isResumable(), m_hasStarted, m_possibleRuns,
        m_info.route->attempts, static_cast<unsigned>(m_sentTo.size()), end, m_mayHaveRun };
    switch (m_rules.next(facts)) {
    case NextStep::Relay:
        forwardAnswer(now, attempt);
        return;
    case NextStep::TryElsewhere:
        place(now, hasNotReachedTarget(end) ? AttemptKind::RetryUnsent : AttemptKind::RetryAfterSend);
        return;
    case NextStep::Refuse:
        m_record.isRefused = true;
        m_record.refusal = m_delegate.giveUp(now, m_info.service);
        refuse(m_record.refusal);
        return;
    case NextStep::Fail:
        if (m_failedHead && !m_hasStarted)
            relaySavedFailure();
        else
            fail(badGateway, "the target's answer was lost");
        return;
    }
}

void RequestFlow::forwardAnswer(TimePoint now, Attempt& attempt)
{
    keepOnly(now, attempt.number);
    m_record.placement = attempt.placement;
    if (isStreamed(attempt)) {
        endStream(now, attempt);
        return;
    }
    m_delegate.respond(*attempt.head, std::move(attempt.body));
    conclude(attempt.head->status, attempt.head->status < firstNonSuccessStatus ? "completed" : "refused-or-failed");
}

void RequestFlow::endStream(TimePoint now, const Attempt& attempt)
{
    // Needed also without any event: an empty stream is a complete response.
    startStream(now, attempt);
    // Only comments can remain here; a stream that ends inside an event counts as broken.
    m_delegate.write(attempt.heldBytes + std::string(attempt.splitter.remainder()));
    m_delegate.finish();
    conclude(attempt.head->status, "completed");
}

void RequestFlow::relaySavedFailure()
{
    m_delegate.respond(*m_failedHead, m_failedBody);
    conclude(m_failedHead->status, "refused-or-failed");
}

void RequestFlow::refuse(const dispatch::Refusal& refusal)
{
    using dispatch::RefusalReason;
    const bool isCustomersOwn
        = refusal.reason == RefusalReason::OverShare || refusal.reason == RefusalReason::OverLimit;
    const int status = isCustomersOwn ? tooManyRequests : unavailable;
    m_delegate.refuse(status, toString(refusal.reason), refusal.retryAfter);
    conclude(status, "refused-or-failed");
}

void RequestFlow::recordSilence(TimePoint now, const Attempt& attempt)
{
    m_record.longestSilence = std::max(m_record.longestSilence, now - attempt.lastEventAt);
}

void RequestFlow::fail(int status, std::string_view reason)
{
    m_record.isLost = m_mayHaveRun;
    if (m_hasStarted) {
        m_record.isCut = true;
        m_delegate.abort();
        conclude(status, reason);
        return;
    }
    m_delegate.refuse(status, reason, std::nullopt);
    conclude(status, "refused-or-failed");
}

void RequestFlow::conclude(int status, std::string_view outcome)
{
    m_done = true;
    m_record.status = status;
    m_record.outcome = outcome;
}

void RequestFlow::wake(TimePoint now)
{
    if (now >= m_info.deadline) {
        cancelAll(now, AttemptEnd::Silent);
        if (!m_done)
            fail(gatewayTimeout, "the time for the answer has passed");
        return;
    }
    if (!m_done && m_attempts.size() == 1 && now >= m_attempts.front()->hedgeDue)
        checkSilence(now);
}

bool RequestFlow::mayHedge(const Attempt& attempt) const
{
    // One try is left for a request whose target breaks off.
    if (m_possibleRuns + 1 >= m_info.route->attempts || m_sentTo.size() + 1 >= dispatch::maxTries)
        return false;
    if (m_info.route->kind == RequestKind::Stream)
        return isResumable();
    return m_info.route->kind == RequestKind::Idempotent && !attempt.head;
}

void RequestFlow::checkSilence(TimePoint now)
{
    Attempt& attempt = *m_attempts.front();
    if (!mayHedge(attempt)) {
        attempt.hedgeDue = m_info.deadline;
        return;
    }
    const bool hasProgressed = m_info.route->kind == RequestKind::Stream && attempt.lastEventAt > attempt.sentAt;
    if (hasProgressed && now - attempt.lastEventAt < streamIdleTimeout) {
        attempt.hedgeDue = attempt.lastEventAt + streamIdleTimeout;
        return;
    }
    hedge(now);
    if (m_attempts.size() == 1)
        attempt.hedgeDue = now + hedgeRetryInterval;
}

void RequestFlow::callerGone(TimePoint now)
{
    if (m_done)
        return;
    // A request that must not be repeated continues: knowing whether it ran matters more than the target's time.
    if (m_info.route->kind != RequestKind::Once)
        cancelAll(now, AttemptEnd::CallerGone);
    conclude(callerGoneStatus, "caller-gone");
}

} // namespace sagechute::relay
