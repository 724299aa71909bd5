// Invariants under random schedules of requests and failures; at the end all faults are healed and every request must
// end.

#include "RoutingFleets.h"

#include <rapidcheck.h>

#include <iostream>

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

struct Scenario {
    std::uint64_t seed = 1;
    std::size_t routers = 3;
    std::uint32_t cells = 1;
    int steps = 40;
    std::vector<bool> faults; ///< Which kinds of faults may occur; shrinks to the relevant one.
};

void showValue(const Scenario& it, std::ostream& os)
{
    os << "seed " << it.seed << ", routers " << it.routers << ", cells " << it.cells << ", steps " << it.steps
       << ", faults";
    for (std::size_t n = 0; n < it.faults.size(); ++n)
        os << (it.faults[n] ? " " + std::to_string(n) : "");
}

/// Runs a fleet through a random schedule.
class ScheduleRunner {
public:
    ScheduleRunner(const Scenario& scenario, FleetFake::Options options)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        options.routers = scenario.routers;
        options.cellsPerPool = scenario.cells;
        options.seed = scenario.seed;
        if (allowed(0)) {
            options.loss = 0.1;
            options.jitter = 30ms;
        }
        m_fleet = smallFleet(std::move(options));
        m_paused.resize(scenario.routers);
        m_logOut.resize(scenario.routers);
    }

    /// @return the invariants that were violated.
    std::set<Violation> run()
    {
        for (int step = 0; step < m_scenario.steps; ++step) {
            for (std::uint64_t n = m_random.below(chance(0.1) ? 60 : 8); n > 0; --n)
                request();
            if (chance(0.5))
                injectFault();
            m_fleet->run(std::chrono::milliseconds(20 + m_random.below(400)));
        }
        heal();
        m_fleet->run(90s);
        m_fleet->checkQuiescent();
        return m_fleet->violations();
    }

    const FleetFake& fleet() const { return *m_fleet; }

    static constexpr std::size_t faultKinds = 11;

private:
    using FaultInjector = void (ScheduleRunner::*)();

    bool chance(double probability) { return m_random.fraction() < probability; }
    bool allowed(std::size_t kind) const { return kind < m_scenario.faults.size() && m_scenario.faults[kind]; }
    std::size_t anyRouter() { return m_random.below(m_scenario.routers); }

    void request()
    {
        const std::size_t router = anyRouter();
        if (!m_fleet->up(router))
            return;
        Send send;
        send.customer = chance(0.5) ? "tellers" : "batch";
        send.service = chance(0.5) ? "model" : "posting";
        send.cost = std::chrono::milliseconds(1 + m_random.below(chance(0.1) ? 3000 : 200));
        send.hint = chance(0.5) ? 0 : static_cast<double>(m_random.below(100000));
        send.streamed = send.service == "model" && chance(0.5);
        if (chance(0.2))
            send.repeatable = chance(0.5);
        if (chance(0.1))
            send.deadline = std::chrono::milliseconds(m_random.below(2000));
        if (send.service == "posting" && !send.repeatable && chance(0.7)) {
            send.session = m_fleet->session(chance(0.7) ? router : anyRouter());
            send.sequence = 1;
            m_resendable.push_back(send);
        }
        if (!m_resendable.empty() && chance(0.3))
            send = m_resendable[m_random.below(m_resendable.size())];
        const RequestId id = m_fleet->send(router, send);
        if (chance(0.1))
            m_callersToDisconnect.push_back(id);
        if (!m_callersToDisconnect.empty() && chance(0.1)) {
            if (m_fleet->record(m_callersToDisconnect.back()).ends.empty())
                m_fleet->disconnectCaller(m_callersToDisconnect.back());
            m_callersToDisconnect.pop_back();
        }
    }

    void injectFault()
    {
        static constexpr FaultInjector all[]
            = { nullptr, &ScheduleRunner::crash, &ScheduleRunner::pause, &ScheduleRunner::cut, &ScheduleRunner::isolate,
                  &ScheduleRunner::cutStreams, &ScheduleRunner::breakStream, &ScheduleRunner::logOutage,
                  &ScheduleRunner::targetFault, &ScheduleRunner::targetLeaves, &ScheduleRunner::stop };
        static_assert(std::size(all) == faultKinds);
        const std::size_t kind = m_random.below(faultKinds);
        if (kind && allowed(kind) && m_fleet->now() >= m_noFaultsUntil)
            (this->*all[kind])();
    }

    void crash()
    {
        m_wasDown = true;
        const std::size_t router = anyRouter();
        if (m_fleet->up(router))
            m_fleet->crash(router);
        else
            m_fleet->restart(router);
        m_paused[router] = false;
    }

    void pause()
    {
        m_wasDown = true;
        const std::size_t router = anyRouter();
        if (m_paused[router])
            m_fleet->resume(router);
        else if (m_fleet->up(router))
            m_fleet->pause(router);
        m_paused[router] = m_fleet->up(router) && !m_paused[router];
    }

    void cut()
    {
        m_wasCut = true;
        m_fleet->cut(anyRouter(), anyRouter(), chance(0.5));
    }

    void isolate()
    {
        m_wasCut = true;
        m_fleet->isolate(anyRouter(), chance(0.5));
    }

    void cutStreams()
    {
        m_wasCut = true;
        m_fleet->cutStreams(anyRouter(), anyRouter(), chance(0.5));
    }

    void breakStream()
    {
        const std::size_t one = anyRouter();
        const std::size_t other = anyRouter();
        if (one != other)
            m_fleet->breakStream(one, other);
    }

    void logOutage()
    {
        const bool all = chance(0.3);
        const bool reachable = chance(0.5);
        const std::size_t router = anyRouter();
        for (std::size_t n = 0; n < m_scenario.routers; ++n) {
            if (!all && n != router)
                continue;
            m_logOut[n] = !reachable;
            m_fleet->setLogReachable(n, reachable);
            m_fleet->setLogDelay(n, {});
        }
        if (chance(0.5)) {
            m_logOut[router] = true; // Too slow to count as contact with the log.
            m_fleet->setLogDelay(router, 3s);
        }
    }

    void targetFault()
    {
        const char* const names[] = { "worker-1", "worker-2", "posting-1", "posting-2" };
        FakeTarget& target = m_fleet->target(names[m_random.below(4)]);
        const auto fault = static_cast<Fault>(1 + m_random.below(static_cast<std::uint64_t>(Fault::Reject)));
        if (chance(0.2))
            m_fleet->killTarget(target.name);
        else if (!target.alive)
            target.alive = true;
        else
            target.faults.push_back(fault);
    }

    // A router can follow a change only if the change reaches it: from the log, or from a peer that reads the log.
    void targetLeaves()
    {
        const bool someOut = std::find(m_logOut.begin(), m_logOut.end(), true) != m_logOut.end();
        const bool someRead = std::find(m_logOut.begin(), m_logOut.end(), false) != m_logOut.end();
        if (someOut && (m_wasCut || m_wasDown || !someRead))
            return;
        m_noFaultsUntil = m_fleet->now() + 3s;
        m_fleet->declareTarget("worker-1", "model", 2, chance(0.5));
        m_fleet->declareTarget("posting-1", "posting", 2, chance(0.5));
    }

    void stop()
    {
        m_wasDown = true;
        const std::size_t router = anyRouter();
        if (m_fleet->up(router))
            m_fleet->stop(router);
    }

    void heal()
    {
        m_fleet->stopDatagramLoss();
        for (std::size_t n = 0; n < m_scenario.routers; ++n) {
            if (m_paused[n])
                m_fleet->resume(n);
            m_fleet->setLogReachable(n, true);
            m_fleet->setLogDelay(n, {});
            m_fleet->isolate(n, false);
            for (std::size_t other = 0; other < m_scenario.routers; ++other)
                m_fleet->cutStreams(n, other, false);
        }
        for (const char* name : { "worker-1", "worker-2", "posting-1", "posting-2" }) {
            m_fleet->reviveTarget(name);
            m_fleet->target(name).faults.clear();
        }
        m_fleet->declareTarget("worker-1", "model", 2);
        m_fleet->declareTarget("posting-1", "posting", 2);
        m_fleet->run(20s); // Lets planned stops finish.
        for (std::size_t n = 0; n < m_scenario.routers; ++n) {
            if (!m_fleet->up(n))
                m_fleet->restart(n);
        }
    }

    Scenario m_scenario;
    SeededRandom m_random;
    std::unique_ptr<FleetFake> m_fleet;
    std::vector<bool> m_paused;
    std::vector<bool> m_logOut;
    bool m_wasCut = false;
    bool m_wasDown = false;
    TimePoint m_noFaultsUntil {};
    std::vector<Send> m_resendable;
    std::vector<RequestId> m_callersToDisconnect;
};

rc::Gen<Scenario> scenarioGenerator()
{
    return rc::gen::build<Scenario>(rc::gen::set(&Scenario::seed, rc::gen::arbitrary<std::uint64_t>()),
        rc::gen::set(&Scenario::routers, rc::gen::inRange<std::size_t>(1, 6)),
        rc::gen::set(&Scenario::cells, rc::gen::inRange<std::uint32_t>(1, 3)),
        rc::gen::set(&Scenario::steps, rc::gen::inRange(1, 60)),
        rc::gen::set(&Scenario::faults,
            rc::gen::container<std::vector<bool>>(ScheduleRunner::faultKinds, rc::gen::arbitrary<bool>())));
}

} // namespace

TEST_CASE("all invariants hold over random schedules")
{
    // Each request ends exactly once, non-repeatable requests run at most once, "not run" is reported only for requests
    // that did not run, answers are complete and belong to the request, leaving targets get no new work after three
    // seconds, everything ends after healing, and no slot is lost.
    REQUIRE(rc::check("invariants", [] {
        const Scenario scenario = *scenarioGenerator();
        ScheduleRunner runner(scenario, {});
        const std::set<Violation> violations = runner.run();
        if (!violations.empty())
            RC_LOG() << runner.fleet().details();
        RC_ASSERT(violations.empty());
    }));
}

namespace {

struct Mutant {
    std::string name;
    std::set<Violation> expected;
    InjectedBug injectedBug = InjectedBug::None;
    std::function<void(routing::RouterSettings&)> adjust {};
};

std::vector<Mutant> mutants()
{
    return {
        { "ends of attempts are lost", { Violation::NeverEnded }, InjectedBug::LosesAttemptEnds },
        { "answers are delivered twice", { Violation::EndedTwice }, InjectedBug::DuplicatesEnds },
        { "a run is reported as not sent", { Violation::DuplicateRun }, InjectedBug::RunReportedUnsent },
        { "the same, and nothing is retried", { Violation::FalseNotRun }, InjectedBug::RunReportedUnsent,
            [](routing::RouterSettings& it) { it.retries.attemptsMost = 1; } },
        { "every router that gets a resend runs it", { Violation::DuplicateResendRun },
            InjectedBug::ResendRunsAnywhere },
        { "a crossed answer is accepted as correct", { Violation::WrongAnswer }, InjectedBug::AcceptsCrossedAnswers },
        { "positions of a broken stream are forgotten", { Violation::SplicedAnswer }, InjectedBug::ForgetsPositions },
        { "messages are lost without breaking the stream", { Violation::NeverEnded, Violation::SlotLeak },
            InjectedBug::LosesMessages },
        { "a router never detects that it is isolated", { Violation::WorkOnLeavingTarget }, InjectedBug::None,
            [](routing::RouterSettings& it) {
                it.freshness = it.maxConfigLag = it.pauseThreshold = std::chrono::hours(1);
            } },
        { "a planned stop does not wait", { Violation::NeverEnded }, InjectedBug::None,
            [](routing::RouterSettings& it) { it.maxStopTime = Duration(0); } },
    };
}

} // namespace

TEST_CASE("each injected bug violates the expected invariants")
{
    // docs/design/testing.md lists these bugs. A property that none of them violates would prove nothing.
    for (const Mutant& mutant : mutants()) {
        std::set<Violation> missing = mutant.expected;
        for (std::uint64_t seed = 1; seed <= 40 && !missing.empty(); ++seed) {
            Scenario scenario { seed, 2 + seed % 4, 1 + static_cast<std::uint32_t>(seed % 2), 60,
                std::vector<bool>(ScheduleRunner::faultKinds, true) };
            FleetFake::Options options;
            options.injectedBug = mutant.injectedBug;
            options.adjust = mutant.adjust;
            for (const Violation it : ScheduleRunner(scenario, options).run())
                missing.erase(it);
        }
        INFO(mutant.name);
        REQUIRE(missing.empty());
    }
}
