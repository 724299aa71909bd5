/// @file
/// Where the requests of this router are offered: at first, again, and elsewhere.

#include "routing/PoolRouter.h"

#include <algorithm>

namespace sagechute::routing {

using scheduling::CellId;

namespace {

    constexpr std::size_t movesPerRound = 64;
    constexpr std::size_t movesPerCustomer = 8;
    constexpr Duration freeSlotsMemory = std::chrono::seconds(3);
    constexpr std::uint32_t smallestWindow = 4;

    /// A request that still waits after this takes any target, also one that has failed it. Those that it would rather
    /// have may be down, as the cell's owner knows and its router does not.
    constexpr Duration avoidanceMost = std::chrono::seconds(1);

    /// How long a customer's oldest request waits in one cell before it is offered in others too, and in how many.
    constexpr Duration spreadAfter = std::chrono::milliseconds(10);
    constexpr std::size_t mostOffers = 4;
    constexpr std::size_t spreadsPerRound = 64;

    /// With as many waiting as this a cell does not run dry before its owner has told more.
    constexpr std::uint32_t busyWaiting = 2;

} // namespace

// Only a window of each customer's requests is offered in each cell, so that a flood in one router costs an owner no
// more than a modest queue.
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
    if (anyUsable())
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
    const CellId wish
        = m_placer->place(now, request.arrival.customer, m_ledger->virtualService(request.arrival.customer));
    const bool free = takeFreeSlot(now, wish.index);
    if ((free || queue.offered.empty()) && usable(wish) && offersTargetsFor(wish, request))
        return sourceAt(wish);
    if (const auto cell = leastOffered(now, queue, request))
        return sourceAt(*cell);
    return std::nullopt;
}

// Where no slot is known to be free, a customer's requests wait in all cells alike. If they all waited in one, the
// slots of the others would idle until their owners had told of it; 45 to 80 per cent of all slot time was lost that
// way with all load on one router.
std::optional<CellId> PoolRouter::leastOffered(TimePoint now, const CustomerQueue& queue, const Request& request) const
{
    std::optional<CellId> best;
    double least = 0;
    for (const CellId& it : m_cellIds) {
        const auto found = queue.offeredAt.find(it.index);
        const std::uint32_t offered = found == queue.offeredAt.end() ? 0 : found->second;
        if (offered >= windowAt(it.index) || !usable(it))
            continue;
        double filled = static_cast<double>(offered) / windowAt(it.index) + loadAt(it.index) / 2;
        if (!offersTargetsFor(it, request))
            filled += 2; // Only if there is no other cell.
        else if (m_cells.contains(it.index))
            filled -= 1e-6; // The own cell costs no messages.
        else if (knownBusy(now, it.index) && !m_cells.empty())
            filled += 1; // It has work for a while; a message there buys nothing until the own cell's window is full.
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
    return std::min(std::max(wanted, smallestWindow), m_settings.cells.offersPerRouterAndCustomer);
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
    if (it == m_freeSlots.end() || !it->second.count || now - it->second.learned > freeSlotsMemory)
        return false;
    --it->second.count;
    return true;
}

bool PoolRouter::usable(const CellId& cell) const
{
    const VmId owner = ownerOf(cell);
    return owner == m_settings.life.vm || (!owner.empty() && m_host.reachable(owner));
}

bool PoolRouter::anyUsable() const
{
    return std::any_of(m_cellIds.begin(), m_cellIds.end(), [&](const CellId& it) { return usable(it); });
}

bool PoolRouter::isOfferedAt(const Request& request, const CellId& cell)
{
    return std::any_of(request.offers.begin(), request.offers.end(),
        [&](const SlotSource& it) { return !it.local && it.cell == cell; });
}

bool PoolRouter::offersTargetsFor(const CellId& cell, const Request& request) const
{
    if (request.avoid.empty())
        return true;
    return std::any_of(m_targetCells.begin(), m_targetCells.end(), [&](const auto& it) {
        const bool avoided = std::find(request.avoid.begin(), request.avoid.end(), it.first) != request.avoid.end();
        return it.second == cell.index && m_serving.contains(it.first) && !avoided;
    });
}

// Where every target is to be avoided none is: else the request would wait for ever for a target that does not exist.
std::vector<TargetId> PoolRouter::avoidAt(const SlotSource& source, const Request& request) const
{
    if (!source.local)
        return offersTargetsFor(source.cell, request) ? request.avoid : std::vector<TargetId> {};
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
            if (!request || request->avoid.empty() || now - request->offeredSince < avoidanceMost)
                continue;
            request->avoid.clear();
            request->offeredSince = now;
            for (const SlotSource& it : request->offers)
                sendOffer(now, *request, it);
        }
    }
}

std::optional<CellId> PoolRouter::idlest(TimePoint now, const CustomerQueue& queue, const Request& request) const
{
    std::optional<CellId> best;
    for (const CellId& it : m_cellIds) {
        if (queue.offeredAt.contains(it.index) || knownBusy(now, it.index) || !usable(it))
            continue;
        if (offersTargetsFor(it, request) && (!best || loadAt(it.index) < loadAt(best->index)))
            best = it;
    }
    return best;
}

bool PoolRouter::knownBusy(TimePoint now, std::uint32_t cell) const
{
    const auto it = m_freeSlots.find(cell);
    return it != m_freeSlots.end() && it->second.waiting >= busyWaiting && now - it->second.learned <= freeSlotsMemory;
}

// A few requests cannot wait in all cells, and a slot that becomes free where none of them waits would idle until its
// owner's digest has come round. So a customer's oldest request is offered in several cells at once: the first grant
// wins, and one that crosses the withdrawal is declined.
void PoolRouter::spreadOldest(TimePoint now)
{
    if (m_cellIds.size() < 2)
        return;
    std::size_t spreads = 0;
    for (auto& [customer, queue] : m_queues) {
        if (queue.offered.empty() || queue.offeredAt.size() >= m_cellIds.size() || spreads >= spreadsPerRound)
            continue;
        Request* oldest = m_requests.findSerial(*queue.offered.begin());
        if (!oldest || oldest->offers.front().local || now - oldest->offeredSince < spreadAfter)
            continue;
        while (oldest->offers.size() < mostOffers) {
            const auto cell = idlest(now, queue, *oldest);
            if (!cell)
                break;
            offerTo(now, *oldest, sourceAt(*cell));
            ++spreads;
        }
    }
}

void PoolRouter::moveOffers(TimePoint now)
{
    if (m_cellIds.size() < 2)
        return;
    std::size_t moves = 0;
    for (auto& [customer, queue] : m_queues) {
        const Cost virtualService = m_ledger->virtualService(customer);
        std::vector<std::uint64_t> oldest(queue.offered.begin(),
            std::next(
                queue.offered.begin(), static_cast<std::ptrdiff_t>(std::min(movesPerCustomer, queue.offered.size()))));
        for (std::uint64_t serial : oldest) {
            Request* request = m_requests.findSerial(serial);
            if (!request || request->offers.size() != 1 || request->offers.front().local || moves >= movesPerRound)
                continue;
            const auto cell
                = m_placer->findBetterCell(now, request->offers.front().cell, request->offeredSince, virtualService);
            if (!cell || !usable(*cell))
                continue;
            takeBack(now, *request);
            offerTo(now, *request, sourceAt(*cell));
            ++moves;
        }
    }
}

// What was offered to the fallback waits for this router's own share of the targets, which may be nothing. It goes back
// to the cells as soon as one of them has an owner in reach.
void PoolRouter::returnFallbackOffers(TimePoint now)
{
    if (!anyUsable())
        return;
    loseOffers(false, [&](const Request& request, const SlotSource& it) {
        if (it.local)
            m_local->withdraw(now, request.id);
        return it.local;
    });
}

void PoolRouter::returnLostOffers()
{
    loseOffers(false, [&](const Request&, const SlotSource& it) {
        const bool gone = it.owner == m_settings.life.vm && !m_cells.contains(it.cell.index);
        return !it.local && (gone || ownerOf(it.cell) != it.owner);
    });
}

void PoolRouter::loseOffers(bool later, const std::function<bool(const Request&, const SlotSource&)>& isLost)
{
    for (auto& entry : m_queues) {
        // From the youngest on: each goes to the front of the queue, which so keeps its order.
        const std::set<std::uint64_t> offered = entry.second.offered;
        for (auto it = offered.rbegin(); it != offered.rend(); ++it) {
            Request* request = m_requests.findSerial(*it);
            if (!request)
                continue;
            const std::vector<SlotSource> offers = request->offers;
            for (const SlotSource& source : offers) {
                if (isLost(*request, source))
                    loseOffer(*request, source, later);
            }
        }
    }
}

} // namespace sagechute::routing
