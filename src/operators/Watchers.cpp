#include "operators/Watchers.h"

#include "operators/Documents.h"

#include <vector>

namespace sagechute::operators {
namespace {

    constexpr std::size_t eventsAtOnce = 64;
    constexpr std::size_t mostQueuedBytes = 256 << 10;
    constexpr Duration longestStall = std::chrono::seconds(30);

    absl::Status listAgain(LogOffset from)
    {
        return makeError(ErrorKind::RetentionExceeded,
            "changes after offset " + std::to_string(from) + " are no longer held",
            "list again, and watch from the offset that the list names");
    }

    std::string eventText(std::string_view name, const std::string& id, const std::string& data)
    {
        std::string text = "event: " + std::string(name) + "\n";
        if (!id.empty())
            text += "id: " + id + "\n";
        return text + "data: " + data + "\n\n";
    }

    std::string bookmark(LogOffset offset)
    {
        return eventText("bookmark", std::to_string(offset), toText({ { "offset", offset } }));
    }

} // namespace

Watchers::Watchers(const SharedReplica& replica, Settings settings)
    : m_replica(replica)
    , m_settings(settings)
{
}

Watchers::~Watchers()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void Watchers::start()
{
    m_thread = std::thread([this] { run(); });
}

void Watchers::add(const std::shared_ptr<net::ServerExchange>& exchange, const WatchRequest& request)
{
    if (!m_replica.eventsAfter(request.from, request.kind, 1)) {
        exchange->respond(net::errorResponse(listAgain(request.from)));
        return;
    }
    auto watch = std::make_shared<Watch>();
    watch->exchange = exchange;
    watch->request = request;
    watch->cursor = request.from;
    watch->lastRoom = steadyNow();
    {
        const std::lock_guard lock(m_mutex);
        if (m_watches.size() >= m_settings.most) {
            net::ServerResponse response = net::errorResponse(makeError(ErrorKind::TooManyRequests,
                "there are already " + std::to_string(m_watches.size()) + " watches here",
                "watch at another API, or later"));
            response.headers.push_back({ "Retry-After", "5" });
            exchange->respond(std::move(response));
            return;
        }
        exchange->startStream(200,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
                { "X-Accel-Buffering", "no" } });
        m_watches.push_back(watch);
        m_statusReaders += request.wantsStatus ? 1 : 0;
    }
    exchange->onDrained([this] { wake(); });
    exchange->onClosed([this, weak = std::weak_ptr(watch)] {
        if (const auto closed = weak.lock())
            closed->isClosed = true;
        wake();
    });
    wake();
}

void Watchers::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDue = true;
    }
    m_wake.notify_all();
}

void Watchers::publishStatus(std::string data)
{
    {
        const std::lock_guard lock(m_mutex);
        m_status = std::move(data);
        ++m_statusSerial;
        m_isDue = true;
    }
    m_wake.notify_all();
}

void Watchers::run()
{
    while (true) {
        std::vector<std::shared_ptr<Watch>> watches;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, m_settings.heartbeat / 2, [this] { return m_isDue || m_stopping; });
            if (m_stopping)
                return;
            m_isDue = false;
            removeEnded();
            watches.assign(m_watches.begin(), m_watches.end());
        }
        const TimePoint now = steadyNow();
        for (const auto& watch : watches) {
            if (!pump(*watch, now))
                watch->isClosed = true;
        }
    }
}

void Watchers::removeEnded()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (!(*it)->isClosed) {
            ++it;
            continue;
        }
        m_statusReaders -= (*it)->request.wantsStatus ? 1 : 0;
        it = m_watches.erase(it);
    }
}

bool Watchers::pump(Watch& watch, TimePoint now)
{
    if (watch.isClosed)
        return false;
    if (!pumpChanges(watch, now))
        return false;
    pumpStatus(watch, now);
    return true;
}

bool Watchers::pumpChanges(Watch& watch, TimePoint now)
{
    while (hasRoom(watch, now)) {
        const auto slice = m_replica.eventsAfter(watch.cursor, watch.request.kind, eventsAtOnce);
        if (!slice) {
            // The reader was slower than the changes that are held, or this API started anew from a snapshot.
            watch.exchange->write(eventText("list-again", "", toText(errorDocument(listAgain(watch.cursor)))));
            watch.exchange->finish();
            return false;
        }
        for (const FeedEvent& event : slice->events)
            watch.exchange->write(eventText("change", std::to_string(event.offset), event.data));
        watch.cursor = slice->upTo;
        if (slice->events.size() < eventsAtOnce)
            break;
    }
    // Without it a reader cannot tell a quiet fleet from a connection that went silent; and its offset would age past
    // what is held while nothing of its kind changes.
    if (now - watch.lastBookmark >= m_settings.heartbeat && hasRoom(watch, now)) {
        watch.exchange->write(bookmark(watch.cursor));
        watch.lastBookmark = now;
    }
    return !watch.isClosed;
}

bool Watchers::hasRoom(Watch& watch, TimePoint now)
{
    if (watch.exchange->write("") < mostQueuedBytes) {
        watch.lastRoom = now;
        return true;
    }
    // A connection that went silent is never reported closed: its watch and its queue would stay for good.
    if (now - watch.lastRoom > longestStall) {
        watch.exchange->abort();
        watch.isClosed = true;
    }
    return false;
}

void Watchers::pumpStatus(Watch& watch, TimePoint now)
{
    if (!watch.request.wantsStatus)
        return;
    std::string status;
    {
        const std::lock_guard lock(m_mutex);
        if (watch.statusSerial == m_statusSerial)
            return;
        watch.statusSerial = m_statusSerial;
        status = m_status;
    }
    // A newer state replaces this one: a slow reader just gets fewer.
    if (hasRoom(watch, now))
        watch.exchange->write(eventText("status", "", status));
}

} // namespace sagechute::operators
