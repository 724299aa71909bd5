#pragma once

#include "Fleet.h"
#include "InterruptibleSleeper.h"
#include "OwnRecords.h"

#include <functional>
#include <map>
#include <thread>

namespace sagechute::edge {

/// Persists the crash records of requests and of parts of prompts that crash targets in the store, for routers that
/// cannot reach each other and for those that start after all routers were lost.
///
/// One thread writes this router's own findings and the operator's releases, and writes them again when the store has
/// returned from a copy that may lack them. Another polls the store's records if this
/// router reads the store for others or has no peers; all other routers receive the records with heartbeats.
class CrashJournal {
public:
    /// Called once, on any thread, with OK once the store holds a release, or with LogUnavailable.
    using ReleaseHandler = std::function<void(const absl::Status&)>;

    enum class SubjectKind { Request, Part };

    CrashJournal(EdgeState&, Fleet&, news::FleetStore&, const Options&);

    /// Blocks until calls in flight have ended, at most some seconds.
    ~CrashJournal();

    void start();

    /// Queues records for writing. Thread-safe and non-blocking. The oldest records are dropped when the queue is full,
    /// as during a long outage of the store; see dropExcess().
    void write(const std::vector<quarantine::CrashRecord>& requests, const std::vector<quarantine::CrashRecord>& parts);

    /// Writes an operator's release to the store, and applies it here once the store has accepted it. Until then the
    /// subject stays as it is: an unstored release would be lost with the routers that know it. If the store has not
    /// accepted it within releaseTimeout, the handler gets LogUnavailable and writing is not begun again. A write
    /// already sent may still succeed; the release is then applied as well, so that this router agrees with the store.
    /// Thread-safe and non-blocking.
    /// @return false, without calling the handler, if no target has ended under the subject.
    bool release(SubjectKind, quarantine::SubjectKey, ReleaseHandler);

    /// Fails releases that the store has not accepted in time. Call it every few tens of milliseconds.
    void tick(TimePoint now);

private:
    using Records = std::vector<quarantine::CrashRecord>;
    using Cases = std::vector<quarantine::CrashCase>;

    /// Of requests, or of parts.
    struct Subjects {
        std::deque<quarantine::CrashRecord> pendingRecords;
        WrittenRecords writtenRecords;
        std::set<quarantine::SubjectKey> storedQuarantines; ///< Quarantined subjects that the store holds.

        void add(const Records&);
        Records pending() const { return { pendingRecords.begin(), pendingRecords.end() }; }
        void prepend(const Records&);
        void markWritten(TimePoint now, news::StoreEra, const Records&);
        void markWritten(const Cases&);
        void apply(const news::SubjectCrashNews&);
    };

    /// An operator's release that the store has not accepted yet.
    struct Release {
        SubjectKind kind = SubjectKind::Request;
        Records records;
        TimePoint deadline;
        ReleaseHandler onEnd;
    };
    using ReleaseId = std::uint64_t;
    using Releases = std::map<ReleaseId, Release>;

    void runWriter();
    void runReader();

    /// Queues the records again, before all others, that the store may have lost since this router wrote them.
    void requeueLost(const news::Knowledge&, news::StoreEra);

    /// Writes all pending records and releases. @return false when the store did not accept them.
    bool flush();

    /// Applies releases that the store has accepted to the local state.
    void applyReleases(const Releases&);

    /// Ends releases that have not ended in the meantime. @param written releases that the store has accepted.
    void endReleases(const Releases& written);
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

    /// Held during a write from the decision what to write until the local state follows it. Otherwise a quarantine
    /// decided before a release could be written after it. Locked before m_mutex.
    std::mutex m_storeWriteMutex;
    std::mutex m_mutex;
    Subjects m_requests;
    Subjects m_parts;
    Releases m_releases;
    ReleaseId m_lastReleaseId = 0;
    std::optional<news::LogPosition> m_nextOffset; ///< Used by the reading thread only.
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
