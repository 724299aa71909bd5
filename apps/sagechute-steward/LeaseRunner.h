#pragma once

#include <sagechute/Steward.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace sagechute::steward {

/// Runs a LeaseContender on a dedicated thread, so that a slow target or configuration read never delays a renewal.
class LeaseRunner {
public:
    /// @param log must outlive the runner.
    LeaseRunner(config::LogPort& log, std::unique_ptr<LeaseContender>);
    ~LeaseRunner();
    LeaseRunner(const LeaseRunner&) = delete;
    LeaseRunner& operator=(const LeaseRunner&) = delete;

    std::optional<HeldLease> held(TimePoint now) const;
    std::string holder() const;

    /// Releases the lease and waits until the log confirms it.
    /// @return false if that takes longer than @p timeout; the lease then expires by itself.
    bool release(Duration timeout);

private:
    void run();
    void execute(const LeaseAction&);
    void sleep(Duration);

    config::LogPort& m_log;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unique_ptr<LeaseContender> m_contender;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace sagechute::steward
