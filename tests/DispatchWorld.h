#pragma once

/// @file
/// Several routers' dispatchers before emulated engines under a virtual clock: replays of loads, policy against policy.

#include "ShareTally.h"

#include "dispatch/PrefixMemory.h"

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// What is played.
struct LoadPattern {
    unsigned routers = 4;
    unsigned engines = 6;
    double requestsPerSecond = 36;
    double burst = 1; ///< Times the usual from the second to the fourth second.
    double hotCustomer = 0; ///< Share of all requests that come from one of ten customers.
    double pinnedCustomer = 0; ///< Share of all requests that come from a customer whose callers all use one router.
    double hotPrompt = 0; ///< Share of all requests that have the same shared part.
    unsigned sharedParts = 40; ///< Prompts that requests share.
    std::uint64_t engineMemory = 400'000; ///< Tokens.
    bool isRelayed = false; ///< A large fleet: routers are told sums of all reports, late, instead of each report.
    unsigned sumsLateBy = 2; ///< Reports later than a sum's own, 60 ms each, it arrives over relays.
    Duration sumsLostFrom {}; ///< From then on no sum arrives for a while; for this and the next.
    Duration sumsLostFor {};
    unsigned lostEngines = 0; ///< From the third second on they answer nothing, and are listed for 3.6 s more.
    Duration routersLostAt {}; ///< All routers at once start anew, and know nothing of before; zero: never.
    bool repeatsAtOnce = false; ///< A refused caller asks again after 20 ms, up to three times.
    Duration lasts = std::chrono::seconds(8);
    Duration goal = std::chrono::milliseconds(800);

    /// What the configuration says that engines produce, as a multiple of what they read. With all shared parts kept
    /// they have to read a part of each prompt only.
    double toldCapacity = 2;
    double engineTokensPerMs = 44; ///< What an engine reads.
    std::uint32_t sharedTokens = 13'000; ///< Of the part of a prompt that requests share.
    std::uint32_t ownLeast = 500; ///< Tokens of the part that a request has alone.
    std::uint32_t ownMost = 7000;

    /// Part of the requests that are of a second kind: small, with a goal of its own.
    double smallKind = 0;
    Duration smallGoal = std::chrono::milliseconds(250);
    std::uint32_t smallTokens = 800;
};

/// How requests are placed and turned away.
struct Policy {
    bool isAdmitting = true; ///< False: everything is sent, first come first served.
    bool isSharing = true; ///< False: no customer's use counts.
    bool isAffine = true; ///< False: the least loaded engine, whatever it keeps.
    double homeWeight = DispatchSettings {}.homeWeight;
    bool isTrusting = true; ///< False: routers that start amid running engines take these to keep nothing.
};

/// What callers saw.
struct Outcome {
    unsigned asked = 0;
    unsigned onTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned smallAsked = 0; ///< Of customers other than the hot one.
    unsigned smallOnTime = 0;
    std::uint64_t tokensRead = 0;
    unsigned largeAsked = 0; ///< Of the tenth with the most tokens.
    unsigned largeRefused = 0;
    unsigned smallKindAsked = 0;
    unsigned smallKindRefused = 0;
    unsigned askedAfterLoss = 0; ///< In the four seconds after the loss of all routers.
    unsigned onTimeAfterLoss = 0;

    double onTimeShareAfterLoss() const
    {
        return askedAfterLoss ? static_cast<double>(onTimeAfterLoss) / askedAfterLoss : 0;
    }
    double servedShare() const { return asked ? 1 - static_cast<double>(refused) / asked : 0; }
    double smallKindServedShare() const
    {
        return smallKindAsked ? 1 - static_cast<double>(smallKindRefused) / smallKindAsked : 0;
    }
    double mainKindServedShare() const
    {
        const unsigned n = asked - smallKindAsked;
        return n ? 1 - static_cast<double>(refused - smallKindRefused) / n : 0;
    }
    double largeServedShare() const { return largeAsked ? 1 - static_cast<double>(largeRefused) / largeAsked : 0; }
    double onTimeShare() const { return asked ? static_cast<double>(onTime) / asked : 0; }
    double smallShare() const { return smallAsked ? static_cast<double>(smallOnTime) / smallAsked : 0; }
};

/// Adds the counts of another play.
void add(Outcome& sum, const Outcome&);

/// Plays a pattern with a policy; the same seed gives the same requests under every policy.
class DispatchWorld {
public:
    DispatchWorld(const LoadPattern&, const Policy&, std::uint64_t seed);

    Outcome play();

    /// @return who got how much in each second.
    const ShareTally& tally() const { return m_tally; }

private:
    struct Engine {
        TargetId id;
        TimePoint busyUntil;
        PrefixMemory kept;
        bool isLost = false;
    };

    struct Request {
        std::string customer;
        PromptSize prompt;
        TimePoint arrived;
        unsigned asks = 0;
        bool isLarge = false;
        bool isSmallKind = false;
    };

    struct Event {
        Request request;
        unsigned router = 0;
        AttemptId attempt = 0;
        bool isEnd = false;
    };

    Request draw(TimePoint now);
    const Route& routeOf(const Request&) const;
    void countRefused(const Request&);
    unsigned chooseRouter(const Request&);
    bool areSumsLost(TimePoint now) const;
    void ask(TimePoint now, Request);
    void serve(TimePoint now, unsigned router, const Request&, const Placement&);
    void report(TimePoint now);
    void reportToAll(TimePoint now, const std::vector<LoadReport>&);
    void reportByRelay(TimePoint now, std::vector<LoadReport>);
    void loseEngines(TimePoint now);
    void makeRouters(TimePoint now, Duration homesTrusted);
    void loseRouters(TimePoint now);
    bool isAfterLoss(TimePoint) const;

    const LoadPattern m_pattern;
    const Policy m_policy;
    SeededRandom m_random;
    std::shared_ptr<const RoutingTable> m_table;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Dispatcher>> m_routers;
    std::map<TargetId, Engine> m_engines;
    std::multimap<TimePoint, Event> m_events;
    std::multimap<TimePoint, Request> m_returns;
    std::deque<std::vector<LoadReport>> m_underWay; ///< Reports whose sums have not been told yet.
    std::uint64_t m_ownPart = 1'000'000;
    bool m_areRoutersLost = false;
    Outcome m_outcome;
    ShareTally m_tally;
};

} // namespace sagechute::dispatch
