#include <sagechute/Standin.h>

namespace sagechute::standin {

RunCounter::RunCounter(std::size_t singlesKept)
    : m_singlesKept(singlesKept)
{
}

void RunCounter::add(const std::string& key)
{
    if (const auto it = m_repeated.find(key); it != m_repeated.end()) {
        ++it->second;
        return;
    }
    if (m_recent.erase(key) + m_older.erase(key) > 0) {
        m_repeated[key] = 2;
        return;
    }
    m_recent[key] = 1;
    if (m_recent.size() < m_singlesKept)
        return;
    m_older = std::move(m_recent);
    m_recent.clear();
}

std::map<std::string, std::uint64_t> RunCounter::atLeast(std::uint64_t least) const
{
    std::map<std::string, std::uint64_t> counts;
    for (const Counts* table : { &m_recent, &m_older, &m_repeated }) {
        if (table != &m_repeated && least > 1)
            continue;
        for (const auto& [key, count] : *table) {
            if (count >= least)
                counts.emplace(key, count);
        }
    }
    return counts;
}

Ledger::Ledger(TimePoint since)
    : m_since(since)
    , m_runningSince(since)
{
}

void Ledger::start(
    const std::string& requestId, const std::string& callerTag, const std::string& customer, TimePoint at)
{
    ++m_total;
    m_runs.add(requestId);
    if (!callerTag.empty())
        m_tags.add(callerTag);
    ++m_customers[customer].started;
    m_lastStarted = at;
}

void Ledger::charge(const std::string& customer, Cost cost) { m_customers[customer].cost += cost; }

void Ledger::setRunning(std::uint64_t running, TimePoint at)
{
    m_busy = busySlotTime(at);
    m_runningSince = at;
    m_running = running;
}

std::chrono::duration<double> Ledger::busySlotTime(TimePoint now) const
{
    return m_busy + std::chrono::duration<double>(now - m_runningSince) * static_cast<double>(m_running);
}

} // namespace sagechute::standin
