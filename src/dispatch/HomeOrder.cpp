#include "dispatch/HomeOrder.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// The bonus of a lower rank would be less than a scheduling delay of the engine.
    constexpr std::size_t minRanked = 6;

    struct RankedTarget {
        std::uint64_t hash;
        const TargetModel* model;
    };

    bool ranksHigher(const RankedTarget& one, const RankedTarget& other) { return one.hash > other.hash; }

} // namespace

HomeOrder::HomeOrder(const std::vector<TargetModel*>& usable, const std::vector<PrefixKey>& prefixes, unsigned homes)
    : m_homeCount(homes)
{
    if (prefixes.size() < 2)
        return;
    const std::uint64_t key = longestSharedPrefix(prefixes).key;
    std::vector<RankedTarget> ranked;
    ranked.reserve(usable.size());
    for (const TargetModel* it : usable)
        ranked.push_back({ stableHash(it->target().id.value, key), it });
    const auto end = ranked.begin()
        + static_cast<std::ptrdiff_t>(std::min(std::max<std::size_t>(minRanked, homes), ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), ranksHigher);
    for (auto it = ranked.begin(); it != end; ++it)
        m_homes.push_back(it->model);
}

std::optional<unsigned> HomeOrder::rankOf(const TargetModel& model) const
{
    const auto it = std::find(m_homes.begin(), m_homes.end(), &model);
    return it == m_homes.end() ? std::nullopt : std::optional(static_cast<unsigned>(it - m_homes.begin()));
}

bool HomeOrder::isHome(const TargetModel& model) const
{
    const std::optional<unsigned> rank = rankOf(model);
    return rank && *rank < m_homeCount;
}

} // namespace sagechute::dispatch
