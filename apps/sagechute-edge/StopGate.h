#pragma once

#include <sagechute/Core.h>

#include <condition_variable>
#include <mutex>

namespace sagechute::edge {

/// Lets threads that work at intervals sleep, and ends their sleep when they are to stop. Every member function may be
/// called from any thread.
class StopGate {
public:
    /// @return false, at once, when the thread is to stop; true after the whole pause.
    bool pause(Duration duration)
    {
        std::unique_lock lock(m_mutex);
        return !m_stopped.wait_for(lock, duration, [this] { return m_isStopping; });
    }

    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_stopped.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
};

} // namespace sagechute::edge
