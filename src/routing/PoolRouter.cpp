#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

using scheduling::CellId;
using scheduling::CellScheduler;

namespace {

    /// Cell index of the local scheduler, which belongs to no cell; used by the static policy and as the fallback.
    constexpr std::uint32_t localCellIndex = 0xFFFFFFFF;

    /// Progress is reported to the cell's owner when it exceeds the last known service by this factor, which means a
    /// few messages for a long request.
    constexpr double progressFactor = 1.5;

} // namespace

std::uint32_t staticShare(const TargetId& target, std::uint32_t slots, std::size_t routers, std::size_t self)
{
    if (!routers)
        return 0;
    const std::size_t first = stableHash(target.value) % routers;
    const std::size_t distance = (self + routers - first) % routers;
    return slots / routers + (distance < slots % routers ? 1 : 0);
}

PoolRouter::PoolRouter(PoolId pool, const RouterSettings& settings, const membership::MembershipView& view,
    RequestTable& requests, Outbox& outbox, PoolHost& host)
    : m_pool(std::move(pool))
    , m_settings(settings)
    , m_view(view)
    , m_requests(requests)
    , m_outbox(outbox)
    , m_host(host)
    , m_ledger(scheduling::ServiceLedger::make(m_pool, settings.life))
    , m_local(CellScheduler::make(CellId { m_pool, localCellIndex }, settings.cells, *m_ledger))
    , m_placer(scheduling::OfferPlacer::make(m_pool))
{
}

void PoolRouter::reconfigure(TimePoint now, const config::ConfigView& config, const scheduling::CellMap& map)
{
    for (const config::Customer& it : config.customers)
        m_ledger->setWeight(it.name, it.weight);

    m_targets.clear();
    m_serving.clear();
    for (const config::Target* it : config.targetsOf(m_pool)) {
        m_targets.push_back(it->name);
        if (it->state == config::TargetState::Serving)
            m_serving.insert(it->name);
    }
    m_targetCount = m_serving.size();

    const std::map<std::uint32_t, std::vector<VmId>> before = m_owners;
    updateOwnedCells(config, map);
    updateLocalShare(config);
    moveRunningToOwners(now);
    markChangedOwners(before);
    sendPendingResyncs();
    requeueOrphanedOffers();
}

void PoolRouter::updateOwnedCells(const config::ConfigView& config, const scheduling::CellMap& map)
{
    const std::uint32_t count = usesCells() ? map.cellCount(m_pool) : 0;
    m_cellIds.clear();
    m_owners.clear();
    m_targetCells.clear();
    m_cellSlots.clear();
    std::vector<std::uint32_t> owned;
    for (std::uint32_t index = 0; index < count; ++index) {
        m_cellIds.push_back(CellId { m_pool, index });
        m_owners[index] = map.owners(m_cellIds.back());
        if (ownerOf(m_cellIds.back()) == m_settings.life.vm)
            owned.push_back(index);
    }
    std::map<std::uint32_t, std::vector<scheduling::CellTarget>> targets;
    for (const TargetId& it : m_targets) {
        if (!count)
            break;
        const config::Target* target = config.findTarget(it);
        const std::uint32_t index = scheduling::cellOf(it, m_targets, count);
        m_targetCells[it] = index;
        m_cellSlots[index] += m_serving.contains(it) ? target->slots : 0;
        targets[index].push_back(
            { it, target->slots + m_settings.windowSlack, m_serving.contains(it) && !m_circuitBreaker.blocked(it) });
    }
    std::erase_if(
        m_cells, [&](const auto& cell) { return std::find(owned.begin(), owned.end(), cell.first) == owned.end(); });
    for (std::uint32_t index : owned) {
        auto& cell = m_cells[index];
        if (!cell) {
            cell = CellScheduler::make(CellId { m_pool, index }, m_settings.cells, *m_ledger);
            // A router whose own view never changed does not know that this router briefly gave up the cell. Without a
            // resynchronisation its offers would wait forever without being known here.
            for (const auto& entry : m_offeringRouters)
                send(entry.first, Purpose::Scheduling,
                    wire::ResyncRequestMessage { wire::cellKey(CellId { m_pool, index }) });
        }
        cell->setTargets(targets[index]);
    }
    std::erase_if(m_remoteCells, [&](const auto& cell) { return cell.first >= count || m_cells.contains(cell.first); });
    std::erase_if(m_freeSlots, [&](const auto& cell) { return cell.first >= count; });
    m_placer->setCells(count, owned);
}

void PoolRouter::updateLocalShare(const config::ConfigView& config)
{
    std::vector<VmId> routers;
    for (const membership::Member& it : m_view.members) {
        if (it.state == membership::MemberState::Alive && !it.summary.draining)
            routers.push_back(it.summary.life.vm);
    }
    const auto self = std::find(routers.begin(), routers.end(), m_settings.life.vm);
    const std::size_t index = self == routers.end() ? 0 : static_cast<std::size_t>(self - routers.begin());
    std::vector<scheduling::CellTarget> targets;
    m_localTargets.clear();
    for (const TargetId& it : m_targets) {
        const std::uint32_t share = staticShare(
            it, config.findTarget(it)->slots + m_settings.windowSlack, std::max<std::size_t>(1, routers.size()), index);
        if (share)
            m_localTargets.insert(it);
        targets.push_back({ it, share, m_serving.contains(it) && !m_circuitBreaker.blocked(it) });
    }
    m_local->setTargets(targets);
}

// A new owner starts without state. Unless it learns what runs on its targets, it regards all slots as free and
// overloads them.
void PoolRouter::moveRunningToOwners(TimePoint now)
{
    for (std::uint64_t serial : m_running) {
        Request* request = m_requests.findSerial(serial);
        auto cell = request ? m_targetCells.find(request->target) : m_targetCells.end();
        if (cell == m_targetCells.end())
            continue;
        const SlotSource source { CellId { m_pool, cell->second }, ownerOf(CellId { m_pool, cell->second }), false };
        if (request->source.local || source.owner.empty())
            continue;
        if (request->source.cell == source.cell && request->source.owner == source.owner)
            continue;
        decrementCount(m_cellLoad, request->source.cell.index);
        ++m_cellLoad[source.cell.index];
        request->source = source;
        if (source.owner == m_settings.life.vm)
            m_cells.at(source.cell.index)
                ->adopt(now, { request->id, request->arrival.customer, request->target, request->charged });
        else
            m_unsyncedCells.insert(source.cell.index);
    }
}

// An owner that returns may still count requests whose end was reported to another owner.
void PoolRouter::markChangedOwners(const std::map<std::uint32_t, std::vector<VmId>>& before)
{
    for (const CellId& it : m_cellIds) {
        const VmId owner = ownerOf(it);
        const auto old = before.find(it.index);
        const bool same = old != before.end() && !old->second.empty() && old->second.front() == owner;
        if (!same && m_contactedOwners.contains({ it.index, owner }))
            m_unsyncedCells.insert(it.index);
    }
}

void PoolRouter::sendPendingResyncs()
{
    std::erase_if(m_unsyncedCells, [&](std::uint32_t index) {
        const CellId cell { m_pool, index };
        const VmId owner = ownerOf(cell);
        if (owner.empty() || owner == m_settings.life.vm)
            return true;
        if (!m_host.reachable(owner))
            return false;
        sendResync(cell, owner);
        return true;
    });
}

VmId PoolRouter::ownerOf(const CellId& cell) const
{
    auto it = m_owners.find(cell.index);
    return it == m_owners.end() || it->second.empty() ? VmId {} : it->second.front();
}

std::optional<CellId> PoolRouter::cellByKey(wire::CellKey key) const
{
    for (const CellId& it : m_cellIds) {
        if (wire::cellKey(it) == key)
            return it;
    }
    return std::nullopt;
}

bool PoolRouter::ownsCell(wire::CellKey key) const
{
    auto cell = cellByKey(key);
    return cell && m_cells.contains(cell->index);
}

CellScheduler* PoolRouter::ownedCell(wire::CellKey key)
{
    auto cell = cellByKey(key);
    if (!cell)
        return nullptr;
    auto it = m_cells.find(cell->index);
    return it == m_cells.end() ? nullptr : it->second.get();
}

CellScheduler* PoolRouter::schedulerOf(const SlotSource& source)
{
    if (source.local)
        return m_local.get();
    if (source.owner != m_settings.life.vm)
        return nullptr;
    auto it = m_cells.find(source.cell.index);
    return it == m_cells.end() ? nullptr : it->second.get();
}

void PoolRouter::enqueue(Request& request, bool atFront)
{
    request.phase = RequestPhase::Waiting;
    CustomerQueue& queue = m_queues[request.arrival.customer];
    if (atFront)
        queue.waiting.push_front(request.id.serial);
    else
        queue.waiting.push_back(request.id.serial);
    m_placeable.insert(request.arrival.customer);
}

void PoolRouter::abandon(TimePoint now, Request& request) { withdrawOffers(now, request); }

void PoolRouter::ended(TimePoint now, const Request& request, Cost cost, wire::TargetHealth health)
{
    m_running.erase(request.id.serial);
    if (!request.source.local)
        decrementCount(m_cellLoad, request.source.cell.index);
    if (CellScheduler* scheduler = schedulerOf(request.source)) {
        scheduler->settle(now, request.id, cost);
        recordHealth(now, request.target, health);
        return;
    }
    if (request.source.owner == m_settings.life.vm)
        return;
    send(request.source.owner, Purpose::Scheduling,
        wire::SettleMessage { wire::cellKey(request.source.cell), request.id.serial, cost, health });
}

void PoolRouter::progressed(TimePoint now, Request& request, Cost soFar)
{
    request.soFar = std::max(request.soFar, soFar);
    if (CellScheduler* scheduler = schedulerOf(request.source)) {
        scheduler->progress(now, request.id, request.soFar);
        return;
    }
    // The owner has already charged an estimate, so only service well beyond it is worth a message. Reporting every
    // second accounted for two thirds of all messages between 111 routers.
    const bool due = now - request.progressReportedAt >= m_settings.progressInterval;
    const bool significant = request.soFar > std::max(request.charged, request.soFarReported) * progressFactor;
    if (!due || !significant || request.source.owner == m_settings.life.vm)
        return;
    request.progressReportedAt = now;
    request.soFarReported = request.soFar;
    send(request.source.owner, Purpose::Scheduling,
        wire::ProgressMessage { wire::cellKey(request.source.cell), { { request.id.serial, request.soFar } } });
}

void PoolRouter::recordHealth(TimePoint now, const TargetId& target, wire::TargetHealth health)
{
    const bool blocked = m_circuitBreaker.report(now, target, health);
    const bool accepting = m_serving.contains(target) && !blocked;
    m_local->setAccepting(target, accepting);
    auto cell = m_targetCells.find(target);
    if (cell == m_targetCells.end())
        return;
    if (auto it = m_cells.find(cell->second); it != m_cells.end())
        it->second->setAccepting(target, accepting);
}

void PoolRouter::prefixChanged(const TargetId& target, std::uint64_t prefix, bool stored)
{
    auto cell = m_targetCells.find(target);
    auto it = cell == m_targetCells.end() ? m_cells.end() : m_cells.find(cell->second);
    if (it == m_cells.end())
        return;
    if (stored)
        it->second->prefixStored(target, prefix);
    else
        it->second->prefixEvicted(target, prefix);
}

void PoolRouter::prefixesUnknown(const TargetId& target)
{
    for (auto& cell : m_cells)
        cell.second->prefixesUnknown(target);
}

std::vector<TargetId> PoolRouter::ownedTargets() const
{
    std::vector<TargetId> result;
    for (const auto& [target, index] : m_targetCells) {
        if (m_cells.contains(index))
            result.push_back(target);
    }
    return result;
}

PoolStatus PoolRouter::status() const
{
    PoolStatus status;
    status.pool = m_pool;
    status.cellsOwned = static_cast<std::uint32_t>(m_cells.size());
    for (const auto& entry : m_queues)
        status.waitingHere += static_cast<std::uint32_t>(entry.second.waiting.size() + entry.second.offered.size());
    status.runningHere = static_cast<std::uint32_t>(m_running.size());
    for (const auto& entry : m_cells) {
        const scheduling::CellStats stats = entry.second->stats();
        status.slotsOwned += stats.slots;
        status.freeSlotsOwned += stats.freeSlots;
        status.gapBound = std::max(status.gapBound, stats.gapBound);
    }
    if (!usesCells())
        status.gapBound = m_local->stats().gapBound;
    status.measuredGap = m_ledger->measuredGap();
    for (const auto& entry : m_queues) {
        scheduling::CustomerServiceEntry service;
        service.customer = entry.first;
        service.service = m_ledger->virtualService(entry.first);
        service.backlogged = !entry.second.waiting.empty() || !entry.second.offered.empty();
        status.customers.push_back(service);
    }
    return status;
}

bool PoolRouter::send(const VmId& to, Purpose purpose, const wire::Message& message)
{
    return m_outbox.message(m_view, to, purpose, message);
}

} // namespace sagechute::routing
