#pragma once

#include <sagechute/Core.h>

#include <condition_variable>
#include <mutex>

namespace sagechute::edge {

/// Lets periodic threads sleep, and wakes them up when they must stop. Thread-safe.
class InterruptibleSleeper {
public:
    /// @return true after the whole duration; false, without further delay, once stop() has been called.
    bool sleepFor(Duration duration)
    {
        std::unique_lock lock(m_mutex);
        return !m_stopRequested.wait_for(lock, duration, [this] { return m_isStopping; });
    }

    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_stopRequested.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_isStopping = false;
};

} // namespace sagechute::edge
