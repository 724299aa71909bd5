#pragma once

/// @file
/// Until when targets are cold, from all that is known about them.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Until when each target is cold: until the latest time that its record, its responses, the end of its zone's
/// evacuation and its return after failed connections imply. Several sources, as a target may be cold again before its
/// next record is known here.
class ColdTargets {
public:
    /// The target's newest record is known. A later record replaces what an earlier one said; the other sources stay.
    void recordKnown(TimePoint now, const Target&);

    /// Removes targets that have not been in the list for retention.
    void removeExpired(TimePoint now);

    /// A response of the target said that it is cold. Never shortens the time, as responses may overtake each other.
    void responseSaid(TimePoint now, const TargetIncarnation&, Duration left);

    /// The zone's evacuation ended.
    void zoneReturned(TimePoint now, const ZoneId&);

    /// A connection to the target was refused or not established. From now on it counts as cold, as all routers would
    /// send it requests at its return before the first of these is answered.
    void unreachable(TimePoint now, const TargetIncarnation&);

    /// The target responded. After unreachable() it has been away, and may have lost its warm state.
    void responded(TimePoint now, const TargetIncarnation&);

    /// @return end of the target's cold time; absent if it is warm or the service does not limit cold targets.
    std::optional<TimePoint> coldUntil(TimePoint now, const Target&, const Service*) const;

    /// A target whose entry lapses while the store is unavailable keeps its state for this time.
    static constexpr Duration retention = std::chrono::minutes(10);

private:
    struct Entry {
        TimePoint byRecord;
        TimePoint byResponses;
        std::optional<TimePoint> unreachableAt; ///< Last failed connection, if there was no response since.
        std::optional<TimePoint> returnedAt; ///< First response after a failed connection.
        TimePoint listedAt;
    };

    std::map<TargetIncarnation, Entry> m_entries;
    std::map<ZoneId, TimePoint> m_zoneReturns;
};

} // namespace sagechute::dispatch
