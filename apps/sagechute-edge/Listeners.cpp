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
    constexpr std::string_view partsPath = "/parts"; ///< Below quarantinePath.

    /// After a release that the store has not accepted.
    constexpr std::chrono::seconds releaseRetryTime { 2 };

    /// Callers' idle connections stay open for longer than callers reuse them, 15 s in the deployments: a request that
    /// is sent while the router closes its connection fails.
    constexpr std::chrono::seconds callerIdleTimeout { 75 };
    constexpr std::chrono::seconds internalIdleTimeout { 30 };

    /// Limit on how long callers may cache a lookup of router addresses: a router that has died stays in cached
    /// answers.
    constexpr std::chrono::seconds maxLocateCacheTime { 2 };

    constexpr std::size_t maxCallerBodyBytes = 8 << 20;
    constexpr std::size_t maxInternalBodyBytes = 64 << 10;

    /// Added to the configured time for which callers reuse idle connections, so that the router keeps them open for
    /// longer than that.
    constexpr std::chrono::seconds idleTimeoutMargin { 2 };

    net::ServerResponse textResponse(int status, std::string body = {})
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(body) };
    }

    /// @param status whether the store holds an operator's release.
    net::ServerResponse releaseResponse(const absl::Status& status)
    {
        if (status.ok())
            return textResponse(okStatus);
        net::ServerResponse response
            = textResponse(unavailable, std::string(status.message()) + "; " + errorRemedy(status) + "\n");
        response.headers.push_back({ "Retry-After", std::to_string(releaseRetryTime.count()) });
        return response;
    }

    /// @return the age in milliseconds, or null if unknown.
    nlohmann::json ageMs(std::optional<Duration> age)
    {
        return age ? nlohmann::json(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : nullptr;
    }

    /// @return the time of day in milliseconds since the epoch. @param at on the clock of unsuspendedNow().
    std::int64_t wallClockMs(TimePoint at)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - (unsuspendedNow() - at)).count();
    }

    absl::StatusOr<std::unique_ptr<net::HttpServer>> listen(
        net::ServerOptions options, const std::string& address, net::HttpServer::Handler handler)
    {
        const auto endpoint = net::parseEndpoint(address);
        if (!endpoint.ok())
            return endpoint.status();
        options.listen = *endpoint;
        return net::HttpServer::make(options, std::move(handler));
    }

} // namespace

absl::StatusOr<std::unique_ptr<Listeners>> Listeners::make(const Options& options, const ListenerContext& context)
{
    std::unique_ptr<Listeners> listeners(new Listeners(context));
    if (absl::Status status = listeners->open(options); !status.ok())
        return status;
    return listeners;
}

absl::Status Listeners::open(const Options& options)
{
    struct Listener {
        std::unique_ptr<net::HttpServer>& server;
        std::string address;
        net::ServerOptions options;
        net::HttpServer::Handler handler;
    };
    const std::chrono::seconds cacheTime
        = std::min(maxLocateCacheTime, std::chrono::seconds(static_cast<int>(options.locateKeptSeconds)));
    net::ServerOptions callers = options.callerLimits();
    callers.loop = &m_context.loop;
    callers.maxBodyBytes = maxCallerBodyBytes;
    callers.idleTimeout = callerIdleTimeout;
    callers.onClose = [this](const net::ClosedConnection& closed) { reportClosed(closed); };
    const auto notForRequests = [this](net::ServerOptions limits) {
        limits.loop = &m_context.loop;
        limits.maxBodyBytes = maxInternalBodyBytes;
        limits.idleTimeout = internalIdleTimeout;
        return limits;
    };
    const net::ServerOptions locate = notForRequests(options.locateLimits());
    const std::vector<Listener> all {
        { m_callers, options.callersListen, callers,
            [this](const ExchangePointer& it) { m_context.requestHandler.handle(it); } },
        { m_readiness, options.readinessListen, notForRequests(options.internalLimits()),
            [this](const ExchangePointer& it) { handleReadiness(*it); } },
        { m_control, options.controlListen, notForRequests(options.controlLimits()),
            [this](const ExchangePointer& it) { handleControl(it); } },
        { m_locate, options.locateListen, locate,
            [this, cacheTime](const ExchangePointer& it) { handleLocate(*it, cacheTime); } },
        { m_metrics, options.endpointFor(options.metricsPort()), notForRequests(options.internalLimits()),
            [this](const ExchangePointer& it) { handleControl(it); } },
    };
    for (const Listener& it : all) {
        auto server = listen(it.options, it.address, it.handler);
        if (!server.ok())
            return server.status();
        it.server = std::move(*server);
    }
    return absl::OkStatus();
}

void Listeners::updateLimits()
{
    const auto table = m_context.state.table();
    if (table) {
        const auto& limits = table->config().limits;
        m_callers->setIdleTimeout(std::chrono::ceil<std::chrono::seconds>(limits.idle) + idleTimeoutMargin);
        m_callers->setMaxBodyBytes(limits.bodyBytes);
    }
    RouterWork work { m_context.loop.busyTime(), m_context.state.requestsAccepted, m_context.state.requestsShed,
        m_context.state.chunksRelayed };
    const TimePoint now = steadyNow();
    work.stalled = m_context.state.noteRunning();
    m_context.overloadMeter.measure(now, work, m_callers->openConnections());
    m_context.state.shouldShedConnections = m_context.overloadMeter.shouldShedConnections();
    m_context.state.utilizationPercent = m_context.overloadMeter.utilizationPercent();
    const bool wasOpen = m_readinessGate.isOpen();
    m_readinessGate.measure(now, m_context.overloadMeter.utilizationPercent(), m_context.fleet.meanUsePercent(now));
    if (m_readinessGate.isOpen() != wasOpen)
        process::log(process::LogLevel::Warning, wasOpen ? "not-ready-for-load" : "ready-again",
            { { "use-percent", std::to_string(m_context.overloadMeter.utilizationPercent()) },
                { "fleet-percent", std::to_string(m_context.fleet.meanUsePercent(now)) } });
}

void Listeners::reportClosed(const net::ClosedConnection& closed) const
{
    m_context.edgeMetrics.recordClosedConnection(closed);
    const bool isLoss = closed.unanswered || (closed.hasUnreadBytes && closed.reason == net::CloseReason::Idle);
    if (!isLoss || closed.reason == net::CloseReason::CallerEnded)
        return;
    const auto request = closed.unanswered ? m_context.callerProtocol.decode(*closed.unanswered)
                                           : absl::StatusOr<CallerInfo>(CallerInfo {});
    process::log(process::LogLevel::Warning, "caller-connection-closed",
        { { "reason", std::string(toString(closed.reason)) }, { "request", request.ok() ? request->id : "" },
            { "unread-bytes", closed.hasUnreadBytes ? "yes" : "no" },
            { "config-in-force", std::to_string(m_context.state.configVersion()) } });
}

void Listeners::handleReadiness(net::ServerExchange& exchange)
{
    if (!m_context.entryProtocol.isReadinessCheck(exchange.request()))
        exchange.respond(textResponse(notFound));
    else
        exchange.respond(textResponse(m_context.state.canServe() && m_readinessGate.isOpen() ? okStatus : unavailable));
}

void Listeners::handleLocate(net::ServerExchange& exchange, std::chrono::seconds cacheTime)
{
    const std::optional<ZoneId> zone = m_context.entryProtocol.decodeLocate(exchange.request());
    if (!zone) {
        exchange.respond(textResponse(notFound));
        return;
    }
    const std::vector<std::string> addresses
        = m_context.fleet.entryPoints(steadyNow(), *zone, exchange.request().peerAddress);
    if (m_lastAddressCount.exchange(addresses.size()) != addresses.size())
        process::log(process::LogLevel::Info, "addresses-for-callers",
            { { "count", std::to_string(addresses.size()) }, { "zone", zone->value },
                { "caller", exchange.request().peerAddress } });
    if (addresses.empty())
        exchange.respond(textResponse(unavailable, "no router is ready\n"));
    else
        exchange.respond(m_context.entryProtocol.locateResponse(addresses, cacheTime));
}

nlohmann::json Listeners::targetsJson() const
{
    std::map<dispatch::TargetIncarnation, nlohmann::json> readings;
    const TimePoint now = steadyNow();
    for (const dispatch::TargetReading& it :
        m_context.state.withDispatcher([&](const dispatch::Dispatcher& it) { return it.loadReadings(now); })) {
        nlohmann::json reading { { "running", it.load.running }, { "waiting", it.load.waiting },
            { "slots", it.load.slots }, { "ageMs", ageMs(it.age) } };
        if (it.load.pacePercent)
            reading["pacePercent"] = *it.load.pacePercent;
        readings[it.target] = std::move(reading);
    }
    nlohmann::json targets = nlohmann::json::array();
    for (const dispatch::Target& it : m_context.state.withTargets([](const auto& it) { return it.targets(); })) {
        targets.push_back({ { "id", it.id.value }, { "service", it.service.value }, { "address", it.address },
            { "born", it.startedAtMs }, { "zone", it.zone.value }, { "draining", it.draining } });
        if (const auto reading = readings.find(it.incarnation()); reading != readings.end())
            targets.back()["load"] = reading->second;
    }
    return targets;
}

nlohmann::json Listeners::statusJson() const
{
    nlohmann::json coldTargets = nlohmann::json::array();
    const TimePoint now = steadyNow();
    for (const dispatch::ColdTarget& it :
        m_context.state.withDispatcher([&](dispatch::Dispatcher& it) { return it.coldTargets(now); }))
        coldTargets.push_back({ { "id", it.target.id.value }, { "born", it.target.startedAtMs },
            { "leftMs", ageMs(it.left) }, { "slots", it.slots }, { "sent", it.sent } });
    nlohmann::json peers = nlohmann::json::array();
    for (const Peer& it : m_context.fleet.peers(steadyNow()))
        peers.push_back({ { "vm", it.vm.value }, { "zone", it.zone.value }, { "ready", it.isReady },
            { "configVersion", it.knowledge.configVersion }, { "configAgeMs", ageMs(it.knowledge.configAge) },
            { "targetsAgeMs", ageMs(it.knowledge.targetsAge) }, { "readAgeMs", ageMs(it.knowledge.readAge) } });
    nlohmann::json evacuatedZones = nlohmann::json::array();
    const news::EvacuatedZones evacuated = m_context.state.evacuatedZones();
    for (const auto& [zone, entry] : evacuated.zones())
        evacuatedZones.push_back({ { "zone", zone.value }, { "offset", entry.position.offset },
            { "sinceMs", wallClockMs(entry.since) }, { "inForce", m_context.state.appliesEvacuations } });
    const news::ToldKnowledge known = m_context.state.knowledgeForPeers();
    return { { "vm", m_context.state.vm.value }, { "configVersion", m_context.state.configVersion() },
        { "canServe", m_context.state.canServe() }, { "readyForLoad", m_readinessGate.isOpen() },
        { "usePercent", m_context.state.utilizationPercent.load() }, { "configAgeMs", ageMs(known.configAge) },
        { "targetsAgeMs", ageMs(known.targetsAge) }, { "readAgeMs", ageMs(known.readAge) },
        { "activeRequests", m_context.state.activeRequests.load() }, { "droppedLogLines", process::droppedLogLines() },
        { "operatorNext", known.operatorNext.offset }, { "operatorEra", known.operatorNext.era },
        { "targetsNext", known.targetsNext.offset }, { "targetsEra", known.targetsNext.era },
        { "evacuatedZones", std::move(evacuatedZones) }, { "targets", targetsJson() },
        { "coldTargets", std::move(coldTargets) }, { "peers", std::move(peers) } };
}

void Listeners::handleQuarantine(const ExchangePointer& exchange)
{
    const std::string_view name = std::string_view(exchange->request().path).substr(quarantinePath.size());
    const std::string& method = exchange->request().method;
    if (method == "GET" && name.empty()) {
        exchange->respond(net::jsonResponse(okStatus, crashCasesJson()));
        return;
    }
    const bool isPart = name.starts_with(partsPath);
    const std::string_view path = isPart ? name.substr(partsPath.size()) : name;
    const auto key = path.starts_with('/') ? quarantine::requestKeyFromHex(path.substr(1)) : std::nullopt;
    const auto kind = isPart ? CrashJournal::SubjectKind::Part : CrashJournal::SubjectKind::Request;
    const auto onEnd = [exchange](const absl::Status& status) { exchange->respond(releaseResponse(status)); };
    if (!key || method != "DELETE" || !m_context.crashJournal.release(kind, *key, onEnd))
        exchange->respond(textResponse(notFound));
}

nlohmann::json Listeners::crashCasesJson() const
{
    nlohmann::json requests = nlohmann::json::array();
    for (const quarantine::CrashCase& it :
        m_context.state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().cases(); }))
        requests.push_back({ { "key", quarantine::toHex(it.subject) }, { "targetEnds", it.targets.size() },
            { "quarantined", it.isQuarantined() } });
    nlohmann::json parts = nlohmann::json::array();
    const TimePoint now = steadyNow();
    for (const quarantine::CrashCase& it :
        m_context.state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().parts().cases(); }))
        parts.push_back({ { "part", quarantine::toHex(it.subject) }, { "targetEnds", it.targets.size() },
            { "firstEndAgeMs", ageMs(now - it.firstLearnedAt) }, { "quarantined", it.isPartQuarantined() } });
    return { { "requests", std::move(requests) }, { "parts", std::move(parts) } };
}

void Listeners::handleControl(const ExchangePointer& exchange)
{
    const std::string& path = exchange->request().path;
    if (path == peerStatePath) {
        const PeerState state = makePeerState(m_context.state, decodePeerStateRequest(exchange->request().query));
        exchange->respond({ okStatus, { { "Content-Type", "application/cbor" } }, encode(state) });
    } else if (path == "/metrics") {
        exchange->respond(textResponse(okStatus, m_context.metrics.exposition()));
    } else if (path == "/v1/status") {
        exchange->respond(net::jsonResponse(okStatus, statusJson()));
    } else if (path.starts_with(quarantinePath)) {
        handleQuarantine(exchange);
    } else if (path == "/healthz") {
        exchange->respond(textResponse(okStatus));
    } else if (path == "/readyz") {
        exchange->respond(textResponse(m_context.state.canServe() ? okStatus : unavailable));
    } else {
        exchange->respond(textResponse(notFound));
    }
}

} // namespace sagechute::edge
