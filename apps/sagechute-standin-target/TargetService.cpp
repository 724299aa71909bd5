#include "TargetService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace sagechute::standin {
namespace {

    using nlohmann::json;

    constexpr std::size_t longestRequestId = 200;
    constexpr std::uint64_t defaultFaultDelayMs = 1000;

    std::int64_t systemMilliseconds(TimePoint moment)
    {
        const auto age = steadyNow() - moment;
        const auto system = std::chrono::system_clock::now() - age;
        return std::chrono::duration_cast<std::chrono::milliseconds>(system.time_since_epoch()).count();
    }

    std::uint64_t leastRuns(const net::ServerRequest& request)
    {
        std::uint64_t least = 1;
        if (const auto text = net::findField(request.query, "min"))
            std::from_chars(text->data(), text->data() + text->size(), least);
        return least;
    }

    bool isUnsigned(const json& document, const char* name)
    {
        return !document.contains(name) || document[name].is_number_unsigned();
    }

    absl::StatusOr<Fault> readFault(const json& document)
    {
        const bool sound = document.is_object() && document.contains("fault") && document["fault"].is_string()
            && isUnsigned(document, "count") && isUnsigned(document, "ms") && isUnsigned(document, "status");
        if (!sound)
            return makeError(ErrorKind::BadRequest, "the body is not a fault",
                R"(send {"fault":NAME,"count":N,"ms":M}, for refuse also "status":503)");
        const auto kind = FaultTable::kindOf(document["fault"].get<std::string>());
        if (!kind.ok())
            return kind.status();
        Fault fault;
        fault.kind = *kind;
        fault.count = document.value("count", std::uint64_t { 1 });
        fault.delay = std::chrono::milliseconds(document.value("ms", defaultFaultDelayMs));
        fault.status = document.value("status", 0);
        return fault;
    }

} // namespace

TargetService::TargetService(bool streams)
    : m_streams(streams)
    , m_gauges(prometheus::BuildGauge()
                   .Name("sagechute_standin_target")
                   .Help("The target stand-in's own account, by item")
                   .Register(m_metrics.registry()))
{
}

const std::vector<TargetService::Route>& TargetService::routes()
{
    static const std::vector<Route> table {
        { "GET", "/healthz", &TargetService::health },
        { "GET", "/readyz", &TargetService::health },
        { "GET", "/metrics", &TargetService::metrics },
        { "GET", "/standin/runs", &TargetService::runs },
        { "GET", "/standin/stats", &TargetService::stats },
        { "POST", "/standin/faults", &TargetService::setFaults },
    };
    return table;
}

void TargetService::handle(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    for (const Route& route : routes()) {
        if (route.method == request.method && route.path == request.path) {
            (this->*route.handler)(exchange);
            return;
        }
    }
    if (onHandle(exchange))
        return;
    exchange->respond(net::errorResponse(makeError(
        ErrorKind::NotFound, "no such resource: " + request.method + " " + request.path, "check the address")));
}

std::optional<std::string> TargetService::requestIdOf(const net::ServerRequest& request)
{
    std::string id = headerOf(request, "Sagechute-Request-Id");
    if (id.empty()) {
        const std::lock_guard lock(m_mutex);
        return "direct-" + std::to_string(++m_unnamed);
    }
    const auto plain = [](char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; };
    if (id.size() > longestRequestId || !std::all_of(id.begin(), id.end(), plain))
        return std::nullopt;
    return id;
}

std::string TargetService::headerOf(const net::ServerRequest& request, std::string_view name)
{
    return std::string(net::findField(request.headers, name).value_or(""));
}

void TargetService::refuse(const Exchange& exchange, const Fault& fault)
{
    if (fault.status == 0) {
        exchange->abort();
        return;
    }
    const absl::Status error = makeError(ErrorKind::NoTarget, "the target refuses on command", "try another target");
    exchange->respond(net::jsonResponse(fault.status, errorDocument(error)));
}

void TargetService::health(const Exchange& exchange)
{
    exchange->respond(net::jsonResponse(200, { { "status", "ok" } }));
}

void TargetService::runs(const Exchange& exchange)
{
    const std::uint64_t least = leastRuns(exchange->request());
    json document;
    {
        const std::lock_guard lock(m_mutex);
        const Ledger& ledger = onLedger(steadyNow());
        document = { { "runs", ledger.runs().atLeast(least) }, { "tags", ledger.tags().atLeast(least) },
            { "total", ledger.total() } };
    }
    exchange->respond(net::jsonResponse(200, document));
}

json TargetService::statsDocument(TimePoint now)
{
    const Ledger& ledger = onLedger(now);
    const Capacity capacity = onCapacity();
    json started = json::object();
    json cost = json::object();
    for (const auto& [customer, served] : ledger.customers()) {
        started[customer] = served.started;
        cost[customer] = served.cost;
    }
    const auto lastStarted = ledger.lastStarted();
    return { { "busySlotSeconds", ledger.busySlotTime(now).count() }, { "slots", capacity.slots },
        { "sinceSeconds", std::chrono::duration<double>(now - ledger.since()).count() },
        { "running", ledger.running() }, { "waiting", capacity.waiting }, { "total", ledger.total() },
        { "startedByCustomer", std::move(started) }, { "costByCustomer", std::move(cost) },
        { "lastStartedMs", lastStarted ? systemMilliseconds(*lastStarted) : 0 } };
}

void TargetService::stats(const Exchange& exchange)
{
    json document;
    {
        const std::lock_guard lock(m_mutex);
        document = statsDocument(steadyNow());
    }
    exchange->respond(net::jsonResponse(200, document));
}

void TargetService::setFaults(const Exchange& exchange)
{
    const auto document = parseJsonStrictly(exchange->request().body);
    absl::StatusOr<Fault> fault = document.ok() ? readFault(*document) : document.status();
    if (fault.ok() && fault->kind == FaultKind::BreakStream && !m_streams)
        fault = makeError(ErrorKind::BadRequest, "an application has no streams to break", "choose another fault");
    if (!fault.ok()) {
        exchange->respond(net::errorResponse(fault.status()));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_faults.set(*fault);
    }
    process::log(process::LogLevel::Info, "fault-set", { { "fault", document->dump() } });
    exchange->respond(net::jsonResponse(200, json::object()));
}

void TargetService::metrics(const Exchange& exchange)
{
    json document;
    {
        const std::lock_guard lock(m_mutex);
        document = statsDocument(steadyNow());
    }
    for (const char* item : { "busySlotSeconds", "slots", "running", "waiting", "total" })
        m_gauges.Add({ { "item", item } }).Set(document[item].get<double>());
    exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition() });
}

} // namespace sagechute::standin
