#pragma once

/// @file
/// Several routers' request flows under a virtual clock, with callers that retry as they are told, targets that count
/// what they run, and a transport that loses, breaks, delays and crosses answers.

#include <sagechute/Relay.h>

#include <deque>
#include <functional>

namespace sagechute::relay {

/// What must never happen.
enum class Breach {
    RunTwice, ///< A request that must not be repeated ran more than once.
    FalseNotRun, ///< A caller was told that a request had not run, and it had, or did later.
    Mixed, ///< An answer of another request, or half an answer that looks whole.
    Disorder, ///< A stream with a piece missing, doubled, or of another run.
    TooManyRuns, ///< On more targets than the route allows.
    NoEnd, ///< A request without an end.
};

std::string toString(Breach);

/// What the transport and the targets do wrong, as probabilities for one attempt.
struct Troubles {
    double unreachable = 0.05; ///< The connection is refused.
    double lostRequest = 0.05; ///< It breaks after the request left; the target never saw it.
    double lostAnswer = 0.1; ///< The target runs it, and its connection breaks at some point of the answer.
    double closedInEvent
        = 0.05; ///< As lostAnswer, but inside an event of a stream whose end is that of its connection.
    double silent = 0.05; ///< The target runs it and says nothing.
    double refused = 0.1; ///< The target says that it has not run and will not run it.
    double otherTarget = 0.03; ///< Another target has the address by now.
    double failed = 0.1; ///< The target runs it and says that it failed.
    double foreign = 0.05; ///< A late answer of another request comes first, then the connection closes.
    double leaves = 0.05; ///< The caller leaves before its answer.
};

/// Plays requests and notes what must not happen.
class RelayWorld {
public:
    RelayWorld(std::uint64_t seed, const Troubles&, const FlowRules&);
    ~RelayWorld();

    std::set<Breach> play(unsigned requests);

    unsigned completed() const { return m_completed; }

private:
    struct Run {
        TargetId target;
        std::string requestId;
    };

    /// One send of a caller, with an identity of its own.
    struct Send;

    void sendNext(unsigned kind, unsigned retriesLeft);
    void at(TimePoint, std::function<void()>);
    void step();
    void after(Duration most, std::function<void()>);
    void deliver(Send&, const AttemptOrder&);
    void answer(Send&, unsigned number, const std::string& runTag, const std::string& resumeAfter, double brokenPart);

    /// @return a place inside an event of @p body.
    std::size_t placeInEvent(const std::string& body);
    void checkEnds();
    bool chance(double probability) { return m_random.fraction() < probability; }

    SeededRandom m_random;
    const Troubles m_troubles;
    const FlowRules m_rules;
    TimePoint m_now { std::chrono::seconds(100) };
    std::shared_ptr<const dispatch::RoutingTable> m_table;
    std::vector<std::unique_ptr<dispatch::Dispatcher>> m_routers;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Send>> m_sends;
    std::vector<Run> m_runs;
    std::set<Breach> m_breaches;
    unsigned m_completed = 0;
};

} // namespace sagechute::relay
