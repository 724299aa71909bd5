#pragma once

/// @file
/// Queue of events from all threads to the core thread.

#include "CallerRequest.h"

#include <sagechute/Routing.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace sagechute::router {

/// An event for the core. For a new request, `caller` holds the connection that receives the response.
struct QueuedEvent {
    routing::Event event;
    std::shared_ptr<CallerRequest> caller;
};

/// Unbounded multi-producer, single-consumer queue. The lock is held only while an event is moved or the buffers are
/// swapped.
class EventQueue {
public:
    void push(routing::Event event, std::shared_ptr<CallerRequest> caller = nullptr)
    {
        bool wasEmpty;
        {
            std::lock_guard lock(m_mutex);
            wasEmpty = m_events.empty();
            m_events.push_back({ std::move(event), std::move(caller) });
        }
        if (wasEmpty)
            m_notEmpty.notify_one();
    }

    /// Waits up to @p timeout for events and takes all of them.
    /// @param out is cleared and receives the events in order.
    void waitAndDrain(std::vector<QueuedEvent>& out, Duration timeout)
    {
        out.clear();
        std::unique_lock lock(m_mutex);
        if (m_events.empty())
            m_notEmpty.wait_for(lock, timeout, [this] { return !m_events.empty(); });
        out.swap(m_events);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::vector<QueuedEvent> m_events;
};

} // namespace sagechute::router
