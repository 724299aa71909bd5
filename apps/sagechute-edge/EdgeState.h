#pragma once

/// @file
/// What all threads of an edge router share.

#include <sagechute/Edge.h>

#include <atomic>
#include <mutex>

namespace sagechute::edge {

/// The configuration, the targets and the dispatcher. Every member function may be called from any thread.
///
/// The routing table is read without a lock. Everything that decides is under one mutex, held for some microseconds and
/// never over input or output; at the few hundred requests a second that a VM of a quarter core takes, no one waits.
class EdgeState {
public:
    EdgeState(const dispatch::DispatchSettings&, const news::NewsTimes&, VmId self, ZoneId zone, std::uint64_t seed);

    const VmId vm; ///< This router's.

    /// @return the newest routing table, or null while no configuration is known.
    std::shared_ptr<const dispatch::RoutingTable> table() const { return m_table.load(); }

    /// Takes a configuration over unless one as new is in force.
    /// @return whether it was taken.
    bool adoptConfig(const news::ConfigRecord&, dispatch::FleetConfig);
    std::optional<news::ConfigRecord> configRecord() const;
    std::uint64_t configVersion() const { return m_configVersion.load(); }

    /// All configurations that the store acknowledged before @p until are known. @param until see unsuspendedNow().
    void configKnown(TimePoint until);

    /// Calls @p change with the list of targets; the dispatcher is told where that changed it.
    template <typename Change> void changeTargets(Change&& change)
    {
        std::lock_guard lock(m_mutex);
        changeTargetsLocked(std::forward<Change>(change));
    }

    /// Puts in force what a target said of itself. @return what of it was not known.
    dispatch::TargetSignals targetSaid(
        TimePoint now, const dispatch::TargetIncarnation&, const dispatch::TargetSignals&);

    /// Calls @p use with the list of targets.
    template <typename Use> auto withTargets(Use&& use) const
    {
        std::lock_guard lock(m_mutex);
        return use(m_roster);
    }

    /// @return what is known of the store, and until when; its moments are those of unsuspendedNow().
    news::Knowledge knowledge() const;

    /// @return the same for other routers.
    news::ToldKnowledge told() const;

    /// Another router told what it knows. @return what of that is missing here.
    news::Missing learn(const news::ToldKnowledge&);

    /// Calls @p use with the dispatcher.
    template <typename Use> auto withDispatcher(Use&& use)
    {
        std::lock_guard lock(m_mutex);
        return use(*m_dispatcher);
    }

    /// @return whether requests can be served now.
    bool canServe() const;

    std::atomic<bool> isStopping { false };
    std::atomic<bool> isRefusing { false }; ///< The planned stop has come so far that a new request might be cut off.
    std::atomic<bool> isKnowledgeLate { false }; ///< What is known of the store is older than the bound.
    std::atomic<std::uint64_t> requestsTaken { 0 }; ///< See RouterWork, for this and the next two.
    std::atomic<std::uint64_t> requestsCrowdedOut { 0 };
    std::atomic<std::uint64_t> piecesRelayed { 0 };
    std::atomic<bool> isCrowded { false }; ///< So many connections that callers are to close theirs.
    std::atomic<std::uint32_t> usePercent { 0 }; ///< See RouterUse.
    bool wantsClose() const { return isStopping || isCrowded; }
    /// When the last read of each topic was answered that this router made itself, by unsuspendedNow(); zero: never.
    std::atomic<TimePoint> configReadAt { TimePoint {} };
    std::atomic<TimePoint> targetsReadAt { TimePoint {} };
    std::atomic<int> activeRequests { 0 };

private:
    template <typename Change> void changeTargetsLocked(Change&& change)
    {
        const std::uint64_t before = m_roster.revision();
        change(m_roster);
        if (m_roster.revision() != before)
            m_dispatcher->setTargets(steadyNow(), m_roster.targets());
    }

    news::Knowledge knowledgeLocked() const;

    std::atomic<std::shared_ptr<const dispatch::RoutingTable>> m_table;
    std::atomic<std::uint64_t> m_configVersion { 0 };
    mutable std::mutex m_mutex;
    std::optional<news::ConfigRecord> m_configRecord;
    std::optional<TimePoint> m_configUntil;
    news::TargetRoster m_roster;
    std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
};

} // namespace sagechute::edge
