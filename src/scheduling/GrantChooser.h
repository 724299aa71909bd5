#pragma once

/// @file
/// The choice of the next request and its target.

#include "scheduling/PrefixIndex.h"
#include "scheduling/WaitingQueues.h"

namespace sagechute::scheduling {

/// Picks the next grant from the waiting requests and the free slots.
class GrantChooser {
public:
    GrantChooser(const CellRequests&, const WaitingQueues&, const TargetTable&, const PrefixIndex&);

    struct Choice {
        RequestIndex request = kNoRequest;
        TargetIndex target = kNoTarget;
        bool prefixCached = false;
    };

    /// @param slack how far a customer may be above the smallest virtual service and still go first because a free
    /// target has its prompt's prefix cached; 0 keeps the order strict.
    /// @return nothing when no free slot can take any waiting request.
    std::optional<Choice> next(Cost slack) const;

private:
    // Looking further would cost more than a cache hit is worth.
    static constexpr std::size_t kCustomersLookedAt = 8;

    struct Head {
        const WaitingQueues::Group* group = nullptr;
        TargetIndex target = kNoTarget;

        explicit operator bool() const { return group; }
    };

    TargetIndex leastLoaded(const std::vector<TargetHash>& avoid) const;
    TargetIndex cached(RequestIndex) const;
    void takeIfFirst(const WaitingQueues::Group&, Head& first) const;
    Head firstServable() const;
    std::optional<Choice> cachedWithin(const WaitingQueues::Group&, Cost slack) const;

    const CellRequests& m_requests;
    const WaitingQueues& m_queues;
    const TargetTable& m_targets;
    const PrefixIndex& m_prefixes;
};

} // namespace sagechute::scheduling
