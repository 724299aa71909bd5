#pragma once

#include <sagechute/Edge.h>

#include <condition_variable>
#include <mutex>

namespace sagechute::edge {

/// Routers that were heard to know more of the store than this one does, for the thread that fetches it from them.
/// Every member function may be called from any thread.
///
/// Fetching must not wait for a read of the store: a store that keeps silent to one router holds its call for seconds,
/// in which the others' news would come too late.
class NewsBox {
public:
    /// The newest of what several say replaces the others.
    void put(const RouterContact& router)
    {
        {
            std::lock_guard lock(m_mutex);
            m_source = router;
        }
        m_changed.notify_one();
    }

    /// @return a router to fetch from, or nullopt after @p wait, or at once when closed.
    std::optional<RouterContact> take(Duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_source || m_isClosed; });
        return std::exchange(m_source, std::nullopt);
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
    std::optional<RouterContact> m_source;
    bool m_isClosed = false;
};

} // namespace sagechute::edge
