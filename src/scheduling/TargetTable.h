#pragma once

/// @file
/// The targets of one cell and their free slots.

#include <sagechute/Scheduling.h>

#include <absl/container/flat_hash_map.h>

#include <set>

namespace sagechute::scheduling {

/// Position of a target in its cell; reused once the target is gone and nothing runs on it any more.
using TargetIndex = std::uint32_t;
inline constexpr TargetIndex kNoTarget = std::numeric_limits<TargetIndex>::max();

/// Hash of a target's name, which means the same before the target joins and after it leaves.
using TargetHash = std::uint64_t;
TargetHash targetHash(const TargetId&);

/// Targets, what they run, and an index of those with a free slot in order of load.
class TargetTable {
public:
    struct Update {
        std::vector<TargetIndex> removed; ///< Nothing is known of these any more.
    };

    Update setTargets(const std::vector<CellTarget>&);
    void setAccepting(const TargetId&, bool accepting);

    /// @return its position, or kNoTarget when it is not in the cell.
    TargetIndex find(const TargetId&) const;
    const TargetId& id(TargetIndex t) const { return m_targets[t].id; }
    TargetHash hash(TargetIndex t) const { return m_targets[t].hash; }

    /// Occupies a slot, also when none is free: what runs, runs. @param t kNoTarget does nothing.
    void acquire(TargetIndex t);
    void release(TargetIndex t);

    bool isFree(TargetIndex t) const { return m_targets[t].load >= 0; }
    double load(TargetIndex t) const { return m_targets[t].load; }

    /// A target with a free slot; sorts by load, then position.
    struct Free {
        double load = 0;
        TargetIndex target = 0;
        auto operator<=>(const Free&) const = default;
    };
    const std::set<Free>& free() const { return m_free; }

    std::uint32_t slots() const { return m_slots; }
    std::uint32_t freeSlots() const { return m_freeSlots; }
    std::size_t size() const { return m_index.size(); }

private:
    struct Target {
        TargetId id;
        TargetHash hash = 0;
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        std::uint32_t counted = 0; ///< Its part of m_freeSlots.
        bool accepting = false;
        bool present = false;
        double load = -1; ///< Its key in m_free, or -1 when not in there.
    };

    TargetIndex add(const TargetId&);
    void reindex(TargetIndex);
    void forgetIfUnused(TargetIndex);

    std::vector<Target> m_targets;
    std::vector<TargetIndex> m_unused;
    absl::flat_hash_map<TargetId, TargetIndex, std::hash<TargetId>> m_index;
    std::set<Free> m_free;
    std::uint32_t m_slots = 0;
    std::uint32_t m_freeSlots = 0;
};

} // namespace sagechute::scheduling
