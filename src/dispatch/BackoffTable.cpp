#include "dispatch/BackoffTable.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// A target that nobody tried for so long after its pause is like any other.
    constexpr Duration kept = std::chrono::minutes(1);

} // namespace

bool BackoffTable::ask(TimePoint now, const TargetLife& life, Duration pause)
{
    std::erase_if(m_entries, [&](const auto& it) { return now - it.second.until > kept; });
    if (pause <= Duration::zero())
        return false;
    const bool isNews = !isPaused(now, life);
    Entry& entry = m_entries[life];
    entry.until = std::max(entry.until, now + std::min(pause, mostPause));
    entry.trialUntil = {};
    return isNews;
}

std::optional<TimePoint> BackoffTable::end(TimePoint now, const TargetLife& life) const
{
    const auto it = m_entries.find(life);
    return it != m_entries.end() && now < it->second.until ? std::optional(it->second.until) : std::nullopt;
}

bool BackoffTable::isOnTrial(TimePoint now, const TargetLife& life) const
{
    const auto it = m_entries.find(life);
    return it != m_entries.end() && now >= it->second.until && now < it->second.trialUntil;
}

void BackoffTable::placed(TimePoint now, const TargetLife& life, Duration patience)
{
    const auto it = m_entries.find(life);
    if (it != m_entries.end())
        it->second.trialUntil = now + patience;
}

void BackoffTable::served(TimePoint now, const TargetLife& life)
{
    const auto it = m_entries.find(life);
    if (it != m_entries.end() && now >= it->second.until)
        m_entries.erase(it);
}

} // namespace sagechute::dispatch
