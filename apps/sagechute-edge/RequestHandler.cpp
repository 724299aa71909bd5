#include "RequestHandler.h"

namespace sagechute::edge {

namespace {

    constexpr int badRequest = 400;
    constexpr int unauthenticated = 401;
    constexpr int notFound = 404;
    constexpr int tooLarge = 413;
    constexpr int unavailable = 503;

    /// A router that has just started receives the configuration within about this time.
    constexpr Duration startupRetryAfter = std::chrono::milliseconds(500);

    /// Another router can accept the request at once.
    constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(20);

    /// Another router may accept the request at once; by then this one has worked off part of its queue.
    constexpr Duration overloadRetryAfter = std::chrono::milliseconds(150);

    /// @return a number in [0, 1) for a request's identity, the same on every router.
    double hashToUnitInterval(const std::string& id) { return static_cast<double>(stableHash(id) >> 11) * 0x1.0p-53; }

} // namespace

void RequestHandler::handle(std::shared_ptr<net::ServerExchange> exchange)
{
    RelayOrder order;
    order.arrived = steadyNow();
    if (const std::optional<Verdict> verdict = accept(exchange->request(), order)) {
        reject(*exchange, order, *verdict);
        return;
    }
    order.exchange = std::move(exchange);
    Relay::start(m_context, std::move(order));
}

std::optional<RequestHandler::Verdict> RequestHandler::accept(const net::ServerRequest& request, RelayOrder& order)
{
    absl::StatusOr<CallerInfo> facts = m_context.callerProtocol.decode(request);
    if (!facts.ok())
        return Verdict { badRequest, "bad-request", std::nullopt };
    order.facts = std::move(*facts);
    if (m_context.state.isRejectingRequests)
        return Verdict { unavailable, "stopping", stoppingRetryAfter };
    order.table = m_context.state.table();
    // Without a configuration the router cannot know that a route or a key does not exist.
    if (!order.table)
        return Verdict { unavailable, "no-configuration-yet", startupRetryAfter };
    order.route = order.table->findRoute(order.facts.host, request.rawTarget);
    if (!order.route)
        return denialVerdict(notFound, "no-such-route");
    if (!order.route->isPublic && !order.table->config().customers.empty()) {
        const dispatch::Customer* customer = order.table->findCustomer(order.facts.key);
        if (!customer)
            return denialVerdict(unauthenticated, "unknown-key");
        order.customer = customer->id;
    }
    if (order.facts.id.empty())
        return Verdict { badRequest, "no-request-id", std::nullopt };
    if (request.body.size() > order.table->config().limits.bodyBytes)
        return Verdict { tooLarge, "body-too-large", std::nullopt };
    if (request.isBodyDropped)
        return Verdict { unavailable, "no-memory-for-body", overloadRetryAfter };
    if (!m_overloadMeter.admit(order.arrived, order.customer)) {
        ++m_context.state.requestsShed;
        m_context.state.withDispatcher(
            [&](dispatch::Dispatcher& it) { it.shed(order.arrived, order.customer, order.facts.prompt); });
        return Verdict { unavailable, "router-crowded", overloadRetryAfter };
    }
    ++m_context.state.requestsAccepted;
    const ServiceId* service = dispatch::RoutingTable::chooseService(*order.route, hashToUnitInterval(order.facts.id));
    if (!service)
        return Verdict { unavailable, "route-without-service", startupRetryAfter };
    order.service = *service;
    return std::nullopt;
}

RequestHandler::Verdict RequestHandler::denialVerdict(int status, std::string_view reason) const
{
    const Denial denial = denialOf(status, m_context.state.isKnowledgeStale);
    return { denial.status, denial.comeBack ? "configuration-may-be-old" : reason, denial.comeBack };
}

void RequestHandler::reject(net::ServerExchange& exchange, const RelayOrder& order, const Verdict& verdict) const
{
    net::ServerResponse response = m_context.callerProtocol.refusal(verdict.status, verdict.reason, verdict.retryAfter);
    if (m_context.state.shouldCloseConnections())
        response.headers.push_back({ "Connection", "close" });
    exchange.respond(std::move(response));
    const std::string version = order.table ? std::to_string(order.table->config().version) : "none";
    m_context.metrics.recordRequest(order.route ? order.route->name : "none", verdict.status, Duration::zero());
    process::log(process::LogLevel::Info, "request",
        { { "id", order.facts.id }, { "route", order.route ? order.route->name : "none" },
            { "customer", order.customer.value }, { "config", version }, { "status", std::to_string(verdict.status) },
            { "outcome", std::string(verdict.reason) }, { "caller", exchange.request().peerAddress },
            { "prompt-tokens", std::to_string(order.facts.prompt.inputTokens) },
            { "answer-tokens", std::to_string(order.facts.prompt.maxOutputTokens) } });
}

} // namespace sagechute::edge
