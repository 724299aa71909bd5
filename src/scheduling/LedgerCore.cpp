#include "scheduling/LedgerCore.h"

#include "scheduling/Costs.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    constexpr double kMinWeight = 1e-3;
    constexpr double kMaxWeight = 1e6;
    // Far above any real sum of charges. A larger value from a peer is corrupt, and would stay in the ledger
    // permanently.
    constexpr Cost kMaxService = 1e15;
    constexpr double kCompensatedMeanSteps = 32;
    constexpr std::uint32_t kMaxRefreshedPerSummary = 4;
    constexpr std::uint32_t kMaxScannedPerSummary = 64;

    bool isValidService(Cost service) { return std::isfinite(service) && std::abs(service) <= kMaxService; }

} // namespace

std::unique_ptr<ServiceLedger> ServiceLedger::make(PoolId pool, RouterLife self)
{
    return std::make_unique<LedgerCore>(std::move(pool), std::move(self));
}

LedgerCore::LedgerCore(PoolId pool, RouterLife self)
    : m_pool(std::move(pool))
    , m_self(self)
    , m_remote(std::move(self))
{
}

CustomerIndex LedgerCore::intern(const CustomerId& id)
{
    const auto [it, isNew] = m_index.try_emplace(id, CustomerIndex(m_customers.size()));
    if (isNew)
        m_customers.push_back({ id });
    return it->second;
}

void LedgerCore::setWeight(const CustomerId& id, double weight)
{
    if (!(weight > 0))
        return;
    m_customers[intern(id)].weight = std::clamp(weight, kMinWeight, kMaxWeight);
}

Cost LedgerCore::virtualService(const CustomerId& id) const
{
    const auto it = m_index.find(id);
    return it == m_index.end() ? 0 : virtualService(it->second);
}

void LedgerCore::charge(const CustomerId& id, Cost cost) { charge(intern(id), cost); }

void LedgerCore::charge(CustomerIndex c, Cost cost)
{
    if (!std::isfinite(cost) || cost == 0)
        return;
    Customer& customer = m_customers[c];
    const Cost normalised = std::clamp(cost, -kLargestCost, kLargestCost) / customer.weight;
    customer.own += normalised;
    m_meter.add(c, normalised);
    markChanged(c);
    notifyServiceChanged(c);
}

void LedgerCore::markChanged(CustomerIndex c)
{
    if (m_customers[c].changed)
        return;
    m_customers[c].changed = true;
    m_changed.push_back(c);
}

void LedgerCore::notifyServiceChanged(CustomerIndex c)
{
    if (m_backloggedOrder.contains(c))
        m_backloggedOrder.set(c, virtualService(c));
    for (auto* it : m_observers)
        it->serviceChanged(c);
}

Cost LedgerCore::liftFor(Cost service, Cost idleSince, Cost virtualTime) const
{
    // Adds the advance of virtual time while the customer was idle: it earns no credit, and keeps its lag or debt.
    const Cost advance = std::max<Cost>(0, virtualTime - idleSince);
    const Cost lifted = std::max(service + advance, virtualTime - m_lagLimit);
    return std::max<Cost>(0, std::min(lifted, virtualTime) - service);
}

void LedgerCore::setBacklogged(const CustomerId& id, bool backlogged)
{
    const CustomerIndex c = intern(id);
    if (m_customers[c].explicitlyBacklogged == backlogged)
        return;
    m_customers[c].explicitlyBacklogged = backlogged;
    if (backlogged)
        addBacklog(c);
    else
        removeBacklog(c);
}

void LedgerCore::addBacklog(CustomerIndex c)
{
    Customer& customer = m_customers[c];
    if (!customer.ownBacklogs)
        markChanged(c);
    if (!customer.backlogged()) {
        const Cost lift = liftFor(customer.virtualService(), customer.idleSince, virtualTime());
        if (lift > 0) {
            customer.lift += lift;
            notifyServiceChanged(c);
        }
        enterBacklogged(c);
    }
    ++customer.ownBacklogs;
    customer.backloggedSinceReport = true;
}

void LedgerCore::removeBacklog(CustomerIndex c)
{
    Customer& customer = m_customers[c];
    --customer.ownBacklogs;
    if (!customer.ownBacklogs)
        markChanged(c);
    if (!customer.backlogged())
        leaveBacklogged(c);
}

void LedgerCore::enterBacklogged(CustomerIndex c)
{
    m_backloggedOrder.set(c, virtualService(c));
    m_meter.setBacklogged(c, true);
}

void LedgerCore::leaveBacklogged(CustomerIndex c)
{
    // Records the virtual time, which cannot be derived any more once the last backlogged customer is removed.
    if (m_backloggedOrder.size() == 1)
        updateVirtualTime();
    m_backloggedOrder.erase(c);
    m_customers[c].idleSince = virtualTime();
    m_meter.setBacklogged(c, false);
}

void LedgerCore::apply(const std::vector<RegisterChange>& changes)
{
    for (const auto& it : changes) {
        Customer& customer = m_customers[it.customer];
        const bool was = customer.backlogged();
        customer.remoteBacklogs += it.backlogs;
        if (it.service != 0) {
            customer.remote += it.service;
            if (it.history)
                m_meter.addHistory(it.customer, it.service);
            else
                m_meter.add(it.customer, it.service);
            notifyServiceChanged(it.customer);
        }
        if (was && !customer.backlogged())
            leaveBacklogged(it.customer);
        else if (!was && customer.backlogged())
            enterBacklogged(it.customer);
    }
}

void LedgerCore::mergeLift(CustomerIndex c, Cost lift)
{
    if (!isValidService(lift) || lift <= m_customers[c].lift)
        return;
    m_customers[c].lift = lift;
    notifyServiceChanged(c);
}

void LedgerCore::mergeSummary(const PoolSummary& summary)
{
    if (summary.pool != m_pool || summary.life == m_self)
        return;
    if (isValidService(summary.virtualTime))
        m_virtualTime = std::max(m_virtualTime, summary.virtualTime);
    std::vector<ServiceReport> reports;
    reports.reserve(summary.customers.size());
    for (const auto& it : summary.customers) {
        if (!isValidService(it.service))
            continue;
        const CustomerIndex c = intern(it.customer);
        mergeLift(c, it.lift);
        reports.push_back({ c, it.service, it.backlogged });
    }
    const Cost meanStep = m_remote.meanStep();
    if (summary.life.vm.empty())
        apply(m_remote.mergeBase(reports));
    else
        apply(m_remote.mergeReports(summary.life, summary.sequence, summary.full, reports));
    enforceCompensationLimit(meanStep);
}

void LedgerCore::enforceCompensationLimit(Cost meanStep)
{
    if (m_compensationLimit <= 0)
        return;
    Cost maxService = 0;
    for (const auto& it : m_backloggedOrder.entries())
        maxService = std::max(maxService, it.key);
    const Cost minService = maxService - m_compensationLimit - kCompensatedMeanSteps * meanStep;
    std::vector<CustomerIndex> behind;
    for (const auto& it : m_backloggedOrder.entries()) {
        if (it.key < minService)
            behind.push_back(it.item);
    }
    for (const CustomerIndex c : behind) {
        m_customers[c].lift += minService - m_customers[c].virtualService();
        markChanged(c);
        notifyServiceChanged(c);
    }
}

CustomerServiceEntry LedgerCore::makeEntry(CustomerIndex c) const
{
    const Customer& customer = m_customers[c];
    // Between two summaries a busy customer's window of offers empties and refills many times. If only the current
    // state were reported, other owners might take a customer that has been waiting nearly all the time for idle, and
    // lift it.
    return { customer.id, customer.own, customer.lift, customer.backloggedSinceReport };
}

PoolSummary LedgerCore::summarize(bool full)
{
    updateVirtualTime();
    const std::vector<CustomerIndex> reported = full ? reportableCustomers() : changedAndRefreshedCustomers();
    PoolSummary summary { m_pool, m_self, ++m_sequence, full, m_virtualTime };
    for (const CustomerIndex c : reported)
        summary.customers.push_back(makeEntry(c));
    // A full summary may be sent to a single router that requested it; the other routers still need the changes.
    if (!full)
        markReported(reported);
    return summary;
}

void LedgerCore::markReported(const std::vector<CustomerIndex>& reported)
{
    for (const CustomerIndex c : m_changed)
        m_customers[c].changed = false;
    m_changed.clear();
    for (const CustomerIndex c : reported) {
        Customer& customer = m_customers[c];
        m_largestOwnStep = std::max(m_largestOwnStep, std::abs(customer.own - customer.reportedService));
        customer.reportedService = customer.own;
        if (!customer.backloggedSinceReport || customer.ownBacklogs)
            continue;
        customer.backloggedSinceReport = false;
        markChanged(c);
    }
}

std::vector<CustomerIndex> LedgerCore::reportableCustomers() const
{
    std::vector<CustomerIndex> all;
    for (CustomerIndex c = 0; c < m_customers.size(); ++c) {
        if (m_customers[c].isReportable())
            all.push_back(c);
    }
    return all;
}

std::vector<CustomerIndex> LedgerCore::changedAndRefreshedCustomers()
{
    std::vector<CustomerIndex> reported = m_changed;
    const std::size_t maxReported = reported.size() + kMaxRefreshedPerSummary;
    const std::size_t scanLimit = std::min<std::size_t>(kMaxScannedPerSummary, m_customers.size());
    for (std::size_t n = 0; n < scanLimit && reported.size() < maxReported; ++n) {
        const CustomerIndex c = m_refreshCursor;
        m_refreshCursor = (m_refreshCursor + 1) % m_customers.size();
        if (!m_customers[c].changed && m_customers[c].isReportable())
            reported.push_back(c);
    }
    return reported;
}

std::vector<PoolSummary> LedgerCore::peerSummaries() const
{
    std::vector<PoolSummary> all;
    for (const auto& it : m_remote.snapshots()) {
        PoolSummary summary { m_pool, it.life, it.sequence, true, m_virtualTime };
        for (const auto& report : it.reports)
            summary.customers.push_back(
                { customerId(report.customer), report.service, m_customers[report.customer].lift });
        all.push_back(std::move(summary));
    }
    return all;
}

void LedgerCore::retire(const RouterLife& life) { apply(m_remote.retire(life)); }

} // namespace sagechute::scheduling
