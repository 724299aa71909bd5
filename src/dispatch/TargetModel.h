#pragma once

/// @file
/// What is believed of one target: what has been sent to it, how fast it is, what it keeps, whether it can be reached.

#include "dispatch/PrefixMemory.h"

namespace sagechute::dispatch {

/// How long a target takes for what it is given.
struct TargetSpeed {
    double slowness; ///< An engine's seen against predicted time to the first event.
    double answerMs; ///< An application's mean time to answer.

    /// Before anything was seen of any target.
    static TargetSpeed unknown();
};

/// The model of one target. What this router sent itself is exact; what others sent is as old as their last report.
class TargetModel {
public:
    /// @param expected the speed until it has been seen, such as the mean of the service's other targets. With less a
    ///        new target would take too much, with more it would get nothing while the others are idle.
    TargetModel(Target, const Service*, const DispatchSettings&, const TargetSpeed& expected);

    const Target& target() const { return m_target; }
    TargetKey key() const { return m_key; }
    const TargetSpeed& speed() const { return m_speed; }
    void update(Target target, const Service*);

    /// @return what is in flight there, of all routers.
    TargetUse use(TimePoint now) const;

    /// @return tokens of the prompt that it would have to read.
    std::uint32_t tokensToRead(const PromptSize&, const std::vector<PrefixKey>&) const;

    /// @return how long it reads that many tokens.
    Duration readTime(std::uint32_t tokens) const;

    /// @param inFlight see use(); summed up once for all that is asked about one request.
    /// @return when the first event, or the whole answer of an application, can be expected.
    Duration predictFirst(const TargetUse& inFlight, std::uint32_t tokensToRead) const;

    /// @return whether one more request of that size fits beside those in flight without one being pushed out.
    bool hasRoom(const TargetUse& inFlight, std::uint32_t memoryTokens) const;

    /// @return whether it should get no request now, because it could not be reached lately.
    bool isAvoided(TimePoint now) const { return now < m_avoidUntil || isOverdue(now); }

    /// @return whether it has been silent for far longer than predicted.
    ///
    /// A target whose VM vanished takes requests without an error, until the kernel gives its connections up seconds
    /// later; all that is sent meanwhile is late. One that answered anything sent after the overdue request is alive.
    bool isOverdue(TimePoint now) const;

    /// @return share of its answers that were failures lately, 0 to 1.
    double failureShare() const { return m_failureShare; }

    void placed(TimePoint now, std::uint32_t tokensToRead, std::uint32_t memoryTokens, const std::vector<PrefixKey>&,
        Duration predictedFirst);
    void firstAnswer(TimePoint placedAt, std::uint32_t tokensToRead, Duration predicted, Duration seen);

    /// A request is not there any more.
    void released(std::uint32_t memoryTokens);

    /// Learns from how a request ended. @param lasted since it was placed.
    void judged(TimePoint now, AttemptEnd, Duration lasted);

    void peerUse(TimePoint now, const VmId& peer, const TargetUse&);
    void peerPlaced(const PlacedPrompts&);
    const TargetUse& ownUse() const { return m_own; }

private:
    struct PeerPart {
        VmId peer;
        TargetUse use;
        TimePoint at;
    };

    void setService(const Service*);

    const DispatchSettings& m_settings;
    Target m_target;
    const TargetKey m_key;
    std::optional<EngineProfile> m_engine;
    TargetUse m_own;
    std::vector<PeerPart> m_peers;
    PrefixMemory m_memory;
    TargetSpeed m_speed;
    double m_failureShare = 0;
    unsigned m_failuresInRow = 0;
    TimePoint m_avoidUntil {};
    std::multimap<TimePoint, TimePoint> m_firstDue; ///< By placement: when a first answer is overdue.
};

} // namespace sagechute::dispatch
