#include "EventLoop.h"

namespace sagechute::load {

void EventLoop::post(Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_inbox.push_back(std::move(work));
    }
    m_posted.notify_one();
}

void EventLoop::after(Duration delay, Work work)
{
    m_timers.push({ steadyNow() + delay, m_nextOrder++, std::move(work) });
}

void EventLoop::run()
{
    std::vector<Work> batch;
    while (!m_stopped) {
        waitForWork();
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_inbox);
        }
        for (Work& work : batch)
            work();
        batch.clear();
        while (!m_stopped && runDueTimer()) { }
    }
}

void EventLoop::stop() { m_stopped = true; }

bool EventLoop::runDueTimer()
{
    if (m_timers.empty() || m_timers.top().due > steadyNow())
        return false;
    // The queue's top is const; the work is copied out because running it may push further timers.
    const Work work = m_timers.top().work;
    m_timers.pop();
    work();
    return true;
}

void EventLoop::waitForWork()
{
    std::unique_lock lock(m_mutex);
    constexpr Duration longest = std::chrono::seconds(1);
    const Duration wait = m_timers.empty() ? longest : std::min(longest, m_timers.top().due - steadyNow());
    m_posted.wait_for(lock, wait, [&] { return !m_inbox.empty(); });
}

} // namespace sagechute::load
