#include "SchedulingSimulation.h"

#include <algorithm>

namespace sagechute::scheduling::test {

namespace {

    constexpr Duration kSummaryInterval = std::chrono::milliseconds(100);
    constexpr Duration kMaxSummaryDelay = std::chrono::milliseconds(300);

} // namespace

void Simulation::injectFaults()
{
    if (m_settings.crashes && chance(0.005))
        crashRouter(m_settings.routers - 1);
    if (chance(0.01))
        resynchronise(m_random.below(m_settings.routers));
    for (auto& it : m_routers) {
        if (!it.scheduler || !chance(0.2))
            continue;
        // Duplicate and late messages, for requests in any state and for unknown ones.
        const RequestId unknown { it.life, 1'000'000'000 };
        it.scheduler->settle(m_now, unknown, 50);
        it.scheduler->decline(m_now, unknown);
        it.scheduler->withdraw(m_now, unknown);
        it.scheduler->progress(m_now, unknown, 50);
        const CellTarget target = targetsOf(*it.cell)[m_random.below(m_settings.targetsPerCell)];
        it.scheduler->prefixStored(target.id, m_random.below(8));
        // Even prefixes are never evicted, so that affinity has stable matches.
        it.scheduler->prefixEvicted(target.id, m_random.below(4) * 2 + 1);
    }
    for (auto& [id, request] : m_requests) {
        if (chance(0.01))
            schedulerOf(request.cell).offer(m_now, request.offer);
    }
}

void Simulation::crashRouter(std::uint32_t n)
{
    Router& router = m_routers[n];
    if (router.scheduler)
        return;
    for (auto& [id, request] : m_requests) {
        if (id.origin != router.life || request.state == State::Ended)
            continue;
        // The service received before the crash is unknown, so the charge is counted instead.
        if (request.state == State::Running) {
            Customer& customer = m_customers[request.customer];
            customer.served += (request.charged - request.cost) / customer.weight;
        }
        setState(request, State::Ended);
    }
    for (auto& it : m_routers) {
        if (it.scheduler)
            it.scheduler->dropRouter(m_now, router.life);
    }
    std::erase_if(m_requests, [&](const auto& it) { return it.first.origin == router.life; });
    ++router.life.incarnation;
}

void Simulation::resynchronise(std::uint32_t n)
{
    const RouterLife life = m_routers[n].life;
    for (auto& it : m_routers) {
        if (it.scheduler)
            it.scheduler->dropRouter(m_now, life);
    }
    for (auto& [id, request] : m_requests) {
        if (id.origin != life || request.state == State::Ended)
            continue;
        CellScheduler& scheduler = schedulerOf(request.cell);
        if (request.state == State::Running) {
            scheduler.adopt(m_now, { id, request.offer.customer, request.target, request.charged });
            continue;
        }
        if (request.state == State::Granted)
            setState(request, State::Offered);
        scheduler.offer(m_now, request.offer);
    }
}

void Simulation::crashOwner(std::uint32_t next, bool keepRegisters)
{
    const auto isOwner = [](const Router& it) { return it.cell == 0U; };
    Router& old = *std::find_if(m_routers.begin(), m_routers.end(), isOwner);
    Router& successor = m_routers[next];
    old.cell.reset();
    old.scheduler.reset();
    if (!keepRegisters)
        successor.ledger = m_settings.makeLedger(m_pool, successor.life);
    successor.ledger->retire(old.life);
    ++old.life.incarnation;
    old.ledger = m_settings.makeLedger(m_pool, old.life);
    std::erase_if(m_summariesInTransit, [](const SummaryInTransit&) { return true; });
    for (const auto& it : m_customers) {
        successor.ledger->setWeight(it.id, it.weight);
        old.ledger->setWeight(it.id, it.weight);
    }
    if (keepRegisters) {
        for (const auto& it : successor.ledger->peerSummaries())
            old.ledger->mergeSummary(it);
        old.ledger->mergeSummary(successor.ledger->summarize(true));
    }
    takeOwnership(successor, 0);
    for (auto& [id, request] : m_requests) {
        if (request.state == State::Running)
            successor.scheduler->adopt(m_now, { id, request.offer.customer, request.target, request.charged });
        if (request.state == State::Granted)
            setState(request, State::Offered);
        if (request.state == State::Offered)
            successor.scheduler->offer(m_now, request.offer);
    }
}

void Simulation::exchangeSummaries()
{
    if (m_now >= m_nextSummary) {
        const bool isFirst = m_nextSummary == TimePoint {};
        m_nextSummary = m_now + kSummaryInterval;
        for (std::uint32_t from = 0; from < m_routers.size(); ++from) {
            if (!m_routers[from].scheduler)
                continue;
            PoolSummary summary = m_routers[from].ledger->summarize(isFirst || chance(0.05));
            summary.cells = { m_routers[from].scheduler->digest() };
            for (std::uint32_t to = 0; to < m_routers.size(); ++to) {
                // Summaries are lost, duplicated and, by random delays, reordered.
                for (int copies = 1 + chance(0.2); to != from && copies && (isFirst || !chance(m_settings.summaryLoss));
                     --copies) {
                    const Duration delay(m_random.below(kMaxSummaryDelay.count()));
                    m_summariesInTransit.push_back({ m_now + delay, to, summary });
                }
            }
        }
    }
    for (auto& it : m_summariesInTransit) {
        if (it.due > m_now)
            continue;
        m_routers[it.to].ledger->mergeSummary(it.summary);
        for (const auto& digest : it.summary.cells)
            m_routers[it.to].placer->updateDigest(m_now, digest);
    }
    std::erase_if(m_summariesInTransit, [this](const SummaryInTransit& it) { return it.due <= m_now; });
}

} // namespace sagechute::scheduling::test
