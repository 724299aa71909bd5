#include "CallerRequest.h"

#include <nlohmann/json.hpp>

namespace sagechute::router {

using nlohmann::json;

namespace {

    json refusalDocument(Outcome outcome, const absl::Status& status, const std::string& requestId)
    {
        json document = errorDocument(status);
        document["outcome"] = toString(outcome);
        document["requestId"] = requestId;
        return document;
    }

} // namespace

CallerRequest::CallerRequest(RequestId id, CustomerId customer, std::shared_ptr<net::ServerExchange> exchange,
    std::shared_ptr<delivery::AdmissionCounters> counters, bool streamed)
    : m_id(std::move(id))
    , m_idText(toString(m_id))
    , m_customer(std::move(customer))
    , m_exchange(std::move(exchange))
    , m_counters(std::move(counters))
    , m_bodyBytes(m_exchange->request().body.size())
    , m_streamed(streamed)
{
}

CallerRequest::~CallerRequest() { m_counters->leave(m_bodyBytes, m_waiting.load(std::memory_order_relaxed)); }

void CallerRequest::leaveQueue()
{
    if (m_waiting.exchange(false))
        m_counters->leaveQueue(m_bodyBytes);
}

void CallerRequest::startStream()
{
    if (m_streamStarted.exchange(true, std::memory_order_acq_rel))
        return;
    m_exchange->startStream(200,
        { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
            { "Sagechute-Outcome", "streaming" }, { "Sagechute-Request-Id", m_idText } });
}

void CallerRequest::addUsedConnection(net::ConnectionId connection)
{
    std::lock_guard lock(m_mutex);
    m_usedConnections.push_back(connection);
}

std::vector<net::ConnectionId> CallerRequest::usedConnections() const
{
    std::lock_guard lock(m_mutex);
    return m_usedConnections;
}

void CallerRequest::answer(const delivery::KeptAnswer& stored)
{
    const bool events = stored.contentType.starts_with("text/event-stream");
    net::ServerResponse response;
    response.status = stored.httpStatus;
    response.body = stored.body;
    response.headers
        = { { "Content-Type", stored.contentType.empty() ? "application/octet-stream" : stored.contentType },
              { "Sagechute-Outcome", events ? "streaming" : std::string(toString(stored.outcome)) },
              { "Sagechute-Request-Id", stored.requestId.empty() ? m_idText : stored.requestId } };
    m_exchange->respond(std::move(response));
}

void CallerRequest::refuse(Outcome outcome, const absl::Status& status, std::optional<std::chrono::seconds> retryAfter)
{
    if (streamStarted()) {
        endStream(outcome, status, {});
        return;
    }
    net::ServerResponse response
        = net::jsonResponse(httpStatus(errorKind(status)), refusalDocument(outcome, status, m_idText));
    response.headers.push_back({ "Sagechute-Outcome", std::string(toString(outcome)) });
    response.headers.push_back({ "Sagechute-Request-Id", m_idText });
    if (retryAfter)
        response.headers.push_back({ "Retry-After", std::to_string(retryAfter->count()) });
    m_exchange->respond(std::move(response));
}

void CallerRequest::endStream(Outcome outcome, const absl::Status& status, const std::string& usage)
{
    startStream();
    json document;
    if (status.ok()) {
        document = { { "outcome", toString(outcome) }, { "requestId", m_idText } };
        const json parsed = json::parse(usage, nullptr, false);
        if (parsed.is_object())
            document["usage"] = parsed;
    } else {
        document = refusalDocument(outcome, status, m_idText);
    }
    m_exchange->write("event: outcome\ndata: " + document.dump() + "\n\n");
    m_exchange->finish();
}

} // namespace sagechute::router
