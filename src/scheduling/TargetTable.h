#pragma once

/// @file
/// Table of the targets of one cell and their free slots.

#include <sagechute/Scheduling.h>

#include <absl/container/flat_hash_map.h>

#include <set>

namespace sagechute::scheduling {

/// Index of a target in its cell. Reused once the target has been removed and nothing runs on it.
using TargetIndex = std::uint32_t;
inline constexpr TargetIndex kNoTarget = std::numeric_limits<TargetIndex>::max();

/// Hash of a target's name. Unlike a TargetIndex it stays valid before the target joins and after it leaves.
using TargetHash = std::uint64_t;
TargetHash targetHash(const TargetId&);

/// Targets with their slots in use, and an index of those with a free slot, ordered by load.
class TargetTable {
public:
    struct Update {
        std::vector<TargetIndex> removed; ///< Targets that are no longer in the cell.
    };

    Update setTargets(const std::vector<CellTarget>&);
    void setAccepting(const TargetId&, bool accepting);

    /// @return the target's index, or kNoTarget when it is not in the cell.
    TargetIndex find(const TargetId&) const;
    const TargetId& id(TargetIndex t) const { return m_targets[t].id; }
    TargetHash hash(TargetIndex t) const { return m_targets[t].hash; }

    /// Occupies a slot even if none is free, since the request already runs. @param t ignored if kNoTarget.
    void acquire(TargetIndex t);
    void release(TargetIndex t);

    bool isFree(TargetIndex t) const { return m_targets[t].load >= 0; }
    double load(TargetIndex t) const { return m_targets[t].load; }

    /// A target with a free slot, ordered by load, then index.
    struct FreeTarget {
        double load = 0;
        TargetIndex target = 0;
        auto operator<=>(const FreeTarget&) const = default;
    };
    const std::set<FreeTarget>& freeTargets() const { return m_free; }

    std::uint32_t slots() const { return m_slots; }
    std::uint32_t freeSlots() const { return m_freeSlots; }
    std::size_t size() const { return m_index.size(); }

private:
    struct Target {
        TargetId id;
        TargetHash hash = 0;
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        std::uint32_t countedFreeSlots = 0; ///< This target's contribution to m_freeSlots.
        bool accepting = false;
        bool present = false;
        double load = -1; ///< Key in m_free, or -1 when not in the index.
    };

    TargetIndex add(const TargetId&);
    void updateFreeIndex(TargetIndex);
    void removeIfUnused(TargetIndex);

    std::vector<Target> m_targets;
    std::vector<TargetIndex> m_unusedIndices;
    absl::flat_hash_map<TargetId, TargetIndex, std::hash<TargetId>> m_index;
    std::set<FreeTarget> m_free;
    std::uint32_t m_slots = 0;
    std::uint32_t m_freeSlots = 0;
};

} // namespace sagechute::scheduling
