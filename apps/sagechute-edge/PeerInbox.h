#pragma once

#include <sagechute/Edge.h>

#include <condition_variable>
#include <mutex>

namespace sagechute::edge {

/// What a router answered when it was asked for what it knows.
struct PeerAnswer {
    RouterContact peer;
    TimePoint sent; ///< When it was asked, by unsuspendedNow().
    net::ClientResponse response;
};

/// For the thread that asks other routers: whom it was heard of to know more of the store, and what those answered.
/// Every member function may be called from any thread.
///
/// Asking must not wait for a read of the store: a store that keeps silent to one router holds its call for seconds, in
/// which the others' news would come too late.
class PeerInbox {
public:
    struct Content {
        std::optional<RouterContact> source; ///< The newest that was heard of; it replaces the others.
        std::vector<PeerAnswer> answers;
    };

    void heard(const RouterContact& router)
    {
        {
            std::lock_guard lock(m_mutex);
            m_content.source = router;
        }
        m_changed.notify_one();
    }

    void answered(PeerAnswer answer)
    {
        {
            std::lock_guard lock(m_mutex);
            m_content.answers.push_back(std::move(answer));
        }
        m_changed.notify_one();
    }

    /// @return all that has come; nothing after @p wait, and nullopt, at once, when closed.
    std::optional<Content> take(Duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_content.source || !m_content.answers.empty() || m_isClosed; });
        return m_isClosed ? std::nullopt : std::optional(std::exchange(m_content, {}));
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
    Content m_content;
    bool m_isClosed = false;
};

} // namespace sagechute::edge
