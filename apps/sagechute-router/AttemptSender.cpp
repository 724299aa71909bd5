#include "AttemptSender.h"

#include <nlohmann/json.hpp>

namespace sagechute::router {

using nlohmann::json;
using routing::AttemptEnd;

namespace {

    constexpr std::string_view requestIdHeader = "Sagechute-Request-Id";

    /// Caller headers passed on to the router that holds the session.
    constexpr std::string_view forwardedHeaders[]
        = { "Authorization", "Accept", "Content-Type", "Sagechute-Repeatable", "Sagechute-Session",
              "Sagechute-Sequence", "Sagechute-Deadline-Ms", "Sagechute-Cost-Hint", "Sagechute-Caller-Tag" };

    /// Caller headers passed on to the target.
    constexpr std::string_view targetHeaders[] = { "Accept", "Content-Type", "Sagechute-Caller-Tag" };

    template <std::size_t size>
    void copyHeaders(const std::string_view (&names)[size], const net::ServerRequest& from, net::ClientRequest& to)
    {
        for (std::string_view name : names) {
            if (auto value = net::findField(from.headers, name))
                to.headers.push_back({ std::string(name), std::string(*value) });
        }
    }

    /// @return the body of the request, which lives as long as the request.
    std::shared_ptr<const std::string> bodyOf(const std::shared_ptr<CallerRequest>& caller)
    {
        return { caller, &caller->request().body };
    }

    AttemptEnd toAttemptEnd(const net::TransferResult& result)
    {
        switch (result.end) {
        case net::TransferEnd::Completed:
        case net::TransferEnd::Closed:
            return AttemptEnd::Completed;
        case net::TransferEnd::NothingSent:
            return AttemptEnd::NothingSent;
        case net::TransferEnd::TimedOut:
            return AttemptEnd::Stalled;
        case net::TransferEnd::BrokenAfterSend:
        case net::TransferEnd::Cancelled:
            return AttemptEnd::Broken;
        }
        return AttemptEnd::Broken;
    }

    /// Whether the status means that the target is overloaded or failing. Any other status below 500 is the target's
    /// complete response to this request.
    bool isRejection(int status) { return status >= 500 || status == 429 || status == 408; }

    Cost reportedCost(const json& document)
    {
        if (!document.is_object())
            return 0;
        const json& usage = document.contains("usage") ? document["usage"] : document;
        if (!usage.is_object() || !usage.contains("cost") || !usage["cost"].is_number())
            return 0;
        return usage["cost"].get<double>();
    }

    /// Base of the attempt sinks: reports the end of the attempt once.
    class AttemptSink : public net::TransferSink {
    public:
        AttemptSink(std::shared_ptr<CallerRequest> caller, std::uint32_t attempt, EventQueue& eventQueue,
            const RelaySettings& settings)
            : m_caller(std::move(caller))
            , m_eventQueue(eventQueue)
            , m_settings(settings)
        {
            m_report.id = m_caller->id();
            m_report.attempt = attempt;
        }

    protected:
        void report(AttemptEnd end, const net::TransferResult& result)
        {
            m_report.end = end;
            m_report.detail = result.detail;
            if (result.pooledConnection)
                m_caller->addUsedConnection(result.pooledConnection);
            m_eventQueue.push(std::move(m_report));
        }

        std::shared_ptr<CallerRequest> m_caller;
        EventQueue& m_eventQueue;
        const RelaySettings& m_settings;
        routing::AttemptEnded m_report;
        int m_status = 0;
    };

    /// Buffers a non-streamed response and checks that it belongs to this request.
    class BufferedAnswerSink : public AttemptSink {
    public:
        using AttemptSink::AttemptSink;

    protected:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_status = status;
            m_report.answer.httpStatus = status;
            if (auto type = net::findField(fields, "Content-Type"))
                m_report.answer.contentType = *type;
            const auto echoedRequestId = net::findField(fields, requestIdHeader);
            m_wrongRequestId = echoedRequestId && *echoedRequestId != m_caller->idText();
            m_requestIdMissing = !echoedRequestId;
        }

        bool onBody(std::string_view bytes) override
        {
            if (m_report.answer.body.size() + bytes.size() > m_settings.maxAnswerBytes)
                m_tooLarge = true;
            else
                m_report.answer.body.append(bytes);
            return true;
        }

        // A successful response without a request id could belong to any request.
        bool onIsAnswerToRequest() const override
        {
            return !m_wrongRequestId && !(m_requestIdMissing && m_status < 400);
        }

        void onEnd(const net::TransferResult& result) override
        {
            AttemptEnd end = toAttemptEnd(result);
            if (end == AttemptEnd::Completed && !onIsAnswerToRequest())
                end = AttemptEnd::Crossed;
            else if (end == AttemptEnd::Completed && isRejection(m_status))
                end = AttemptEnd::Rejected;
            else if (end == AttemptEnd::Completed && m_tooLarge)
                end = AttemptEnd::Broken;
            if (end == AttemptEnd::Completed)
                m_report.cost = reportedCost(json::parse(m_report.answer.body, nullptr, false));
            report(end, result);
        }

        bool m_wrongRequestId = false;
        bool m_requestIdMissing = true;
        bool m_tooLarge = false;
    };

    /// Buffers the response of the router that holds the session and adopts its outcome and request id.
    class ForwardSink final : public BufferedAnswerSink {
    public:
        using BufferedAnswerSink::BufferedAnswerSink;

    private:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            BufferedAnswerSink::onHeaders(status, fields);
            if (auto echoedRequestId = net::findField(fields, requestIdHeader))
                m_report.answer.requestId = *echoedRequestId;
            const auto outcome = net::findField(fields, "Sagechute-Outcome");
            m_hasOutcome = outcome.has_value();
            if (outcome == "completed" || outcome == "streaming")
                m_report.answer.outcome = Outcome::Completed;
            else if (outcome == "not-run")
                m_report.answer.outcome = Outcome::NotRun;
            else if (outcome == "incomplete")
                m_report.answer.outcome = Outcome::Incomplete;
            else
                m_report.answer.outcome = Outcome::Unknown;
        }

        void onEnd(const net::TransferResult& result) override
        {
            AttemptEnd end = toAttemptEnd(result);
            if (end == AttemptEnd::Completed && (!m_hasOutcome || m_tooLarge))
                end = AttemptEnd::Broken;
            report(end, result);
        }

        bool m_hasOutcome = false;
    };

    /// Relays a streamed response event by event as it arrives.
    class StreamSink final : public AttemptSink {
    public:
        StreamSink(std::shared_ptr<CallerRequest> caller, std::uint32_t attempt, EventQueue& eventQueue,
            const RelaySettings& settings, std::uint64_t from, bool storeAnswer)
            : AttemptSink(std::move(caller), attempt, eventQueue, settings)
            , m_checker(m_caller->idText(), from)
            , m_storeAnswer(storeAnswer)
        {
        }

        std::shared_ptr<std::atomic<net::TransferId>> transfer = std::make_shared<std::atomic<net::TransferId>>(0);

    private:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_status = status;
            const auto echoedRequestId = net::findField(fields, requestIdHeader);
            m_wrongRequestId = echoedRequestId && *echoedRequestId != m_caller->idText();
        }

        bool onBody(std::string_view bytes) override
        {
            if (m_status != 200 || m_wrongRequestId || m_checker.done()
                || m_checker.fault() != delivery::StreamFault::None)
                return true;
            // Backpressure: a slow caller pauses its target's stream. Otherwise the response would accumulate in
            // memory.
            if (m_queuedBytes > m_settings.streamBufferBytes && waitForCaller())
                return false;
            m_checker.feed(bytes);
            relay();
            return true;
        }

        bool waitForCaller()
        {
            m_queuedBytes = m_caller->exchange().write({});
            if (m_queuedBytes <= m_settings.streamBufferBytes)
                return false;
            const net::TransferId self = transfer->load();
            if (!self)
                return false; // The transfer id is not stored yet, so it could not be resumed. Few bytes are queued
                              // this early.
            m_caller->pausedTransfer.store(self);
            // The queue may have drained before pausedTransfer was set, and then nothing would resume this transfer, so
            // check it again.
            m_queuedBytes = m_caller->exchange().write({});
            if (m_queuedBytes > m_settings.streamBufferBytes)
                return true;
            m_caller->pausedTransfer.store(0);
            return false;
        }

        void relay()
        {
            m_outgoing.clear();
            while (auto event = m_checker.next()) {
                if (event->kind == delivery::StreamEventKind::Repeated)
                    continue;
                if (event->kind == delivery::StreamEventKind::Done) {
                    m_report.usage = event->data;
                    continue;
                }
                m_outgoing.append("id: ")
                    .append(m_caller->idText())
                    .append(":")
                    .append(std::to_string(event->position));
                m_outgoing.append("\ndata: ").append(event->data).append("\n\n");
            }
            if (m_outgoing.empty())
                return;
            m_caller->startStream();
            m_queuedBytes = m_caller->exchange().write(m_outgoing);
            m_caller->positions.store(m_checker.nextPosition(), std::memory_order_relaxed);
            if (m_storeAnswer && m_report.answer.body.size() + m_outgoing.size() <= m_settings.maxStoredStreamBytes)
                m_report.answer.body.append(m_outgoing);
            else
                discardStoredAnswer();
        }

        // A resend must get the complete response or none, because a partial one would look complete to the caller.
        void discardStoredAnswer()
        {
            m_storeAnswer = false;
            m_report.answer.body.clear();
        }

        bool onIsAnswerToRequest() const override
        {
            const delivery::StreamFault fault = m_checker.fault();
            return !m_wrongRequestId && fault != delivery::StreamFault::Crossed && fault != delivery::StreamFault::Gap;
        }

        AttemptEnd classify(const net::TransferResult& result) const
        {
            if (m_status == 404)
                return AttemptEnd::NotResumable;
            if (m_status && m_status != 200)
                return AttemptEnd::Rejected;
            if (!onIsAnswerToRequest())
                return AttemptEnd::Crossed;
            // Only the target's end-of-stream event marks completion, because a truncated stream may look like one that
            // ended normally.
            if (m_checker.done())
                return AttemptEnd::Completed;
            const AttemptEnd end = toAttemptEnd(result);
            return end == AttemptEnd::Completed ? AttemptEnd::Broken : end;
        }

        void onEnd(const net::TransferResult& result) override
        {
            const AttemptEnd end = classify(result);
            m_report.nextPosition = m_checker.nextPosition();
            m_report.cost = static_cast<double>(m_checker.nextPosition());
            if (end == AttemptEnd::Completed) {
                m_report.cost = std::max(m_report.cost, reportedCost(json::parse(m_report.usage, nullptr, false)));
                if (m_storeAnswer) {
                    m_report.answer.httpStatus = 200;
                    m_report.answer.contentType = "text/event-stream";
                    m_report.answer.body += "event: outcome\ndata: "
                        + json { { "outcome", "completed" }, { "requestId", m_caller->idText() } }.dump() + "\n\n";
                }
            }
            report(end, result);
        }

        delivery::StreamChecker m_checker;
        std::string m_outgoing;
        std::size_t m_queuedBytes = 0;
        bool m_wrongRequestId = false;
        bool m_storeAnswer;
    };

} // namespace

AttemptSender::AttemptSender(net::HttpClient& client, EventQueue& eventQueue, const RelaySettings& settings)
    : m_client(client)
    , m_eventQueue(eventQueue)
    , m_settings(settings)
{
}

net::TransferId AttemptSender::start(const std::shared_ptr<CallerRequest>& caller, const routing::StartAttempt& action)
{
    net::ClientRequest request;
    request.method = "POST";
    request.url
        = "http://" + action.address + (action.mode == config::TargetMode::Engine ? "/v1/generate" : "/v1/call");
    request.sharedBody = bodyOf(caller);
    copyHeaders(targetHeaders, caller->request(), request);
    request.headers.push_back({ std::string(requestIdHeader), caller->idText() });
    request.headers.push_back({ "Sagechute-Customer", caller->customer().value });
    if (action.resumeFrom)
        request.headers.push_back({ "Sagechute-Resume-From", std::to_string(*action.resumeFrom) });
    request.connectTimeout = m_settings.connectTimeout;
    request.totalTimeout = action.answerLimit;
    request.freshConnection = action.freshConnection;
    request.avoidedConnections = caller->usedConnections();
    if (!action.streamed)
        return m_client.start(
            std::move(request), std::make_unique<BufferedAnswerSink>(caller, action.attempt, m_eventQueue, m_settings));
    request.silenceTimeout = action.tokenGapLimit;
    const bool storeAnswer
        = !action.resumeFrom && net::findField(caller->request().headers, "Sagechute-Session").has_value();
    auto sink = std::make_unique<StreamSink>(
        caller, action.attempt, m_eventQueue, m_settings, action.resumeFrom.value_or(0), storeAnswer);
    const auto transfer = sink->transfer;
    const net::TransferId id = m_client.start(std::move(request), std::move(sink));
    transfer->store(id);
    return id;
}

net::TransferId AttemptSender::start(
    const std::shared_ptr<CallerRequest>& caller, const routing::StartForward& action, const VmId& self)
{
    net::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + action.address + caller->request().path;
    request.sharedBody = bodyOf(caller);
    copyHeaders(forwardedHeaders, caller->request(), request);
    request.headers.push_back({ "Sagechute-Forwarded", self.value });
    request.connectTimeout = m_settings.connectTimeout;
    request.freshConnection = true;
    return m_client.start(
        std::move(request), std::make_unique<ForwardSink>(caller, action.attempt, m_eventQueue, m_settings));
}

void AttemptSender::cancelAtTarget(const std::string& address, const std::string& requestId)
{
    class IgnoringSink final : public net::TransferSink {
        void onHeaders(int, const std::vector<net::Field>&) override { }
        bool onBody(std::string_view) override { return true; }
        void onEnd(const net::TransferResult&) override { }
    };
    net::ClientRequest request;
    request.method = "DELETE";
    request.url = "http://" + address + "/v1/requests/" + requestId;
    request.connectTimeout = m_settings.connectTimeout;
    request.totalTimeout = std::chrono::seconds(2);
    m_client.start(std::move(request), std::make_unique<IgnoringSink>());
}

} // namespace sagechute::router
