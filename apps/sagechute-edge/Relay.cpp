#include "Relay.h"

#include "AgeText.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A target on the same network accepts a connection within some milliseconds. The kernel retransmits a lost packet
    /// only after 1 s, longer than most latency targets, so another target is the better choice.
    constexpr std::chrono::milliseconds connectTimeout { 300 };

    /// Detects a target whose VM has vanished and acknowledges nothing. Two packets lost in a row delay the
    /// acknowledgement by about 600 ms.
    constexpr std::chrono::milliseconds unackedTimeout { 1000 };

    /// Interval at which a held attempt is looked at again; the timers' resolution.
    constexpr Duration heldCheckInterval = std::chrono::milliseconds(25);

    constexpr double percent = 100;

    /// @return the last admission decision on a request: that of its refusal, if any, else of its placement.
    const dispatch::Admission& admissionOf(const relay::FlowRecord& record)
    {
        return record.isRefused ? record.refusal.admission : record.placement.admission;
    }

    std::string formatDurationMs(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    /// @return the IDs of the parts that other requests may have in common with this one: all but the last.
    std::string sharedPartsText(const dispatch::PromptSize& prompt)
    {
        std::string text;
        for (const quarantine::PartKey it : dispatch::sharedPartsOf(prompt))
            text += (text.empty() ? "" : ",") + quarantine::toHex(it);
        return text.empty() ? "none" : text;
    }

    TimePoint deadlineOf(const RelayOrder& order)
    {
        const Duration timeout = order.route->timeout;
        return order.arrived + (order.facts.deadline ? std::min(*order.facts.deadline, timeout) : timeout);
    }

    quarantine::RequestKey keyOf(const RelayOrder& order)
    {
        const net::ServerRequest& request = order.exchange->request();
        return quarantine::requestKeyOf(
            { order.customer, request.method, order.facts.host, request.rawTarget, request.body });
    }

    relay::RequestInfo factsOf(const RelayOrder& order, quarantine::RequestKey key)
    {
        return { order.facts.id, order.route, order.service, order.customer, order.facts.prompt,
            order.exchange->request().body.size(), order.arrived, deadlineOf(order), key };
    }

    class AttemptSink final : public net::TransferSink {
    public:
        AttemptSink(std::shared_ptr<Relay> relay, unsigned number, dispatch::TargetIncarnation target)
            : m_relay(std::move(relay))
            , m_number(number)
            , m_target(std::move(target))
        {
        }

    private:
        bool onBeforeRequest(net::ConnectionUse use) override
        {
            m_connectionUse = use;
            return m_relay->shouldSend(m_number, m_target);
        }
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_isAnswerToRequest = m_relay->onHead(m_number, status, fields, m_connectionUse);
        }
        bool onBody(std::string_view bytes) override
        {
            m_relay->onBytes(m_number, bytes);
            return true;
        }
        bool onIsAnswerToRequest() const override { return m_isAnswerToRequest; }
        void onEnd(const net::TransferResult& result) override { m_relay->onEnd(m_number, result); }

        const std::shared_ptr<Relay> m_relay;
        const unsigned m_number;
        const dispatch::TargetIncarnation m_target;
        net::ConnectionUse m_connectionUse = net::ConnectionUse::Later;
        bool m_isAnswerToRequest = true;
    };

} // namespace

void Relay::start(const RelayContext& context, RelayOrder order)
{
    auto relay = std::make_shared<Relay>(context, std::move(order));
    relay->begin();
}

Relay::Relay(const RelayContext& context, RelayOrder order)
    : m_context(context)
    , m_order(std::move(order))
    , m_key(keyOf(m_order))
    , m_flow(*this, factsOf(m_order, m_key))
{
    ++m_context.state.activeRequests;
}

Relay::~Relay() = default;

void Relay::begin()
{
    handleEvent([](relay::RequestFlow& flow, TimePoint now) { flow.begin(now); });
    const std::weak_ptr<Relay> weak = weak_from_this();
    m_order.exchange->onClosed([weak] {
        if (const auto relay = weak.lock())
            relay->handleEvent([](relay::RequestFlow& flow, TimePoint now) { flow.callerGone(now); });
    });
}

template <typename Event> void Relay::handleEvent(Event&& event)
{
    std::lock_guard lock(m_mutex);
    event(m_flow, steadyNow());
    if (m_flow.isDone() && !m_isCompleted)
        complete();
    if (!m_flow.isDone() || m_flow.hasAttempts())
        armTimer();
}

void Relay::armTimer()
{
    const TimePoint at = m_flow.nextWake();
    if (m_timerDue == at)
        return;
    if (m_timerDue)
        m_context.timers.cancel(m_timer);
    m_timerDue = at;
    const std::weak_ptr<Relay> weak = weak_from_this();
    m_timer = m_context.timers.add(at, [weak] {
        if (const auto relay = weak.lock())
            relay->handleEvent([&relay](relay::RequestFlow& flow, TimePoint now) {
                relay->m_timerDue.reset();
                flow.wake(now);
            });
    });
}

bool Relay::shouldSend(unsigned number, const dispatch::TargetIncarnation& target)
{
    if (!m_order.exchange->isCallerThere()) {
        handleEvent([](relay::RequestFlow& flow, TimePoint now) { flow.callerGone(now); });
        return false;
    }
    const TimePoint now = steadyNow();
    const SendCheck check = m_context.state.checkSend(now, target);
    if (!check.maySend) {
        handleEvent([&](relay::RequestFlow& flow, TimePoint at) { flow.withdrawn(at, number); });
        return false;
    }
    std::lock_guard lock(m_mutex);
    m_lastSend = { now - m_order.arrived, check.knowledgeAge };
    return true;
}

bool Relay::onHead(unsigned number, int status, const std::vector<net::Field>& fields, net::ConnectionUse use)
{
    TargetResponseHead head = m_context.targetProtocol.decodeHead(status, fields);
    head.connectionUse = use;
    bool isAnswerToRequest = false;
    handleEvent(
        [&](relay::RequestFlow& flow, TimePoint now) { isAnswerToRequest = flow.head(now, number, std::move(head)); });
    return isAnswerToRequest;
}

void Relay::onBytes(unsigned number, std::string_view bytes)
{
    handleEvent([&](relay::RequestFlow& flow, TimePoint now) { flow.bytes(now, number, bytes); });
}

void Relay::onEnd(unsigned number, const net::TransferResult& result)
{
    if (!result.rejectReason.empty())
        m_context.metrics.recordRejectedAnswer(result.rejectReason);
    handleEvent([&](relay::RequestFlow& flow, TimePoint now) {
        if (result.pooledConnection)
            m_usedConnections.push_back(result.pooledConnection);
        flow.ended(now, number, result.end);
    });
}

dispatch::Decision Relay::place(TimePoint now, const dispatch::PlacementRequest& demand, dispatch::AttemptKind round)
{
    dispatch::Decision decision
        = m_context.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.place(now, demand, round); });
    if (const auto* placement = std::get_if<dispatch::Placement>(&decision))
        m_context.metrics.recordSharedPrefill(*placement);
    return decision;
}

void Relay::firstAnswer(TimePoint now, dispatch::AttemptId attempt)
{
    m_context.state.withDispatcher([&](dispatch::Dispatcher& it) { it.firstAnswer(now, attempt); });
}

void Relay::attemptEnded(
    TimePoint now, dispatch::AttemptId attempt, dispatch::AttemptEnd end, const relay::ResponseEnd& responseEnd)
{
    m_context.state.withDispatcher([&](dispatch::Dispatcher& it) { it.ended(now, attempt, end); });
    m_context.metrics.recordAttempt(end);
    m_context.metrics.recordAnswerEnd(responseEnd);
}

bool Relay::reserveBuffer(std::size_t bytes) { return m_context.answerBudget.reserve(bytes); }

void Relay::releaseBuffer(std::size_t bytes) { m_context.answerBudget.release(bytes); }

void Relay::onTargetSignals(
    TimePoint now, const dispatch::TargetIncarnation& target, const dispatch::TargetSignals& signals)
{
    m_context.metrics.recordTargetSignals(signals);
    if (signals.isRejectedAsFull)
        m_context.metrics.recordRejectedAsFull(m_order.service);
    const dispatch::TargetSignals unknown = m_context.state.applyTargetSignals(now, target, signals);
    if (unknown.isDraining)
        process::log(process::LogLevel::Info, "target-draining",
            { { "target", toString(target) }, { "source", "answer" }, { "request", m_order.facts.id } });
    if (unknown.backoff)
        process::log(process::LogLevel::Info, "target-backoff",
            { { "target", toString(target) }, { "ms", formatDurationMs(*unknown.backoff) },
                { "request", m_order.facts.id } });
}

dispatch::Refusal Relay::giveUp(TimePoint now, const ServiceId& service)
{
    return m_context.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.giveUp(now, service); });
}

void Relay::send(const relay::OutgoingAttempt& order)
{
    m_transfers.push_back(0);
    if (!m_context.state.isRenewalAwaited()) {
        startTransfer(order);
        return;
    }
    m_context.metrics.heldSends().Increment();
    m_held.emplace(order.number, HeldAttempt { order, steadyNow() });
    armHeldTimer(order.number);
}

void Relay::armHeldTimer(unsigned number)
{
    // Without a transfer nothing else owns this relay.
    m_context.timers.add(
        steadyNow() + heldCheckInterval, [relay = shared_from_this(), number] { relay->sendHeld(number); });
}

void Relay::sendHeld(unsigned number)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_held.find(number);
    if (it == m_held.end())
        return;
    if (m_context.state.isRenewalAwaited()) {
        armHeldTimer(number);
        return;
    }
    HeldAttempt held = std::move(it->second);
    m_held.erase(it);
    held.attempt.timeLeft -= steadyNow() - held.since;
    startTransfer(held.attempt);
}

void Relay::startTransfer(const relay::OutgoingAttempt& order)
{
    const std::shared_ptr<const net::ServerRequest> received { m_order.exchange, &m_order.exchange->request() };
    net::ClientRequest request = m_context.targetProtocol.encode(
        { received, &order.placement.target, m_order.customer, order.timeLeft, order.resumeAfter });
    request.connectTimeout = connectTimeout;
    request.unackedTimeout = unackedTimeout;
    request.sendOnce = true;
    request.avoidedConnections = m_usedConnections;
    m_transfers.at(order.number - 1) = m_context.client.start(std::move(request),
        std::make_unique<AttemptSink>(shared_from_this(), order.number, order.placement.target.incarnation()));
}

void Relay::cancel(unsigned number)
{
    if (!m_held.erase(number))
        m_context.client.cancel(m_transfers.at(number - 1));
}

void Relay::addCloseHeader(std::vector<net::Field>& fields) const
{
    if (m_context.state.shouldCloseConnections())
        fields.push_back({ "Connection", "close" });
}

void Relay::startStream(int status, const std::vector<net::Field>& relayed)
{
    m_context.metrics.recordFirstEvent(m_flow.record().firstEventLatency, m_flow.record().firstEventPredictionError);
    std::vector<net::Field> fields = relayed;
    addCloseHeader(fields);
    m_order.exchange->startStream(status, std::move(fields));
}

void Relay::write(std::string_view bytes)
{
    ++m_context.state.chunksRelayed;
    m_order.exchange->write(bytes);
}

void Relay::finish() { m_order.exchange->finish(); }

void Relay::abort() { m_order.exchange->abort(); }

void Relay::respond(const TargetResponseHead& head, std::string body)
{
    sendResponse({ head.status, head.relayed, std::move(body) });
}

void Relay::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (retryAfter)
        m_context.metrics.recordRefusal(m_flow.record().refusal.reason);
    sendResponse(m_context.callerProtocol.refusal(status, reason, retryAfter));
}

void Relay::sendResponse(net::ServerResponse response)
{
    addCloseHeader(response.headers);
    m_order.exchange->respond(std::move(response));
}

void Relay::complete()
{
    m_isCompleted = true;
    --m_context.state.activeRequests;
    if (m_timerDue)
        m_context.timers.cancel(m_timer);
    m_timerDue.reset();
    const relay::FlowRecord& record = m_flow.record();
    const Duration duration = steadyNow() - m_order.arrived;
    const news::Knowledge known = m_context.state.knowledge();
    const dispatch::Admission& admission = admissionOf(record);
    const std::optional<dispatch::GrantLimit>& limit = admission.grantLimit;
    m_context.metrics.recordRequest(m_order.route->name, record.status, duration);
    if (record.isLost)
        m_context.metrics.recordLostAnswer(record);
    process::log(process::LogLevel::Info, "request",
        { { "id", m_order.facts.id }, { "key", quarantine::toHex(m_key) }, { "route", m_order.route->name },
            { "customer", m_order.customer.value }, { "caller", m_order.exchange->request().peerAddress },
            { "service", m_order.service.value }, { "config", std::to_string(m_order.table->config().version) },
            { "config-in-force", std::to_string(m_context.state.configVersion()) },
            { "config-age-ms", formatDurationMs(steadyNow() - m_context.state.configInstalledAt()) },
            { "status", std::to_string(record.status) }, { "outcome", record.outcome },
            { "attempts", record.trace.empty() ? "none" : record.trace.substr(1) },
            { "cut", record.isCut ? "yes" : "no" }, { "silent-ms", formatDurationMs(record.longestSilence) },
            { "ms", formatDurationMs(duration) }, { "first-ms", formatDurationMs(record.firstEventLatency) },
            { "predicted-ms", formatDurationMs(record.placement.predictedFirstEventDelay) },
            { "read-tokens", std::to_string(record.placement.prefillTokens) },
            { "shared-read-tokens", std::to_string(record.placement.sharedPrefillTokens) },
            { "homes", std::to_string(record.placement.homes) },
            { "at-home", record.placement.isAtHome ? "yes" : "no" },
            { "prompt-tokens", std::to_string(m_order.facts.prompt.inputTokens) },
            { "answer-tokens", std::to_string(m_order.facts.prompt.maxOutputTokens) },
            { "parts", sharedPartsText(m_order.facts.prompt) }, { "wait-ms", formatDurationMs(admission.wait) },
            { "allowed-ms", formatDurationMs(admission.allowed) },
            { "share-percent", std::to_string(static_cast<int>(admission.share * percent)) },
            { "limit-tokens", limit ? formatTokens(limit->fleetTokens) : "none" },
            { "limit-left", limit ? formatTokens(limit->allowance) : "none" },
            { "limit-beside", limit ? limit->beside.value : "" },
            { "size-helped", admission.isSizeBoosted ? "yes" : "no" },
            { "sums-age-ms", admission.oldestReportAge ? formatDurationMs(*admission.oldestReportAge) : "none" },
            { "come-back-ms", formatDurationMs(record.refusal.retryAfter) },
            { "targets-offset", std::to_string(known.targetsNext.offset) },
            { "sent-ms", m_lastSend ? formatDurationMs(m_lastSend->sinceArrival) : "none" },
            { "sent-known-ms",
                m_lastSend && m_lastSend->knowledgeAge ? formatDurationMs(*m_lastSend->knowledgeAge) : "none" },
            { "known-ms", formatDurationMs(unsuspendedNow() - news::knownUntil(known).value_or(TimePoint {})) } });
}

} // namespace sagechute::edge
