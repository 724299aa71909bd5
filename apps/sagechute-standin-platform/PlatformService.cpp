#include "PlatformService.h"

#include <algorithm>
#include <charconv>

namespace sagechute::standin {
namespace {

    using nlohmann::json;

    constexpr std::string_view logPrefix = "/v1/log/";
    constexpr std::string_view recordsSuffix = "/records";
    constexpr std::size_t longestStreamName = 64;
    constexpr std::size_t mostStreams = 64;
    constexpr std::size_t mostRecordsInAnswer = 10'000;
    constexpr std::size_t mostBytesInAnswer = 4 << 20;
    constexpr std::chrono::milliseconds longestWait { 60'000 };

    absl::Status outage()
    {
        return makeError(ErrorKind::LogUnavailable, "the platform has an outage", "try again later");
    }

    absl::Status badRequest(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, message, remedy);
    }

    /// @return the stream in "/v1/log/{stream}/records", or nullopt when the path has another form.
    std::optional<std::string> streamOf(std::string_view path)
    {
        if (!path.starts_with(logPrefix) || !path.ends_with(recordsSuffix)
            || path.size() <= logPrefix.size() + recordsSuffix.size())
            return std::nullopt;
        const std::string_view name
            = path.substr(logPrefix.size(), path.size() - logPrefix.size() - recordsSuffix.size());
        const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
        if (name.size() > longestStreamName || !std::all_of(name.begin(), name.end(), allowed))
            return std::nullopt;
        return std::string(name);
    }

    absl::StatusOr<std::uint64_t> number(
        const net::ServerRequest& request, std::string_view name, std::uint64_t otherwise)
    {
        const std::optional<std::string_view> text = net::findField(request.query, name);
        if (!text)
            return otherwise;
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (ec != std::errc {} || end != text->data() + text->size())
            return badRequest("the query field " + std::string(name) + " is not a whole number", "send digits only");
        return value;
    }

    /// Reads an optional member of the faults document.
    absl::Status readMember(
        const json& document, const char* name, json::value_t type, const std::function<void(const json&)>& use)
    {
        const auto it = document.find(name);
        if (it == document.end())
            return absl::OkStatus();
        if (it->type() != type)
            return badRequest(std::string(name) + " has the wrong type", "see the page of protocols for its form");
        use(*it);
        return absl::OkStatus();
    }

    bool isText(std::string_view data)
    {
        // What goes wrong otherwise: a record that isn't UTF-8 can't be put into a JSON answer, and every reader of the
        // stream would fail at that offset for good.
        return parseJsonStrictly(data).ok();
    }

} // namespace

PlatformService::PlatformService(const PlatformOptions& options)
    : m_options(options)
    , m_requests(prometheus::BuildCounter()
                     .Name("sagechute_standin_platform_requests_total")
                     .Help("Requests by path kind")
                     .Register(m_metrics.registry()))
    , m_vmLists({ { TimePoint::min(), json { { "vms", json::array() } } } })
    , m_weights(options.loadsPerMinute, options.loadBurst, steadyNow())
    , m_loop([this](TimePoint now) { return turn(now); })
{
}

const std::vector<PlatformService::Route>& PlatformService::routes()
{
    static const std::vector<Route> table {
        { "POST", logPrefix, &PlatformService::records, true },
        { "GET", logPrefix, &PlatformService::records, true },
        { "GET", "/v1/vms", &PlatformService::vms, true },
        { "POST", "/v1/weights/loads", &PlatformService::load, true },
        { "POST", "/standin/vms", &PlatformService::setVms, false },
        { "POST", "/standin/faults", &PlatformService::setFaults, false },
        { "GET", "/healthz", &PlatformService::health, false },
        { "GET", "/readyz", &PlatformService::health, false },
        { "GET", "/metrics", &PlatformService::metrics, false },
    };
    return table;
}

void PlatformService::handle(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    const auto matches = [&](const Route& route) {
        if (route.method != request.method)
            return false;
        return route.path.ends_with('/') ? request.path.starts_with(route.path) : request.path == route.path;
    };
    const auto it = std::find_if(routes().begin(), routes().end(), matches);
    if (it == routes().end()) {
        exchange->respond(net::errorResponse(makeError(
            ErrorKind::NotFound, "no such resource: " + request.method + " " + request.path, "check the address")));
        return;
    }
    m_requests.Add({ { "path", std::string(it->path) }, { "method", std::string(it->method) } }).Increment();
    {
        const std::lock_guard lock(m_mutex);
        if (it->faulty && m_slow.count() > 0) {
            m_delayed.emplace(steadyNow() + m_slow, Delayed { exchange, &*it });
            m_loop.wake();
            return;
        }
    }
    run(exchange, *it);
}

void PlatformService::run(const Exchange& exchange, const Route& route)
{
    bool refused = false;
    {
        const std::lock_guard lock(m_mutex);
        refused = route.faulty && m_outage;
    }
    if (refused)
        exchange->respond(net::errorResponse(outage()));
    else
        (this->*route.handler)(exchange);
}

void PlatformService::records(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    const std::optional<std::string> stream = streamOf(request.path);
    if (!stream) {
        exchange->respond(net::errorResponse(makeError(ErrorKind::NotFound, "no such stream",
            "use /v1/log/STREAM/records with a name of lower-case letters, digits and hyphens")));
        return;
    }
    if (request.method == "POST")
        append(exchange, *stream);
    else
        read(exchange, *stream);
}

void PlatformService::append(const Exchange& exchange, const std::string& stream)
{
    const std::string& record = exchange->request().body;
    if (!isText(record)) {
        exchange->respond(net::errorResponse(badRequest("the record is not JSON", "send one JSON document")));
        return;
    }
    std::vector<Reply> ready;
    LogOffset offset = 0;
    bool lost = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streams.contains(stream) && m_streams.size() >= mostStreams) {
            exchange->respond(net::errorResponse(badRequest("too many streams", "use one that exists")));
            return;
        }
        offset = m_streams[stream].append(record, m_options.retentionRecords);
        lost = m_loseReplies > 0;
        m_loseReplies -= lost ? 1 : 0;
        ready = takeReady(stream);
    }
    if (lost)
        exchange->abort();
    else
        exchange->respond(net::jsonResponse(200, { { "offset", offset } }));
    for (Reply& reply : ready)
        reply.exchange->respond(std::move(reply.response));
}

void PlatformService::read(const Exchange& exchange, const std::string& stream)
{
    const net::ServerRequest& request = exchange->request();
    const auto from = number(request, "from", 0);
    const auto wait = number(request, "wait", 0);
    const auto most = number(request, "most", mostRecordsInAnswer);
    for (const auto& value : { from, wait, most }) {
        if (!value.ok()) {
            exchange->respond(net::errorResponse(value.status()));
            return;
        }
    }
    const std::size_t records = std::clamp<std::uint64_t>(*most, 1, mostRecordsInAnswer);
    net::ServerResponse response;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_streams.find(stream);
        const LogOffset next = it == m_streams.end() ? 0 : it->second.next();
        if (*from >= next && *wait > 0) {
            const auto patience
                = std::min(longestWait, std::chrono::milliseconds(std::min<std::uint64_t>(*wait, 60'000)));
            m_waiters.push_back({ exchange, stream, *from, records, steadyNow() + patience });
            m_loop.wake();
            return;
        }
        response = readNow(stream, *from, records);
    }
    exchange->respond(std::move(response));
}

net::ServerResponse PlatformService::readNow(const std::string& stream, LogOffset from, std::size_t most)
{
    static const LogStream none;
    const auto it = m_streams.find(stream);
    const LogStream& log = it == m_streams.end() ? none : it->second;
    const auto records = log.read(from, most, mostBytesInAnswer);
    if (!records.ok()) {
        json document = errorDocument(records.status());
        document["first"] = log.first();
        document["next"] = log.next();
        return net::jsonResponse(httpStatus(ErrorKind::RetentionExceeded), document);
    }
    json list = json::array();
    LogOffset offset = from;
    for (const std::string_view record : *records)
        list.push_back({ { "offset", offset++ }, { "data", std::string(record) } });
    return net::jsonResponse(200, { { "first", log.first() }, { "next", log.next() }, { "records", std::move(list) } });
}

std::vector<PlatformService::Reply> PlatformService::takeReady(const std::string& stream)
{
    const LogOffset next = m_streams[stream].next();
    std::vector<Reply> ready;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        if (waiter.stream != stream || waiter.from >= next)
            return false;
        ready.push_back({ waiter.exchange, readNow(stream, waiter.from, waiter.most) });
        return true;
    });
    return ready;
}

std::vector<PlatformService::Reply> PlatformService::takeExpired(TimePoint now)
{
    std::vector<Reply> expired;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        if (!m_outage && waiter.deadline > now)
            return false;
        expired.push_back({ waiter.exchange,
            m_outage ? net::errorResponse(outage()) : readNow(waiter.stream, waiter.from, waiter.most) });
        return true;
    });
    return expired;
}

std::optional<TimePoint> PlatformService::turn(TimePoint now)
{
    std::vector<Reply> replies;
    std::vector<Delayed> due;
    std::optional<TimePoint> next;
    {
        const std::lock_guard lock(m_mutex);
        replies = takeExpired(now);
        while (!m_delayed.empty() && m_delayed.begin()->first <= now)
            due.push_back(std::move(m_delayed.extract(m_delayed.begin()).mapped()));
        if (!m_delayed.empty())
            next = m_delayed.begin()->first;
        for (const Waiter& waiter : m_waiters)
            next = next ? std::min(*next, waiter.deadline) : waiter.deadline;
    }
    for (Reply& reply : replies)
        reply.exchange->respond(std::move(reply.response));
    for (const Delayed& delayed : due)
        run(delayed.exchange, *delayed.route);
    return next;
}

void PlatformService::vms(const Exchange& exchange)
{
    json document;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = steadyNow();
        // The newest that is visible: a lag that has been shortened lets a list overtake those before it.
        const auto newest = std::find_if(
            m_vmLists.rbegin(), m_vmLists.rend(), [now](const VmList& list) { return list.visibleAt <= now; });
        m_vmLists.erase(m_vmLists.begin(), newest.base() - 1);
        document = m_vmLists.front().document;
    }
    exchange->respond(net::jsonResponse(200, document));
}

void PlatformService::setVms(const Exchange& exchange)
{
    const auto document = parseJsonStrictly(exchange->request().body);
    if (!document.ok() || !document->is_object() || !document->contains("vms") || !(*document)["vms"].is_array()) {
        exchange->respond(net::errorResponse(badRequest("the body is not a VM list", "send {\"vms\":[...]}")));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_vmLists.push_back({ steadyNow() + m_options.vmListLag, *document });
    }
    exchange->respond(net::jsonResponse(200, json::object()));
}

void PlatformService::load(const Exchange& exchange)
{
    const auto document = parseJsonStrictly(exchange->request().body);
    if (!document.ok() || !document->is_object() || !document->contains("target") || !document->contains("model")) {
        exchange->respond(net::errorResponse(
            badRequest("the body is not a load", "send {\"target\":...,\"model\":...,\"version\":...}")));
        return;
    }
    Duration wait {};
    {
        const std::lock_guard lock(m_mutex);
        wait = m_weights.ask(steadyNow());
    }
    if (wait == Duration::zero()) {
        const auto granted = std::chrono::ceil<std::chrono::milliseconds>(m_options.loadTime);
        exchange->respond(net::jsonResponse(200, { { "grantedMs", granted.count() } }));
        return;
    }
    net::ServerResponse response = net::errorResponse(makeError(
        ErrorKind::TooManyRequests, "the weight store's rate limit is reached", "ask again after Retry-After seconds"));
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    response.headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    exchange->respond(std::move(response));
}

void PlatformService::setFaults(const Exchange& exchange)
{
    const auto document = parseJsonStrictly(exchange->request().body);
    if (!document.ok() || !document->is_object()) {
        exchange->respond(net::errorResponse(badRequest("the body is not a JSON object", "send {\"outage\":true}")));
        return;
    }
    using Type = json::value_t;
    absl::Status status;
    {
        const std::lock_guard lock(m_mutex);
        const auto milliseconds
            = [](const json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); };
        status.Update(readMember(*document, "outage", Type::boolean, [&](const json& value) { m_outage = value; }));
        status.Update(readMember(
            *document, "slowMs", Type::number_unsigned, [&](const json& value) { m_slow = milliseconds(value); }));
        status.Update(readMember(
            *document, "loseReplies", Type::number_unsigned, [&](const json& value) { m_loseReplies = value; }));
        status.Update(readMember(*document, "retentionRecords", Type::number_unsigned,
            [&](const json& value) { m_options.retentionRecords = value; }));
        status.Update(readMember(*document, "vmListLagMs", Type::number_unsigned,
            [&](const json& value) { m_options.vmListLag = milliseconds(value); }));
    }
    m_loop.wake();
    process::log(process::LogLevel::Info, "faults-set", { { "faults", document->dump() } });
    exchange->respond(status.ok() ? net::jsonResponse(200, json::object()) : net::errorResponse(status));
}

void PlatformService::health(const Exchange& exchange)
{
    exchange->respond(net::jsonResponse(200, { { "status", "ok" } }));
}

void PlatformService::metrics(const Exchange& exchange)
{
    exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition() });
}

} // namespace sagechute::standin
