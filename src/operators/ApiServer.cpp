#include "operators/ApiServer.h"

#include "operators/Documents.h"
#include "operators/Keys.h"
#include "operators/Page.h"

#include <algorithm>

namespace sagechute::operators {
namespace {

    constexpr std::chrono::milliseconds logWait { 1000 };
    constexpr Duration logRetry = std::chrono::milliseconds(250);
    constexpr int methodNotAllowed = 405;

    bool matches(std::string_view pattern, const std::vector<std::string>& path)
    {
        const std::vector<std::string> parts = splitPath(pattern);
        if (parts.size() != path.size())
            return false;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (parts[i] != "*" && parts[i] != path[i])
                return false;
        }
        return true;
    }

    net::ServerResponse pageResponse()
    {
        net::ServerResponse response;
        response.headers = {
            { "Content-Type", "text/html; charset=utf-8" },
            { "Cache-Control", "no-cache" },
            // The page holds an operator's key: nothing from elsewhere may run in it, frame it, or be told of it.
            { "Content-Security-Policy",
                "default-src 'none'; connect-src 'self'; script-src '" + std::string(pageScriptHash())
                    + "'; style-src '" + std::string(pageStyleHash())
                    + "'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'" },
            { "Referrer-Policy", "no-referrer" },
            { "X-Content-Type-Options", "nosniff" },
        };
        response.body = std::string(pageHtml());
        return response;
    }

    absl::Status unknownKey()
    {
        return makeError(ErrorKind::Unauthenticated, "the operator key is missing or wrong",
            "send Authorization: Bearer KEY with a key that the API's settings name");
    }

    absl::Status lacksRole(const OperatorKey& who, Role needed)
    {
        return makeError(ErrorKind::Forbidden,
            "operator " + who.name + " has the role " + std::string(toString(who.role)) + ", this needs "
                + std::string(toString(needed)),
            "ask somebody with the role " + std::string(toString(needed)));
    }

    net::ServerResponse busyResponse(std::string_view message)
    {
        net::ServerResponse response
            = net::errorResponse(makeError(ErrorKind::QueueFull, message, "send it again in a second"));
        response.headers.push_back({ "Retry-After", "1" });
        return response;
    }

} // namespace

std::unique_ptr<Api> Api::make(ApiOptions options, config::LogPort& log, net::HttpClient& client)
{
    return std::make_unique<ApiServer>(std::move(options), log, client);
}

ApiServer::ApiServer(ApiOptions options, config::LogPort& log, net::HttpClient& client)
    : m_options(std::move(options))
    , m_log(log)
    , m_replica([this] { m_watchers.wake(); })
    , m_follower(config::LogFollower::make(log, m_replica))
    , m_watchers(m_replica, { m_options.mostWatches, m_options.watchHeartbeat })
    , m_poller(m_options, client, [this] { onPoll(); })
    , m_changes(log, m_replica, *m_follower, m_poller,
          [this](const ChangeRequest& request, const absl::Status& error) { auditRefusal(request, error); })
    , m_logStatus(makeError(ErrorKind::LogUnavailable, "the log has not been read yet", "wait a moment"))
    , m_workers(m_options.changeThreads, m_options.changeQueue)
{
    m_watchers.start();
    m_poller.start();
    m_follow = std::thread([this] { follow(); });
}

ApiServer::~ApiServer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stop.notify_all();
    m_follow.join();
    // Before the workers end: a poll may hand them a line of the audit trail.
    m_poller.stop();
}

const std::vector<ApiServer::Route>& ApiServer::routes()
{
    static const std::vector<Route> table {
        { "GET", "/v1/resources", Role::View, true, &ApiServer::getAll },
        { "GET", "/v1/resources/*", Role::View, true, &ApiServer::getKind },
        { "GET", "/v1/resources/*/*", Role::View, true, &ApiServer::getResource },
        { "PUT", "/v1/resources/*/*", Role::Change, true, &ApiServer::putResource },
        { "POST", "/v1/resources/*/*", Role::View, true, &ApiServer::tryResource },
        { "DELETE", "/v1/resources/*/*", Role::Change, true, &ApiServer::deleteResource },
        { "GET", "/v1/changes/*", Role::View, true, &ApiServer::getChange },
        { "GET", "/v1/progress/*", Role::View, true, &ApiServer::getProgress },
        { "GET", "/v1/audit", Role::View, true, &ApiServer::getAudit },
        { "GET", "/v1/me", Role::View, false, &ApiServer::getMe },
        { "GET", "/v1/fleet", Role::View, false, &ApiServer::getFleet },
        { "GET", "/v1/explain/*", Role::View, false, &ApiServer::getHelp },
    };
    return table;
}

void ApiServer::handle(std::shared_ptr<net::ServerExchange> exchange)
{
    if (handleOpen(*exchange))
        return;
    ApiCall call { exchange, authenticate(m_options.keys, exchange->request().headers), {} };
    call.path = splitPath(exchange->request().path);
    if (!call.who)
        return refuse(call, unknownKey());
    if (exchange->request().isBodyDropped)
        return call.exchange->respond(busyResponse("no memory is left for the request's body"));
    dispatch(call);
}

bool ApiServer::handleOpen(net::ServerExchange& exchange)
{
    const net::ServerRequest& http = exchange.request();
    if (http.method != "GET")
        return false;
    if (http.path == "/") {
        exchange.respond(pageResponse());
        return true;
    }
    if (http.path == "/metrics") {
        const LogStanding now = standing();
        exchange.respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } },
            m_metrics.exposition(now, m_poller.progress(now.offset)) });
        return true;
    }
    if (http.path == "/healthz" || http.path == "/readyz") {
        const absl::Status ready = http.path == "/healthz" ? absl::OkStatus() : readiness();
        exchange.respond(ready.ok() ? net::jsonResponse(200, { { "ready", true } }) : net::errorResponse(ready));
        return true;
    }
    return false;
}

void ApiServer::dispatch(const ApiCall& call)
{
    bool isPathKnown = false;
    for (const Route& route : routes()) {
        if (!matches(route.pattern, call.path))
            continue;
        isPathKnown = true;
        if (route.method != call.http().method)
            continue;
        if (call.who->role < route.role)
            return refuse(call, lacksRole(*call.who, route.role));
        if (const absl::Status ready = readiness(); route.needsConfig && !ready.ok())
            return call.exchange->respond(net::errorResponse(ready));
        return (this->*route.handler)(call);
    }
    const std::string what = cleanText(call.http().method + " " + call.http().path);
    net::ServerResponse response = net::errorResponse(
        makeError(ErrorKind::NotFound, "there is no " + what, "see docs/operators/api-reference.md for what there is"));
    if (isPathKnown)
        response.status = methodNotAllowed;
    call.exchange->respond(std::move(response));
}

void ApiServer::refuse(const ApiCall& call, const absl::Status& error)
{
    net::ServerResponse response = net::errorResponse(error);
    if (!call.who)
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    call.exchange->respond(std::move(response));
    m_metrics.countDenial(std::string(toString(errorKind(error))));
    config::AuditEntry entry;
    entry.operatorName = call.who ? call.who->name : "";
    entry.from = call.http().peerAddress;
    entry.action = "denied";
    entry.resource = cleanText(call.http().method + " " + call.http().path);
    entry.verdict = "denied";
    entry.reason = std::string(error.message());
    audit(std::move(entry));
}

void ApiServer::runLater(const std::shared_ptr<net::ServerExchange>& exchange, WorkerPool::Job job)
{
    if (m_workers.tryRun(std::move(job)))
        return;
    exchange->respond(busyResponse("too many changes are under way here; nothing was changed"));
}

void ApiServer::audit(config::AuditEntry entry)
{
    entry.at = timeText();
    if (const auto line = m_denials.admit(steadyNow(), std::move(entry)))
        append(*line);
}

void ApiServer::auditRefusal(const ChangeRequest& request, const absl::Status& error)
{
    config::AuditEntry entry;
    entry.changeId = request.id;
    entry.operatorName = request.operatorName;
    entry.from = request.from;
    entry.action = "refused";
    entry.resource = cleanText(std::string(config::toString(request.kind)) + "/" + request.name);
    entry.verdict = "refused";
    entry.reason = cleanText(std::string(error.message()));
    audit(std::move(entry));
}

void ApiServer::append(const config::AuditEntry& entry)
{
    // During an outage of the log the line is lost: what was denied changed nothing, and nobody shall wait for it.
    const bool isQueued = m_workers.tryRun(
        [this, record = config::encodeAudit(entry)] { (void)m_log.append(config::configStream, record); });
    (void)isQueued;
}

void ApiServer::follow()
{
    while (true) {
        const absl::Status status = m_follower->poll(logWait);
        std::unique_lock lock(m_mutex);
        m_logStatus = status;
        if (status.ok())
            m_logContact = steadyNow();
        if (m_stopping)
            return;
        if (!status.ok())
            m_stop.wait_for(lock, logRetry, [this] { return m_stopping; });
    }
}

LogStanding ApiServer::standing() const
{
    const std::lock_guard lock(m_mutex);
    LogStanding standing;
    standing.reachable = m_logStatus.ok();
    standing.fault = std::string(m_logStatus.message());
    standing.offset = m_replica.offset();
    if (m_logContact)
        standing.sinceContact = steadyNow() - *m_logContact;
    return standing;
}

absl::Status ApiServer::readiness() const
{
    const std::lock_guard lock(m_mutex);
    // A log outage later on is no reason to take this API out of use: reads and the page go on.
    return m_logContact ? absl::OkStatus() : m_logStatus;
}

void ApiServer::onPoll()
{
    const TimePoint now = steadyNow();
    m_waiters.settle(now, m_poller);
    if (m_watchers.wantsStatus())
        m_watchers.publishStatus(toText(fleetDocument(m_poller.picture(), *m_replica.view(), standing(), now)));
    if (const auto line = m_denials.summarize(now, timeText()))
        append(*line);
    choosePollInterval();
}

void ApiServer::choosePollInterval()
{
    constexpr std::chrono::milliseconds pollWatched { 1000 };
    if (m_waiters.any())
        m_poller.setInterval(m_options.pollWaiting);
    else
        m_poller.setInterval(m_watchers.wantsStatus() ? std::min(pollWatched, m_options.pollIdle) : m_options.pollIdle);
}

} // namespace sagechute::operators
