#pragma once

/// @file
/// Simulation of several routers' dispatchers and emulated engines under a virtual clock, to compare policies under the
/// same load.

#include "ShareTally.h"

#include "dispatch/PrefixMemory.h"

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// Simulated fleet, load and faults.
struct LoadPattern {
    unsigned routers = 4;
    unsigned engines = 6;
    double requestsPerSecond = 36;
    double burst = 1; ///< Factor on the request rate between 2 s and 4 s.
    double hotCustomerFraction = 0; ///< Fraction of all requests that come from one of ten customers.
    /// Fraction of all requests that come from a customer whose callers all use the same router.
    double pinnedCustomerFraction = 0;
    double hotPromptFraction = 0; ///< Fraction of all requests that have the same shared part.
    unsigned sharedPromptCount = 40; ///< Number of different shared parts.
    std::uint64_t engineMemory = 400'000; ///< Tokens.
    bool isRelayed = false; ///< A large fleet: routers get delayed aggregates of all reports instead of each report.
    unsigned aggregateLag = 2; ///< Delay of aggregates over relays, in report intervals of 60 ms.
    Duration aggregatesLostFrom {}; ///< Start of a period in which all aggregates are lost.
    Duration aggregatesLostFor {}; ///< Length of that period.
    unsigned failedEngines = 0; ///< Engines that answer nothing from 3 s on and stay listed for another 3.6 s.
    Duration routersRestartAt {}; ///< All routers restart at once and lose their state; zero: never.
    bool retriesImmediately = false; ///< A refused caller retries after 20 ms, up to three times.
    Duration totalDuration = std::chrono::seconds(8);
    Duration goal = std::chrono::milliseconds(800);

    /// Configured throughput as a multiple of the engines' prefill rate. It can be above 1, because with all shared
    /// parts cached only a part of each prompt has to be prefilled.
    double configuredCapacityFactor = 2;
    double engineTokensPerMs = 44; ///< Prefill rate of an engine.
    std::uint32_t sharedTokens = 13'000; ///< Tokens of the shared part of a prompt.
    std::uint32_t minUnsharedTokens = 500; ///< Tokens of the part that is unique to a request.
    std::uint32_t maxUnsharedTokens = 7000;

    /// Fraction of requests that are of a second kind: small, on a route with its own goal.
    double smallKindFraction = 0;
    Duration smallGoal = std::chrono::milliseconds(250);
    std::uint32_t smallTokens = 800;

    /// Application targets. If not 0, all requests are for them: they arrive at random with a rate that rises and falls
    /// between a third of its maximum and requestsPerSecond.
    unsigned applications = 0;
    unsigned applicationSlots = 6;
    unsigned applicationQueue = 8; ///< Requests that wait in a target; it rejects further ones as full.
    Duration work = std::chrono::milliseconds(30); ///< Mean time of a request; between half and one and a half of it.
    bool sendsLoad = true; ///< Applications report their load in each answer.
    unsigned slowApplications = 0; ///< Number of applications that are slow, drawn anew in each slowInterval.
    Duration slowInterval = std::chrono::milliseconds(600);
    unsigned slowPacePercent = 250;
};

/// Placement and admission policy.
struct Policy {
    bool hasAdmissionControl = true; ///< False: all requests are placed, first come first served.
    bool hasFairShares = true; ///< False: the usage of customers is ignored.
    bool hasCacheAffinity = true; ///< False: the least loaded engine is chosen, whatever it has cached.
    double homeWeight = DispatchSettings {}.homeWeight;
    bool hasWarmStart = true; ///< False: routers that start amid running engines assume empty caches.
};

/// Request counts by result, as seen by callers.
struct Outcome {
    unsigned requested = 0;
    unsigned onTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned otherRequested = 0; ///< By customers other than the hot one.
    unsigned otherOnTime = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t rereadSharedTokens = 0; ///< Of those, of shared parts that another engine has read before.
    unsigned largeRequested = 0; ///< Requests in the largest tenth by tokens.
    unsigned largeRefused = 0;
    unsigned smallKindRequested = 0;
    unsigned smallKindRefused = 0;
    unsigned requestedAfterRestart = 0; ///< In the four seconds after the restart of all routers.
    unsigned onTimeAfterRestart = 0;
    unsigned rejectedAsFull = 0; ///< Attempts that applications rejected.
    unsigned sentToApplications = 0; ///< Attempts.
    unsigned sentToBusiest = 0; ///< Of those, to the application that got most.

    double onTimeShareAfterRestart() const
    {
        return requestedAfterRestart ? static_cast<double>(onTimeAfterRestart) / requestedAfterRestart : 0;
    }
    double servedShare() const { return requested ? 1 - static_cast<double>(refused) / requested : 0; }
    double smallKindServedShare() const
    {
        return smallKindRequested ? 1 - static_cast<double>(smallKindRefused) / smallKindRequested : 0;
    }
    double mainKindServedShare() const
    {
        const unsigned n = requested - smallKindRequested;
        return n ? 1 - static_cast<double>(refused - smallKindRefused) / n : 0;
    }
    double largeServedShare() const
    {
        return largeRequested ? 1 - static_cast<double>(largeRefused) / largeRequested : 0;
    }
    double onTimeShare() const { return requested ? static_cast<double>(onTime) / requested : 0; }
    double otherOnTimeShare() const { return otherRequested ? static_cast<double>(otherOnTime) / otherRequested : 0; }
};

/// Adds the counts of another run.
void add(Outcome& sum, const Outcome&);

/// Simulates a load pattern with a policy. The same seed gives the same requests under every policy.
class DispatchWorld {
public:
    DispatchWorld(const LoadPattern&, const Policy&, std::uint64_t seed);

    Outcome run();

    /// @return usage of each customer per second.
    const ShareTally& usageTally() const { return m_usageTally; }

private:
    struct Engine {
        TargetId id;
        TimePoint busyUntil;
        PrefixMemory prefixCache;
        bool hasFailed = false;
    };

    struct Application {
        struct Entry {
            unsigned router = 0;
            AttemptId attempt = 0;
            TimePoint arrived;
        };

        TargetIncarnation incarnation;
        unsigned running = 0;
        std::deque<Entry> waiting;
        unsigned pacePercent = 100;
        unsigned sent = 0;
    };

    struct Request {
        std::string customer;
        PromptSize prompt;
        TimePoint arrived;
        unsigned attempts = 0;
        bool isLarge = false;
        bool isSmallKind = false;
    };

    struct Event {
        Request request;
        unsigned router = 0;
        AttemptId attempt = 0;
        bool isEnd = false;
        Application* application = nullptr; ///< Whose request ends; null: of an engine.
    };

    Request generateRequest(TimePoint now);
    const Route& routeOf(const Request&) const;
    void countRefused(const Request&);
    unsigned chooseRouter(const Request&);
    bool areAggregatesLost(TimePoint now) const;
    void submit(TimePoint now, Request);
    void serve(TimePoint now, unsigned router, const Request&, const Placement&);
    /// @return requests that arrive in one step.
    unsigned arrivals(TimePoint now, Duration step);
    void changePaces(TimePoint now);
    void submitToApplication(TimePoint now, Request);
    void startWork(TimePoint now, Application&, const Application::Entry&);
    void endWork(TimePoint now, const Event&);
    void sendLoad(TimePoint now, unsigned router, const Application&);
    void report(TimePoint now);
    void reportToAll(TimePoint now, const std::vector<LoadReport>&);
    void reportByRelay(TimePoint now, std::vector<LoadReport>);
    void failEngines(TimePoint now);
    void makeRouters(TimePoint now, Duration warmStartDuration);
    void restartRouters(TimePoint now);
    bool isAfterRestart(TimePoint) const;

    const LoadPattern m_pattern;
    const Policy m_policy;
    SeededRandom m_random;
    SeededRandom m_arrivalRandom; ///< Of requests to applications and their paces, the same under every policy.
    std::shared_ptr<const RoutingTable> m_table;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Dispatcher>> m_routers;
    std::map<TargetId, Engine> m_engines;
    std::map<TargetId, Application> m_applications;
    TimePoint m_nextPaceChange {};
    double m_pendingRequests = 0;
    std::multimap<TimePoint, Event> m_events;
    std::multimap<TimePoint, Request> m_retries;
    std::set<std::uint64_t> m_readParts; ///< Shared parts that any engine has read.
    std::deque<std::vector<LoadReport>> m_reportsInTransit; ///< Reports whose aggregate has not been delivered yet.
    std::uint64_t m_lastPartId = 1'000'000;
    bool m_haveRoutersRestarted = false;
    Outcome m_outcome;
    ShareTally m_usageTally;
};

} // namespace sagechute::dispatch
