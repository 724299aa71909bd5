#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A report that is older says nothing any more. Some intervals of the reports in a large fleet.
    constexpr Duration reportKept = std::chrono::milliseconds(1200);

    /// What a zone's routers granted stays granted: its customers count for as long as shares are compared over.
    constexpr Duration customersKept = dispatch::DispatchSettings {}.shareWindow;

    /// A sum comes some intervals after the report that is in it; one of a relay with few cores later.
    constexpr std::size_t rememberedReports = 32;

    dispatch::LoadReport customersOf(const dispatch::LoadReport& report)
    {
        dispatch::LoadReport customers;
        customers.age = report.age;
        customers.customers = report.customers;
        return customers;
    }

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
    for (const auto& [target, placed] : part.report.placed) {
        dispatch::PlacedPrompts& told = report.placed[target];
        told.shared.insert(placed.shared.begin(), placed.shared.end());
        told.unsharedTokens += placed.unsharedTokens;
    }
    part = { std::move(report), now };
}

void RelayDesk::zoneReported(TimePoint now, const ZoneId& zone, dispatch::LoadReport report)
{
    m_zones[zone] = { std::move(report), now };
}

void RelayDesk::addPart(TimePoint now, dispatch::LoadReport& sum, const Part& part)
{
    const Duration age = part.report.age + (now - part.at);
    add(sum, part.report);
    sum.age = std::max(sum.age, age);
}

dispatch::LoadReport RelayDesk::zoneSum(TimePoint now) const
{
    dispatch::LoadReport sum;
    for (const auto& [vm, part] : m_members) {
        if (now - part.at <= reportKept)
            addPart(now, sum, part);
    }
    return sum;
}

dispatch::LoadReport RelayDesk::sum(TimePoint now, dispatch::LoadReport own) const
{
    for (const auto& [zone, part] : m_zones) {
        if (now - part.at <= reportKept)
            addPart(now, own, part);
        else if (now - part.at <= customersKept)
            addPart(now, own, { customersOf(part.report), part.at });
    }
    return own;
}

std::set<std::string> RelayDesk::late(TimePoint now) const
{
    std::set<std::string> names;
    for (const auto& [vm, part] : m_members) {
        if (now - part.at > reportKept)
            names.insert(vm.value);
    }
    for (const auto& [zone, part] : m_zones) {
        if (now - part.at > reportKept)
            names.insert(zone.value);
    }
    return names;
}

std::uint64_t RelayDesk::includedSerial(TimePoint now, const VmId& member) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && now - it->second.at <= reportKept ? it->second.report.serial : 0;
}

void RelayDesk::passedOn()
{
    for (auto& [vm, part] : m_members)
        part.report.placed.clear();
    for (auto& [zone, part] : m_zones)
        part.report.placed.clear();
}

void OwnReports::sent(const dispatch::LoadReport& report)
{
    m_reports.push_back(report);
    m_reports.back().placed.clear();
    if (m_reports.size() > rememberedReports)
        m_reports.pop_front();
}

bool OwnReports::takeOff(dispatch::LoadReport& sum, std::uint64_t includedSerial) const
{
    if (includedSerial == 0)
        return true;
    const auto it = std::find_if(
        m_reports.begin(), m_reports.end(), [&](const auto& report) { return report.serial == includedSerial; });
    if (it == m_reports.end())
        return false;
    subtract(sum, *it);
    return true;
}

} // namespace sagechute::edge
