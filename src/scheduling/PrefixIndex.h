#pragma once

/// @file
/// Index of the prompt prefixes that each target is believed to have cached.

#include "scheduling/TargetTable.h"

#include <deque>

namespace sagechute::scheduling {

/// Cache contents of a cell's targets, as reported by their cache events. Eviction events can be lost, so the index is
/// bounded: each target has an equal share of kMaxPrefixes, beyond which its oldest entries are removed.
class PrefixIndex {
public:
    static constexpr std::size_t kMaxPrefixes = 1 << 16;
    static constexpr std::size_t kMinPerTarget = 64;

    void store(TargetIndex, std::uint64_t prefix);
    void evict(TargetIndex, std::uint64_t prefix);
    void clearTarget(TargetIndex);
    void setTargetCount(std::size_t);

    bool empty() const { return m_holders.empty(); }

    /// @param prefixes shortest first.
    /// @param isUsable predicate on TargetIndex: whether the target may be chosen.
    /// @return the least loaded usable target among those that hold the longest prefix possible, or kNoTarget.
    template <typename IsUsable>
    TargetIndex best(const std::vector<std::uint64_t>& prefixes, const TargetTable&, const IsUsable& isUsable) const;

private:
    // A prefix held by more targets than this, such as a common preamble, hardly narrows the choice.
    static constexpr std::size_t kMaxHoldersScanned = 32;

    struct Contents {
        absl::flat_hash_map<std::uint64_t, std::uint64_t> storedAt; ///< Serial number of the latest store, by prefix.
        /// Prefixes, oldest first. May hold stale entries: prefixes that were evicted or stored again since.
        std::deque<std::uint64_t> order;
        std::uint64_t firstSerial = 0; ///< Serial number of order.front().
    };

    void removeHolder(std::uint64_t prefix, TargetIndex);
    void trim(TargetIndex);

    absl::flat_hash_map<std::uint64_t, std::vector<TargetIndex>> m_holders;
    std::vector<Contents> m_contents;
    std::size_t m_maxPerTarget = kMaxPrefixes;
};

template <typename IsUsable>
TargetIndex PrefixIndex::best(
    const std::vector<std::uint64_t>& prefixes, const TargetTable& targets, const IsUsable& isUsable) const
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto holders = m_holders.find(*prefix);
        if (holders == m_holders.end())
            continue;
        TargetIndex best = kNoTarget;
        std::size_t scanned = 0;
        for (const TargetIndex t : holders->second) {
            if (++scanned > kMaxHoldersScanned)
                break;
            if (targets.isFree(t) && isUsable(t) && (best == kNoTarget || targets.load(t) < targets.load(best)))
                best = t;
        }
        if (best != kNoTarget)
            return best;
    }
    return kNoTarget;
}

} // namespace sagechute::scheduling
