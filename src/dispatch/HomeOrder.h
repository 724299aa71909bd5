#pragma once

/// @file
/// Home targets of a shared prompt prefix: the engines on which routers prefer to place it.

#include "dispatch/TargetModel.h"

#include <optional>

namespace sagechute::dispatch {

/// @param prefixes two or more. @return the longest prefix that other requests may share; the whole prompt is taken to
///        be unique to its request.
inline const PrefixKey& longestSharedPrefix(const std::vector<PrefixKey>& prefixes)
{
    return prefixes[prefixes.size() - 2];
}

/// Top targets for a prompt by rendezvous hashing. All routers compute the same order, and the loss of a target does
/// not change the order of the others, so routers that do not know of each other's placements yet send a prompt to the
/// same few targets.
///
/// The order is cut at a rank, not at a hash threshold, for fleets with hundreds of engines and prompts that are each
/// requested a few times a second: a threshold that gives two targets of 60 gives eight of 240, and each then caches
/// the prompt without a further request for it until it is evicted.
class HomeOrder {
public:
    /// @param usable the targets that may be chosen. @param prefixes of the prompt; if none of them can be shared, no
    ///        target is ranked. @param homes number of homes, all of which are ranked.
    HomeOrder(const std::vector<TargetModel*>& usable, const std::vector<PrefixKey>& prefixes, unsigned homes);

    /// @return 0 for the top target; absent for targets that are not among the first few.
    std::optional<unsigned> rankOf(const TargetModel&) const;

    unsigned homeCount() const { return m_homeCount; }

    /// @return whether the target is one of the homes.
    bool isHome(const TargetModel&) const;

private:
    unsigned m_homeCount;
    std::vector<const TargetModel*> m_homes;
};

} // namespace sagechute::dispatch
