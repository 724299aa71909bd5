#include "dispatch/TargetModel.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Weight of the newest observation. About ten observations, half a second of one router's requests to one target,
    /// outweigh the previous estimate.
    constexpr double learningRate = 0.1;
    constexpr double minSlowness = 0.6;
    constexpr double maxSlowness = 4;
    /// Limits the effect of a single late event, which may have causes other than the target.
    constexpr double maxObservedRatio = 3;

    /// Initial estimate of an application's answer time; the deployments' data sheets say 30 to 60 ms.
    constexpr double initialAnswerMs = 50;

    /// Fraction of an engine's memory that running requests may reserve; the rest is for cached prompts. Beyond it the
    /// engine preempts the newest request, whose prompt is then prefilled again from the start.
    constexpr double maxReservedFraction = 0.85;

    /// The time for which a target is avoided doubles with each consecutive failure, up to eight times the setting.
    constexpr unsigned maxAvoidDoublings = 3;

    /// A first answer is overdue after twice the predicted delay plus a margin. On a heavy day 95 % of the predictions
    /// are within 430 ms of the observed delay.
    constexpr int overdueFactor = 2;
    constexpr Duration overdueMargin = std::chrono::milliseconds(700);

    /// Older readings aren't reported to other routers; their pace has lost two thirds of its weight.
    constexpr Duration maxReportedReadingAge = std::chrono::milliseconds(500);

    Duration fromMs(double ms) { return Duration(static_cast<Duration::rep>(ms * 1000)); }

} // namespace

TargetSpeed TargetSpeed::unknown() { return { 1, initialAnswerMs }; }

TargetModel::TargetModel(
    Target target, const Service* service, const DispatchSettings& settings, const TargetSpeed& initialSpeed)
    : m_settings(settings)
    , m_target(std::move(target))
    , m_key(keyOf(m_target.incarnation()))
    , m_speed(initialSpeed)
{
    setService(service);
}

void TargetModel::update(Target target, const Service* service)
{
    m_target = std::move(target);
    setService(service);
}

void TargetModel::setService(const Service* service)
{
    m_engine = service ? service->engine : std::nullopt;
    m_prefixCache.setCapacity(m_engine ? m_engine->cacheTokens : 0);
}

TargetLoad TargetModel::totalLoad(TimePoint now) const
{
    TargetLoad sum = m_localLoad;
    for (const PeerLoad& it : m_peers) {
        if (now - it.at > m_settings.peerReportTtl)
            continue;
        sum.prefillTokens += it.load.prefillTokens;
        sum.active += it.load.active;
        sum.reservedTokens += it.load.reservedTokens;
    }
    return sum;
}

std::uint32_t TargetModel::prefillTokens(const PromptSize& prompt, const std::vector<PrefixKey>& prefixes) const
{
    const std::uint32_t cached = m_prefixCache.cachedTokens(prefixes);
    return prompt.inputTokens > cached ? prompt.inputTokens - cached : 0;
}

Duration TargetModel::prefillTime(TimePoint now, std::uint32_t tokens) const
{
    if (!m_engine)
        return Duration::zero();
    return fromMs(tokens / m_settings.prefillTokensPerMs * m_speed.slowness * m_readings.enginePace(now));
}

Duration TargetModel::ownDelay(TimePoint now, std::uint32_t prefillTokens) const
{
    return m_engine ? prefillTime(now, prefillTokens) : fromMs(m_speed.answerMs * m_readings.pace(now));
}

Duration TargetModel::predictFirstEventDelay(
    TimePoint now, const TargetLoad& inFlight, std::uint32_t prefillTokens) const
{
    if (m_engine) {
        return m_settings.firstEventOverhead + prefillTime(now, inFlight.prefillTokens + prefillTokens);
    }
    const double slots = std::max(1U, m_target.slots);
    const double queued = std::max(0.0, inFlight.active + 1 - slots);
    return fromMs(m_speed.answerMs * (1 + queued / slots));
}

bool TargetModel::isOverdue(TimePoint now) const
{
    // Deadlines are not sorted by placement time. There are few entries, and almost always none.
    return std::any_of(
        m_firstEventDeadlines.begin(), m_firstEventDeadlines.end(), [&](const auto& it) { return it.second < now; });
}

bool TargetModel::hasRoom(const TargetLoad& inFlight, std::uint32_t reservedTokens) const
{
    if (!m_engine)
        return true;
    if (m_engine->slots && inFlight.active >= m_engine->slots)
        return false;
    const double limit = maxReservedFraction * static_cast<double>(m_engine->cacheTokens);
    return inFlight.active == 0 || static_cast<double>(inFlight.reservedTokens) + reservedTokens <= limit;
}

void TargetModel::placed(TimePoint now, std::uint32_t prefillTokens, std::uint32_t reservedTokens,
    const std::vector<PrefixKey>& prefixes, Duration predictedFirstEventDelay)
{
    m_firstEventDeadlines.emplace(now, now + overdueFactor * predictedFirstEventDelay + overdueMargin);
    m_localLoad.prefillTokens += prefillTokens;
    m_localLoad.active += 1;
    m_readings.placed();
    m_localLoad.reservedTokens += reservedTokens;
    m_prefixCache.touch(prefixes);
    // After a failure a single request probes the target; others avoid it until the probe has ended.
    if (m_consecutiveFailures)
        m_avoidUntil = now + m_settings.avoidAfterFailure;
}

void TargetModel::firstAnswer(TimePoint placedAt, std::uint32_t prefillTokens, Duration predicted, Duration observed)
{
    m_localLoad.prefillTokens -= std::min(m_localLoad.prefillTokens, prefillTokens);
    if (predicted <= Duration::zero()) {
        // The request ended without an answer, so only its own deadline is removed.
        const auto it = m_firstEventDeadlines.find(placedAt);
        if (it != m_firstEventDeadlines.end())
            m_firstEventDeadlines.erase(it);
        return;
    }
    m_firstEventDeadlines.erase(m_firstEventDeadlines.begin(), m_firstEventDeadlines.upper_bound(placedAt));
    if (!m_engine)
        return;
    const double ratio = std::min(maxObservedRatio, Milliseconds(observed) / Milliseconds(predicted));
    m_speed.slowness = std::clamp(m_speed.slowness * (1 + learningRate * (ratio - 1)), minSlowness, maxSlowness);
}

void TargetModel::released(std::uint32_t reservedTokens)
{
    m_localLoad.active -= std::min(m_localLoad.active, 1U);
    m_localLoad.reservedTokens -= std::min(m_localLoad.reservedTokens, reservedTokens);
}

void TargetModel::recordOutcome(TimePoint now, AttemptEnd end, Duration elapsed)
{
    if (end == AttemptEnd::CallerGone || end == AttemptEnd::Superseded || end == AttemptEnd::WrongTarget
        || end == AttemptEnd::Withdrawn)
        return;
    const bool isAnswer = end == AttemptEnd::Answered;
    m_failureRate += learningRate * ((isAnswer ? 0 : 1) - m_failureRate);
    const bool hasResponded = isAnswer || end == AttemptEnd::Failed || end == AttemptEnd::NotRun;
    if (hasResponded) {
        m_consecutiveFailures = 0;
        m_avoidUntil = {};
        m_doubtfulUntil = {};
    } else {
        // A single broken answer may be due to the request. A target that is unreachable or breaks two answers in a row
        // is avoided.
        m_consecutiveFailures += 1;
        m_doubtfulUntil = now + m_settings.avoidAfterFailure;
        const bool isDown = end != AttemptEnd::Broken || m_consecutiveFailures > 1;
        if (isDown)
            m_avoidUntil
                = now + m_settings.avoidAfterFailure * (1 << std::min(m_consecutiveFailures - 1, maxAvoidDoublings));
    }
    if (isAnswer && !m_engine)
        m_speed.answerMs += learningRate * (Milliseconds(elapsed).count() / m_readings.pace(now) - m_speed.answerMs);
}

void TargetModel::recordPeerPlacements(const PlacedPrompts& placed)
{
    if (placed.unsharedTokens)
        m_prefixCache.insertUnshared(placed.unsharedTokens);
    for (const auto& [key, tokens] : placed.shared)
        m_prefixCache.touch({ { key, tokens } });
}

void TargetModel::observeLoad(TimePoint now, const InstanceLoad& load)
{
    m_ownReading = load;
    m_ownReadingAt = now;
    m_readings.observe(now, load);
}

void TargetModel::observePeerReading(TimePoint takenAt, const InstanceLoad& load)
{
    if (!m_engine)
        m_readings.observe(takenAt, load);
}

std::optional<ReportedReading> TargetModel::readingToReport(TimePoint now) const
{
    if (m_engine || !m_ownReading || now - m_ownReadingAt > maxReportedReadingAge)
        return std::nullopt;
    return ReportedReading { *m_ownReading, now - m_ownReadingAt };
}

LoadEstimate TargetModel::estimateLoad(TimePoint now) const
{
    ReportedOccupancy reported { static_cast<double>(totalLoad(now).active), std::nullopt };
    // A router without peers knows all requests.
    if (m_peers.empty())
        reported.age = Duration::zero();
    for (const PeerLoad& it : m_peers) {
        const Duration age = now - it.at + it.age;
        if (now - it.at <= m_settings.peerReportTtl)
            reported.age = std::max(reported.age.value_or(age), age);
    }
    return m_readings.estimate(now, reported, m_target.slots);
}

Duration TargetModel::predictAnswerDelay(const LoadEstimate& estimate) const
{
    // An old queue has changed: counted in full, routers would all turn from a slow target to the others at once.
    const double queued = estimate.confidence * std::max(0.0, estimate.occupancy + 1 - estimate.slots);
    return fromMs(m_speed.answerMs * estimate.pace * (1 + queued / estimate.slots));
}

void TargetModel::setPeerLoad(TimePoint now, const VmId& peer, const TargetLoad& load, Duration age)
{
    const auto it
        = std::find_if(m_peers.begin(), m_peers.end(), [&](const PeerLoad& part) { return part.peer == peer; });
    if (it == m_peers.end())
        m_peers.push_back({ peer, load, now, age });
    else
        *it = { peer, load, now, age };
}

} // namespace sagechute::dispatch
