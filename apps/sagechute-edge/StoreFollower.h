#pragma once

/// @file
/// Reads the store.

#include "ConfigIntake.h"
#include "EdgeMetrics.h"
#include "Fleet.h"
#include "StopGate.h"

#include <thread>

namespace sagechute::edge {

/// Two threads that read the two topics of the store when that is due, see news::readDue().
class StoreFollower {
public:
    StoreFollower(EdgeState&, Fleet&, news::FleetStore&, ConfigIntake&, EdgeMetrics&, const Options&);

    /// Waits for the calls in flight, for some seconds at most.
    ~StoreFollower();

    void start();

private:
    /// One of the topics, and how its reads went; of the thread that reads it.
    struct Topic {
        const char* name;
        bool (StoreFollower::*read)(Topic&, Duration wait);
        std::optional<TimePoint> (*knownUntil)(const news::Knowledge&);
        std::atomic<TimePoint>* readAt;
        news::ReadCursor cursor;
        std::optional<TimePoint> sentAt;
        std::optional<TimePoint> failedAt;
    };

    void follow(Topic&);
    news::ReadOccasion occasion(const Topic&) const;
    bool readConfig(Topic&, Duration wait);
    bool readTargets(Topic&, Duration wait);
    bool noteRead(Topic&, const absl::Status&, LogOffset next);
    void noteUnreadable(const char* topic, const std::vector<news::UnreadableRecord>&);

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    ConfigIntake& m_intake;
    EdgeMetrics& m_metrics;
    const news::NewsTimes m_times;
    const bool m_isSeed;
    const double m_place; ///< See news::ReadOccasion.
    const TimePoint m_startedAt = unsuspendedNow();
    Topic m_config;
    Topic m_targets;
    StopGate m_gate;
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
