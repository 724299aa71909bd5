#include "SchedulingWorld.h"

#include <algorithm>

namespace sagechute::scheduling::test {

namespace {

    constexpr Duration kSummaryInterval = std::chrono::milliseconds(100);
    constexpr Duration kLongestMailDelay = std::chrono::milliseconds(300);

} // namespace

void World::disturb()
{
    if (m_settings.deaths && chance(0.005))
        killRouter(m_settings.nodes - 1);
    if (chance(0.01))
        resynchronise(m_random.below(m_settings.nodes));
    for (auto& it : m_nodes) {
        if (!it.scheduler || !chance(0.2))
            continue;
        // Messages that come twice or late, for requests in any state and for none.
        const RequestId unknown { it.life, 1'000'000'000 };
        it.scheduler->settle(m_now, unknown, 50);
        it.scheduler->decline(m_now, unknown);
        it.scheduler->withdraw(m_now, unknown);
        it.scheduler->progress(m_now, unknown, 50);
        const CellTarget target = targetsOf(*it.cell)[m_random.below(m_settings.targetsPerCell)];
        it.scheduler->prefixStored(target.id, m_random.below(8));
        // Even prefixes stay, so that affinity has favourites.
        it.scheduler->prefixEvicted(target.id, m_random.below(4) * 2 + 1);
    }
    for (auto& [id, request] : m_requests) {
        if (chance(0.01))
            schedulerOf(request.cell).offer(m_now, request.offer);
    }
}

void World::killRouter(std::uint32_t n)
{
    Node& node = m_nodes[n];
    if (node.scheduler)
        return;
    for (auto& [id, request] : m_requests) {
        if (id.origin != node.life || request.state == State::Ended)
            continue;
        // What it got before its router died is not known; the charge stands for it.
        if (request.state == State::Running) {
            Customer& customer = m_customers[request.customer];
            customer.served += (request.charged - request.cost) / customer.weight;
        }
        setState(request, State::Ended);
    }
    for (auto& it : m_nodes) {
        if (it.scheduler)
            it.scheduler->dropRouter(m_now, node.life);
    }
    std::erase_if(m_requests, [&](const auto& it) { return it.first.origin == node.life; });
    ++node.life.incarnation;
}

void World::resynchronise(std::uint32_t n)
{
    const RouterLife life = m_nodes[n].life;
    for (auto& it : m_nodes) {
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

void World::crashOwner(std::uint32_t next, bool keepRegisters)
{
    const auto isOwner = [](const Node& it) { return it.cell == 0U; };
    Node& old = *std::find_if(m_nodes.begin(), m_nodes.end(), isOwner);
    Node& heir = m_nodes[next];
    old.cell.reset();
    old.scheduler.reset();
    if (!keepRegisters)
        heir.ledger = m_settings.makeLedger(m_pool, heir.life);
    heir.ledger->retire(old.life);
    ++old.life.incarnation;
    old.ledger = m_settings.makeLedger(m_pool, old.life);
    std::erase_if(m_mail, [](const Mail&) { return true; });
    for (const auto& it : m_customers) {
        heir.ledger->setWeight(it.id, it.weight);
        old.ledger->setWeight(it.id, it.weight);
    }
    if (keepRegisters) {
        for (const auto& it : heir.ledger->others())
            old.ledger->absorb(it);
        old.ledger->absorb(heir.ledger->summarize(true));
    }
    own(heir, 0);
    for (auto& [id, request] : m_requests) {
        if (request.state == State::Running)
            heir.scheduler->adopt(m_now, { id, request.offer.customer, request.target, request.charged });
        if (request.state == State::Granted)
            setState(request, State::Offered);
        if (request.state == State::Offered)
            heir.scheduler->offer(m_now, request.offer);
    }
}

void World::exchange()
{
    if (m_now >= m_nextSummary) {
        const bool isFirst = m_nextSummary == TimePoint {};
        m_nextSummary = m_now + kSummaryInterval;
        for (std::uint32_t from = 0; from < m_nodes.size(); ++from) {
            if (!m_nodes[from].scheduler)
                continue;
            PoolSummary summary = m_nodes[from].ledger->summarize(isFirst || chance(0.05));
            summary.cells = { m_nodes[from].scheduler->digest() };
            for (std::uint32_t to = 0; to < m_nodes.size(); ++to) {
                // Lost, doubled and, by random delays, reordered.
                for (int copies = 1 + chance(0.2); to != from && copies && (isFirst || !chance(m_settings.summaryLoss));
                     --copies) {
                    const Duration delay(m_random.below(kLongestMailDelay.count()));
                    m_mail.push_back({ m_now + delay, to, summary });
                }
            }
        }
    }
    for (auto& it : m_mail) {
        if (it.due > m_now)
            continue;
        m_nodes[it.to].ledger->absorb(it.summary);
        for (const auto& digest : it.summary.cells)
            m_nodes[it.to].placer->learn(m_now, digest);
    }
    std::erase_if(m_mail, [this](const Mail& it) { return it.due <= m_now; });
}

} // namespace sagechute::scheduling::test
