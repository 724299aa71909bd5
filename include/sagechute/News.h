#pragma once

/// @file
/// A router's replica of the platform's store: the interface to the store, the list of targets, the freshness of both,
/// and the schedule of reads. Pure decision logic, without sockets, threads or clock.
///
/// Guarantee: a change that the store has acknowledged is in force in a router within a bound, whichever other routers
/// fail. A router therefore never relies on another one's claim to be "reading the store", only on a time. Each router
/// keeps the time up to which its data is complete (Knowledge) and reports it to the others as an age with each
/// heartbeat. A router adopts a reported age only if its own data is at least as recent. An age that nobody refreshes
/// keeps growing; at half of the bound a router reads the store itself, whatever others report.

#include <sagechute/Dispatch.h>

#include <compare>
#include <utility>

namespace sagechute::news {

// ---- Interface to the store

/// Number of a store's history. It rises by one each time the store returns from a copy that may lack what it has
/// acknowledged; offsets are then given out again. Zero: unknown, or a store that doesn't report it.
using StoreEra = std::uint64_t;

/// Age of the oldest copy that the store returns from: what was acknowledged longer before is in it.
inline constexpr std::chrono::seconds maxCopyAge { 60 };

/// Position in a topic of the store. Offsets are given out again in each era, so a position of a newer era is later
/// than any of an older one.
struct LogPosition {
    LogOffset offset = 0;
    StoreEra era = 0;

    bool operator==(const LogPosition&) const = default;
    std::strong_ordering operator<=>(const LogPosition& other) const
    {
        const auto byEra = era <=> other.era;
        return byEra != 0 ? byEra : offset <=> other.offset;
    }
};

/// The newest configuration in the store.
struct ConfigRecord {
    std::uint64_t version = 0;
    LogPosition position;
    std::string document; ///< As stored; routers forward it without decoding it.
};

/// A target entry or configuration that cannot be decoded or applied.
struct UnreadableRecord {
    std::string key;
    std::string reason;
};

/// The operator's request that no more be sent to the targets of an availability zone, or its end.
struct ZoneChange {
    ZoneId zone;
    bool isEvacuated = false;
    LogPosition position; ///< Of the record. Of two records for one zone the later takes precedence.

    bool operator==(const ZoneChange&) const = default;
};

/// Result of reading the operator's topic, which holds the configuration and the evacuations.
struct ConfigNews {
    std::optional<ConfigRecord> newest; ///< The newest readable configuration; absent if there is nothing new.
    LogPosition next; ///< Position to continue reading from.
    std::vector<UnreadableRecord> unreadable;
    std::vector<ZoneChange> zones; ///< In log order; after a full read, all evacuated zones.
};

/// A change of one entry in the target list.
struct TargetChange {
    TargetId id;
    std::optional<dispatch::Target> target; ///< Absent if the entry was removed.
    LogPosition position; ///< Of the record. Of two records for one target the later takes precedence.
};

struct TargetNews {
    std::vector<TargetChange>
        changes; ///< In log order; unreadable entries are reported as removed. IDs are printable ASCII.
    LogPosition next; ///< Position to continue reading from.
    std::vector<UnreadableRecord> unreadable;
};

/// Announces the address of a router, so that others can find it.
struct RouterAnnouncement {
    VmId vm;
    std::string gossipAddress;
};

/// Records written by routers about requests, or about parts of prompts, that crash targets.
struct SubjectCrashNews {
    std::vector<quarantine::CrashRecord> records;
    std::vector<quarantine::SubjectKey> quarantined; ///< Quarantined subjects; their records are included above.
    std::vector<quarantine::SubjectKey> released; ///< Subjects released from quarantine.
};

/// Crash records of requests and of parts.
struct CrashNews : SubjectCrashNews {
    SubjectCrashNews parts;
    LogPosition next; ///< Position to continue reading from.
};

/// The platform's store. All calls block for a bounded time and are thread-safe. Errors are LogUnavailable, or
/// RetentionExceeded when the requested records are no longer retained or the store has returned from a copy, in which
/// case everything has to be read again.
class FleetStore {
public:
    virtual ~FleetStore() = default;

    virtual absl::StatusOr<ConfigNews> readConfig() = 0;

    /// @param wait long-poll time: how long the store may hold the call while there is nothing new.
    virtual absl::StatusOr<ConfigNews> followConfig(LogPosition from, std::chrono::milliseconds wait) = 0;

    /// @return the decoded configuration, or BadRequest.
    virtual absl::StatusOr<dispatch::FleetConfig> decodeConfig(const std::string& document) const = 0;

    /// @return all entries, each as a change that sets it.
    virtual absl::StatusOr<TargetNews> readTargets() = 0;

    /// @param wait see followConfig().
    virtual absl::StatusOr<TargetNews> followTargets(LogPosition from, std::chrono::milliseconds wait) = 0;

    virtual absl::Status announce(const RouterAnnouncement&) = 0;
    virtual absl::StatusOr<std::vector<RouterAnnouncement>> announcements() = 0;

    /// @return all retained records: quarantined requests and parts and some of the others.
    virtual absl::StatusOr<CrashNews> readCrashes() = 0;

    /// @param wait see followConfig().
    virtual absl::StatusOr<CrashNews> followCrashes(LogPosition from, std::chrono::milliseconds wait) = 0;

    /// Writes records for followers; only some are retained permanently. A cleared subject is released from quarantine.
    virtual absl::Status writeCrashes(
        const std::vector<quarantine::CrashRecord>& requests, const std::vector<quarantine::CrashRecord>& parts)
        = 0;

    /// Writes quarantined requests and parts, which are retained until they are cleared.
    virtual absl::Status writeQuarantined(
        const std::vector<quarantine::CrashCase>& requests, const std::vector<quarantine::CrashCase>& parts)
        = 0;

    /// @return the number of calls made so far, including refused ones.
    virtual std::uint64_t calls() const = 0;

    /// @return the newest era reported by an answer so far.
    virtual StoreEra era() const = 0;
};

// ---- Target list

/// An interval in which the store was read by some router without a gap longer than NewsTimes::storeBreak.
///
/// Each router that passes it on estimates the start later and the end earlier, by up to the transit time. Soon after a
/// gap the estimated start may therefore be after the estimated end.
struct ReadSpan {
    TimePoint from;
    TimePoint until;
    bool isTold = false; ///< Reported by another router; otherwise a read of this router's own.
};

/// A target that was used and takes no more requests, as the store or the target itself says.
struct Departure {
    dispatch::TargetIncarnation target;
    bool isGone = false; ///< Its entry was removed; otherwise it is draining.

    /// The store has held the notice only since some time after this: until then this router knew its records, and the
    /// target was not leaving. If the target itself said so, when it did; absent if nothing was known before.
    std::optional<TimePoint> noticeAfter;
};

/// A return of the store from a copy, as a target list met it.
struct StoreReturn {
    LogPosition former; ///< Known up to here before.
    LogPosition current; ///< Known up to here by the first list after the return.
    std::size_t listed = 0; ///< Entries in that list.
    std::size_t kept = 0; ///< Entries that were not in it and are kept for the time that targets have to return.
};

/// An interval in which this process did not run: it was stopped, its VM was suspended, or it got no processor time.
struct Stall {
    TimePoint from;
    TimePoint until;
};

/// Detects stalls by the time between two observations. Not thread-safe.
class StallDetector {
public:
    /// @param limit shortest stall that is detected; well above the interval of the observations.
    explicit StallDetector(Duration limit)
        : m_limit(limit)
    {
    }

    /// To be called regularly, and before anything is decided by what was known before.
    /// @param now on a clock that goes on while the VM is suspended.
    /// @return the stall that has just ended, if any.
    std::optional<Stall> observe(TimePoint now);

private:
    Duration m_limit;
    std::optional<TimePoint> m_last;
};

/// The target list of this router.
///
/// Entries expire while the store is unavailable, although their targets are alive; live targets register again within
/// two seconds of its return. An entry that goes missing in that time is therefore kept until the time has passed. A
/// router that has received nothing must not conclude that the store was unavailable: others may have read it
/// meanwhile, and a missing entry has then been removed. Routers therefore report to each other for how long the store
/// has been read without a gap.
///
/// Nor may a router that did not run conclude it from its own gap, as all routers may have been stalled together. If
/// its stalls explain a gap, entries that are missing after it are retained, but their targets get no requests, as the
/// store was probably available and they have gone. If more than half of a service's entries are missing, the store was
/// probably unavailable as well; without these targets callers would have too few to answer them, so they are used.
///
/// A life of a target that was ever seen draining stays draining, whatever an older record
/// or another router reports. The target's next life is not affected, and once it is known reports about earlier lives
/// are ignored. Where entries don't say when their targets started, a life that was seen draining ends with two later
/// records in a row that say otherwise: a single one may be a late write of the draining target. If only the target
/// said so itself, its entry must also have gone before.
///
/// When the store returns from a copy, the copy may lack a draining state, a removal or an entry that was acknowledged.
/// A life that was seen draining stays so. A target whose entry was removed before, and that is listed again, gets no
/// requests until a further record confirms it or until its removal would have been written again. An entry that is not
/// listed is kept for the time that live targets have to register again.
///
/// Routers exchange changes with the positions of their records instead of lists: lists cannot be ordered by age when
/// one router retains an entry that another has dropped, and each router decides on retention by itself.
class TargetRoster {
public:
    /// @param storeBreak see NewsTimes.
    explicit TargetRoster(Duration storeBreak = entryLapseTime)
        : m_maxReadGap(storeBreak)
    {
    }

    /// Notes that everything the store acknowledged up to the end of this interval has been applied, up to the record
    /// before @p next. A gap before the interval means that no router is known to have reached the store, so entries
    /// may have expired. Does nothing if @p next is of an older era than next(); if it is of a newer one, the full list
    /// has to follow by replace().
    void known(LogPosition next, ReadSpan);
    void known(LogPosition next, TimePoint at) { known(next, ReadSpan { at, at }); }

    /// Notes that this process did not run. To be called before what is read or told afterwards is applied.
    void noteStall(const Stall&);

    /// @return the position of the first record not applied yet; absent before the first known().
    std::optional<LogPosition> next() const { return m_next; }

    /// @return see known(); absent before its first call.
    std::optional<TimePoint> knownUntil() const { return m_read ? std::optional(m_read->until) : std::nullopt; }

    /// @return since when the store is known to have been read without a break; absent before the first known().
    std::optional<TimePoint> readSince() const { return m_read ? std::optional(m_read->from) : std::nullopt; }

    /// @return knownUntil(), or, while entries are retained for a gap after which no other router has reported reads,
    /// the start of that gap. A router that was cut off from all others finds the same gap as during an outage of the
    /// store and can't tell them apart by reading the store itself, so it has to ask others as if it knew nothing
    /// since.
    std::optional<TimePoint> witnessedUntil() const;

    void apply(TimePoint now, const TargetChange&);

    /// Applies the changes returned by one read. For each target only the last change and whether it was ever draining
    /// matter: a read that catches up after a long absence returns targets that were added and removed meanwhile, and
    /// those must not be retained as if their entries had just expired.
    void applyAll(TimePoint now, const std::vector<TargetChange>&);

    /// Marks a life of a target as draining because the target said so itself; no record is needed.
    /// @return whether this was new.
    bool saidDraining(TimePoint now, const dispatch::TargetIncarnation&);

    /// Replaces everything by a full list. @param end entries missing from the list were removed before this record. A
    /// list of an older era than next() is ignored.
    void replace(TimePoint now, const std::vector<TargetChange>& all, LogPosition end);

    /// @param now if given, the targets' coldLeft is the time left then; otherwise as their records say.
    /// @return the last change of each target whose record is at or after @p from; absent if some may have been
    /// discarded, in which case all() has to be sent.
    std::optional<std::vector<TargetChange>> changesSince(
        LogPosition from, std::optional<TimePoint> now = std::nullopt) const;

    /// @param now see changesSince(). @return the present entries, each as a change that sets it.
    std::vector<TargetChange> all(std::optional<TimePoint> now = std::nullopt) const;

    /// @return whether the list changed by it.
    bool expire(TimePoint now);

    /// @param now see changesSince().
    std::vector<dispatch::Target> targets(std::optional<TimePoint> now = std::nullopt) const;

    /// @return the end of the grace period during which missing entries are retained, as they may have expired; absent
    /// if there is none.
    std::optional<TimePoint> keepsMissingUntil() const { return m_graceUntil; }

    /// @return the store's return from a copy that was noticed since the last call; the last one, if there were
    /// several.
    std::optional<StoreReturn> takeStoreReturn() { return std::exchange(m_storeReturn, std::nullopt); }

    /// @return the departures since the last call.
    std::vector<Departure> takeDepartures() { return std::exchange(m_departures, {}); }

    /// @return a number that changes whenever the list does.
    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const { return m_entries.size(); }

    /// @return the number of retained entries that are missing.
    std::size_t missingCount() const;

    /// Maximum time after the store's return until a live target has registered again.
    static constexpr Duration reregistrationTime = std::chrono::milliseconds(2000);

    /// Retention of a missing entry: reregistrationTime plus the time for the new record to arrive.
    static constexpr Duration reregistrationGrace = std::chrono::milliseconds(2200);

    /// After a read gap longer than this, entries may have expired: targets renew theirs every 1.2 s, and three
    /// consecutive failures remove an entry.
    static constexpr Duration entryLapseTime = std::chrono::milliseconds(2000);

    /// Maximum time after the store's return until a removal that the copy lacks is written again: three failed
    /// renewals of 1.2 s, and the time for the record to arrive.
    static constexpr Duration lostRemovalTime = std::chrono::milliseconds(4500);

    /// Records that renew an entry say the remaining cold time in milliseconds and take different times to arrive. An
    /// end of the cold time that is earlier than known by no more than this is not a change of the list.
    static constexpr Duration coldEndTolerance = std::chrono::milliseconds(250);

private:
    struct Entry {
        dispatch::Target target;
        LogPosition position; ///< Of the record.
        TimePoint coldUntil; ///< As of the target's newest record; zero: it said that the target is warm.
        bool isMissing = false; ///< May have expired; retained for the grace period.
        bool isSuspended = false; ///< Missing, and gets no requests.
        std::optional<TimePoint> heldUntil; ///< Listed by a copy after its removal, and gets no requests until then.
        std::optional<TimePoint> missingAfter; ///< Of a missing entry; see Departure::noticeAfter.

        bool isUsed() const { return !target.draining && !isSuspended && !heldUntil; }
    };

    /// An interval without known reads, in which the store may have been unavailable.
    struct ReadGap {
        TimePoint before; ///< End of the known reads before the gap.
        TimePoint after;
    };

    /// State of a target's newest life, retained after its entry is removed.
    struct LifeRecord {
        std::int64_t startedAtMs = 0;
        bool isLeaving = false;
        TimePoint at;
        LogPosition position; ///< Of the last record applied.
        bool isGone = false; ///< That record removed the entry.
        LogPosition leavingAt; ///< Of the last record that said that it is draining, or removed its entry.
        std::optional<LogPosition> readyAt; ///< Of the first record after that, which said otherwise.
        bool isLeavingByItself = false; ///< It said so itself, and its entry has not gone since.
    };

    /// Applies a change that is recorded for the target's life already.
    void applyToEntry(TimePoint now, const TargetChange&);
    void set(TimePoint now, const TargetChange&);

    /// Notes that the target of an entry that is about to change or go was used until now.
    void recordDeparture(const Entry&, bool isGone, std::optional<TimePoint> noticeAfter);

    /// @param isSameRecord whether the change is the record that @p known was made of.
    /// @return until when the target is cold according to a change that is about to replace @p known.
    static TimePoint coldUntil(TimePoint now, const TargetChange&, const Entry& known, bool isSameRecord);

    /// @return the entry's target. @param now see changesSince().
    static dispatch::Target targetAt(const Entry&, std::optional<TimePoint> now);
    void remove(TimePoint now, const TargetId&, LogPosition);

    /// Notes a return of the store. A position without an era says nothing of one. @param end of the first list known
    /// in the new era.
    void noteReturn(LogPosition end, TimePoint returnedBy);
    void removeExpiredLives(TimePoint now);

    /// Removes from the gaps an interval in which another router knows the store to have been read.
    void narrowReadGaps(ReadSpan told);

    /// Computes the end of the grace period. Entries that expired in a gap need time to be registered again, which is
    /// impossible during a further gap, however short.
    void updateGracePeriod();

    /// @return whether stalls of this process explain the gap: the rest is no longer than gaps that don't matter.
    bool isExplainedByStalls(const ReadGap&) const;

    /// Decides which missing entries get no requests.
    void updateSuspended();

    /// @return whether missing entries had their time to be registered again. A target may have done so without this
    /// router knowing yet, so the reads known here have to cover that time.
    bool isGracePeriodOver(TimePoint now) const;

    /// Records a reported life of a target, and marks it as draining if it ever was.
    /// @return false if the life is older than the newest known one.
    bool recordLife(TimePoint now, TargetChange&);

    /// Decides whether a record that has no start time and says ready belongs to the life after one that is leaving.
    static bool isNextLife(LifeRecord&, const TargetChange&);

    /// Notes for the target's life that a record removed its entry.
    void recordRemoval(const TargetChange&);

    /// @return whether a later record for that target has been applied already.
    bool isOutdated(const TargetChange&) const;

    /// @return whether a later full list did not contain that target. A delayed response to an earlier request, or a
    /// router that is behind, may still contain it, and the record of its removal would never be read again.
    bool isOmittedFromFullList(const TargetChange&) const;

    Duration m_maxReadGap;
    std::map<TargetId, Entry> m_entries;
    std::map<TargetId, LifeRecord> m_lives;
    std::optional<LogPosition> m_next;
    LogPosition m_completeFrom; ///< All changes from this position on are retained.
    std::optional<ReadSpan> m_read;
    bool m_isGapWitnessed = false; ///< Another router has reported reads after the last gap.
    std::vector<ReadGap> m_readGaps; ///< Oldest first; cleared when no entry is retained for them any more.
    std::optional<TimePoint> m_graceUntil;
    bool m_isGraceByStall = false; ///< Stalls explain all gaps that the grace period is for.
    std::vector<Stall> m_stalls; ///< The most recent ones, oldest first.
    std::uint64_t m_revision = 0;
    std::optional<TimePoint> m_knownBefore; ///< knownUntil() before the read that is being applied.
    std::vector<Departure> m_departures;
    LogPosition m_writtenSinceReturn; ///< Records from here on were written after the store's last return.
    std::optional<TimePoint> m_returnedBy; ///< The store had returned from a copy; absent after the grace period.
    std::optional<StoreReturn> m_storeReturn;
};

// ---- Evacuated availability zones

/// The evacuated zones known to this router, and the operator records up to which they are complete.
///
/// Routers exchange the whole list, as an evacuation is rare and few zones are evacuated at a time. A list is complete
/// up to a position, so that the older of two lists never takes back what the newer one states, and the removal of a
/// record needs no entry of its own.
///
/// When the store returns from a copy, an evacuation that the copy lacks stays in force, and one that the copy still
/// has although it was lifted stays lifted, for the time that the operator has to write it again.
class EvacuatedZones {
public:
    EvacuatedZones() = default;

    /// @param storeBreak see NewsTimes.
    explicit EvacuatedZones(Duration storeBreak)
        : m_maxReadGap(storeBreak)
    {
    }

    struct Entry {
        LogPosition position; ///< Of the newest record that evacuates the zone.
        TimePoint since; ///< When this router learned of the evacuation.
        std::optional<TimePoint> keptUntil; ///< The store doesn't hold it since its return from a copy.
    };

    /// Applies the changes returned by one read that continued from next() or before. Records before next() are known
    /// already and change nothing. @param next offset after the last record read.
    /// @return the zones that were evacuated or lifted by these changes, each with its newest record.
    std::vector<ZoneChange> applyAll(TimePoint now, const std::vector<ZoneChange>&, LogPosition next);

    /// Replaces the zones by a full list, unless it is complete only up to a position older than next().
    /// @param end all records before this position are taken into account; the list may contain later ones as well.
    /// @return see applyAll(). A zone that is missing from the list has @p end as the offset of its change, as its last
    /// record was written before.
    std::vector<ZoneChange> replace(TimePoint now, const std::vector<ZoneChange>& all, LogPosition end);

    /// Goes by the store's word where nothing was written again in time after its return. That time begins anew after a
    /// gap in what is known, as the operator may not have reached the store in it.
    /// @param knownUntil all operator records acknowledged before this time are known.
    /// @return the zones that were evacuated or lifted by it.
    std::vector<ZoneChange> expire(TimePoint knownUntil);

    /// @return the position of the first operator record that is not known yet; absent before the first update.
    std::optional<LogPosition> next() const { return m_next; }

    const std::map<ZoneId, Entry>& zones() const { return m_zones; }

    /// @return the evacuated zones that the store holds, each as the change that evacuated it.
    std::vector<ZoneChange> all() const;

    /// @return a number that changes whenever the set of evacuated zones does.
    std::uint64_t revision() const { return m_revision; }

private:
    /// @return whether the set of evacuated zones changed.
    bool apply(TimePoint now, const ZoneChange&);

    /// A lifted evacuation that a copy still has.
    struct Doubtful {
        LogPosition position;
        TimePoint until;
    };

    Duration m_maxReadGap = TargetRoster::entryLapseTime;
    std::optional<TimePoint> m_knownUntil; ///< Of the last call of expire().
    std::map<ZoneId, Entry> m_zones;
    std::map<ZoneId, TimePoint> m_lifted; ///< When; for the time that a copy can be old.
    std::map<ZoneId, Doubtful> m_doubtful;
    std::optional<LogPosition> m_next;
    std::uint64_t m_revision = 0;
};

// ---- Reading the store

/// Position of a router in one topic of the store, and the outcome of its reads.
class ReadCursor {
public:
    /// @return the position to continue from; absent if everything has to be read.
    std::optional<LogPosition> next() const { return m_next; }

    /// @return how long reads had been failing before this one, if they had.
    std::optional<Duration> readDone(TimePoint now, LogPosition next);

    /// @return whether this is the first of consecutive failures.
    bool readFailed(TimePoint now);

    /// Resets the retry backoff because other routers supplied the data that the failed reads would have returned.
    /// Otherwise a router that the store refused for a long time would retry late once those others are lost.
    void renewed() { m_failures = 0; }

    /// The records at the cursor are no longer retained, or are of an older era.
    void historyLost();

    /// Another router has supplied everything before @p next. It must not be read again: old records would bring back
    /// targets that have been removed since.
    void toldByPeer(LogPosition next);

    /// @return consecutive failures since the last successful read or renewed().
    unsigned failures() const { return m_failures; }

    /// @return the retry delay of a router that reads for others; grows with consecutive failures.
    Duration retryDelay() const;

private:
    std::optional<LogPosition> m_next;
    std::optional<LogPosition> m_lost; ///< Position whose records were no longer retained.
    std::optional<TimePoint> m_failingSince;
    unsigned m_failures = 0;
};

// ---- Freshness

/// The data that a router has, and the time up to which it is complete. Times are of the local clock, which must
/// advance while the VM is suspended; otherwise a resumed router would treat old data as fresh.
struct Knowledge {
    std::uint64_t configVersion = 0;
    std::optional<TimePoint> configUntil; ///< Every operator record acknowledged before this time is known.
    LogPosition targetsNext; ///< Target records before this position are known.
    std::optional<TimePoint> targetsUntil; ///< As configUntil, for the targets.
    std::optional<TimePoint> targetsFrom; ///< The store has been read without a gap since then; see ReadSpan.
    LogPosition operatorNext; ///< Operator records before this position are known: configurations and evacuations.
};

/// Knowledge as reported to other routers: ages instead of times, since clocks differ.
struct ToldKnowledge {
    std::uint64_t configVersion = 0;
    std::optional<Duration> configAge; ///< Absent if no configuration is known.
    LogPosition targetsNext; ///< Era 0 from a router of a release that doesn't know eras.
    std::optional<Duration> targetsAge;
    std::optional<Duration> readAge; ///< Time since the last successful reads of its own, the older of both topics.
    std::optional<Duration> targetsFromAge; ///< How long the store has been read without a gap.
    LogPosition operatorNext; ///< Offset 0 from a router of a release that doesn't know evacuations.
};

/// Estimates the queueing delay of messages from the sender's and the receiver's timestamps.
///
/// A router that was paused for seconds finds the heartbeats of that time queued in its socket. Going by the ages in
/// them it would consider itself up to date, and report so to others. The clock offset is unknown, but the minimum
/// observed "received minus sent" is the offset plus the shortest transit time; anything above it is delay.
class TransitMeter {
public:
    /// @param sent by the sender's clock. @param received by the local clock. Both must advance while a VM is
    /// suspended.
    /// @return the delay, or unknownDelay for the first messages, which may all have been queued.
    Duration delay(TimePoint sent, TimePoint received);

    /// Large enough to make any age that it is added to useless.
    static constexpr Duration unknownDelay = std::chrono::hours(1);

private:
    std::optional<Duration> m_least;
    TimePoint m_firstAt {};
    TimePoint m_at {};
};

/// @return the report with its ages increased by @p delay and the minimum transit time, which TransitMeter cannot
/// observe. Without the latter, the ages of two routers that report to each other would shrink with each message. The
/// length of gapless reading is left unchanged: it may be understated, but not overstated.
ToldKnowledge delayed(const ToldKnowledge&, Duration delay);

/// Topics of which another router has newer data.
struct Missing {
    bool config = false; ///< The configuration or an evacuation.
    bool targets = false;
    bool any() const { return config || targets; }
};

/// @param readAt the older of its last successful reads of both topics.
ToldKnowledge tell(const Knowledge&, std::optional<TimePoint> readAt, TimePoint now);

/// @return whether all operator records that the other router knows are known here, so that the age of its knowledge
/// holds here as well. The age of a router that reports no offset says nothing of evacuations, and is of no use once
/// one is known.
bool knowsOperatorRecordsOf(const Knowledge&, const ToldKnowledge&);

/// Adopts the freshness reported by another router, for each topic where the local data is as recent as its own and of
/// the same era: reads of an older era say nothing of what the store holds now.
/// @return the topics where the other router has newer data, which has to be fetched first.
Missing learn(Knowledge&, const ToldKnowledge&, TimePoint now);

/// @param asOf when the ages were valid. @param heard when they were received.
/// @return the interval in which another router knows the store to have been read; absent if it has no targets. Its
/// start is not moved to an earlier end: a gap would seem shorter with each router that passes it on, and end the grace
/// period of entries that could not be registered again in it.
std::optional<ReadSpan> toldRead(const ToldKnowledge&, TimePoint asOf, TimePoint heard);

/// @return the older of both topics' times; absent while either is unknown.
std::optional<TimePoint> knownUntil(const Knowledge&);

/// @return knownUntil(), but not after TargetRoster::witnessedUntil(): the time for PeerRequests::due().
std::optional<TimePoint> witnessedUntil(const Knowledge&, const TargetRoster&);

/// @param sent when the read was sent. @param answered when its response arrived.
/// @param wait the long-poll time of the read. @param isEmpty whether the response had nothing new.
/// @return the time up to which the read makes the data complete. A call that the store held and answered empty shows
/// that there was nothing new while it was held.
TimePoint knownByRead(TimePoint sent, TimePoint answered, Duration wait, bool isEmpty);

// ---- Read schedule

/// Intervals derived from the bound on propagation time. They are fractions of it, so that they are valid for a bound
/// of two seconds as well as of four.
struct NewsTimes {
    Duration bound {}; ///< Maximum time from the store's acknowledgement until a change is in force.
    Duration wait {}; ///< Long-poll time of a reader, and so the maximum age of its data.

    /// A reader that has not read for this long is considered lost, and the next in order reads. Exceeds the wait plus
    /// one or two lost heartbeats.
    Duration readerLost {};

    /// At this age of its data a router reads the store itself, whatever others report. The rest of the bound suffices
    /// for the read, a retry, and requests already on their way to a target.
    Duration ownRead {};

    /// Jitter of ownRead across routers, so that the first to read can inform the others before they read.
    Duration spread {};

    /// At this age a router also asks any other router. Its own read has been answered by then if it is going to be.
    Duration ask {};

    /// After a read gap longer than this the store may have been unavailable; a router that it serves would have read
    /// by then.
    Duration storeBreak {};

    /// Shortest time for which a process that does not run counts as stalled.
    Duration stall {};

    /// Initial and maximum retry delay of a router that does not read for others while the store does not answer it.
    Duration firstRetry {};
    Duration maxRetry {};

    /// Interval after which the next router is asked while a response is outstanding.
    Duration askNext {};

    /// Minimum and maximum pause after a response from a router that was asked because no source was known.
    Duration minAskPause {};
    Duration maxAskPause {};

    /// Timeout for connecting to another router, and again for its response.
    Duration patience {};

    /// Delay of the first read of routers that are not seeds: they usually receive the data from others and need not
    /// read at all.
    Duration startWait {};

    /// @param isFirstStart whether the whole fleet starts for the first time, before there are any callers.
    static NewsTimes make(Duration bound, bool isFirstStart);
};

/// Last known state of a router that may read the store for others.
struct ReaderPeer {
    VmId vm;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: unknown.
    std::optional<Duration> readAge; ///< Current age, including the time since it was received.
};

/// A router's position among those that may read for others.
struct ReadStanding {
    bool isReader = false; ///< It reads continuously, since no router before it does.
    unsigned rank = 0; ///< Number of routers before it.
};

/// Elects the reader. Calls to the store are billed and share one rate limit, so one router reads for all: the one with
/// the most cores, ties broken by name. Those after it monitor whether it does. Since a store may refuse some routers
/// and serve others, the criterion is the time of each router's last read, not whether it is alive.
/// @param others known routers that may read for this one.
ReadStanding standing(
    const VmId& self, std::uint32_t capacity, const std::vector<ReaderPeer>& others, const NewsTimes&);

/// Inputs to the decision when this router reads a topic.
struct ReadOccasion {
    TimePoint startedAt; ///< Start of this router process.
    bool isSeed = false; ///< Other routers contact it at their start.
    std::optional<TimePoint> knownUntil; ///< Time up to which the topic is known.
    ReadStanding standing;
    double place = 0; ///< Jitter fraction in [0, 1), different for each router.
    std::optional<TimePoint> failedAt; ///< Send time of the last read if it failed; measured from there, as a read that
                                       ///< hung has waited enough.
    Duration retryDelay {}; ///< Retry delay of a reader; see ReadCursor.
    unsigned failures = 0; ///< Consecutive failures.
};

/// @return when to read; may be in the past.
TimePoint readDue(const ReadOccasion&, const NewsTimes&);

/// Decides whether requests wait for newer data before they are sent.
///
/// Load pattern: a router goes on after a stall with requests that arrived meanwhile. It would place and send them by
/// what it knew before, to targets that may have left for longer than the bound. The store or another router tells it
/// more within milliseconds; if neither does, the requests are sent nevertheless after NewsTimes::patience, as the
/// store may be unavailable.
/// @param stalledUntil end of this process's last stall. @param knownUntil time up to which the targets are known.
bool isRenewalAwaited(
    TimePoint now, std::optional<TimePoint> stalledUntil, std::optional<TimePoint> knownUntil, const NewsTimes&);

/// Schedules requests for data to other routers. At most one request per router is outstanding.
///
/// Load pattern: the store refuses this router while many others are paused or partitioned, as after host failures that
/// have not been detected yet. Waiting for one response at a time, each until its timeout, would take seconds to find
/// an up-to-date router; meanwhile revoked keys would be accepted and removed targets used. Requests therefore overlap:
/// while a response is outstanding the next router is asked, at a fixed interval that bounds their number. This permits
/// a long timeout for each, which a router with a saturated link needs, where each packet is queued for some hundred
/// ms.
class PeerRequests {
public:
    enum class Whom { Nobody, Source, Anyone };

    /// @param startedAt start of this router process.
    PeerRequests(const NewsTimes&, TimePoint startedAt);

    /// @param knownUntil see witnessedUntil(). @param source a router that reported newer data, if any.
    /// @return whom to ask now. Anyone when the local data is old: a router whose own read is refused or hangs, and
    /// whose sources are lost, would otherwise receive nothing new until they return.
    Whom due(TimePoint now, std::optional<TimePoint> knownUntil, const std::optional<VmId>& source) const;

    /// @return when to ask any router if nothing is received until then; may be in the past.
    TimePoint anyoneDue(TimePoint now, std::optional<TimePoint> knownUntil) const;

    /// @return whether it can be asked: no request to it is outstanding, and none failed recently.
    bool canAsk(const VmId&, TimePoint now) const;

    void sent(const VmId&, TimePoint now, Whom);

    /// @param isAnswered false if the response was missing, late or unreadable.
    void ended(const VmId&, TimePoint now, bool isAnswered);

    /// No router was available to ask; retried after the usual interval.
    void nobodyThere(TimePoint now) { m_lastSent = now; }

    std::size_t pending() const { return m_pending.size(); }

private:
    NewsTimes m_times;
    TimePoint m_startedAt;
    std::map<VmId, Whom> m_pending;
    std::map<VmId, TimePoint> m_failedAt;
    std::optional<TimePoint> m_lastSent;
    std::optional<TimePoint> m_lastAnswered; ///< Last response to a request that was sent without a known source.
};

} // namespace sagechute::news
