#pragma once

/// @file
/// Requests that crash the targets that run them: which targets ended while running what, as all routers know it
/// together, and which requests are therefore run no more. Decision logic without sockets, threads or clock.

#include <sagechute/Core.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::quarantine {

/// Names a request by what it asks, whatever the identity of the attempt that carries it.
using RequestKey = std::uint64_t;

/// What a request asks. Its views are read during the call only.
struct RequestContent {
    CustomerId customer; ///< Empty on a public route.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query as sent.
    std::string_view body;
};

/// @return a digest of the content. No customer can make a request whose key is that of another's.
RequestKey requestKeyOf(const RequestContent&);

/// @return 16 hexadecimal digits, as in logs.
std::string toHex(RequestKey);

/// @return the key that toHex() wrote, or nullopt.
std::optional<RequestKey> requestKeyFromHex(std::string_view);

/// One life of a target in few bytes; see dispatch::keyOf().
using TargetKey = std::uint32_t;

/// A target ended while it ran a request, which may be the cause.
struct CrashRecord {
    RequestKey request = 0;
    TargetKey target = 0;
    bool isCleared = false; ///< The request has run to its end since, or an operator released it. Never unset.

    auto operator<=>(const CrashRecord&) const = default;
};

/// A request is quarantined when so many targets have ended under it and it has completed on none.
inline constexpr unsigned quarantineEnds = 3;

// How often a record is told, as datagrams are lost: by the router that established it, and by one that was told.
inline constexpr unsigned ownTellings = 10;
inline constexpr unsigned passedOnTellings = 4;

// ---- Which targets have ended

/// A target whose address is to be tried with a connection, without a request.
struct TargetCheck {
    TargetKey target = 0;
    std::string address; ///< "ADDRESS:PORT".
    TimePoint due;
};

enum class CheckResult {
    Accepted, ///< Something listens there.
    Refused, ///< The VM answers that nothing does.
    NoAnswer,
};

/// By what the end of a target was recognised.
enum class EndEvidence {
    Refused, ///< Its connections broke, and a new one is refused.
    Replaced, ///< Another life has its address, and it never said that it would leave.
    EntryGone, ///< Its entry has gone, and it never said that it would leave.
};

std::string_view toString(EndEvidence);

/// A target that ended, with the requests that this router had on it.
struct TargetEnd {
    TargetKey target = 0;
    EndEvidence evidence = EndEvidence::Refused;
    std::set<RequestKey> requests;
};

/// Tells the end of a target from attempts that broke for other reasons.
///
/// Connections are reset, links are cut and answers are spoiled while the target goes on; none of that says anything
/// against the request. A target that ended breaks all its attempts and refuses connections, until another life takes
/// its address.
class EndDetector {
public:
    void sent(TimePoint now, TargetKey, const std::string& address);

    /// An attempt ended otherwise than broken. @param sentAt what sent() was told.
    void ended(TimePoint sentAt, TargetKey);

    /// An attempt broke after it may have run. @param isSilent by a time limit: that alone is no reason for a check.
    void broke(TimePoint now, TimePoint sentAt, TargetKey, RequestKey, bool isSilent);

    /// @return checks to be made now, each once.
    std::vector<TargetCheck> checksDue(TimePoint now);
    void checked(TimePoint now, const TargetCheck&, CheckResult);

    // From the list of targets; for one that did not say that it leaves.
    void entryGone(TimePoint now, TargetKey);
    void replaced(TimePoint now, TargetKey);

    /// @return targets that may have ended under the request, but are not known to.
    unsigned undecided(RequestKey) const;

    /// @return ends found since the last call.
    std::vector<TargetEnd> takeEnds();

private:
    struct BrokenAttempt {
        RequestKey request = 0;
        TimePoint at;
        bool isSilent = false;
        bool isExplained = false; ///< The target took a connection after it.
    };

    struct Watch {
        std::string address;
        std::multiset<TimePoint> inFlight; ///< When they were sent.
        std::vector<BrokenAttempt> broken;
        std::optional<TimePoint> checkedAt; ///< A check is under way.
        TimePoint nextCheck {};
        std::optional<TimePoint> endedAt;
    };

    void confirm(TimePoint now, TargetKey, Watch&, EndEvidence, bool withExplained);
    static void expire(TimePoint now, Watch&);

    std::map<TargetKey, Watch> m_watches;
    std::vector<TargetEnd> m_ends;
};

// ---- What all routers know together

/// A request under which targets have ended.
struct CrashCase {
    RequestKey request = 0;
    std::vector<TargetKey> targets; ///< Without those that were cleared.

    bool isQuarantined() const { return targets.size() >= quarantineEnds; }
};

/// The ends of targets by request. Routers merge what they tell each other in any order and any number of times, and
/// come to the same.
class CrashLedger {
public:
    /// @param tellings how often to tell the others, if that was not known.
    void merge(TimePoint now, const CrashRecord&, unsigned tellings);

    /// @return targets that ended under the request and were not cleared.
    unsigned ends(RequestKey) const;

    /// @return the request with its targets that were not cleared.
    CrashCase find(RequestKey) const;

    /// The request is asked for: of quarantined requests those that nobody asks for are forgotten first.
    void asked(TimePoint now, RequestKey);

    /// @return what this has cleared.
    std::vector<CrashRecord> clear(RequestKey);

    /// @return what to tell the others next: what is new, and in turn all that a router which has just started must
    /// know.
    std::vector<CrashRecord> tell();

    /// @return all requests under which targets ended, those with the most ends first.
    std::vector<CrashCase> cases() const;

private:
    using RecordId = std::pair<RequestKey, TargetKey>;

    struct Entry {
        std::map<TargetKey, bool> targets; ///< To whether it was cleared.
        unsigned ends = 0;
        TimePoint lastAsked;
    };

    void makeRoom();
    void forgetCleared(Entry&, RequestKey);

    std::map<RequestKey, Entry> m_entries;
    std::map<RecordId, unsigned> m_fresh; ///< To how often it is still to be told.
    RecordId m_lastFresh {};
    RecordId m_lastTold {};
};

// ---- One router's part

/// How a request may be treated.
enum class Standing {
    Clear,
    Undecided, ///< Whether the last target that it needs for a quarantine has ended is not known yet.
    Quarantined,
};

/// What has become known, for logs and for the store.
struct CrashNews {
    std::vector<TargetEnd> ends; ///< Seen by this router.
    std::vector<CrashCase> quarantined;
    std::vector<RequestKey> released;
    std::vector<CrashRecord> own; ///< Established by this router.
};

/// Keeps requests that crash targets away from them.
///
/// Failure pattern: a request ends the process that begins to run it. Its caller sends it again, each time under
/// another id and at any router, and each time a target and all that it was running are lost. No router sees more than
/// some of it, and the innocent requests beside it look the same when a target ends: they are told apart as they
/// complete elsewhere.
class CrashGuard {
public:
    /// To be asked before every attempt: a verdict may come while a request waits for its next.
    Standing standing(TimePoint now, RequestKey);

    void sent(TimePoint now, TargetKey target, const std::string& address) { m_detector.sent(now, target, address); }

    /// An attempt completed: its target has survived it.
    void completed(TimePoint sentAt, TargetKey, RequestKey);
    void broke(TimePoint now, TimePoint sentAt, TargetKey, RequestKey, bool isSilent);

    /// An attempt ended in a way that says nothing about the request.
    void ended(TimePoint sentAt, TargetKey target) { m_detector.ended(sentAt, target); }

    // See EndDetector.
    std::vector<TargetCheck> checksDue(TimePoint now) { return m_detector.checksDue(now); }
    void checked(TimePoint now, const TargetCheck&, CheckResult);
    void entryGone(TimePoint now, TargetKey);
    void replaced(TimePoint now, TargetKey);

    /// @return what to tell the other routers with the next report.
    std::vector<CrashRecord> tell() { return m_ledger.tell(); }

    /// Takes what another router or the store knows. @param records any range of CrashRecord.
    template <typename Records> void learn(TimePoint now, const Records& records)
    {
        for (const CrashRecord& it : records)
            merge(now, it, passedOnTellings);
    }

    /// An operator takes a quarantine back, or what leads to one. @return whether there was anything to take back.
    bool release(RequestKey request) { return clear(request); }

    std::vector<CrashCase> cases() const { return m_ledger.cases(); }

    /// @return what has become known since the last call.
    CrashNews takeNews();

private:
    void takeEnds(TimePoint now);
    void merge(TimePoint now, const CrashRecord&, unsigned tellings);
    bool clear(RequestKey);

    EndDetector m_detector;
    CrashLedger m_ledger;
    CrashNews m_news;
};

} // namespace sagechute::quarantine
