#include "CacheWatcher.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sagechute::router {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds longPoll { 2000 };
    constexpr std::chrono::milliseconds askTimeout { 4000 };
    constexpr Duration pauseAfterAnswer = std::chrono::milliseconds(250);

    std::optional<std::uint64_t> prefixFromHex(const std::string& text)
    {
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

} // namespace

/// What is known of one engine's events. Written by the client's thread between an ask and its answer, else by the
/// deciding thread.
struct CacheWatcher::Watch {
    std::string address;
    std::uint64_t next = 0;
    std::atomic<bool> asking { false };
    TimePoint askAfter {};
};

class CacheWatcher::Sink final : public net::TransferSink {
public:
    Sink(TargetId target, std::shared_ptr<Watch> watch, Inbox& inbox)
        : m_target(std::move(target))
        , m_watch(std::move(watch))
        , m_inbox(inbox)
    {
    }

private:
    static constexpr std::size_t mostBytes = 1 << 20;

    void onHeaders(int status, const std::vector<net::Field>&) override { m_status = status; }

    bool onBody(std::string_view bytes) override
    {
        if (m_body.size() + bytes.size() <= mostBytes)
            m_body.append(bytes);
        return true;
    }

    void onEnd(const net::TransferResult& result) override
    {
        const bool answered = net::isUncut(result.end) && m_status == 200;
        if (!answered || !take(json::parse(m_body, nullptr, false)))
            m_inbox.push(routing::PrefixesUnknown { m_target });
        m_watch->asking.store(false, std::memory_order_release);
    }

    bool take(const json& document)
    {
        if (!document.is_object() || !document.contains("events") || !document["events"].is_array())
            return false;
        for (const json& it : document["events"]) {
            if (!takeEvent(it))
                return false;
        }
        return true;
    }

    bool takeEvent(const json& event)
    {
        const bool formed = event.is_object() && event.contains("seq") && event["seq"].is_number_unsigned()
            && event.contains("kind") && event["kind"].is_string() && event.contains("prefix")
            && event["prefix"].is_string();
        const auto prefix = formed ? prefixFromHex(event["prefix"].get<std::string>()) : std::nullopt;
        if (!prefix)
            return false;
        const auto sequence = event["seq"].get<std::uint64_t>();
        if (sequence > m_watch->next && m_watch->next)
            m_inbox.push(routing::PrefixesUnknown { m_target });
        m_watch->next = sequence + 1;
        m_inbox.push(routing::PrefixChanged { m_target, *prefix, event["kind"] == "stored" });
        return true;
    }

    TargetId m_target;
    std::shared_ptr<Watch> m_watch;
    Inbox& m_inbox;
    std::string m_body;
    int m_status = 0;
};

CacheWatcher::CacheWatcher(net::HttpClient& client, Inbox& inbox)
    : m_client(client)
    , m_inbox(inbox)
{
}

void CacheWatcher::follow(const std::vector<config::Target>& targets)
{
    std::map<TargetId, std::shared_ptr<Watch>> watches;
    for (const config::Target& it : targets) {
        if (it.mode != config::TargetMode::Engine)
            continue;
        const auto known = m_watches.find(it.name);
        if (known != m_watches.end() && known->second->address == it.address) {
            watches.insert(*known);
            continue;
        }
        auto watch = std::make_shared<Watch>();
        watch->address = it.address;
        watches.emplace(it.name, std::move(watch));
    }
    m_watches = std::move(watches);
}

void CacheWatcher::poll(TimePoint now)
{
    for (const auto& [target, watch] : m_watches) {
        if (now >= watch->askAfter && !watch->asking.load(std::memory_order_acquire))
            ask(now, target, watch);
    }
}

void CacheWatcher::ask(TimePoint now, const TargetId& target, const std::shared_ptr<Watch>& watch)
{
    watch->asking.store(true);
    watch->askAfter = now + pauseAfterAnswer;
    net::ClientRequest request;
    request.url = "http://" + watch->address + "/v1/cache-events?from=" + std::to_string(watch->next)
        + "&wait=" + std::to_string(longPoll.count());
    request.totalTimeout = askTimeout;
    m_client.start(std::move(request), std::make_unique<Sink>(target, watch, m_inbox));
}

} // namespace sagechute::router
