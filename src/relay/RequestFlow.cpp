#include <sagechute/Relay.h>

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

    /// An idempotent request is sent to another target once this fraction of its remaining time has passed without a
    /// response.
    constexpr double silenceFraction = 0.35;

    /// A resumable stream moves to another target after this long without an event. Callers give up after two seconds;
    /// engines under the heaviest load pause for about 150 ms.
    constexpr Duration streamIdleTimeout = std::chrono::milliseconds(1200);
    constexpr int firstEventFactor = 2;

    /// Limit for buffered responses, i.e. those that are not streams; a longer response is rejected. Responses in these
    /// deployments are far smaller.
    constexpr std::size_t maxBufferedBodyBytes = 16 << 20;

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
        return head.requestId ? *head.requestId == requestId : head.hasNotRun;
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

void RequestFlow::begin(TimePoint now) { place(now, AttemptKind::First); }

void RequestFlow::place(TimePoint now, AttemptKind round)
{
    if (m_info.deadline - now < minAttemptTime) {
        fail(m_mayHaveRun ? gatewayTimeout : unavailable, "no time is left");
        return;
    }
    const dispatch::PlacementRequest demand { m_info.customer, m_info.service, m_info.route, m_info.prompt,
        m_info.bytes, m_info.arrived, m_info.deadline, { m_sentTo.begin(), m_sentTo.end() }, m_info.key };
    const dispatch::Decision decision = m_delegate.place(now, demand, round);
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision)) {
        m_record.isRefused = false;
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

void RequestFlow::send(TimePoint now, const dispatch::Placement& placement)
{
    m_record.placement = placement;
    m_sentAt = now;
    m_lastEventAt = now;
    m_head.reset();
    m_body.clear();
    m_rejectReason = {};
    m_splitter.emplace(m_lastEventId);
    m_sentTo.push_back(placement.target.incarnation());
    m_attemptNumber = static_cast<unsigned>(m_sentTo.size());
    m_inFlight = true;
    m_silenceDeadline = now + responseTimeout(now);
    m_delegate.send(
        { m_attemptNumber, placement, m_info.deadline - now, m_hasStarted ? m_lastEventId : std::string() });
}

Duration RequestFlow::responseTimeout(TimePoint now) const
{
    const Duration timeLeft = m_info.deadline - now;
    if (m_info.route->kind == RequestKind::Idempotent)
        return std::chrono::duration_cast<Duration>(silenceFraction * timeLeft);
    if (m_info.route->kind == RequestKind::Stream && m_info.route->isResumable)
        return firstEventFactor * m_record.placement.predictedFirstEventDelay + streamIdleTimeout;
    return timeLeft;
}

TimePoint RequestFlow::nextWake() const
{
    return m_inFlight ? std::min(m_info.deadline, m_silenceDeadline) : m_info.deadline;
}

bool RequestFlow::isStreamed() const
{
    return m_info.route->kind == RequestKind::Stream && m_head && m_head->isEventStream
        && m_head->status < firstNonSuccessStatus && !m_head->hasNotRun;
}

void RequestFlow::rejectResponse(std::string_view why)
{
    m_rejectReason = why;
    m_delegate.cancel();
}

void RequestFlow::head(TimePoint now, unsigned number, TargetResponseHead head)
{
    forwardSignals(now, number, head.signals);
    if (!isCurrentAttempt(number))
        return;
    m_head = std::move(head);
    if (!m_rules.isResponseTo(*m_head, m_info.id)) {
        rejectResponse("head");
        return;
    }
    if (!isStreamed() && !m_head->hasNotRun)
        m_delegate.firstAnswer(now, m_record.placement.attempt);
}

void RequestFlow::forwardSignals(TimePoint now, unsigned number, const dispatch::TargetSignals& signals)
{
    // Signals concern the target, so they count even if the caller has disconnected or another attempt has begun.
    if (signals.any() && number >= 1 && number <= m_sentTo.size())
        m_delegate.onTargetSignals(now, m_sentTo[number - 1], signals);
}

void RequestFlow::bytes(TimePoint now, unsigned number, std::string_view bytes)
{
    if (!isCurrentAttempt(number) || !m_rejectReason.empty() || !m_head)
        return;
    if (isStreamed()) {
        processStreamBytes(now, bytes);
        return;
    }
    if (m_body.size() + bytes.size() > maxBufferedBodyBytes) {
        rejectResponse("size");
        return;
    }
    m_body += bytes;
}

void RequestFlow::processStreamBytes(TimePoint now, std::string_view bytes)
{
    const std::string completeEvents = m_splitter->feed(bytes);
    if (!completeEvents.empty()) {
        startStream(now);
        m_lastEventId = m_splitter->lastId();
        m_mayResume = m_splitter->canResumeAfterLastId();
        recordSilence(now);
        m_lastEventAt = now;
        m_delegate.write(completeEvents);
    }
    if (!m_splitter->hasInvalidEvent())
        return;
    m_mayResume &= m_splitter->canResumeAfterLastId();
    rejectResponse("order");
}

void RequestFlow::startStream(TimePoint now)
{
    if (m_splitter->events() > 0)
        m_delegate.firstAnswer(now, m_record.placement.attempt);
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_record.firstEventLatency = now - m_info.arrived;
    m_record.firstEventPredictionError = now - m_sentAt - m_record.placement.predictedFirstEventDelay;
    m_delegate.startStream(m_head->status, m_head->relayed);
}

void RequestFlow::ended(TimePoint now, unsigned number, net::TransferEnd transferEnd)
{
    if (!m_inFlight || number != m_attemptNumber)
        return;
    const ResponseEnd end = responseEnd(transferEnd);
    endAttempt(now, m_rejectReason.empty() ? m_rules.classify(end, m_head) : AttemptEnd::Broken, end);
}

ResponseEnd RequestFlow::responseEnd(net::TransferEnd transferEnd) const
{
    ResponseEnd end { transferEnd };
    end.rejectReason = m_rejectReason.empty() && isUnconfirmedNotRun(m_head) ? "status" : m_rejectReason;
    if (isStreamed()) {
        end.truncatedBytes = m_splitter->isInsideEvent() ? m_splitter->remainder().size() : 0;
        end.hasNoEvent = m_splitter->events() == 0;
    }
    return end;
}

void RequestFlow::withdrawn(TimePoint now, unsigned number)
{
    if (m_inFlight && number == m_attemptNumber)
        endAttempt(now, AttemptEnd::Withdrawn);
}

void RequestFlow::endAttempt(TimePoint now, AttemptEnd end, const ResponseEnd& responseEnd)
{
    finishAttempt(now, end, responseEnd);
    // A request that continues after its caller disconnected gets no further attempts.
    if (!m_done)
        takeNextStep(now, end);
}

void RequestFlow::finishAttempt(TimePoint now, AttemptEnd end, const ResponseEnd& responseEnd)
{
    m_inFlight = false;
    m_record.lastEnd = end;
    recordSilence(now);
    m_delegate.attemptEnded(now, m_record.placement.attempt, end, responseEnd);
    m_record.trace += " " + toString(m_record.placement.target.incarnation()) + ":" + std::string(toString(end))
        + toString(responseEnd);
    if (m_head)
        m_record.trace += toString(m_head->signals);
    if (!certainlyHasNotRun(end)) {
        m_mayHaveRun = true;
        ++m_possibleRuns;
    }
}

void RequestFlow::cancelAttempt(TimePoint now, AttemptEnd end)
{
    m_delegate.cancel();
    finishAttempt(now, end);
}

void RequestFlow::takeNextStep(TimePoint now, AttemptEnd end)
{
    if (end == AttemptEnd::Failed) {
        m_failedHead = m_head;
        m_failedBody = m_body;
    }
    const dispatch::AttemptFacts facts { m_info.route->kind, isResumable(), m_hasStarted, m_possibleRuns,
        m_info.route->attempts, m_attemptNumber, end, m_mayHaveRun };
    switch (m_rules.next(facts)) {
    case NextStep::Relay:
        if (isStreamed()) {
            endStream(now);
        } else {
            m_delegate.respond(*m_head, std::move(m_body));
            conclude(m_head->status, m_head->status < firstNonSuccessStatus ? "completed" : "refused-or-failed");
        }
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

void RequestFlow::endStream(TimePoint now)
{
    // Needed also without any event: an empty stream is a complete response.
    startStream(now);
    // Only comments can remain here; a stream that ends inside an event counts as broken.
    m_delegate.write(m_splitter->remainder());
    m_delegate.finish();
    conclude(m_head->status, "completed");
}

void RequestFlow::relaySavedFailure()
{
    m_delegate.respond(*m_failedHead, m_failedBody);
    conclude(m_failedHead->status, "refused-or-failed");
}

void RequestFlow::refuse(const dispatch::Refusal& refusal)
{
    const int status = refusal.reason == dispatch::RefusalReason::OverShare ? tooManyRequests : unavailable;
    m_delegate.refuse(status, toString(refusal.reason), refusal.retryAfter);
    conclude(status, "refused-or-failed");
}

void RequestFlow::recordSilence(TimePoint now)
{
    m_record.longestSilence = std::max(m_record.longestSilence, now - m_lastEventAt);
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
    if (m_done)
        return;
    if (now >= m_info.deadline) {
        if (m_inFlight)
            cancelAttempt(now, AttemptEnd::Silent);
        fail(gatewayTimeout, "the time for the answer has passed");
        return;
    }
    if (m_inFlight && now >= m_silenceDeadline)
        checkSilence(now);
}

void RequestFlow::checkSilence(TimePoint now)
{
    m_silenceDeadline = m_info.deadline;
    if (m_possibleRuns + 1 >= m_info.route->attempts)
        return;
    const bool isStream = m_info.route->kind == RequestKind::Stream;
    if (isStream ? !isResumable() : m_head.has_value())
        return;
    const Duration idleTime = now - m_lastEventAt;
    if (isStream && m_hasStarted && idleTime < streamIdleTimeout) {
        m_silenceDeadline = m_lastEventAt + streamIdleTimeout;
        return;
    }
    cancelAttempt(now, AttemptEnd::Silent);
    takeNextStep(now, AttemptEnd::Silent);
}

void RequestFlow::callerGone(TimePoint now)
{
    if (m_done)
        return;
    // A request that must not be repeated continues: knowing whether it ran matters more than the target's time.
    if (m_inFlight && m_info.route->kind != RequestKind::Once)
        cancelAttempt(now, AttemptEnd::CallerGone);
    conclude(callerGoneStatus, "caller-gone");
}

} // namespace sagechute::relay
