#include "dispatch/SizeBalance.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// A class of sizes is short when it is taken less than this part as often as all. A large request that is helped
    /// may come late and takes the time of several small ones, so that it isn't helped up to an equal part.
    constexpr double shortPart = 0.65;
    constexpr double starvedPart = 0.6;

    /// Counts fall by half in this time: long against the gaps between large requests at one router, short against a
    /// flood.
    constexpr double halfLifeSeconds = 6;

    /// Lower bounds of the classes of sizes but the first, as multiples of the mean.
    constexpr std::array<double, 4> bounds { 1.0, 1.4, 2.0, 3.0 };

    /// With fewer requests than this of a class its part is chance.
    constexpr double leastAsked = 1;

} // namespace

std::size_t SizeBalance::classOf(double tokens) const
{
    const double typical = meanTokens();
    if (typical <= 0)
        return 0;
    const double ratio = tokens / typical;
    return static_cast<std::size_t>(std::upper_bound(bounds.begin(), bounds.end(), ratio) - bounds.begin());
}

void SizeBalance::fade(TimePoint now)
{
    const double passed = m_fadedAt ? Seconds(now - *m_fadedAt).count() : 0;
    m_fadedAt = now;
    const double left = std::exp2(-passed / halfLifeSeconds);
    for (Counts* it : { &m_all, &m_classes[0], &m_classes[1], &m_classes[2], &m_classes[3], &m_classes[4] }) {
        it->asked *= left;
        it->taken *= left;
    }
    m_tokens *= left;
    m_waitSeconds *= left;
}

Duration SizeBalance::takenWait() const
{
    return m_all.taken > 0 ? std::chrono::duration_cast<Duration>(Seconds(m_waitSeconds / m_all.taken)) : Duration {};
}

void SizeBalance::decided(TimePoint now, double tokens, Duration wait, bool isTaken)
{
    fade(now);
    m_tokens += tokens;
    if (isTaken)
        m_waitSeconds += Seconds(wait).count();
    Counts& ownClass = m_classes[classOf(tokens)];
    for (Counts* it : { &m_all, &ownClass }) {
        it->asked += 1;
        it->taken += isTaken ? 1 : 0;
    }
}

SizeBalance::Standing SizeBalance::standing(double tokens) const
{
    const Counts& ownClass = m_classes[classOf(tokens)];
    const bool isKnown = ownClass.asked > leastAsked && m_all.taken > 0;
    const double part = isKnown ? ownClass.taken / ownClass.asked * m_all.asked / m_all.taken : 1;
    if (part >= shortPart)
        return Standing::Even;
    return part >= starvedPart ? Standing::Short : Standing::Starved;
}

} // namespace sagechute::dispatch
