#include <sagechute/Quarantine.h>

#include <algorithm>

namespace sagechute::quarantine {

namespace {

    /// Between two probes of one target.
    constexpr Duration checkInterval = std::chrono::milliseconds(400);

    /// A broken attempt whose cause is not found within this time is dropped. A target's entry is removed some seconds
    /// after the target exits.
    constexpr Duration undecidedTimeout = std::chrono::seconds(10);

} // namespace

std::string_view toString(ExitEvidence evidence)
{
    switch (evidence) {
    case ExitEvidence::Refused:
        return "refused";
    case ExitEvidence::Replaced:
        return "replaced";
    case ExitEvidence::EntryGone:
        return "entry-gone";
    }
    return "";
}

void TargetExitDetector::sent(TimePoint now, TargetKey target, const std::string& address)
{
    Watch& watch = m_watches[target];
    watch.address = address;
    watch.inFlight.insert(now);
}

void TargetExitDetector::ended(TimePoint sentAt, TargetKey target)
{
    const auto it = m_watches.find(target);
    if (it == m_watches.end())
        return;
    std::multiset<TimePoint>& inFlight = it->second.inFlight;
    if (const auto attempt = inFlight.find(sentAt); attempt != inFlight.end())
        inFlight.erase(attempt);
    if (inFlight.empty() && it->second.broken.empty() && !it->second.exitedAt)
        m_watches.erase(it);
}

void TargetExitDetector::broke(TimePoint now, TimePoint sentAt, TargetKey target, RequestKey request, bool isSilent,
    const std::vector<PartKey>& suspectParts)
{
    const auto it = m_watches.find(target);
    if (it == m_watches.end())
        return;
    it->second.broken.push_back({ request, sentAt, now, isSilent, false, suspectParts });
    ended(sentAt, target);
    if (it->second.exitedAt)
        confirmExit(now, target, it->second, ExitEvidence::Refused, false);
}

void TargetExitDetector::heard(TimePoint now, TargetKey target)
{
    const auto it = m_watches.find(target);
    if (it == m_watches.end())
        return;
    // After a reset, bytes that the target sent before it exited may still be read from other connections.
    for (BrokenAttempt& attempt : it->second.broken)
        attempt.isTargetKnownAlive |= attempt.isSilent && attempt.at <= now;
}

std::vector<TargetCheck> TargetExitDetector::checksDue(TimePoint now)
{
    std::vector<TargetCheck> due;
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        Watch& watch = it->second;
        expire(now, watch);
        const bool isWanted = std::any_of(watch.broken.begin(), watch.broken.end(),
            [](const BrokenAttempt& attempt) { return !attempt.isTargetKnownAlive; });
        if (isWanted && !watch.checkStartedAt && now >= watch.nextCheck) {
            watch.checkStartedAt = now;
            due.push_back({ it->first, watch.address, now });
        }
        const bool isIdle = watch.inFlight.empty() && watch.broken.empty() && !watch.exitedAt;
        it = isIdle ? m_watches.erase(it) : std::next(it);
    }
    return due;
}

void TargetExitDetector::expire(TimePoint now, Watch& watch)
{
    std::erase_if(watch.broken, [now](const BrokenAttempt& it) { return now - it.at > undecidedTimeout; });
    if (watch.exitedAt && now - *watch.exitedAt > undecidedTimeout)
        watch.exitedAt.reset();
}

void TargetExitDetector::checked(TimePoint now, const TargetCheck& check, CheckResult result)
{
    const auto it = m_watches.find(check.target);
    if (it == m_watches.end())
        return;
    Watch& watch = it->second;
    watch.checkStartedAt.reset();
    watch.nextCheck = now + checkInterval;
    if (result == CheckResult::Accepted) {
        for (BrokenAttempt& attempt : watch.broken)
            attempt.isTargetKnownAlive |= attempt.at <= check.due;
        return;
    }
    if (result == CheckResult::NoAnswer)
        return;
    const auto first = std::find_if(watch.broken.begin(), watch.broken.end(),
        [](const BrokenAttempt& attempt) { return !attempt.isTargetKnownAlive; });
    // An exit breaks everything in flight; an attempt that survived shows that the target only refuses new connections.
    const bool hasSurvivor
        = first != watch.broken.end() && !watch.inFlight.empty() && *watch.inFlight.begin() < first->at;
    if (first != watch.broken.end() && !hasSurvivor)
        confirmExit(now, check.target, watch, ExitEvidence::Refused, false);
}

void TargetExitDetector::entryGone(TimePoint now, TargetKey target)
{
    if (const auto it = m_watches.find(target); it != m_watches.end())
        confirmExit(now, target, it->second, ExitEvidence::EntryGone, false);
}

void TargetExitDetector::replaced(TimePoint now, TargetKey target)
{
    // A process that restarts at once accepts connections before a probe could have seen them refused.
    if (const auto it = m_watches.find(target); it != m_watches.end())
        confirmExit(now, target, it->second, ExitEvidence::Replaced, true);
}

void TargetExitDetector::confirmExit(
    TimePoint now, TargetKey target, Watch& watch, ExitEvidence evidence, bool includesKnownAlive)
{
    TargetExit end { target, evidence, {}, {} };
    for (const BrokenAttempt& it : watch.broken) {
        // The kernel accepts connections for a process that hangs and may still exit because of the request.
        if (!includesKnownAlive && !it.isSilent && it.isTargetKnownAlive)
            continue;
        end.requests.insert(it.request);
        for (const PartKey part : it.suspectParts) {
            TimePoint& sentAt = end.parts[part];
            sentAt = std::max(sentAt, it.sentAt);
        }
    }
    watch.broken.clear();
    if (end.requests.empty())
        return;
    watch.exitedAt = now;
    m_exits.push_back(std::move(end));
}

unsigned TargetExitDetector::undecided(RequestKey request) const
{
    unsigned n = 0;
    for (const auto& [target, watch] : m_watches)
        n += std::any_of(watch.broken.begin(), watch.broken.end(),
                 [request](const BrokenAttempt& it) { return it.request == request && !it.isTargetKnownAlive; })
            ? 1
            : 0;
    return n;
}

std::vector<TargetExit> TargetExitDetector::takeExits() { return std::exchange(m_exits, {}); }

} // namespace sagechute::quarantine
