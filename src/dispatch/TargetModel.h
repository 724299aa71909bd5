#pragma once

/// @file
/// Model of one target: its load, speed, prefix cache and reachability.

#include "dispatch/LoadReadings.h"
#include "dispatch/PrefixMemory.h"

namespace sagechute::dispatch {

/// Estimated speed of a target.
struct TargetSpeed {
    double slowness; ///< For an engine: ratio of observed to predicted time to the first event.
    double answerMs; ///< For an application: mean answer time.

    /// Estimate before the first observation of any target.
    static TargetSpeed unknown();
};

/// Model of one target. The load from this router is exact; the load from others is as old as their last report.
class TargetModel {
public:
    /// @param initialSpeed estimate until the first observation, such as the mean of the service's other targets. If a
    ///        new target is estimated too fast it gets too many requests; too slow, it gets none while others are idle.
    TargetModel(Target, const Service*, const DispatchSettings&, const TargetSpeed& initialSpeed);

    const Target& target() const { return m_target; }
    TargetKey key() const { return m_key; }
    const TargetSpeed& speed() const { return m_speed; }
    void update(Target target, const Service*);

    /// See PrefixMemory::setMaxEntries().
    void limitPrefixes(std::size_t entries) { m_prefixCache.setMaxEntries(entries); }

    /// @return load in flight from all routers.
    TargetLoad totalLoad(TimePoint now) const;

    /// @return tokens of the prompt that are not cached at the target.
    std::uint32_t prefillTokens(const PromptSize&, const std::vector<PrefixKey>&) const;

    /// @return time to prefill the tokens.
    Duration prefillTime(TimePoint now, std::uint32_t tokens) const;

    /// @return the part of predictFirstEventDelay() that isn't queueing: the time to prefill the tokens or, for an
    /// application, to answer.
    Duration ownDelay(TimePoint now, std::uint32_t prefillTokens) const;

    /// @param inFlight see totalLoad(); computed once per request and target.
    /// @return predicted delay of the first event or, for an application, of the whole answer.
    Duration predictFirstEventDelay(TimePoint now, const TargetLoad& inFlight, std::uint32_t prefillTokens) const;

    /// @return whether a request of this size fits beside those in flight without preempting one.
    bool hasRoom(const TargetLoad& inFlight, std::uint32_t reservedTokens) const;

    /// @return whether it should get no request now because it was recently unreachable or is overdue.
    bool isAvoided(TimePoint now) const { return now < m_avoidUntil || isOverdue(now); }

    /// @return whether it has been silent for far longer than predicted.
    ///
    /// If a target's VM vanishes, requests are sent to it without an error until the kernel closes the connections
    /// seconds later, and all of them are late. An answer to any request sent after the overdue one proves that the
    /// target is alive.
    bool isOverdue(TimePoint now) const;

    /// @return whether its latest answer broke off a short time ago, so that it may break off the next one too.
    bool isDoubtful(TimePoint now) const { return now < m_doubtfulUntil; }

    /// @return moving average of the fraction of attempts that failed, 0 to 1.
    double failureRate() const { return m_failureRate; }

    void placed(TimePoint now, std::uint32_t prefillTokens, std::uint32_t reservedTokens, const std::vector<PrefixKey>&,
        Duration predictedFirstEventDelay);
    void firstAnswer(TimePoint placedAt, std::uint32_t prefillTokens, Duration predicted, Duration observed);

    /// A request has ended and released its memory.
    void released(std::uint32_t reservedTokens);

    /// Updates failure rate, avoidance and speed after a request. @param elapsed time since its placement.
    void recordOutcome(TimePoint now, AttemptEnd, Duration elapsed);

    /// @param age of the report when it was sent.
    void setPeerLoad(TimePoint now, const VmId& peer, const TargetLoad&, Duration age);

    /// The target reported its load to this router.
    void observeLoad(TimePoint now, const InstanceLoad&);

    /// The target reported its load to another router. Has no effect on engines.
    void observePeerReading(TimePoint takenAt, const InstanceLoad&);

    /// @return the newest reading of an application by this router, for the others; absent if it is too old.
    std::optional<ReportedReading> readingToReport(TimePoint now) const;
    const LoadReadings& readings() const { return m_readings; }

    /// @return whether it is an application with a recent reading.
    bool hasReadingsForSelection(TimePoint now) const { return !m_engine && m_readings.isUsable(now); }

    /// @return the application's state from its reading and the load reports.
    LoadEstimate estimateLoad(TimePoint now) const;

    /// @return predicted delay of an application's answer.
    Duration predictAnswerDelay(const LoadEstimate&) const;
    void recordPeerPlacements(const PlacedPrompts&);
    const TargetLoad& localLoad() const { return m_localLoad; }

private:
    struct PeerLoad {
        VmId peer;
        TargetLoad load;
        TimePoint at;
        Duration age {}; ///< When it was sent.
    };

    void setService(const Service*);

    const DispatchSettings& m_settings;
    Target m_target;
    const TargetKey m_key;
    std::optional<EngineProfile> m_engine;
    TargetLoad m_localLoad;
    std::vector<PeerLoad> m_peers;
    LoadReadings m_readings;
    std::optional<InstanceLoad> m_ownReading;
    TimePoint m_ownReadingAt {};
    PrefixMemory m_prefixCache;
    TargetSpeed m_speed;
    double m_failureRate = 0;
    unsigned m_consecutiveFailures = 0;
    TimePoint m_avoidUntil {};
    TimePoint m_doubtfulUntil {};
    std::multimap<TimePoint, TimePoint> m_firstEventDeadlines; ///< By placement time: when the first answer is overdue.
};

} // namespace sagechute::dispatch
