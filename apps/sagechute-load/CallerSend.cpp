#include "Request.h"

namespace sagechute::load {

bool Callers::RequestSink::onBody(std::string_view bytes)
{
    const unsigned tokens = m_checker.body(bytes);
    if (tokens == 0)
        return true;
    const TimePoint now = steadyNow();
    if (m_result.firstToken)
        m_result.tokenGaps.add(now - m_lastToken);
    else
        m_result.firstToken = now;
    m_lastToken = now;
    return true;
}

void Callers::RequestSink::onEnd(const net::TransferResult& result)
{
    m_result.verdict = m_checker.finish(result);
    m_result.ended = steadyNow();
    m_callers.m_loop.post(
        [callers = &m_callers, serial = m_serial, end = std::move(m_result)] { callers->onSendEnd(serial, end); });
}

void Callers::sendFirst(Serial serial, const Location& location)
{
    Request* const found = find(serial);
    if (!found)
        return;
    Request& request = *found;
    request.addresses = location.addresses;
    // Pinned callers spread over their addresses; others obey the order that they were told.
    const std::size_t first = request.flow.plan.pinnedTo.empty() ? 0 : serial;
    request.address = (first + request.addressesTried) % request.addresses.size();
    if (!request.record.repeatable && request.session.empty()) {
        request.session = location.session;
        request.sequence = request.flow.clients[request.client]->nextSequence();
    }
    if (request.record.sends == 0)
        request.begun = steadyNow();
    send(serial);
}

void Callers::send(Serial serial)
{
    Request* const found = find(serial);
    if (!found)
        return;
    Request& request = *found;
    ++request.record.sends;
    m_demand[{ request.flow.service.pool, request.record.customer }].outstanding.begin();
    const net::TransferId transfer
        = m_http.start(clientRequest(request), std::make_unique<RequestSink>(*this, serial, request.expectation));
    if (m_random.fraction() < request.flow.plan.loseReplies)
        m_loop.after(request.flow.plan.loseAfter, [this, transfer] { m_http.cancel(transfer); });
}

void Callers::sendAfter(Serial serial, Duration delay)
{
    m_loop.after(delay, [this, serial] { send(serial); });
}

net::ClientRequest Callers::clientRequest(const Request& request) const
{
    const FlowPlan& plan = request.flow.plan;
    net::ClientRequest out;
    out.method = "POST";
    out.url
        = "http://" + request.addresses[request.address] + "/v1/services/" + request.flow.service.name + "/requests";
    out.headers = { { "Authorization", "Bearer " + request.flow.customer.key },
        { "Sagechute-Repeatable", request.record.repeatable ? "yes" : "no" },
        { "Sagechute-Caller-Tag", request.record.tag }, { "Content-Type", "application/json" } };
    if (!request.session.empty()) {
        out.headers.push_back({ "Sagechute-Session", request.session });
        out.headers.push_back({ "Sagechute-Sequence", std::to_string(request.sequence) });
    }
    if (plan.deadline.count() > 0)
        out.headers.push_back({ "Sagechute-Deadline-Ms", std::to_string(plan.deadline.count()) });
    if (!request.costHint.empty())
        out.headers.push_back({ "Sagechute-Cost-Hint", request.costHint });
    if (plan.streamed)
        out.headers.push_back({ "Accept", "text/event-stream" });
    out.body = request.expectation.body;
    out.totalTimeout = m_plan.patience;
    out.freshConnection = !request.record.repeatable;
    return out;
}

void Callers::onSendEnd(Serial serial, const SendResult& result)
{
    Request* const found = find(serial);
    if (!found)
        return;
    Request& request = *found;
    Demand& demand = m_demand[{ request.flow.service.pool, request.record.customer }];
    demand.outstanding.end();
    const bool refused = result.verdict.end == SendEnd::NotRun || result.verdict.end == SendEnd::Unreachable;
    demand.endedAfterRun += refused ? 0 : 1;
    if (moveOn(request, result.verdict) || resendLost(request, result.verdict))
        return;
    finish(request, result);
}

/// Goes to the next address where it is certain that the request has not run there: no byte left, or a router that is
/// leaving or cut off refused it.
bool Callers::moveOn(Request& request, const Verdict& verdict)
{
    const bool refusedHere = verdict.end == SendEnd::NotRun
        && (verdict.kind == toString(ErrorKind::Draining) || verdict.kind == toString(ErrorKind::CutOff));
    if (verdict.end != SendEnd::Unreachable && !refusedHere)
        return false;
    Client& client = *request.flow.clients[request.client];
    client.forget();
    if (++request.addressesTried >= request.addresses.size())
        return false;
    constexpr Duration shortPause = std::chrono::milliseconds(10);
    if (request.mayHaveRun) {
        request.address = (request.address + 1) % request.addresses.size();
        sendAfter(request.serial, jittered(shortPause));
        return true;
    }
    // The old session would lead back to the router that refused, or to one that is gone and can only say "unknown". As
    // the request has certainly not run, a new session cannot double it.
    request.session.clear();
    m_loop.after(jittered(shortPause), [this, &client, serial = request.serial] {
        client.locate([this, serial](const Location& location) { sendFirst(serial, location); });
    });
    return true;
}

/// Sends a request that may not be repeated again, through another router, with the same session and sequence: the
/// router life that the session names tells its outcome, and runs it only if it has not run.
bool Callers::resendLost(Request& request, const Verdict& verdict)
{
    if (verdict.end != SendEnd::CutOff || request.session.empty())
        return false;
    request.mayHaveRun = true;
    if (request.record.sends >= m_plan.resend.attempts)
        return false;
    request.addressesTried = 0;
    request.address = (request.address + 1) % request.addresses.size();
    const unsigned doublings = std::min(request.record.sends - 1, 10U);
    const Duration backoff = std::min<Duration>(m_plan.resend.backoff * (1U << doublings), m_plan.resend.mostBackoff);
    sendAfter(request.serial, jittered(backoff));
    return true;
}

} // namespace sagechute::load
