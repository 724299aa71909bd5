#pragma once

/// @file
/// One thread that runs posted and timed work, so that the callers' state needs no locks.

#include <sagechute/Core.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <queue>
#include <vector>

namespace sagechute::load {

/// Runs work in order of time, then of posting. post() may be called from any thread; the rest from the loop's own.
class EventLoop {
public:
    using Work = std::function<void()>;

    void post(Work);
    void after(Duration delay, Work);

    /// Runs until stop().
    void run();
    void stop();

private:
    struct Timer {
        TimePoint due;
        std::uint64_t order = 0;
        Work work;

        bool operator>(const Timer& other) const { return due != other.due ? due > other.due : order > other.order; }
    };

    bool runDueTimer();
    void waitForWork();

    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::vector<Work> m_inbox;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_nextOrder = 0;
    bool m_stopped = false;
};

} // namespace sagechute::load
