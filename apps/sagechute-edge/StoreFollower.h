#pragma once

/// @file
/// Keeps the configuration and the list of targets as new as the store, or failing it the other routers, have them.

#include "EdgeMetrics.h"
#include "Fleet.h"

#include <condition_variable>
#include <thread>

namespace sagechute::edge {

/// Two threads that follow the two topics. Each reads the store; while that fails it asks another router.
class StoreFollower {
public:
    StoreFollower(EdgeState&, Fleet&, FleetStore&, net::HttpClient& peerClient, EdgeMetrics&);

    /// Waits for the calls in flight, for some seconds at most.
    ~StoreFollower();

    void start();

private:
    void followConfig();
    void followTargets();
    bool readConfigOnce();
    bool readTargetsOnce();
    void noteUnreadable(const char* topic, const std::vector<UnreadableRecord>&);
    void noteFailure(ReadCursor&, const char* topic, const absl::Status&);
    static void noteReturn(const char* topic, std::optional<Duration> away);
    void adopt(const ConfigRecord&, const char* source);
    void takeFromAnyPeer(bool wantsTargets);

    /// @return whether others read the store for this router, so that it need not now.
    bool followOthers(TimePoint& lastOwnRead, bool wantsTargets);
    bool hasNews(const Peer& source, bool wantsTargets) const;

    /// Others read the store: what this router itself failed to read before doesn't count any more.
    void trust(const std::vector<Peer>& sources);
    void takeFrom(const Peer&, bool wantsTargets);
    void findOthers();
    bool pause(Duration);

    EdgeState& m_state;
    Fleet& m_fleet;
    FleetStore& m_store;
    net::HttpClient& m_peerClient;
    EdgeMetrics& m_metrics;
    ReadCursor m_configCursor; ///< Of the thread that follows the configuration.
    ReadCursor m_targetCursor; ///< Of the thread that follows the targets.
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    const TimePoint m_startedAt = steadyNow();
    bool m_isAnnounced = false;
    TimePoint m_nextSearch {};
    std::uint64_t m_peerTurn = 0;
    std::thread m_configThread;
    std::thread m_targetThread;
};

} // namespace sagechute::edge
