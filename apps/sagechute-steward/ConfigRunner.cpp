#include "ConfigRunner.h"

#include <sagechute/Process.h>

namespace sagechute::steward {
namespace {

    /// Upper bound on the delay before a stop request or a due snapshot is noticed.
    constexpr std::chrono::milliseconds pollWait { 1000 };
    constexpr Duration failureBackoff = std::chrono::milliseconds(500);

} // namespace

ConfigRunner::ConfigRunner(config::LogPort& log, const LeaseRunner& lease, const SnapshotSettings& settings)
    : m_log(log)
    , m_lease(lease)
    , m_replica(config::ConfigReplica::make())
    , m_follower(config::LogFollower::make(log, *m_replica))
    , m_settings(settings)
    , m_schedule(settings)
    , m_thread([this] { run(); })
{
}

ConfigRunner::~ConfigRunner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_stopping.notify_all();
    m_thread.join();
}

std::string ConfigRunner::problem() const
{
    const std::lock_guard lock(m_mutex);
    return m_problem;
}

void ConfigRunner::setProblem(std::string problem)
{
    const std::lock_guard lock(m_mutex);
    if (problem != m_problem)
        process::log(process::LogLevel::Info, problem.empty() ? "configuration-current" : "configuration-behind",
            { { "reason", problem } });
    m_problem = std::move(problem);
}

void ConfigRunner::run()
{
    for (;;) {
        const absl::Status status = m_follower->poll(pollWait);
        setProblem(status.ok() ? "" : std::string(status.message()) + "; " + errorRemedy(status));
        if (status.ok())
            writeSnapshotIfDue();
        std::unique_lock lock(m_mutex);
        const bool isStopped = m_stopping.wait_for(
            lock, status.ok() ? Duration::zero() : failureBackoff, [this] { return m_isStopped; });
        if (isStopped)
            return;
    }
}

void ConfigRunner::writeSnapshotIfDue()
{
    const TimePoint now = steadyNow();
    m_schedule.observeLog(m_follower->logFirst(), m_follower->logEnd(), now);
    const std::optional<HeldLease> hold = m_lease.held(now);
    if (!hold)
        return;
    if (hold->fencing != m_scheduleFencing) {
        // It is not known for certain what a previous holder wrote and when, so start with a new snapshot.
        m_scheduleFencing = hold->fencing;
        m_schedule.discardWritten();
    }
    if (!m_schedule.due(m_replica->offset(), now))
        return;
    // Only this thread advances the replica, so the snapshot covers exactly this offset.
    const LogOffset covers = m_replica->offset();
    const absl::Status status = m_log.append(config::snapshotStream, m_replica->snapshot()).status();
    if (!status.ok()) {
        m_schedule.failed(now);
        process::log(process::LogLevel::Warning, "snapshot-failed", { { "message", std::string(status.message()) } });
        return;
    }
    m_schedule.wrote(covers, now);
    ++m_snapshotsWritten;
    process::log(process::LogLevel::Info, "snapshot-written", { { "covers", std::to_string(covers) } });
}

} // namespace sagechute::steward
