#pragma once

#include <sagechute/Steward.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace sagechute::steward {

/// Keeps the lease on a thread of its own, so that a slow target or log read never delays a renewal.
class LeaseRunner {
public:
    /// @param log outlives the runner.
    LeaseRunner(config::LogPort& log, std::unique_ptr<LeaseKeeper>);
    ~LeaseRunner();
    LeaseRunner(const LeaseRunner&) = delete;
    LeaseRunner& operator=(const LeaseRunner&) = delete;

    std::optional<LeaseHold> held(TimePoint now) const;
    std::string holder() const;

    /// Gives the lease up and waits until the log says so.
    /// @return false when that took longer than @p most; the lease then ends by itself.
    bool release(Duration most);

private:
    void run();
    void carryOut(const LeaseAction&);
    void sleep(Duration);

    config::LogPort& m_log;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unique_ptr<LeaseKeeper> m_keeper;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace sagechute::steward
