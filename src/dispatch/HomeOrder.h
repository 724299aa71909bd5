#pragma once

/// @file
/// Which engines a shared part of a prompt belongs to.

#include "dispatch/TargetModel.h"

#include <optional>

namespace sagechute::dispatch {

/// @param prefixes two or more. @return the longest run that others may share; the whole prompt belongs to the request
///        alone.
inline const PrefixKey& sharedRun(const std::vector<PrefixKey>& prefixes) { return prefixes[prefixes.size() - 2]; }

/// The first targets in a prompt's order. It is the same order in every router, and when a target goes it stays so for
/// the others, so that routers which have not heard of each other's placements yet send a prompt to the same few.
///
/// Load pattern: prompts that are each asked for a few times a second, before hundreds of engines. What counts is a
/// rank, not a place above some limit: with a limit that gives sixty engines two homes, 240 have eight, and each keeps
/// the prompt for nobody until it is pushed out.
class HomeOrder {
public:
    /// @param usable the targets that may be chosen. @param prefixes of the prompt; without a part that others may
    ///        share it has no homes.
    HomeOrder(const std::vector<TargetModel*>& usable, const std::vector<PrefixKey>& prefixes);

    /// @return 0 for the first; absent for all after the first few.
    std::optional<unsigned> rankOf(const TargetModel&) const;

private:
    std::vector<const TargetModel*> m_first;
};

} // namespace sagechute::dispatch
