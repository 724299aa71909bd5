#include "dispatch/HomeOrder.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// A rank beyond this speaks for a target by less than a scheduling delay of the engine.
    constexpr std::size_t mostRanked = 6;

    struct Place {
        std::uint64_t hash;
        const TargetModel* model;
    };

    bool isBefore(const Place& one, const Place& other) { return one.hash > other.hash; }

} // namespace

HomeOrder::HomeOrder(const std::vector<TargetModel*>& usable, const std::vector<PrefixKey>& prefixes)
{
    if (prefixes.size() < 2)
        return;
    const std::uint64_t key = sharedRun(prefixes).key;
    std::vector<Place> places;
    places.reserve(usable.size());
    for (const TargetModel* it : usable)
        places.push_back({ stableHash(it->target().id.value, key), it });
    const auto end = places.begin() + static_cast<std::ptrdiff_t>(std::min(mostRanked, places.size()));
    std::partial_sort(places.begin(), end, places.end(), isBefore);
    for (auto it = places.begin(); it != end; ++it)
        m_first.push_back(it->model);
}

std::optional<unsigned> HomeOrder::rankOf(const TargetModel& model) const
{
    const auto it = std::find(m_first.begin(), m_first.end(), &model);
    return it == m_first.end() ? std::nullopt : std::optional(static_cast<unsigned>(it - m_first.begin()));
}

} // namespace sagechute::dispatch
