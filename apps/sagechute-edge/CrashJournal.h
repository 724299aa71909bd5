#pragma once

#include "Fleet.h"
#include "InterruptibleSleeper.h"

#include <deque>
#include <thread>

namespace sagechute::edge {

/// Persists the crash records of requests that crash targets in the store, for routers that cannot reach each other and
/// for those that start after all routers were lost.
///
/// One thread writes this router's own findings. Another polls the store's records if this router reads the store for
/// others or has no peers; all other routers receive the records with heartbeats.
class CrashJournal {
public:
    CrashJournal(EdgeState&, Fleet&, news::FleetStore&, const Options&);

    /// Blocks until calls in flight have ended, at most some seconds.
    ~CrashJournal();

    void start();

    /// Queues records for writing. Thread-safe and non-blocking. The oldest records are dropped when the queue is full,
    /// as during a long outage of the store.
    void write(const std::vector<quarantine::CrashRecord>&);

private:
    void runWriter();
    void runReader();

    /// Writes all pending records. @return false when the store did not accept them.
    bool flush();
    bool pollStore();
    void restartFromSnapshot();
    void applyRecords(const news::CrashNews&);

    /// @return quarantined requests that are not in the store, as far as it has been read.
    std::vector<quarantine::CrashCase> missingFromStore();

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    const news::NewsTimes m_times;
    InterruptibleSleeper m_sleeper;
    std::mutex m_mutex;
    std::deque<quarantine::CrashRecord> m_pendingRecords;
    std::set<quarantine::RequestKey> m_storedQuarantines; ///< Quarantined requests that the store holds.
    std::optional<LogOffset> m_nextOffset; ///< Used by the reading thread only.
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
