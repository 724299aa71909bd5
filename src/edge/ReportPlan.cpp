#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A report that is older says nothing any more. Some intervals of the reports in a large fleet.
    constexpr Duration reportKept = std::chrono::milliseconds(1200);

    bool isBetterRelay(const RouterAddress& one, const RouterAddress& other)
    {
        return one.capacity != other.capacity ? one.capacity > other.capacity : one.vm < other.vm;
    }

} // namespace

ReportPlan planReports(const std::vector<RouterAddress>& alive, const VmId& self)
{
    ReportPlan plan;
    plan.isDirect = alive.size() <= mostDirectRouters;
    std::map<ZoneId, const RouterAddress*> relays;
    const RouterAddress* own = nullptr;
    for (const RouterAddress& it : alive) {
        const RouterAddress*& relay = relays[it.zone];
        if (!relay || isBetterRelay(it, *relay))
            relay = &it;
        if (it.vm == self)
            own = &it;
    }
    if (!own)
        return plan;
    plan.isRelay = !plan.isDirect && relays.at(own->zone) == own;
    if (!plan.isDirect && !plan.isRelay) {
        plan.relay = *relays.at(own->zone);
        return plan;
    }
    for (const RouterAddress& it : alive) {
        if (&it != own && (plan.isDirect || it.zone == own->zone))
            plan.others.push_back(it);
    }
    if (plan.isDirect)
        return plan;
    for (const auto& [zone, relay] : relays) {
        if (relay != own)
            plan.relays.push_back(*relay);
    }
    return plan;
}

void RelayDesk::memberReported(TimePoint now, const VmId& vm, dispatch::LoadReport report)
{
    // Prefixes that have not been passed on yet are kept: each is told in few reports.
    Part& part = m_members[vm];
    for (auto& [target, prefixes] : part.report.placed) {
        auto& told = report.placed[target];
        told.insert(told.end(), prefixes.begin(), prefixes.end());
    }
    part = { std::move(report), now };
}

void RelayDesk::zoneReported(TimePoint now, const ZoneId& zone, dispatch::LoadReport report)
{
    m_zones[zone] = { std::move(report), now };
}

dispatch::LoadReport RelayDesk::zoneSum(TimePoint now) const
{
    dispatch::LoadReport sum;
    for (const auto& [vm, part] : m_members) {
        if (now - part.at <= reportKept)
            add(sum, part.report);
    }
    return sum;
}

dispatch::LoadReport RelayDesk::sumWithout(TimePoint now, const VmId& member) const
{
    dispatch::LoadReport sum;
    for (const auto& [vm, part] : m_members) {
        if (vm != member && now - part.at <= reportKept)
            add(sum, part.report);
    }
    for (const auto& [zone, part] : m_zones) {
        if (now - part.at <= reportKept)
            add(sum, part.report);
    }
    return sum;
}

void RelayDesk::passedOn()
{
    for (auto& [vm, part] : m_members)
        part.report.placed.clear();
    for (auto& [zone, part] : m_zones)
        part.report.placed.clear();
}

} // namespace sagechute::edge
