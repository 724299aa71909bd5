#include "TargetClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sagechute::steward {
namespace {

    using nlohmann::json;

    constexpr std::size_t longestAnswer = 64 << 10;
    constexpr int answerDepth = 8;
    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;
    constexpr int conflictStatus = 409;
    constexpr Duration defaultWait = std::chrono::seconds(2);
    constexpr unsigned longestWaitSeconds = 3600;

    /// Collects a short answer and hands on what it means.
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
            // A longer answer is cut, and then does not parse: a target cannot fill the steward's memory.
            m_response.body += bytes.substr(0, longestAnswer - std::min(longestAnswer, m_response.body.size()));
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

    bool isAnswer(const net::ClientResponse& response, int status)
    {
        return net::isUncut(response.result.end) && response.result.httpStatus == status;
    }

    std::string textIn(const json& document, const char* name)
    {
        const auto it = document.find(name);
        return it != document.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Members that this release does not know are left alone: engines are not the project's own.
    std::optional<ObservedState> readState(const net::ClientResponse& response)
    {
        if (!isAnswer(response, okStatus))
            return std::nullopt;
        const absl::StatusOr<json> document = parseJsonStrictly(response.body, answerDepth);
        if (!document.ok() || !document->is_object() || !document->contains("loading")
            || !(*document)["loading"].is_boolean())
            return std::nullopt;
        ObservedState state { textIn(*document, "model"), textIn(*document, "version"), textIn(*document, "role"), 0,
            (*document)["loading"].get<bool>() };
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
            return defaultWait;
        return std::chrono::seconds(std::clamp(seconds, 1U, longestWaitSeconds));
    }

    OrderAnswer readOrderAnswer(const net::ClientResponse& response)
    {
        if (isAnswer(response, acceptedStatus) || isAnswer(response, okStatus))
            return OrderAnswer::Accepted;
        return isAnswer(response, conflictStatus) ? OrderAnswer::Superseded : OrderAnswer::Failed;
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

void TargetClient::carryOut(const OrderAction& action)
{
    std::visit([this](const auto& it) { send(it); }, action);
}

std::vector<TargetEvent> TargetClient::take()
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
    ++m_underWay;
    m_client->start(std::move(request), std::make_unique<AnswerSink>(*this, std::move(read)));
}

void TargetClient::send(const ReadState& action)
{
    start(requestTo("http://" + action.address + "/v1/state"),
        [target = action.target, number = action.number](const auto& response) {
            return StateAnswer { target, number, readState(response) };
        });
}

void TargetClient::send(const AskLoad& action)
{
    net::ClientRequest request = requestTo(m_platform + "/v1/weights/loads");
    request.method = "POST";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body
        = json { { "target", action.target.value }, { "model", action.model }, { "version", action.version } }.dump();
    request.freshConnection = true;
    start(std::move(request), [target = action.target](const net::ClientResponse& response) {
        return LoadAnswer { target, isAnswer(response, okStatus), retryAfter(response) };
    });
}

void TargetClient::send(const SendOrder& action)
{
    // The process may have been paused since the lease was looked at. What leaves after this would reach a target when
    // another steward may hold the lease; the look here leaves only the pause between it and the send, which is found
    // by reading the state back.
    if (steadyNow() > action.notAfter) {
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
