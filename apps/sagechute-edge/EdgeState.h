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
    EdgeState(const dispatch::DispatchSettings&, VmId self, ZoneId zone, std::uint64_t seed);

    const VmId vm; ///< This router's.

    /// @return the newest routing table, or null while no configuration is known.
    std::shared_ptr<const dispatch::RoutingTable> table() const { return m_table.load(); }

    /// Takes a configuration over unless one as new is in force.
    /// @return whether it was taken.
    bool adoptConfig(const ConfigRecord&, dispatch::FleetConfig);
    std::optional<ConfigRecord> configRecord() const;
    std::uint64_t configVersion() const { return m_configVersion.load(); }

    /// Calls @p change with the list of targets, then tells the dispatcher.
    template <typename Change> void changeTargets(TimePoint now, Change&& change)
    {
        std::lock_guard lock(m_mutex);
        change(m_roster);
        m_dispatcher->setTargets(now, m_roster.targets());
        targetsMark = m_roster.mark();
    }
    std::vector<dispatch::Target> targets() const;
    std::vector<ListedTarget> listedTargets(TimePoint now) const;

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
    std::atomic<std::uint64_t> requestsTaken { 0 }; ///< See RouterWork, for this and the next two.
    std::atomic<std::uint64_t> requestsCrowdedOut { 0 };
    std::atomic<std::uint64_t> piecesRelayed { 0 };
    std::atomic<bool> isCrowded { false }; ///< So many connections that callers are to close theirs.
    std::atomic<std::uint32_t> usePercent { 0 }; ///< See RouterUse.
    bool wantsClose() const { return isStopping || isCrowded; }
    std::atomic<LogOffset> nextTargetOffset { 0 }; ///< How far the targets' topic is known.
    /// It reads the configuration from the store itself, and the last read was answered.
    std::atomic<bool> readsConfig { false };
    std::atomic<bool> readsTargets { false }; ///< As above, of the targets.
    std::atomic<bool> followsReader { false }; ///< A router is heard that reads the store.
    bool readsStore() const { return readsConfig && readsTargets; }
    bool reachesStore() const { return readsStore() || followsReader; }
    std::atomic<std::uint64_t> targetsMark { 0 }; ///< Differs when the list of targets does.
    std::atomic<int> activeRequests { 0 };

private:
    std::atomic<std::shared_ptr<const dispatch::RoutingTable>> m_table;
    std::atomic<std::uint64_t> m_configVersion { 0 };
    mutable std::mutex m_mutex;
    std::optional<ConfigRecord> m_configRecord;
    TargetRoster m_roster;
    std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
};

} // namespace sagechute::edge
