#include "dispatch/LocalDispatcher.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sagechute::dispatch {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Cost of an output token relative to an input token: generating one keeps an engine busy for about as long as
    /// prefilling two.
    constexpr double outputTokenWeight = 2;

    /// Limit on the prefixes that are remembered of all targets, about 60 MB.
    constexpr std::size_t maxPrefixes = 1 << 19;

    /// Cost of a failure rate of 1; scaled by the actual rate. Well above the cost difference between a busy and an
    /// idle target, so that targets that fail more than others are avoided.
    constexpr double failureCostMs = 400;

    /// Each request in flight makes an engine's decoding steps longer by about this much.
    constexpr double activeCostMs = 0.5;

    /// Cost of a target without free memory or slots: the request would wait for another one to end, or preempt one.
    constexpr double noRoomCostMs = 1000;

    /// The allowed wait, relative to the route's goal, is 1 for a customer exactly at its share and falls with a power
    /// of the share ratio. Customers with the most usage are refused first, and the queues of the engines stay short
    /// for those with the least. Requests of the latter may be late rather than refused, even later if the customer has
    /// had less than half of its share.
    constexpr double overShareExponent = 2;
    constexpr double minWaitFactor = 0.1;
    constexpr double maxWaitFactor = 1.4;
    constexpr double lowShare = 0.5;
    constexpr double lowShareWaitFactor = 3;

    /// From this share ratio on, a customer's requests may be refused before they would be late; KindBalance applies
    /// from here on.
    constexpr double kindBalanceMinShare = 0.7;

    /// Fraction of its goal for which a request may queue even if it would be late without any queueing.
    constexpr double minWaitGoalFraction = 0.42;

    /// Allowed wait of a starved size class, as a multiple of the mean wait of the route's admitted requests. With a
    /// factor of 1 the largest tenth of a flood is served 0.497 times as often as all requests on engines of 300 tokens
    /// per millisecond, with this one 0.572 times, at the cost of 1 to 3 % fewer answers on time (means of 24 replays).
    constexpr double starvedWaitFactor = 1.05;

    /// Callers that were refused at the same time must not retry at the same time.
    constexpr double retryAfterJitter = 0.5;
    constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
    constexpr Duration maxRetryAfter = std::chrono::seconds(3);

    /// Several targets have refused the request in turn; after this time their queues have moved on.
    constexpr Duration triesExhaustedRetryAfter = std::chrono::milliseconds(300);

    /// Spreads the retries of callers that wait for the same target's pause to end.
    constexpr Duration pauseEndJitter = std::chrono::milliseconds(500);

    /// After this time the list of targets has been read again if a target was lost.
    constexpr Duration noTargetRetryAfter = std::chrono::milliseconds(700);

    /// The end of an evacuation is not known in advance. Together with the jitter this is the longest retry time of a
    /// refusal, as evacuations last for minutes.
    constexpr Duration evacuatedRetryAfter = std::chrono::seconds(2);

    /// Fraction of the retry budget up to which hedges are sent. The rest is for requests that have no attempt left.
    constexpr double hedgeBudgetFraction = 0.5;

    /// After this time it is known whether a target has crashed.
    constexpr Duration undecidedRetryAfter = std::chrono::milliseconds(500);

    /// A quarantine lasts until an operator ends it.
    constexpr Duration quarantinedRetryAfter = std::chrono::hours(1);

    Duration fromMs(double ms) { return std::chrono::duration_cast<Duration>(Milliseconds(ms)); }

    double tokensOf(const PromptSize& prompt)
    {
        return prompt.inputTokens + outputTokenWeight * prompt.maxOutputTokens;
    }

    /// With more routers than this, load reports come over relays and are up to half a second old.
    constexpr unsigned maxDirectReportRouters = 12;

    /// Mean number of targets among which a router of a large fleet chooses the best, in addition to targets that have
    /// the prompt cached or are its home.
    constexpr double sampleSize = 8;

    /// Ratio of the bonus of a home target to that of the preceding one in HomeOrder.
    constexpr double homeBonusDecay = 0.75;

    /// Minimum number of home targets, which are always considered, whatever they are believed to have cached. Two, so
    /// that a busy or lost target has a successor with the prompt in its cache.
    constexpr unsigned minHomes = 2;

    /// Fraction of its time that a home target has for the requests of one prompt, as it is the home of others too.
    constexpr double homeUtilization = 0.5;

    /// More than any fleet has engines; keeps a wrong demand within the range of the number of homes.
    constexpr double maxHomes = 1000;
    constexpr double msPerSecond = 1000;

    /// Cost of prefilling shared parts on a target that is not a home of the prompt, as a multiple of the home bonus
    /// for them, i.e. by default 20 times the prefill time. Prefill delays all requests that wait there, and a queue as
    /// long as their goals allow holds 10 to 20 of them.
    constexpr double copyCostFactor = 10;

    /// Fraction of a prompt's shared tokens that its home targets are assumed to have cached if no router has reported
    /// the prompt since the start. With 1 too much is sent to homes without it; with 0 requests are refused that need
    /// little prefill. In the four seconds after the loss of all routers 0.75 and 0.80 of the requests are on time,
    /// compared with 0.87 with 0.5 (replay, see homeWeight).
    constexpr double assumedCachedFraction = 0.5;

} // namespace

std::unique_ptr<Dispatcher> Dispatcher::make(const DispatchSettings& settings, ZoneId ownZone, std::uint64_t seed)
{
    return std::make_unique<LocalDispatcher>(settings, std::move(ownZone), seed);
}

LocalDispatcher::LocalDispatcher(const DispatchSettings& settings, ZoneId ownZone, std::uint64_t seed)
    : m_settings(settings)
    , m_ownZone(std::move(ownZone))
    , m_random(seed)
    , m_coldAllowance(settings.self)
    , m_shares(settings.shareWindow, seed)
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
    if (!m_warmStartUntil)
        m_warmStartUntil = now + m_settings.warmStartDuration;
    std::set<TargetIncarnation> present;
    for (const Target& it : targets) {
        present.insert(it.incarnation());
        m_coldTargets.recordKnown(now, it);
        const Service* service = m_table ? m_table->findService(it.service) : nullptr;
        if (TargetModel* known = find(it.incarnation()))
            known->update(it, service);
        else
            m_targets.emplace(
                it.incarnation(), std::make_unique<TargetModel>(it, service, m_settings, meanSpeed(it.service)));
    }
    detectLostTargets(now, targets, present);
    std::erase_if(m_targets, [&](const auto& it) { return !present.contains(it.first); });
    for (const auto& [incarnation, model] : m_targets)
        model->limitPrefixes(maxPrefixes / m_targets.size());
    std::erase_if(m_sentCold, [&](const auto& it) { return !present.contains(it.first); });
    m_coldTargets.removeExpired(now);
}

void LocalDispatcher::detectLostTargets(
    TimePoint now, const std::vector<Target>& targets, const std::set<TargetIncarnation>& present)
{
    std::map<std::string_view, const Target*> started;
    for (const Target& it : targets) {
        if (!m_listedTargets.contains(it.incarnation()))
            started.emplace(it.address, &it);
    }
    for (const auto& [incarnation, model] : m_targets) {
        const Target& target = model->target();
        if (target.draining || !m_listedTargets.contains(incarnation))
            continue;
        const auto it = started.find(target.address);
        if (it != started.end() && it->second->service == target.service)
            m_crashes.replaced(now, model->key());
        else if (!present.contains(incarnation))
            m_crashes.entryGone(now, model->key());
    }
    m_listedTargets = present;
}

TargetSpeed LocalDispatcher::meanSpeed(const ServiceId& service) const
{
    TargetSpeed sum { 0, 0 };
    unsigned n = 0;
    for (const auto& [incarnation, model] : m_targets) {
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
    m_routerCount = n;
    m_peakRouterCount = std::max(m_peakRouterCount, n);
    m_shares.setRelayed(isLargeFleet());
}

bool LocalDispatcher::hasTargets() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [this](const auto& it) {
        const Target& target = it.second->target();
        return !target.draining && m_table && m_table->findService(target.service);
    });
}

FairShareSnapshot LocalDispatcher::shares(TimePoint now) const
{
    FairShareSnapshot view = m_shares.view(now);
    view.capacity = windowCapacity();
    return view;
}

TargetModel* LocalDispatcher::find(const TargetIncarnation& incarnation) const
{
    const auto it = m_targets.find(incarnation);
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

std::optional<Refusal> LocalDispatcher::checkCrashGuard(
    TimePoint now, const PlacementRequest& request, AttemptKind kind)
{
    switch (m_crashes.standing(now, request.key)) {
    case quarantine::Standing::Clear:
    case quarantine::Standing::Suspect:
        return checkPartGuard(now, request, kind);
    case quarantine::Standing::Undecided:
        return Refusal { RefusalReason::Quarantined, undecidedRetryAfter, {} };
    case quarantine::Standing::Quarantined:
        break;
    }
    return Refusal { RefusalReason::Quarantined, quarantinedRetryAfter, {} };
}

std::optional<Refusal> LocalDispatcher::checkPartGuard(TimePoint now, const PlacementRequest& request, AttemptKind kind)
{
    // A request that a target has begun to answer doesn't crash targets.
    const bool isRepeat
        = kind == AttemptKind::Hedge || (kind == AttemptKind::RetryAfterSend && request.progress != Progress::Begun);
    switch (m_crashes.parts().standing(now, sharedPartsOf(request.prompt))) {
    case quarantine::Standing::Clear:
        return std::nullopt;
    case quarantine::Standing::Suspect:
        return isRepeat ? std::optional(Refusal { RefusalReason::PartSuspected, undecidedRetryAfter, {} })
                        : std::nullopt;
    case quarantine::Standing::Undecided:
        return Refusal { RefusalReason::PartQuarantined, undecidedRetryAfter, {} };
    case quarantine::Standing::Quarantined:
        break;
    }
    return Refusal { RefusalReason::PartQuarantined, quarantinedRetryAfter, {} };
}

Decision LocalDispatcher::place(TimePoint now, const PlacementRequest& request, AttemptKind kind)
{
    if (const std::optional<Refusal> refusal = checkCrashGuard(now, request, kind))
        return *refusal;
    const std::vector<PrefixKey> prefixes = prefixesOf(request.prompt.parts);
    const double tokens = tokensOf(request.prompt);
    if (kind == AttemptKind::First) {
        retries(request.service).countRequest(now);
        m_shares.requested(now, request.customer, tokens);
    }
    const bool isHedge = kind == AttemptKind::Hedge;
    std::optional<Candidate> best = choose(now, request, prefixes, isHedge);
    if (!best)
        return refuseUnplaced(now, request.service, noTargetRetryAfter);
    const bool isRefusable = !isHedge && request.progress == Progress::NotRun;
    if (const std::optional<Refusal> refusal
        = isRefusable ? admit(now, request, *best) : admitAgain(now, request, kind, *best))
        return *refusal;
    const double budgetFraction = isHedge ? hedgeBudgetFraction : 1;
    if ((isHedge || kind == AttemptKind::RetryAfterSend)
        && !retries(request.service).tryAcquire(now, m_peakRouterCount, budgetFraction))
        return refuse(RefusalReason::RetryBudget, noTargetRetryAfter);
    if (kind == AttemptKind::First) {
        m_shares.granted(now, request.customer, tokens);
        if (prefixes.size() > 1)
            m_promptDemand.requested(now, longestSharedPrefix(prefixes).key, prefixes.back().tokens);
    }
    return commit(now, request, *best, prefixes);
}

std::optional<LocalDispatcher::Candidate> LocalDispatcher::choose(
    TimePoint now, const PlacementRequest& request, const std::vector<PrefixKey>& prefixes, bool isHedge)
{
    std::optional<Candidate> best;
    // With old reports, all routers see the same few targets as idle and would overload them together. Each router
    // considers a random sample instead.
    const double sampleProbability = isLargeFleet() ? sampleSize / std::max<double>(1, m_targets.size()) : 1;
    // The second pass includes targets that were tried or are avoided, as a doubtful target is better than none.
    for (const bool isFirstPass : { true, false }) {
        const std::vector<TargetModel*> usable = usableTargets(now, request, isFirstPass);
        best = chooseByReadings(now, request, usable);
        if (best)
            break;
        const HomeOrder homeOrder(usable, prefixes, homeCount(now, prefixes));
        for (TargetModel* model : usable) {
            if (isFirstPass && !isInSample(*model, request, prefixes, homeOrder, sampleProbability))
                continue;
            const Candidate candidate = score(now, *model, request, prefixes, homeOrder);
            if (!best || candidate.cost < best->cost)
                best = candidate;
        }
        // A hedge on an avoided or tried target is no better than waiting for the one that has the request.
        if (best || isHedge)
            break;
    }
    return best;
}

std::vector<TargetModel*> LocalDispatcher::withoutDoubtful(TimePoint now, const std::vector<TargetModel*>& usable)
{
    std::vector<TargetModel*> others;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(others),
        [&](const TargetModel* it) { return !it->isDoubtful(now); });
    const bool hasRoom = std::any_of(others.begin(), others.end(), [&](const TargetModel* it) {
        const LoadEstimate estimate = it->estimateLoad(now);
        return estimate.occupancy < estimate.slots;
    });
    return hasRoom ? others : usable;
}

std::optional<LocalDispatcher::Candidate> LocalDispatcher::chooseByReadings(
    TimePoint now, const PlacementRequest& request, const std::vector<TargetModel*>& all)
{
    const bool hasReadings
        = std::any_of(all.begin(), all.end(), [&](const TargetModel* it) { return it->hasReadingsForSelection(now); });
    if (!hasReadings)
        return std::nullopt;
    const std::vector<TargetModel*> usable = withoutDoubtful(now, all);
    std::vector<LoadEstimate> estimates;
    estimates.reserve(usable.size());
    double occupancy = 0;
    double slots = 0;
    for (const TargetModel* it : usable) {
        estimates.push_back(it->estimateLoad(now));
        occupancy += estimates.back().occupancy;
        slots += estimates.back().slots;
    }
    std::vector<double> extraMs;
    extraMs.reserve(usable.size());
    for (const TargetModel* it : usable)
        extraMs.push_back(
            failureCostMs * it->failureRate() + (it->target().zone != m_ownZone ? zoneCostMs(request) : 0));
    const double leastExtraMs = *std::min_element(extraMs.begin(), extraMs.end());
    std::vector<double> weights;
    weights.reserve(usable.size());
    std::size_t first = 0;
    const auto delayOf = [&](std::size_t i) { return usable[i]->predictAnswerDelay(estimates[i]); };
    for (std::size_t i = 0; i < usable.size(); ++i) {
        weights.push_back(selectionWeight(
            estimates[i], fromMs(usable[i]->speed().answerMs), fromMs(extraMs[i] - leastExtraMs), occupancy / slots));
        if (delayOf(i) < delayOf(first))
            first = i;
    }
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    double point = m_random.fraction() * sum;
    std::size_t i = 0;
    for (; i + 1 < weights.size() && point >= weights[i]; ++i)
        point -= weights[i];
    // Rather than refused for a target that can't start it in time, a request goes to the one that answers first.
    const Duration goal = request.route->goal;
    const Duration ownDelay = usable[i]->ownDelay(now, 0);
    const Duration allowed = std::max(goal - ownDelay, fromMs(minWaitGoalFraction * Milliseconds(goal).count()));
    if (goal > Duration::zero() && delayOf(i) - ownDelay > allowed)
        i = first;
    Candidate candidate { usable[i] };
    candidate.predictedFirstEventDelay = delayOf(i);
    return candidate;
}

std::vector<TargetModel*> LocalDispatcher::usableTargets(
    TimePoint now, const PlacementRequest& request, bool isFirstPass) const
{
    std::vector<TargetModel*> usable;
    usable.reserve(m_targets.size());
    const Service* limitingService = serviceWithColdRate(request.service);
    for (const auto& [incarnation, model] : m_targets) {
        if (model->target().service != request.service || !takesRequests(now, incarnation, *model))
            continue;
        if (limitingService && freeAt(now, *model, *limitingService) > now)
            continue;
        const bool isAvoided = model->isAvoided(now) || m_backoffs.isOnTrial(now, incarnation);
        if (isFirstPass && (isAvoided || request.tried.contains(incarnation)))
            continue;
        usable.push_back(model.get());
    }
    return usable;
}

bool LocalDispatcher::isInSample(const TargetModel& model, const PlacementRequest& request,
    const std::vector<PrefixKey>& prefixes, const HomeOrder& homeOrder, double sampleProbability)
{
    if (sampleProbability >= 1 || m_random.fraction() < sampleProbability)
        return true;
    if (prefixes.size() < 2)
        return false;
    const std::uint32_t unshared = prefixes.back().tokens;
    return homeOrder.isHome(model) || model.prefillTokens(request.prompt, prefixes) <= unshared;
}

unsigned LocalDispatcher::homeCount(TimePoint now, const std::vector<PrefixKey>& prefixes) const
{
    if (!isLargeFleet() || prefixes.size() < 2)
        return minHomes;
    const double tokensPerSecond
        = m_routerCount * m_promptDemand.tokensPerSecond(now, longestSharedPrefix(prefixes).key);
    const double tokensPerHome = homeUtilization * m_settings.prefillTokensPerMs * msPerSecond;
    return std::max(minHomes, static_cast<unsigned>(std::min(tokensPerSecond / tokensPerHome, maxHomes)));
}

bool LocalDispatcher::isLargeFleet() const { return m_routerCount > maxDirectReportRouters; }

LocalDispatcher::Candidate LocalDispatcher::score(TimePoint now, TargetModel& model, const PlacementRequest& request,
    const std::vector<PrefixKey>& prefixes, const HomeOrder& homeOrder) const
{
    Candidate candidate { &model };
    candidate.prefillTokens = model.prefillTokens(request.prompt, prefixes);
    const bool isHome = homeOrder.isHome(model);
    if (isHome && isAssumedCached(now, prefixes)) {
        const std::uint32_t unshared = std::min(candidate.prefillTokens, prefixes.back().tokens);
        const double shared = candidate.prefillTokens - unshared;
        candidate.prefillTokens = unshared + static_cast<std::uint32_t>((1 - assumedCachedFraction) * shared);
    }
    const TargetLoad inFlight = model.totalLoad(now);
    candidate.predictedFirstEventDelay = model.predictFirstEventDelay(now, inFlight, candidate.prefillTokens);
    double cost = Milliseconds(candidate.predictedFirstEventDelay).count();
    cost += (m_settings.prefillWeight - 1) * candidate.prefillTokens / m_settings.prefillTokensPerMs;
    cost += failureCostMs * model.failureRate();
    cost += activeCostMs * inFlight.active;
    if (model.target().zone != m_ownZone)
        cost += zoneCostMs(request);
    if (!model.hasRoom(inFlight, request.prompt.inputTokens + request.prompt.maxOutputTokens))
        cost += noRoomCostMs;
    if (const std::optional<unsigned> rank = homeOrder.rankOf(model))
        cost -= homeBonusMs(request.prompt, prefixes) * std::pow(homeBonusDecay, *rank);
    if (prefixes.size() > 1) {
        candidate.homes = homeOrder.homeCount();
        candidate.isAtHome = isHome;
        candidate.sharedPrefillTokens
            = candidate.prefillTokens - std::min(candidate.prefillTokens, prefixes.back().tokens);
    }
    if (isLargeFleet() && !isHome)
        cost += copyCostFactor * m_settings.homeWeight * candidate.sharedPrefillTokens / m_settings.prefillTokensPerMs;
    candidate.cost = cost;
    return candidate;
}

double LocalDispatcher::homeBonusMs(const PromptSize& prompt, const std::vector<PrefixKey>& prefixes) const
{
    const std::uint32_t shared = prompt.inputTokens - std::min(prompt.inputTokens, prefixes.back().tokens);
    return m_settings.homeWeight * shared / m_settings.prefillTokensPerMs;
}

bool LocalDispatcher::isAssumedCached(TimePoint now, const std::vector<PrefixKey>& prefixes) const
{
    return isWarmStart(now) && !m_knownPrefixes.contains(longestSharedPrefix(prefixes).key);
}

void LocalDispatcher::markPrefixKnown(TimePoint now, std::uint64_t prefix)
{
    // The set is only used during a warm start and would otherwise grow without bound in a long-running router.
    if (isWarmStart(now))
        m_knownPrefixes.insert(prefix);
    else
        m_knownPrefixes.clear();
}

double LocalDispatcher::zoneCostMs(const PlacementRequest& request) const
{
    constexpr double kilobyte = 1024;
    // Each event adds framing to a few bytes per token.
    constexpr double answerBytesPerToken = 20;
    const double bytes = static_cast<double>(request.bytes)
        + answerBytesPerToken * static_cast<double>(request.prompt.maxOutputTokens);
    return Milliseconds(m_settings.zonePenalty).count()
        + bytes / kilobyte * Milliseconds(m_settings.zonePenaltyPerKilobyte).count();
}

double LocalDispatcher::waitFactorForShare(double share) const
{
    if (share <= 0)
        return m_settings.admissionGoalFraction;
    if (share < lowShare)
        return m_settings.admissionGoalFraction * lowShareWaitFactor;
    return m_settings.admissionGoalFraction
        * std::clamp(1 / std::pow(share, overShareExponent), minWaitFactor, maxWaitFactor);
}

std::optional<Refusal> LocalDispatcher::admit(TimePoint now, const PlacementRequest& request, Candidate& best)
{
    const Duration goal = request.route->goal;
    if (goal <= Duration::zero())
        return std::nullopt;
    const bool isEngine = !request.prompt.parts.empty() || request.prompt.inputTokens > 0;
    const bool isShared = isEngine && windowCapacity() > 0;
    Admission& admission = best.admission;
    const double share = isShared ? m_shares.shareRatio(now, request.customer, windowCapacity()) : 0;
    admission.share = share;
    admission.oldestReportAge = m_shares.oldestReportAge(now);
    if (isShared)
        admission.grantLimit = m_shares.grantLimit(now, request.customer, tokensOf(request.prompt));
    if (admission.grantLimit && admission.grantLimit->isSpent)
        return refuse(RefusalReason::OverLimit, noTargetRetryAfter, admission);
    // The wait leaves the request's own time out: an application that paused would seem too slow for any request, and
    // without requests that estimate would never change.
    const Duration ownDelay = best.model->ownDelay(now, best.prefillTokens);
    admission.wait = best.predictedFirstEventDelay - ownDelay;
    const double tokens = tokensOf(request.prompt);
    SizeBalance& sizes = m_sizeBalances[{ request.route->name, share > 1 }];
    setAllowedWait(admission, request, ownDelay, sizes);
    const bool isAdmitted = admission.wait <= admission.allowed;
    sizes.recordDecision(now, tokens, admission.wait, isAdmitted);
    if (share > kindBalanceMinShare)
        m_kindBalances[request.service].recordDecision(now, request.route->name, tokens, isAdmitted);
    if (isAdmitted)
        return std::nullopt;
    const Duration excessWait = admission.wait - admission.allowed;
    return refuse(share > 1 ? RefusalReason::OverShare : RefusalReason::Overloaded, excessWait, admission);
}

std::optional<Refusal> LocalDispatcher::admitAgain(
    TimePoint now, const PlacementRequest& request, AttemptKind kind, Candidate& best)
{
    Admission& admission = best.admission;
    admission.wait = best.predictedFirstEventDelay - best.model->ownDelay(now, best.prefillTokens);
    // A begun answer that goes on late is better than one that is cut. With a hedge it may go on without.
    const bool isHedge = kind == AttemptKind::Hedge;
    const bool isCutOtherwise = request.progress == Progress::Begun && !isHedge;
    admission.allowed = isCutOtherwise ? request.due - now : request.route->goal;
    const bool isLate = admission.allowed > Duration::zero() && admission.wait > admission.allowed;
    const std::uint32_t reservedTokens = request.prompt.inputTokens + request.prompt.maxOutputTokens;
    if (!isLate && (!isHedge || best.model->hasRoom(best.model->totalLoad(now), reservedTokens)))
        return std::nullopt;
    return refuse(RefusalReason::Overloaded, noTargetRetryAfter, admission);
}

void LocalDispatcher::setAllowedWait(
    Admission& admission, const PlacementRequest& request, Duration ownDelay, const SizeBalance& sizes) const
{
    const Duration goal = request.route->goal;
    const double tokens = tokensOf(request.prompt);
    const SizeBalance::Standing standing = sizes.standing(tokens);
    const bool isBoosted = standing != SizeBalance::Standing::Proportional;
    const double countedFraction = isBoosted ? std::min(1.0, sizes.meanTokens() / tokens) : 1;
    // The prefill of a large prompt can take longer than its goal. Refusing it for that would refuse it every time, so
    // it may queue like a small one, for a fraction of its goal. If its size class is refused far more often than
    // others, its prefill counts as that of a mean-sized request; if that is not enough, it may wait as long as other
    // requests of the route did. Without this, 0.11 to 0.16 of a flooding customer's largest tenth are served and 0.46
    // to 0.56 of all its requests; with it, the largest tenth is served half as often as all (replay of a flood of many
    // sizes, engines of 22 to 300 tokens per millisecond).
    const auto waitAllowedFor = [&](double limit, double part) {
        const auto onTimeWait = std::chrono::duration_cast<Duration>(limit * goal - part * ownDelay);
        const auto minWait = std::chrono::duration_cast<Duration>(limit * minWaitGoalFraction * goal);
        return std::max(onTimeWait, minWait);
    };
    const double limit = waitFactorForShare(admission.share);
    Duration allowed = waitAllowedFor(limit, countedFraction);
    const auto kindBalance = m_kindBalances.find(request.service);
    if (admission.share > kindBalanceMinShare && kindBalance != m_kindBalances.end()) {
        const double waitFactor = kindBalance->second.waitFactor(request.route->name);
        allowed = std::chrono::duration_cast<Duration>(waitFactor * allowed);
    }
    admission.allowed = std::min(allowed, waitAllowedFor(std::max(limit, m_settings.admissionGoalFraction), 1));
    if (standing != SizeBalance::Standing::Starved)
        return;
    const auto boostedWait = std::chrono::duration_cast<Duration>(starvedWaitFactor * sizes.meanAdmittedWait());
    admission.isSizeBoosted = boostedWait > admission.allowed;
    admission.allowed = std::max(admission.allowed, boostedWait);
}

Refusal LocalDispatcher::refuse(RefusalReason reason, Duration retryAfter, const Admission& admission)
{
    const double spread = 1 + retryAfterJitter * m_random.fraction();
    const Duration jittered = std::chrono::duration_cast<Duration>(retryAfter * spread);
    return { reason, std::clamp(jittered, minRetryAfter, maxRetryAfter), admission };
}

std::optional<TimePoint> LocalDispatcher::earliestPauseEnd(TimePoint now, const ServiceId& service) const
{
    std::optional<TimePoint> first;
    for (const auto& [incarnation, model] : m_targets) {
        if (model->target().service != service || model->target().draining || isEvacuated(*model))
            continue;
        const std::optional<TimePoint> end = m_backoffs.pauseEnd(now, incarnation);
        if (!end)
            return std::nullopt;
        first = std::min(first.value_or(*end), *end);
    }
    return first;
}

bool LocalDispatcher::areAllEvacuated(const ServiceId& service) const
{
    bool hasEvacuated = false;
    for (const auto& [incarnation, model] : m_targets) {
        if (model->target().service != service || model->target().draining)
            continue;
        if (!isEvacuated(*model))
            return false;
        hasEvacuated = true;
    }
    return hasEvacuated;
}

Refusal LocalDispatcher::refuseUnplaced(TimePoint now, const ServiceId& service, Duration otherwise)
{
    if (areAllEvacuated(service))
        return refuse(RefusalReason::Evacuated, evacuatedRetryAfter);
    const auto spread = [this] { return std::chrono::duration_cast<Duration>(m_random.fraction() * pauseEndJitter); };
    if (const std::optional<TimePoint> slot = earliestColdSlot(now, service))
        return { RefusalReason::ColdTargets, *slot - now + spread(), {} };
    const std::optional<TimePoint> until = earliestPauseEnd(now, service);
    if (!until)
        return refuse(RefusalReason::NoTarget, otherwise);
    return { RefusalReason::Backoff, *until - now + spread(), {} };
}

Refusal LocalDispatcher::giveUp(TimePoint now, const ServiceId& service)
{
    return refuseUnplaced(now, service, triesExhaustedRetryAfter);
}

bool LocalDispatcher::backOff(TimePoint now, const TargetIncarnation& incarnation, Duration pause)
{
    return m_backoffs.recordBackoff(now, incarnation, pause);
}

void LocalDispatcher::setEvacuatedZones(TimePoint now, const std::set<ZoneId>& zones)
{
    for (const ZoneId& it : m_evacuatedZones) {
        if (!zones.contains(it))
            m_coldTargets.zoneReturned(now, it);
    }
    m_evacuatedZones = zones;
}

void LocalDispatcher::observeLoad(TimePoint now, const TargetIncarnation& incarnation, const InstanceLoad& load)
{
    if (TargetModel* model = find(incarnation))
        model->observeLoad(now, load);
}

std::vector<TargetReading> LocalDispatcher::loadReadings(TimePoint now) const
{
    std::vector<TargetReading> readings;
    for (const auto& [incarnation, model] : m_targets) {
        if (const std::optional<InstanceLoad>& load = model->readings().load())
            readings.push_back({ incarnation, *load, now - model->readings().takenAt() });
    }
    return readings;
}

void LocalDispatcher::setRouters(TimePoint now, const std::vector<VmId>& heard, const std::vector<VmId>& left)
{
    m_coldAllowance.setRouters(now, heard, left);
}

bool LocalDispatcher::setCold(TimePoint now, const TargetIncarnation& incarnation, Duration left)
{
    const TargetModel* model = find(incarnation);
    const bool wasCold = model && coldUntil(now, *model);
    m_coldTargets.responseSaid(now, incarnation, left);
    return model && !wasCold && coldUntil(now, *model);
}

std::vector<ColdTarget> LocalDispatcher::coldTargets(TimePoint now) const
{
    std::vector<ColdTarget> result;
    for (const auto& [incarnation, model] : m_targets) {
        const std::optional<TimePoint> until = coldUntil(now, *model);
        if (!until)
            continue;
        const auto sent = m_sentCold.find(incarnation);
        result.push_back(
            { incarnation, *until - now, m_coldAllowance.ownSlots(now, incarnation.id, coldSlots(*serviceOf(*model))),
                sent == m_sentCold.end() ? 0 : sent->second });
    }
    return result;
}

const Service* LocalDispatcher::serviceOf(const TargetModel& model) const
{
    return m_table ? m_table->findService(model.target().service) : nullptr;
}

std::optional<TimePoint> LocalDispatcher::coldUntil(TimePoint now, const TargetModel& model) const
{
    return m_coldTargets.coldUntil(now, model.target(), serviceOf(model));
}

unsigned LocalDispatcher::coldSlots(const Service& service) const
{
    return coldSlotCount(service.coldRate, m_settings.coldOverage, m_settings.coldSlack);
}

const Service* LocalDispatcher::serviceWithColdRate(const ServiceId& id) const
{
    const Service* service = m_table ? m_table->findService(id) : nullptr;
    return service && service->coldRate > 0 ? service : nullptr;
}

TimePoint LocalDispatcher::freeAt(TimePoint now, const TargetModel& model, const Service& service) const
{
    const std::optional<TimePoint> until = m_coldTargets.coldUntil(now, model.target(), &service);
    if (!until)
        return now;
    const auto slot = m_coldAllowance.nextFree(now, model.target().id, coldSlots(service));
    return std::min(slot.value_or(*until), *until);
}

void LocalDispatcher::countColdPlacement(TimePoint now, const TargetModel& model)
{
    const TargetIncarnation incarnation = model.target().incarnation();
    if (!coldUntil(now, model)) {
        m_sentCold.erase(incarnation);
        return;
    }
    m_coldAllowance.take(now, incarnation.id, coldSlots(*serviceOf(model)));
    ++m_sentCold[incarnation];
    ++m_coldPlacements;
}

std::optional<TimePoint> LocalDispatcher::earliestColdSlot(TimePoint now, const ServiceId& service) const
{
    const Service* limitingService = serviceWithColdRate(service);
    if (!limitingService)
        return std::nullopt;
    std::optional<TimePoint> first;
    for (const auto& [incarnation, model] : m_targets) {
        if (model->target().service != service || !takesRequests(now, incarnation, *model))
            continue;
        const TimePoint free = freeAt(now, *model, *limitingService);
        if (free <= now)
            return std::nullopt;
        first = std::min(first.value_or(free), free);
    }
    return first;
}

bool LocalDispatcher::maySend(TimePoint now, const TargetIncarnation& incarnation) const
{
    const TargetModel* model = find(incarnation);
    return model && takesRequests(now, incarnation, *model);
}

bool LocalDispatcher::takesRequests(TimePoint now, const TargetIncarnation& incarnation, const TargetModel& model) const
{
    return !model.target().draining && !isEvacuated(model) && !m_backoffs.isPaused(now, incarnation);
}

Placement LocalDispatcher::commit(
    TimePoint now, const PlacementRequest& request, const Candidate& best, const std::vector<PrefixKey>& prefixes)
{
    const std::uint32_t reservedTokens = request.prompt.inputTokens + request.prompt.maxOutputTokens;
    best.model->placed(now, best.prefillTokens, reservedTokens, prefixes, best.predictedFirstEventDelay);
    const TargetIncarnation incarnation = best.model->target().incarnation();
    countColdPlacement(now, *best.model);
    m_backoffs.placed(now, incarnation, m_settings.avoidAfterFailure);
    recordPlacement(now, best.model->key(), prefixes);
    m_crashes.sent(now, best.model->key(), best.model->target().address);
    m_attempts[++m_lastAttempt]
        = { incarnation, best.prefillTokens, reservedTokens, now, best.predictedFirstEventDelay, false, request.key };
    if (!request.prompt.parts.empty())
        m_crashes.parts().sent(now, m_lastAttempt, sharedPartsOf(request.prompt));
    return { m_lastAttempt, best.model->target(), best.prefillTokens, best.predictedFirstEventDelay, best.admission,
        best.sharedPrefillTokens, best.homes, best.isAtHome };
}

void LocalDispatcher::recordPlacement(TimePoint now, TargetKey target, const std::vector<PrefixKey>& prefixes)
{
    if (prefixes.empty())
        return;
    PlacedPrompts& placed = m_newlyPlaced[target];
    for (auto it = prefixes.begin(); it + 1 != prefixes.end(); ++it) {
        placed.shared.emplace(it->key, it->tokens);
        markPrefixKnown(now, it->key);
    }
    placed.unsharedTokens += prefixes.back().tokens;
}

void LocalDispatcher::shed(TimePoint now, const CustomerId& customer, const PromptSize& prompt)
{
    m_shares.shed(now, customer, tokensOf(prompt));
}

void LocalDispatcher::firstAnswer(TimePoint now, AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || it->second.hasFirstAnswer)
        return;
    Attempt& attempt = it->second;
    attempt.hasFirstAnswer = true;
    m_backoffs.served(now, attempt.target);
    m_coldTargets.responded(now, attempt.target);
    m_crashes.heard(now, dispatch::keyOf(attempt.target));
    m_crashes.parts().answering(now, id);
    if (TargetModel* model = find(attempt.target))
        model->firstAnswer(
            attempt.placedAt, attempt.prefillTokens, attempt.predictedFirstEventDelay, now - attempt.placedAt);
}

void LocalDispatcher::ended(TimePoint now, AttemptId id, AttemptEnd end)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    m_attempts.erase(it);
    TargetModel* model = find(attempt.target);
    if (end == AttemptEnd::Unreachable)
        m_coldTargets.unreachable(now, attempt.target);
    else if (end == AttemptEnd::Answered || end == AttemptEnd::Failed || end == AttemptEnd::NotRun)
        m_coldTargets.responded(now, attempt.target);
    recordEndForCrashGuard(now, id, attempt, model != nullptr && !model->target().draining, end);
    if (end == AttemptEnd::Answered)
        m_backoffs.served(now, attempt.target);
    if (!model)
        return;
    // Without a first event, its prefill no longer delays other requests, and the speed estimate is not updated.
    if (!attempt.hasFirstAnswer)
        model->firstAnswer(attempt.placedAt, attempt.prefillTokens, Duration::zero(), Duration::zero());
    // A target that asked for a pause has not failed.
    const bool hasAskedForPause = end == AttemptEnd::NotRun && m_backoffs.isPaused(now, attempt.target);
    model->released(attempt.reservedTokens);
    if (!hasAskedForPause)
        model->recordOutcome(now, end, now - attempt.placedAt);
}

void LocalDispatcher::recordEndForCrashGuard(
    TimePoint now, AttemptId id, const Attempt& attempt, bool isListed, AttemptEnd end)
{
    const std::vector<quarantine::PartKey> suspectParts = m_crashes.parts().ended(now, id, end == AttemptEnd::Answered);
    const TargetKey target = dispatch::keyOf(attempt.target);
    const bool isBroken = end == AttemptEnd::Broken || end == AttemptEnd::Silent;
    const bool isCompleted = end == AttemptEnd::Answered || end == AttemptEnd::Failed;
    if (isCompleted || end == AttemptEnd::NotRun)
        m_crashes.heard(now, target);
    if (isCompleted)
        m_crashes.completed(attempt.placedAt, target, attempt.key);
    else if (isBroken && isListed && attempt.key)
        m_crashes.broke(now, attempt.placedAt, target, attempt.key, end == AttemptEnd::Silent, suspectParts);
    else
        m_crashes.ended(attempt.placedAt, target);
}

LoadReport LocalDispatcher::report(TimePoint now)
{
    LoadReport report;
    report.serial = ++m_reportSerial;
    for (const auto& [incarnation, model] : m_targets) {
        if (model->localLoad().active)
            report.targets[model->key()] = model->localLoad();
        if (const std::optional<ReportedReading> reading = model->readingToReport(now))
            report.readings[model->key()] = *reading;
    }
    report.customers = m_shares.localUsage(now);
    const std::vector<quarantine::CrashRecord> crashes = m_crashes.recordsToSend();
    report.crashes = { crashes.begin(), crashes.end() };
    const std::vector<quarantine::CrashRecord> partCrashes = m_crashes.parts().recordsToSend();
    report.partCrashes = { partCrashes.begin(), partCrashes.end() };
    report.placed = m_previouslyPlaced;
    for (const auto& [key, placed] : m_newlyPlaced) {
        PlacedPrompts& reported = report.placed[key];
        reported.shared.insert(placed.shared.begin(), placed.shared.end());
        // Reported only once: peers would model twice the evictions otherwise.
        reported.unsharedTokens = placed.unsharedTokens;
    }
    for (auto& [key, placed] : m_newlyPlaced)
        placed.unsharedTokens = 0;
    m_previouslyPlaced = std::move(m_newlyPlaced);
    m_newlyPlaced.clear();
    return report;
}

void LocalDispatcher::peerReported(TimePoint now, const VmId& peer, const LoadReport& report)
{
    for (auto& [incarnation, model] : m_targets) {
        const auto use = report.targets.find(model->key());
        model->setPeerLoad(now, peer, use == report.targets.end() ? TargetLoad {} : use->second, report.age);
        if (const auto placed = report.placed.find(model->key()); placed != report.placed.end())
            model->recordPeerPlacements(placed->second);
        if (const auto reading = report.readings.find(model->key()); reading != report.readings.end())
            model->observePeerReading(now - reading->second.age, reading->second.load);
    }
    m_shares.setPeerUsage(now, peer, report.customers, report.age);
    m_crashes.learn(now, report.crashes);
    m_crashes.parts().learn(now, report.partCrashes);
    for (const auto& [key, placed] : report.placed) {
        for (const auto& [prompt, tokens] : placed.shared)
            markPrefixKnown(now, prompt);
    }
}

} // namespace sagechute::dispatch
