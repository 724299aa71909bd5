#include "dispatch/PromptDemand.h"

#include <cmath>
#include <numbers>

namespace sagechute::dispatch {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// After this many half-lives less than a thousandth of an entry is left.
    constexpr int expiredAfterHalfLives = 10;

    double decayed(double tokens, Duration age) { return tokens * std::exp2(-Seconds(age) / PromptDemand::halfLife); }

} // namespace

void PromptDemand::requested(TimePoint now, std::uint64_t prefix, std::uint32_t tokens)
{
    if (m_entries.size() >= maxEntries)
        std::erase_if(m_entries, [&](const auto& it) { return now - it.second.at > expiredAfterHalfLives * halfLife; });
    if (m_entries.size() >= maxEntries && !m_entries.contains(prefix))
        return;
    Entry& entry = m_entries[prefix];
    entry = { decayed(entry.tokens, now - entry.at) + tokens, now };
}

double PromptDemand::tokensPerSecond(TimePoint now, std::uint64_t prefix) const
{
    const auto it = m_entries.find(prefix);
    if (it == m_entries.end())
        return 0;
    return decayed(it->second.tokens, now - it->second.at) * std::numbers::ln2 / Seconds(halfLife).count();
}

} // namespace sagechute::dispatch
