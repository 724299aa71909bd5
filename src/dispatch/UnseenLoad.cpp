#include "dispatch/UnseenLoad.h"

#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Over this time placements are counted: a small router places some ten in it.
    constexpr Seconds window { 0.6 };

} // namespace

double UnseenLoad::decayed(TimePoint now) const { return m_tokens * std::exp(-Seconds(now - m_placedAt) / window); }

void UnseenLoad::placed(TimePoint now, std::uint32_t tokensToRead)
{
    m_tokens = decayed(now) + tokensToRead;
    m_placedAt = now;
}

std::uint32_t UnseenLoad::tokensEach(TimePoint now, Duration age, unsigned others, std::size_t engines) const
{
    if (engines == 0)
        return 0;
    const double perSecond = decayed(now) / window.count();
    return static_cast<std::uint32_t>(perSecond * Seconds(age).count() * others / static_cast<double>(engines));
}

} // namespace sagechute::dispatch
