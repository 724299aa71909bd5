#include <sagechute/Quarantine.h>

#include <algorithm>

namespace sagechute::quarantine {

namespace {

    /// Between two checks of one target.
    constexpr Duration checkPause = std::chrono::milliseconds(400);

    /// A broken attempt that nothing was found out about counts for nothing after this; an entry goes some seconds
    /// after its target ended.
    constexpr Duration undecidedKept = std::chrono::seconds(10);

} // namespace

std::string_view toString(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::Refused:
        return "refused";
    case EndEvidence::Replaced:
        return "replaced";
    case EndEvidence::EntryGone:
        return "entry-gone";
    }
    return "";
}

void EndDetector::sent(TimePoint now, TargetKey target, const std::string& address)
{
    Watch& watch = m_watches[target];
    watch.address = address;
    watch.inFlight.insert(now);
}

void EndDetector::ended(TimePoint sentAt, TargetKey target)
{
    const auto it = m_watches.find(target);
    if (it == m_watches.end())
        return;
    std::multiset<TimePoint>& inFlight = it->second.inFlight;
    if (const auto attempt = inFlight.find(sentAt); attempt != inFlight.end())
        inFlight.erase(attempt);
    if (inFlight.empty() && it->second.broken.empty() && !it->second.endedAt)
        m_watches.erase(it);
}

void EndDetector::broke(TimePoint now, TimePoint sentAt, TargetKey target, RequestKey request, bool isSilent)
{
    const auto it = m_watches.find(target);
    if (it == m_watches.end())
        return;
    it->second.broken.push_back({ request, now, isSilent, false });
    ended(sentAt, target);
    if (it->second.endedAt)
        confirm(now, target, it->second, EndEvidence::Refused, false);
}

std::vector<TargetCheck> EndDetector::checksDue(TimePoint now)
{
    std::vector<TargetCheck> due;
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        Watch& watch = it->second;
        expire(now, watch);
        const bool isWanted = std::any_of(watch.broken.begin(), watch.broken.end(),
            [](const BrokenAttempt& attempt) { return !attempt.isExplained && !attempt.isSilent; });
        if (isWanted && !watch.checkedAt && now >= watch.nextCheck) {
            watch.checkedAt = now;
            due.push_back({ it->first, watch.address, now });
        }
        const bool isIdle = watch.inFlight.empty() && watch.broken.empty() && !watch.endedAt;
        it = isIdle ? m_watches.erase(it) : std::next(it);
    }
    return due;
}

void EndDetector::expire(TimePoint now, Watch& watch)
{
    std::erase_if(watch.broken, [now](const BrokenAttempt& it) { return now - it.at > undecidedKept; });
    if (watch.endedAt && now - *watch.endedAt > undecidedKept)
        watch.endedAt.reset();
}

void EndDetector::checked(TimePoint now, const TargetCheck& check, CheckResult result)
{
    const auto it = m_watches.find(check.target);
    if (it == m_watches.end())
        return;
    Watch& watch = it->second;
    watch.checkedAt.reset();
    watch.nextCheck = now + checkPause;
    if (result == CheckResult::Accepted) {
        for (BrokenAttempt& attempt : watch.broken)
            attempt.isExplained |= attempt.at <= check.due;
        return;
    }
    if (result == CheckResult::NoAnswer)
        return;
    const auto first = std::find_if(
        watch.broken.begin(), watch.broken.end(), [](const BrokenAttempt& attempt) { return !attempt.isExplained; });
    // Whatever was in flight when the target ended has broken, too; else it only takes no more connections.
    const bool hasSurvivor
        = first != watch.broken.end() && !watch.inFlight.empty() && *watch.inFlight.begin() < first->at;
    if (first != watch.broken.end() && !hasSurvivor)
        confirm(now, check.target, watch, EndEvidence::Refused, false);
}

void EndDetector::entryGone(TimePoint now, TargetKey target)
{
    if (const auto it = m_watches.find(target); it != m_watches.end())
        confirm(now, target, it->second, EndEvidence::EntryGone, false);
}

void EndDetector::replaced(TimePoint now, TargetKey target)
{
    // A process that is started again at once takes connections before anybody could see that its address refused them.
    if (const auto it = m_watches.find(target); it != m_watches.end())
        confirm(now, target, it->second, EndEvidence::Replaced, true);
}

void EndDetector::confirm(TimePoint now, TargetKey target, Watch& watch, EndEvidence evidence, bool withExplained)
{
    TargetEnd end { target, evidence, {} };
    for (const BrokenAttempt& it : watch.broken) {
        if (withExplained || !it.isExplained)
            end.requests.insert(it.request);
    }
    watch.broken.clear();
    if (end.requests.empty())
        return;
    watch.endedAt = now;
    m_ends.push_back(std::move(end));
}

unsigned EndDetector::undecided(RequestKey request) const
{
    unsigned n = 0;
    for (const auto& [target, watch] : m_watches)
        n += std::any_of(watch.broken.begin(), watch.broken.end(),
                 [request](const BrokenAttempt& it) { return it.request == request && !it.isExplained; })
            ? 1
            : 0;
    return n;
}

std::vector<TargetEnd> EndDetector::takeEnds() { return std::exchange(m_ends, {}); }

} // namespace sagechute::quarantine
