#pragma once

#include "LeaseRunner.h"

#include <atomic>

namespace sagechute::steward {

/// Follows the configuration stream on a dedicated thread and writes snapshots while the lease is held.
class ConfigRunner {
public:
    /// @param log must outlive the runner, as must @p lease.
    ConfigRunner(config::LogPort& log, const LeaseRunner& lease, const SnapshotSettings&);
    ~ConfigRunner();
    ConfigRunner(const ConfigRunner&) = delete;
    ConfigRunner& operator=(const ConfigRunner&) = delete;

    std::shared_ptr<const config::ConfigView> view() const { return m_replica->view(); }

    /// @return why the configuration is not up to date; empty if it is.
    std::string problem() const;

    LogOffset logEnd() const { return m_follower->logEnd(); }
    std::uint64_t snapshotsWritten() const { return m_snapshotsWritten; }

private:
    void run();
    void writeSnapshotIfDue();
    void setProblem(std::string);

    config::LogPort& m_log;
    const LeaseRunner& m_lease;
    const std::unique_ptr<config::ConfigReplica> m_replica;
    const std::unique_ptr<config::LogFollower> m_follower;
    const SnapshotSettings m_settings;
    SnapshotSchedule m_schedule;
    LogOffset m_scheduleFencing = 0; ///< Fencing number of the lease to which m_schedule applies.
    std::atomic<std::uint64_t> m_snapshotsWritten { 0 };
    mutable std::mutex m_mutex;
    std::condition_variable m_stopping;
    bool m_isStopped = false;
    std::string m_problem = "the configuration log has not been read yet";
    std::thread m_thread;
};

} // namespace sagechute::steward
