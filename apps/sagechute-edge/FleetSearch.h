#pragma once

/// @file
/// Lets routers that know no other find some in the store.

#include "EdgeMetrics.h"
#include "Fleet.h"
#include "StopGate.h"

#include <sagechute/News.h>

#include <thread>

namespace sagechute::edge {

/// Announces this router in the store, and looks there for others while it knows none. Its calls may wait for a store
/// that keeps silent, so it has a thread of its own: what the store says of configuration and targets waits for no
/// other call.
class FleetSearch {
public:
    FleetSearch(EdgeState&, Fleet&, news::FleetStore&, EdgeMetrics&);

    /// Waits for the call in flight, for some seconds at most.
    ~FleetSearch();

    void start();

private:
    void run();
    void announce();
    void search();

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    EdgeMetrics& m_metrics;
    const TimePoint m_startedAt = unsuspendedNow();
    bool m_isAnnounced = false;
    StopGate m_gate;
    std::thread m_thread;
};

} // namespace sagechute::edge
