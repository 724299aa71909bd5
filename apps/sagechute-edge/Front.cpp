#include "Front.h"

namespace sagechute::edge {

namespace {

    constexpr int badRequest = 400;
    constexpr int unauthenticated = 401;
    constexpr int notFound = 404;
    constexpr int tooLarge = 413;
    constexpr int unavailable = 503;

    /// A router that has just started learns the configuration within about this time.
    constexpr Duration startTime = std::chrono::milliseconds(500);

    /// Another router takes the request at once.
    constexpr Duration stopComeBack = std::chrono::milliseconds(20);

    /// Another router may take it at once; the same one has let its queue shrink.
    constexpr Duration crowdComeBack = std::chrono::milliseconds(150);

    /// @return a number in [0, 1) that is the same wherever this request is decided on.
    double pointOf(const std::string& id) { return static_cast<double>(stableHash(id) >> 11) * 0x1.0p-53; }

} // namespace

void Front::handle(std::shared_ptr<net::ServerExchange> exchange)
{
    RelayOrder order;
    order.arrived = steadyNow();
    if (const std::optional<Verdict> verdict = accept(exchange->request(), order)) {
        reject(*exchange, order, *verdict);
        return;
    }
    order.exchange = std::move(exchange);
    Relay::start(m_tools, std::move(order));
}

std::optional<Front::Verdict> Front::accept(const net::ServerRequest& request, RelayOrder& order)
{
    absl::StatusOr<CallerFacts> facts = m_tools.callers.decode(request);
    if (!facts.ok())
        return Verdict { badRequest, "bad-request", std::nullopt };
    order.facts = std::move(*facts);
    if (m_tools.state.isRefusing)
        return Verdict { unavailable, "stopping", stopComeBack };
    order.table = m_tools.state.table();
    // Without a configuration nobody can say that a route or a key does not exist.
    if (!order.table)
        return Verdict { unavailable, "no-configuration-yet", startTime };
    order.route = order.table->findRoute(order.facts.host, request.rawTarget);
    if (!order.route)
        return denied(notFound, "no-such-route");
    if (!order.route->isPublic && !order.table->config().customers.empty()) {
        const dispatch::Customer* customer = order.table->findCustomer(order.facts.key);
        if (!customer)
            return denied(unauthenticated, "unknown-key");
        order.customer = customer->id;
    }
    if (order.facts.id.empty())
        return Verdict { badRequest, "no-request-id", std::nullopt };
    if (request.body.size() > order.table->config().limits.bodyBytes)
        return Verdict { tooLarge, "body-too-large", std::nullopt };
    if (!m_crowd.takes(order.arrived, order.customer)) {
        ++m_tools.state.requestsCrowdedOut;
        m_tools.state.withDispatcher(
            [&](dispatch::Dispatcher& it) { it.shed(order.arrived, order.customer, order.facts.prompt); });
        return Verdict { unavailable, "router-crowded", crowdComeBack };
    }
    ++m_tools.state.requestsTaken;
    const ServiceId* service = dispatch::RoutingTable::chooseService(*order.route, pointOf(order.facts.id));
    if (!service)
        return Verdict { unavailable, "route-without-service", startTime };
    order.service = *service;
    return std::nullopt;
}

Front::Verdict Front::denied(int status, std::string_view reason) const
{
    const Denial denial = denialOf(status, m_tools.state.isKnowledgeLate);
    return { denial.status, denial.comeBack ? "configuration-may-be-old" : reason, denial.comeBack };
}

void Front::reject(net::ServerExchange& exchange, const RelayOrder& order, const Verdict& verdict) const
{
    net::ServerResponse response = m_tools.callers.refusal(verdict.status, verdict.reason, verdict.comeBack);
    if (m_tools.state.wantsClose())
        response.headers.push_back({ "Connection", "close" });
    exchange.respond(std::move(response));
    const std::string version = order.table ? std::to_string(order.table->config().version) : "none";
    m_tools.metrics.request(order.route ? order.route->name : "none", verdict.status, Duration::zero());
    process::log(process::LogLevel::Info, "request",
        { { "id", order.facts.id }, { "route", order.route ? order.route->name : "none" },
            { "customer", order.customer.value }, { "config", version }, { "status", std::to_string(verdict.status) },
            { "outcome", std::string(verdict.reason) }, { "caller", exchange.request().peerAddress },
            { "prompt-tokens", std::to_string(order.facts.prompt.inputTokens) },
            { "answer-tokens", std::to_string(order.facts.prompt.maxOutputTokens) } });
}

} // namespace sagechute::edge
