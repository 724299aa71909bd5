#pragma once

/// @file
/// Quarantine of requests, and of parts of prompts, that crash the targets that run them: which targets exited while
/// running which requests, as known to all routers together, and which requests are therefore no longer run. Decision
/// logic without sockets, threads or a clock.

#include <sagechute/Core.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sagechute::quarantine {

/// Identifies a request by its content, independently of the ID of the attempt that carries it.
using RequestKey = std::uint64_t;

/// The content that identifies a request. The views need to be valid during the call only.
struct RequestContent {
    CustomerId customer; ///< Empty on a public route.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query as sent.
    std::string_view body;
};

/// @return a digest of the content. A customer cannot construct a request that has the key of another customer's.
RequestKey requestKeyOf(const RequestContent&);

/// @return 16 hexadecimal digits, as used in logs.
std::string toHex(RequestKey);

/// @return the key that toHex() formatted, or nullopt.
std::optional<RequestKey> requestKeyFromHex(std::string_view);

/// Identifies a part of a prompt that several requests may share: the ID that requests state for it, whatever their
/// customer, service and model and the part's number of tokens.
using PartKey = std::uint64_t;

/// What a crash record is about: a RequestKey or a PartKey. Records of the two kinds are kept apart.
using SubjectKey = std::uint64_t;

/// Compact identifier of one incarnation of a target; see dispatch::keyOf().
using TargetKey = std::uint32_t;

/// States that a target exited while it ran a request, which may be the cause, or a part of its prompt may be. None of
/// the flags is ever reset to false, so records can be merged in any order.
struct CrashRecord {
    SubjectKey subject = 0;
    TargetKey target = 0;
    bool isCleared = false; ///< The subject was run since without an exit, or an operator released it.
    bool isConfirmed = false; ///< A router has established that the subject, a part of prompts, is the cause.
    bool isRepeated = false; ///< The attempt was sent when an earlier exit under the subject was already known.

    auto operator<=>(const CrashRecord&) const = default;
};

/// A request is quarantined once this many targets have exited while running it and it has completed on none.
inline constexpr unsigned quarantineThreshold = 3;

/// A part of prompts can be quarantined once this many targets have exited under it and it has been run on none since.
inline constexpr unsigned partQuarantineThreshold = 5;

// How often a record is sent, since datagrams get lost: by the router that created it, and by a router that received
// it.
inline constexpr unsigned ownRecordTransmissions = 10;
inline constexpr unsigned forwardedRecordTransmissions = 4;

// ---- Detecting target exits

/// A target whose address is to be probed by opening a connection, without sending a request.
struct TargetCheck {
    TargetKey target = 0;
    std::string address; ///< "ADDRESS:PORT".
    TimePoint due;
};

enum class CheckResult {
    Accepted, ///< A process listens at the address.
    Refused, ///< The VM reports that no process listens there.
    NoAnswer,
};

/// How the exit of a target was detected.
enum class ExitEvidence {
    Refused, ///< Its connections broke, and a new connection is refused.
    Replaced, ///< Another incarnation has its address, and the target had not announced a shutdown.
    EntryGone, ///< Its entry was removed from the list, and the target had not announced a shutdown.
};

std::string_view toString(ExitEvidence);

/// A target that exited, with the requests that this router had in flight on it.
struct TargetExit {
    TargetKey target = 0;
    ExitEvidence evidence = ExitEvidence::Refused;
    std::set<RequestKey> requests;
    std::map<PartKey, TimePoint> parts; ///< Suspected parts of their prompts, each with when it was last sent there.
};

/// Distinguishes target exits from attempts that broke for other reasons.
///
/// Connections are reset, links fail and responses are corrupted while the target keeps running; none of this counts
/// against the request. A target that exited breaks all of its attempts and refuses connections until another
/// incarnation takes over its address.
class TargetExitDetector {
public:
    void sent(TimePoint now, TargetKey, const std::string& address);

    /// An attempt ended without breaking. @param sentAt the time that was passed to sent().
    void ended(TimePoint sentAt, TargetKey);

    /// An attempt broke after it may have run. @param isSilent whether it timed out: the target may go on later.
    /// @param suspectParts see PartGuard::ended().
    void broke(TimePoint now, TimePoint sentAt, TargetKey, RequestKey, bool isSilent,
        const std::vector<PartKey>& suspectParts = {});

    /// Any attempt received bytes from the target. Attempts that timed out there are no longer undecided.
    void heard(TimePoint now, TargetKey);

    /// @return probes to make now; each is returned once.
    std::vector<TargetCheck> checksDue(TimePoint now);
    void checked(TimePoint now, const TargetCheck&, CheckResult);

    // Changes in the list of targets. Call them only for a target that had not announced a shutdown.
    void entryGone(TimePoint now, TargetKey);
    void replaced(TimePoint now, TargetKey);

    /// @return how many targets may have exited while running the request, without confirmation or a sign of life so
    /// far.
    unsigned undecided(RequestKey) const;

    /// @return exits detected since the last call.
    std::vector<TargetExit> takeExits();

private:
    struct BrokenAttempt {
        RequestKey request = 0;
        TimePoint sentAt;
        TimePoint at;
        bool isSilent = false;
        bool isTargetKnownAlive = false; ///< The target accepted a connection or, if silent, was heard afterwards.
        std::vector<PartKey> suspectParts;
    };

    struct Watch {
        std::string address;
        std::multiset<TimePoint> inFlight; ///< Send times of the attempts.
        std::vector<BrokenAttempt> broken;
        std::optional<TimePoint> checkStartedAt; ///< Set while a probe is in progress.
        TimePoint nextCheck {};
        std::optional<TimePoint> exitedAt;
    };

    void confirmExit(TimePoint now, TargetKey, Watch&, ExitEvidence, bool includesKnownAlive);
    static void expire(TimePoint now, Watch&);

    std::map<TargetKey, Watch> m_watches;
    std::vector<TargetExit> m_exits;
};

// ---- State shared by all routers

/// A request or part and the targets that exited while running it.
struct CrashCase {
    SubjectKey subject = 0;
    std::vector<TargetKey> targets; ///< Without cleared ones, in ascending order.
    unsigned confirmed = 0; ///< How many of these exits were established to be caused by the subject.
    unsigned repeated = 0; ///< How many of these exits came under an attempt that was sent when another was known.
    TimePoint firstLearnedAt {}; ///< When this router learned of the first of these exits.

    /// Of a request.
    bool isQuarantined() const { return targets.size() >= quarantineThreshold; }

    /// Of a part. Exits that come after the verdict don't add to it.
    bool isPartQuarantined() const { return confirmed >= partQuarantineThreshold; }
};

/// The crash records by subject. Merging is commutative and idempotent, so routers that receive the same records in any
/// order and any number of times converge to the same state.
class CrashRecordSet {
public:
    /// @param transmissions how often to send the record to other routers if it is new here.
    void merge(TimePoint now, const CrashRecord&, unsigned transmissions);

    /// @return the number of targets that exited while running the subject and were not cleared.
    unsigned exitCount(SubjectKey) const;

    /// @return the subject with its targets that were not cleared.
    CrashCase find(SubjectKey) const;

    /// Notes that the subject was received again. The quarantined ones evicted first are those not received for
    /// longest.
    void markRequested(TimePoint now, SubjectKey);

    /// @param learnedUntil exits that this router learned of later are not cleared.
    /// @return the records that this call cleared.
    std::vector<CrashRecord> clear(SubjectKey, TimePoint learnedUntil = TimePoint::max());

    /// Sets CrashRecord::isConfirmed of all records of the subject that were not cleared.
    /// @return these records.
    std::vector<CrashRecord> confirm(SubjectKey);

    /// @return the records of the subject that were not cleared.
    std::vector<CrashRecord> unclearedRecords(SubjectKey) const;

    /// @return the records that release the subject wherever they are merged: all of its records, as cleared. Empty if
    /// the subject is unknown. Already cleared ones are included, so that an operator can repeat a release.
    std::vector<CrashRecord> releaseRecords(SubjectKey) const;

    /// @return the records of the subject that were cleared.
    std::vector<CrashRecord> clearedRecords(SubjectKey) const;

    /// @return the same records in the same order, each with all that is known of it by now.
    std::vector<CrashRecord> newest(std::vector<CrashRecord>) const;

    /// @return the records to send next: new ones, and in rotation all that a router which has just started needs.
    std::vector<CrashRecord> recordsToSend();

    /// @return all subjects under which targets exited, in descending order of exits.
    std::vector<CrashCase> cases() const;

private:
    using RecordId = std::pair<SubjectKey, TargetKey>;

    struct Exit {
        CrashRecord record;
        TimePoint learnedAt;
    };

    struct Entry {
        std::map<TargetKey, Exit> exits;
        unsigned exitCount = 0;
        TimePoint lastRequestedAt;
    };

    /// @return the records of the subject that are cleared, or those that are not.
    std::vector<CrashRecord> recordsOf(SubjectKey, bool isCleared) const;

    void evictIfFull();
    void dropClearedTargets(Entry&, SubjectKey);

    std::map<SubjectKey, Entry> m_entries;
    std::map<RecordId, unsigned> m_pendingSends; ///< Maps to the number of transmissions left.
    RecordId m_lastPendingSent {};
    RecordId m_lastRepeated {};
};

// ---- The local router

/// Whether a request may be run.
enum class Standing {
    Clear,
    Suspect, ///< It may be sent once: neither again after a break nor to a second target beside the first.
    Undecided, ///< Whether it is quarantined will be known shortly.
    Quarantined,
};

/// Changes among requests or among parts, for logs and for the store.
struct SubjectChanges {
    std::vector<CrashCase> quarantined;
    std::vector<SubjectKey> released;
    std::vector<CrashRecord> ownRecords; ///< Created by this router.
};

/// What has changed, for logs and for the store.
struct QuarantineUpdate : SubjectChanges {
    std::vector<TargetExit> targetExits; ///< Detected by this router.
    SubjectChanges parts;
};

/// Identifies an attempt of this router.
using TrialId = std::uint64_t;

/// Finds the part of prompts that crashes the targets that begin to answer it, among sound parts that are in the same
/// prompts, or in those of other requests on the same targets.
///
/// Failure pattern: requests that have nothing but one part of their prompts in common crash a target each. All parts
/// of all requests that a target had not begun to answer are suspects of its exit. An attempt that a target goes on to
/// answer clears its parts of the exits that were known when it was sent. A part is quarantined if the targets exit
/// under it again and again and it is not cleared while attempts without it survive: if nothing survives, as when a
/// rack is lost, no part is to blame.
class PartGuard {
public:
    /// @return the standing of a request by the parts of its prompt that other requests may share.
    Standing standing(TimePoint now, const std::vector<PartKey>& parts);

    /// An attempt with a prompt is being sent.
    void sent(TimePoint now, TrialId, const std::vector<PartKey>& parts);

    /// The attempt's target has begun to answer.
    void answering(TimePoint now, TrialId);

    /// @param isAnswered whether the attempt ended with a complete answer.
    /// @return the parts that are suspects if the target has exited: none if it went on for long enough after it had
    /// begun to answer.
    std::vector<PartKey> ended(TimePoint now, TrialId, bool isAnswered);

    /// A target of this router exited. @param parts see TargetExit.
    void exited(TimePoint now, TargetKey, const std::map<PartKey, TimePoint>& parts);

    /// Call it every few tens of milliseconds.
    void tick(TimePoint now);

    /// @return the records to send to the other routers with the next report.
    std::vector<CrashRecord> recordsToSend() { return m_records.recordsToSend(); }

    /// Merges records from another router or from the store. @param records any range of CrashRecord.
    template <typename Records> void learn(TimePoint now, const Records& records)
    {
        for (const CrashRecord& it : records)
            merge(now, it, forwardedRecordTransmissions);
    }

    /// @return the records that release a part, for an operator; see CrashRecordSet::releaseRecords().
    std::vector<CrashRecord> releaseRecords(PartKey part) const { return m_records.releaseRecords(part); }

    /// See CrashGuard.
    std::vector<CrashRecord> clearedRecords(const std::vector<PartKey>& quarantined) const;
    std::vector<CrashRecord> newest(std::vector<CrashRecord> records) const
    {
        return m_records.newest(std::move(records));
    }

    /// Applies the records of a release, which are in the store. @param records see releaseRecords().
    void release(TimePoint now, const std::vector<CrashRecord>& records);

    /// @return all parts under which targets exited, in descending order of exits.
    std::vector<CrashCase> cases() const { return m_records.cases(); }

    /// @return the changes since the last call.
    SubjectChanges takeChanges() { return std::exchange(m_changes, {}); }

private:
    struct Trial {
        std::vector<PartKey> parts;
        TimePoint sentAt;
        std::optional<TimePoint> answeringSince;
        bool hasSurvived = false;
    };

    /// Survivals of attempts without the part, sent since the first exit under it that was not cleared.
    using SurvivalsOfOthers = unsigned;

    void merge(TimePoint now, const CrashRecord&, unsigned transmissions);
    void clear(PartKey, TimePoint learnedUntil);
    void recordSurvival(Trial&);

    /// Adds the part to the suspects, or removes it, by the exits under it that were not cleared.
    /// @param hasClearing whether exits under it have just been cleared.
    void updateSuspect(PartKey, bool hasClearing);
    bool isToBeQuarantined(TimePoint now, const CrashCase&, SurvivalsOfOthers) const;

    /// @return whether another quarantined part, which is not in the prompt, explains all exits under this one.
    bool isExplainedByOther(const CrashCase&, const std::vector<PartKey>& prompt) const;
    bool isInFlight(PartKey) const;

    CrashRecordSet m_records;
    std::map<PartKey, SurvivalsOfOthers> m_suspects;
    std::map<TrialId, Trial> m_trials;
    SubjectChanges m_changes;
};

/// Keeps requests that crash targets away from them.
///
/// Failure pattern: a request crashes the process that starts to run it. Its caller retries it, each time with another
/// ID and at any router, and each retry takes down a target with everything that it was running. Each router sees only
/// some of the crashes, and at the time of a crash the innocent requests on the same target look the same: they are
/// told apart because they complete elsewhere.
class CrashGuard {
public:
    /// Must be checked before every attempt, since a request can be quarantined while it waits for its next one.
    Standing standing(TimePoint now, RequestKey);

    void sent(TimePoint now, TargetKey target, const std::string& address) { m_detector.sent(now, target, address); }

    /// An attempt completed: the target survived the request.
    void completed(TimePoint sentAt, TargetKey, RequestKey);
    void broke(TimePoint now, TimePoint sentAt, TargetKey, RequestKey, bool isSilent,
        const std::vector<PartKey>& suspectParts = {});

    /// See TargetExitDetector.
    void heard(TimePoint now, TargetKey target) { m_detector.heard(now, target); }

    /// An attempt ended in a way that says nothing about the request.
    void ended(TimePoint sentAt, TargetKey target) { m_detector.ended(sentAt, target); }

    // See TargetExitDetector.
    std::vector<TargetCheck> checksDue(TimePoint now) { return m_detector.checksDue(now); }
    void checked(TimePoint now, const TargetCheck&, CheckResult);
    void entryGone(TimePoint now, TargetKey);
    void replaced(TimePoint now, TargetKey);

    /// @return the records to send to the other routers with the next report.
    std::vector<CrashRecord> recordsToSend() { return m_records.recordsToSend(); }

    /// Merges records from another router or from the store. @param records any range of CrashRecord.
    template <typename Records> void learn(TimePoint now, const Records& records)
    {
        for (const CrashRecord& it : records)
            merge(now, it, forwardedRecordTransmissions);
    }

    /// @return the records that release a request from quarantine, or clear its exits before it is quarantined, for an
    /// operator; see CrashRecordSet::releaseRecords().
    std::vector<CrashRecord> releaseRecords(RequestKey request) const { return m_records.releaseRecords(request); }

    /// @param quarantined requests that the store lists as quarantined, with records that have been learned.
    /// @return the cleared records of those that are not quarantined here.
    std::vector<CrashRecord> clearedRecords(const std::vector<RequestKey>& quarantined) const;

    /// @return see CrashRecordSet::newest().
    std::vector<CrashRecord> newest(std::vector<CrashRecord> records) const
    {
        return m_records.newest(std::move(records));
    }

    /// Applies the records of a release, which are in the store. Applying them earlier would lose the release if this
    /// router ends before they are written. @param records see releaseRecords().
    void release(TimePoint now, const std::vector<CrashRecord>& records);

    std::vector<CrashCase> cases() const { return m_records.cases(); }

    /// @return the tracker of parts of prompts; exits of targets are reported to it by this class.
    PartGuard& parts() { return m_parts; }

    /// @return the changes since the last call.
    QuarantineUpdate takeUpdate();

private:
    void takeExits(TimePoint now);
    void merge(TimePoint now, const CrashRecord&, unsigned transmissions);
    void clear(RequestKey);

    TargetExitDetector m_detector;
    CrashRecordSet m_records;
    PartGuard m_parts;
    QuarantineUpdate m_update;
};

} // namespace sagechute::quarantine
