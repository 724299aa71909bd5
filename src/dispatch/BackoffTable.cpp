#include "dispatch/BackoffTable.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// An entry expires this long after the end of its pause if no request has probed the target by then.
    constexpr Duration entryTtl = std::chrono::minutes(1);

} // namespace

bool BackoffTable::recordBackoff(TimePoint now, const TargetIncarnation& incarnation, Duration pause)
{
    std::erase_if(m_entries, [&](const auto& it) { return now - it.second.until > entryTtl; });
    if (pause <= Duration::zero())
        return false;
    const bool isNewPause = !isPaused(now, incarnation);
    Entry& entry = m_entries[incarnation];
    entry.until = std::max(entry.until, now + std::min(pause, maxPause));
    entry.trialUntil = {};
    return isNewPause;
}

std::optional<TimePoint> BackoffTable::pauseEnd(TimePoint now, const TargetIncarnation& incarnation) const
{
    const auto it = m_entries.find(incarnation);
    return it != m_entries.end() && now < it->second.until ? std::optional(it->second.until) : std::nullopt;
}

bool BackoffTable::isOnTrial(TimePoint now, const TargetIncarnation& incarnation) const
{
    const auto it = m_entries.find(incarnation);
    return it != m_entries.end() && now >= it->second.until && now < it->second.trialUntil;
}

void BackoffTable::placed(TimePoint now, const TargetIncarnation& incarnation, Duration trialTimeout)
{
    const auto it = m_entries.find(incarnation);
    if (it != m_entries.end())
        it->second.trialUntil = now + trialTimeout;
}

void BackoffTable::served(TimePoint now, const TargetIncarnation& incarnation)
{
    const auto it = m_entries.find(incarnation);
    if (it != m_entries.end() && now >= it->second.until)
        m_entries.erase(it);
}

} // namespace sagechute::dispatch
