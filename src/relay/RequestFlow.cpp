#include <sagechute/Relay.h>

#include <algorithm>

namespace sagechute::relay {

namespace {

    using dispatch::AttemptEnd;
    using dispatch::NextStep;
    using dispatch::RequestKind;
    using edge::TargetAnswerHead;

    constexpr int callerGoneStatus = 499;
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    constexpr int gatewayTimeout = 504;
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int firstFailure = 300;
    constexpr int firstServerFailure = 500;

    /// An idempotent request is sent elsewhere when this share of its time has passed without an answer.
    constexpr double silenceShare = 0.35;

    /// A stream that may be resumed goes on elsewhere after so long without an event. Callers give up after two
    /// seconds; engines under the heaviest load are silent for some 150 ms.
    constexpr Duration streamSilence = std::chrono::milliseconds(1200);
    constexpr int firstEventFactor = 2;

    /// A longer answer that is no stream is cut: nothing in these deployments comes near it.
    constexpr std::size_t mostBodyBytes = 16 << 20;

    /// Least time that is worth an attempt.
    constexpr Duration leastLeft = std::chrono::milliseconds(15);

    /// @return whether the status promises callers that their request has not run and will not.
    bool saysNotRun(int status)
    {
        return status == tooManyRequests || status == unavailable || status == requestTimeout || status == misdirected;
    }

    /// Such a status is true only of a target that says so in a header, too.
    bool isBarePromise(const std::optional<TargetAnswerHead>& head)
    {
        return head && !head->hasNotRun && saysNotRun(head->status);
    }

    /// A success is the target's only with its signature; without it somebody on the way made it.
    bool isSoundAnswerTo(const TargetAnswerHead& head, const std::string& requestId)
    {
        if (head.status < firstFailure && !head.isSigned)
            return false;
        return head.requestId ? *head.requestId == requestId : head.hasNotRun;
    }

    AttemptEnd notRunEnd(const TargetAnswerHead& head)
    {
        return head.isOtherTarget ? AttemptEnd::WrongTarget : AttemptEnd::NotRun;
    }

    /// An engine's run has one event at least, so that a connection that closes before it is no end of an answer. A
    /// stream that is framed as empty is the target's own word.
    bool isCutShort(const AnswerEnd& end)
    {
        return end.cutBytes > 0 || (end.transfer == net::TransferEnd::Closed && end.isWithoutEvent);
    }

    AttemptEnd judgeAnswer(const AnswerEnd& end, const std::optional<TargetAnswerHead>& head)
    {
        switch (end.transfer) {
        case net::TransferEnd::NothingSent:
            return AttemptEnd::Unreachable;
        case net::TransferEnd::TimedOut:
            return AttemptEnd::Silent;
        case net::TransferEnd::BrokenAfterSend:
        case net::TransferEnd::Cancelled:
            // The head alone is a promise that it has not run.
            return head && head->hasNotRun ? notRunEnd(*head) : AttemptEnd::Broken;
        case net::TransferEnd::Completed:
        case net::TransferEnd::Closed:
            break;
        }
        if (!head || !end.unsound.empty() || isCutShort(end))
            return AttemptEnd::Broken;
        if (head->hasNotRun)
            return notRunEnd(*head);
        return head->status >= firstServerFailure ? AttemptEnd::Failed : AttemptEnd::Answered;
    }

    bool hasNotArrived(AttemptEnd end) { return end == AttemptEnd::Unreachable || end == AttemptEnd::Withdrawn; }

    bool certainlyHasNotRun(AttemptEnd end)
    {
        return hasNotArrived(end) || end == AttemptEnd::NotRun || end == AttemptEnd::WrongTarget;
    }

} // namespace

std::string toString(const AnswerEnd& end)
{
    std::string text = end.transfer == net::TransferEnd::Closed ? "+closed" : "";
    if (end.cutBytes)
        text += "+cut:" + std::to_string(end.cutBytes);
    if (!end.unsound.empty())
        text += "+unsound:" + std::string(end.unsound);
    return text;
}

FlowRules FlowRules::standard() { return { dispatch::nextStep, isSoundAnswerTo, judgeAnswer }; }

RequestFlow::RequestFlow(FlowPort& port, RequestFacts facts, const FlowRules& rules)
    : m_port(port)
    , m_facts(std::move(facts))
    , m_rules(rules)
{
}

void RequestFlow::begin(TimePoint now) { place(now, AttemptKind::First); }

void RequestFlow::place(TimePoint now, AttemptKind round)
{
    if (m_facts.due - now < leastLeft) {
        fail(m_mayHaveRun ? gatewayTimeout : unavailable, "no time is left");
        return;
    }
    const dispatch::PlacementRequest demand { m_facts.customer, m_facts.service, m_facts.route, m_facts.prompt,
        m_facts.bytes, m_facts.arrived, m_facts.due, { m_sentTo.begin(), m_sentTo.end() }, m_facts.key };
    const dispatch::Decision decision = m_port.place(now, demand, round);
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision)) {
        m_record.isRefused = false;
        send(now, *placement);
        return;
    }
    m_record.isRefused = true;
    m_record.refusal = std::get<dispatch::Refusal>(decision);
    m_record.trace += " refused:" + std::string(toString(m_record.refusal.reason));
    if (m_failedHead && !m_hasStarted)
        relayHeldAnswer();
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
    m_unsound = {};
    m_splitter.emplace(m_lastEventId);
    m_sentTo.push_back(placement.target.incarnation());
    m_number = static_cast<unsigned>(m_sentTo.size());
    m_inFlight = true;
    m_silenceCheck = now + patience(now);
    m_port.send({ m_number, placement, m_facts.due - now, m_hasStarted ? m_lastEventId : std::string() });
}

Duration RequestFlow::patience(TimePoint now) const
{
    const Duration left = m_facts.due - now;
    if (m_facts.route->kind == RequestKind::Idempotent)
        return std::chrono::duration_cast<Duration>(silenceShare * left);
    if (m_facts.route->kind == RequestKind::Stream && m_facts.route->isResumable)
        return firstEventFactor * m_record.placement.predictedFirstEventDelay + streamSilence;
    return left;
}

TimePoint RequestFlow::nextWake() const { return m_inFlight ? std::min(m_facts.due, m_silenceCheck) : m_facts.due; }

bool RequestFlow::isStreamed() const
{
    return m_facts.route->kind == RequestKind::Stream && m_head && m_head->isEventStream
        && m_head->status < firstFailure && !m_head->hasNotRun;
}

void RequestFlow::disown(std::string_view why)
{
    m_unsound = why;
    m_port.cancel();
}

void RequestFlow::head(TimePoint now, unsigned number, TargetAnswerHead head)
{
    passOnSignals(now, number, head.signals);
    if (!isOf(number))
        return;
    m_head = std::move(head);
    if (!m_rules.isAnswerTo(*m_head, m_facts.id)) {
        disown("head");
        return;
    }
    if (!isStreamed() && !m_head->hasNotRun)
        m_port.firstAnswer(now, m_record.placement.attempt);
}

void RequestFlow::passOnSignals(TimePoint now, unsigned number, const dispatch::TargetSignals& signals)
{
    // They hold for the target, whoever waits for the answer: its caller may have left, or another attempt have begun.
    if (signals.any() && number >= 1 && number <= m_sentTo.size())
        m_port.targetSaid(now, m_sentTo[number - 1], signals);
}

void RequestFlow::bytes(TimePoint now, unsigned number, std::string_view bytes)
{
    if (!isOf(number) || !m_unsound.empty() || !m_head)
        return;
    if (isStreamed()) {
        takeStreamBytes(now, bytes);
        return;
    }
    if (m_body.size() + bytes.size() > mostBodyBytes) {
        disown("size");
        return;
    }
    m_body += bytes;
}

void RequestFlow::takeStreamBytes(TimePoint now, std::string_view bytes)
{
    const std::string whole = m_splitter->feed(bytes);
    if (!whole.empty()) {
        startStream(now);
        m_lastEventId = m_splitter->lastId();
        m_mayResume = m_splitter->knowsLastEvent();
        m_lastEventAt = now;
        m_port.write(whole);
    }
    if (!m_splitter->isDisordered())
        return;
    m_mayResume &= m_splitter->knowsLastEvent();
    disown("order");
}

void RequestFlow::startStream(TimePoint now)
{
    if (m_splitter->events() > 0)
        m_port.firstAnswer(now, m_record.placement.attempt);
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_record.firstEventAfter = now - m_facts.arrived;
    m_record.firstEventError = now - m_sentAt - m_record.placement.predictedFirstEventDelay;
    m_port.startStream(m_head->status, m_head->relayed);
}

void RequestFlow::ended(TimePoint now, unsigned number, net::TransferEnd transferEnd)
{
    if (!m_inFlight || number != m_number)
        return;
    const AnswerEnd end = answerEnd(transferEnd);
    endAttempt(now, m_unsound.empty() ? m_rules.judge(end, m_head) : AttemptEnd::Broken, end);
}

AnswerEnd RequestFlow::answerEnd(net::TransferEnd transferEnd) const
{
    AnswerEnd end { transferEnd };
    end.unsound = m_unsound.empty() && isBarePromise(m_head) ? "status" : m_unsound;
    if (isStreamed()) {
        end.cutBytes = m_splitter->isInsideEvent() ? m_splitter->rest().size() : 0;
        end.isWithoutEvent = m_splitter->events() == 0;
    }
    return end;
}

void RequestFlow::withdrawn(TimePoint now, unsigned number)
{
    if (m_inFlight && number == m_number)
        endAttempt(now, AttemptEnd::Withdrawn);
}

void RequestFlow::endAttempt(TimePoint now, AttemptEnd end, const AnswerEnd& answerEnd)
{
    finishAttempt(now, end, answerEnd);
    // A request that goes on after its caller left is followed no further.
    if (!m_done)
        follow(now, end);
}

void RequestFlow::finishAttempt(TimePoint now, AttemptEnd end, const AnswerEnd& answerEnd)
{
    m_inFlight = false;
    m_port.attemptEnded(now, m_record.placement.attempt, end, answerEnd);
    m_record.trace += " " + toString(m_record.placement.target.incarnation()) + ":" + std::string(toString(end))
        + toString(answerEnd);
    if (m_head)
        m_record.trace += toString(m_head->signals);
    if (!certainlyHasNotRun(end)) {
        m_mayHaveRun = true;
        ++m_runs;
    }
}

void RequestFlow::cancelAs(TimePoint now, AttemptEnd end)
{
    m_port.cancel();
    finishAttempt(now, end);
}

void RequestFlow::follow(TimePoint now, AttemptEnd end)
{
    if (end == AttemptEnd::Failed) {
        m_failedHead = m_head;
        m_failedBody = m_body;
    }
    const dispatch::AttemptFacts facts { m_facts.route->kind, isResumable(), m_hasStarted, m_runs,
        m_facts.route->attempts, m_number, end, m_mayHaveRun };
    switch (m_rules.next(facts)) {
    case NextStep::Relay:
        if (isStreamed()) {
            endStream(now);
        } else {
            m_port.respond(*m_head, std::move(m_body));
            conclude(m_head->status, m_head->status < firstFailure ? "completed" : "refused-or-failed");
        }
        return;
    case NextStep::TryElsewhere:
        place(now, hasNotArrived(end) ? AttemptKind::RetryUnsent : AttemptKind::RetryAfterSend);
        return;
    case NextStep::Refuse:
        m_record.isRefused = true;
        m_record.refusal = m_port.giveUp(now, m_facts.service);
        refuse(m_record.refusal);
        return;
    case NextStep::Fail:
        if (m_failedHead && !m_hasStarted)
            relayHeldAnswer();
        else
            fail(badGateway, "the target's answer was lost");
        return;
    }
}

void RequestFlow::endStream(TimePoint now)
{
    // Also where it has no event: an empty stream is a whole answer.
    startStream(now);
    // Comments; a stream that ends inside an event isn't whole.
    m_port.write(m_splitter->rest());
    m_port.finish();
    conclude(m_head->status, "completed");
}

void RequestFlow::relayHeldAnswer()
{
    m_port.respond(*m_failedHead, m_failedBody);
    conclude(m_failedHead->status, "refused-or-failed");
}

void RequestFlow::refuse(const dispatch::Refusal& refusal)
{
    const int status = refusal.reason == dispatch::RefusalReason::OverShare ? tooManyRequests : unavailable;
    m_port.refuse(status, toString(refusal.reason), refusal.retryAfter);
    conclude(status, "refused-or-failed");
}

void RequestFlow::fail(int status, std::string_view reason)
{
    if (m_hasStarted) {
        m_port.abort();
        conclude(status, reason);
        return;
    }
    m_port.refuse(status, reason, std::nullopt);
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
    if (now >= m_facts.due) {
        if (m_inFlight)
            cancelAs(now, AttemptEnd::Silent);
        fail(gatewayTimeout, "the time for the answer has passed");
        return;
    }
    if (m_inFlight && now >= m_silenceCheck)
        checkSilence(now);
}

void RequestFlow::checkSilence(TimePoint now)
{
    m_silenceCheck = m_facts.due;
    if (m_runs + 1 >= m_facts.route->attempts)
        return;
    const bool isStream = m_facts.route->kind == RequestKind::Stream;
    if (isStream ? !isResumable() : m_head.has_value())
        return;
    const Duration quiet = now - m_lastEventAt;
    if (isStream && m_hasStarted && quiet < streamSilence) {
        m_silenceCheck = m_lastEventAt + streamSilence;
        return;
    }
    cancelAs(now, AttemptEnd::Silent);
    follow(now, AttemptEnd::Silent);
}

void RequestFlow::callerGone(TimePoint now)
{
    if (m_done)
        return;
    // A request that must not run twice goes on: whether it ran matters more than the target's time.
    if (m_inFlight && m_facts.route->kind != RequestKind::Once)
        cancelAs(now, AttemptEnd::CallerGone);
    conclude(callerGoneStatus, "caller-gone");
}

} // namespace sagechute::relay
