#include "scheduling/LedgerCore.h"

#include "scheduling/Costs.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    constexpr double kSmallestWeight = 1e-3;
    constexpr double kLargestWeight = 1e6;
    // No sum of honest charges reaches this; a peer's value beyond it is damage and would stick.
    constexpr Cost kLargestService = 1e15;
    constexpr double kUsualStepsCompensated = 32;
    constexpr std::uint32_t kCustomersInTurn = 4;
    constexpr std::uint32_t kCustomersLookedAt = 64;

    bool isService(Cost service) { return std::isfinite(service) && std::abs(service) <= kLargestService; }

} // namespace

std::unique_ptr<ServiceLedger> ServiceLedger::make(PoolId pool, RouterLife self)
{
    return std::make_unique<LedgerCore>(std::move(pool), std::move(self));
}

LedgerCore::LedgerCore(PoolId pool, RouterLife self)
    : m_pool(std::move(pool))
    , m_self(self)
    , m_lives(std::move(self))
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
    m_customers[intern(id)].weight = std::clamp(weight, kSmallestWeight, kLargestWeight);
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
    tell(c);
    serviceMoved(c);
}

void LedgerCore::tell(CustomerIndex c)
{
    if (m_customers[c].changed)
        return;
    m_customers[c].changed = true;
    m_changed.push_back(c);
}

void LedgerCore::serviceMoved(CustomerIndex c)
{
    if (m_order.contains(c))
        m_order.set(c, virtualService(c));
    for (auto* it : m_observers)
        it->serviceChanged(c);
}

Cost LedgerCore::onLift(Cost service, Cost leftAt, Cost virtualTime) const
{
    // By as much as virtual time went on meanwhile: idleness earns nothing, and neither lag nor debt is lost.
    const Cost passed = std::max<Cost>(0, virtualTime - leftAt);
    const Cost lifted = std::max(service + passed, virtualTime - m_lagKept);
    return std::max<Cost>(0, std::min(lifted, virtualTime) - service);
}

void LedgerCore::setBacklogged(const CustomerId& id, bool backlogged)
{
    const CustomerIndex c = intern(id);
    if (m_customers[c].backloggedByName == backlogged)
        return;
    m_customers[c].backloggedByName = backlogged;
    if (backlogged)
        addBacklog(c);
    else
        removeBacklog(c);
}

void LedgerCore::addBacklog(CustomerIndex c)
{
    Customer& customer = m_customers[c];
    if (!customer.ownBacklogs)
        tell(c);
    if (!customer.backlogged()) {
        const Cost lift = onLift(customer.virtualService(), customer.leftAt, virtualTime());
        if (lift > 0) {
            customer.lift += lift;
            serviceMoved(c);
        }
        enterBacklogged(c);
    }
    ++customer.ownBacklogs;
    customer.wasBacklogged = true;
}

void LedgerCore::removeBacklog(CustomerIndex c)
{
    Customer& customer = m_customers[c];
    --customer.ownBacklogs;
    if (!customer.ownBacklogs)
        tell(c);
    if (!customer.backlogged())
        leaveBacklogged(c);
}

void LedgerCore::enterBacklogged(CustomerIndex c)
{
    m_order.set(c, virtualService(c));
    m_meter.setBacklogged(c, true);
}

void LedgerCore::leaveBacklogged(CustomerIndex c)
{
    // Once the last one has left, nothing shows how far service had come.
    if (m_order.size() == 1)
        noteVirtualTime();
    m_order.erase(c);
    m_customers[c].leftAt = virtualTime();
    m_meter.setBacklogged(c, false);
}

void LedgerCore::apply(const std::vector<RegisterChange>& changes)
{
    for (const auto& it : changes) {
        Customer& customer = m_customers[it.customer];
        const bool was = customer.backlogged();
        customer.otherBacklogs += it.backlogs;
        if (it.service != 0) {
            customer.others += it.service;
            if (it.history)
                m_meter.addHistory(it.customer, it.service);
            else
                m_meter.add(it.customer, it.service);
            serviceMoved(it.customer);
        }
        if (was && !customer.backlogged())
            leaveBacklogged(it.customer);
        else if (!was && customer.backlogged())
            enterBacklogged(it.customer);
    }
}

void LedgerCore::mergeLift(CustomerIndex c, Cost lift)
{
    if (!isService(lift) || lift <= m_customers[c].lift)
        return;
    m_customers[c].lift = lift;
    serviceMoved(c);
}

void LedgerCore::absorb(const PoolSummary& summary)
{
    if (summary.pool != m_pool || summary.life == m_self)
        return;
    if (isService(summary.virtualTime))
        m_virtualTime = std::max(m_virtualTime, summary.virtualTime);
    std::vector<ServiceReport> reports;
    reports.reserve(summary.customers.size());
    for (const auto& it : summary.customers) {
        if (!isService(it.service))
            continue;
        const CustomerIndex c = intern(it.customer);
        mergeLift(c, it.lift);
        reports.push_back({ c, it.service, it.backlogged });
    }
    const Cost usualStep = m_lives.usualStep();
    if (summary.life.vm.empty())
        apply(m_lives.absorbBase(reports));
    else
        apply(m_lives.absorb(summary.life, summary.sequence, summary.full, reports));
    boundCompensation(usualStep);
}

void LedgerCore::boundCompensation(Cost usualStep)
{
    if (m_compensation <= 0)
        return;
    Cost most = 0;
    for (const auto& it : m_order.entries())
        most = std::max(most, it.key);
    const Cost least = most - m_compensation - kUsualStepsCompensated * usualStep;
    std::vector<CustomerIndex> behind;
    for (const auto& it : m_order.entries()) {
        if (it.key < least)
            behind.push_back(it.item);
    }
    for (const CustomerIndex c : behind) {
        m_customers[c].lift += least - m_customers[c].virtualService();
        tell(c);
        serviceMoved(c);
    }
}

CustomerService LedgerCore::report(CustomerIndex c) const
{
    const Customer& customer = m_customers[c];
    // Between two summaries a busy customer's window runs out and fills again many times. Were it told as it happens to
    // be now, the other owners would take a customer for idle that has waited nearly all the time, and lift it.
    return { customer.id, customer.own, customer.lift, customer.wasBacklogged };
}

PoolSummary LedgerCore::summarize(bool full)
{
    noteVirtualTime();
    const std::vector<CustomerIndex> told = full ? allWorthTelling() : changedAndSomeInTurn();
    PoolSummary summary { m_pool, m_self, ++m_sequence, full, m_virtualTime };
    for (const CustomerIndex c : told)
        summary.customers.push_back(report(c));
    // A full summary may go to a single router that asked for it; the changes remain news for the others.
    if (!full)
        noteTold(told);
    return summary;
}

void LedgerCore::noteTold(const std::vector<CustomerIndex>& told)
{
    for (const CustomerIndex c : m_changed)
        m_customers[c].changed = false;
    m_changed.clear();
    for (const CustomerIndex c : told) {
        Customer& customer = m_customers[c];
        m_largestOwnStep = std::max(m_largestOwnStep, std::abs(customer.own - customer.told));
        customer.told = customer.own;
        if (!customer.wasBacklogged || customer.ownBacklogs)
            continue;
        customer.wasBacklogged = false;
        tell(c);
    }
}

std::vector<CustomerIndex> LedgerCore::allWorthTelling() const
{
    std::vector<CustomerIndex> all;
    for (CustomerIndex c = 0; c < m_customers.size(); ++c) {
        if (m_customers[c].worthTelling())
            all.push_back(c);
    }
    return all;
}

std::vector<CustomerIndex> LedgerCore::changedAndSomeInTurn()
{
    std::vector<CustomerIndex> told = m_changed;
    const std::size_t most = told.size() + kCustomersInTurn;
    const std::size_t looks = std::min<std::size_t>(kCustomersLookedAt, m_customers.size());
    for (std::size_t n = 0; n < looks && told.size() < most; ++n) {
        const CustomerIndex c = m_nextInTurn;
        m_nextInTurn = (m_nextInTurn + 1) % m_customers.size();
        if (!m_customers[c].changed && m_customers[c].worthTelling())
            told.push_back(c);
    }
    return told;
}

std::vector<PoolSummary> LedgerCore::others() const
{
    std::vector<PoolSummary> all;
    for (const auto& it : m_lives.known()) {
        PoolSummary summary { m_pool, it.life, it.sequence, true, m_virtualTime };
        for (const auto& report : it.reports)
            summary.customers.push_back(
                { customerId(report.customer), report.service, m_customers[report.customer].lift });
        all.push_back(std::move(summary));
    }
    return all;
}

void LedgerCore::retire(const RouterLife& life) { apply(m_lives.retire(life)); }

} // namespace sagechute::scheduling
