#include "EdgeState.h"

namespace sagechute::edge {

EdgeState::EdgeState(const dispatch::DispatchSettings& settings, VmId self, ZoneId zone, std::uint64_t seed)
    : vm(std::move(self))
    , m_dispatcher(dispatch::Dispatcher::make(settings, std::move(zone), seed))
{
}

bool EdgeState::adoptConfig(const ConfigRecord& record, dispatch::FleetConfig config)
{
    std::lock_guard lock(m_mutex);
    // What is in force never goes back, whatever an older record or a router that lags says.
    if (m_configRecord && record.version <= m_configRecord->version)
        return false;
    m_configRecord = record;
    auto table = dispatch::RoutingTable::make(std::move(config));
    m_dispatcher->setConfig(table);
    m_table.store(std::move(table));
    m_configVersion.store(record.version);
    return true;
}

std::optional<ConfigRecord> EdgeState::configRecord() const
{
    std::lock_guard lock(m_mutex);
    return m_configRecord;
}

std::vector<dispatch::Target> EdgeState::targets() const
{
    std::lock_guard lock(m_mutex);
    return m_roster.targets();
}

std::vector<ListedTarget> EdgeState::listedTargets(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_roster.listed(now);
}

bool EdgeState::canServe() const
{
    if (isStopping || !table())
        return false;
    std::lock_guard lock(m_mutex);
    return m_dispatcher->hasTargets();
}

} // namespace sagechute::edge
