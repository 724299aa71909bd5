#include "dispatch/LocalDispatcher.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// A token that is generated keeps an engine busy for about as long as two that are read.
    constexpr double writeWeight = 2;

    /// Added to the cost of a target whose answers are all failures; one that fails half has half of it. Well above the
    /// difference between a busy and an idle target, so that callers are spared a target that fails more than others.
    constexpr double failureCostMs = 400;

    /// Each request in flight makes an engine's steps about this much longer.
    constexpr double activeCostMs = 0.5;

    /// Added where no room is left: the request would wait for another's end, or push one out.
    constexpr double noRoomCostMs = 1000;

    /// A request is refused when it would wait for longer than its goal, for a customer that has had just its share, or
    /// than a part of it that falls with a power of how far the customer is above: those that have had the most are
    /// turned away first, and the engines' queues stay short for those that have had the least. These may be late
    /// rather than turned away, those that have had less than half all the more.
    constexpr double sharePower = 2;
    constexpr double leastLimit = 0.1;
    constexpr double mostLimit = 1.4;
    constexpr double halfShare = 0.5;
    constexpr double halfShareLimit = 3;

    /// From this multiple of its share a customer's requests begin to be turned away before they would be late.
    constexpr double balancedShare = 0.7;

    /// Part of its goal that a request may wait for others which would be late even if it did not wait.
    constexpr double lateWaitShare = 0.42;

    /// A size that is starved may wait for so many times what others of its kind did: with just as long the largest
    /// tenth of a flood is served 0.497 times as often as all on engines of 300 tokens a millisecond, with this 0.572
    /// times, for 1 to 3 % fewer answers on time (means of 24 replays).
    constexpr double starvedMargin = 1.05;

    /// Callers that were refused together must not return together.
    constexpr double comeBackSpread = 0.5;
    constexpr Duration leastComeBack = std::chrono::milliseconds(100);
    constexpr Duration mostComeBack = std::chrono::seconds(3);

    /// Targets turned the request away one after the other; by then their queues have moved.
    constexpr Duration offeredComeBack = std::chrono::milliseconds(300);

    /// Callers that wait for the same target to end its pause return over so long.
    constexpr Duration returnSpread = std::chrono::milliseconds(500);

    /// After so long a list of targets that lost one is read again.
    constexpr Duration noTargetComeBack = std::chrono::milliseconds(700);

    /// By then it is known whether a target has ended.
    constexpr Duration undecidedComeBack = std::chrono::milliseconds(500);

    /// A quarantine lasts until an operator ends it.
    constexpr Duration quarantinedComeBack = std::chrono::hours(1);

    double tokensOf(const PromptSize& prompt) { return prompt.tokensIn + writeWeight * prompt.tokensOut; }

    /// In a fleet of more routers than this, reports come over relays and are up to half a second old.
    constexpr unsigned mostFreshRouters = 12;

    /// Of how many targets a router of a large fleet chooses the best, beside those that keep the prompt or are its
    /// home.
    constexpr double sampledTargets = 8;

    /// What speaks for a home, as a part of what speaks for the one before it in the prompt's order.
    constexpr double nextHomeShare = 0.75;

    /// Homes that are looked at whatever they are believed to keep: two, so that one that is busy or lost has a
    /// successor that keeps the prompt.
    constexpr unsigned homes = 2;

    /// Part of a prompt's shared tokens that its homes are taken to keep when nobody has told of it since the start.
    /// With all of it too much is sent to homes that keep nothing, with none requests are refused that need little:
    /// 0.75 and 0.80 of them are on time in the four seconds after the loss of all routers, 0.87 with half (replay, see
    /// homeWeight).
    constexpr double trustedPart = 0.5;

} // namespace

std::unique_ptr<Dispatcher> Dispatcher::make(const DispatchSettings& settings, ZoneId ownZone, std::uint64_t seed)
{
    return std::make_unique<LocalDispatcher>(settings, std::move(ownZone), seed);
}

LocalDispatcher::LocalDispatcher(const DispatchSettings& settings, ZoneId ownZone, std::uint64_t seed)
    : m_settings(settings)
    , m_ownZone(std::move(ownZone))
    , m_random(seed)
    , m_shares(settings.shareWindow)
{
}

void LocalDispatcher::setConfig(std::shared_ptr<const RoutingTable> table)
{
    m_table = std::move(table);
    for (auto& [id, model] : m_targets)
        model->update(model->target(), m_table->findService(model->target().service));
}

void LocalDispatcher::setTargets(TimePoint now, const std::vector<Target>& targets)
{
    if (!m_trustUntil)
        m_trustUntil = now + m_settings.homesTrusted;
    std::set<TargetLife> present;
    for (const Target& it : targets) {
        present.insert(it.life());
        const Service* service = m_table ? m_table->findService(it.service) : nullptr;
        if (TargetModel* known = find(it.life()))
            known->update(it, service);
        else
            m_targets.emplace(
                it.life(), std::make_unique<TargetModel>(it, service, m_settings, typicalSpeed(it.service)));
    }
    noteLostTargets(now, targets, present);
    std::erase_if(m_targets, [&](const auto& it) { return !present.contains(it.first); });
}

void LocalDispatcher::noteLostTargets(
    TimePoint now, const std::vector<Target>& targets, const std::set<TargetLife>& present)
{
    std::map<std::string_view, const Target*> started;
    for (const Target& it : targets) {
        if (!m_listed.contains(it.life()))
            started.emplace(it.address, &it);
    }
    for (const auto& [life, model] : m_targets) {
        const Target& target = model->target();
        if (target.draining || !m_listed.contains(life))
            continue;
        const auto it = started.find(target.address);
        if (it != started.end() && it->second->service == target.service)
            m_crashes.replaced(now, model->key());
        else if (!present.contains(life))
            m_crashes.entryGone(now, model->key());
    }
    m_listed = present;
}

TargetSpeed LocalDispatcher::typicalSpeed(const ServiceId& service) const
{
    TargetSpeed sum { 0, 0 };
    unsigned n = 0;
    for (const auto& [life, model] : m_targets) {
        if (model->target().service != service)
            continue;
        sum.slowness += model->speed().slowness;
        sum.answerMs += model->speed().answerMs;
        ++n;
    }
    return n ? TargetSpeed { sum.slowness / n, sum.answerMs / n } : TargetSpeed::unknown();
}

void LocalDispatcher::setRouterCount(unsigned n)
{
    m_routers = n;
    m_mostRouters = std::max(m_mostRouters, n);
}

bool LocalDispatcher::hasTargets() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [this](const auto& it) {
        const Target& target = it.second->target();
        return !target.draining && m_table && m_table->findService(target.service);
    });
}

SharesView LocalDispatcher::shares(TimePoint now) const
{
    SharesView view = m_shares.view(now);
    view.capacity = windowCapacity();
    return view;
}

TargetModel* LocalDispatcher::find(const TargetLife& life) const
{
    const auto it = m_targets.find(life);
    return it == m_targets.end() ? nullptr : it->second.get();
}

RetryWindow& LocalDispatcher::retries(const ServiceId& service)
{
    return m_retries.try_emplace(service, m_settings).first->second;
}

double LocalDispatcher::windowCapacity() const
{
    const double perSecond = m_table ? m_table->config().tokensPerSecond : 0;
    return perSecond * std::chrono::duration<double>(m_settings.shareWindow).count();
}

std::optional<Refusal> LocalDispatcher::admitByCrashes(TimePoint now, quarantine::RequestKey key)
{
    switch (m_crashes.standing(now, key)) {
    case quarantine::Standing::Clear:
        return std::nullopt;
    case quarantine::Standing::Undecided:
        return Refusal { RefusalReason::Quarantined, undecidedComeBack, {} };
    case quarantine::Standing::Quarantined:
        break;
    }
    return Refusal { RefusalReason::Quarantined, quarantinedComeBack, {} };
}

Decision LocalDispatcher::place(TimePoint now, const Demand& demand, Round round)
{
    if (const std::optional<Refusal> refusal = admitByCrashes(now, demand.key))
        return *refusal;
    const std::vector<PrefixKey> prefixes = prefixesOf(demand.prompt.parts);
    const double tokens = tokensOf(demand.prompt);
    if (round == Round::First) {
        retries(demand.service).countRequest(now);
        m_shares.asked(now, demand.customer, tokens);
    }
    std::optional<Candidate> best = choose(now, demand, prefixes);
    if (!best)
        return refuseUnplaced(now, demand.service, noTargetComeBack);
    if (const std::optional<Refusal> refusal = admit(now, demand, *best))
        return *refusal;
    if (round == Round::AfterArrival && !retries(demand.service).take(now, m_mostRouters))
        return refuse(RefusalReason::RetryBudget, noTargetComeBack);
    if (round == Round::First)
        m_shares.granted(now, demand.customer, tokens);
    return commit(now, demand, *best, prefixes);
}

std::optional<LocalDispatcher::Candidate> LocalDispatcher::choose(
    TimePoint now, const Demand& demand, const std::vector<PrefixKey>& prefixes)
{
    std::optional<Candidate> best;
    // Where reports are old, all routers see the same few targets idle and would send to them together. Each looks at
    // a part of its own instead.
    const double sampledPart
        = m_routers > mostFreshRouters ? sampledTargets / std::max<double>(1, m_targets.size()) : 1;
    // A second look takes those that were tried or are avoided: better a doubtful target than none.
    for (const bool isPicky : { true, false }) {
        const std::vector<TargetModel*> usable = usableTargets(now, demand, isPicky);
        const HomeOrder homeOrder(usable, prefixes);
        for (TargetModel* model : usable) {
            const std::optional<unsigned> homeRank = homeOrder.rankOf(*model);
            if (isPicky && !isConsidered(*model, demand, prefixes, homeRank, sampledPart))
                continue;
            const Candidate candidate = weigh(now, *model, demand, prefixes, homeRank);
            if (!best || candidate.cost < best->cost)
                best = candidate;
        }
        if (best)
            break;
    }
    return best;
}

std::vector<TargetModel*> LocalDispatcher::usableTargets(TimePoint now, const Demand& demand, bool isPicky) const
{
    std::vector<TargetModel*> usable;
    usable.reserve(m_targets.size());
    for (const auto& [life, model] : m_targets) {
        if (model->target().service != demand.service || !takesRequests(now, life, *model))
            continue;
        const bool isAvoided = model->isAvoided(now) || m_backoffs.isOnTrial(now, life);
        if (isPicky && (isAvoided || demand.tried.contains(life)))
            continue;
        usable.push_back(model.get());
    }
    return usable;
}

bool LocalDispatcher::isConsidered(const TargetModel& model, const Demand& demand,
    const std::vector<PrefixKey>& prefixes, std::optional<unsigned> homeRank, double sampledPart)
{
    if (sampledPart >= 1 || m_random.fraction() < sampledPart)
        return true;
    if (prefixes.size() < 2)
        return false;
    const std::uint32_t own = prefixes.back().tokens;
    return (homeRank && *homeRank < homes) || model.tokensToRead(demand.prompt, prefixes) <= own;
}

LocalDispatcher::Candidate LocalDispatcher::weigh(TimePoint now, TargetModel& model, const Demand& demand,
    const std::vector<PrefixKey>& prefixes, std::optional<unsigned> homeRank) const
{
    Candidate candidate { &model };
    candidate.tokensToRead = model.tokensToRead(demand.prompt, prefixes);
    if (homeRank && *homeRank < homes && isTrusted(now, prefixes)) {
        const std::uint32_t own = std::min(candidate.tokensToRead, prefixes.back().tokens);
        const double shared = candidate.tokensToRead - own;
        candidate.tokensToRead = own + static_cast<std::uint32_t>((1 - trustedPart) * shared);
    }
    const TargetUse inFlight = model.use(now);
    candidate.predictedFirst = model.predictFirst(inFlight, candidate.tokensToRead);
    double cost = Milliseconds(candidate.predictedFirst).count();
    cost += (m_settings.readWeight - 1) * candidate.tokensToRead / m_settings.readTokensPerMs;
    cost += failureCostMs * model.failureShare();
    cost += activeCostMs * inFlight.active;
    if (model.target().zone != m_ownZone)
        cost += zoneCostMs(demand);
    if (!model.hasRoom(inFlight, demand.prompt.tokensIn + demand.prompt.tokensOut))
        cost += noRoomCostMs;
    if (homeRank)
        cost -= homeBonusMs(demand.prompt, prefixes) * std::pow(nextHomeShare, *homeRank);
    candidate.cost = cost;
    return candidate;
}

double LocalDispatcher::homeBonusMs(const PromptSize& prompt, const std::vector<PrefixKey>& prefixes) const
{
    const std::uint32_t shared = prompt.tokensIn - std::min(prompt.tokensIn, prefixes.back().tokens);
    return m_settings.homeWeight * shared / m_settings.readTokensPerMs;
}

bool LocalDispatcher::isTrusted(TimePoint now, const std::vector<PrefixKey>& prefixes) const
{
    return isTrusting(now) && !m_heardOf.contains(sharedRun(prefixes).key);
}

void LocalDispatcher::heardOf(TimePoint now, std::uint64_t prefix)
{
    // Later nobody asks, and a router that lives for weeks hears of ever more prompts.
    if (isTrusting(now))
        m_heardOf.insert(prefix);
    else
        m_heardOf.clear();
}

double LocalDispatcher::zoneCostMs(const Demand& demand) const
{
    constexpr double kilobyte = 1024;
    // Each event has a frame of its own around some bytes a token.
    constexpr double answerBytesPerToken = 20;
    const double bytes
        = static_cast<double>(demand.bytes) + answerBytesPerToken * static_cast<double>(demand.prompt.tokensOut);
    return Milliseconds(m_settings.zonePenalty).count()
        + bytes / kilobyte * Milliseconds(m_settings.zonePenaltyPerKilobyte).count();
}

double LocalDispatcher::waitLimit(double share) const
{
    if (share <= 0)
        return m_settings.admitShare;
    if (share < halfShare)
        return m_settings.admitShare * halfShareLimit;
    return m_settings.admitShare * std::clamp(1 / std::pow(share, sharePower), leastLimit, mostLimit);
}

std::optional<Refusal> LocalDispatcher::admit(TimePoint now, const Demand& demand, Candidate& best)
{
    const Duration goal = demand.route->goal;
    if (goal <= Duration::zero())
        return std::nullopt;
    const bool isEngine = !demand.prompt.parts.empty() || demand.prompt.tokensIn > 0;
    const bool isShared = isEngine && windowCapacity() > 0;
    Admission& admission = best.admission;
    const double share = isShared ? m_shares.overShare(now, demand.customer, windowCapacity()) : 0;
    admission.share = share;
    admission.sumsAge = m_shares.sumsAge(now);
    admission.isFarAbove = isShared && m_shares.isFarAboveOthers(now, demand.customer);
    if (admission.isFarAbove)
        return refuse(RefusalReason::OverShare, noTargetComeBack, admission);
    const Duration own = best.model->readTime(best.tokensToRead);
    admission.wait = best.predictedFirst - own;
    const double tokens = tokensOf(demand.prompt);
    SizeBalance& sizes = m_sizes[{ demand.route->name, share > 1 }];
    allowWait(admission, demand, own, sizes);
    const bool isTaken = admission.wait <= admission.allowed;
    sizes.decided(now, tokens, admission.wait, isTaken);
    if (share > balancedShare)
        m_kinds[demand.service].decided(now, demand.route->name, tokens, isTaken);
    if (isTaken)
        return std::nullopt;
    const Duration tooLong = admission.wait - admission.allowed;
    return refuse(share > 1 ? RefusalReason::OverShare : RefusalReason::Overloaded, tooLong, admission);
}

void LocalDispatcher::allowWait(
    Admission& admission, const Demand& demand, Duration own, const SizeBalance& sizes) const
{
    const Duration goal = demand.route->goal;
    const double tokens = tokensOf(demand.prompt);
    const SizeBalance::Standing standing = sizes.standing(tokens);
    const bool isHelped = standing != SizeBalance::Standing::Even;
    const double countedPart = isHelped ? std::min(1.0, sizes.meanTokens() / tokens) : 1;
    // A large prompt takes longer to read than its goal allows. Refusing it for that would refuse it for good, so it
    // may wait for others like a small one, for a part of its goal; it counts like one of the mean size where its size
    // was turned away far more often, and waits as long as others of its kind did where that is not enough. Without
    // that, 0.11 to 0.16 of a flooding customer's largest tenth are served and 0.46 to 0.56 of all, with it half as
    // many as of all (replay of a flood of many sizes, engines of 22 to 300 tokens a millisecond).
    const auto upTo = [&](double limit, double part) {
        const auto onTime = std::chrono::duration_cast<Duration>(limit * goal - part * own);
        const auto leastWait = std::chrono::duration_cast<Duration>(limit * lateWaitShare * goal);
        return std::max(onTime, leastWait);
    };
    const double limit = waitLimit(admission.share);
    Duration allowed = upTo(limit, countedPart);
    const auto kinds = m_kinds.find(demand.service);
    if (admission.share > balancedShare && kinds != m_kinds.end()) {
        const double factor = kinds->second.factor(demand.route->name);
        allowed = std::chrono::duration_cast<Duration>(factor * allowed);
    }
    admission.allowed = std::min(allowed, upTo(std::max(limit, m_settings.admitShare), 1));
    if (standing != SizeBalance::Standing::Starved)
        return;
    const auto helped = std::chrono::duration_cast<Duration>(starvedMargin * sizes.takenWait());
    admission.isSizeHelped = helped > admission.allowed;
    admission.allowed = std::max(admission.allowed, helped);
}

Refusal LocalDispatcher::refuse(RefusalReason reason, Duration comeBack, const Admission& admission)
{
    const double spread = 1 + comeBackSpread * m_random.fraction();
    const Duration spreadOut = std::chrono::duration_cast<Duration>(comeBack * spread);
    return { reason, std::clamp(spreadOut, leastComeBack, mostComeBack), admission };
}

std::optional<TimePoint> LocalDispatcher::allPausedUntil(TimePoint now, const ServiceId& service) const
{
    std::optional<TimePoint> first;
    for (const auto& [life, model] : m_targets) {
        if (model->target().service != service || model->target().draining)
            continue;
        const std::optional<TimePoint> end = m_backoffs.end(now, life);
        if (!end)
            return std::nullopt;
        first = std::min(first.value_or(*end), *end);
    }
    return first;
}

Refusal LocalDispatcher::refuseUnplaced(TimePoint now, const ServiceId& service, Duration otherwise)
{
    const std::optional<TimePoint> until = allPausedUntil(now, service);
    if (!until)
        return refuse(RefusalReason::NoTarget, otherwise);
    const auto spread = std::chrono::duration_cast<Duration>(m_random.fraction() * returnSpread);
    return { RefusalReason::Backoff, *until - now + spread, {} };
}

Refusal LocalDispatcher::giveUp(TimePoint now, const ServiceId& service)
{
    return refuseUnplaced(now, service, offeredComeBack);
}

bool LocalDispatcher::backOff(TimePoint now, const TargetLife& life, Duration pause)
{
    return m_backoffs.ask(now, life, pause);
}

bool LocalDispatcher::maySend(TimePoint now, const TargetLife& life) const
{
    const TargetModel* model = find(life);
    return model && takesRequests(now, life, *model);
}

bool LocalDispatcher::takesRequests(TimePoint now, const TargetLife& life, const TargetModel& model) const
{
    return !model.target().draining && !m_backoffs.isPaused(now, life);
}

Placement LocalDispatcher::commit(
    TimePoint now, const Demand& demand, const Candidate& best, const std::vector<PrefixKey>& prefixes)
{
    const std::uint32_t memoryTokens = demand.prompt.tokensIn + demand.prompt.tokensOut;
    best.model->placed(now, best.tokensToRead, memoryTokens, prefixes, best.predictedFirst);
    const TargetLife life = best.model->target().life();
    m_backoffs.placed(now, life, m_settings.avoidAfterFailure);
    notePlaced(now, best.model->key(), prefixes);
    m_crashes.sent(now, best.model->key(), best.model->target().address);
    m_attempts[++m_lastAttempt]
        = { life, best.tokensToRead, memoryTokens, now, best.predictedFirst, false, demand.key };
    return { m_lastAttempt, best.model->target(), best.tokensToRead, best.predictedFirst, best.admission };
}

void LocalDispatcher::notePlaced(TimePoint now, TargetKey target, const std::vector<PrefixKey>& prefixes)
{
    if (prefixes.empty())
        return;
    PlacedPrompts& placed = m_placed[target];
    for (auto it = prefixes.begin(); it + 1 != prefixes.end(); ++it) {
        placed.shared.emplace(it->key, it->tokens);
        heardOf(now, it->key);
    }
    placed.ownTokens += prefixes.back().tokens;
}

void LocalDispatcher::turnedAway(TimePoint now, const CustomerId& customer, const PromptSize& prompt)
{
    m_shares.turnedAway(now, customer, tokensOf(prompt));
}

void LocalDispatcher::firstAnswer(TimePoint now, AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || it->second.hasFirst)
        return;
    Attempt& attempt = it->second;
    attempt.hasFirst = true;
    m_backoffs.served(now, attempt.target);
    if (TargetModel* model = find(attempt.target))
        model->firstAnswer(attempt.placedAt, attempt.tokensToRead, attempt.predictedFirst, now - attempt.placedAt);
}

void LocalDispatcher::ended(TimePoint now, AttemptId id, AttemptEnd end)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    m_attempts.erase(it);
    TargetModel* model = find(attempt.target);
    noteEnd(now, attempt, model != nullptr && !model->target().draining, end);
    if (end == AttemptEnd::Answered)
        m_backoffs.served(now, attempt.target);
    if (!model)
        return;
    // No first event: what it would have read isn't ahead of others any more, and teaches nothing of its speed.
    if (!attempt.hasFirst)
        model->firstAnswer(attempt.placedAt, attempt.tokensToRead, Duration::zero(), Duration::zero());
    // A target that says when it takes requests again has not failed.
    const bool hasAskedForPause = end == AttemptEnd::NotRun && m_backoffs.isPaused(now, attempt.target);
    model->released(attempt.memoryTokens);
    if (!hasAskedForPause)
        model->judged(now, end, now - attempt.placedAt);
}

void LocalDispatcher::noteEnd(TimePoint now, const Attempt& attempt, bool isListed, AttemptEnd end)
{
    const TargetKey target = dispatch::keyOf(attempt.target);
    const bool isBroken = end == AttemptEnd::Broken || end == AttemptEnd::Silent;
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed)
        m_crashes.completed(attempt.placedAt, target, attempt.key);
    else if (isBroken && isListed && attempt.key)
        m_crashes.broke(now, attempt.placedAt, target, attempt.key, end == AttemptEnd::Silent);
    else
        m_crashes.ended(attempt.placedAt, target);
}

LoadReport LocalDispatcher::report(TimePoint now)
{
    LoadReport report;
    report.serial = ++m_reportSerial;
    for (const auto& [life, model] : m_targets) {
        if (model->ownUse().active)
            report.targets[model->key()] = model->ownUse();
    }
    report.customers = m_shares.own(now);
    const std::vector<quarantine::CrashRecord> crashes = m_crashes.recordsToSend();
    report.crashes = { crashes.begin(), crashes.end() };
    report.placed = m_placedBefore;
    for (const auto& [key, placed] : m_placed) {
        PlacedPrompts& told = report.placed[key];
        told.shared.insert(placed.shared.begin(), placed.shared.end());
        // Told once: what is told twice would push out twice as much.
        told.ownTokens = placed.ownTokens;
    }
    for (auto& [key, placed] : m_placed)
        placed.ownTokens = 0;
    m_placedBefore = std::move(m_placed);
    m_placed.clear();
    return report;
}

void LocalDispatcher::peerReported(TimePoint now, const VmId& peer, const LoadReport& report)
{
    for (auto& [life, model] : m_targets) {
        const auto use = report.targets.find(model->key());
        model->peerUse(now, peer, use == report.targets.end() ? TargetUse {} : use->second);
        if (const auto placed = report.placed.find(model->key()); placed != report.placed.end())
            model->peerPlaced(placed->second);
    }
    m_shares.peerUse(now, peer, report.customers, report.age);
    m_crashes.learn(now, report.crashes);
    for (const auto& [key, placed] : report.placed) {
        for (const auto& [prompt, tokens] : placed.shared)
            heardOf(now, prompt);
    }
}

} // namespace sagechute::dispatch
