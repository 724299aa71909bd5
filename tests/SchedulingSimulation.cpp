#include "SchedulingSimulation.h"

#include <algorithm>
#include <cmath>

namespace sagechute::scheduling::test {

namespace {

    constexpr Duration kStep = std::chrono::milliseconds(5);
    constexpr Duration kDrainTimeout = std::chrono::seconds(120);
    constexpr std::uint64_t kStepsBetweenMoves = 10;
    constexpr double kCostPerMillisecond = 1; // on one slot
    constexpr std::uint64_t kEndedRetention = 500;
    constexpr Duration kWarmUp = std::chrono::seconds(2);

    Duration runTime(Cost cost) { return Duration(std::int64_t(cost / kCostPerMillisecond * 1000)); }

} // namespace

std::ostream& operator<<(std::ostream& out, Violation violation)
{
    constexpr const char* kNames[]
        = { "Gap", "MeasuredGap", "IdleSlot", "SlotsExceeded", "GrantedTwice", "AvoidIgnored", "Starved" };
    return out << kNames[std::size_t(violation)];
}

Simulation::Simulation(const SimulationSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    if (!m_settings.makeLedger)
        m_settings.makeLedger
            = [](const PoolId& pool, const RouterLife& life) { return ServiceLedger::make(pool, life); };
    const double hintFactors[] = { 0, 1, 1, 1e-9, 1e9, std::nan(""), -1 };
    for (std::uint32_t n = 0; n < settings.weights.size(); ++n) {
        Customer customer { CustomerId { "customer-" + std::to_string(n) }, settings.weights[n] };
        customer.meanCost = std::max(1.0, m_random.fraction() * settings.largestCost / 2);
        customer.hintFactor = hintFactors[m_random.below(std::size(hintFactors))];
        m_customers.push_back(customer);
    }
    for (std::uint32_t n = 0; n < settings.routers; ++n) {
        Router router { { VmId { "router-" + std::to_string(n) }, 1 } };
        router.ledger = m_settings.makeLedger(m_pool, router.life);
        router.placer = OfferPlacer::make(m_pool);
        for (const auto& it : m_customers)
            router.ledger->setWeight(it.id, it.weight);
        m_routers.push_back(std::move(router));
    }
    for (std::uint32_t cell = 0; cell < settings.cells; ++cell)
        takeOwnership(m_routers[cell], cell);
}

std::vector<CellTarget> Simulation::targetsOf(std::uint32_t cell) const
{
    std::vector<CellTarget> targets;
    for (std::uint32_t n = 0; n < m_settings.targetsPerCell; ++n)
        targets.push_back({ TargetId { std::to_string(cell) + "-" + std::to_string(n) }, m_settings.slotsPerTarget });
    return targets;
}

void Simulation::takeOwnership(Router& router, std::uint32_t cell)
{
    router.cell = cell;
    router.scheduler = CellScheduler::make({ m_pool, cell }, m_settings.cell, *router.ledger);
    if (m_settings.wrapScheduler)
        router.scheduler = m_settings.wrapScheduler(std::move(router.scheduler));
    router.scheduler->setTargets(targetsOf(cell));
    for (auto& it : m_routers)
        it.placer->setCells(m_settings.cells, it.cell ? std::vector { *it.cell } : std::vector<std::uint32_t> {});
    router.placer->setCells(m_settings.cells, { cell });
}

CellScheduler& Simulation::schedulerOf(const CellId& cell)
{
    const auto isOwner = [&](const Router& it) { return it.cell == cell.index; };
    return *std::find_if(m_routers.begin(), m_routers.end(), isOwner)->scheduler;
}

std::set<Violation> Simulation::run()
{
    runFor(m_settings.duration);
    m_arrivalsEnabled = false;
    const TimePoint end = m_now + kDrainTimeout;
    const auto isOpen = [](const auto& it) { return it.second.state != State::Ended; };
    while (m_now < end && std::any_of(m_requests.begin(), m_requests.end(), isOpen))
        step();
    if (std::any_of(m_requests.begin(), m_requests.end(), isOpen))
        m_violations.insert(Violation::Starved);
    return m_violations;
}

void Simulation::runFor(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end;)
        step();
}

void Simulation::step()
{
    m_now += kStep;
    finishRuns();
    removeEnded();
    expireGrants();
    if (m_settings.faults && m_arrivalsEnabled)
        injectFaults();
    if (m_arrivalsEnabled)
        generateArrivals();
    updateBaselines();
    for (auto& it : m_routers) {
        if (it.scheduler)
            scheduleCell(it);
    }
    if (m_settings.cells > 1 && m_now.time_since_epoch() / kStep % kStepsBetweenMoves == 0)
        moveOffers();
    exchangeSummaries();
    checkGaps();
}

void Simulation::removeEnded()
{
    // Keeps some ended requests for a while, so that late offers for them occur.
    std::erase_if(m_requests, [this](const auto& it) {
        if (it.second.state != State::Ended
            || (it.first.serial % 16 == 0 && it.first.serial + kEndedRetention > m_serial))
            return false;
        schedulerOf(it.second.cell).withdraw(m_now, it.first);
        return true;
    });
}

void Simulation::setState(Request& request, State state)
{
    if (request.state == State::Offered && state != State::Offered)
        m_routers[request.router].placer->offerRemoved(request.offer.customer, request.cell);
    Customer& customer = m_customers[request.customer];
    const bool counts = request.offer.avoid.empty();
    customer.waiting += counts * (int(state == State::Offered) - int(request.state == State::Offered));
    const auto holdsSlot = [](State it) { return it == State::Granted || it == State::Running; };
    m_used[request.target] += int(holdsSlot(state)) - int(holdsSlot(request.state));
    request.state = state;
}

void Simulation::finishRuns()
{
    for (auto& [id, request] : m_requests) {
        if (request.state != State::Running)
            continue;
        CellScheduler& scheduler = schedulerOf(request.cell);
        if (request.until <= m_now) {
            scheduler.settle(m_now, id, request.cost);
            setState(request, State::Ended);
            if (m_settings.faults && chance(0.1))
                scheduler.settle(m_now, id, request.cost);
        } else if (chance(0.05)) {
            const Cost soFar = request.cost * m_random.fraction();
            scheduler.progress(m_now, id, soFar);
            request.charged = std::max(request.charged, soFar);
        }
    }
}

void Simulation::expireGrants()
{
    for (auto& it : m_requests) {
        if (it.second.state == State::Granted && it.second.until <= m_now)
            setState(it.second, State::Offered);
    }
}

void Simulation::generateArrivals()
{
    const std::uint32_t window = m_settings.cells * m_settings.targetsPerCell * m_settings.slotsPerTarget + 2;
    for (std::uint32_t c = 0; c < m_customers.size(); ++c) {
        Customer& customer = m_customers[c];
        if (m_settings.idlePhases && chance(customer.active ? 0.003 : 0.002))
            customer.active = !customer.active;
        while (customer.active && customer.waiting < window)
            addRequest(c);
    }
}

void Simulation::addRequest(std::uint32_t c)
{
    const Customer& customer = m_customers[c];
    Request request;
    request.customer = c;
    // With several cells the load is uneven: customer 0 is alone on the first router and therefore in the first cell.
    request.router = m_settings.cells > 1 ? std::min(c, m_settings.routers - 1) : m_random.below(m_settings.routers);
    request.cost = std::min(m_settings.largestCost, customer.meanCost * (0.2 + 1.6 * m_random.fraction()));
    if (chance(0.05))
        request.cost = m_settings.largestCost;
    const Router& router = m_routers[request.router];
    request.offer.request = { router.life, ++m_serial };
    request.offer.customer = customer.id;
    request.offer.hint = request.cost * customer.hintFactor;
    request.offer.prefixes = { c % 2, m_random.below(4) * 2 + 1 };
    request.cell = { m_pool, 0 };
    if (m_settings.cells > 1)
        request.cell = router.placer->place(m_now, customer.id, router.ledger->virtualService(customer.id));
    if (m_settings.avoidance && chance(0.3))
        request.offer.avoid = { targetsOf(0)[m_random.below(m_settings.targetsPerCell)].id };
    request.offeredAt = m_now;
    request.state = State::Ended;
    setState(request, State::Offered);
    schedulerOf(request.cell).offer(m_now, request.offer);
    m_requests.emplace(request.offer.request, std::move(request));
}

void Simulation::moveOffers()
{
    for (auto& [id, request] : m_requests) {
        if (request.state != State::Offered)
            continue;
        Router& router = m_routers[request.router];
        const Cost service = router.ledger->virtualService(request.offer.customer);
        const auto cell = router.placer->findBetterCell(m_now, request.cell, request.offeredAt, service);
        if (!cell)
            continue;
        schedulerOf(request.cell).withdraw(m_now, id);
        router.placer->offerMoved(request.offer.customer, request.cell, *cell);
        request.cell = *cell;
        request.offeredAt = m_now;
        schedulerOf(request.cell).offer(m_now, request.offer);
    }
}

void Simulation::scheduleCell(Router& router)
{
    for (bool more = true; more;) {
        const auto grants = router.scheduler->schedule(m_now);
        for (const auto& it : grants)
            handleGrant(router, it);
        updateBaselines();
        checkIdleSlots(router);
        resolveGrants(router);
        updateBaselines();
        more = !grants.empty();
    }
    router.placer->updateDigest(m_now, router.scheduler->digest());
}

void Simulation::handleGrant(Router& router, const Grant& grant)
{
    const auto it = m_requests.find(grant.request);
    if (it == m_requests.end()) {
        router.scheduler->decline(m_now, grant.request);
        return;
    }
    Request& request = it->second;
    if (request.state == State::Granted || request.state == State::Running)
        m_violations.insert(Violation::GrantedTwice);
    const auto& avoid = request.offer.avoid;
    if (std::find(avoid.begin(), avoid.end(), grant.target) != avoid.end())
        m_violations.insert(Violation::AvoidIgnored);
    request.used = request.state == State::Offered && (!m_settings.faults || chance(0.9));
    request.declined = !request.used && chance(0.5);
    request.until = request.state == State::Ended ? m_now : grant.expires;
    request.charged = grant.charged;
    request.target = grant.target;
    setState(request, State::Granted);
    if (m_used[grant.target] > m_settings.slotsPerTarget)
        m_violations.insert(Violation::SlotsExceeded);

    Customer& customer = m_customers[request.customer];
    const Cost actual = request.used ? request.cost : 0;
    if (avoid.empty())
        customer.served += actual / customer.weight;
    m_largestCost = std::max({ m_largestCost, actual / customer.weight, grant.charged / customer.weight });
    m_largestError = std::max(m_largestError, std::abs(actual - grant.charged) / customer.weight);
}

void Simulation::resolveGrants(Router& router)
{
    for (auto& [id, request] : m_requests) {
        if (request.state != State::Granted || request.cell.index != *router.cell)
            continue;
        const bool hasEnded = request.until == m_now;
        if (request.used) {
            router.scheduler->started(m_now, id);
            setState(request, State::Running);
            request.until = m_now + runTime(request.cost);
        } else if (hasEnded || request.declined) {
            router.scheduler->decline(m_now, id);
            setState(request, hasEnded ? State::Ended : State::Offered);
            if (!hasEnded)
                router.scheduler->offer(m_now, request.offer);
        }
    }
}

void Simulation::checkIdleSlots(const Router& router)
{
    for (const auto& target : targetsOf(*router.cell)) {
        if (m_used[target.id] >= target.slots)
            continue;
        for (const auto& it : m_requests) {
            const auto& avoid = it.second.offer.avoid;
            const bool couldRun = it.second.state == State::Offered && it.second.cell.index == *router.cell
                && std::find(avoid.begin(), avoid.end(), target.id) == avoid.end();
            if (couldRun)
                m_violations.insert(Violation::IdleSlot);
        }
    }
}

void Simulation::updateBaselines()
{
    for (std::uint32_t a = 0; a < m_customers.size(); ++a) {
        for (std::uint32_t b = a + 1; b < m_customers.size(); ++b) {
            if (m_customers[a].waiting && m_customers[b].waiting)
                m_baselines.try_emplace({ a, b }, m_customers[a].served - m_customers[b].served);
            else
                m_baselines.erase({ a, b });
        }
    }
}

Cost Simulation::bound() const
{
    if (m_settings.cells > 1) {
        Cost bound = 0;
        for (const auto& it : m_routers)
            bound = std::max(bound, it.scheduler ? it.scheduler->stats().gapBound : 0);
        return bound;
    }
    const double slots = m_settings.targetsPerCell * m_settings.slotsPerTarget;
    return 3 * (1 + m_settings.boundSlack.value_or(m_settings.cell.affinitySlack))
        * (m_largestCost + slots * m_largestError);
}

void Simulation::checkGaps()
{
    m_gap = 0;
    for (const auto& [pair, baseline] : m_baselines)
        m_gap = std::max(m_gap, std::abs(m_customers[pair.first].served - m_customers[pair.second].served - baseline));
    // With several owners the bound estimates unreported charges from past summaries, so it needs a few of them.
    if (m_settings.cells > 1 && m_now.time_since_epoch() < kWarmUp)
        return;
    if (m_gap > bound())
        m_violations.insert(Violation::Gap);
    for (const auto& it : m_routers) {
        if (it.scheduler && it.ledger->measuredGap() > it.scheduler->stats().gapBound * (1 + 1e-9))
            m_violations.insert(Violation::MeasuredGap);
    }
}

} // namespace sagechute::scheduling::test
