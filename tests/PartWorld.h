#pragma once

/// @file
/// Routers' guards against crashing parts, and targets that these crash, under a virtual clock. Routers send each other
/// records directly, or by one relay for each availability zone; some reports are lost.

#include <sagechute/Quarantine.h>

#include <functional>
#include <map>
#include <vector>

namespace sagechute::quarantine {

struct PartWorldSettings {
    unsigned routers = 8;
    unsigned targets = 9;
    unsigned zones = 3;
    bool isRelayed = false;
    Duration reportInterval = std::chrono::milliseconds(60);
    double lossRate = 0.05;
    Duration downtime = std::chrono::seconds(3); ///< Of a target, from its exit to its next start.
    Duration soundInterval = std::chrono::milliseconds(20); ///< Between sound requests, over all routers.
    Duration firstEventDelay = std::chrono::milliseconds(250);
    PartKey slowPart = 0; ///< Prompts with it have their first event after this time instead; 0: none.
    Duration slowFirstEventDelay {};
    Duration answerTime = std::chrono::milliseconds(1200);
    std::uint64_t seed = 1;
};

class PartWorld {
public:
    using Parts = std::vector<PartKey>;

    explicit PartWorld(const PartWorldSettings&);

    /// Lets time pass while sound requests arrive.
    void run(Duration);

    /// As run(), while a further request arrives at any router in each interval.
    void runWith(Duration, const Parts&, Duration interval, unsigned atOnce = 1);

    /// Sends a request at a router, or at any.
    /// @return whether it was sent to a target.
    bool send(const Parts&, std::optional<unsigned> router = std::nullopt);
    void kill(unsigned target);
    void restartRouter(unsigned router);

    /// @return how many routers have quarantined the part.
    unsigned quarantinedAt(PartKey) const;

    /// @return exits caused by crashingPart later than that after the fifth of them.
    unsigned exitsLaterThan(Duration sinceFifth) const;
    unsigned crashes() const { return static_cast<unsigned>(m_crashes.size()); }
    CrashGuard& guard(unsigned router) { return m_routers[router].guard; }

    /// Crashes targets from now on; 0: none does.
    PartKey crashingPart = 0;

    /// Prompts of the sound requests, without the last part.
    std::vector<Parts> soundPrompts { { 1 } };

    unsigned soundRequests = 0;
    unsigned soundRefused = 0; ///< Because of a quarantine.

private:
    struct Router {
        CrashGuard guard;
    };

    struct Target {
        TargetKey key = 0;
        std::optional<TimePoint> downSince;
    };

    struct Attempt {
        unsigned router = 0;
        TrialId id = 0;
        unsigned target = 0;
        TargetKey targetKey = 0;
        TimePoint sentAt;
        Parts parts;
        bool isAnswering = false;
    };

    void step();
    void advance(Attempt&);
    void exit(unsigned target);
    void report(unsigned router);
    void deliver(unsigned to, const std::vector<CrashRecord>&);
    bool isCrashing(const Parts&) const;
    std::optional<unsigned> aliveTarget();

    const PartWorldSettings m_settings;
    SeededRandom m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    std::vector<Router> m_routers;
    std::vector<Target> m_targets;
    std::vector<Attempt> m_attempts;
    std::vector<TimePoint> m_crashes;
    std::multimap<TimePoint, std::function<void()>> m_deliveries;
    TimePoint m_nextSound = m_now;
    TimePoint m_nextReport = m_now;
    TrialId m_lastId = 0;
    TargetKey m_lastTargetKey = 0;
};

} // namespace sagechute::quarantine
