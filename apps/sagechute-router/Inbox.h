#pragma once

/// @file
/// Events from all threads to the one that decides.

#include "CallerRequest.h"

#include <sagechute/Routing.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace sagechute::router {

/// An event, and for an arrival the caller's side of it.
struct Letter {
    routing::Event event;
    std::shared_ptr<CallerRequest> caller;
};

/// A queue with many writers and one reader. The lock covers moving a few pointers and nothing else.
class Inbox {
public:
    void push(routing::Event event, std::shared_ptr<CallerRequest> caller = nullptr)
    {
        bool wasEmpty;
        {
            std::lock_guard lock(m_mutex);
            wasEmpty = m_letters.empty();
            m_letters.push_back({ std::move(event), std::move(caller) });
        }
        if (wasEmpty)
            m_arrived.notify_one();
    }

    /// Waits for letters, at most until the next tick is due. @param out receives them, in order; emptied first.
    void take(std::vector<Letter>& out, Duration most)
    {
        out.clear();
        std::unique_lock lock(m_mutex);
        if (m_letters.empty())
            m_arrived.wait_for(lock, most, [this] { return !m_letters.empty(); });
        out.swap(m_letters);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<Letter> m_letters;
};

} // namespace sagechute::router
