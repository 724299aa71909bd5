#include "Attempt.h"

#include <nlohmann/json.hpp>

namespace sagechute::router {

using nlohmann::json;
using routing::AttemptEnd;

namespace {

    constexpr std::string_view identityHeader = "Sagechute-Request-Id";

    /// Headers of a caller that the router that holds the session needs too.
    constexpr std::string_view forwardedHeaders[]
        = { "Authorization", "Accept", "Content-Type", "Sagechute-Repeatable", "Sagechute-Session",
              "Sagechute-Sequence", "Sagechute-Deadline-Ms", "Sagechute-Cost-Hint", "Sagechute-Caller-Tag" };

    /// Headers of a caller that its target gets.
    constexpr std::string_view targetHeaders[] = { "Accept", "Content-Type", "Sagechute-Caller-Tag" };

    template <std::size_t size>
    void copyHeaders(const std::string_view (&names)[size], const net::ServerRequest& from, net::ClientRequest& to)
    {
        for (std::string_view name : names) {
            if (auto value = net::findField(from.headers, name))
                to.headers.push_back({ std::string(name), std::string(*value) });
        }
    }

    AttemptEnd endOf(const net::TransferResult& result)
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

    /// A target that is overloaded or failing answers so; everything else below 500 is its complete answer to this
    /// request.
    bool isRejection(int status) { return status >= 500 || status == 429 || status == 408; }

    Cost costIn(const json& document)
    {
        if (!document.is_object())
            return 0;
        const json& usage = document.contains("usage") ? document["usage"] : document;
        if (!usage.is_object() || !usage.contains("cost") || !usage["cost"].is_number())
            return 0;
        return usage["cost"].get<double>();
    }

    /// What every kind of attempt does: report its end once.
    class Sink : public net::TransferSink {
    public:
        Sink(std::shared_ptr<CallerRequest> caller, std::uint32_t attempt, Inbox& inbox, const RelaySettings& settings)
            : m_caller(std::move(caller))
            , m_inbox(inbox)
            , m_settings(settings)
        {
            m_ended.id = m_caller->id();
            m_ended.attempt = attempt;
        }

    protected:
        void report(AttemptEnd end, const net::TransferResult& result)
        {
            m_ended.end = end;
            m_ended.detail = result.detail;
            m_inbox.push(std::move(m_ended));
        }

        std::shared_ptr<CallerRequest> m_caller;
        Inbox& m_inbox;
        const RelaySettings& m_settings;
        routing::AttemptEnded m_ended;
        int m_status = 0;
    };

    /// Collects a whole answer and checks whose it is.
    class WholeSink : public Sink {
    public:
        using Sink::Sink;

    protected:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_status = status;
            m_ended.answer.httpStatus = status;
            if (auto type = net::findField(fields, "Content-Type"))
                m_ended.answer.contentType = *type;
            const auto identity = net::findField(fields, identityHeader);
            m_crossed = identity && *identity != m_caller->idText();
            m_unnamed = !identity;
        }

        bool onBody(std::string_view bytes) override
        {
            if (m_ended.answer.body.size() + bytes.size() > m_settings.mostAnswerBytes)
                m_tooLarge = true;
            else
                m_ended.answer.body.append(bytes);
            return true;
        }

        void onEnd(const net::TransferResult& result) override
        {
            AttemptEnd end = endOf(result);
            // An answer that names no request could be anybody's.
            const bool foreign = m_crossed || (m_unnamed && m_status < 400);
            if (end == AttemptEnd::Completed && isRejection(m_status))
                end = AttemptEnd::Rejected;
            else if (end == AttemptEnd::Completed && foreign)
                end = AttemptEnd::Crossed;
            else if (end == AttemptEnd::Completed && m_tooLarge)
                end = AttemptEnd::Broken;
            if (end == AttemptEnd::Completed)
                m_ended.cost = costIn(json::parse(m_ended.answer.body, nullptr, false));
            report(end, result);
        }

        bool m_crossed = false;
        bool m_unnamed = true;
        bool m_tooLarge = false;
    };

    /// Takes over the whole answer of the router that holds the session, its outcome included.
    class ForwardSink final : public WholeSink {
    public:
        using WholeSink::WholeSink;

    private:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            WholeSink::onHeaders(status, fields);
            if (auto identity = net::findField(fields, identityHeader))
                m_ended.answer.requestId = *identity;
            const auto outcome = net::findField(fields, "Sagechute-Outcome");
            m_named = outcome.has_value();
            if (outcome == "completed" || outcome == "streaming")
                m_ended.answer.outcome = Outcome::Completed;
            else if (outcome == "not-run")
                m_ended.answer.outcome = Outcome::NotRun;
            else if (outcome == "incomplete")
                m_ended.answer.outcome = Outcome::Incomplete;
            else
                m_ended.answer.outcome = Outcome::Unknown;
        }

        void onEnd(const net::TransferResult& result) override
        {
            AttemptEnd end = endOf(result);
            if (end == AttemptEnd::Completed && (!m_named || m_tooLarge))
                end = AttemptEnd::Broken;
            report(end, result);
        }

        bool m_named = false;
    };

    /// Relays a streamed answer event by event, as it comes.
    class StreamSink final : public Sink {
    public:
        StreamSink(std::shared_ptr<CallerRequest> caller, std::uint32_t attempt, Inbox& inbox,
            const RelaySettings& settings, std::uint64_t from, bool keep)
            : Sink(std::move(caller), attempt, inbox, settings)
            , m_checker(m_caller->idText(), from)
            , m_keep(keep)
        {
        }

        std::shared_ptr<std::atomic<net::TransferId>> transfer = std::make_shared<std::atomic<net::TransferId>>(0);

    private:
        void onHeaders(int status, const std::vector<net::Field>& fields) override
        {
            m_status = status;
            const auto identity = net::findField(fields, identityHeader);
            m_crossed = identity && *identity != m_caller->idText();
        }

        bool onBody(std::string_view bytes) override
        {
            if (m_status != 200 || m_crossed || m_checker.done() || m_checker.fault() != delivery::StreamFault::None)
                return true;
            // A slow caller holds its own target's stream back; without a bound its answer would pile up here.
            if (m_queued > m_settings.streamBufferBytes && waitForCaller())
                return false;
            m_checker.feed(bytes);
            relay();
            return true;
        }

        bool waitForCaller()
        {
            m_queued = m_caller->exchange().write({});
            if (m_queued <= m_settings.streamBufferBytes)
                return false;
            const net::TransferId self = transfer->load();
            if (!self)
                return false; // Not yet known who to wake: the first bytes are few.
            m_caller->pausedTransfer.store(self);
            // The queue may have drained between the look at it and the mark: look again, since nobody would wake this
            // transfer.
            m_queued = m_caller->exchange().write({});
            if (m_queued > m_settings.streamBufferBytes)
                return true;
            m_caller->pausedTransfer.store(0);
            return false;
        }

        void relay()
        {
            m_out.clear();
            while (auto event = m_checker.next()) {
                if (event->kind == delivery::StreamEventKind::Repeated)
                    continue;
                if (event->kind == delivery::StreamEventKind::Done) {
                    m_ended.usage = event->data;
                    continue;
                }
                m_out.append("id: ").append(m_caller->idText()).append(":").append(std::to_string(event->position));
                m_out.append("\ndata: ").append(event->data).append("\n\n");
            }
            if (m_out.empty())
                return;
            m_caller->startStream();
            m_queued = m_caller->exchange().write(m_out);
            m_caller->positions.store(m_checker.nextPosition(), std::memory_order_relaxed);
            if (m_keep && m_ended.answer.body.size() + m_out.size() <= m_settings.keptStreamBytes)
                m_ended.answer.body.append(m_out);
            else
                dropKept();
        }

        // A resend must get the whole answer or none: a part would look complete to it.
        void dropKept()
        {
            m_keep = false;
            m_ended.answer.body.clear();
        }

        AttemptEnd classify(const net::TransferResult& result) const
        {
            if (m_status == 404)
                return AttemptEnd::NotResumable;
            if (m_status && m_status != 200)
                return AttemptEnd::Rejected;
            if (m_crossed || m_checker.fault() == delivery::StreamFault::Crossed
                || m_checker.fault() == delivery::StreamFault::Gap)
                return AttemptEnd::Crossed;
            // The target's own end mark counts, not the end of the connection: a cut stream may look like a finished
            // one.
            if (m_checker.done())
                return AttemptEnd::Completed;
            const AttemptEnd end = endOf(result);
            return end == AttemptEnd::Completed ? AttemptEnd::Broken : end;
        }

        void onEnd(const net::TransferResult& result) override
        {
            const AttemptEnd end = classify(result);
            m_ended.nextPosition = m_checker.nextPosition();
            m_ended.cost = static_cast<double>(m_checker.nextPosition());
            if (end == AttemptEnd::Completed) {
                m_ended.cost = std::max(m_ended.cost, costIn(json::parse(m_ended.usage, nullptr, false)));
                if (m_keep) {
                    m_ended.answer.httpStatus = 200;
                    m_ended.answer.contentType = "text/event-stream";
                    m_ended.answer.body += "event: outcome\ndata: "
                        + json { { "outcome", "completed" }, { "requestId", m_caller->idText() } }.dump() + "\n\n";
                }
            }
            report(end, result);
        }

        delivery::StreamChecker m_checker;
        std::string m_out;
        std::size_t m_queued = 0;
        bool m_crossed = false;
        bool m_keep;
    };

} // namespace

Attempts::Attempts(net::HttpClient& client, Inbox& inbox, const RelaySettings& settings)
    : m_client(client)
    , m_inbox(inbox)
    , m_settings(settings)
{
}

net::TransferId Attempts::start(const std::shared_ptr<CallerRequest>& caller, const routing::StartAttempt& action)
{
    net::ClientRequest request;
    request.method = "POST";
    request.url
        = "http://" + action.address + (action.mode == config::TargetMode::Engine ? "/v1/generate" : "/v1/call");
    request.body = caller->request().body;
    copyHeaders(targetHeaders, caller->request(), request);
    request.headers.push_back({ std::string(identityHeader), caller->idText() });
    request.headers.push_back({ "Sagechute-Customer", caller->customer().value });
    if (action.resumeFrom)
        request.headers.push_back({ "Sagechute-Resume-From", std::to_string(*action.resumeFrom) });
    request.connectTimeout = m_settings.connectTimeout;
    request.totalTimeout = action.answerLimit;
    request.freshConnection = action.freshConnection;
    if (!action.streamed)
        return m_client.start(
            std::move(request), std::make_unique<WholeSink>(caller, action.attempt, m_inbox, m_settings));
    request.silenceTimeout = action.tokenGapLimit;
    const bool keep = !action.resumeFrom && net::findField(caller->request().headers, "Sagechute-Session").has_value();
    auto sink = std::make_unique<StreamSink>(
        caller, action.attempt, m_inbox, m_settings, action.resumeFrom.value_or(0), keep);
    const auto transfer = sink->transfer;
    const net::TransferId id = m_client.start(std::move(request), std::move(sink));
    transfer->store(id);
    return id;
}

net::TransferId Attempts::start(
    const std::shared_ptr<CallerRequest>& caller, const routing::StartForward& action, const VmId& self)
{
    net::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + action.address + caller->request().path;
    request.body = caller->request().body;
    copyHeaders(forwardedHeaders, caller->request(), request);
    request.headers.push_back({ "Sagechute-Forwarded", self.value });
    request.connectTimeout = m_settings.connectTimeout;
    request.freshConnection = true;
    return m_client.start(
        std::move(request), std::make_unique<ForwardSink>(caller, action.attempt, m_inbox, m_settings));
}

void Attempts::cancelAtTarget(const std::string& address, const std::string& requestId)
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
