#pragma once

/// @file
/// What the platform's store says, as a router knows it: the port to read it, the list of targets, until when that is
/// all there is, and when a router has to read for itself. Decision logic without sockets, threads or clock.
///
/// The promise: what the store has acknowledged is in force in a router within a bound, whoever else fails. A router
/// therefore never believes that another one "reads the store"; it believes a time. Every router keeps until when it
/// knows everything (Knowledge), tells it to the others as an age with each heartbeat, and takes an age for its own
/// only when it knows at least as much. An age grows by itself when nobody renews it. One that has grown to half of
/// the bound makes a router read the store on its own, whatever it hears.

#include <sagechute/Dispatch.h>

namespace sagechute::news {

// ---- The port to the store

/// The newest configuration in the store.
struct ConfigRecord {
    std::uint64_t version = 0;
    LogOffset offset = 0;
    std::string document; ///< As stored; routers hand it to each other unread.
};

/// An entry that names no target to use, or a configuration that can't be put in force.
struct UnreadableRecord {
    std::string key;
    std::string reason;
};

/// What a read of the configuration's topic brought.
struct ConfigNews {
    std::optional<ConfigRecord> newest; ///< The newest that can be read; absent: nothing new.
    LogOffset next = 0; ///< Where to read on.
    std::vector<UnreadableRecord> unreadable;
};

/// A change of one entry in the list of targets.
struct TargetChange {
    TargetId id;
    std::optional<dispatch::Target> target; ///< Absent: the entry has gone.
    LogOffset offset = 0; ///< Of the record that says so. Of two for one target the later counts.
};

struct TargetNews {
    std::vector<TargetChange> changes; ///< In the order in which they happened; unreadable entries as gone.
    LogOffset next = 0; ///< Where to read on.
    std::vector<UnreadableRecord> unreadable;
};

/// How a router that nobody else knows can be found.
struct RouterAnnouncement {
    VmId vm;
    std::string gossipAddress;
};

/// What routers wrote of requests that crash targets.
struct CrashNews {
    std::vector<quarantine::CrashRecord> records;
    std::vector<quarantine::RequestKey> quarantined; ///< Named as such; their records are among the above.
    std::vector<quarantine::RequestKey> released; ///< Named as such no longer.
    LogOffset next = 0; ///< Where to read on.
};

/// The platform's store. All calls wait for the answer, for a bounded time, and may be made from any thread. Errors are
/// LogUnavailable, or RetentionExceeded when the records asked for are no longer kept: then read all again.
class FleetStore {
public:
    virtual ~FleetStore() = default;

    virtual absl::StatusOr<ConfigNews> readConfig() = 0;

    /// @param wait how long the store may keep the call when there is nothing new.
    virtual absl::StatusOr<ConfigNews> followConfig(LogOffset from, std::chrono::milliseconds wait) = 0;

    /// @return the configuration of a document, or BadRequest.
    virtual absl::StatusOr<dispatch::FleetConfig> decodeConfig(const std::string& document) const = 0;

    /// @return all entries, each as a change that sets it.
    virtual absl::StatusOr<TargetNews> readTargets() = 0;

    /// @param wait see followConfig().
    virtual absl::StatusOr<TargetNews> followTargets(LogOffset from, std::chrono::milliseconds wait) = 0;

    virtual absl::Status announce(const RouterAnnouncement&) = 0;
    virtual absl::StatusOr<std::vector<RouterAnnouncement>> announcements() = 0;

    /// @return all that is kept: quarantined requests, and some of the other records.
    virtual absl::StatusOr<CrashNews> readCrashes() = 0;

    /// @param wait see followConfig().
    virtual absl::StatusOr<CrashNews> followCrashes(LogOffset from, std::chrono::milliseconds wait) = 0;

    /// Writes records, for those that follow; only some are kept for good. What is cleared is quarantined no longer.
    virtual absl::Status writeCrashes(const std::vector<quarantine::CrashRecord>&) = 0;

    /// Writes requests to be kept until they are cleared.
    virtual absl::Status writeQuarantined(const std::vector<quarantine::CrashCase>&) = 0;

    /// @return calls made so far, refused ones included.
    virtual std::uint64_t calls() const = 0;
};

// ---- The list of targets

/// A time in which the store answered somebody, again and again, without a break; see NewsTimes::storeBreak.
struct ReadSpan {
    TimePoint from;
    TimePoint until;
};

/// The targets as this router believes in them.
///
/// Entries lapse while the store is away, though their targets live; these write themselves again within two seconds of
/// its return. An entry that goes missing in that time is therefore kept until it has passed. That the store was away
/// is not concluded from this router having heard nothing: others may have read it all the while, and an entry that is
/// missing has then gone. Routers tell each other for how long they know the store to have been read. A life of a
/// target that was ever seen draining stays so, whatever an older record or another router says; the target's next life
/// is not bound by that, and once it is known nothing that is told of an earlier one counts.
///
/// Routers tell each other changes with the offsets of their records, not lists: which of two lists is newer can't be
/// seen where one router keeps what another has dropped, and each decides by itself what it keeps.
class TargetRoster {
public:
    /// @param storeBreak see NewsTimes.
    explicit TargetRoster(Duration storeBreak = awayTime)
        : m_storeBreak(storeBreak)
    {
    }

    /// All that the store acknowledged in and before this time has been applied, up to the record before @p next. A
    /// break before it means that nobody is known to have reached the store, and that entries may have lapsed.
    void known(LogOffset next, ReadSpan);
    void known(LogOffset next, TimePoint at) { known(next, ReadSpan { at, at }); }

    /// @return the first record that is not applied yet; absent before the first known().
    std::optional<LogOffset> next() const { return m_next; }

    /// @return see known(); absent before its first call.
    std::optional<TimePoint> knownUntil() const { return m_read ? std::optional(m_read->until) : std::nullopt; }

    /// @return since when the store is known to have been read without a break; absent before the first known().
    std::optional<TimePoint> readSince() const { return m_read ? std::optional(m_read->from) : std::nullopt; }

    void apply(TimePoint now, const TargetChange&);

    /// Applies changes that one read brought. Of each target only the last counts, and that it ever was draining: a
    /// read that catches up on a long absence brings targets that came and have gone since, and those must not be kept
    /// as if their entries had just lapsed.
    void applyAll(TimePoint now, const std::vector<TargetChange>&);

    /// A life of a target said itself that it leaves; no record has to say so.
    /// @return whether that was not known.
    bool saidDraining(TimePoint now, const dispatch::TargetIncarnation&);

    /// Replaces everything by a whole list. @param end all entries that are missing had gone before this record.
    void replace(TimePoint now, const std::vector<TargetChange>& all, LogOffset end);

    /// @return the last change of each target whose record is @p from or later; absent where some of them may have been
    ///         forgotten: then all() has to be told.
    std::optional<std::vector<TargetChange>> changesSince(LogOffset from) const;

    /// @return the present entries, each as a change that sets it.
    std::vector<TargetChange> all() const;

    /// @return whether something expired since the last call.
    bool expire(TimePoint now);

    std::vector<dispatch::Target> targets() const;

    /// @return until when missing entries are kept, as they may have lapsed; absent while the store was never away.
    std::optional<TimePoint> keepsMissingUntil() const { return m_graceUntil; }

    /// @return a number that differs when the list does.
    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const { return m_entries.size(); }

    /// How long after the store's return an entry that lapsed is back.
    static constexpr Duration returnTime = std::chrono::milliseconds(2000);

    /// How long a missing entry is kept: as above, and until the news of its return has come.
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200);

    /// With nothing known for so long entries may have lapsed: targets write theirs each 1.2 s, and three that fail in
    /// a row remove it.
    static constexpr Duration awayTime = std::chrono::milliseconds(2000);

private:
    struct Entry {
        dispatch::Target target;
        LogOffset offset = 0;
        bool isMissing = false; ///< It may have lapsed, and is kept for a while.
    };

    /// A time of which nothing is known: maybe the store answered nobody.
    struct Break {
        TimePoint before; ///< The end of what is known.
        TimePoint after;
    };

    /// What is remembered of a target's newest life, also when its entry has gone.
    struct LifeMemory {
        std::int64_t startedAtMs = 0;
        bool isLeaving = false;
        TimePoint at;
        LogOffset offset = 0; ///< Of the last record that was applied.
        bool isGone = false; ///< That record removed the entry.
    };

    void set(TimePoint now, const TargetChange&);
    void remove(TimePoint now, const TargetId&, LogOffset);
    void forgetOld(TimePoint now);

    /// Takes what another knows out of the breaks: in that time the store was read, by whomever.
    void closeBreaks(ReadSpan told);

    /// Finds until when missing entries are kept: until those that lapsed in a break had time to come back, which they
    /// can't in a further break, however short.
    void updateGrace();

    /// @return whether what is missing had its time to come back. A target may have written itself again without this
    ///         router having heard of it yet; what is not known of the time in which it had to is no sign of its end.
    bool isOver(TimePoint now) const;

    /// Notes the life of a target that was told of, and marks it as leaving if it ever was.
    /// @return false for an earlier life than the newest that is known.
    bool noteLife(TimePoint now, dispatch::Target&);

    /// @return whether a later record of that target was applied already.
    bool isOutdated(const TargetChange&) const;

    /// @return whether a later list was without that target. An answer to an earlier question may still have it, and
    ///         the record that it has left would never be read again.
    bool isLeftOut(const TargetChange&) const;

    Duration m_storeBreak;
    std::map<TargetId, Entry> m_entries;
    std::map<TargetId, LifeMemory> m_lives;
    std::optional<LogOffset> m_next;
    LogOffset m_completeFrom = 0; ///< All changes from here on are remembered.
    std::optional<ReadSpan> m_read;
    std::vector<Break> m_breaks; ///< The oldest first; those for which nothing is kept any more are forgotten.
    std::optional<TimePoint> m_graceUntil;
    std::uint64_t m_revision = 0;
};

// ---- Reading the store

/// Where a router stands in reading one topic of the store, and how the reads went.
class ReadCursor {
public:
    /// @return where to read on; absent: everything has to be read.
    std::optional<LogOffset> next() const { return m_next; }

    /// @return how long the store had been away before this read, if it was.
    std::optional<Duration> readDone(TimePoint now, LogOffset next);

    /// @return whether this is the first failure in a row.
    bool readFailed(TimePoint now);

    /// Others have told what the failed reads would have: the next try that fails is the first again. Otherwise a
    /// router that was turned away for long would wait for long when those others are lost.
    void renewed() { m_failures = 0; }

    /// The records at the cursor are no longer kept.
    void historyLost();

    /// Another router has told of all that comes before @p next. It need not be read again: records of long ago would
    /// bring back targets that have gone since.
    void toldByPeer(LogOffset next);

    /// @return failures in a row since the last answer, or since others told what was missed.
    unsigned failures() const { return m_failures; }

    /// @return how long a router that reads for others waits before the next try: longer with each failure in a row.
    Duration retryDelay() const;

private:
    std::optional<LogOffset> m_next;
    std::optional<LogOffset> m_lost; ///< Where the records were no longer kept.
    std::optional<TimePoint> m_failingSince;
    unsigned m_failures = 0;
};

// ---- How new it is

/// What a router knows, and until when that is all there is. The moments are of its own clock, one that goes on while
/// the VM is suspended: a router that was would take what it knew before for new.
struct Knowledge {
    std::uint64_t configVersion = 0;
    std::optional<TimePoint> configUntil; ///< Every configuration that was acknowledged before is known.
    LogOffset targetsNext = 0; ///< Records of targets before this one are known.
    std::optional<TimePoint> targetsUntil; ///< As above, of the targets.
    std::optional<TimePoint> targetsFrom; ///< The store was read without a break since then; see ReadSpan.
};

/// The same as told to other routers, whose clocks differ: with ages in place of moments.
struct ToldKnowledge {
    std::uint64_t configVersion = 0;
    std::optional<Duration> configAge; ///< Absent: it knows none.
    LogOffset targetsNext = 0;
    std::optional<Duration> targetsAge;
    std::optional<Duration> readAge; ///< Since its last answered read of the store of its own, of both topics.
    std::optional<Duration> targetsFromAge; ///< For so long the store was read without a break.
};

/// How much longer than usual a message took, by the sender's clock and the receiver's.
///
/// What goes wrong without it: a router that stood still for seconds finds the heartbeats of those seconds waiting in
/// its socket. By their ages it would take itself for up to date, and tell others so. The clocks' difference isn't
/// known, but the least that was seen of "received minus sent" has it with the shortest way in it; what is above that
/// is delay.
class TransitMeter {
public:
    /// @param sent by the sender's clock. @param received by this router's. Both go on while a VM is suspended.
    /// @return how long it took, or unknownDelay for the first messages: they all may have waited.
    Duration delay(TimePoint sent, TimePoint received);

    /// So long that no age to which it is added says anything.
    static constexpr Duration unknownDelay = std::chrono::hours(1);

private:
    std::optional<Duration> m_least;
    TimePoint m_firstAt {};
    TimePoint m_at {};
};

/// @return the same, told by a message that took so long, and the shortest way, which no meter sees. Without the latter
///         two routers that tell each other their ages would grow younger with each message. For how long the store was
///         read without a break stays as told: it may be understated, but not overstated.
ToldKnowledge delayed(const ToldKnowledge&, Duration delay);

/// What another router has that is missing here.
struct Missing {
    bool config = false;
    bool targets = false;
    bool any() const { return config || targets; }
};

/// @param readAt the older of its last answered reads of both topics.
ToldKnowledge tell(const Knowledge&, std::optional<TimePoint> readAt, TimePoint now);

/// Takes over until when another router knows all there is, for each topic of which as much is known here.
/// @return the topics of which it knows more; they have to be fetched from it first.
Missing learn(Knowledge&, const ToldKnowledge&, TimePoint now);

/// @param asOf when the ages were true. @param heard when they were heard.
/// @return in which time another router knows the store to have been read; absent if it knows no targets.
std::optional<ReadSpan> toldRead(const ToldKnowledge&, TimePoint asOf, TimePoint heard);

/// @return the older of the two topics' moments; absent while one is not known at all.
std::optional<TimePoint> knownUntil(const Knowledge&);

/// @param sent when the read was sent. @param answered when its answer came.
/// @param wait how long the store was allowed to keep it. @param isEmpty nothing new came.
/// @return until when all is known by it. A call that the store kept and answered empty says that there was nothing
///         new for all the time that it was kept.
TimePoint knownByRead(TimePoint sent, TimePoint answered, Duration wait, bool isEmpty);

// ---- Who reads when

/// The times that follow from how soon news must be in force: as parts of that bound, they hold wherever it is two
/// seconds or four.
struct NewsTimes {
    Duration bound {}; ///< From the store's acknowledgement until it is in force here.
    Duration wait {}; ///< How long the store may keep a reader's call: the longest age of what a reader knows.

    /// A reader that has not read for so long is not counted on any more, and the next in order reads. Above the wait,
    /// and a heartbeat or two that were lost.
    Duration readerLost {};

    /// At this age of what it knows a router reads, whatever it hears: enough is left for the read, a retry, and for
    /// requests that are on their way to a target.
    Duration ownRead {};

    /// Spread of ownRead over the routers, so that one that reads can tell others before they do.
    Duration spread {};

    /// At this age it asks any other router, too: by then its own read has been answered, if it is at all.
    Duration ask {};

    /// With nothing known for so long the store may be away: a router that it answers has read by then.
    Duration storeBreak {};

    /// First and longest pause between tries of a router that the store does not answer, and that does not read for
    /// others.
    Duration firstRetry {};
    Duration mostRetry {};

    /// While the answer of one router is due, the next is asked after so long.
    Duration askNext {};

    /// Shortest and longest pause after an answer of a router that was asked for want of a source.
    Duration leastAskPause {};
    Duration mostAskPause {};

    /// How long another router is waited for until it is connected, and again for its answer.
    Duration patience {};

    /// A start: routers that are nobody's seed hear of the others first, and then need not read at all.
    Duration startWait {};

    /// @param isFirstStart the whole fleet starts for the first time: callers come only later.
    static NewsTimes make(Duration bound, bool isFirstStart);
};

/// A router that may read the store for others, as heard of.
struct ReaderPeer {
    VmId vm;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    std::optional<Duration> readAge; ///< Now, that is, with the time since it was heard.
};

/// Where a router stands among those that read for others.
struct ReadStanding {
    bool isReader = false; ///< It reads all the time: nobody before it does.
    unsigned rank = 0; ///< Routers that come before it.
};

/// Every call to the store is paid for, and its rate is shared by all. One router reads for all, the one with the most
/// cores and among those the first by name; those after it look whether it does. A store that turns some routers away
/// serves others, so that what counts is when each has read last, not whether it is there.
/// @param others heard of, that may read for this one.
ReadStanding standing(
    const VmId& self, std::uint32_t capacity, const std::vector<ReaderPeer>& others, const NewsTimes&);

/// When this router reads a topic.
struct ReadOccasion {
    TimePoint startedAt; ///< Of this router's life.
    bool isSeed = false; ///< Others look for it at their start.
    std::optional<TimePoint> knownUntil; ///< Of the topic.
    ReadStanding standing;
    double place = 0; ///< In [0, 1), differs from router to router.
    std::optional<TimePoint> failedAt; ///< The last read failed, and was sent then: one that hung has waited enough.
    Duration retryDelay {}; ///< Of a reader; see ReadCursor.
    unsigned failures = 0; ///< In a row.
};

/// @return when to read; it may have passed.
TimePoint readDue(const ReadOccasion&, const NewsTimes&);

/// Requests to other routers for what they know: whom to ask, and when. At most once a router at a time.
///
/// Load pattern: the store turns this router away, and many others stand still or are cut off, as after a fault of
/// their hosts; nobody has noticed yet. A router that waits for one answer at a time, each until a timeout, finds one
/// that knows only after seconds; callers then meet revoked keys that serve and targets that have left. So nobody is
/// waited for alone: while an answer is due the next router is asked, at a fixed pace that keeps the number bounded.
/// This leaves time for patience with each, which a router needs whose own link is full, where each packet waits for
/// some hundred ms.
class PeerRequests {
public:
    enum class Whom { Nobody, Source, Anyone };

    /// @param startedAt of this router's life.
    PeerRequests(const NewsTimes&, TimePoint startedAt);

    /// @param knownUntil of the older topic. @param source a router that was heard to know more, if one was.
    /// @return who is to be asked now: anyone when what is known has grown old, as a router whose own read is refused,
    ///         or hangs, and whose sources are lost, would else know nothing new until they are back.
    Whom due(TimePoint now, std::optional<TimePoint> knownUntil, const std::optional<VmId>& source) const;

    /// @return when anyone is to be asked if nothing is heard until then; it may have passed.
    TimePoint anyoneDue(TimePoint now, std::optional<TimePoint> knownUntil) const;

    /// @return whether it can be asked: it isn't being asked, and did answer when it was asked last.
    bool canAsk(const VmId&, TimePoint now) const;

    void sent(const VmId&, TimePoint now, Whom);

    /// @param isAnswered false: it gave no answer in time, or none that can be read.
    void ended(const VmId&, TimePoint now, bool isAnswered);

    /// Nobody was there to be asked; looked for again after the usual pause.
    void nobodyThere(TimePoint now) { m_lastSent = now; }

    std::size_t pending() const { return m_pending.size(); }

private:
    NewsTimes m_times;
    TimePoint m_startedAt;
    std::map<VmId, Whom> m_pending;
    std::map<VmId, TimePoint> m_failedAt;
    std::optional<TimePoint> m_lastSent;
    std::optional<TimePoint> m_lastAnswered; ///< Of those that were asked for want of a source.
};

} // namespace sagechute::news
