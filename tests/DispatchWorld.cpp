#include "DispatchWorld.h"

namespace sagechute::dispatch {

namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint start { 1000s };
    constexpr Duration step = 5ms;
    constexpr Duration reportEvery = 60ms;
    constexpr Duration firstBase = 55ms;
    constexpr Duration streamTime = 800ms;
    constexpr Duration listedAfterLoss = 3600ms;
    constexpr unsigned customers = 10;
    constexpr std::uint32_t tokensOut = 120;
    constexpr unsigned mostAsks = 4;

    /// Routers of a fleet in which reports come over relays.
    constexpr unsigned largeFleet = 295;
    constexpr Duration homesTrusted = 20s;
    const VmId sumOfOthers { "sum" };
    const std::string pinned = "pinned";

    std::size_t secondOf(TimePoint now) { return static_cast<std::size_t>((now - start) / 1s); }

    double tokensOf(const PromptSize& prompt) { return prompt.tokensIn + 2.0 * prompt.tokensOut; }

} // namespace

void add(Outcome& sum, const Outcome& other)
{
    sum.asked += other.asked;
    sum.onTime += other.onTime;
    sum.late += other.late;
    sum.refused += other.refused;
    sum.smallAsked += other.smallAsked;
    sum.smallOnTime += other.smallOnTime;
    sum.tokensRead += other.tokensRead;
    sum.largeAsked += other.largeAsked;
    sum.largeRefused += other.largeRefused;
    sum.smallKindAsked += other.smallKindAsked;
    sum.smallKindRefused += other.smallKindRefused;
    sum.askedAfterLoss += other.askedAfterLoss;
    sum.onTimeAfterLoss += other.onTimeAfterLoss;
}

DispatchWorld::DispatchWorld(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed)
    : m_pattern(pattern)
    , m_policy(policy)
    , m_random(seed)
{
    FleetConfig config;
    config.version = 1;
    const double readPerSecond = pattern.engines * pattern.engineTokensPerMs * 1000;
    config.tokensPerSecond = policy.isSharing ? readPerSecond * pattern.toldCapacity : 0;
    config.services = { { { "llm" }, 100, EngineProfile { 64, pattern.engineMemory, 3 } } };
    Route route;
    route.kind = RequestKind::Stream;
    route.goal = pattern.goal;
    route.timeout = 12s;
    route.name = "main";
    Route small = route;
    small.name = "small";
    small.goal = pattern.smallGoal;
    config.routes = { route, small };
    m_table = RoutingTable::make(config);
    for (unsigned i = 0; i < pattern.engines; ++i) {
        const TargetId id { "e" + std::to_string(i) };
        m_targets.push_back({ id, { "llm" }, "127.0.0.1:1", { "z" }, 64, false });
        m_engines[id].id = id;
        m_engines[id].kept.setCapacity(pattern.engineMemory);
    }
    makeRouters(start, Duration::zero());
}

void DispatchWorld::makeRouters(TimePoint now, Duration homesTrusted)
{
    DispatchSettings settings;
    settings.homesTrusted = homesTrusted;
    settings.homeWeight = m_policy.homeWeight;
    if (!m_policy.isAdmitting)
        settings.admitShare = 1e6;
    if (!m_policy.isAffine) {
        settings.readWeight = 1;
        settings.homeWeight = 0;
    }
    m_routers.clear();
    for (unsigned i = 0; i < m_pattern.routers; ++i) {
        m_routers.push_back(Dispatcher::make(settings, { "z" }, m_random.below(1U << 31)));
        m_routers.back()->setConfig(m_table);
        m_routers.back()->setTargets(now, m_targets);
        m_routers.back()->setRouterCount(m_pattern.isRelayed ? largeFleet : m_pattern.routers);
    }
}

void DispatchWorld::loseRouters(TimePoint now)
{
    if (m_areRoutersLost || m_pattern.routersLostAt == Duration::zero() || now < start + m_pattern.routersLostAt)
        return;
    m_areRoutersLost = true;
    m_events.clear();
    m_underWay.clear();
    makeRouters(now, m_policy.isTrusting ? homesTrusted : Duration::zero());
}

bool DispatchWorld::isAfterLoss(TimePoint at) const
{
    const TimePoint lostAt = start + m_pattern.routersLostAt;
    return m_areRoutersLost && at >= lostAt && at < lostAt + 4s;
}

DispatchWorld::Request DispatchWorld::draw(TimePoint now)
{
    const bool isHot = m_random.fraction() < m_pattern.hotCustomer;
    const auto shared = m_random.fraction() < m_pattern.hotPrompt
        ? 0
        : static_cast<std::uint64_t>(m_random.below(m_pattern.sharedParts));
    const std::uint32_t ownRange = m_pattern.ownMost - m_pattern.ownLeast;
    const auto own = static_cast<std::uint32_t>(m_pattern.ownLeast + m_random.below(ownRange));
    Request request;
    request.customer = isHot ? "hot" : "c" + std::to_string(m_random.below(customers - 1));
    const std::uint32_t sharedTokens = m_pattern.sharedTokens;
    if (m_pattern.pinnedCustomer > 0 && m_random.fraction() < m_pattern.pinnedCustomer)
        request.customer = pinned;
    request.prompt = { sharedTokens + own, tokensOut, { { shared, sharedTokens }, { ++m_ownPart, own } } };
    request.arrived = now;
    request.isLarge = own >= m_pattern.ownMost - ownRange / 10;
    if (m_pattern.smallKind > 0 && m_random.fraction() < m_pattern.smallKind) {
        request.isSmallKind = true;
        request.isLarge = false;
        const std::uint32_t half = m_pattern.smallTokens / 2;
        request.prompt = { 2 * half, tokensOut, { { 1000 + shared, half }, { ++m_ownPart, half } } };
    }
    return request;
}

Outcome DispatchWorld::play()
{
    double due = 0;
    TimePoint nextReport = start;
    for (TimePoint now = start; now < start + m_pattern.lasts; now += step) {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const Event it = m_events.begin()->second;
            m_events.erase(m_events.begin());
            if (it.isEnd)
                m_routers[it.router]->ended(now, it.attempt, AttemptEnd::Answered);
            else
                m_routers[it.router]->firstAnswer(now, it.attempt);
            if (!it.isEnd)
                m_tally.began(secondOf(now), it.request.customer, tokensOf(it.request.prompt));
        }
        while (!m_returns.empty() && m_returns.begin()->first <= now) {
            Request request = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            ask(now, std::move(request));
        }
        loseEngines(now);
        loseRouters(now);
        const bool isBurst = now >= start + 2s && now < start + 4s;
        due += m_pattern.requestsPerSecond * (isBurst ? m_pattern.burst : 1)
            * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1) {
            Request request = draw(now);
            ++m_outcome.asked;
            m_outcome.largeAsked += request.isLarge ? 1 : 0;
            m_outcome.smallKindAsked += request.isSmallKind ? 1 : 0;
            m_outcome.askedAfterLoss += isAfterLoss(now) ? 1 : 0;
            m_outcome.smallAsked += request.customer == "hot" ? 0 : 1;
            ask(now, std::move(request));
        }
        if (now >= nextReport) {
            report(now);
            nextReport = now + reportEvery;
        }
    }
    return m_outcome;
}

void DispatchWorld::loseEngines(TimePoint now)
{
    if (!m_pattern.lostEngines || now < start + 3s)
        return;
    for (unsigned i = 0; i < m_pattern.lostEngines; ++i)
        m_engines.at({ "e" + std::to_string(i) }).isLost = true;
    if (now < start + 3s + listedAfterLoss)
        return;
    std::vector<Target> left(m_targets.begin() + m_pattern.lostEngines, m_targets.end());
    for (const auto& it : m_routers)
        it->setTargets(now, left);
}

const Route& DispatchWorld::routeOf(const Request& request) const
{
    return m_table->config().routes[request.isSmallKind ? 1 : 0];
}

unsigned DispatchWorld::chooseRouter(const Request& request)
{
    const auto drawn = static_cast<unsigned>(m_random.below(m_pattern.routers));
    return request.customer == pinned ? 0 : drawn;
}

void DispatchWorld::countRefused(const Request& request)
{
    ++m_outcome.refused;
    m_outcome.largeRefused += request.isLarge ? 1 : 0;
    m_outcome.smallKindRefused += request.isSmallKind ? 1 : 0;
}

void DispatchWorld::ask(TimePoint now, Request request)
{
    const unsigned router = chooseRouter(request);
    m_tally.asked(secondOf(now), request.customer, tokensOf(request.prompt));
    Demand demand { { request.customer }, { "llm" }, &routeOf(request), request.prompt, 0, request.arrived, now + 12s,
        {} };
    if (!m_policy.isAffine)
        demand.prompt.parts = { { ++m_ownPart, request.prompt.tokensIn } };
    const Decision decision = m_routers[router]->place(now, demand, Round::First);
    if (const auto* placement = std::get_if<Placement>(&decision)) {
        serve(now, router, request, *placement);
        return;
    }
    m_tally.refused(secondOf(now), request.customer);
    const Duration comeBack = m_pattern.repeatsAtOnce ? Duration(20ms) : std::get<Refusal>(decision).comeBack;
    const unsigned most = m_pattern.repeatsAtOnce ? mostAsks : 2;
    if (++request.asks < most && now + comeBack < request.arrived + routeOf(request).goal) {
        m_returns.emplace(now + comeBack, std::move(request));
        return;
    }
    countRefused(request);
}

void DispatchWorld::serve(TimePoint now, unsigned router, const Request& request, const Placement& placement)
{
    Engine& engine = m_engines.at(placement.target.id);
    if (engine.isLost)
        return;
    const auto prefixes = prefixesOf(request.prompt.parts);
    const std::uint32_t read = request.prompt.tokensIn - engine.kept.keptTokens(prefixes);
    engine.kept.touch(prefixes);
    m_outcome.tokensRead += read;
    engine.busyUntil = std::max(engine.busyUntil, now)
        + Duration(static_cast<Duration::rep>(read / m_pattern.engineTokensPerMs * 1000));
    const TimePoint first = engine.busyUntil + firstBase;
    m_events.emplace(first, Event { request, router, placement.attempt, false });
    m_events.emplace(first + streamTime, Event { request, router, placement.attempt, true });
    const bool isOnTime = first - request.arrived <= routeOf(request).goal;
    m_outcome.onTime += isOnTime ? 1 : 0;
    m_outcome.late += isOnTime ? 0 : 1;
    m_outcome.onTimeAfterLoss += isOnTime && isAfterLoss(request.arrived) ? 1 : 0;
    m_outcome.smallOnTime += isOnTime && request.customer != "hot" ? 1 : 0;
}

bool DispatchWorld::areSumsLost(TimePoint now) const
{
    const TimePoint from = start + m_pattern.sumsLostFrom;
    return now >= from && now < from + m_pattern.sumsLostFor;
}

void DispatchWorld::report(TimePoint now)
{
    std::vector<LoadReport> reports;
    for (const auto& it : m_routers)
        reports.push_back(*decodeLoadReport(encode(it->report(now))));
    if (m_pattern.isRelayed)
        reportByRelay(now, std::move(reports));
    else
        reportToAll(now, reports);
}

void DispatchWorld::reportToAll(TimePoint now, const std::vector<LoadReport>& reports)
{
    for (std::size_t i = 0; i < reports.size(); ++i) {
        for (std::size_t k = 0; k < m_routers.size(); ++k) {
            if (k != i)
                m_routers[k]->peerReported(now, { "r" + std::to_string(i) }, reports[i]);
        }
    }
}

void DispatchWorld::reportByRelay(TimePoint now, std::vector<LoadReport> reports)
{
    m_underWay.push_back(std::move(reports));
    if (m_underWay.size() <= m_pattern.sumsLateBy)
        return;
    if (areSumsLost(now)) {
        m_underWay.pop_front();
        return;
    }
    LoadReport sum;
    for (const LoadReport& it : m_underWay.front())
        add(sum, it);
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        LoadReport others = sum;
        subtract(others, m_underWay.front()[i]);
        m_routers[i]->peerReported(now, sumOfOthers, others);
    }
    m_underWay.pop_front();
}

} // namespace sagechute::dispatch
