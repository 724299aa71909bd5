#pragma once

#include "operators/FleetPoller.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>

namespace sagechute::operators {

/// Requests that wait until a change is in force on every router.
class ChangeWaiters {
public:
    /// Takes over the answer: it is given once the configuration up to @p offset is in force everywhere, or at @p until
    /// with what is known then.
    /// @param document the answer, to which the progress is added.
    void add(const std::shared_ptr<net::ServerExchange>&, LogOffset offset, nlohmann::json document, TimePoint until);

    /// Answers those that are done.
    void settle(TimePoint now, const FleetPoller&);

    /// @return whether somebody waits.
    bool any() const { return m_count > 0; }

private:
    struct Waiter {
        std::shared_ptr<net::ServerExchange> exchange;
        LogOffset offset = 0;
        nlohmann::json document;
        TimePoint until {};
        std::atomic<bool> isClosed = false;
    };

    std::mutex m_mutex;
    std::list<std::shared_ptr<Waiter>> m_waiters;
    std::atomic<std::size_t> m_count = 0;
};

/// @return the answer that tells how far something is in force.
net::ServerResponse progressResponse(nlohmann::json document, const Progress&);

} // namespace sagechute::operators
