#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A report older than this, which is several report intervals of a large fleet, is no longer used.
    constexpr Duration maxReportAge = std::chrono::milliseconds(1200);

    /// What a zone's routers have granted stays granted: its customers count for as long as the window over which
    /// shares are compared.
    constexpr Duration maxCustomersAge = dispatch::defaultShareWindow;

    /// A sum arrives some intervals after the report that it includes, and later from a relay with few cores.
    constexpr std::size_t maxSentReports = 32;

    dispatch::LoadReport customersOf(const dispatch::LoadReport& report)
    {
        dispatch::LoadReport customers;
        customers.age = report.age;
        customers.customers = report.customers;
        return customers;
    }

    bool isPreferredRelay(const RouterAddress& one, const RouterAddress& other)
    {
        return one.capacity != other.capacity ? one.capacity > other.capacity : one.vm < other.vm;
    }

} // namespace

ReportPlan planReports(const std::vector<RouterAddress>& alive, const VmId& self)
{
    ReportPlan plan;
    plan.isDirect = alive.size() <= maxDirectRouters;
    std::map<ZoneId, const RouterAddress*> relays;
    const RouterAddress* own = nullptr;
    for (const RouterAddress& it : alive) {
        const RouterAddress*& relay = relays[it.zone];
        if (!relay || isPreferredRelay(it, *relay))
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

void LoadReportAggregator::setRouterReport(TimePoint now, const VmId& vm, dispatch::LoadReport report)
{
    replace(m_members[vm], { std::move(report), now });
}

void LoadReportAggregator::setZoneReport(TimePoint now, const ZoneId& zone, dispatch::LoadReport report)
{
    replace(m_zones[zone], { std::move(report), now });
}

void LoadReportAggregator::replace(TimedReport& current, TimedReport next)
{
    if (!m_forwardedAt)
        m_forwardedAt = next.at;
    // A router that others take for a relay, but that does not forward anything, would keep more and more.
    if (next.at - *m_forwardedAt > maxReportAge)
        current.report.placed.clear();
    // Prefixes that have not been forwarded yet are kept, since each is sent in a few reports only.
    for (const auto& [target, placed] : current.report.placed) {
        dispatch::PlacedPrompts& told = next.report.placed[target];
        told.shared.insert(placed.shared.begin(), placed.shared.end());
        told.unsharedTokens += placed.unsharedTokens;
    }
    current = std::move(next);
}

void LoadReportAggregator::addReport(TimePoint now, dispatch::LoadReport& sum, const TimedReport& timedReport)
{
    const Duration age = timedReport.report.age + (now - timedReport.at);
    add(sum, timedReport.report, now - timedReport.at);
    sum.age = std::max(sum.age, age);
}

dispatch::LoadReport LoadReportAggregator::zoneSum(TimePoint now) const
{
    dispatch::LoadReport sum;
    for (const auto& [vm, timedReport] : m_members) {
        if (now - timedReport.at <= maxReportAge)
            addReport(now, sum, timedReport);
    }
    return sum;
}

dispatch::LoadReport LoadReportAggregator::sum(TimePoint now, dispatch::LoadReport own) const
{
    for (const auto& [zone, timedReport] : m_zones) {
        if (now - timedReport.at <= maxReportAge)
            addReport(now, own, timedReport);
        else if (now - timedReport.at <= maxCustomersAge)
            addReport(now, own, { customersOf(timedReport.report), timedReport.at });
    }
    return own;
}

std::set<std::string> LoadReportAggregator::staleSources(TimePoint now) const
{
    std::set<std::string> names;
    for (const auto& [vm, timedReport] : m_members) {
        if (now - timedReport.at > maxReportAge)
            names.insert(vm.value);
    }
    for (const auto& [zone, timedReport] : m_zones) {
        if (now - timedReport.at > maxReportAge)
            names.insert(zone.value);
    }
    return names;
}

std::uint64_t LoadReportAggregator::includedSerial(TimePoint now, const VmId& member) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && now - it->second.at <= maxReportAge ? it->second.report.serial : 0;
}

void LoadReportAggregator::clearForwardedPrompts(TimePoint now)
{
    m_forwardedAt = now;
    for (auto& [vm, timedReport] : m_members)
        timedReport.report.placed.clear();
    for (auto& [zone, timedReport] : m_zones)
        timedReport.report.placed.clear();
}

void SentReports::sent(const dispatch::LoadReport& report)
{
    m_reports.push_back(report);
    m_reports.back().placed.clear();
    if (m_reports.size() > maxSentReports)
        m_reports.pop_front();
}

bool SentReports::subtractFrom(dispatch::LoadReport& sum, std::uint64_t includedSerial) const
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
