#include "EngineService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace sagechute::standin {
namespace {

    using nlohmann::json;

    constexpr std::string_view requestsPrefix = "/v1/requests/";
    constexpr std::uint64_t mostTokens = 1'000'000;
    constexpr std::size_t mostEventsInAnswer = 1000;
    constexpr std::uint64_t longestWaitMs = 60'000;

    absl::Status badRequest(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, message, remedy);
    }

    std::optional<std::uint64_t> toNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::uint64_t queryNumber(const net::ServerRequest& request, std::string_view name)
    {
        return toNumber(net::findField(request.query, name).value_or("")).value_or(0);
    }

    bool wantsStream(const net::ServerRequest& request)
    {
        const auto accept = net::findField(request.headers, "Accept");
        return accept && accept->find("text/event-stream") != std::string_view::npos;
    }

    /// Reads the prompt and the length wanted into @p request.
    absl::Status readBody(const std::string& body, EngineRequest& request)
    {
        auto document = parseJsonStrictly(body);
        if (!document.ok())
            return document.status();
        const bool sound = document->is_object() && document->contains("prompt") && (*document)["prompt"].is_string()
            && document->contains("maxTokens") && (*document)["maxTokens"].is_number_unsigned();
        if (!sound)
            return badRequest("the body is not a request", R"(send {"prompt":TEXT,"maxTokens":N})");
        request.prompt = std::move((*document)["prompt"].get_ref<std::string&>());
        request.maxTokens = (*document)["maxTokens"];
        if (request.maxTokens < 1 || request.maxTokens > mostTokens)
            return badRequest("maxTokens is out of range", "ask for 1 to " + std::to_string(mostTokens) + " tokens");
        return absl::OkStatus();
    }

    absl::StatusOr<Order> readOrder(const std::string& body)
    {
        const auto document = parseJsonStrictly(body);
        if (!document.ok())
            return document.status();
        const bool sound = document->is_object() && document->contains("fencing")
            && (*document)["fencing"].is_number_unsigned() && document->contains("order");
        if (!sound)
            return badRequest("the body is not an order", R"(send {"fencing":OFFSET,"order":"load","model":NAME})");
        Order order;
        order.fencing = (*document)["fencing"];
        const auto read = [&](const char* name, std::string& out) {
            const auto it = document->find(name);
            if (it != document->end() && it->is_string())
                out = it->get<std::string>();
        };
        read("order", order.order);
        read("model", order.model);
        read("version", order.version);
        read("role", order.role);
        return order;
    }

    json eventsDocument(const std::vector<CacheEvent>& events, std::uint64_t from)
    {
        json list = json::array();
        for (const CacheEvent& event : events)
            list.push_back({ { "seq", event.sequence }, { "kind", event.stored ? "stored" : "evicted" },
                { "prefix", event.prefix } });
        const std::uint64_t next = events.empty() ? from : events.back().sequence + 1;
        return { { "events", std::move(list) }, { "next", next } };
    }

} // namespace

absl::StatusOr<std::unique_ptr<EngineService>> EngineService::make(const EngineServiceOptions& options)
{
    auto loader = WeightLoader::make(options.weights);
    if (!loader.ok())
        return loader.status();
    return std::unique_ptr<EngineService>(new EngineService(options, std::move(*loader)));
}

EngineService::EngineService(const EngineServiceOptions& options, std::unique_ptr<WeightLoader> loader)
    : TargetService(true)
    , m_options(options)
    , m_model(options.engine, steadyNow())
    , m_desk(options.checkFencing, options.initial)
    , m_loader(std::move(loader))
    , m_loop([this](TimePoint now) { return turn(now); })
{
}

const std::vector<EngineService::Route>& EngineService::routes()
{
    static const std::vector<Route> table {
        { "POST", "/v1/generate", &EngineService::generate },
        { "DELETE", requestsPrefix, &EngineService::cancel },
        { "GET", "/v1/load", &EngineService::load },
        { "GET", "/v1/cache-events", &EngineService::cacheEvents },
        { "POST", "/v1/orders", &EngineService::order },
        { "GET", "/v1/state", &EngineService::state },
    };
    return table;
}

bool EngineService::onHandle(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    for (const Route& route : routes()) {
        const bool found
            = route.path.ends_with('/') ? request.path.starts_with(route.path) : request.path == route.path;
        if (!found || route.method != request.method)
            continue;
        (this->*route.handler)(exchange);
        return true;
    }
    return false;
}

const Ledger& EngineService::onLedger(TimePoint now)
{
    m_model.advance(now);
    return m_model.ledger();
}

TargetService::Capacity EngineService::onCapacity() { return { m_options.engine.slots, m_model.waiting() }; }

void EngineService::generate(const Exchange& exchange)
{
    const net::ServerRequest& http = exchange->request();
    const std::optional<std::string> id = requestIdOf(http);
    EngineRequest request;
    absl::Status status = readBody(http.body, request);
    if (!id)
        status = badRequest("Sagechute-Request-Id is not plain text", "send up to 200 printable characters");
    const std::string resumeFrom = headerOf(http, "Sagechute-Resume-From");
    const std::optional<std::uint64_t> from = toNumber(resumeFrom);
    if (!resumeFrom.empty() && !from)
        status = badRequest("Sagechute-Resume-From is not a position", "send the position of the next token");
    if (!status.ok()) {
        exchange->respond(net::errorResponse(status));
        return;
    }
    if (from) {
        resume(exchange, *id, *from, wantsStream(http));
        return;
    }
    request.requestId = *id;
    request.callerTag = headerOf(http, "Sagechute-Caller-Tag");
    request.customer = headerOf(http, "Sagechute-Customer");
    submit(exchange, std::move(request), wantsStream(http));
}

void EngineService::submit(const Exchange& exchange, EngineRequest request, bool streamed)
{
    DeliveryId id;
    Fault fault;
    bool loading = false;
    {
        const std::lock_guard lock(m_mutex);
        loading = m_desk.state().loading;
        if (!loading)
            fault = m_faults.take(streamed);
        if (!loading && fault.kind != FaultKind::Refuse) {
            if (fault.kind == FaultKind::Slow)
                request.slowBy = fault.delay;
            AnswerPlan answer = plan(request, fault, streamed);
            const std::string requestId = request.requestId;
            const TimePoint now = steadyNow();
            id = { m_model.submit(std::move(request), now), ++m_lastSerial };
            m_lastAsked = { requestId, m_model.run(id.run)->prompt };
            m_inbox.arrivals.push_back(std::make_unique<Delivery>(id, exchange, std::move(answer), now));
        }
    }
    if (loading) {
        auto response = net::errorResponse(
            makeError(ErrorKind::NoTarget, "the engine is loading a model", "try again when it has been loaded"));
        response.headers.push_back({ "Retry-After", "1" });
        exchange->respond(std::move(response));
    } else if (fault.kind == FaultKind::Refuse) {
        refuse(exchange, fault);
    } else {
        deliver(exchange, id);
    }
}

AnswerPlan EngineService::plan(const EngineRequest& request, const Fault& fault, bool streamed)
{
    AnswerPlan plan;
    plan.requestId = request.requestId;
    plan.streamed = streamed;
    plan.mute = fault.kind == FaultKind::Hang;
    plan.dropAtEnd = fault.kind == FaultKind::DropReply;
    if (fault.kind == FaultKind::Late)
        plan.late = fault.delay;
    if (fault.kind == FaultKind::BreakStream)
        plan.breakAt = (request.maxTokens + 1) / 2;
    if (fault.kind != FaultKind::Crossed)
        return plan;
    const bool known = m_lastAsked.prompt && m_lastAsked.requestId != request.requestId;
    plan.requestId = known ? m_lastAsked.requestId : request.requestId + "9";
    plan.otherPrompt = known ? m_lastAsked.prompt : std::make_shared<const std::string>(request.prompt + " of another");
    return plan;
}

void EngineService::resume(const Exchange& exchange, const std::string& requestId, std::uint64_t from, bool streamed)
{
    std::optional<DeliveryId> id;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = steadyNow();
        m_model.advance(now);
        if (const EngineRun* run = m_model.latest(requestId); run && from <= run->usage.outputTokens) {
            id = DeliveryId { run->number, ++m_lastSerial };
            m_model.attach(run->number, now);
            AnswerPlan answer;
            answer.requestId = requestId;
            answer.streamed = streamed;
            answer.from = from;
            m_inbox.arrivals.push_back(std::make_unique<Delivery>(*id, exchange, std::move(answer), now));
        }
    }
    if (id)
        deliver(exchange, *id);
    else
        exchange->respond(net::errorResponse(makeError(
            ErrorKind::NotFound, "no run of that request has come to that position", "send the request anew")));
}

void EngineService::deliver(const Exchange& exchange, DeliveryId id)
{
    // Without the lock: a listener is called at once when the caller has gone already.
    exchange->onDrained([this, id] {
        {
            const std::lock_guard lock(m_mutex);
            m_inbox.drained.push_back(id);
        }
        m_loop.wake();
    });
    exchange->onClosed([this, id] {
        {
            const std::lock_guard lock(m_mutex);
            m_inbox.closed.push_back(id);
        }
        m_loop.wake();
    });
    m_loop.wake();
}

void EngineService::cancel(const Exchange& exchange)
{
    const std::string requestId = exchange->request().path.substr(requestsPrefix.size());
    bool found = false;
    {
        const std::lock_guard lock(m_mutex);
        found = m_model.cancel(requestId, steadyNow());
    }
    if (!found) {
        exchange->respond(net::errorResponse(
            makeError(ErrorKind::NotFound, "no such request is running", "nothing needs to be done")));
        return;
    }
    exchange->respond({ 204, {}, {} });
    m_loop.wake();
}

void EngineService::load(const Exchange& exchange)
{
    LoadReport report;
    const TimePoint now = steadyNow();
    {
        const std::lock_guard lock(m_mutex);
        m_model.advance(now);
        report = m_model.loadReport(now);
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.at);
    exchange->respond(net::jsonResponse(200,
        { { "running", report.running }, { "waiting", report.waiting }, { "slots", m_options.engine.slots },
            { "asOfMs", age.count() } }));
}

void EngineService::cacheEvents(const Exchange& exchange)
{
    const std::uint64_t from = queryNumber(exchange->request(), "from");
    const std::chrono::milliseconds wait(std::min(longestWaitMs, queryNumber(exchange->request(), "wait")));
    {
        const std::lock_guard lock(m_mutex);
        m_waiters.push_back({ exchange, from, steadyNow() + wait });
    }
    m_loop.wake();
}

void EngineService::order(const Exchange& exchange)
{
    const auto order = readOrder(exchange->request().body);
    if (!order.ok()) {
        exchange->respond(net::errorResponse(order.status()));
        return;
    }
    absl::StatusOr<std::optional<WeightLoad>> load;
    std::uint64_t seen = 0;
    {
        const std::lock_guard lock(m_mutex);
        load = m_desk.accept(*order);
        seen = m_desk.state().fencing;
    }
    if (!load.ok()) {
        json document = errorDocument(load.status());
        document["fencing"] = seen;
        exchange->respond(net::jsonResponse(httpStatus(errorKind(load.status())), document));
        return;
    }
    process::log(process::LogLevel::Info, "order-taken",
        { { "order", order->order }, { "fencing", std::to_string(order->fencing) }, { "model", order->model },
            { "version", order->version }, { "role", order->role } });
    if (*load) {
        m_loader->request(**load, [this](const WeightLoad& done) {
            const std::lock_guard lock(m_mutex);
            m_desk.finishLoad(done);
        });
    }
    exchange->respond(net::jsonResponse(202, json::object()));
}

void EngineService::state(const Exchange& exchange)
{
    TargetState state;
    {
        const std::lock_guard lock(m_mutex);
        state = m_desk.state();
    }
    exchange->respond(net::jsonResponse(200,
        { { "model", state.model }, { "version", state.version }, { "role", state.role }, { "fencing", state.fencing },
            { "loading", state.loading } }));
}

std::vector<EngineService::Reply> EngineService::answerWaiters(TimePoint now)
{
    std::vector<Reply> replies;
    std::erase_if(m_waiters, [&](const CacheWaiter& waiter) {
        const auto events = m_model.cacheEvents().read(waiter.from, now, mostEventsInAnswer);
        if (events.empty() && now < waiter.deadline)
            return false;
        replies.push_back({ waiter.exchange, net::jsonResponse(200, eventsDocument(events, waiter.from)) });
        return true;
    });
    return replies;
}

} // namespace sagechute::standin
