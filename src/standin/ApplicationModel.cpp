#include <sagechute/Standin.h>

#include <utility>

namespace sagechute::standin {

ApplicationModel::ApplicationModel(const ApplicationOptions& options, TimePoint now)
    : m_options(options)
    , m_random(options.seed)
    , m_ledger(now)
{
}

std::uint64_t ApplicationModel::submit(ApplicationCall call, TimePoint now)
{
    finishUntil(now);
    const double factor = call.work * (1 + m_options.jitter * (2 * m_random.fraction() - 1));
    const auto duration = std::chrono::duration_cast<Duration>(m_options.serviceTime * factor) + call.slowBy;
    m_waiting.push_back({ ++m_lastNumber, std::move(call), duration });
    startWaiting(now);
    return m_lastNumber;
}

std::vector<ApplicationResult> ApplicationModel::advance(TimePoint now)
{
    finishUntil(now);
    return std::exchange(m_results, {});
}

std::optional<TimePoint> ApplicationModel::nextAt() const
{
    if (!m_results.empty())
        return TimePoint::min();
    if (m_running.empty())
        return std::nullopt;
    return m_running.begin()->first;
}

void ApplicationModel::finishUntil(TimePoint now)
{
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const auto ended = m_running.extract(m_running.begin());
        const Call& call = ended.mapped();
        const Cost cost = std::chrono::duration<double>(call.duration).count() * m_options.costPerSecond;
        m_ledger.charge(call.call.customer, cost);
        m_results.push_back({ call.number, cost });
        // At the moment of the end, not at now: a timer that comes late must not make the slots look slower.
        m_ledger.setRunning(m_running.size(), ended.key());
        startWaiting(ended.key());
    }
}

void ApplicationModel::startWaiting(TimePoint at)
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        Call call = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_ledger.start(call.call.requestId, call.call.callerTag, call.call.customer, at);
        const TimePoint end = at + call.duration;
        m_running.emplace(end, std::move(call));
        m_ledger.setRunning(m_running.size(), at);
    }
}

} // namespace sagechute::standin
