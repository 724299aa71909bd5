#pragma once

/// @file
/// Selection of the next request to grant and its target.

#include "scheduling/PrefixIndex.h"
#include "scheduling/WaitingQueues.h"

namespace sagechute::scheduling {

/// Selects the next grant from the waiting requests and the free slots.
class GrantChooser {
public:
    GrantChooser(const CellRequests&, const WaitingQueues&, const TargetTable&, const PrefixIndex&);

    struct Choice {
        RequestIndex request = kNoRequest;
        TargetIndex target = kNoTarget;
        bool prefixCached = false;
    };

    /// @param slack the maximum by which a customer's virtual service may exceed the smallest one if the customer is
    /// preferred because a free target has its prompt's prefix cached; 0 keeps the order strict.
    /// @return nullopt when no free slot can take any waiting request.
    std::optional<Choice> next(Cost slack) const;

private:
    // Scanning more customers would cost more than a cache hit saves.
    static constexpr std::size_t kMaxCustomersScanned = 8;

    struct Head {
        const WaitingQueues::Group* group = nullptr;
        TargetIndex target = kNoTarget;

        explicit operator bool() const { return group; }
    };

    TargetIndex leastLoadedTarget(const std::vector<TargetHash>& avoid) const;
    TargetIndex bestCachedTarget(RequestIndex) const;
    void considerGroup(const WaitingQueues::Group&, Head& first) const;
    Head firstServable() const;
    std::optional<Choice> cachedWithinSlack(const WaitingQueues::Group&, Cost slack) const;

    const CellRequests& m_requests;
    const WaitingQueues& m_queues;
    const TargetTable& m_targets;
    const PrefixIndex& m_prefixes;
};

} // namespace sagechute::scheduling
