/// @file
/// Exchange of service counters and cell digests between the routers of one pool.

#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

namespace {

    /// Every so many summaries all customers are told, for receivers that missed a change.
    constexpr unsigned fullSummaryEvery = 10;

    /// Receivers of one summary at most: bounds the bytes at any fleet size.
    constexpr std::size_t mostSummaryReceivers = 8;

    /// A router that has offered something within this time wants to know of the cells.
    constexpr Duration offererMemory = std::chrono::seconds(3);

} // namespace

std::vector<scheduling::CellDigest> PoolRouter::digests() const
{
    std::vector<scheduling::CellDigest> result;
    for (const auto& entry : m_cells)
        result.push_back(entry.second->digest());
    return result;
}

// The counters matter where grants are made: at the pool's owners, and at the next in line for this router's own cells,
// so that the service charged here outlives this router.
std::vector<VmId> PoolRouter::ledgerReceivers() const
{
    std::set<VmId> receivers;
    for (const auto& [index, owners] : m_owners) {
        if (!owners.empty())
            receivers.insert(owners.front());
        if (owners.size() > 1 && m_cells.contains(index))
            receivers.insert(owners[1]);
    }
    return takeTurns(receivers);
}

// Routers that only offer need to know where slots are free.
std::vector<VmId> PoolRouter::digestReceivers(TimePoint now, const std::vector<VmId>& told) const
{
    std::set<VmId> receivers;
    for (const auto& [vm, since] : m_offerers) {
        if (now - since <= offererMemory && std::find(told.begin(), told.end(), vm) == told.end())
            receivers.insert(vm);
    }
    return takeTurns(receivers);
}

// Beyond the fan-out the receivers take turns, so that each still hears of every owner within a few rounds.
std::vector<VmId> PoolRouter::takeTurns(const std::set<VmId>& candidates) const
{
    std::vector<VmId> result;
    for (const VmId& it : candidates) {
        const membership::Member* member = m_view.find(it);
        if (it != m_settings.life.vm && member && member->state == membership::MemberState::Alive)
            result.push_back(it);
    }
    if (result.size() <= mostSummaryReceivers)
        return result;
    const std::size_t first = (m_summariesSent * mostSummaryReceivers) % result.size();
    std::rotate(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(first), result.end());
    result.resize(mostSummaryReceivers);
    return result;
}

// A router that has just become an owner may know nothing of what was served before.
void PoolRouter::pullLedger()
{
    if (m_cells.empty()) {
        m_ledgerPulled = false;
        return;
    }
    for (const auto& entry : m_owners) {
        const VmId& owner = entry.second.empty() ? m_settings.life.vm : entry.second.front();
        if (m_ledgerPulled || owner == m_settings.life.vm)
            continue;
        m_ledgerPulled = true;
        send(owner, Purpose::Ledger, wire::LedgerPullMessage { m_pool });
    }
}

void PoolRouter::sendSummaries(TimePoint now)
{
    if (!usesCells())
        return;
    pullLedger();
    const std::vector<VmId> owners = ledgerReceivers();
    const std::vector<VmId> others = digestReceivers(now, owners);
    if (owners.empty() && others.empty())
        return;
    const bool full = m_summariesSent % fullSummaryEvery == 0;
    scheduling::PoolSummary summary = m_ledger->summarize(full);
    summary.cells = digests();
    ++m_summariesSent;
    if (!summary.customers.empty() || !summary.cells.empty()) {
        for (const VmId& it : owners)
            send(it, Purpose::Ledger, wire::SummaryMessage { summary });
    }
    summary.customers.clear();
    summary.full = false;
    if (summary.cells.empty())
        return;
    for (const VmId& it : others)
        send(it, Purpose::Ledger, wire::SummaryMessage { summary });
}

// Between two summaries a cell may run dry while work waits in another. Telling its owner at once keeps slots from
// idling for up to a whole summary interval.
void PoolRouter::noticeIdle(TimePoint now)
{
    if (now < m_nextIdleNotice || m_remoteCells.empty())
        return;
    const std::vector<scheduling::CellDigest> own = digests();
    const bool idle
        = std::any_of(own.begin(), own.end(), [](const auto& it) { return it.freeSlots > 0 && it.waiting == 0; });
    if (!idle)
        return;
    std::set<VmId> receivers;
    for (auto& [index, cell] : m_remoteCells) {
        if (!cell.digest.waiting || cell.owner != ownerOf(scheduling::CellId { m_pool, index }))
            continue;
        receivers.insert(cell.owner);
        cell.digest.waiting = 0; // Told once; a later summary says whether work still waits there.
    }
    if (receivers.empty())
        return;
    m_nextIdleNotice = now + m_settings.idleNoticeInterval;
    scheduling::PoolSummary notice;
    notice.pool = m_pool;
    notice.life = m_settings.life;
    notice.cells = own;
    for (const VmId& it : receivers)
        send(it, Purpose::Ledger, wire::SummaryMessage { notice });
}

void PoolRouter::summaryReceived(TimePoint now, const RouterLife& from, const scheduling::PoolSummary& summary)
{
    if (!usesCells())
        return;
    // A notice of free slots carries no counters and no sequence number of its own.
    if (!summary.customers.empty() || summary.full)
        m_ledger->mergeSummary(summary);
    for (const scheduling::CellDigest& it : summary.cells) {
        if (m_cells.contains(it.index))
            continue;
        m_remoteCells[it.index] = { it, from.vm };
        learn(now, it);
    }
    if (!summary.cells.empty())
        m_nextMove = std::min(m_nextMove, now);
}

void PoolRouter::ledgerPulled(const VmId& from)
{
    for (const scheduling::PoolSummary& it : m_ledger->peerSummaries())
        send(from, Purpose::Ledger, wire::SummaryMessage { it });
    scheduling::PoolSummary own = m_ledger->summarize(true);
    own.cells = digests();
    send(from, Purpose::Ledger, wire::SummaryMessage { own });
}

} // namespace sagechute::routing
