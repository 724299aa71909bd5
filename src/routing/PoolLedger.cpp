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

std::vector<VmId> PoolRouter::summaryReceivers(TimePoint now) const
{
    std::set<VmId> receivers;
    for (const auto& entry : m_owners)
        receivers.insert(entry.second.begin(), entry.second.end());
    for (const auto& [vm, since] : m_offerers) {
        if (now - since <= offererMemory)
            receivers.insert(vm);
    }
    receivers.erase(m_settings.life.vm);
    std::vector<VmId> result;
    for (const VmId& it : receivers) {
        const membership::Member* member = m_view.find(it);
        if (member && member->state == membership::MemberState::Alive)
            result.push_back(it);
    }
    // Beyond the fan-out the receivers take turns, so that each still hears of every owner within a few rounds.
    if (result.size() > mostSummaryReceivers) {
        const std::size_t first = (m_summariesSent * mostSummaryReceivers) % result.size();
        std::rotate(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(first), result.end());
        result.resize(mostSummaryReceivers);
    }
    return result;
}

void PoolRouter::sendSummaries(TimePoint now)
{
    if (!usesCells())
        return;
    const std::vector<VmId> receivers = summaryReceivers(now);
    if (receivers.empty())
        return;
    if (!m_ledgerPulled) {
        m_ledgerPulled = true;
        send(receivers.front(), Purpose::Ledger, wire::LedgerPullMessage { m_pool });
    }
    const bool full = m_summariesSent % fullSummaryEvery == 0;
    scheduling::PoolSummary summary = m_ledger->summarize(full);
    summary.cells = digests();
    ++m_summariesSent;
    const bool idle
        = std::all_of(summary.cells.begin(), summary.cells.end(), [](const auto& it) { return it.waiting == 0; });
    if (summary.customers.empty() && idle && !full)
        return;
    for (const VmId& it : receivers)
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
        m_ledger->absorb(summary);
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
    for (const scheduling::PoolSummary& it : m_ledger->others())
        send(from, Purpose::Ledger, wire::SummaryMessage { it });
    scheduling::PoolSummary own = m_ledger->summarize(true);
    own.cells = digests();
    send(from, Purpose::Ledger, wire::SummaryMessage { own });
}

} // namespace sagechute::routing
