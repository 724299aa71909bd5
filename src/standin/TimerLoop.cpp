#include <sagechute/Standin.h>

namespace sagechute::standin {

TimerLoop::TimerLoop(std::function<std::optional<TimePoint>(TimePoint now)> turn)
    : m_turn(std::move(turn))
    , m_thread([this] { run(); })
{
}

TimerLoop::~TimerLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void TimerLoop::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_woken)
            return;
        m_woken = true;
    }
    m_changed.notify_one();
}

void TimerLoop::run()
{
    const auto due = [this] { return m_woken || m_ending; };
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
        m_woken = false;
        lock.unlock();
        const std::optional<TimePoint> next = m_turn(steadyNow());
        lock.lock();
        if (!next) {
            m_changed.wait(lock, due);
            continue;
        }
        const TimePoint now = steadyNow();
        if (*next > now)
            m_changed.wait_for(lock, *next - now, due);
    }
}

} // namespace sagechute::standin
