/// @file
/// Chooses the cells in which this router's requests are offered: initial placement, hedged offers and rebalancing.

#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

using scheduling::CellId;

namespace {

    constexpr std::size_t maxMovesPerRound = 64;
    constexpr std::size_t maxMovesPerCustomer = 8;
    constexpr Duration freeSlotsMaxAge = std::chrono::seconds(3);
    constexpr std::uint32_t minWindow = 4;

    /// After this time a waiting request accepts any target, including one that has failed it. The targets it would
    /// prefer may be down, which the cell's owner knows but this router does not.
    constexpr Duration avoidanceTimeout = std::chrono::seconds(1);

    /// How long a customer's oldest request waits in one cell before it is also offered in others, and the maximum
    /// number of cells.
    constexpr Duration hedgeDelay = std::chrono::milliseconds(10);
    constexpr std::size_t maxOffersPerRequest = 4;
    constexpr std::size_t maxHedgesPerRound = 64;

    /// A cell with this many waiting requests will not run out of work before its owner sends the next digest.
    constexpr std::uint32_t busyQueueLength = 2;

} // namespace

// Only a window of each customer's requests is offered in each cell, so that a flood at one router costs an owner no
// more than a moderate queue.
void PoolRouter::placeWaiting(TimePoint now)
{
    if (m_placeable.empty())
        return;
    for (auto& [index, cell] : m_cells)
        learn(now, cell->digest());
    const std::set<CustomerId> customers = std::exchange(m_placeable, {});
    for (const CustomerId& customer : customers) {
        CustomerQueue& queue = m_queues[customer];
        while (!queue.waiting.empty()) {
            Request* request = m_requests.findSerial(queue.waiting.front());
            if (request && request->phase == RequestPhase::Waiting && !place(now, *request))
                break;
            queue.waiting.pop_front();
        }
        if (queue.waiting.empty() && queue.offered.empty())
            m_queues.erase(customer);
    }
}

bool PoolRouter::place(TimePoint now, Request& request)
{
    const CustomerQueue& queue = m_queues[request.arrival.customer];
    std::optional<SlotSource> source;
    if (hasUsableCell())
        source = choose(now, request);
    else if (queue.offered.size() < m_settings.cells.offersPerRouterAndCustomer)
        source = SlotSource { {}, m_settings.life.vm, true };
    if (source)
        offerTo(now, request, *source);
    return source.has_value();
}

std::optional<SlotSource> PoolRouter::choose(TimePoint now, const Request& request)
{
    const CustomerQueue& queue = m_queues[request.arrival.customer];
    const CellId preferred
        = m_placer->place(now, request.arrival.customer, m_ledger->virtualService(request.arrival.customer));
    const bool free = takeFreeSlot(now, preferred.index);
    if ((free || queue.offered.empty()) && usable(preferred) && hasEligibleTarget(preferred, request))
        return sourceAt(preferred);
    if (const auto cell = leastFilledCell(now, queue, request))
        return sourceAt(*cell);
    return std::nullopt;
}

// If no slot is known to be free, a customer's requests are spread evenly over all cells. If they all waited in one
// cell, slots elsewhere would idle until their owners had reported them: with all load on one router, 45 to 80 percent
// of the slot time was lost that way.
std::optional<CellId> PoolRouter::leastFilledCell(
    TimePoint now, const CustomerQueue& queue, const Request& request) const
{
    std::optional<CellId> best;
    double least = 0;
    for (const CellId& it : m_cellIds) {
        const auto found = queue.offeredAt.find(it.index);
        const std::uint32_t offered = found == queue.offeredAt.end() ? 0 : found->second;
        if (offered >= windowAt(it.index) || !usable(it))
            continue;
        double filled = static_cast<double>(offered) / windowAt(it.index) + loadAt(it.index) / 2;
        if (!hasEligibleTarget(it, request))
            filled += 2; // Only if no other cell is available.
        else if (m_cells.contains(it.index))
            filled -= 1e-6; // Offers to a cell owned here cost no messages.
        else if (isKnownBusy(now, it.index) && !m_cells.empty())
            filled += 1; // The cell has enough work; a message to it gains nothing until the window of this router's
                         // own cell is full.
        if (best && filled >= least)
            continue;
        best = it;
        least = filled;
    }
    return best;
}

std::uint32_t PoolRouter::windowAt(std::uint32_t cell) const
{
    const auto slots = m_cellSlots.find(cell);
    const std::uint32_t wanted = slots == m_cellSlots.end() ? 0 : slots->second;
    return std::min(std::max(wanted, minWindow), m_settings.cells.offersPerRouterAndCustomer);
}

double PoolRouter::loadAt(std::uint32_t cell) const
{
    const auto load = m_cellLoad.find(cell);
    const auto slots = m_cellSlots.find(cell);
    if (load == m_cellLoad.end() || slots == m_cellSlots.end() || !slots->second)
        return 0;
    return std::min(1.0, static_cast<double>(load->second) / slots->second);
}

void PoolRouter::learn(TimePoint now, const scheduling::CellDigest& digest)
{
    m_placer->updateDigest(now, digest);
    m_freeSlots[digest.index] = { digest.freeSlots, digest.waiting, now };
}

bool PoolRouter::takeFreeSlot(TimePoint now, std::uint32_t cell)
{
    const auto it = m_freeSlots.find(cell);
    if (it == m_freeSlots.end() || !it->second.count || now - it->second.learned > freeSlotsMaxAge)
        return false;
    --it->second.count;
    return true;
}

bool PoolRouter::usable(const CellId& cell) const
{
    const VmId owner = ownerOf(cell);
    return owner == m_settings.life.vm || (!owner.empty() && m_host.reachable(owner));
}

bool PoolRouter::hasUsableCell() const
{
    return std::any_of(m_cellIds.begin(), m_cellIds.end(), [&](const CellId& it) { return usable(it); });
}

bool PoolRouter::isOfferedAt(const Request& request, const CellId& cell)
{
    return std::any_of(request.offers.begin(), request.offers.end(),
        [&](const SlotSource& it) { return !it.local && it.cell == cell; });
}

bool PoolRouter::hasEligibleTarget(const CellId& cell, const Request& request) const
{
    if (request.avoid.empty())
        return true;
    return std::any_of(m_targetCells.begin(), m_targetCells.end(), [&](const auto& it) {
        const bool avoided = std::find(request.avoid.begin(), request.avoid.end(), it.first) != request.avoid.end();
        return it.second == cell.index && m_serving.contains(it.first) && !avoided;
    });
}

// If every target is to be avoided the list is ignored; otherwise the request would wait forever.
std::vector<TargetId> PoolRouter::targetsToAvoid(const SlotSource& source, const Request& request) const
{
    if (!source.local)
        return hasEligibleTarget(source.cell, request) ? request.avoid : std::vector<TargetId> {};
    const bool other = std::any_of(m_localTargets.begin(), m_localTargets.end(), [&](const TargetId& it) {
        return m_serving.contains(it)
            && std::find(request.avoid.begin(), request.avoid.end(), it) == request.avoid.end();
    });
    return other ? request.avoid : std::vector<TargetId> {};
}

void PoolRouter::relaxAvoidance(TimePoint now)
{
    for (auto& entry : m_queues) {
        for (std::uint64_t serial : entry.second.offered) {
            Request* request = m_requests.findSerial(serial);
            if (!request || request->avoid.empty() || now - request->offeredSince < avoidanceTimeout)
                continue;
            request->avoid.clear();
            request->offeredSince = now;
            for (const SlotSource& it : request->offers)
                sendOffer(now, *request, it);
        }
    }
}

std::optional<CellId> PoolRouter::leastLoadedCell(
    TimePoint now, const CustomerQueue& queue, const Request& request) const
{
    std::optional<CellId> best;
    for (const CellId& it : m_cellIds) {
        if (queue.offeredAt.contains(it.index) || isKnownBusy(now, it.index) || !usable(it))
            continue;
        if (hasEligibleTarget(it, request) && (!best || loadAt(it.index) < loadAt(best->index)))
            best = it;
    }
    return best;
}

bool PoolRouter::isKnownBusy(TimePoint now, std::uint32_t cell) const
{
    const auto it = m_freeSlots.find(cell);
    return it != m_freeSlots.end() && it->second.waiting >= busyQueueLength
        && now - it->second.learned <= freeSlotsMaxAge;
}

// A few requests cannot wait in every cell, and a slot freed in a cell without any of them would idle until the owner's
// next digest. A customer's oldest request is therefore offered in several cells at once. The first grant wins; one
// that crosses the withdrawal in transit is declined.
void PoolRouter::hedgeOldestOffers(TimePoint now)
{
    if (m_cellIds.size() < 2)
        return;
    std::size_t hedges = 0;
    for (auto& [customer, queue] : m_queues) {
        if (queue.offered.empty() || queue.offeredAt.size() >= m_cellIds.size() || hedges >= maxHedgesPerRound)
            continue;
        Request* oldest = m_requests.findSerial(*queue.offered.begin());
        if (!oldest || oldest->offers.front().local || now - oldest->offeredSince < hedgeDelay)
            continue;
        while (oldest->offers.size() < maxOffersPerRequest) {
            const auto cell = leastLoadedCell(now, queue, *oldest);
            if (!cell)
                break;
            offerTo(now, *oldest, sourceAt(*cell));
            ++hedges;
        }
    }
}

void PoolRouter::rebalanceOffers(TimePoint now)
{
    if (m_cellIds.size() < 2)
        return;
    std::size_t moves = 0;
    for (auto& [customer, queue] : m_queues) {
        const Cost virtualService = m_ledger->virtualService(customer);
        std::vector<std::uint64_t> oldest(queue.offered.begin(),
            std::next(queue.offered.begin(),
                static_cast<std::ptrdiff_t>(std::min(maxMovesPerCustomer, queue.offered.size()))));
        for (std::uint64_t serial : oldest) {
            Request* request = m_requests.findSerial(serial);
            if (!request || request->offers.size() != 1 || request->offers.front().local || moves >= maxMovesPerRound)
                continue;
            const auto cell
                = m_placer->findBetterCell(now, request->offers.front().cell, request->offeredSince, virtualService);
            if (!cell || !usable(*cell))
                continue;
            withdrawOffers(now, *request);
            offerTo(now, *request, sourceAt(*cell));
            ++moves;
        }
    }
}

// Offers to the fallback scheduler wait for this router's own share of the targets, which may be empty. They return to
// the cells as soon as the owner of one is reachable.
void PoolRouter::requeueFallbackOffers(TimePoint now)
{
    if (!hasUsableCell())
        return;
    requeueOffers(false, [&](const Request& request, const SlotSource& it) {
        if (it.local)
            m_local->withdraw(now, request.id);
        return it.local;
    });
}

void PoolRouter::requeueOrphanedOffers()
{
    requeueOffers(false, [&](const Request&, const SlotSource& it) {
        const bool gone = it.owner == m_settings.life.vm && !m_cells.contains(it.cell.index);
        return !it.local && (gone || ownerOf(it.cell) != it.owner);
    });
}

void PoolRouter::requeueOffers(
    bool deferPlacement, const std::function<bool(const Request&, const SlotSource&)>& shouldRequeue)
{
    for (auto& entry : m_queues) {
        // Iterates from the newest: each request goes to the front of the queue, which preserves the order.
        const std::set<std::uint64_t> offered = entry.second.offered;
        for (auto it = offered.rbegin(); it != offered.rend(); ++it) {
            Request* request = m_requests.findSerial(*it);
            if (!request)
                continue;
            const std::vector<SlotSource> offers = request->offers;
            for (const SlotSource& source : offers) {
                if (shouldRequeue(*request, source))
                    requeueOffer(*request, source, deferPlacement);
            }
        }
    }
}

} // namespace sagechute::routing
