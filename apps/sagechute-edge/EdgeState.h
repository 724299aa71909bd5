#pragma once

/// @file
/// State shared by all threads of an edge router.

#include <sagechute/Edge.h>

#include <atomic>
#include <mutex>

namespace sagechute::edge {

/// Operator records, as read from the store or received from another router.
struct OperatorNews {
    std::optional<news::ConfigRecord> config; ///< Absent: there is none, or no new one.
    std::vector<news::ZoneChange> zones;
    bool hasAllZones = false; ///< Whether the zones are the full list, not only changes.
    news::LogPosition next; ///< All records before this position are included or known already; {}: unknown.
};

/// What changed by operator records.
struct OperatorChanges {
    bool isConfigInstalled = false;
    std::vector<news::ZoneChange> zones; ///< Evacuated or lifted zones; see news::EvacuatedZones::applyAll().
};

/// How late a departure was heeded, at most; see news::Departure.
struct HeededDeparture {
    dispatch::TargetIncarnation target;
    bool isGone = false;
    std::optional<Duration> noticeAge; ///< Of the notice when it came into force; absent if nothing was known before.
    std::optional<Duration> lastSent; ///< Time from the notice to the last request sent; absent: none after it.
};

/// A stall, and how old the list of targets was at its end.
struct EndedStall {
    Duration length {};
    std::optional<Duration> knowledgeAge;
};

/// Whether a request may be sent now.
struct SendCheck {
    bool maySend = false; ///< See dispatch::Dispatcher::maySend().
    std::optional<Duration> knowledgeAge; ///< Age of the list of targets by which that was decided.
};

/// The configuration, the evacuated zones, the targets and the dispatcher. Thread-safe.
///
/// The routing table is read without a lock. All decisions are made under one mutex, which is held for some
/// microseconds and never across I/O. There is no contention on it at the few hundred requests a second that a VM with
/// a quarter of a core handles.
class EdgeState {
public:
    /// @param appliesEvacuations see the member of this name.
    EdgeState(const dispatch::DispatchSettings&, const news::NewsTimes&, VmId self, ZoneId zone, std::uint64_t seed,
        bool appliesEvacuations);

    const VmId vm; ///< Name of this router's VM.

    /// Whether targets in evacuated zones get no requests. If not, evacuations are only passed on to other routers.
    const bool appliesEvacuations;

    /// @return the newest routing table, or null while no configuration is known.
    std::shared_ptr<const dispatch::RoutingTable> table() const { return m_table.load(); }

    /// Puts the evacuations in force, and the configuration unless the current one is as new or newer. Other threads
    /// see all of it or nothing: a router that counts the records as known, and says so to others, has all of them.
    /// @param now on the clock of unsuspendedNow().
    /// @param config the decoded configuration of these records; absent if there is none or it is unreadable.
    OperatorChanges installOperatorNews(
        TimePoint now, const OperatorNews&, const std::optional<dispatch::FleetConfig>& config);
    std::optional<news::ConfigRecord> configRecord() const;
    std::uint64_t configVersion() const { return m_configVersion.load(); }

    /// @return when the configuration in force was put in force; zero: there is none.
    TimePoint configInstalledAt() const { return m_configInstalledAt.load(); }

    /// Records that all operator records acknowledged by the store before @p until are known here.
    /// @param until on the clock of unsuspendedNow().
    void extendConfigKnowledge(TimePoint until);

    /// As above, for the age that another router sent with its state, if all that it knew is known here.
    /// @param sent when that state was requested, on the clock of unsuspendedNow().
    void extendConfigKnowledge(const news::ToldKnowledge&, TimePoint sent);

    /// See news::EvacuatedZones::expire().
    std::vector<news::ZoneChange> expireEvacuations();

    /// @return the evacuated zones, in force or not.
    news::EvacuatedZones evacuatedZones() const;

    /// Calls @p change with the list of targets and passes the list to the dispatcher if it changed.
    template <typename Change> void updateTargets(Change&& change)
    {
        std::lock_guard lock(m_mutex);
        updateTargetsLocked(std::forward<Change>(change));
    }

    /// Applies signals that a target sent about itself. @return those that were not known before.
    dispatch::TargetSignals applyTargetSignals(
        TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&);

    /// Decides whether the target takes a request that is about to be sent, and notes the send if so.
    SendCheck checkSend(TimePoint now, const dispatch::TargetIncarnation&);

    /// @return whether requests should wait before they are sent; see news::isRenewalAwaited().
    bool isRenewalAwaited();

    /// Notes that the process is running; see news::StallDetector.
    /// @return the duration of all stalls so far.
    Duration noteRunning();

    /// @return the departures and stalls since the last call.
    std::vector<HeededDeparture> takeDepartures();
    std::vector<EndedStall> takeStalls();

    /// @return the last return of the store from a copy since the last call, as the list of targets met it.
    std::optional<news::StoreReturn> takeStoreReturn();

    /// Calls @p use with the list of targets.
    template <typename Use> auto withTargets(Use&& use) const
    {
        std::lock_guard lock(m_mutex);
        return use(m_roster);
    }

    /// @return what is known of the store and up to which time, on the clock of unsuspendedNow().
    news::Knowledge knowledge() const;

    /// @return knowledge() in the form that is sent to other routers.
    news::ToldKnowledge knowledgeForPeers() const;

    /// Merges the knowledge that another router sent. @return what that router has and this one lacks.
    news::Missing mergePeerKnowledge(const news::ToldKnowledge&);

    /// Calls @p use with the dispatcher.
    template <typename Use> auto withDispatcher(Use&& use)
    {
        std::lock_guard lock(m_mutex);
        return use(*m_dispatcher);
    }

    /// @return whether the router has a configuration and targets and is not stopping.
    bool canServe() const;

    std::atomic<bool> isStopping { false };
    /// The graceful stop is so far advanced that a new request might be cut off.
    std::atomic<bool> isRejectingRequests { false };
    std::atomic<bool> isKnowledgeStale { false }; ///< The knowledge of the store is older than its bound.
    std::atomic<std::uint64_t> requestsAccepted { 0 }; ///< For RouterWork, like the next two.
    std::atomic<std::uint64_t> requestsShed { 0 };
    std::atomic<std::uint64_t> chunksRelayed { 0 };
    std::atomic<bool> shouldShedConnections {
        false
    }; ///< Callers are asked to close their connections; see AdaptiveRateLimiter.
    std::atomic<std::uint32_t> utilizationPercent { 0 }; ///< See RouterUtilization.
    bool shouldCloseConnections() const { return isStopping || shouldShedConnections; }
    /// When this router's own last read of each topic was answered, on the clock of unsuspendedNow(); zero: never.
    std::atomic<TimePoint> configReadAt { TimePoint {} };
    std::atomic<TimePoint> targetsReadAt { TimePoint {} };
    std::atomic<int> activeRequests { 0 };

private:
    template <typename Change> void updateTargetsLocked(Change&& change)
    {
        noteRunningLocked();
        const std::uint64_t before = m_roster.revision();
        change(m_roster);
        recordDepartures();
        if (m_roster.revision() != before)
            m_dispatcher->setTargets(steadyNow(), m_roster.targets(unsuspendedNow()));
    }

    void noteRunningLocked();
    bool isRenewalAwaitedLocked() const;
    void applyEvacuationsLocked();
    void recordDepartures();
    news::Knowledge knowledgeLocked() const;
    void extendConfigKnowledgeLocked(TimePoint until);
    bool installConfigLocked(const news::ConfigRecord&, const dispatch::FleetConfig&);

    std::atomic<std::shared_ptr<const dispatch::RoutingTable>> m_table;
    std::atomic<std::uint64_t> m_configVersion { 0 };
    std::atomic<TimePoint> m_configInstalledAt { TimePoint {} };
    mutable std::mutex m_mutex;
    std::optional<news::ConfigRecord> m_configRecord;
    std::optional<TimePoint> m_configKnownUntil; ///< For all operator records.
    news::EvacuatedZones m_evacuatedZones;
    news::TargetRoster m_roster;
    std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
    const news::NewsTimes m_times;
    news::StallDetector m_stallDetector;
    std::optional<TimePoint> m_stalledUntil; ///< On the clock of unsuspendedNow().
    std::map<dispatch::TargetIncarnation, TimePoint> m_lastSent; ///< On the clock of unsuspendedNow().
    std::vector<HeededDeparture> m_departures;
    std::vector<EndedStall> m_stalls;
    Duration m_stalledTime {};
};

} // namespace sagechute::edge
