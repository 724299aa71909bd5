#include "CacheWatcher.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sagechute::router {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds longPoll { 2000 };
    constexpr std::chrono::milliseconds pollTimeout { 4000 };
    constexpr Duration minPollInterval = std::chrono::milliseconds(250);

    std::optional<std::uint64_t> prefixFromHex(const std::string& text)
    {
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

} // namespace

/// Poll state of one engine. Written by the HTTP client's thread while a poll is in flight, otherwise by the core
/// thread.
struct CacheWatcher::EngineWatch {
    std::string address;
    std::uint64_t nextSequence = 0;
    std::atomic<bool> requestInFlight { false };
    TimePoint nextPollAt {};
};

class CacheWatcher::Sink final : public net::TransferSink {
public:
    Sink(TargetId target, std::shared_ptr<EngineWatch> watch, EventQueue& eventQueue)
        : m_target(std::move(target))
        , m_watch(std::move(watch))
        , m_eventQueue(eventQueue)
    {
    }

private:
    static constexpr std::size_t maxBodyBytes = 1 << 20;

    void onHeaders(int status, const std::vector<net::Field>&) override { m_status = status; }

    bool onBody(std::string_view bytes) override
    {
        if (m_body.size() + bytes.size() <= maxBodyBytes)
            m_body.append(bytes);
        return true;
    }

    void onEnd(const net::TransferResult& result) override
    {
        const bool succeeded = net::isUncut(result.end) && m_status == 200;
        if (!succeeded || !applyDocument(json::parse(m_body, nullptr, false)))
            m_eventQueue.push(routing::PrefixesUnknown { m_target });
        m_watch->requestInFlight.store(false, std::memory_order_release);
    }

    bool applyDocument(const json& document)
    {
        if (!document.is_object() || !document.contains("events") || !document["events"].is_array())
            return false;
        for (const json& it : document["events"]) {
            if (!applyEvent(it))
                return false;
        }
        return true;
    }

    bool applyEvent(const json& event)
    {
        const bool wellFormed = event.is_object() && event.contains("seq") && event["seq"].is_number_unsigned()
            && event.contains("kind") && event["kind"].is_string() && event.contains("prefix")
            && event["prefix"].is_string();
        const auto prefix = wellFormed ? prefixFromHex(event["prefix"].get<std::string>()) : std::nullopt;
        if (!prefix)
            return false;
        const auto sequence = event["seq"].get<std::uint64_t>();
        if (sequence > m_watch->nextSequence && m_watch->nextSequence)
            m_eventQueue.push(routing::PrefixesUnknown { m_target });
        m_watch->nextSequence = sequence + 1;
        m_eventQueue.push(routing::PrefixChanged { m_target, *prefix, event["kind"] == "stored" });
        return true;
    }

    TargetId m_target;
    std::shared_ptr<EngineWatch> m_watch;
    EventQueue& m_eventQueue;
    std::string m_body;
    int m_status = 0;
};

CacheWatcher::CacheWatcher(net::HttpClient& client, EventQueue& eventQueue)
    : m_client(client)
    , m_eventQueue(eventQueue)
{
}

void CacheWatcher::follow(const std::vector<config::Target>& targets)
{
    std::map<TargetId, std::shared_ptr<EngineWatch>> watches;
    for (const config::Target& it : targets) {
        if (it.mode != config::TargetMode::Engine)
            continue;
        const auto known = m_watches.find(it.name);
        if (known != m_watches.end() && known->second->address == it.address) {
            watches.insert(*known);
            continue;
        }
        auto watch = std::make_shared<EngineWatch>();
        watch->address = it.address;
        watches.emplace(it.name, std::move(watch));
    }
    m_watches = std::move(watches);
}

void CacheWatcher::poll(TimePoint now)
{
    for (const auto& [target, watch] : m_watches) {
        if (now >= watch->nextPollAt && !watch->requestInFlight.load(std::memory_order_acquire))
            sendPoll(now, target, watch);
    }
}

void CacheWatcher::sendPoll(TimePoint now, const TargetId& target, const std::shared_ptr<EngineWatch>& watch)
{
    watch->requestInFlight.store(true);
    watch->nextPollAt = now + minPollInterval;
    net::ClientRequest request;
    request.url = "http://" + watch->address + "/v1/cache-events?from=" + std::to_string(watch->nextSequence)
        + "&wait=" + std::to_string(longPoll.count());
    request.totalTimeout = pollTimeout;
    m_client.start(std::move(request), std::make_unique<Sink>(target, watch, m_eventQueue));
}

} // namespace sagechute::router
