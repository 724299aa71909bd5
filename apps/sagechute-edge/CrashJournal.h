#pragma once

#include "Fleet.h"
#include "StopGate.h"

#include <deque>
#include <thread>

namespace sagechute::edge {

/// Keeps in the store what routers know of requests that crash targets, for routers that can't tell each other and for
/// those that start after all were lost.
///
/// One thread writes what this router has established. Another follows the journal if this router reads the store for
/// others, or hears of none; everybody else is told by heartbeats.
class CrashJournal {
public:
    CrashJournal(EdgeState&, Fleet&, news::FleetStore&, const Options&);

    /// Waits for the calls in flight, for some seconds at most.
    ~CrashJournal();

    void start();

    /// Records to be written. Any thread; doesn't wait. While the store is away the oldest are dropped.
    void write(const std::vector<quarantine::CrashRecord>&);

private:
    void runWriter();
    void runReader();

    /// @return whether the store took all that was to be written.
    bool flush();
    bool follow();
    void readAnew();
    void take(const news::CrashNews&);

    /// @return quarantined requests that the store, as far as it was read, does not name.
    std::vector<quarantine::CrashCase> unwritten();

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    const news::NewsTimes m_times;
    StopGate m_gate;
    std::mutex m_mutex;
    std::deque<quarantine::CrashRecord> m_toWrite;
    std::set<quarantine::RequestKey> m_written; ///< Quarantined requests that the store names.
    std::optional<LogOffset> m_next; ///< Of the reading thread.
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
