#pragma once

#include <sagechute/Core.h>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace sagechute::edge {

/// Callbacks with a due time. One thread runs them; any thread may add or cancel one.
class TimerQueue {
public:
    using TimerId = std::uint64_t;

    TimerId add(TimePoint due, std::function<void()> callback)
    {
        std::lock_guard lock(m_mutex);
        const TimerId id = ++m_lastId;
        m_byTime.emplace(Key { due, id }, std::move(callback));
        m_dueTimeById.emplace(id, due);
        return id;
    }

    /// A callback that runDue() has already taken out may still run after this returns.
    void cancel(TimerId id)
    {
        std::lock_guard lock(m_mutex);
        const auto it = m_dueTimeById.find(id);
        if (it == m_dueTimeById.end())
            return;
        m_byTime.erase({ it->second, id });
        m_dueTimeById.erase(it);
    }

    void runDue(TimePoint now)
    {
        std::vector<std::function<void()>> callbacks;
        {
            std::lock_guard lock(m_mutex);
            while (!m_byTime.empty() && m_byTime.begin()->first.first <= now) {
                m_dueTimeById.erase(m_byTime.begin()->first.second);
                callbacks.push_back(std::move(m_byTime.begin()->second));
                m_byTime.erase(m_byTime.begin());
            }
        }
        for (const auto& callback : callbacks)
            callback();
    }

private:
    using Key = std::pair<TimePoint, TimerId>;

    std::mutex m_mutex;
    std::map<Key, std::function<void()>> m_byTime;
    std::map<TimerId, TimePoint> m_dueTimeById;
    TimerId m_lastId = 0;
};

} // namespace sagechute::edge
