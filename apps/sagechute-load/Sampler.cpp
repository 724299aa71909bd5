#include "Sampler.h"

#include <fstream>
#include <sstream>

namespace sagechute::load {

namespace {

    constexpr std::chrono::milliseconds fetchTimeout(1000);
    constexpr std::chrono::milliseconds finalFetchTimeout(5000);
    constexpr Duration routerSampleEvery = std::chrono::seconds(1);

    bool answered(const net::ClientResponse& response)
    {
        return net::isUncut(response.result.end) && response.result.httpStatus == 200;
    }

} // namespace

/// The targets' answers to one round of questions.
struct Sampler::Round {
    std::map<std::string, TargetStats> stats;
    std::map<PoolId, double> busySlotSeconds;
    std::map<PoolId, double> slotSeconds;
    std::map<DemandKey, unsigned> running;
    bool tellsRunning = false;
    std::size_t open = 0; ///< Questions without an answer yet.
};

Sampler::Sampler(const Plan& plan, EventLoop& loop, net::HttpClient& http, Callers& callers)
    : m_plan(plan)
    , m_loop(loop)
    , m_http(http)
    , m_callers(callers)
{
    for (const TargetPlan& it : plan.targets) {
        m_pools[it.pool];
        m_targets[it.name];
    }
    for (const RouterPlan& it : plan.routers)
        m_routers[it.vm];
}

void Sampler::start()
{
    m_startedAt = steadyNow();
    beginRound();
    sampleRouters();
    const auto repeatRuns = [this](auto&& self) -> void {
        if (m_finishing)
            return;
        fetchRuns([this, self] { m_loop.after(m_plan.runsEvery, [self] { self(self); }); });
    };
    m_loop.after(m_plan.runsEvery, [repeatRuns] { repeatRuns(repeatRuns); });
}

void Sampler::finish(const std::function<void()>& done)
{
    m_finishing = true;
    readEvents();
    fetchRuns(done);
}

bool Sampler::warmedUp() const { return steadyNow() >= m_startedAt + m_plan.warmUp; }

void Sampler::fetch(const std::string& url, std::function<void(const net::ClientResponse&)> use)
{
    net::ClientRequest request;
    request.url = "http://" + url;
    request.totalTimeout = m_finishing ? finalFetchTimeout : fetchTimeout;
    m_http.start(std::move(request), std::make_unique<CollectingSink>(m_loop, std::move(use)));
}

void Sampler::beginRound()
{
    if (m_finishing)
        return;
    readEvents();
    const auto round = std::make_shared<Round>(); // Shared by the answers still to come.
    round->open = m_plan.targets.size();
    for (const TargetPlan& target : m_plan.targets) {
        fetch(
            target.address + "/standin/stats", [this, round, name = target.name](const net::ClientResponse& response) {
                onStats(*round, name, response);
                if (--round->open == 0)
                    endRound(*round);
            });
    }
    m_loop.after(m_plan.sampleEvery, [this, round] {
        // A target that hangs must not stop the sampling of the others; its late answer is ignored.
        if (round->open > 0) {
            round->open = 0;
            endRound(*round);
        }
        beginRound();
    });
}

void Sampler::onStats(Round& round, const std::string& target, const net::ClientResponse& response)
{
    if (!answered(response))
        return;
    if (absl::StatusOr<TargetStats> stats = parseTargetStats(response.body); stats.ok())
        round.stats[target] = *std::move(stats);
}

void Sampler::endRound(Round& round)
{
    round.open = 0;
    for (const TargetPlan& it : m_plan.targets)
        sampleTarget(round, it);
    for (auto& it : m_pools)
        samplePool(round, it.first, it.second);
}

void Sampler::sampleTarget(Round& round, const TargetPlan& plan)
{
    TargetFindings& findings = m_targets[plan.name];
    const auto it = round.stats.find(plan.name);
    if (it == round.stats.end()) {
        findings.last.reset();
        ++findings.missedSamples;
        return;
    }
    const TargetStats& now = it->second;
    for (const auto& cost : now.costByCustomer)
        m_service[plan.name][CustomerId { cost.first }].advance(cost.second);
    round.tellsRunning = round.tellsRunning || now.tellsRunningByCustomer;
    for (const auto& started : now.startedByCustomer)
        m_started[plan.name][CustomerId { started.first }].advance(static_cast<double>(started.second));
    for (const auto& running : now.runningByCustomer)
        round.running[{ plan.pool, CustomerId { running.first } }] += running.second;
    findings.lastStartAtUnix = std::max(findings.lastStartAtUnix, now.lastStartedAtUnix);
    const bool sameLife = findings.last && now.sinceSeconds > findings.last->sinceSeconds;
    if (sameLife && !findings.leaveAcceptedAtUnix) {
        round.busySlotSeconds[plan.pool] += now.busySlotSeconds - findings.last->busySlotSeconds;
        round.slotSeconds[plan.pool] += now.slots * (now.sinceSeconds - findings.last->sinceSeconds);
    }
    findings.last = now;
}

unsigned Sampler::runningOf(const Round& round, const DemandKey& key)
{
    if (round.tellsRunning) {
        const auto it = round.running.find(key);
        return it == round.running.end() ? 0 : it->second;
    }
    // Without the targets' own word: what they started less what has ended for its caller. A retry counts as two starts
    // and one end, so this errs towards too many running, hence towards too few backlogged.
    double started = 0;
    for (const TargetPlan& it : m_plan.targets) {
        if (it.pool == key.pool)
            started += m_started[it.name][key.customer].total();
    }
    const auto ended = static_cast<double>(m_callers.demand()[key].endedAfterRun);
    return static_cast<unsigned>(std::max(0.0, started - ended));
}

PoolSample Sampler::poolSample(const Round& round, const PoolId& pool)
{
    PoolSample sample;
    sample.time = steadyNow();
    if (const auto it = round.busySlotSeconds.find(pool); it != round.busySlotSeconds.end())
        sample.busySlotSeconds = it->second;
    if (const auto it = round.slotSeconds.find(pool); it != round.slotSeconds.end())
        sample.slotSeconds = it->second;
    for (auto& demand : m_callers.demand()) {
        if (demand.first.pool != pool)
            continue;
        CustomerSample customer;
        customer.customer = demand.first.customer;
        customer.weight = m_plan.customer(customer.customer)->weight;
        for (const TargetPlan& target : m_plan.targets) {
            if (target.pool == pool)
                customer.service += m_service[target.name][customer.customer].total();
        }
        const unsigned runningNow = runningOf(round, demand.first);
        const unsigned running = std::max(runningNow, m_runningLast[demand.first]);
        m_runningLast[demand.first] = runningNow;
        const unsigned outstanding = demand.second.outstanding.take();
        customer.leastWaiting = outstanding > running ? outstanding - running : 0;
        sample.customers.push_back(std::move(customer));
    }
    return sample;
}

void Sampler::samplePool(const Round& round, const PoolId& pool, PoolFindings& findings)
{
    const PoolSample sample = poolSample(round, pool);
    if (!warmedUp())
        return;
    std::size_t backlogged = 0;
    for (const CustomerSample& it : sample.customers)
        backlogged += it.leastWaiting > 0 ? 1 : 0;
    for (const CustomerSample& it : sample.customers) {
        const Cost gained = findings.service[it.customer].advance(it.service);
        if (backlogged >= 2)
            findings.serviceWhileContended[it.customer] += gained;
    }
    findings.meter.sample(sample);
}

void Sampler::sampleRouters()
{
    if (m_finishing)
        return;
    for (const RouterPlan& router : m_plan.routers) {
        fetch(router.address + "/metrics", [this, &router](const net::ClientResponse& response) {
            if (answered(response))
                onMetrics(router, response);
        });
    }
    m_loop.after(routerSampleEvery, [this] { sampleRouters(); });
}

void Sampler::onMetrics(const RouterPlan& router, const net::ClientResponse& response)
{
    const std::vector<MetricSample> samples = parseMetrics(response.body);
    RouterFindings& findings = m_routers[router.vm];
    const ProcessUsage usage = processUsage(router.processId);
    const double resident = usage.residentBytes > 0 ? static_cast<double>(usage.residentBytes)
                                                    : sumOf(samples, "process_resident_memory_bytes");
    findings.residentBytesMax = std::max(findings.residentBytesMax, resident);
    findings.waitingRequestsMax = std::max(findings.waitingRequestsMax, sumOf(samples, "sagechute_waiting_requests"));
    findings.controlBytes.advance(sumOf(samples, "sagechute_control_bytes_total"));
    findings.coreCpuSeconds.advance(sumOf(samples, "sagechute_core_cpu_seconds"));
    findings.processCpuSeconds.advance(usage.cpuSeconds);
    std::map<std::string, double> byPurpose;
    for (const MetricSample& it : samples) {
        if (it.name == "sagechute_control_bytes_total" && it.labels.contains("purpose"))
            byPurpose[it.labels.at("purpose")] += it.value;
        if (it.labels.contains("pool"))
            onPoolMetric(m_pools[PoolId { it.labels.at("pool") }], it);
    }
    for (const auto& it : byPurpose)
        findings.controlBytesByPurpose[it.first].advance(it.second);
    onControlBytes(findings, router.vm, steadyNow());
}

void Sampler::onPoolMetric(PoolFindings& pool, const MetricSample& sample)
{
    if (sample.name == "sagechute_fairness_gap_bound")
        pool.routerBound = std::max(pool.routerBound, sample.value);
    else if (sample.name == "sagechute_fairness_gap")
        pool.routerGapMax = std::max(pool.routerGapMax, sample.value);
}

void Sampler::onControlBytes(RouterFindings& findings, const std::string& vm, TimePoint now)
{
    constexpr Duration window = std::chrono::seconds(5);
    if (m_routerSampled.contains(vm))
        findings.sampledSeconds += std::chrono::duration<double>(now - m_routerSampled[vm]).count();
    m_routerSampled[vm] = now;
    std::vector<ControlPoint>& points = m_controlPoints[vm];
    points.push_back({ now, findings.controlBytes.total() });
    while (points.size() > 2 && points[1].time <= now - window)
        points.erase(points.begin());
    const double seconds = std::chrono::duration<double>(now - points.front().time).count();
    if (now - points.front().time >= window)
        findings.peakControlBytesPerSecond
            = std::max(findings.peakControlBytesPerSecond, (points.back().bytes - points.front().bytes) / seconds);
}

void Sampler::fetchRuns(const std::function<void()>& done)
{
    const auto open = std::make_shared<std::size_t>(m_plan.targets.size()); // Shared by the answers still to come.
    if (*open == 0)
        return done();
    for (const TargetPlan& target : m_plan.targets) {
        fetch(target.address + "/standin/runs?min=1",
            [this, open, done, name = target.name](const net::ClientResponse& response) {
                recordRuns(name, response);
                if (--*open == 0)
                    done();
            });
    }
}

void Sampler::recordRuns(const std::string& target, const net::ClientResponse& response)
{
    if (!answered(response))
        return;
    absl::StatusOr<TargetRuns> runs = parseTargetRuns(response.body);
    if (!runs.ok())
        return;
    TargetFindings& findings = m_targets[target];
    if (runs->total < findings.lifeRuns)
        ++findings.life;
    findings.lifeRuns = runs->total;
    m_runs.record(target, findings.life, std::move(runs->tags));
}

void Sampler::readEvents()
{
    if (m_plan.eventsFile.empty())
        return;
    std::ostringstream text;
    text << std::ifstream(m_plan.eventsFile).rdbuf();
    m_events = parseScriptEvents(text.str());
    for (const ScriptEvent& it : m_events) {
        if (it.event == "target-leave-accepted" && m_targets.contains(it.target))
            m_targets[it.target].leaveAcceptedAtUnix = it.atUnix;
    }
}

} // namespace sagechute::load
