#pragma once

/// @file
/// Simulation of routers that read a store and exchange their data, with a virtual clock and injected faults.

#include "NewsStore.h"

#include <functional>

namespace sagechute::news::test {

/// Bugs injected into the routers as negative controls; the check must detect each.
enum class DeliberateFault {
    None,
    TrustsReadingFlag, ///< A router that is heard and claims to read the store counts as up to date.
    ClaimsReadersFreshness, ///< A router that hears of a reader reports its own data as complete.
    IgnoresCallDuration, ///< A reader treats its data as fresh as of a call that is still pending at the store.
    TrustsSilentSource, ///< The last report of a source counts as fresh until its heartbeats have been missing for
                        ///< seconds.
    AdoptsAgeWithoutData, ///< An age is adopted although the other router has newer data.
    IgnoresQueueingDelay, ///< Heartbeats that were queued while a router was paused count as just sent.
    IgnoresTransitTime, ///< The transit time of a message is ignored.
    IgnoresOperatorOffset, ///< Only the configuration's version tells whether a peer knows more operator records.
    IgnoresPeersZones, ///< A starting router takes a peer's configuration and offset, but not its evacuations.
    NeverAsksPeers, ///< A router whose sources are lost and that the store refuses waits for them.
    IgnoresEra, ///< Positions are compared by their offsets alone.
    TakesEraOfArrival, ///< A late answer counts as of the era known when it arrives, not of the one it was given in.
    TakesOlderEraFromPeer, ///< A list from a router counts as of this router's era.
    HidesEraFromPeers, ///< Heartbeats tell offsets alone, so that they count as of the receiver's era.
};

enum class FaultKind {
    Refused, ///< The store refuses this router's calls immediately. It still hears from others, and the bound applies.
    Unanswered, ///< As above, but the store does not answer.
    Paused,
    DropsInbound, ///< Loses all incoming messages.
    DropsOutbound, ///< Loses all outgoing messages.
    Partitioned, ///< From the store and the other routers.
    Restarted,
};

/// A fault of some routers at a fixed time.
struct PlannedFault {
    Duration at {};
    FaultKind kind = FaultKind::Paused;
    std::vector<std::size_t> routers;
    Duration length {};
};

struct NewsWorldOptions {
    std::size_t routers = 6;
    Duration bound = std::chrono::seconds(2);
    std::uint64_t seed = 1;
    DeliberateFault fault = DeliberateFault::None;
    double faultsPerSecond = 0.5;
    bool isStoreShared = true; ///< If false, no fault affects the store for all routers.
    bool isFirstStart = true; ///< Determines how long starting routers wait for others; see NewsTimes.
    double returnsPerSecond = 0; ///< Returns of the store from a copy; if not zero, zones are evacuated at random, too.
    bool keepsFormerEras = false; ///< Copies may be of before an earlier return.
    bool mixesVersions = false; ///< Lost configurations are written again in any order, not in theirs.
    bool isTraced = false; ///< Prints what the checks find.
};

struct NewsReport {
    Duration worstAge {}; ///< Longest time that a connected router lacked an acknowledged change.
    Duration worstUseAfterRemoval {}; ///< Longest time that a connected router used a target after its removal was
                                      ///< acknowledged.
    Duration worstZoneAge {}; ///< Longest time that a router lacked an acknowledged operator record, since that record,
                              ///< its start or the end of its last fault. Counts while the store is away, too.
    std::size_t wrongZones = 0; ///< Steps in which a router had other zones evacuated than its offset implies, or a
                                ///< configuration without all operator records before it.
    std::size_t lostTargets = 0; ///< Live targets that a connected router had dropped.
    std::size_t lostZones = 0; ///< Evacuations that a router dropped although the operator had not lifted them.
    std::size_t disagreements = 0; ///< Steps in which a connected router lacked a live target that had been listed, or
                                   ///< had not the zones that the operator wanted, for longer than 2 s and the bound.
    Duration worstOlderConfig {}; ///< Longest time that a connected router had an older configuration than another one.
    std::size_t returns = 0;
    std::size_t lateAnswers = 0; ///< Answers given before a return that arrived after it.
    std::uint64_t storeCalls = 0;
    std::uint64_t fetches = 0;
};

/// Runs one scenario.
class NewsWorld {
public:
    explicit NewsWorld(const NewsWorldOptions&);

    /// Schedules a fault in addition to the random ones.
    void plan(PlannedFault it) { m_plan.push_back(std::move(it)); }

    /// Schedules the evacuation of a zone, or its end.
    void planZone(Duration at, const ZoneId& zone, bool isEvacuated)
    {
        m_storePlan.push_back({ at, [this, zone, isEvacuated] { m_store.changeZone(m_now, zone, isEvacuated); } });
    }

    /// Schedules a loss of the operator topic's history.
    void planHistoryLoss(Duration at)
    {
        m_storePlan.push_back({ at, [this] { m_store.truncateOperatorHistory(); } });
    }

    /// Schedules a return of the store from a copy. @param age of the copy.
    void planReturn(Duration at, Duration age)
    {
        m_hasReturns = true;
        m_storePlan.push_back({ at, [this, age] { returnStore(age); } });
    }

    /// Schedules a behavior of the store towards all routers.
    void planStore(Duration at, StoreBehavior behavior, Duration length)
    {
        m_storePlan.push_back(
            { at, [this, behavior, length] { m_store.setBehavior(m_now, behavior, m_now + length, m_random); } });
    }

    /// @return the relay of a zone, which the zone's other routers listen to in a large fleet.
    std::size_t relayOf(std::size_t zone) const { return m_relays[zone]; }

    NewsReport run(Duration length);

    static constexpr std::size_t zones = 4; ///< Router i is in zone i % zones.

private:
    static constexpr std::size_t topics = 2; ///< Configuration and targets.

    /// A response of the store or of another router; a paused router receives it later.
    struct Answer {
        TimePoint at; ///< Of its arrival.
        bool hasFailed = false;
        LogPosition newest; ///< End of the topic that was read.
        ToldKnowledge told; ///< From another router.
        bool hasAllTargets = false;
        std::vector<TargetChange> targets;
        bool isHistoryLost = false;
        std::uint64_t configVersion = 0; ///< Newest configuration of the operator records read.
        std::vector<ZoneChange> zones; ///< Changes, or all zones of a full read or from another router.
    };

    struct Call {
        TimePoint sent;
        TimePoint end;
        Duration wait {};
        std::optional<LogPosition> from; ///< Absent if everything is read.
        bool willFail = false;
        bool isSlow = false;
        std::optional<Answer> answer;
    };

    struct Message {
        std::size_t from = 0;
        ToldKnowledge told;
        TimePoint sent; ///< By the sender's clock.
        TimePoint arrives;
    };

    struct Fetch {
        std::size_t from = 0;
        TimePoint sent;
        TimePoint end;
        std::optional<LogPosition> targetsNext; ///< Known when the fetch was sent.
        std::optional<Answer> answer;
    };

    struct Router {
        VmId vm;
        std::uint32_t capacity = 250;
        TimePoint startedAt;
        std::uint64_t configVersion = 0;
        std::optional<TimePoint> configSince; ///< When that version was put in force.
        std::optional<TimePoint> configUntil;
        EvacuatedZones zones;
        TargetRoster roster { TargetRoster::entryLapseTime };
        std::optional<StallDetector> stalls;
        StoreEra storeEra = 0; ///< Newest era of an answer.
        std::array<ReadCursor, topics> cursors;
        std::array<std::optional<Call>, topics> calls;
        std::array<std::optional<TimePoint>, topics> failedAt;
        std::array<std::optional<TimePoint>, topics> sentAt;
        std::array<std::optional<TimePoint>, topics> readAt;
        std::optional<std::size_t> news; ///< Router that reported newer data.
        std::vector<Fetch> fetches;
        std::optional<PeerRequests> requests;
        unsigned life = 0;
        std::map<std::pair<std::size_t, unsigned>, TransitMeter> transit; ///< By sender and its life.
        std::map<std::size_t, std::pair<ToldKnowledge, TimePoint>> heard;
        std::deque<Message> inbox;
        TimePoint nextHeartbeat;
        std::size_t zone = 0;

        // Faults.
        StoreBehavior behavior = StoreBehavior::Serves;
        TimePoint pausedUntil {};
        TimePoint inboundDownUntil {};
        TimePoint outboundDownUntil {};
        TimePoint behaviorUntil {};
        TimePoint silentSince {}; ///< Start of the current interval in which others hear nothing from it.
        TimePoint disturbedUntil {}; ///< End of the last fault that exempts it from the bound.

        // State of the target check, for this list revision and end of the store's records.
        std::uint64_t seenRevision = 0;
        LogPosition seenEnd;
        std::set<TargetId> used; ///< Targets ever in its list during this life whose removal is not acknowledged.
        std::set<ZoneId> usedZones; ///< As used, for evacuated zones.
        std::optional<TimePoint> leftFirst; ///< Earliest removal among the removed targets still in its list.
    };

    void beginFault();
    void injectFault(std::size_t i, FaultKind, TimePoint end);
    void restart(std::size_t i);
    void step(std::size_t i);
    void receive(std::size_t i);
    void heartbeat(std::size_t i);
    void answerCall(Router&, std::size_t topic);
    void answerFetch(Fetch&) const;
    void finishCalls(std::size_t i);
    void finishFetches(std::size_t i);
    void startReads(std::size_t i);
    void askOthers(std::size_t i);
    std::optional<std::size_t> anyPeer(std::size_t i);
    void startFetch(std::size_t i, std::size_t from, PeerRequests::Whom);
    void startCall(Router&, std::size_t topic, Duration wait);
    void takeTargets(Router&, const Answer&, LogPosition next, ReadSpan);
    void takeFrom(Router&, const Fetch&);
    /// Fills in what the store answers now.
    void answerNow(Call&, std::size_t topic) const;
    void returnStore(Duration age);
    void beginReturns();
    /// Returns or zone changes by chance.
    void drawReturns();
    void check(std::size_t i);
    void checkAgreement(const Router&);
    void checkLostZones(Router&);
    void trace(const std::string&) const;
    void trace(const Router&, const std::string&) const;
    static void forgetEra(Answer&);
    static void setEra(Answer&, StoreEra);
    void checkTargets(Router&);
    void checkZones(const Router&);
    void takeOperatorNews(Router&, const Answer&, LogPosition next, bool hasAllZones);
    static Knowledge knowledge(const Router&);
    static std::optional<TimePoint> knownUntil(const Router&, std::size_t topic);
    void hear(Router&, const ToldKnowledge&, std::size_t from);
    bool isSettled(const Router&) const;
    /// @return whether gossip has reported this router as lost to all others.
    bool isKnownLost(const Router&) const;
    bool usesRelays() const { return m_routers.size() > 12; }
    std::vector<std::size_t> receivers(std::size_t i) const;
    ReadStanding standingOf(std::size_t i) const;
    bool isPaused(const Router& it) const { return m_now < it.pausedUntil; }
    void electRelays();

    const NewsWorldOptions m_options;
    const NewsTimes m_times;
    SeededRandom m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    const TimePoint m_begin = m_now;
    std::vector<Router> m_routers;
    std::vector<std::size_t> m_relays;
    std::vector<PlannedFault> m_plan;

    struct PlannedChange {
        Duration at {};
        std::function<void()> apply;
    };
    std::vector<PlannedChange> m_storePlan;
    bool m_hasReturns = false;
    std::vector<std::pair<TimePoint, Duration>> m_nextReturns; ///< Drawn, with the age of the copy.
    TimePoint m_returnedAt {};
    TimePoint m_nextElection {};
    NewsStore m_store;
    NewsReport m_report;
};

} // namespace sagechute::news::test
