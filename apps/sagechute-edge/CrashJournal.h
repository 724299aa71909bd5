#pragma once

#include "Fleet.h"
#include "InterruptibleSleeper.h"

#include <deque>
#include <thread>

namespace sagechute::edge {

/// Persists the crash records of requests and of parts of prompts that crash targets in the store, for routers that
/// cannot reach each other and for those that start after all routers were lost.
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
    void write(const std::vector<quarantine::CrashRecord>& requests, const std::vector<quarantine::CrashRecord>& parts);

private:
    using Records = std::vector<quarantine::CrashRecord>;
    using Cases = std::vector<quarantine::CrashCase>;

    /// Of requests, or of parts.
    struct Subjects {
        std::deque<quarantine::CrashRecord> pendingRecords;
        std::set<quarantine::SubjectKey> storedQuarantines; ///< Quarantined subjects that the store holds.

        void add(const Records&);
        Records pending() const { return { pendingRecords.begin(), pendingRecords.end() }; }
        void markWritten(const Records&);
        void markWritten(const Cases&);
        void apply(const news::SubjectCrashNews&);
    };

    void runWriter();
    void runReader();

    /// Writes all pending records. @return false when the store did not accept them.
    bool flush();
    bool pollStore();
    void restartFromSnapshot();
    void applyRecords(const news::CrashNews&);

    /// Writes what is quarantined and not in the store, as far as it has been read.
    /// @return false when the store did not accept it.
    bool writeMissing();

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    const news::NewsTimes m_times;
    InterruptibleSleeper m_sleeper;
    std::mutex m_mutex;
    Subjects m_requests;
    Subjects m_parts;
    std::optional<LogOffset> m_nextOffset; ///< Used by the reading thread only.
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
