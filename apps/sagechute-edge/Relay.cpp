#include "Relay.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    using dispatch::AttemptEnd;
    using dispatch::NextStep;
    using dispatch::RequestKind;

    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    constexpr int gatewayTimeout = 504;
    constexpr int tooManyRequests = 429;
    constexpr int firstFailure = 300;

    /// A target on the same network accepts a connection within some ms. One lost packet costs the kernel a second,
    /// which is longer than most goals; another target is then the better way.
    constexpr std::chrono::milliseconds connectTimeout { 300 };

    /// A target whose VM has vanished acknowledges nothing. Two packets lost in a row cost some 600 ms.
    constexpr std::chrono::milliseconds unackedTimeout { 1000 };

    /// An idempotent request is sent elsewhere when this share of its time has passed without an answer.
    constexpr double silenceShare = 0.35;

    /// A stream that may be resumed goes on elsewhere after so long without an event. Callers give up after two
    /// seconds; engines under the heaviest load are silent for some 150 ms.
    constexpr Duration streamSilence = std::chrono::milliseconds(1200);
    constexpr int firstEventFactor = 2;

    /// A longer answer that is no stream is cut: nothing in these deployments comes near it.
    constexpr std::size_t mostBodyBytes = 16 << 20;

    constexpr double percent = 100;

    /// Least time that is worth an attempt.
    constexpr Duration leastLeft = std::chrono::milliseconds(15);

    std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    Duration timeOf(const RelayOrder& order)
    {
        return order.facts.deadline ? std::min(*order.facts.deadline, order.route->timeout) : order.route->timeout;
    }

    class AttemptSink final : public net::TransferSink {
    public:
        AttemptSink(std::shared_ptr<Relay> relay, unsigned number)
            : m_relay(std::move(relay))
            , m_number(number)
        {
        }

    private:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_relay->onHead(m_number, status, fields);
        }
        bool onBody(std::string_view bytes) override
        {
            m_relay->onBytes(m_number, bytes);
            return true;
        }
        void onEnd(const net::TransferResult& result) override { m_relay->onEnd(m_number, result); }

        const std::shared_ptr<Relay> m_relay;
        const unsigned m_number;
    };

} // namespace

void Relay::start(const RelayTools& tools, RelayOrder order)
{
    auto relay = std::make_shared<Relay>(tools, std::move(order));
    relay->begin();
}

Relay::Relay(const RelayTools& tools, RelayOrder order)
    : m_tools(tools)
    , m_order(std::move(order))
    , m_due(m_order.arrived + timeOf(m_order))
{
    ++m_tools.state.activeRequests;
}

Relay::~Relay() = default;

void Relay::begin()
{
    const std::weak_ptr<Relay> weak = weak_from_this();
    {
        std::lock_guard lock(m_mutex);
        m_dueTimer = m_tools.timers.add(m_due, [weak] {
            if (const auto relay = weak.lock())
                relay->onDue();
        });
        place(Round::First);
    }
    m_order.exchange->onClosed([weak] {
        if (const auto relay = weak.lock())
            relay->onCallerGone();
    });
}

void Relay::place(Round round)
{
    const TimePoint now = steadyNow();
    if (m_due - now < leastLeft) {
        fail(m_mayHaveRun ? gatewayTimeout : unavailable, "no time is left");
        return;
    }
    const dispatch::Demand demand { m_order.customer, m_order.service, m_order.route, m_order.facts.prompt,
        m_order.arrived, m_due, m_tried };
    const dispatch::Decision decision
        = m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.place(now, demand, round); });
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision)) {
        send(*placement);
        return;
    }
    const auto& refusal = std::get<dispatch::Refusal>(decision);
    m_refusal = refusal;
    m_trace += " refused:" + std::string(toString(refusal.reason));
    if (m_failedHead && !m_hasStarted)
        relayHeldAnswer();
    else if (m_mayHaveRun || m_hasStarted)
        fail(badGateway, "the target broke off");
    else
        refuse(refusal);
}

void Relay::send(const dispatch::Placement& placement)
{
    const TimePoint now = steadyNow();
    m_placement = placement;
    m_sentAt = now;
    m_head.reset();
    m_body.clear();
    m_isForeign = false;
    m_splitter.emplace(m_lastEventId);
    m_tried.insert(placement.target.id);
    ++m_tries;
    const unsigned number = ++m_number;

    net::ClientRequest request = m_tools.targets.encode({ &m_order.exchange->request(), &m_placement.target,
        m_order.customer, m_due - now, m_hasStarted ? m_lastEventId : std::string() });
    request.connectTimeout = connectTimeout;
    request.unackedTimeout = unackedTimeout;
    request.sendOnce = true;
    m_inFlight = true;
    m_transfer = m_tools.client.start(std::move(request), std::make_unique<AttemptSink>(shared_from_this(), number));
    m_lastEventAt = now;
    if (m_order.route->kind == RequestKind::Idempotent)
        watchSilence(std::chrono::duration_cast<Duration>(silenceShare * (m_due - now)));
    else if (m_order.route->kind == RequestKind::Stream && m_order.route->isResumable)
        watchSilence(firstEventFactor * placement.predictedFirst + streamSilence);
}

void Relay::watchSilence(Duration patience)
{
    const std::weak_ptr<Relay> weak = weak_from_this();
    m_silenceTimer = m_tools.timers.add(steadyNow() + patience, [weak, number = m_number] {
        if (const auto relay = weak.lock())
            relay->onSilent(number);
    });
}

bool Relay::isStreamed() const
{
    return m_order.route->kind == RequestKind::Stream && m_head && m_head->status < firstFailure && !m_head->hasNotRun;
}

void Relay::onHead(unsigned number, int status, const std::vector<net::Field>& fields)
{
    std::lock_guard lock(m_mutex);
    if (m_done || number != m_number || !m_inFlight)
        return;
    m_head = m_tools.targets.decodeHead(status, fields);
    // A late extra answer of an earlier request may lie on a kept connection.
    const bool isEchoed = m_head->requestId ? *m_head->requestId == m_order.facts.id : m_head->hasNotRun;
    if (!isEchoed) {
        m_isForeign = true;
        const net::TransferId transfer = m_transfer;
        m_tools.client.cancel(transfer);
        return;
    }
    if (!isStreamed() && !m_head->hasNotRun)
        m_tools.state.withDispatcher(
            [&](dispatch::Dispatcher& it) { it.firstAnswer(steadyNow(), m_placement.attempt); });
}

void Relay::onBytes(unsigned number, std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    if (m_done || number != m_number || !m_inFlight || m_isForeign || !m_head)
        return;
    if (isStreamed()) {
        takeStreamBytes(bytes);
        return;
    }
    if (m_body.size() + bytes.size() > mostBodyBytes) {
        m_isForeign = true;
        m_tools.client.cancel(m_transfer);
        return;
    }
    m_body += bytes;
}

void Relay::takeStreamBytes(std::string_view bytes)
{
    const std::string whole = m_splitter->feed(bytes);
    if (!whole.empty()) {
        startStream();
        m_lastEventId = m_splitter->lastId();
        m_lastEventAt = steadyNow();
        m_order.exchange->write(whole);
    }
    if (m_splitter->isDisordered() && !m_isForeign) {
        m_isForeign = true;
        m_tools.client.cancel(m_transfer);
    }
}

void Relay::startStream()
{
    const TimePoint now = steadyNow();
    const bool isFirstOfAttempt = m_splitter->events() > 0;
    if (isFirstOfAttempt)
        m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { it.firstAnswer(now, m_placement.attempt); });
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_firstEventAfter = now - m_order.arrived;
    m_tools.metrics.firstEvent(m_firstEventAfter, now - m_sentAt - m_placement.predictedFirst);
    std::vector<net::Field> fields = m_head->relayed;
    if (m_tools.state.wantsClose())
        fields.push_back({ "Connection", "close" });
    m_order.exchange->startStream(m_head->status, std::move(fields));
}

AttemptEnd Relay::judge(const net::TransferResult& result) const
{
    if (m_isForeign)
        return AttemptEnd::Broken;
    switch (result.end) {
    case net::TransferEnd::NothingSent:
        return AttemptEnd::Unreachable;
    case net::TransferEnd::TimedOut:
        return AttemptEnd::Silent;
    case net::TransferEnd::BrokenAfterSend:
    case net::TransferEnd::Cancelled:
        // The head alone is a promise that it has not run.
        if (m_head && m_head->hasNotRun)
            return m_head->isOtherTarget ? AttemptEnd::WrongTarget : AttemptEnd::NotRun;
        return AttemptEnd::Broken;
    case net::TransferEnd::Completed:
        break;
    }
    if (!m_head)
        return AttemptEnd::Broken;
    if (m_head->hasNotRun)
        return m_head->isOtherTarget ? AttemptEnd::WrongTarget : AttemptEnd::NotRun;
    if (m_head->status < firstFailure && !m_head->isSigned)
        return AttemptEnd::Broken;
    return m_head->status >= 500 ? AttemptEnd::Failed : AttemptEnd::Answered;
}

void Relay::onEnd(unsigned number, const net::TransferResult& result)
{
    std::lock_guard lock(m_mutex);
    if (number != m_number || !m_inFlight)
        return;
    const AttemptEnd end = judge(result);
    finishAttempt(end);
    if (!m_done)
        follow(end);
}

void Relay::finishAttempt(AttemptEnd end)
{
    m_inFlight = false;
    m_tools.timers.remove(m_silenceTimer);
    m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { it.ended(steadyNow(), m_placement.attempt, end); });
    m_tools.metrics.attempt(end);
    m_trace += " " + m_placement.target.id.value + ":" + std::string(toString(end));
    const bool hasNotRun
        = end == AttemptEnd::Unreachable || end == AttemptEnd::NotRun || end == AttemptEnd::WrongTarget;
    if (!hasNotRun) {
        m_mayHaveRun = true;
        ++m_runs;
    }
}

void Relay::follow(AttemptEnd end)
{
    if (end == AttemptEnd::Failed) {
        m_failedHead = m_head;
        m_failedBody = m_body;
    }
    const dispatch::AttemptFacts facts { m_order.route->kind, m_order.route->isResumable, m_hasStarted, m_runs,
        m_order.route->attempts, m_tries, end, m_mayHaveRun };
    switch (nextStep(facts)) {
    case NextStep::Relay:
        if (isStreamed())
            endStream();
        else
            respond({ m_head->status, m_head->relayed, std::move(m_body) });
        return;
    case NextStep::TryElsewhere:
        place(end == AttemptEnd::Unreachable ? Round::AfterNothing : Round::AfterArrival);
        return;
    case NextStep::Refuse:
        refuse({ dispatch::RefusalReason::NoTarget, std::chrono::milliseconds(300) });
        return;
    case NextStep::Fail:
        if (m_failedHead && !m_hasStarted)
            relayHeldAnswer();
        else
            fail(badGateway, "the target's answer was lost");
        return;
    }
}

void Relay::endStream()
{
    // Also where the target closed it without an event: an empty stream is a whole answer.
    startStream();
    m_order.exchange->write(m_splitter->rest());
    m_order.exchange->finish();
    conclude(m_head->status, "completed");
}

void Relay::relayHeldAnswer() { respond({ m_failedHead->status, m_failedHead->relayed, m_failedBody }); }

void Relay::refuse(const dispatch::Refusal& refusal)
{
    m_tools.metrics.refusal(refusal.reason);
    const int status = refusal.reason == dispatch::RefusalReason::OverShare ? tooManyRequests : unavailable;
    respond(m_tools.callers.refusal(status, toString(refusal.reason), refusal.comeBack));
}

void Relay::fail(int status, std::string_view reason)
{
    if (m_hasStarted) {
        m_order.exchange->abort();
        conclude(status, reason);
        return;
    }
    respond(m_tools.callers.refusal(status, reason, std::nullopt));
}

void Relay::respond(net::ServerResponse response)
{
    const int status = response.status;
    if (m_tools.state.wantsClose())
        response.headers.push_back({ "Connection", "close" });
    m_order.exchange->respond(std::move(response));
    conclude(status, status < firstFailure ? "completed" : "refused-or-failed");
}

void Relay::conclude(int status, std::string_view outcome)
{
    m_done = true;
    --m_tools.state.activeRequests;
    m_tools.timers.remove(m_dueTimer);
    m_tools.timers.remove(m_silenceTimer);
    const Duration lasted = steadyNow() - m_order.arrived;
    m_tools.metrics.request(m_order.route->name, status, lasted);
    process::log(process::LogLevel::Info, "request",
        { { "id", m_order.facts.id }, { "route", m_order.route->name }, { "customer", m_order.customer.value },
            { "caller", m_order.exchange->request().peerAddress }, { "service", m_order.service.value },
            { "config", std::to_string(m_order.table->config().version) }, { "status", std::to_string(status) },
            { "outcome", std::string(outcome) }, { "attempts", m_trace.empty() ? "none" : m_trace.substr(1) },
            { "ms", milliseconds(lasted) }, { "first-ms", milliseconds(m_firstEventAfter) },
            { "predicted-ms", milliseconds(m_placement.predictedFirst) },
            { "read-tokens", std::to_string(m_placement.tokensToRead) },
            { "prompt-tokens", std::to_string(m_order.facts.prompt.tokensIn) },
            { "wait-ms", milliseconds(m_refusal.wait) }, { "allowed-ms", milliseconds(m_refusal.allowed) },
            { "share-percent", std::to_string(static_cast<int>(m_refusal.share * percent)) },
            { "come-back-ms", milliseconds(m_refusal.comeBack) },
            { "targets-offset", std::to_string(m_tools.state.nextTargetOffset.load()) } });
}

void Relay::cancelTransfer()
{
    if (!m_inFlight)
        return;
    m_tools.client.cancel(m_transfer);
}

void Relay::onDue()
{
    std::lock_guard lock(m_mutex);
    if (m_done)
        return;
    if (m_inFlight) {
        cancelTransfer();
        finishAttempt(AttemptEnd::Silent);
    }
    fail(gatewayTimeout, "the time for the answer has passed");
}

void Relay::onSilent(unsigned number)
{
    std::lock_guard lock(m_mutex);
    if (m_done || number != m_number || !m_inFlight || m_runs + 1 >= m_order.route->attempts)
        return;
    const bool isStream = m_order.route->kind == RequestKind::Stream;
    if (!isStream && m_head)
        return;
    const Duration quiet = steadyNow() - m_lastEventAt;
    if (isStream && m_hasStarted && quiet < streamSilence) {
        watchSilence(streamSilence - quiet);
        return;
    }
    cancelTransfer();
    finishAttempt(AttemptEnd::Silent);
    follow(AttemptEnd::Silent);
}

void Relay::onCallerGone()
{
    std::lock_guard lock(m_mutex);
    if (m_done)
        return;
    // A request that must not run twice goes on: whether it ran matters more than the target's time.
    if (m_inFlight && m_order.route->kind != RequestKind::Once) {
        cancelTransfer();
        finishAttempt(AttemptEnd::CallerGone);
    }
    constexpr int callerGoneStatus = 499;
    conclude(callerGoneStatus, "caller-gone");
}

} // namespace sagechute::edge
