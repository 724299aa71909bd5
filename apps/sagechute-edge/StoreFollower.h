#pragma once

/// @file
/// Keeps the configuration and the list of targets as new as the store, or failing it the other routers, have them.

#include "EdgeMetrics.h"
#include "Fleet.h"

#include <condition_variable>
#include <thread>

namespace sagechute::edge {

/// Two threads that read the two topics of the store when that is due, see news::readDue(), and one that fetches from
/// other routers what they were heard to know.
class StoreFollower {
public:
    StoreFollower(
        EdgeState&, Fleet&, news::FleetStore&, net::HttpClient& peerClient, NewsBox&, EdgeMetrics&, const Options&);

    /// Waits for the calls in flight, for some seconds at most.
    ~StoreFollower();

    void start();

private:
    /// Requests to other routers since what is known last grew newer.
    struct PeerTries {
        std::optional<TimePoint> since; ///< Until when all was known then.
        unsigned answered = 0;
        unsigned unanswered = 0;
    };

    /// One of the topics, and how its reads went; of the thread that reads it.
    struct Topic {
        const char* name;
        bool (StoreFollower::*read)(Topic&, Duration wait);
        std::optional<TimePoint> (*knownUntil)(const news::Knowledge&);
        std::atomic<TimePoint>* readAt;
        bool isTargets = false;
        news::ReadCursor cursor;
        std::optional<TimePoint> sentAt;
        std::optional<TimePoint> failedAt;
    };

    void follow(Topic&);
    news::ReadOccasion occasion(const Topic&) const;
    bool readConfig(Topic&, Duration wait);
    bool readTargets(Topic&, Duration wait);
    bool noteRead(Topic&, const absl::Status&, LogOffset next);
    void noteUnreadable(const char* topic, const std::vector<news::UnreadableRecord>&);
    void adopt(const news::ConfigRecord&, const std::string& source);

    void fetchNews();
    bool takeFrom(const RouterContact&);
    void askAnyone();
    void noteUnreached(const RouterContact&, const net::TransferResult&);
    bool isUnreached(const VmId&) const;
    void noteAge();

    /// @return the count since what is known last grew newer.
    PeerTries& peerTries();
    void noteKept();
    void findOthers();
    bool pause(Duration);

    EdgeState& m_state;
    Fleet& m_fleet;
    news::FleetStore& m_store;
    net::HttpClient& m_peerClient;
    NewsBox& m_news;
    EdgeMetrics& m_metrics;
    const news::NewsTimes m_times;
    const bool m_isSeed;
    const double m_place; ///< See news::ReadOccasion.
    SeededRandom m_random; ///< Of the thread that fetches.
    const TimePoint m_startedAt = unsuspendedNow();
    std::atomic<LogOffset> m_configNext { 0 }; ///< The record after the newest configuration that is known.
    Topic m_config;
    Topic m_targets;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    bool m_isAnnounced = false;
    TimePoint m_nextSearch {};
    std::map<VmId, TimePoint>
        m_unreached; ///< Routers that did not answer; of the thread that fetches, as the next two.
    unsigned m_peerFailures = 0; ///< Of requests to other routers, in a row.
    news::AskOccasion m_ask;
    PeerTries m_tries;
    std::optional<TimePoint> m_keptUntil; ///< Missing entries of targets are kept until then, as logged.
    bool m_isLate = false; ///< What is known is older than the bound.
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::edge
