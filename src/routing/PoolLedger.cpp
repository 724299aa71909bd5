/// @file
/// Exchange of service counters and cell digests between the routers of a pool.

#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

namespace {

    /// Every n-th summary covers all customers, for receivers that missed a change.
    constexpr unsigned summariesPerFullSummary = 10;

    /// Maximum number of receivers of a summary; bounds the traffic at any fleet size.
    constexpr std::size_t maxSummaryReceivers = 8;

    /// Routers that have sent an offer within this time are sent cell digests.
    constexpr Duration offeringRouterMaxAge = std::chrono::seconds(3);

} // namespace

std::vector<scheduling::CellDigest> PoolRouter::digests() const
{
    std::vector<scheduling::CellDigest> result;
    for (const auto& entry : m_cells)
        result.push_back(entry.second->digest());
    return result;
}

// The counters are needed where grants are made: by the owners in the pool, and by the next candidate for each cell of
// this router, so that service charged here survives the loss of this router.
std::vector<VmId> PoolRouter::ledgerReceivers() const
{
    std::set<VmId> receivers;
    for (const auto& [index, owners] : m_owners) {
        if (!owners.empty())
            receivers.insert(owners.front());
        if (owners.size() > 1 && m_cells.contains(index))
            receivers.insert(owners[1]);
    }
    return selectReceivers(receivers);
}

// Routers that only send offers need to know where slots are free.
std::vector<VmId> PoolRouter::digestReceivers(TimePoint now, const std::vector<VmId>& alreadyInformed) const
{
    std::set<VmId> receivers;
    for (const auto& [vm, since] : m_offeringRouters) {
        if (now - since <= offeringRouterMaxAge
            && std::find(alreadyInformed.begin(), alreadyInformed.end(), vm) == alreadyInformed.end())
            receivers.insert(vm);
    }
    return selectReceivers(receivers);
}

// If there are more candidates than maxSummaryReceivers, they are served in rotation, so that each hears from every
// owner within a few rounds.
std::vector<VmId> PoolRouter::selectReceivers(const std::set<VmId>& candidates) const
{
    std::vector<VmId> result;
    for (const VmId& it : candidates) {
        const membership::Member* member = m_view.find(it);
        if (it != m_settings.life.vm && member && member->state == membership::MemberState::Alive)
            result.push_back(it);
    }
    if (result.size() <= maxSummaryReceivers)
        return result;
    const std::size_t first = (m_summariesSent * maxSummaryReceivers) % result.size();
    std::rotate(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(first), result.end());
    result.resize(maxSummaryReceivers);
    return result;
}

// A router that has just become an owner may lack the service counters from before.
void PoolRouter::requestLedger()
{
    if (m_cells.empty()) {
        m_ledgerRequested = false;
        return;
    }
    for (const auto& entry : m_owners) {
        const VmId& owner = entry.second.empty() ? m_settings.life.vm : entry.second.front();
        if (m_ledgerRequested || owner == m_settings.life.vm)
            continue;
        m_ledgerRequested = true;
        send(owner, Purpose::Ledger, wire::LedgerPullMessage { m_pool });
    }
}

void PoolRouter::sendSummaries(TimePoint now)
{
    if (!usesCells())
        return;
    requestLedger();
    const std::vector<VmId> owners = ledgerReceivers();
    const std::vector<VmId> others = digestReceivers(now, owners);
    if (owners.empty() && others.empty())
        return;
    const bool full = m_summariesSent % summariesPerFullSummary == 0;
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

// Between two summaries a cell may become idle while work waits in another one. Notifying that cell's owner at once
// keeps slots from idling for up to a whole summary interval.
void PoolRouter::notifyFreeSlots(TimePoint now)
{
    if (now < m_nextFreeSlotNotice || m_remoteCells.empty())
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
        cell.digest.waiting = 0; // Notify only once; a later summary tells whether work still waits there.
    }
    if (receivers.empty())
        return;
    m_nextFreeSlotNotice = now + m_settings.freeSlotNoticeInterval;
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
    // A free-slot notice carries neither counters nor a sequence number of its own.
    if (!summary.customers.empty() || summary.full)
        m_ledger->mergeSummary(summary);
    for (const scheduling::CellDigest& it : summary.cells) {
        if (m_cells.contains(it.index))
            continue;
        m_remoteCells[it.index] = { it, from.vm };
        learn(now, it);
    }
    if (!summary.cells.empty())
        m_nextRebalance = std::min(m_nextRebalance, now);
}

void PoolRouter::answerLedgerPull(const VmId& from)
{
    for (const scheduling::PoolSummary& it : m_ledger->peerSummaries())
        send(from, Purpose::Ledger, wire::SummaryMessage { it });
    scheduling::PoolSummary own = m_ledger->summarize(true);
    own.cells = digests();
    send(from, Purpose::Ledger, wire::SummaryMessage { own });
}

} // namespace sagechute::routing
