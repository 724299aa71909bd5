#pragma once

#include <sagechute/Edge.h>

#include <condition_variable>
#include <mutex>

namespace sagechute::edge {

/// A router's response to a request for its state.
struct PeerResponse {
    RouterContact peer;
    TimePoint sentAt; ///< When the request was sent, on the clock of unsuspendedNow().
    net::ClientResponse http;
};

/// Input of the thread that fetches other routers' state: the router that has newer knowledge of the store, and
/// responses. Every member function may be called from any thread.
///
/// Fetching must not wait for a read of the store: a store that does not answer blocks a read for seconds, in which the
/// peers' updates would come too late.
class PeerInbox {
public:
    struct Events {
        std::optional<RouterContact> source; ///< The last router that announced newer knowledge; replaces earlier ones.
        std::vector<PeerResponse> responses;
    };

    void addSource(const RouterContact& router)
    {
        {
            std::lock_guard lock(m_mutex);
            m_events.source = router;
        }
        m_changed.notify_one();
    }

    void addResponse(PeerResponse response)
    {
        {
            std::lock_guard lock(m_mutex);
            m_events.responses.push_back(std::move(response));
        }
        m_changed.notify_one();
    }

    /// @return all queued events, possibly none after @p wait; nullopt, without waiting, when closed.
    std::optional<Events> take(Duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_events.source || !m_events.responses.empty() || m_isClosed; });
        return m_isClosed ? std::nullopt : std::optional(std::exchange(m_events, {}));
    }

    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_changed.notify_one();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Events m_events;
    bool m_isClosed = false;
};

} // namespace sagechute::edge
