#include "TargetClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sagechute::steward {
namespace {

    using nlohmann::json;

    constexpr std::size_t maxResponseBytes = 64 << 10;
    constexpr int maxResponseDepth = 8;
    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;
    constexpr int conflictStatus = 409;
    constexpr Duration defaultRetryAfter = std::chrono::seconds(2);
    constexpr unsigned maxRetryAfterSeconds = 3600;

    /// Collects a short response, parses it at its end and passes the resulting event to the client.
    class AnswerSink final : public net::TransferSink {
    public:
        using Reader = std::function<TargetEvent(const net::ClientResponse&)>;

        AnswerSink(TargetClient& client, Reader reader)
            : m_client(client)
            , m_reader(std::move(reader))
        {
        }

    private:
        void onHeaders(int, const std::vector<net::Field>& fields) override { m_response.headers = fields; }

        bool onBody(std::string_view bytes) override
        {
            // A body over 64 KiB is truncated and then fails to parse, so a target cannot exhaust the steward's memory.
            m_response.body += bytes.substr(0, maxResponseBytes - std::min(maxResponseBytes, m_response.body.size()));
            return true;
        }

        void onEnd(const net::TransferResult& result) override
        {
            m_response.result = result;
            m_client.push(m_reader(m_response));
            m_client.ended();
        }

        TargetClient& m_client;
        const Reader m_reader;
        net::ClientResponse m_response;
    };

    bool isCompleteWithStatus(const net::ClientResponse& response, int status)
    {
        return net::isUncut(response.result.end) && response.result.httpStatus == status;
    }

    std::string stringMember(const json& document, const char* name)
    {
        const auto it = document.find(name);
        return it != document.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Ignores unknown members, because engines are third-party software.
    std::optional<ObservedState> readState(const net::ClientResponse& response)
    {
        if (!isCompleteWithStatus(response, okStatus))
            return std::nullopt;
        const absl::StatusOr<json> document = parseJsonStrictly(response.body, maxResponseDepth);
        if (!document.ok() || !document->is_object() || !document->contains("loading")
            || !(*document)["loading"].is_boolean())
            return std::nullopt;
        ObservedState state { stringMember(*document, "model"), stringMember(*document, "version"),
            stringMember(*document, "role"), 0, (*document)["loading"].get<bool>() };
        const auto fencing = document->find("fencing");
        if (fencing != document->end() && fencing->is_number_unsigned())
            state.fencing = fencing->get<LogOffset>();
        return state;
    }

    Duration retryAfter(const net::ClientResponse& response)
    {
        const auto text = net::findField(response.headers, "Retry-After");
        unsigned seconds = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc())
            return defaultRetryAfter;
        return std::chrono::seconds(std::clamp(seconds, 1U, maxRetryAfterSeconds));
    }

    OrderAnswer readOrderAnswer(const net::ClientResponse& response)
    {
        if (isCompleteWithStatus(response, acceptedStatus) || isCompleteWithStatus(response, okStatus))
            return OrderAnswer::Accepted;
        return isCompleteWithStatus(response, conflictStatus) ? OrderAnswer::Superseded : OrderAnswer::Failed;
    }

    json orderDocument(const SendOrder& order)
    {
        json document = { { "fencing", order.fencing }, { "order", toString(order.kind) } };
        if (order.kind == OrderKind::Role) {
            document["role"] = order.role;
            return document;
        }
        document["model"] = order.model;
        document["version"] = order.version;
        return document;
    }

} // namespace

TargetClient::TargetClient(std::unique_ptr<net::HttpClient> client, std::string platform, Duration timeout)
    : m_platform(std::move(platform))
    , m_timeout(std::chrono::duration_cast<std::chrono::milliseconds>(timeout))
    , m_client(std::move(client))
{
}

void TargetClient::execute(const OrderAction& action)
{
    std::visit([this](const auto& it) { send(it); }, action);
}

std::vector<TargetEvent> TargetClient::takeEvents()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_events, {});
}

void TargetClient::push(TargetEvent event)
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
}

net::ClientRequest TargetClient::requestTo(std::string url) const
{
    net::ClientRequest request;
    request.url = std::move(url);
    request.connectTimeout = std::min(m_timeout, request.connectTimeout);
    request.totalTimeout = m_timeout;
    return request;
}

void TargetClient::start(net::ClientRequest request, std::function<TargetEvent(const net::ClientResponse&)> read)
{
    ++m_inFlight;
    m_client->start(std::move(request), std::make_unique<AnswerSink>(*this, std::move(read)));
}

void TargetClient::send(const ReadState& action)
{
    start(requestTo("http://" + action.address + "/v1/state"),
        [target = action.target, number = action.number](const auto& response) {
            return StateAnswer { target, number, readState(response) };
        });
}

void TargetClient::send(const RequestLoadGrant& action)
{
    net::ClientRequest request = requestTo(m_platform + "/v1/weights/loads");
    request.method = "POST";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body
        = json { { "target", action.target.value }, { "model", action.model }, { "version", action.version } }.dump();
    request.freshConnection = true;
    start(std::move(request), [target = action.target](const net::ClientResponse& response) {
        return LoadAnswer { target, isCompleteWithStatus(response, okStatus), retryAfter(response) };
    });
}

void TargetClient::send(const SendOrder& action)
{
    // The process may have been paused since the lease was checked. An order sent after the deadline could reach the
    // target when another steward already holds the lease. A pause between this check and the send remains possible;
    // its effect is detected by reading the state back.
    if (steadyNow() > action.sendDeadline) {
        push(OrderResult { action.target, OrderAnswer::Failed });
        return;
    }
    net::ClientRequest request = requestTo("http://" + action.address + "/v1/orders");
    request.method = "POST";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = orderDocument(action).dump();
    request.freshConnection = true;
    start(std::move(request), [target = action.target](const net::ClientResponse& response) {
        return OrderResult { target, readOrderAnswer(response) };
    });
}

} // namespace sagechute::steward
