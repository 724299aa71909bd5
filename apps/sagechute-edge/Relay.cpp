#include "Relay.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A target on the same network accepts a connection within some ms. One lost packet costs the kernel a second,
    /// which is longer than most goals; another target is then the better way.
    constexpr std::chrono::milliseconds connectTimeout { 300 };

    /// A target whose VM has vanished acknowledges nothing. Two packets lost in a row cost some 600 ms.
    constexpr std::chrono::milliseconds unackedTimeout { 1000 };

    constexpr double percent = 100;

    /// What was last decided on a request: the refusal, where there is one after the last placement.
    const dispatch::Admission& admissionOf(const relay::FlowRecord& record)
    {
        return record.isRefused ? record.refusal.admission : record.placement.admission;
    }

    std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    TimePoint dueOf(const RelayOrder& order)
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

    relay::RequestFacts factsOf(const RelayOrder& order, quarantine::RequestKey key)
    {
        return { order.facts.id, order.route, order.service, order.customer, order.facts.prompt,
            order.exchange->request().body.size(), order.arrived, dueOf(order), key };
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
        bool onBeforeRequest() override { return m_relay->isStillWanted(m_number, m_target); }
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
        const dispatch::TargetIncarnation m_target;
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
    , m_key(keyOf(m_order))
    , m_flow(*this, factsOf(m_order, m_key))
{
    ++m_tools.state.activeRequests;
}

Relay::~Relay() = default;

void Relay::begin()
{
    handle([](relay::RequestFlow& flow, TimePoint now) { flow.begin(now); });
    const std::weak_ptr<Relay> weak = weak_from_this();
    m_order.exchange->onClosed([weak] {
        if (const auto relay = weak.lock())
            relay->handle([](relay::RequestFlow& flow, TimePoint now) { flow.callerGone(now); });
    });
}

template <typename Event> void Relay::handle(Event&& event)
{
    std::lock_guard lock(m_mutex);
    event(m_flow, steadyNow());
    if (!m_flow.isDone())
        armTimer();
    else if (!m_isConcluded)
        conclude();
}

void Relay::armTimer()
{
    const TimePoint at = m_flow.nextWake();
    if (m_timerAt == at)
        return;
    if (m_timerAt)
        m_tools.timers.remove(m_timer);
    m_timerAt = at;
    const std::weak_ptr<Relay> weak = weak_from_this();
    m_timer = m_tools.timers.add(at, [weak] {
        if (const auto relay = weak.lock())
            relay->handle([&relay](relay::RequestFlow& flow, TimePoint now) {
                relay->m_timerAt.reset();
                flow.wake(now);
            });
    });
}

bool Relay::isStillWanted(unsigned number, const dispatch::TargetIncarnation& target)
{
    if (!m_order.exchange->isCallerThere()) {
        handle([](relay::RequestFlow& flow, TimePoint now) { flow.callerGone(now); });
        return false;
    }
    const bool maySend
        = m_tools.state.withDispatcher([&](const dispatch::Dispatcher& it) { return it.maySend(steadyNow(), target); });
    if (!maySend)
        handle([&](relay::RequestFlow& flow, TimePoint now) { flow.withdrawn(now, number); });
    return maySend;
}

void Relay::onHead(unsigned number, int status, const std::vector<net::Field>& fields)
{
    TargetAnswerHead head = m_tools.targets.decodeHead(status, fields);
    handle([&](relay::RequestFlow& flow, TimePoint now) { flow.head(now, number, std::move(head)); });
}

void Relay::onBytes(unsigned number, std::string_view bytes)
{
    handle([&](relay::RequestFlow& flow, TimePoint now) { flow.bytes(now, number, bytes); });
}

void Relay::onEnd(unsigned number, const net::TransferResult& result)
{
    handle([&](relay::RequestFlow& flow, TimePoint now) { flow.ended(now, number, result.end); });
}

dispatch::Decision Relay::place(TimePoint now, const dispatch::PlacementRequest& demand, dispatch::AttemptKind round)
{
    return m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.place(now, demand, round); });
}

void Relay::firstAnswer(TimePoint now, dispatch::AttemptId attempt)
{
    m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { it.firstAnswer(now, attempt); });
}

void Relay::attemptEnded(
    TimePoint now, dispatch::AttemptId attempt, dispatch::AttemptEnd end, const relay::AnswerEnd& answerEnd)
{
    m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { it.ended(now, attempt, end); });
    m_tools.metrics.attempt(end);
    m_tools.metrics.answerEnded(answerEnd);
}

void Relay::targetSaid(TimePoint now, const dispatch::TargetIncarnation& target, const dispatch::TargetSignals& signals)
{
    m_tools.metrics.targetSaid(signals);
    const dispatch::TargetSignals unknown = m_tools.state.targetSaid(now, target, signals);
    if (unknown.isDraining)
        process::log(process::LogLevel::Info, "target-draining",
            { { "target", toString(target) }, { "source", "answer" }, { "request", m_order.facts.id } });
    if (unknown.backoff)
        process::log(process::LogLevel::Info, "target-backoff",
            { { "target", toString(target) }, { "ms", milliseconds(*unknown.backoff) },
                { "request", m_order.facts.id } });
}

dispatch::Refusal Relay::giveUp(TimePoint now, const ServiceId& service)
{
    return m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.giveUp(now, service); });
}

void Relay::send(const relay::AttemptOrder& order)
{
    net::ClientRequest request = m_tools.targets.encode(
        { &m_order.exchange->request(), &order.placement.target, m_order.customer, order.left, order.resumeAfter });
    request.connectTimeout = connectTimeout;
    request.unackedTimeout = unackedTimeout;
    request.sendOnce = true;
    m_transfer = m_tools.client.start(std::move(request),
        std::make_unique<AttemptSink>(shared_from_this(), order.number, order.placement.target.incarnation()));
}

void Relay::cancel() { m_tools.client.cancel(m_transfer); }

void Relay::closeIfWanted(std::vector<net::Field>& fields) const
{
    if (m_tools.state.wantsClose())
        fields.push_back({ "Connection", "close" });
}

void Relay::startStream(int status, const std::vector<net::Field>& relayed)
{
    m_tools.metrics.firstEvent(m_flow.record().firstEventAfter, m_flow.record().firstEventError);
    std::vector<net::Field> fields = relayed;
    closeIfWanted(fields);
    m_order.exchange->startStream(status, std::move(fields));
}

void Relay::write(std::string_view bytes)
{
    ++m_tools.state.piecesRelayed;
    m_order.exchange->write(bytes);
}

void Relay::finish() { m_order.exchange->finish(); }

void Relay::abort() { m_order.exchange->abort(); }

void Relay::respond(const TargetAnswerHead& head, std::string body)
{
    sendAnswer({ head.status, head.relayed, std::move(body) });
}

void Relay::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    if (retryAfter)
        m_tools.metrics.refusal(m_flow.record().refusal.reason);
    sendAnswer(m_tools.callers.refusal(status, reason, retryAfter));
}

void Relay::sendAnswer(net::ServerResponse response)
{
    closeIfWanted(response.headers);
    m_order.exchange->respond(std::move(response));
}

void Relay::conclude()
{
    m_isConcluded = true;
    --m_tools.state.activeRequests;
    if (m_timerAt)
        m_tools.timers.remove(m_timer);
    const relay::FlowRecord& record = m_flow.record();
    const Duration lasted = steadyNow() - m_order.arrived;
    const news::Knowledge known = m_tools.state.knowledge();
    const dispatch::Admission& admission = admissionOf(record);
    m_tools.metrics.request(m_order.route->name, record.status, lasted);
    process::log(process::LogLevel::Info, "request",
        { { "id", m_order.facts.id }, { "key", quarantine::toHex(m_key) }, { "route", m_order.route->name },
            { "customer", m_order.customer.value }, { "caller", m_order.exchange->request().peerAddress },
            { "service", m_order.service.value }, { "config", std::to_string(m_order.table->config().version) },
            { "status", std::to_string(record.status) }, { "outcome", record.outcome },
            { "attempts", record.trace.empty() ? "none" : record.trace.substr(1) }, { "ms", milliseconds(lasted) },
            { "first-ms", milliseconds(record.firstEventAfter) },
            { "predicted-ms", milliseconds(record.placement.predictedFirstEventDelay) },
            { "read-tokens", std::to_string(record.placement.prefillTokens) },
            { "prompt-tokens", std::to_string(m_order.facts.prompt.inputTokens) },
            { "answer-tokens", std::to_string(m_order.facts.prompt.maxOutputTokens) },
            { "wait-ms", milliseconds(admission.wait) }, { "allowed-ms", milliseconds(admission.allowed) },
            { "share-percent", std::to_string(static_cast<int>(admission.share * percent)) },
            { "far-above", admission.isFarAbove ? "yes" : "no" },
            { "size-helped", admission.isSizeBoosted ? "yes" : "no" },
            { "sums-age-ms", admission.oldestReportAge ? milliseconds(*admission.oldestReportAge) : "none" },
            { "come-back-ms", milliseconds(record.refusal.retryAfter) },
            { "targets-offset", std::to_string(known.targetsNext) },
            { "known-ms", milliseconds(unsuspendedNow() - news::knownUntil(known).value_or(TimePoint {})) } });
}

} // namespace sagechute::edge
