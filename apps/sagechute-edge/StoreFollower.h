#pragma once

/// @file
/// Reads configuration and targets from the store.

#include "ConfigIntake.h"
#include "EdgeMetrics.h"
#include "Fleet.h"
#include "InterruptibleSleeper.h"

#include <thread>

namespace sagechute::edge {

/// Two threads, one per topic of the store, that read it when due; see news::readDue().
class StoreFollower {
public:
    StoreFollower(EdgeState&, Fleet&, news::FleetStore&, ConfigIntake&, EdgeMetrics&, const Options&);

    /// Blocks until calls in flight have ended, at most some seconds.
    ~StoreFollower();

    void start();

private:
    /// A topic and the state of its reads. Used only by the thread that reads it.
    struct Topic {
        const char* name;
        bool (StoreFollower::*read)(Topic&, Duration wait);
        std::optional<TimePoint> (*knownUntil)(const news::Knowledge&);
        std::atomic<TimePoint>* readAt;
        news::ReadCursor cursor;
        std::optional<TimePoint> sentAt;
        std::optional<TimePoint> failedAt;
        bool hasLostHistory = false; ///< The last read found its records missing.
    };

    void run(Topic&);
    news::ReadOccasion occasion(const Topic&) const;
    bool readConfig(Topic&, Duration wait);
    bool readTargets(Topic&, Duration wait);
    bool recordRead(Topic&, const absl::Status&, news::LogPosition next);
    void reportUnreadable(const char* topic, const std::vector<news::UnreadableRecord>&);

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    ConfigIntake& m_configIntake;
    EdgeMetrics& m_metrics;
    const news::NewsTimes m_times;
    const bool m_isSeed;
    const double m_place; ///< See news::ReadOccasion.
    const TimePoint m_startedAt = unsuspendedNow();
    Topic m_config;
    Topic m_targets;
    InterruptibleSleeper m_sleeper;
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
