#include "CallerGate.h"

#include "CallerHeaders.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::router {

using nlohmann::json;

namespace {

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::string_view requestsSuffix = "/requests";
    constexpr std::chrono::seconds retrySoon { 1 };

    absl::Status unknownKey()
    {
        return makeError(ErrorKind::Unauthenticated, "the request carries no key of a customer",
            "send the customer's key as 'Authorization: Bearer KEY'");
    }

    /// A refusal that certainly ran nothing, before the request got an identity.
    void refuseEarly(net::ServerExchange& exchange, const absl::Status& status)
    {
        json document = errorDocument(status);
        document["outcome"] = toString(Outcome::NotRun);
        net::ServerResponse response = net::jsonResponse(httpStatus(errorKind(status)), document);
        response.headers.push_back({ "Sagechute-Outcome", std::string(toString(Outcome::NotRun)) });
        const bool waitingHelps = response.status == 429 || response.status == 503;
        if (waitingHelps)
            response.headers.push_back({ "Retry-After", std::to_string(retrySoon.count()) });
        exchange.respond(std::move(response));
    }

    /// @return the VMs that own cells of a service's pool, sorted; empty when the service is unknown. Also when its
    /// requests may not be
    /// repeated: those go to the router that holds their session, wherever they arrive.
    std::vector<VmId> ownersOf(const routing::RoutingSnapshot& snapshot, std::string_view name)
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

    /// @return the service's name in ".../services/NAME/requests", or an empty text.
    std::string_view serviceIn(std::string_view path)
    {
        if (!path.starts_with(servicePrefix) || !path.ends_with(requestsSuffix))
            return {};
        const std::size_t length = path.size() - servicePrefix.size();
        return length <= requestsSuffix.size() ? std::string_view {}
                                               : path.substr(servicePrefix.size(), length - requestsSuffix.size());
    }

} // namespace

const CallerGate::NamedRoute CallerGate::routes[] = {
    { "GET", "/v1/locate", &CallerGate::locate },
    { "GET", "/v1/status", &CallerGate::status },
    { "GET", "/healthz", &CallerGate::health },
    { "GET", "/readyz", &CallerGate::ready },
    { "GET", "/metrics", &CallerGate::metrics },
};

CallerGate::CallerGate(const RcuSnapshot& snapshot, Inbox& inbox, StatusBoard& board, const RouterLife& life)
    : m_snapshot(snapshot)
    , m_inbox(inbox)
    , m_board(board)
    , m_life(life)
{
}

void CallerGate::handle(const std::shared_ptr<net::ServerExchange>& exchange)
{
    const net::ServerRequest& request = exchange->request();
    if (const std::string_view service = serviceIn(request.path); !service.empty() && request.method == "POST") {
        take(exchange, service);
        return;
    }
    for (const NamedRoute& it : routes) {
        if (it.path != request.path)
            continue;
        if (it.method == request.method)
            (this->*it.route)(exchange);
        else
            exchange->respond(net::errorResponse(
                makeError(ErrorKind::BadRequest, "this path knows another method", "use " + std::string(it.method))));
        return;
    }
    exchange->respond(net::errorResponse(
        makeError(ErrorKind::NotFound, "there is nothing at this path", "see docs/callers.md for the paths")));
}

void CallerGate::take(const std::shared_ptr<net::ServerExchange>& exchange, std::string_view serviceName)
{
    const net::ServerRequest& request = exchange->request();
    CustomerId customer;
    delivery::AdmissionLimits limits;
    config::TargetMode mode = config::TargetMode::Engine;
    {
        const RcuSnapshot::Guard snapshot(m_snapshot);
        const config::Customer* found = snapshot->config->customerByKey(bearerKey(request));
        if (!found) {
            // Without configuration nobody's key is known: that is this router's fault, not the caller's.
            const bool unconfigured = !snapshot->config->offset;
            refuseEarly(*exchange,
                unconfigured ? makeError(ErrorKind::CutOff, snapshot->notReady, "send it to another address")
                             : unknownKey());
            return;
        }
        customer = found->name;
        limits = { found->maxConnections, found->maxQueued, found->maxQueuedBytes };
        if (const config::Service* service = snapshot->config->findService(ServiceId { std::string(serviceName) }))
            mode = service->mode;
    }
    auto arrival = readArrival(request, customer, mode);
    if (!arrival.ok()) {
        refuseEarly(*exchange, arrival.status());
        return;
    }
    const auto counters = countersOf(customer);
    if (absl::Status status = counters->enter(limits, request.body.size()); !status.ok()) {
        refuseEarly(*exchange, status);
        return;
    }
    arrival->id = RequestId { m_life, ++m_serial };
    arrival->service.value = serviceName;
    const bool streamed = arrival->streamed && mode == config::TargetMode::Engine;
    auto caller = std::make_shared<CallerRequest>(arrival->id, customer, exchange, counters, streamed);
    m_inbox.push(std::move(*arrival), std::move(caller));
}

void CallerGate::locate(const std::shared_ptr<net::ServerExchange>& exchange)
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
    const std::vector<VmId> owners = service ? ownersOf(*snapshot, *service) : std::vector<VmId> {};
    if (!routers.empty()) {
        const std::size_t turn = serial % routers.size();
        std::rotate(routers.begin(), routers.begin() + static_cast<std::ptrdiff_t>(turn), routers.end());
    }
    const auto prefer = [&routers](const auto& rule) { std::stable_partition(routers.begin(), routers.end(), rule); };
    prefer([&](const auto& it) { return it.life == m_life; }); // It holds the session.
    if (zone)
        prefer([&](const auto& it) { return it.zone.value == *zone; });
    // What arrives at an owner of the service's pool is scheduled there without a message between routers. That
    // outweighs a millisecond between availability zones.
    prefer([&](const auto& it) { return std::binary_search(owners.begin(), owners.end(), it.life.vm); });
    json addresses = json::array();
    for (const routing::LocateEntry& it : routers)
        addresses.push_back({ { "vm", it.life.vm.value }, { "address", it.address }, { "zone", it.zone.value } });
    const double keep = std::chrono::duration<double>(snapshot->config->fleet.locateKeep).count();
    exchange->respond(net::jsonResponse(200,
        { { "addresses", std::move(addresses) }, { "keepSeconds", keep },
            { "session", delivery::makeSession(m_life, serial) } }));
}

void CallerGate::status(const std::shared_ptr<net::ServerExchange>& exchange)
{
    exchange->respond(net::jsonResponse(200, m_board.statusDocument()));
}

void CallerGate::health(const std::shared_ptr<net::ServerExchange>& exchange)
{
    exchange->respond(net::jsonResponse(200, { { "status", "ok" } }));
}

void CallerGate::ready(const std::shared_ptr<net::ServerExchange>& exchange)
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

void CallerGate::metrics(const std::shared_ptr<net::ServerExchange>& exchange)
{
    net::ServerResponse response;
    response.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
    response.body = m_board.exposition();
    exchange->respond(std::move(response));
}

std::shared_ptr<delivery::AdmissionCounters> CallerGate::countersOf(const CustomerId& customer)
{
    std::lock_guard lock(m_countersMutex);
    auto& counters = m_counters[customer];
    if (!counters)
        counters = std::make_shared<delivery::AdmissionCounters>();
    return counters;
}

} // namespace sagechute::router
