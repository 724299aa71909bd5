#include "Listeners.h"

#include "PeerState.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::edge {

namespace {

    using ExchangePointer = std::shared_ptr<net::ServerExchange>;

    constexpr int okStatus = 200;
    constexpr int notFound = 404;
    constexpr int unavailable = 503;

    constexpr std::string_view quarantinePath = "/v1/quarantine";

    /// Callers' idle connections stay open for longer than callers use them again: the deployments' limit is 15 s, and
    /// a request that crosses a close is a failure.
    constexpr std::chrono::seconds callerIdle { 75 };
    constexpr std::chrono::seconds otherIdle { 30 };

    /// Most answers of "which address" are kept for so long; a router that dies stays in them.
    constexpr std::chrono::seconds locateKept { 2 };

    constexpr std::size_t mostCallerBody = 8 << 20;
    constexpr std::size_t mostOtherBody = 64 << 10;

    /// Callers' idle connections stay open for a little longer than callers use them again.
    constexpr std::chrono::seconds idleMargin { 2 };
    constexpr unsigned mostOtherConnections = 200;

    net::ServerResponse plain(int status, std::string body = {})
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(body) };
    }

    /// @return an age for people and tests, null where nothing is known.
    nlohmann::json ageMs(std::optional<Duration> age)
    {
        return age ? nlohmann::json(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : nullptr;
    }

    /// @param callerConnections 0: not for callers.
    absl::StatusOr<std::unique_ptr<net::HttpServer>> listen(
        net::EventLoop& loop, const std::string& address, unsigned callerConnections, net::HttpServer::Handler handler)
    {
        const auto endpoint = net::parseEndpoint(address);
        if (!endpoint.ok())
            return endpoint.status();
        net::ServerOptions options;
        options.listen = *endpoint;
        options.loop = &loop;
        options.maxBodyBytes = callerConnections ? mostCallerBody : mostOtherBody;
        options.maxConnections = callerConnections ? callerConnections : mostOtherConnections;
        options.idleTimeout = callerConnections ? callerIdle : otherIdle;
        return net::HttpServer::make(options, std::move(handler));
    }

} // namespace

absl::StatusOr<std::unique_ptr<Listeners>> Listeners::make(const Options& options, const ListenerTools& tools)
{
    std::unique_ptr<Listeners> listeners(new Listeners(tools));
    if (absl::Status status = listeners->open(options); !status.ok())
        return status;
    return listeners;
}

absl::Status Listeners::open(const Options& options)
{
    struct Listener {
        std::unique_ptr<net::HttpServer>& server;
        std::string address;
        net::HttpServer::Handler handler;
    };
    const std::chrono::seconds kept
        = std::min(locateKept, std::chrono::seconds(static_cast<int>(options.locateKeptSeconds)));
    const unsigned mostConnections = options.mostCallerConnections();
    const std::vector<Listener> all {
        { m_callers, options.callersListen, [this](const ExchangePointer& it) { m_tools.front.handle(it); } },
        { m_readiness, options.readinessListen, [this](const ExchangePointer& it) { handleReadiness(*it); } },
        { m_control, options.controlListen, [this](const ExchangePointer& it) { handleControl(*it); } },
        { m_locate, options.locateListen, [this, kept](const ExchangePointer& it) { handleLocate(*it, kept); } },
        { m_metrics, options.at(options.metricsPort()), [this](const ExchangePointer& it) { handleControl(*it); } },
    };
    for (const Listener& it : all) {
        auto server = listen(m_tools.loop, it.address, &it.server == &m_callers ? mostConnections : 0, it.handler);
        if (!server.ok())
            return server.status();
        it.server = std::move(*server);
    }
    return absl::OkStatus();
}

void Listeners::followLimits()
{
    const auto table = m_tools.state.table();
    if (table)
        m_callers->setIdleTimeout(std::chrono::ceil<std::chrono::seconds>(table->config().limits.idle) + idleMargin);
    const RouterWork work { m_tools.loop.busyTime(), m_tools.state.requestsTaken, m_tools.state.requestsCrowdedOut,
        m_tools.state.piecesRelayed };
    const TimePoint now = steadyNow();
    m_tools.crowd.measure(now, work, m_callers->openConnections());
    m_tools.state.isCrowded = m_tools.crowd.isCrowded();
    m_tools.state.usePercent = m_tools.crowd.usePercent();
    const bool wasOpen = m_readinessGate.isOpen();
    m_readinessGate.measure(now, m_tools.crowd.usePercent(), m_tools.fleet.meanUsePercent(now));
    if (m_readinessGate.isOpen() != wasOpen)
        process::log(process::LogLevel::Warning, wasOpen ? "not-ready-for-load" : "ready-again",
            { { "use-percent", std::to_string(m_tools.crowd.usePercent()) },
                { "fleet-percent", std::to_string(m_tools.fleet.meanUsePercent(now)) } });
}

void Listeners::handleReadiness(net::ServerExchange& exchange)
{
    if (!m_tools.entry.isReadinessCheck(exchange.request()))
        exchange.respond(plain(notFound));
    else
        exchange.respond(plain(m_tools.state.canServe() && m_readinessGate.isOpen() ? okStatus : unavailable));
}

void Listeners::handleLocate(net::ServerExchange& exchange, std::chrono::seconds kept)
{
    const std::optional<ZoneId> zone = m_tools.entry.decodeLocate(exchange.request());
    if (!zone) {
        exchange.respond(plain(notFound));
        return;
    }
    const std::vector<std::string> addresses
        = m_tools.fleet.entryPoints(steadyNow(), *zone, exchange.request().peerAddress);
    if (m_toldAddresses.exchange(addresses.size()) != addresses.size())
        process::log(process::LogLevel::Info, "addresses-for-callers",
            { { "count", std::to_string(addresses.size()) }, { "zone", zone->value },
                { "caller", exchange.request().peerAddress } });
    if (addresses.empty())
        exchange.respond(plain(unavailable, "no router is ready\n"));
    else
        exchange.respond(m_tools.entry.locateAnswer(addresses, kept));
}

nlohmann::json Listeners::status() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const dispatch::Target& it : m_tools.state.withTargets([](const auto& it) { return it.targets(); }))
        targets.push_back({ { "id", it.id.value }, { "service", it.service.value }, { "address", it.address },
            { "born", it.startedAtMs }, { "zone", it.zone.value }, { "draining", it.draining } });
    nlohmann::json peers = nlohmann::json::array();
    for (const Peer& it : m_tools.fleet.peers(steadyNow()))
        peers.push_back({ { "vm", it.vm.value }, { "zone", it.zone.value }, { "ready", it.isReady },
            { "configVersion", it.knowledge.configVersion }, { "configAgeMs", ageMs(it.knowledge.configAge) },
            { "targetsAgeMs", ageMs(it.knowledge.targetsAge) }, { "readAgeMs", ageMs(it.knowledge.readAge) } });
    const news::ToldKnowledge told = m_tools.state.told();
    return { { "vm", m_tools.state.vm.value }, { "configVersion", m_tools.state.configVersion() },
        { "canServe", m_tools.state.canServe() }, { "readyForLoad", m_readinessGate.isOpen() },
        { "usePercent", m_tools.state.usePercent.load() }, { "configAgeMs", ageMs(told.configAge) },
        { "targetsAgeMs", ageMs(told.targetsAge) }, { "readAgeMs", ageMs(told.readAge) },
        { "activeRequests", m_tools.state.activeRequests.load() }, { "droppedLogLines", process::droppedLogLines() },
        { "targets", std::move(targets) }, { "peers", std::move(peers) } };
}

void Listeners::handleQuarantine(net::ServerExchange& exchange)
{
    const std::string_view name = std::string_view(exchange.request().path).substr(quarantinePath.size());
    if (exchange.request().method == "GET" && name.empty()) {
        exchange.respond(net::jsonResponse(okStatus, crashCases()));
        return;
    }
    const auto key = name.starts_with('/') ? quarantine::requestKeyFromHex(name.substr(1)) : std::nullopt;
    const bool isReleased = key && exchange.request().method == "DELETE"
        && m_tools.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.crashes().release(*key); });
    exchange.respond(plain(isReleased ? okStatus : notFound));
}

nlohmann::json Listeners::crashCases() const
{
    nlohmann::json requests = nlohmann::json::array();
    for (const quarantine::CrashCase& it :
        m_tools.state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().cases(); }))
        requests.push_back({ { "key", quarantine::toHex(it.request) }, { "targetEnds", it.targets.size() },
            { "quarantined", it.isQuarantined() } });
    return { { "requests", std::move(requests) } };
}

void Listeners::handleControl(net::ServerExchange& exchange)
{
    const std::string& path = exchange.request().path;
    if (path == peerStatePath) {
        const PeerState state = peerStateFor(m_tools.state, decodePeerStateRequest(exchange.request().query));
        exchange.respond({ okStatus, { { "Content-Type", "application/cbor" } }, encode(state) });
    } else if (path == "/metrics") {
        exchange.respond(plain(okStatus, m_tools.metrics.exposition()));
    } else if (path == "/v1/status") {
        exchange.respond(net::jsonResponse(okStatus, status()));
    } else if (path.starts_with(quarantinePath)) {
        handleQuarantine(exchange);
    } else if (path == "/healthz") {
        exchange.respond(plain(okStatus));
    } else if (path == "/readyz") {
        exchange.respond(plain(m_tools.state.canServe() ? okStatus : unavailable));
    } else {
        exchange.respond(plain(notFound));
    }
}

} // namespace sagechute::edge
