#pragma once

/// @file
/// Discovery of other routers through the store.

#include "EdgeMetrics.h"
#include "Fleet.h"
#include "InterruptibleSleeper.h"
#include "OwnRecords.h"

#include <sagechute/News.h>

#include <thread>

namespace sagechute::edge {

/// Announces this router in the store, again after each return of the store from a copy, and searches the store for
/// others while it has no peers. Runs on its own thread: a call may block on a store that does not answer, and must not
/// delay reads of configuration and targets.
class RouterDiscovery {
public:
    RouterDiscovery(EdgeState&, Fleet&, news::FleetStore&, EdgeMetrics&);

    /// Blocks until the call in flight has ended, at most some seconds.
    ~RouterDiscovery();

    void start();

private:
    void run();
    void announce();
    void searchStore();

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    EdgeMetrics& m_metrics;
    const TimePoint m_startedAt = unsuspendedNow();
    AnnouncementSchedule m_schedule;
    InterruptibleSleeper m_sleeper;
    std::thread m_thread;
};

} // namespace sagechute::edge
