#include "LeaseRunner.h"

#include <sagechute/Process.h>

namespace sagechute::steward {
namespace {

    constexpr Duration idleSleep = std::chrono::milliseconds(100);
    constexpr Duration failureBackoff = std::chrono::milliseconds(500);

} // namespace

LeaseRunner::LeaseRunner(config::LogPort& log, std::unique_ptr<LeaseContender> contender)
    : m_log(log)
    , m_contender(std::move(contender))
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

std::optional<HeldLease> LeaseRunner::held(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_contender->held(now);
}

std::string LeaseRunner::holder() const
{
    const std::lock_guard lock(m_mutex);
    return m_contender->holder();
}

bool LeaseRunner::release(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    m_contender->release();
    m_changed.notify_all();
    return m_changed.wait_for(lock, timeout, [this] { return m_contender->released(); });
}

void LeaseRunner::run()
{
    for (;;) {
        LeaseAction action;
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopped)
                return;
            action = m_contender->next(steadyNow());
        }
        if (action.type == LeaseAction::Type::Wait)
            sleep(idleSleep);
        else
            execute(action);
    }
}

void LeaseRunner::execute(const LeaseAction& action)
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
            m_contender->read(*batch, steadyNow());
        else if (status.ok())
            m_contender->appended(steadyNow());
        else
            m_contender->failed(steadyNow());
    }
    m_changed.notify_all();
    if (status.ok())
        return;
    process::log(process::LogLevel::Warning, "lease-log-failed", { { "message", std::string(status.message()) } });
    sleep(failureBackoff);
}

void LeaseRunner::sleep(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [this] { return m_isStopped; });
}

} // namespace sagechute::steward
