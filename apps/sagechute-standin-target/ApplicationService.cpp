#include "ApplicationService.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::standin {
namespace {

    using nlohmann::json;

    constexpr double leastWork = 0.001;
    constexpr double mostWork = 1000;

    /// @return the number "work" of a body that is a JSON object, else 1: lets a caller ask for calls of unequal cost.
    double workOf(const std::string& body)
    {
        if (!body.starts_with('{'))
            return 1;
        const auto document = parseJsonStrictly(body);
        if (!document.ok() || !document->contains("work") || !(*document)["work"].is_number())
            return 1;
        return std::clamp((*document)["work"].get<double>(), leastWork, mostWork);
    }

} // namespace

ApplicationService::ApplicationService(const ApplicationOptions& options)
    : TargetService(false)
    , m_options(options)
    , m_model(options, steadyNow())
    , m_loop([this](TimePoint now) { return turn(now); })
{
}

bool ApplicationService::onHandle(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    if (request.method != "POST" || request.path != "/v1/call")
        return false;
    call(exchange);
    return true;
}

const Ledger& ApplicationService::onLedger(TimePoint now)
{
    collect(now);
    return m_model.ledger();
}

TargetService::Capacity ApplicationService::onCapacity() { return { m_options.slots, m_model.waiting() }; }

void ApplicationService::call(const Exchange& exchange)
{
    const net::ServerRequest& request = exchange->request();
    const std::optional<std::string> id = requestIdOf(request);
    if (!id) {
        exchange->respond(net::errorResponse(makeError(
            ErrorKind::BadRequest, "Sagechute-Request-Id is not plain text", "send up to 200 printable characters")));
        return;
    }
    ApplicationCall call { *id, headerOf(request, "Sagechute-Caller-Tag"), headerOf(request, "Sagechute-Customer"),
        workOf(request.body), {} };
    Pending pending { exchange, {}, *id, echoHash(request.body) };
    {
        const std::lock_guard lock(m_mutex);
        pending.fault = m_faults.take(false);
        if (pending.fault.kind == FaultKind::Slow)
            call.slowBy = pending.fault.delay;
        cross(pending);
        if (pending.fault.kind != FaultKind::Refuse) {
            const std::uint64_t number = m_model.submit(std::move(call), steadyNow());
            m_pending.emplace(number, pending);
        }
    }
    if (pending.fault.kind == FaultKind::Refuse)
        refuse(exchange, pending.fault);
    else
        m_loop.wake();
}

void ApplicationService::cross(Pending& pending)
{
    const LastCall own { pending.requestId, pending.echo };
    if (pending.fault.kind == FaultKind::Crossed) {
        const bool known = !m_lastCall.requestId.empty() && m_lastCall.requestId != own.requestId;
        pending.requestId = known ? m_lastCall.requestId : own.requestId + "9";
        pending.echo = known ? m_lastCall.echo : echoHash(own.echo);
    }
    m_lastCall = own;
}

void ApplicationService::collect(TimePoint now)
{
    for (const ApplicationResult& result : m_model.advance(now)) {
        auto ended = m_pending.extract(result.call);
        if (!ended)
            continue;
        Pending& pending = ended.mapped();
        const Duration late = pending.fault.kind == FaultKind::Late ? Duration(pending.fault.delay) : Duration::zero();
        m_answers.emplace(now + late, Answer { std::move(pending), result.cost });
    }
}

std::optional<TimePoint> ApplicationService::turn(TimePoint now)
{
    std::vector<Answer> due;
    std::optional<TimePoint> next;
    {
        const std::lock_guard lock(m_mutex);
        collect(now);
        while (!m_answers.empty() && m_answers.begin()->first <= now)
            due.push_back(std::move(m_answers.extract(m_answers.begin()).mapped()));
        next = m_model.nextAt();
        if (!m_answers.empty())
            next = next ? std::min(*next, m_answers.begin()->first) : m_answers.begin()->first;
    }
    for (const Answer& it : due)
        answer(it);
    return next;
}

void ApplicationService::answer(const Answer& answer)
{
    const Pending& pending = answer.pending;
    if (pending.fault.kind == FaultKind::Hang)
        return;
    if (pending.fault.kind == FaultKind::DropReply) {
        pending.exchange->abort();
        return;
    }
    net::ServerResponse response = net::jsonResponse(
        200, { { "requestId", pending.requestId }, { "echo", pending.echo }, { "cost", answer.cost } });
    response.headers.push_back({ "Sagechute-Request-Id", pending.requestId });
    pending.exchange->respond(std::move(response));
}

} // namespace sagechute::standin
