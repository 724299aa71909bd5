#pragma once

/// @file
/// Samples targets and routers while the callers work.

#include "Callers.h"
#include "Observations.h"

#include <optional>
#include <set>

namespace sagechute::load {

/// What was seen of one pool.
struct PoolFindings {
    PoolMeter meter;
    std::map<CustomerId, ResettingCounter> service; ///< As the targets count it, without the warm-up.
    std::map<CustomerId, Cost>
        serviceWhileContended; ///< Gained in intervals in which two or more customers were backlogged.
    double routerGapMax = 0; ///< The routers' own measured gap.
    double routerBound = 0; ///< The largest bound that a router exported; 0: none.
};

/// What was seen of one router.
struct RouterFindings {
    ResettingCounter controlBytes; ///< Both directions, all purposes.
    ResettingCounter coreCpuSeconds;
    ResettingCounter processCpuSeconds; ///< From /proc.
    std::map<std::string, ResettingCounter> controlBytesByPurpose;
    double peakControlBytesPerSecond = 0; ///< Over any window of five seconds.
    double residentBytesMax = 0;
    double waitingRequestsMax = 0;
    double sampledSeconds = 0;
};

/// What was seen of one target.
struct TargetFindings {
    std::optional<TargetStats> last; ///< Of the round before; empty when it did not answer.
    std::chrono::milliseconds lastStartAtUnix { 0 }; ///< As the target says.
    std::optional<std::chrono::milliseconds> leaveAcceptedAtUnix;
    std::uint64_t lifeRuns = 0;
    std::int64_t life = 0; ///< Counts restarts seen.
    unsigned missedSamples = 0;
};

/// Asks all targets and routers in rounds. All members run on the loop.
class Sampler {
public:
    Sampler(const Plan&, EventLoop&, net::HttpClient&, Callers&);

    void start();

    /// Ends the rounds and fetches the run counts a last time.
    /// @param done run on the loop once every target has answered or timed out.
    void finish(const std::function<void()>& done);

    const std::map<PoolId, PoolFindings>& pools() const { return m_pools; }
    const std::map<std::string, RouterFindings>& routers() const { return m_routers; }
    const std::map<std::string, TargetFindings>& targets() const { return m_targets; }
    const RunCounter& runs() const { return m_runs; }
    const std::vector<ScriptEvent>& events() const { return m_events; }

private:
    struct Round;
    struct ControlPoint {
        TimePoint time;
        double bytes = 0;
    };

    void beginRound();
    void fetch(const std::string& url, std::function<void(const net::ClientResponse&)> use);
    void onStats(Round&, const std::string& target, const net::ClientResponse&);
    void endRound(Round&);
    void sampleTarget(Round&, const TargetPlan&);
    PoolSample poolSample(const Round&, const PoolId&);
    unsigned runningOf(const Round&, const DemandKey&);
    void samplePool(const Round&, const PoolId&, PoolFindings&);
    void sampleRouters();
    void onMetrics(const RouterPlan&, const net::ClientResponse&);
    static void onPoolMetric(PoolFindings&, const MetricSample&);
    void onControlBytes(RouterFindings&, const std::string& vm, TimePoint);
    void fetchRuns(const std::function<void()>& done);
    void recordRuns(const std::string& target, const net::ClientResponse&);
    void readEvents();
    bool warmedUp() const;

    const Plan& m_plan;
    EventLoop& m_loop;
    net::HttpClient& m_http;
    Callers& m_callers;
    std::map<PoolId, PoolFindings> m_pools;
    std::map<std::string, RouterFindings> m_routers;
    std::map<std::string, TargetFindings> m_targets;
    std::map<std::string, std::map<CustomerId, ResettingCounter>> m_service; ///< By target.
    std::map<std::string, std::map<CustomerId, ResettingCounter>> m_started; ///< By target.
    std::map<std::string, std::vector<ControlPoint>> m_controlPoints; ///< By router, of the last few seconds.
    std::map<std::string, TimePoint> m_routerSampled;
    std::map<DemandKey, unsigned> m_runningLast;
    RunCounter m_runs;
    std::vector<ScriptEvent> m_events;
    TimePoint m_startedAt;
    bool m_finishing = false;
};

} // namespace sagechute::load
