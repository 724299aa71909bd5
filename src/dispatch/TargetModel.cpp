#include "dispatch/TargetModel.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Weight of the newest observation. Some ten observations, half a second of one router's requests to one target,
    /// outweigh what was believed before.
    constexpr double learnRate = 0.1;
    constexpr double leastSlowness = 0.6;
    constexpr double mostSlowness = 4;
    /// One first event may be late for reasons that are not the target's.
    constexpr double mostObserved = 3;

    /// What an application's answer takes before any was seen; the deployments' sheets say 30 to 60 ms.
    constexpr double firstAnswerMs = 50;

    /// Share of an engine's memory that running requests may take. Beyond it the engine pushes out the newest, which
    /// is then read again from its start; the rest is for prompts that are kept.
    constexpr double memoryShare = 0.85;

    /// A target that fails several times in a row is left alone for longer, up to eight times the setting.
    constexpr unsigned mostDoublings = 3;

    /// A first answer is overdue after twice what was predicted and a margin. On a heavy day 95 in 100 predictions are
    /// within 430 ms of what is seen.
    constexpr int overdueFactor = 2;
    constexpr Duration overdueMargin = std::chrono::milliseconds(700);

    Duration fromMs(double ms) { return Duration(static_cast<Duration::rep>(ms * 1000)); }

} // namespace

TargetSpeed TargetSpeed::unknown() { return { 1, firstAnswerMs }; }

TargetModel::TargetModel(
    Target target, const Service* service, const DispatchSettings& settings, const TargetSpeed& expected)
    : m_settings(settings)
    , m_target(std::move(target))
    , m_key(keyOf(m_target.life()))
    , m_speed(expected)
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
    m_memory.setCapacity(m_engine ? m_engine->cacheTokens : 0);
}

TargetUse TargetModel::use(TimePoint now) const
{
    TargetUse sum = m_own;
    for (const PeerPart& it : m_peers) {
        if (now - it.at > m_settings.reportKept)
            continue;
        sum.tokensToRead += it.use.tokensToRead;
        sum.active += it.use.active;
        sum.memoryTokens += it.use.memoryTokens;
    }
    return sum;
}

std::uint32_t TargetModel::tokensToRead(const PromptSize& prompt, const std::vector<PrefixKey>& prefixes) const
{
    const std::uint32_t kept = m_memory.keptTokens(prefixes);
    return prompt.tokensIn > kept ? prompt.tokensIn - kept : 0;
}

Duration TargetModel::readTime(std::uint32_t tokens) const
{
    return m_engine ? fromMs(tokens / m_settings.readTokensPerMs * m_speed.slowness) : Duration::zero();
}

Duration TargetModel::predictFirst(const TargetUse& inFlight, std::uint32_t tokensToRead) const
{
    if (m_engine) {
        return m_settings.firstEventBase + readTime(inFlight.tokensToRead + tokensToRead);
    }
    const double slots = std::max(1U, m_target.slots);
    const double queued = std::max(0.0, inFlight.active + 1 - slots);
    return fromMs(m_speed.answerMs * (1 + queued / slots));
}

bool TargetModel::isOverdue(TimePoint now) const
{
    // Due times need not rise with placements; there are few, and nearly always none.
    return std::any_of(m_firstDue.begin(), m_firstDue.end(), [&](const auto& it) { return it.second < now; });
}

bool TargetModel::hasRoom(const TargetUse& inFlight, std::uint32_t memoryTokens) const
{
    if (!m_engine)
        return true;
    if (m_engine->slots && inFlight.active >= m_engine->slots)
        return false;
    const double most = memoryShare * static_cast<double>(m_engine->cacheTokens);
    return inFlight.active == 0 || static_cast<double>(inFlight.memoryTokens) + memoryTokens <= most;
}

void TargetModel::placed(TimePoint now, std::uint32_t tokensToRead, std::uint32_t memoryTokens,
    const std::vector<PrefixKey>& prefixes, Duration predictedFirst)
{
    m_firstDue.emplace(now, now + overdueFactor * predictedFirst + overdueMargin);
    m_own.tokensToRead += tokensToRead;
    m_own.active += 1;
    m_own.memoryTokens += memoryTokens;
    m_memory.touch(prefixes);
    // After a failure a single request tries it again; the others wait for what comes of that.
    if (m_failuresInRow)
        m_avoidUntil = now + m_settings.avoidAfterFailure;
}

void TargetModel::firstAnswer(TimePoint placedAt, std::uint32_t tokensToRead, Duration predicted, Duration seen)
{
    m_own.tokensToRead -= std::min(m_own.tokensToRead, tokensToRead);
    if (predicted <= Duration::zero()) {
        // It ended without an answer: only this one is waited for no longer.
        const auto it = m_firstDue.find(placedAt);
        if (it != m_firstDue.end())
            m_firstDue.erase(it);
        return;
    }
    m_firstDue.erase(m_firstDue.begin(), m_firstDue.upper_bound(placedAt));
    if (!m_engine)
        return;
    const double ratio = std::min(mostObserved, Milliseconds(seen) / Milliseconds(predicted));
    m_speed.slowness = std::clamp(m_speed.slowness * (1 + learnRate * (ratio - 1)), leastSlowness, mostSlowness);
}

void TargetModel::released(std::uint32_t memoryTokens)
{
    m_own.active -= std::min(m_own.active, 1U);
    m_own.memoryTokens -= std::min(m_own.memoryTokens, memoryTokens);
}

void TargetModel::judged(TimePoint now, AttemptEnd end, Duration lasted)
{
    if (end == AttemptEnd::CallerGone || end == AttemptEnd::WrongTarget || end == AttemptEnd::Withdrawn)
        return;
    const bool isAnswer = end == AttemptEnd::Answered;
    m_failureShare += learnRate * ((isAnswer ? 0 : 1) - m_failureShare);
    const bool isReached = isAnswer || end == AttemptEnd::Failed || end == AttemptEnd::NotRun;
    if (isReached) {
        m_failuresInRow = 0;
        m_avoidUntil = {};
    } else {
        // A single broken answer is the request's misfortune; a target that can't be reached, or breaks two in a row,
        // is left alone.
        m_failuresInRow += 1;
        const bool isDown = end != AttemptEnd::Broken || m_failuresInRow > 1;
        if (isDown)
            m_avoidUntil = now + m_settings.avoidAfterFailure * (1 << std::min(m_failuresInRow - 1, mostDoublings));
    }
    if (isAnswer && !m_engine)
        m_speed.answerMs += learnRate * (Milliseconds(lasted).count() - m_speed.answerMs);
}

void TargetModel::peerPlaced(const PlacedPrompts& placed)
{
    if (placed.ownTokens)
        m_memory.takeUnshared(placed.ownTokens);
    for (const auto& [key, tokens] : placed.shared)
        m_memory.touch({ { key, tokens } });
}

void TargetModel::peerUse(TimePoint now, const VmId& peer, const TargetUse& use)
{
    const auto it
        = std::find_if(m_peers.begin(), m_peers.end(), [&](const PeerPart& part) { return part.peer == peer; });
    if (it == m_peers.end())
        m_peers.push_back({ peer, use, now });
    else
        *it = { peer, use, now };
}

} // namespace sagechute::dispatch
