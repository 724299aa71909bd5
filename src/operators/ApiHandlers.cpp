#include "operators/ApiServer.h"

#include "operators/Documents.h"

#include <limits>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::uint64_t longestWaitMs = 30'000;
    constexpr std::uint64_t mostAuditLines = 1000;
    constexpr std::uint64_t usualAuditLines = 100;

    /// A kind in a path that is none is a wrong path, not a wrong document.
    absl::StatusOr<config::Kind> kindIn(const ApiCall& call)
    {
        absl::StatusOr<config::Kind> kind = config::parseKind(call.path[2]);
        if (kind.ok())
            return kind;
        return makeError(ErrorKind::NotFound, std::string(kind.status().message()), errorRemedy(kind.status()));
    }

    void respond(const ApiCall& call, const absl::Status& error) { call.exchange->respond(net::errorResponse(error)); }

    /// A change's verdict for the metrics, by the status of its answer.
    std::string verdictOf(int status)
    {
        switch (status) {
        case 200:
            return "accepted";
        case 409:
            return "conflict";
        case 503:
            return "unavailable";
        default:
            return "refused";
        }
    }

    absl::StatusOr<WatchRequest> readWatch(
        const Query& query, const net::ServerRequest& http, std::optional<config::Kind> kind)
    {
        constexpr LogOffset mostOffset = std::numeric_limits<LogOffset>::max();
        WatchRequest request;
        request.kind = kind;
        // Browsers and libraries for server-sent events resume with this header by themselves.
        const auto lastEvent = net::findField(http.headers, "Last-Event-ID");
        if (lastEvent && !query.has("from")) {
            const auto resumed = Query::make({ { "from", std::string(*lastEvent) } }, { "from" });
            const auto from = resumed->count("from", 0, mostOffset);
            if (!from.ok())
                return from.status();
            request.from = *from;
            return request;
        }
        if (!query.has("from"))
            return makeError(ErrorKind::BadRequest, "a watch needs the offset to start from",
                "list first, and give from=OFFSET with the list's offset");
        const auto from = query.count("from", 0, mostOffset);
        if (!from.ok())
            return from.status();
        request.from = *from;
        return request;
    }

} // namespace

void ApiServer::getAll(const ApiCall& call) { listOrWatch(call, std::nullopt); }

void ApiServer::getKind(const ApiCall& call)
{
    const absl::StatusOr<config::Kind> kind = kindIn(call);
    if (!kind.ok())
        return respond(call, kind.status());
    listOrWatch(call, *kind);
}

void ApiServer::listOrWatch(const ApiCall& call, std::optional<config::Kind> kind)
{
    const auto query = Query::make(call.http().query, { "watch", "from", "status" });
    if (!query.ok())
        return respond(call, query.status());
    const auto isWatch = query->flag("watch");
    const auto wantsStatus = query->flag("status");
    for (const auto& flag : { isWatch, wantsStatus }) {
        if (!flag.ok())
            return respond(call, flag.status());
    }
    if (!*isWatch)
        return list(call, kind ? std::vector { *kind } : allKinds());
    absl::StatusOr<WatchRequest> request = readWatch(*query, call.http(), kind);
    if (!request.ok())
        return respond(call, request.status());
    request->wantsStatus = *wantsStatus;
    m_watchers.add(call.exchange, *request);
    choosePollInterval();
}

void ApiServer::list(const ApiCall& call, const std::vector<config::Kind>& kinds)
{
    const Listing listing = m_replica.listing(kinds);
    const FleetPicture picture = m_poller.picture();
    const auto view = m_replica.view();
    json resources = json::array();
    for (const config::Resource& resource : listing.resources) {
        json document = resourceDocument(resource);
        document["status"] = observedStatus(resource, picture, *view);
        resources.push_back(std::move(document));
    }
    call.exchange->respond(
        net::jsonResponse(200, { { "offset", listing.offset }, { "resources", std::move(resources) } }));
}

void ApiServer::getResource(const ApiCall& call)
{
    const absl::StatusOr<config::Kind> kind = kindIn(call);
    if (!kind.ok())
        return respond(call, kind.status());
    const auto query = Query::make(call.http().query, {});
    if (!query.ok())
        return respond(call, query.status());
    const auto resource = m_replica.find(*kind, call.path[3]);
    if (!resource) {
        return respond(call,
            makeError(ErrorKind::NotFound, cleanText(call.path[2] + "/" + call.path[3]) + " does not exist",
                "list the kind to see which there are"));
    }
    json document = resourceDocument(*resource);
    document["status"] = observedStatus(*resource, m_poller.picture(), *m_replica.view());
    call.exchange->respond(net::jsonResponse(200, document));
}

void ApiServer::putResource(const ApiCall& call)
{
    ChangeRequest request;
    const absl::Status status = readChangeQuery(call.http(), request);
    if (!status.ok())
        return respond(call, status);
    change(call, std::move(request));
}

void ApiServer::tryResource(const ApiCall& call)
{
    ChangeRequest request;
    absl::Status status = readChangeQuery(call.http(), request);
    if (status.ok() && !request.dryRun)
        status = makeError(ErrorKind::BadRequest, "POST only tries a change out", "add dryRun=1, or use PUT");
    if (!status.ok())
        return respond(call, status);
    change(call, std::move(request));
}

void ApiServer::deleteResource(const ApiCall& call)
{
    ChangeRequest request;
    const absl::Status status = readChangeQuery(call.http(), request);
    if (!status.ok())
        return respond(call, status);
    change(call, std::move(request));
}

void ApiServer::change(const ApiCall& call, ChangeRequest request)
{
    const absl::StatusOr<config::Kind> kind = kindIn(call);
    if (!kind.ok())
        return respond(call, kind.status());
    request.kind = *kind;
    request.name = call.path[3];
    request.operatorName = call.who->name;
    request.from = call.http().peerAddress;
    runLater(call.exchange, [this, exchange = call.exchange, request]() mutable {
        const net::ServerRequest& http = exchange->request();
        if (http.method != "DELETE") {
            if (const absl::Status status = readChangeBody(http.body, request); !status.ok()) {
                if (!request.dryRun)
                    auditRefusal(request, status);
                return exchange->respond(net::errorResponse(status));
            }
        }
        const bool isTrial = request.dryRun;
        net::ServerResponse response = m_changes.run(std::move(request));
        if (!isTrial)
            m_metrics.countChange(verdictOf(response.status));
        exchange->respond(std::move(response));
    });
}

void ApiServer::getChange(const ApiCall& call)
{
    const auto query = Query::make(call.http().query, { "waitMs" });
    if (!query.ok())
        return respond(call, query.status());
    const auto waitMs = query->count("waitMs", 0, longestWaitMs);
    if (!waitMs.ok())
        return respond(call, waitMs.status());
    const Duration wait = std::chrono::milliseconds(*waitMs);
    if (const auto applied = m_replica.outcomeOf(call.path[2]))
        return answerChange(call.exchange, *applied, wait);
    runLater(call.exchange, [this, exchange = call.exchange, id = call.path[2], wait] {
        const absl::StatusOr<config::Applied> applied = m_changes.lookUp(id);
        if (!applied.ok())
            return exchange->respond(net::errorResponse(applied.status()));
        answerChange(exchange, *applied, wait);
    });
}

void ApiServer::answerChange(
    const std::shared_ptr<net::ServerExchange>& exchange, const config::Applied& applied, Duration wait)
{
    const bool isAccepted = applied.verdict == config::Verdict::Accepted;
    answerProgress(exchange, applied.offset, appliedDocument(applied), isAccepted ? wait : Duration::zero());
}

void ApiServer::answerProgress(
    const std::shared_ptr<net::ServerExchange>& exchange, LogOffset offset, json document, Duration wait)
{
    const Progress progress = m_poller.progress(offset);
    if (progress.everywhere() || wait == Duration::zero())
        return exchange->respond(progressResponse(std::move(document), progress));
    m_waiters.add(exchange, offset, std::move(document), steadyNow() + wait);
    choosePollInterval();
}

void ApiServer::getProgress(const ApiCall& call)
{
    const auto query = Query::make(call.http().query, { "waitMs" });
    if (!query.ok())
        return respond(call, query.status());
    const auto waitMs = query->count("waitMs", 0, longestWaitMs);
    if (!waitMs.ok())
        return respond(call, waitMs.status());
    const auto path = Query::make({ { "offset", call.path[2] } }, { "offset" });
    const auto offset = path->count("offset", 0, std::numeric_limits<LogOffset>::max());
    if (!offset.ok())
        return respond(call, offset.status());
    answerProgress(call.exchange, *offset, { { "offset", *offset } }, std::chrono::milliseconds(*waitMs));
}

void ApiServer::getAudit(const ApiCall& call)
{
    const auto query = Query::make(call.http().query, { "most" });
    if (!query.ok())
        return respond(call, query.status());
    const auto most = query->count("most", usualAuditLines, mostAuditLines);
    if (!most.ok())
        return respond(call, most.status());
    json lines = json::array();
    for (const config::AuditEntry& entry : m_replica.audit(*most))
        lines.push_back(auditDocument(entry));
    call.exchange->respond(net::jsonResponse(200, { { "offset", m_replica.offset() }, { "lines", std::move(lines) } }));
}

void ApiServer::getMe(const ApiCall& call)
{
    call.exchange->respond(
        net::jsonResponse(200, { { "operator", call.who->name }, { "role", toString(call.who->role) } }));
}

void ApiServer::getFleet(const ApiCall& call)
{
    const auto query = Query::make(call.http().query, {});
    if (!query.ok())
        return respond(call, query.status());
    call.exchange->respond(
        net::jsonResponse(200, fleetDocument(m_poller.picture(), *m_replica.view(), standing(), steadyNow())));
}

void ApiServer::getHelp(const ApiCall& call)
{
    const absl::StatusOr<config::Kind> kind = kindIn(call);
    if (!kind.ok())
        return respond(call, kind.status());
    json fields = json::array();
    for (const config::FieldHelp& field : config::explain(*kind)) {
        fields.push_back({
            { "name", field.name },
            { "type", field.type },
            { "unit", field.unit },
            { "default", field.defaultValue },
            { "meaning", field.meaning },
        });
    }
    call.exchange->respond(net::jsonResponse(200, { { "kind", call.path[2] }, { "fields", std::move(fields) } }));
}

} // namespace sagechute::operators
