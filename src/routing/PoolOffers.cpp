/// @file
/// Offers, grants and settlements between the routers that hold requests and the owners of cells.

#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

using scheduling::CellId;
using scheduling::CellScheduler;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr Duration rebalanceInterval = milliseconds(100);

    scheduling::Offer localOffer(const Request& request, std::vector<TargetId> avoid)
    {
        return { request.id, request.arrival.customer, request.arrival.hint, request.arrival.prefixes, request.deadline,
            std::move(avoid) };
    }

    wire::OfferMessage offerMessage(
        TimePoint now, const Request& request, const CellId& cell, std::vector<TargetId> avoid)
    {
        wire::OfferMessage message;
        message.cell = wire::cellKey(cell);
        message.serial = request.id.serial;
        message.customer = request.arrival.customer;
        message.hint = request.arrival.hint;
        message.prefixes = request.arrival.prefixes;
        if (request.deadline)
            message.deadlineIn = std::max(milliseconds(0), duration_cast<milliseconds>(*request.deadline - now));
        message.avoid = std::move(avoid);
        return message;
    }

} // namespace

void PoolRouter::placeAndGrant(TimePoint now)
{
    placeWaiting(now);
    for (auto& [index, cell] : m_cells)
        grantFrom(now, *cell, SlotSource { CellId { m_pool, index }, m_settings.life.vm, false });
    grantFrom(now, *m_local, SlotSource { {}, m_settings.life.vm, true });
    placeWaiting(now);
    notifyFreeSlots(now);
}

void PoolRouter::offerTo(TimePoint now, Request& request, const SlotSource& source)
{
    if (request.offers.empty())
        request.offeredSince = now;
    request.phase = RequestPhase::Offered;
    request.offers.push_back(source);
    CustomerQueue& queue = m_queues[request.arrival.customer];
    queue.offered.insert(request.id.serial);
    if (!source.local) {
        ++queue.offeredAt[source.cell.index];
        ++m_cellLoad[source.cell.index];
    }
    sendOffer(now, request, source);
}

void PoolRouter::sendOffer(TimePoint now, const Request& request, const SlotSource& source)
{
    if (CellScheduler* scheduler = schedulerOf(source)) {
        scheduler->offer(now, localOffer(request, targetsToAvoid(source, request)));
        return;
    }
    if (m_unsyncedCells.erase(source.cell.index))
        sendResync(source.cell, source.owner);
    m_contactedOwners.insert({ source.cell.index, source.owner });
    send(source.owner, Purpose::Scheduling, offerMessage(now, request, source.cell, targetsToAvoid(source, request)));
}

void PoolRouter::withdrawOffer(TimePoint now, const Request& request, const SlotSource& source)
{
    if (CellScheduler* scheduler = schedulerOf(source))
        scheduler->withdraw(now, request.id);
    else if (source.owner != m_settings.life.vm)
        send(
            source.owner, Purpose::Scheduling, wire::WithdrawMessage { wire::cellKey(source.cell), request.id.serial });
}

void PoolRouter::removeOffer(Request& request, const SlotSource& source)
{
    if (!std::erase(request.offers, source))
        return;
    CustomerQueue& queue = m_queues[request.arrival.customer];
    if (request.offers.empty())
        queue.offered.erase(request.id.serial);
    m_placeable.insert(request.arrival.customer);
    if (source.local)
        return;
    decrementCount(queue.offeredAt, source.cell.index);
    decrementCount(m_cellLoad, source.cell.index);
}

void PoolRouter::withdrawOffers(TimePoint now, Request& request, const SlotSource* granted)
{
    const std::vector<SlotSource> offers = request.offers;
    for (const SlotSource& it : offers) {
        if (!granted || it != *granted)
            withdrawOffer(now, request, it);
        removeOffer(request, it);
    }
}

// The receiver of the offer no longer has it. Offering again at once could meet the same refusal, in a loop at network
// speed; @p deferPlacement leaves the request for the next round of tick().
void PoolRouter::requeueOffer(Request& request, const SlotSource& source, bool deferPlacement)
{
    if (request.phase != RequestPhase::Offered
        || std::find(request.offers.begin(), request.offers.end(), source) == request.offers.end())
        return;
    removeOffer(request, source);
    if (!request.offers.empty())
        return;
    request.phase = RequestPhase::Waiting;
    m_queues[request.arrival.customer].waiting.push_front(request.id.serial);
    if (deferPlacement)
        m_placeable.erase(request.arrival.customer);
}

void PoolRouter::decrementCount(std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t cell)
{
    const auto it = counts.find(cell);
    if (it != counts.end() && --it->second == 0)
        counts.erase(it);
}

void PoolRouter::grantFrom(TimePoint now, CellScheduler& scheduler, const SlotSource& source)
{
    if (!m_host.mayStart(now))
        return;
    // A slot whose grant could not be delivered is free again and goes to the next request in line at once.
    bool again = true;
    while (again) {
        again = false;
        for (const scheduling::Grant& grant : scheduler.schedule(now))
            again |= !deliverGrant(now, scheduler, source, grant);
    }
}

bool PoolRouter::deliverGrant(
    TimePoint now, CellScheduler& scheduler, const SlotSource& source, const scheduling::Grant& grant)
{
    if (grant.request.origin == m_settings.life) {
        Request* request = m_requests.find(grant.request);
        if (request && start(now, *request, source, grant.target, grant.charged)) {
            scheduler.started(now, grant.request);
            return true;
        }
        scheduler.decline(now, grant.request);
        if (request)
            requeueOffer(*request, source, true);
        return false;
    }
    // While the stream is down the grant would be lost, and its slot with it until the stream is up again. The same
    // holds for a router whose address is not known yet. It sends its offers again once it is back.
    const VmId& holder = grant.request.origin.vm;
    const auto expiresIn = duration_cast<milliseconds>(grant.expires - now);
    const wire::GrantMessage message { wire::cellKey(source.cell), grant.request.serial, grant.target, grant.charged,
        expiresIn };
    if (!m_host.reachable(holder) || !send(holder, Purpose::Scheduling, message)) {
        scheduler.decline(now, grant.request);
        m_droppedRouters.insert(holder);
        return false;
    }
    // No confirmation is needed: the stream either delivers the grant or breaks, and a break leads to a
    // resynchronisation.
    scheduler.started(now, grant.request);
    return true;
}

bool PoolRouter::start(TimePoint now, Request& request, const SlotSource& source, const TargetId& target, Cost charged)
{
    const bool waits = request.phase == RequestPhase::Waiting || request.phase == RequestPhase::Offered;
    if (!waits || !m_serving.contains(target) || !m_host.mayStart(now))
        return false;
    withdrawOffers(now, request, &source);
    m_placeable.insert(request.arrival.customer);
    request.phase = RequestPhase::Running;
    request.source = source;
    request.target = target;
    request.charged = charged;
    request.soFar = 0;
    request.progressReportedAt = now;
    request.soFarReported = 0;
    m_running.insert(request.id.serial);
    if (!source.local)
        ++m_cellLoad[source.cell.index];
    m_host.granted(now, request);
    return true;
}

void PoolRouter::offered(TimePoint now, const RouterLife& from, const wire::OfferMessage& message)
{
    CellScheduler* cell = ownedCell(message.cell);
    if (!cell) {
        send(from.vm, Purpose::Scheduling, wire::NotOwnerMessage { message.cell, message.serial });
        return;
    }
    m_offeringRouters[from.vm] = now;
    scheduling::Offer offer;
    offer.request = RequestId { from, message.serial };
    offer.customer = message.customer;
    offer.hint = message.hint;
    offer.prefixes = message.prefixes;
    if (message.deadlineIn)
        offer.deadline = now + *message.deadlineIn;
    offer.avoid = message.avoid;
    cell->offer(now, std::move(offer));
}

void PoolRouter::withdrawn(TimePoint now, const RouterLife& from, const wire::WithdrawMessage& message)
{
    if (CellScheduler* cell = ownedCell(message.cell))
        cell->withdraw(now, RequestId { from, message.serial });
}

void PoolRouter::grantReceived(TimePoint now, const VmId& from, const wire::GrantMessage& message)
{
    Request* request = m_requests.findSerial(message.serial);
    const auto cell = cellByKey(message.cell);
    const bool here = request && cell && request->pool == m_pool;
    const bool used = here && request->phase == RequestPhase::Running && !request->source.local
        && request->source.cell == *cell && request->source.owner == from && request->target == message.target;
    if (used)
        return; // Repeated after a resynchronisation that crossed the first grant; the owner's record is correct.
    // A former owner would grant slots that the current owner counts as free.
    if (here && ownerOf(*cell) == from
        && start(now, *request, SlotSource { *cell, from, false }, message.target, message.charged))
        return;
    send(from, Purpose::Scheduling, wire::DeclineMessage { message.cell, message.serial });
    if (here)
        requeueOffer(*request, SlotSource { *cell, from, false }, true);
}

void PoolRouter::declined(TimePoint now, const RouterLife& from, const wire::DeclineMessage& message)
{
    if (CellScheduler* cell = ownedCell(message.cell)) {
        cell->decline(now, RequestId { from, message.serial });
        cell->withdraw(now, RequestId { from, message.serial });
    }
}

// Two routers may briefly disagree on the owner. The offer returns to its queue and is placed again on the next tick.
void PoolRouter::notOwner(const VmId& from, const wire::NotOwnerMessage& message)
{
    // The router did not process what it was sent. Once it regards itself as the owner it needs to learn what runs
    // here.
    const auto cell = cellByKey(message.cell);
    if (cell && ownerOf(*cell) == from)
        m_unsyncedCells.insert(cell->index);
    if (cell && message.serial == 0)
        requeueOffers(true, [&](const Request&, const SlotSource& it) {
            return it == SlotSource { *cell, from, false };
        });
    Request* request = m_requests.findSerial(message.serial);
    if (cell && request && request->pool == m_pool)
        requeueOffer(*request, SlotSource { *cell, from, false }, true);
}

void PoolRouter::settled(TimePoint now, const RouterLife& from, const wire::SettleMessage& message)
{
    const RequestId id { from, message.serial };
    if (CellScheduler* cell = ownedCell(message.cell)) {
        const std::optional<TargetId> target = cell->targetOf(id);
        cell->settle(now, id, message.cost);
        if (target)
            recordHealth(now, *target, message.health);
    }
}

void PoolRouter::progressReceived(TimePoint now, const RouterLife& from, const wire::ProgressMessage& message)
{
    CellScheduler* cell = ownedCell(message.cell);
    if (!cell)
        return;
    for (const wire::ProgressEntry& it : message.entries)
        cell->progress(now, RequestId { from, it.serial }, it.soFar);
}

void PoolRouter::resynchronised(TimePoint now, const RouterLife& from, const wire::ResyncMessage& message)
{
    CellScheduler* cell = ownedCell(message.cell);
    if (!cell)
        return;
    m_offeringRouters[from.vm] = now;
    cell->dropRouter(now, from);
    for (const wire::RunningEntry& it : message.running)
        cell->adopt(now, { RequestId { from, it.serial }, it.customer, it.target, it.charged });
}

void PoolRouter::sendResync(const CellId& cell, const VmId& owner)
{
    wire::ResyncMessage message;
    message.cell = wire::cellKey(cell);
    for (std::uint64_t serial : m_running) {
        const Request* request = m_requests.findSerial(serial);
        if (request && !request->source.local && request->source.cell == cell)
            message.running.push_back({ serial, request->arrival.customer, request->target, request->charged });
    }
    m_contactedOwners.insert({ cell.index, owner });
    send(owner, Purpose::Scheduling, message);
}

void PoolRouter::resyncRequested(TimePoint now, const VmId& from, wire::CellKey key)
{
    const auto cell = cellByKey(key);
    if (!cell || ownerOf(*cell) != from || from == m_settings.life.vm)
        return;
    m_unsyncedCells.erase(cell->index);
    sendResync(*cell, from);
    for (auto& entry : m_queues) {
        for (std::uint64_t serial : entry.second.offered) {
            const Request* request = m_requests.findSerial(serial);
            if (request && isOfferedAt(*request, *cell))
                sendOffer(now, *request, sourceAt(*cell));
        }
    }
}

void PoolRouter::peerUp(const VmId& peer)
{
    routerRecovered(peer);
    for (const OwnedCell& it : m_contactedOwners) {
        if (it.owner == peer && ownerOf(CellId { m_pool, it.index }) == peer)
            m_unsyncedCells.insert(it.index);
    }
    sendPendingResyncs();
}

// While an owner is unreachable its offers move to another cell or to this router's own share of the targets.
void PoolRouter::peerDown(const VmId& peer)
{
    requeueOffers(false, [&](const Request&, const SlotSource& it) { return !it.local && it.owner == peer; });
}

void PoolRouter::dropRouter(TimePoint now, const RouterLife& life, bool permanently)
{
    for (auto& cell : m_cells)
        cell.second->dropRouter(now, life);
    if (m_offeringRouters.erase(life.vm))
        m_droppedRouters.insert(life.vm);
    if (permanently)
        m_ledger->retire(life);
}

// The router may not have noticed that it was considered dead or unreachable. Unless it is asked to resynchronise, its
// offers are unknown here and wait forever, and its running requests occupy slots that are counted as free.
void PoolRouter::routerRecovered(const VmId& vm)
{
    if (!m_droppedRouters.erase(vm))
        return;
    for (const auto& entry : m_cells)
        send(vm, Purpose::Scheduling, wire::ResyncRequestMessage { wire::cellKey(CellId { m_pool, entry.first }) });
}

void PoolRouter::tick(TimePoint now)
{
    for (const TargetId& it : m_circuitBreaker.released(now)) {
        const bool accepting = m_serving.contains(it);
        m_local->setAccepting(it, accepting);
        auto cell = m_targetCells.find(it);
        if (cell != m_targetCells.end() && m_cells.contains(cell->second))
            m_cells.at(cell->second)->setAccepting(it, accepting);
    }
    hedgeOldestOffers(now);
    if (now >= m_nextRebalance) {
        m_nextRebalance = now + rebalanceInterval;
        for (const auto& entry : m_queues)
            m_placeable.insert(entry.first);
        sendPendingResyncs();
        requeueFallbackOffers(now);
        relaxAvoidance(now);
        rebalanceOffers(now);
    }
    if (now >= m_nextSummary) {
        m_nextSummary = now + m_settings.summaryInterval;
        sendSummaries(now);
    }
    placeAndGrant(now);
}

} // namespace sagechute::routing
