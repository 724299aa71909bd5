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
    /// What is known of a topic and of the store's health, by the thread that follows it.
    struct Progress {
        std::optional<LogOffset> next; ///< Absent: everything has to be read.
        std::optional<TimePoint> failingSince;
        unsigned failures = 0;
        TimePoint nextOwnRead {}; ///< While a relay reads the store for this router.
    };

    void followConfig();
    void followTargets();
    bool readConfigOnce(Progress&);
    bool readTargetsOnce(Progress&);
    void noteOutcome(Progress&, const char* topic, const absl::Status&);
    void adopt(const ConfigRecord&, const char* source);
    void takeFromAnyPeer(bool wantsTargets);
    bool followProxy(Progress&, bool wantsTargets);
    void takeFrom(const Peer&, bool wantsTargets);
    void findOthers();
    bool pause(Duration);

    EdgeState& m_state;
    Fleet& m_fleet;
    FleetStore& m_store;
    net::HttpClient& m_peerClient;
    EdgeMetrics& m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    bool m_isAnnounced = false;
    TimePoint m_nextSearch {};
    std::uint64_t m_peerTurn = 0;
    std::thread m_configThread;
    std::thread m_targetThread;
};

} // namespace sagechute::edge
