#pragma once

/// @file
/// Which target likely has which prompt prefix cached.

#include "scheduling/TargetTable.h"

#include <deque>

namespace sagechute::scheduling {

/// Cache contents of a cell's targets, as far as their events tell. Bounded: events of evictions can be lost, so a
/// target's oldest entries are forgotten beyond a share of kPrefixesKept.
class PrefixIndex {
public:
    static constexpr std::size_t kPrefixesKept = 1 << 16;
    static constexpr std::size_t kLeastPerTarget = 64;

    void store(TargetIndex, std::uint64_t prefix);
    void evict(TargetIndex, std::uint64_t prefix);
    void forget(TargetIndex);
    void setTargetCount(std::size_t);

    bool empty() const { return m_holders.empty(); }

    /// @param prefixes shortest first.
    /// @param usable says whether a target may be chosen.
    /// @return the least loaded usable target with the longest known prefix, or kNoTarget.
    template <typename Usable>
    TargetIndex best(const std::vector<std::uint64_t>& prefixes, const TargetTable&, const Usable& usable) const;

private:
    // A prefix that more targets hold than this (a common preamble) says little about where to go.
    static constexpr std::size_t kHoldersLookedAt = 32;

    struct Contents {
        absl::flat_hash_map<std::uint64_t, std::uint64_t> storedAt; ///< Serial number by prefix.
        std::deque<std::uint64_t>
            order; ///< Prefixes from the oldest on; may hold some that are gone or were stored again.
        std::uint64_t firstSerial = 0; ///< Of the front of order.
    };

    void dropHolder(std::uint64_t prefix, TargetIndex);
    void trim(TargetIndex);

    absl::flat_hash_map<std::uint64_t, std::vector<TargetIndex>> m_holders;
    std::vector<Contents> m_contents;
    std::size_t m_mostPerTarget = kPrefixesKept;
};

template <typename Usable>
TargetIndex PrefixIndex::best(
    const std::vector<std::uint64_t>& prefixes, const TargetTable& targets, const Usable& usable) const
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto holders = m_holders.find(*prefix);
        if (holders == m_holders.end())
            continue;
        TargetIndex best = kNoTarget;
        std::size_t looks = 0;
        for (const TargetIndex t : holders->second) {
            if (++looks > kHoldersLookedAt)
                break;
            if (targets.isFree(t) && usable(t) && (best == kNoTarget || targets.load(t) < targets.load(best)))
                best = t;
        }
        if (best != kNoTarget)
            return best;
    }
    return kNoTarget;
}

} // namespace sagechute::scheduling
