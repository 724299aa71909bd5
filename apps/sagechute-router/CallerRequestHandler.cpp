#include "CallerRequestHandler.h"

#include "CallerHeaders.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::router {

using nlohmann::json;

namespace {

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::string_view requestsSuffix = "/requests";
    constexpr std::chrono::seconds retryDelay { 1 };

    absl::Status unknownKey()
    {
        return makeError(ErrorKind::Unauthenticated, "the Authorization header holds no known customer key",
            "send the customer's key as 'Authorization: Bearer KEY'");
    }

    /// Rejects a request before it gets a request id. It has certainly not run at any target.
    void rejectBeforeAdmission(net::ServerExchange& exchange, const absl::Status& status)
    {
        json document = errorDocument(status);
        document["outcome"] = toString(Outcome::NotRun);
        net::ServerResponse response = net::jsonResponse(httpStatus(errorKind(status)), document);
        response.headers.push_back({ "Sagechute-Outcome", std::string(toString(Outcome::NotRun)) });
        const bool retryable = response.status == 429 || response.status == 503;
        if (retryable)
            response.headers.push_back({ "Retry-After", std::to_string(retryDelay.count()) });
        exchange.respond(std::move(response));
    }

    /// @return the VMs that own cells of a service's pool, sorted. Empty if the service is unknown or its requests are
    /// not repeatable: those are forwarded to the router that holds their session, wherever they arrive.
    std::vector<VmId> ownerVms(const routing::RoutingSnapshot& snapshot, std::string_view name)
    {
        const config::Service* service = snapshot.config->findService(ServiceId { std::string(name) });
        if (!service || !service->repeatable)
            return {};
        for (const routing::PoolOwners& it : snapshot.poolOwners) {
            if (it.pool == service->pool)
                return it.owners;
        }
        return {};
    }

    /// @return NAME from "/v1/services/NAME/requests", or an empty string for other paths.
    std::string_view serviceFromPath(std::string_view path)
    {
        if (!path.starts_with(servicePrefix) || !path.ends_with(requestsSuffix))
            return {};
        const std::size_t length = path.size() - servicePrefix.size();
        return length <= requestsSuffix.size() ? std::string_view {}
                                               : path.substr(servicePrefix.size(), length - requestsSuffix.size());
    }

} // namespace

const CallerRequestHandler::NamedRoute CallerRequestHandler::routes[] = {
    { "GET", "/v1/locate", &CallerRequestHandler::locate },
    { "GET", "/v1/status", &CallerRequestHandler::status },
    { "GET", "/healthz", &CallerRequestHandler::health },
    { "GET", "/readyz", &CallerRequestHandler::ready },
    { "GET", "/metrics", &CallerRequestHandler::metrics },
};

CallerRequestHandler::CallerRequestHandler(
    const RcuSnapshot& snapshot, EventQueue& eventQueue, StatusExporter& statusExporter, const RouterLife& life)
    : m_snapshot(snapshot)
    , m_eventQueue(eventQueue)
    , m_statusExporter(statusExporter)
    , m_life(life)
{
}

void CallerRequestHandler::handle(const std::shared_ptr<net::ServerExchange>& exchange)
{
    const net::ServerRequest& request = exchange->request();
    if (const std::string_view service = serviceFromPath(request.path); !service.empty() && request.method == "POST") {
        admit(exchange, service);
        return;
    }
    for (const NamedRoute& it : routes) {
        if (it.path != request.path)
            continue;
        if (it.method == request.method)
            (this->*it.route)(exchange);
        else
            exchange->respond(net::errorResponse(makeError(ErrorKind::BadRequest,
                "this path does not support the request's method", "use " + std::string(it.method))));
        return;
    }
    exchange->respond(net::errorResponse(
        makeError(ErrorKind::NotFound, "no route matches this path", "see docs/callers.md for the paths")));
}

void CallerRequestHandler::admit(const std::shared_ptr<net::ServerExchange>& exchange, std::string_view serviceName)
{
    const net::ServerRequest& request = exchange->request();
    CustomerId customer;
    delivery::AdmissionLimits limits;
    config::TargetMode mode = config::TargetMode::Engine;
    {
        const RcuSnapshot::Guard snapshot(m_snapshot);
        const config::Customer* found = snapshot->config->customerByKey(bearerKey(request));
        if (!found) {
            // Before the configuration is loaded no key is known, so the failure is this router's and not the caller's.
            const bool noConfiguration = !snapshot->config->offset;
            rejectBeforeAdmission(*exchange,
                noConfiguration ? makeError(ErrorKind::CutOff, snapshot->notReady, "send it to another address")
                                : unknownKey());
            return;
        }
        customer = found->name;
        limits = { found->maxConnections, found->maxQueued, found->maxQueuedBytes };
        if (const config::Service* service = snapshot->config->findService(ServiceId { std::string(serviceName) }))
            mode = service->mode;
    }
    if (request.isBodyDropped) {
        rejectBeforeAdmission(*exchange,
            makeError(ErrorKind::QueueFull, "no memory is left for the request's body",
                "send it again after Retry-After seconds, or to another address"));
        return;
    }
    auto arrival = readArrival(request, customer, mode);
    if (!arrival.ok()) {
        rejectBeforeAdmission(*exchange, arrival.status());
        return;
    }
    const auto counters = countersFor(customer);
    if (absl::Status status = counters->enter(limits, request.body.size()); !status.ok()) {
        rejectBeforeAdmission(*exchange, status);
        return;
    }
    arrival->id = RequestId { m_life, ++m_requestSerial };
    arrival->service.value = serviceName;
    const bool streamed = arrival->streamed && mode == config::TargetMode::Engine;
    auto caller = std::make_shared<CallerRequest>(arrival->id, customer, exchange, counters, streamed);
    m_eventQueue.push(std::move(*arrival), std::move(caller));
}

void CallerRequestHandler::locate(const std::shared_ptr<net::ServerExchange>& exchange)
{
    const auto zone = net::findField(exchange->request().query, "zone");
    const RcuSnapshot::Guard snapshot(m_snapshot);
    if (!snapshot->config->customerByKey(bearerKey(exchange->request()))) {
        exchange->respond(net::errorResponse(unknownKey()));
        return;
    }
    std::vector<routing::LocateEntry> routers = snapshot->routers;
    const std::uint64_t serial = ++m_sessionSerial;
    const auto service = net::findField(exchange->request().query, "service");
    const std::vector<VmId> owners = service ? ownerVms(*snapshot, *service) : std::vector<VmId> {};
    if (!routers.empty()) {
        const std::size_t rotation = serial % routers.size();
        std::rotate(routers.begin(), routers.begin() + static_cast<std::ptrdiff_t>(rotation), routers.end());
    }
    const auto prefer = [&routers](const auto& rule) { std::stable_partition(routers.begin(), routers.end(), rule); };
    prefer([&](const auto& it) { return it.life == m_life; }); // This router holds the new session.
    if (zone)
        prefer([&](const auto& it) { return it.zone.value == *zone; });
    // A router that owns cells of the service's pool schedules the request without a message to another router. That
    // saves more than the millisecond that crossing availability zones costs.
    prefer([&](const auto& it) { return std::binary_search(owners.begin(), owners.end(), it.life.vm); });
    json addresses = json::array();
    for (const routing::LocateEntry& it : routers)
        addresses.push_back({ { "vm", it.life.vm.value }, { "address", it.address }, { "zone", it.zone.value } });
    const double keep = std::chrono::duration<double>(snapshot->config->fleet.locateKeep).count();
    exchange->respond(net::jsonResponse(200,
        { { "addresses", std::move(addresses) }, { "keepSeconds", keep },
            { "session", delivery::makeSession(m_life, serial) } }));
}

void CallerRequestHandler::status(const std::shared_ptr<net::ServerExchange>& exchange)
{
    exchange->respond(net::jsonResponse(200, m_statusExporter.statusDocument()));
}

void CallerRequestHandler::health(const std::shared_ptr<net::ServerExchange>& exchange)
{
    exchange->respond(net::jsonResponse(200, { { "status", "ok" } }));
}

void CallerRequestHandler::ready(const std::shared_ptr<net::ServerExchange>& exchange)
{
    std::string reason;
    {
        const RcuSnapshot::Guard snapshot(m_snapshot);
        reason = snapshot->draining ? "this router is draining" : snapshot->notReady;
    }
    if (reason.empty())
        exchange->respond(net::jsonResponse(200, { { "status", "ready" } }));
    else
        exchange->respond(net::jsonResponse(503, { { "status", "not-ready" }, { "reason", reason } }));
}

void CallerRequestHandler::metrics(const std::shared_ptr<net::ServerExchange>& exchange)
{
    net::ServerResponse response;
    response.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
    response.body = m_statusExporter.exposition();
    exchange->respond(std::move(response));
}

std::shared_ptr<delivery::AdmissionCounters> CallerRequestHandler::countersFor(const CustomerId& customer)
{
    std::lock_guard lock(m_countersMutex);
    auto& counters = m_counters[customer];
    if (!counters)
        counters = std::make_shared<delivery::AdmissionCounters>();
    return counters;
}

} // namespace sagechute::router
