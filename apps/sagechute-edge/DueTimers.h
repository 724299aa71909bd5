#pragma once

#include <sagechute/Core.h>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace sagechute::edge {

/// Calls that come due. One thread runs them; any may add or take back.
class DueTimers {
public:
    using TimerId = std::uint64_t;

    TimerId add(TimePoint due, std::function<void()> call)
    {
        std::lock_guard lock(m_mutex);
        const TimerId id = ++m_lastId;
        m_byTime.emplace(Key { due, id }, std::move(call));
        m_dueById.emplace(id, due);
        return id;
    }

    /// A call that is just being made may still be made.
    void remove(TimerId id)
    {
        std::lock_guard lock(m_mutex);
        const auto it = m_dueById.find(id);
        if (it == m_dueById.end())
            return;
        m_byTime.erase({ it->second, id });
        m_dueById.erase(it);
    }

    void run(TimePoint now)
    {
        std::vector<std::function<void()>> calls;
        {
            std::lock_guard lock(m_mutex);
            while (!m_byTime.empty() && m_byTime.begin()->first.first <= now) {
                m_dueById.erase(m_byTime.begin()->first.second);
                calls.push_back(std::move(m_byTime.begin()->second));
                m_byTime.erase(m_byTime.begin());
            }
        }
        for (const auto& call : calls)
            call();
    }

private:
    using Key = std::pair<TimePoint, TimerId>;

    std::mutex m_mutex;
    std::map<Key, std::function<void()>> m_byTime;
    std::map<TimerId, TimePoint> m_dueById;
    TimerId m_lastId = 0;
};

} // namespace sagechute::edge
