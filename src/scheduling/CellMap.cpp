#include <sagechute/Scheduling.h>

#include <algorithm>
#include <queue>

namespace sagechute::scheduling {

namespace {

    constexpr std::size_t kMaxOwners = 3;

    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 30;
        value *= 0xBF58476D1CE4E5B9ULL;
        value ^= value >> 27;
        value *= 0x94D049BB133111EBULL;
        return value ^ (value >> 31);
    }

    std::uint64_t cellHash(const CellId& cell) { return stableHash(cell.pool.value, cell.index); }

    struct Router {
        const OwnerCandidate* candidate = nullptr;
        std::uint64_t hash = 0;
    };

    std::vector<Router> sortedRouters(const std::vector<OwnerCandidate>& candidates)
    {
        std::vector<Router> routers;
        routers.reserve(candidates.size());
        for (const auto& it : candidates)
            routers.push_back({ &it, stableHash(it.vm.value) });
        const auto isBefore = [](const Router& a, const Router& b) { return a.candidate->vm < b.candidate->vm; };
        std::sort(routers.begin(), routers.end(), isBefore);
        const auto isSame = [](const Router& a, const Router& b) { return a.candidate->vm == b.candidate->vm; };
        routers.erase(std::unique(routers.begin(), routers.end(), isSame), routers.end());
        return routers;
    }

    struct Preference {
        std::uint64_t score = 0;
        std::uint32_t router = 0;
        auto operator<=>(const Preference&) const = default;
    };

    /// @return all routers with their rendezvous scores for a cell, highest first.
    std::vector<Preference> rankRouters(const CellId& cell, const std::vector<Router>& routers)
    {
        std::vector<Preference> ranking;
        const std::uint64_t hash = cellHash(cell);
        for (std::uint32_t n = 0; n < routers.size(); ++n)
            ranking.push_back({ mix(routers[n].hash ^ mix(hash)), n });
        std::sort(ranking.rbegin(), ranking.rend());
        return ranking;
    }

    /// Rendezvous hashing with a cap per router, solved by deferred acceptance: each cell proposes to routers in order
    /// of preference, and a router holds the proposals with the highest scores. Cell and router rank a pair by the same
    /// score, so the result does not depend on the order of proposals, and when a router leaves, only its cells and
    /// those displaced by them move.
    class CappedAssignment {
    public:
        CappedAssignment(const std::vector<std::vector<Preference>>& rankings, std::size_t routers, std::size_t cap)
            : m_rankings(rankings)
            , m_cap(cap)
            , m_held(routers)
            , m_nextPreference(rankings.size())
            , m_owner(rankings.size())
        {
            for (std::uint32_t cell = 0; cell < rankings.size(); ++cell)
                assign(cell);
        }

        std::uint32_t owner(std::uint32_t cell) const { return m_owner[cell]; }

    private:
        struct HeldCell {
            std::uint64_t score = 0;
            std::uint32_t cell = 0;
            auto operator<=>(const HeldCell&) const = default;
        };

        using LowestFirst = std::priority_queue<HeldCell, std::vector<HeldCell>, std::greater<>>;

        void assign(std::uint32_t cell)
        {
            while (true) {
                const Preference& preference = m_rankings[cell][m_nextPreference[cell]++];
                LowestFirst& held = m_held[preference.router];
                held.push({ preference.score, cell });
                m_owner[cell] = preference.router;
                if (held.size() <= m_cap)
                    return;
                cell = held.top().cell;
                held.pop();
            }
        }

        const std::vector<std::vector<Preference>>& m_rankings;
        std::size_t m_cap;
        std::vector<LowestFirst> m_held;
        std::vector<std::size_t> m_nextPreference;
        std::vector<std::uint32_t> m_owner;
    };

    /// @return the even share plus a quarter. With a cap at the even share all routers are full, and each cell that
    /// moves displaces another one: with 370 routers of one cell each, one router that left moved 148 cells.
    std::size_t capFor(std::size_t cells, std::size_t routers) { return (5 * cells + 4 * routers - 1) / (4 * routers); }

    /// @return the owner, followed by its successors in order of score. If the first successor is in the owner's
    /// availability zone, the second is the best router of another zone, so that the cell survives the loss of a zone.
    std::vector<VmId> successionOrder(
        const std::vector<Preference>& ranking, const std::vector<Router>& routers, std::uint32_t owner)
    {
        const ZoneId& zone = routers[owner].candidate->zone;
        std::vector<std::uint32_t> next;
        for (const auto& it : ranking) {
            if (it.router != owner)
                next.push_back(it.router);
        }
        if (next.size() >= 2 && routers[next[0]].candidate->zone == zone) {
            const auto otherZone = std::find_if(next.begin() + 1, next.end(),
                [&](std::uint32_t router) { return routers[router].candidate->zone != zone; });
            if (otherZone != next.end())
                std::swap(next[1], *otherZone);
        }
        std::vector<VmId> owners { routers[owner].candidate->vm };
        for (std::size_t n = 0; n < next.size() && owners.size() < kMaxOwners; ++n)
            owners.push_back(routers[next[n]].candidate->vm);
        return owners;
    }

} // namespace

CellMap CellMap::build(const std::vector<OwnerCandidate>& candidates, const std::vector<PoolCellCount>& cellCounts)
{
    CellMap map;
    for (const auto& it : cellCounts) {
        for (std::uint32_t index = 0; index < it.count; ++index)
            map.m_entries.push_back({ { it.pool, index }, {} });
    }
    const auto byCell = [](const Entry& a, const Entry& b) { return a.cell < b.cell; };
    std::sort(map.m_entries.begin(), map.m_entries.end(), byCell);
    const std::vector<Router> routers = sortedRouters(candidates);
    if (routers.empty() || map.m_entries.empty())
        return map;
    std::vector<std::vector<Preference>> rankings;
    for (const auto& it : map.m_entries)
        rankings.push_back(rankRouters(it.cell, routers));
    const CappedAssignment assignment(rankings, routers.size(), capFor(map.m_entries.size(), routers.size()));
    for (std::uint32_t n = 0; n < map.m_entries.size(); ++n)
        map.m_entries[n].owners = successionOrder(rankings[n], routers, assignment.owner(n));
    return map;
}

std::vector<VmId> CellMap::owners(const CellId& cell) const
{
    const auto isBefore = [](const Entry& a, const CellId& b) { return a.cell < b; };
    const auto it = std::lower_bound(m_entries.begin(), m_entries.end(), cell, isBefore);
    if (it == m_entries.end() || it->cell != cell)
        return {};
    return it->owners;
}

std::vector<CellId> CellMap::ownedBy(const VmId& vm, const PoolId& pool) const
{
    std::vector<CellId> cells;
    for (const auto& it : m_entries) {
        if (it.cell.pool == pool && !it.owners.empty() && it.owners.front() == vm)
            cells.push_back(it.cell);
    }
    return cells;
}

std::uint32_t CellMap::cellCount(const PoolId& pool) const
{
    const auto isInPool = [&](const Entry& it) { return it.cell.pool == pool; };
    return std::uint32_t(std::count_if(m_entries.begin(), m_entries.end(), isInPool));
}

std::vector<std::uint32_t> divideTargets(const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount)
{
    struct HashedTarget {
        std::uint64_t hash = 0;
        const TargetId* id = nullptr;
        std::size_t position = 0;
    };
    std::vector<HashedTarget> order;
    for (std::size_t n = 0; n < targetsInPool.size(); ++n)
        order.push_back({ stableHash(targetsInPool[n].value), &targetsInPool[n], n });
    std::sort(order.begin(), order.end(), [](const HashedTarget& a, const HashedTarget& b) {
        return a.hash != b.hash ? a.hash < b.hash : *a.id < *b.id;
    });
    std::vector<std::uint32_t> cells(targetsInPool.size());
    // Contiguous blocks in hash order. With index modulo count, a target that joins would move half of all others.
    for (std::size_t n = 0; n < order.size(); ++n)
        cells[order[n].position] = std::uint32_t(n * cellCount / order.size());
    return cells;
}

std::uint32_t cellOf(const TargetId& target, const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount)
{
    const auto it = std::find(targetsInPool.begin(), targetsInPool.end(), target);
    if (it == targetsInPool.end())
        return cellCount ? std::uint32_t(stableHash(target.value) % cellCount) : 0;
    return divideTargets(targetsInPool, cellCount)[it - targetsInPool.begin()];
}

} // namespace sagechute::scheduling
