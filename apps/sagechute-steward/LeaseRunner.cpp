#include "LeaseRunner.h"

#include <sagechute/Process.h>

namespace sagechute::steward {
namespace {

    constexpr Duration idleSleep = std::chrono::milliseconds(100);
    constexpr Duration failureSleep = std::chrono::milliseconds(500);

} // namespace

LeaseRunner::LeaseRunner(config::LogPort& log, std::unique_ptr<LeaseKeeper> keeper)
    : m_log(log)
    , m_keeper(std::move(keeper))
    , m_thread([this] { run(); })
{
}

LeaseRunner::~LeaseRunner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::optional<LeaseHold> LeaseRunner::held(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_keeper->held(now);
}

std::string LeaseRunner::holder() const
{
    const std::lock_guard lock(m_mutex);
    return m_keeper->holder();
}

bool LeaseRunner::release(Duration most)
{
    std::unique_lock lock(m_mutex);
    m_keeper->release();
    m_changed.notify_all();
    return m_changed.wait_for(lock, most, [this] { return m_keeper->released(); });
}

void LeaseRunner::run()
{
    for (;;) {
        LeaseAction action;
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopped)
                return;
            action = m_keeper->next(steadyNow());
        }
        if (action.type == LeaseAction::Type::Wait)
            sleep(idleSleep);
        else
            carryOut(action);
    }
}

void LeaseRunner::carryOut(const LeaseAction& action)
{
    absl::Status status;
    std::optional<config::LogBatch> batch;
    if (action.type == LeaseAction::Type::Append) {
        status = m_log.append(config::leaseStream, action.record).status();
    } else {
        absl::StatusOr<config::LogBatch> answer
            = m_log.read(config::leaseStream, action.from, std::chrono::milliseconds::zero());
        status = answer.status();
        if (answer.ok())
            batch = *std::move(answer);
    }
    {
        const std::lock_guard lock(m_mutex);
        if (batch)
            m_keeper->read(*batch, steadyNow());
        else if (status.ok())
            m_keeper->appended(steadyNow());
        else
            m_keeper->failed(steadyNow());
    }
    m_changed.notify_all();
    if (status.ok())
        return;
    process::log(process::LogLevel::Warning, "lease-log-failed", { { "message", std::string(status.message()) } });
    sleep(failureSleep);
}

void LeaseRunner::sleep(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [this] { return m_isStopped; });
}

} // namespace sagechute::steward
