#pragma once

/// @file
/// What this router wrote to the store, and has to write again when the store returns from a copy that may lack it.

#include "EdgeState.h"

#include <deque>

namespace sagechute::edge {

/// Limit on the crash records of one kind that wait to be written, and on those that are kept in case they are lost.
inline constexpr std::size_t maxPendingRecords = 1024;

/// @return the newest era of the store that this router has seen in an answer or other routers have told it with newer
/// data. A router for which others read the store learns of its return in the second way only.
news::StoreEra knownStoreEra(const news::Knowledge&, const news::FleetStore&);

/// Drops the oldest records beyond maxPendingRecords, those that clear an exit last: a release that is lost keeps a
/// request from being served, while a lost exit costs one target more at most.
void dropExcess(std::deque<quarantine::CrashRecord>&);

/// The crash records that this router has written recently, in the order of their writing. Not thread-safe.
class WrittenRecords {
public:
    /// @param era newest era known before the write was sent: what was acknowledged may have been written in any later
    /// one, but in no older one. @param now when it was acknowledged, on the clock of unsuspendedNow().
    void add(TimePoint now, news::StoreEra era, const std::vector<quarantine::CrashRecord>&);

    /// Removes the records of older eras, which the store may have lost.
    /// @return them, the oldest first.
    std::vector<quarantine::CrashRecord> takeLost(news::StoreEra era);

    /// Forgets records that every copy from which the store may still return has.
    /// @param witnessed time up to which the store is known not to have returned; while it is unavailable, that time
    /// does not advance. On the clock of unsuspendedNow().
    void forgetOld(TimePoint witnessed);

private:
    struct Written {
        quarantine::CrashRecord record;
        news::StoreEra era = 0;
        TimePoint at;
    };
    std::deque<Written> m_records;
};

/// Decides when a router announces itself in the store. Not thread-safe.
class AnnouncementSchedule {
public:
    /// @param router routers that announce themselves again spread their calls by their names.
    explicit AnnouncementSchedule(const VmId& router);

    /// @param era see knownStoreEra(). Call it about once a second.
    /// @return whether this router has not announced itself yet, or did in an older era and its turn has come.
    bool isDue(TimePoint now, news::StoreEra era);

    /// The store has accepted an announcement. @param era newest era known before it was sent.
    void announced(news::StoreEra era);

private:
    const std::chrono::milliseconds m_delay; ///< Of an announcement in a later era.
    std::optional<news::StoreEra> m_announcedIn;
    std::optional<TimePoint> m_dueAgain;
};

} // namespace sagechute::edge
