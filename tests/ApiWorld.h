#pragma once

#include "FaultyLog.h"

#include <sagechute/Operators.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace sagechute::operators {

using nlohmann::json;

/// A test that hangs ends here; nothing is measured by it.
inline constexpr std::chrono::seconds hangLimit { 30 };

/// The faulty log for several threads, with reads that wait for a record.
class SharedLog final : public config::LogPort {
public:
    using Fault = config::FaultyLog::Fault;

    template <typename Use> auto with(Use use)
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
        return use(m_log);
    }

    std::string text()
    {
        return with([](config::FaultyLog& log) {
            std::string all;
            for (const config::LogRecord& record : log.kept(config::configStream))
                all += record.data + "\n";
            return all;
        });
    }

    std::size_t size()
    {
        return with([](config::FaultyLog& log) { return log.kept(config::configStream).size(); });
    }

private:
    absl::StatusOr<LogOffset> onAppend(std::string_view stream, std::string_view record) override
    {
        return with([&](config::FaultyLog& log) { return log.append(stream, record); });
    }

    absl::StatusOr<config::LogBatch> onRead(
        std::string_view stream, LogOffset from, std::chrono::milliseconds wait) override
    {
        std::unique_lock lock(m_mutex);
        auto batch = m_log.read(stream, from, wait);
        if (wait == std::chrono::milliseconds::zero() || !batch.ok() || !batch->records.empty() || batch->first > from)
            return batch;
        m_changed.wait_for(lock, std::min(wait, std::chrono::milliseconds(20)));
        return m_log.read(stream, from, wait);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    config::FaultyLog m_log;
};

/// Routers that tell their status, in place of an HTTP client.
class FakeRouters final : public net::HttpClient {
public:
    void set(const std::string& vm, LogOffset offset)
    {
        const std::lock_guard lock(m_mutex);
        m_offsets[vm] = offset;
    }

    /// Every router that is not set apart is always up to date.
    static std::string addressOf(const std::string& vm) { return vm + ":9000"; }

private:
    net::TransferId start(net::ClientRequest request, std::unique_ptr<net::TransferSink> sink) override
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [vm, offset] : m_offsets) {
            if (request.url != "http://" + addressOf(vm) + "/v1/status")
                continue;
            sink->headers(200, {});
            sink->body(status(vm).dump());
            sink->end({ net::TransferEnd::Completed, 200, {} });
            return 1;
        }
        sink->end({ net::TransferEnd::NothingSent, 0, "refused" });
        return 1;
    }

    json status(const std::string& self) const
    {
        json members = json::array();
        for (const auto& [vm, offset] : m_offsets)
            members.push_back({ { "vm", vm }, { "state", "alive" }, { "zone", "z" }, { "callerAddress", addressOf(vm) },
                { "configOffset", offset }, { "draining", false } });
        return { { "vm", self }, { "incarnation", 1 }, { "zone", "z" }, { "configOffset", m_offsets.at(self) },
            { "logReachable", true }, { "draining", false }, { "load", 0 }, { "members", members },
            { "pools", json::array() } };
    }

    void cancel(net::TransferId) override { }
    void resume(net::TransferId) override { }

    std::mutex m_mutex;
    std::map<std::string, LogOffset> m_offsets;
};

/// One request as the API sees it, and its answer.
class FakeExchange final : public net::ServerExchange {
public:
    explicit FakeExchange(net::ServerRequest request)
        : m_request(std::move(request))
    {
    }

    /// Waits for a whole answer.
    net::ServerResponse response()
    {
        await([this] { return m_response.has_value(); });
        const std::lock_guard lock(m_mutex);
        return m_response.value_or(net::ServerResponse { 0, {}, {} });
    }

    /// Waits until the stream's bytes satisfy @p test. @return the bytes.
    std::string bytes(const std::function<bool(const std::string&)>& test)
    {
        await([&] { return test(m_bytes); });
        const std::lock_guard lock(m_mutex);
        return m_bytes;
    }

    bool isOver()
    {
        const std::lock_guard lock(m_mutex);
        return m_isOver;
    }

    /// The caller takes no more bytes, or takes them again.
    void stall(bool isStalled)
    {
        std::function<void()> listener;
        {
            const std::lock_guard lock(m_mutex);
            m_isStalled = isStalled;
            m_queued = 0;
            listener = m_drained;
        }
        if (listener && !isStalled)
            listener();
    }

    /// The caller goes.
    void close()
    {
        std::function<void()> listener;
        {
            const std::lock_guard lock(m_mutex);
            m_isOver = true;
            listener = std::exchange(m_closed, {});
        }
        if (listener)
            listener();
    }

    std::size_t mostQueued()
    {
        const std::lock_guard lock(m_mutex);
        return m_mostQueued;
    }

private:
    const net::ServerRequest& request() const override { return m_request; }

    void respond(net::ServerResponse response) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_response && !m_isStreaming)
            m_response = std::move(response);
        m_changed.notify_all();
    }

    void startRaw() override { }
    void startStream(int, std::vector<net::Field>) override
    {
        const std::lock_guard lock(m_mutex);
        m_isStreaming = true;
    }

    std::size_t write(std::string_view bytes) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_isOver)
            return 0;
        m_bytes += bytes;
        m_queued = m_isStalled ? m_queued + bytes.size() : 0;
        m_mostQueued = std::max(m_mostQueued, m_queued);
        m_changed.notify_all();
        return m_queued;
    }

    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        m_isOver = true;
        m_changed.notify_all();
    }

    void abort() override { finish(); }

    void onDrained(std::function<void()> listener) override
    {
        const std::lock_guard lock(m_mutex);
        m_drained = std::move(listener);
    }

    void onClosed(std::function<void()> listener) override
    {
        const std::lock_guard lock(m_mutex);
        m_closed = std::move(listener);
    }

    void await(const std::function<bool()>& test)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, hangLimit, test))
            FAIL("no answer to " << m_request.method << " " << m_request.path);
    }

    const net::ServerRequest m_request;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<net::ServerResponse> m_response;
    std::string m_bytes;
    std::size_t m_queued = 0;
    std::size_t m_mostQueued = 0;
    bool m_isStreaming = false;
    bool m_isStalled = false;
    bool m_isOver = false;
    std::function<void()> m_drained;
    std::function<void()> m_closed;
};

inline constexpr const char* changerKey = "key-of-kaito-1";
inline constexpr const char* viewerKey = "key-of-anjali-1";

/// An API over a faulty log and fake routers.
class ApiWorld {
public:
    explicit ApiWorld(std::shared_ptr<SharedLog> sharedLog = std::make_shared<SharedLog>())
        : log(std::move(sharedLog))
    {
        ApiOptions options;
        options.keys = { { "kaito", Role::Change, changerKey }, { "anjali", Role::View, viewerKey } };
        options.routers = { "http://" + FakeRouters::addressOf("vm-1") };
        options.pollWaiting = std::chrono::milliseconds(5);
        options.pollIdle = std::chrono::milliseconds(20);
        options.watchHeartbeat = std::chrono::milliseconds(20);
        options.mostWatches = 3;
        routers.set("vm-1", 1'000'000);
        api = Api::make(options, *log, routers);
        while (!api->readiness().ok())
            std::this_thread::yield();
    }

    /// Sends a request. @param target path with query.
    std::shared_ptr<FakeExchange> send(const std::string& method, const std::string& target,
        const std::string& body = {}, const std::string& key = changerKey)
    {
        net::ServerRequest request;
        request.method = method;
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::stringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string field; std::getline(query, field, '&');)
            request.query.push_back({ field.substr(0, field.find('=')), field.substr(field.find('=') + 1) });
        if (!key.empty())
            request.headers.push_back({ "Authorization", "Bearer " + key });
        request.body = body;
        request.peerAddress = "10.0.0.9";
        auto exchange = std::make_shared<FakeExchange>(std::move(request));
        api->handle(exchange);
        return exchange;
    }

    struct Answer {
        int status = 0;
        json document;
    };

    Answer call(const std::string& method, const std::string& target, const json& body = {},
        const std::string& key = changerKey)
    {
        const net::ServerResponse response = send(method, target, body.is_null() ? "" : body.dump(), key)->response();
        return { response.status, json::parse(response.body, nullptr, false) };
    }

    Answer putCustomer(const std::string& name, double weight)
    {
        return call("PUT", "/v1/resources/customer/" + name,
            { { "spec", { { "weight", weight }, { "key", "a-random-key-of-" + name } } } });
    }

    /// Waits until an audit line satisfies @p test.
    json awaitAudit(const std::function<bool(const json&)>& test)
    {
        const auto until = std::chrono::steady_clock::now() + hangLimit;
        while (std::chrono::steady_clock::now() < until) {
            const Answer answer = call("GET", "/v1/audit");
            for (const json& line : answer.document["lines"]) {
                if (test(line))
                    return line;
            }
        }
        FAIL("no such line in the audit trail");
        return {};
    }

    std::shared_ptr<SharedLog> log;
    FakeRouters routers;
    std::unique_ptr<Api> api;
};

} // namespace sagechute::operators
