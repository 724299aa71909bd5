#include "scheduling/GapBound.h"

#include <algorithm>
#include <cmath>

namespace sagechute::scheduling {

namespace {

    // An offer that lags is served late three times: its cell does not know the charges, its router does not know that
    // another cell would serve it sooner, and the move takes a summary's time again.
    constexpr double kUnseenFactor = 3;

} // namespace

void GapBound::noteEnd(Cost estimate, Cost actual)
{
    m_largestCost = std::max(m_largestCost, actual);
    m_largestError = std::max(m_largestError, std::abs(actual - estimate));
}

Cost GapBound::spread(double affinityShare, Cost unseen) const
{
    return (1 + affinityShare) * (m_largestCost + m_slots * m_largestError) + kUnseenFactor * unseen;
}

Cost GapBound::gap(double affinityShare, Cost unseen) const
{
    // One for the lag that the later customer brings along, one for the difference when it comes, one for that at the
    // end.
    return 3 * spread(affinityShare, unseen);
}

} // namespace sagechute::scheduling
