#include "PartWorld.h"

#include <algorithm>

namespace sagechute::quarantine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration stepTime = 20ms;
    constexpr Duration crashDelay = 100ms; ///< From the arrival of a request to the exit of its target.
    constexpr Duration reportDelay = 5ms;

} // namespace

PartWorld::PartWorld(const PartWorldSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_routers(settings.routers)
    , m_targets(settings.targets)
{
    for (Target& it : m_targets)
        it.key = ++m_lastTargetKey;
}

void PartWorld::run(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end;)
        step();
}

void PartWorld::runWith(Duration duration, const Parts& parts, Duration interval, unsigned atOnce)
{
    TimePoint next = m_now;
    for (const TimePoint end = m_now + duration; m_now < end;) {
        if (m_now >= next) {
            next += interval;
            for (unsigned i = 0; i < atOnce; ++i)
                send(parts);
        }
        step();
    }
}

bool PartWorld::isCrashing(const Parts& parts) const
{
    return crashingPart && std::find(parts.begin(), parts.end(), crashingPart) != parts.end();
}

std::optional<unsigned> PartWorld::aliveTarget()
{
    const auto first = static_cast<unsigned>(m_random.below(m_targets.size()));
    for (unsigned i = 0; i < m_targets.size(); ++i) {
        const auto n = static_cast<unsigned>((first + i) % m_targets.size());
        if (!m_targets[n].downSince)
            return n;
    }
    return std::nullopt;
}

bool PartWorld::send(const Parts& parts, std::optional<unsigned> router)
{
    const unsigned n = router.value_or(static_cast<unsigned>(m_random.below(m_routers.size())));
    CrashGuard& guard = m_routers[n].guard;
    if (guard.parts().standing(m_now, parts) >= Standing::Undecided)
        return false;
    const std::optional<unsigned> target = aliveTarget();
    if (!target)
        return true;
    const TargetKey key = m_targets[*target].key;
    guard.sent(m_now, key, std::to_string(*target));
    guard.parts().sent(m_now, ++m_lastId, parts);
    m_attempts.push_back({ n, m_lastId, *target, key, m_now, parts, false });
    return true;
}

void PartWorld::kill(unsigned target)
{
    if (!m_targets[target].downSince)
        exit(target);
}

void PartWorld::restartRouter(unsigned router)
{
    m_routers[router].guard = CrashGuard();
    std::erase_if(m_attempts, [router](const Attempt& it) { return it.router == router; });
}

void PartWorld::exit(unsigned target)
{
    m_targets[target].downSince = m_now;
    for (const Attempt& it : m_attempts) {
        if (it.target != target || it.targetKey != m_targets[target].key)
            continue;
        CrashGuard& guard = m_routers[it.router].guard;
        const std::vector<PartKey> suspects = guard.parts().ended(m_now, it.id, false);
        guard.broke(m_now, it.sentAt, it.targetKey, it.id, false, suspects);
    }
    std::erase_if(m_attempts, [&](const Attempt& it) { return it.target == target; });
}

void PartWorld::advance(Attempt& attempt)
{
    CrashGuard& guard = m_routers[attempt.router].guard;
    const bool isSlow
        = std::find(attempt.parts.begin(), attempt.parts.end(), m_settings.slowPart) != attempt.parts.end();
    const Duration delay = isSlow ? m_settings.slowFirstEventDelay : m_settings.firstEventDelay;
    if (!attempt.isAnswering && m_now >= attempt.sentAt + delay) {
        attempt.isAnswering = true;
        guard.parts().answering(m_now, attempt.id);
    }
    if (m_now >= attempt.sentAt + m_settings.answerTime) {
        guard.parts().ended(m_now, attempt.id, true);
        guard.completed(attempt.sentAt, attempt.targetKey, attempt.id);
        attempt.id = 0;
    }
}

void PartWorld::step()
{
    m_now += stepTime;
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
        const auto deliver = std::move(m_deliveries.begin()->second);
        m_deliveries.erase(m_deliveries.begin());
        deliver();
    }
    for (Target& it : m_targets) {
        if (it.downSince && m_now >= *it.downSince + m_settings.downtime)
            it = { ++m_lastTargetKey, std::nullopt };
    }
    for (; m_nextSound <= m_now; m_nextSound += m_settings.soundInterval) {
        ++soundRequests;
        soundRefused += send(soundPrompts[m_random.below(soundPrompts.size())]) ? 0 : 1;
    }
    std::vector<unsigned> exiting;
    for (Attempt& it : m_attempts) {
        if (!isCrashing(it.parts))
            advance(it);
        else if (m_now >= it.sentAt + crashDelay)
            exiting.push_back(it.target);
    }
    std::erase_if(m_attempts, [](const Attempt& it) { return it.id == 0; });
    for (const unsigned it : exiting) {
        if (m_targets[it].downSince)
            continue;
        m_crashes.push_back(m_now);
        exit(it);
    }
    for (Router& router : m_routers) {
        for (const TargetCheck& it : router.guard.checksDue(m_now)) {
            const bool isAlive = std::any_of(m_targets.begin(), m_targets.end(),
                [&](const Target& target) { return target.key == it.target && !target.downSince; });
            router.guard.checked(m_now, it, isAlive ? CheckResult::Accepted : CheckResult::Refused);
        }
        router.guard.parts().tick(m_now);
        router.guard.takeUpdate();
    }
    if (m_now >= m_nextReport) {
        m_nextReport = m_now + m_settings.reportInterval;
        for (unsigned i = 0; i < m_routers.size(); ++i)
            report(i);
    }
}

void PartWorld::report(unsigned router)
{
    const std::vector<CrashRecord> records = m_routers[router].guard.parts().recordsToSend();
    const unsigned zone = router % m_settings.zones;
    const bool isRelay = router < m_settings.zones;
    for (unsigned i = 0; i < m_routers.size(); ++i) {
        const bool isMember = i % m_settings.zones == zone;
        const bool isReceiver = !m_settings.isRelayed || i == zone || (isRelay && (isMember || i < m_settings.zones));
        if (i != router && isReceiver)
            deliver(i, records);
    }
}

void PartWorld::deliver(unsigned to, const std::vector<CrashRecord>& records)
{
    if (records.empty() || m_random.fraction() < m_settings.lossRate)
        return;
    m_deliveries.emplace(
        m_now + reportDelay, [this, to, records] { m_routers[to].guard.parts().learn(m_now, records); });
}

unsigned PartWorld::quarantinedAt(PartKey part) const
{
    return static_cast<unsigned>(std::count_if(m_routers.begin(), m_routers.end(), [part](const Router& router) {
        const std::vector<CrashCase> cases = const_cast<CrashGuard&>(router.guard).parts().cases();
        return std::any_of(cases.begin(), cases.end(),
            [part](const CrashCase& it) { return it.subject == part && it.isPartQuarantined(); });
    }));
}

unsigned PartWorld::exitsLaterThan(Duration sinceFifth) const
{
    if (m_crashes.size() < partQuarantineThreshold)
        return 0;
    const TimePoint bound = m_crashes[partQuarantineThreshold - 1] + sinceFifth;
    return static_cast<unsigned>(
        std::count_if(m_crashes.begin(), m_crashes.end(), [=](TimePoint it) { return it > bound; }));
}

} // namespace sagechute::quarantine
