#include "dispatch/SizeBalance.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// A size class is underserved, or starved, if its admission rate is less than this fraction of the route's. Large
    /// requests are not raised to the full rate, as a boosted one may be late and takes the time of several small ones.
    constexpr double underservedBelow = 0.65;
    constexpr double starvedBelow = 0.6;

    /// Half-life of the counts: long compared with the time between large requests at one router, short compared with a
    /// flood.
    constexpr double halfLifeSeconds = 6;

    /// Lower bounds of all size classes but the first, as multiples of the mean size.
    constexpr std::array<double, 4> lowerBounds { 1.0, 1.4, 2.0, 3.0 };

    /// With fewer requests of a class its admission rate is noise.
    constexpr double minRequests = 1;

} // namespace

std::size_t SizeBalance::sizeClassOf(double tokens) const
{
    const double mean = meanTokens();
    if (mean <= 0)
        return 0;
    const double ratio = tokens / mean;
    return static_cast<std::size_t>(
        std::upper_bound(lowerBounds.begin(), lowerBounds.end(), ratio) - lowerBounds.begin());
}

void SizeBalance::decay(TimePoint now)
{
    const double elapsedSeconds = m_decayedAt ? Seconds(now - *m_decayedAt).count() : 0;
    m_decayedAt = now;
    const double remaining = std::exp2(-elapsedSeconds / halfLifeSeconds);
    for (Counts* it : { &m_all, &m_classes[0], &m_classes[1], &m_classes[2], &m_classes[3], &m_classes[4] }) {
        it->requested *= remaining;
        it->admitted *= remaining;
    }
    m_tokens *= remaining;
    m_waitSeconds *= remaining;
}

Duration SizeBalance::meanAdmittedWait() const
{
    return m_all.admitted > 0 ? std::chrono::duration_cast<Duration>(Seconds(m_waitSeconds / m_all.admitted))
                              : Duration {};
}

void SizeBalance::recordDecision(TimePoint now, double tokens, Duration wait, bool isAdmitted)
{
    decay(now);
    m_tokens += tokens;
    if (isAdmitted)
        m_waitSeconds += Seconds(wait).count();
    Counts& sizeClass = m_classes[sizeClassOf(tokens)];
    for (Counts* it : { &m_all, &sizeClass }) {
        it->requested += 1;
        it->admitted += isAdmitted ? 1 : 0;
    }
}

SizeBalance::Standing SizeBalance::standing(double tokens) const
{
    const Counts& sizeClass = m_classes[sizeClassOf(tokens)];
    const bool isKnown = sizeClass.requested > minRequests && m_all.admitted > 0;
    const double relativeAdmission
        = isKnown ? sizeClass.admitted / sizeClass.requested * m_all.requested / m_all.admitted : 1;
    if (relativeAdmission >= underservedBelow)
        return Standing::Proportional;
    return relativeAdmission >= starvedBelow ? Standing::Underserved : Standing::Starved;
}

} // namespace sagechute::dispatch
