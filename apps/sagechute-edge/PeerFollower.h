#pragma once

/// @file
/// Fetches other routers' knowledge of the store.

#include "ConfigIntake.h"
#include "EdgeMetrics.h"
#include "Fleet.h"
#include "PeerState.h"

#include <thread>

namespace sagechute::edge {

/// A thread that fetches newer state from the router that last announced it, or from a random router when none did; see
/// news::PeerRequests. It also expires targets whose missing entries have been retained long enough, and reports the
/// age of this router's knowledge.
class PeerFollower {
public:
    PeerFollower(EdgeState&, Fleet&, ConfigIntake&, net::HttpClient&, PeerInbox&, EdgeMetrics&, const Options&);
    ~PeerFollower();

    void start();

private:
    /// Outcomes of fetches since this router's knowledge was last updated.
    struct FetchCounts {
        std::optional<TimePoint> since; ///< Time up to which everything was known at that update.
        unsigned answered = 0;
        unsigned unanswered = 0;
    };

    void run();
    Duration nextWait() const;

    /// @return the time up to which everything is known, for the decision when to ask any router.
    std::optional<TimePoint> witnessedUntil() const;
    void fetchIfDue(const std::optional<RouterContact>& source);
    void fetchFromRandomPeer(TimePoint now);
    void fetch(const RouterContact&, TimePoint now, news::PeerRequests::Whom);
    void handleResponse(const PeerResponse&);
    void applyTargets(const PeerState&, const PeerResponse&);

    /// @return the counts, reset if the knowledge has been updated since the last call.
    FetchCounts& fetchCounts();
    void reportKnowledgeAge();
    void logRetainedTargets();
    void expireEvacuations();

    EdgeState& m_state;
    Fleet& m_fleet;
    ConfigIntake& m_configIntake;
    net::HttpClient& m_client;
    PeerInbox& m_inbox;
    EdgeMetrics& m_metrics;
    const news::NewsTimes m_times;
    const TimePoint m_startedAt = unsuspendedNow();
    SeededRandom m_random;
    news::PeerRequests m_requests;
    FetchCounts m_fetchCounts;
    std::optional<TimePoint> m_retainedUntil; ///< As last logged; see news::TargetRoster::keepsMissingUntil().
    std::thread m_thread;
};

} // namespace sagechute::edge
