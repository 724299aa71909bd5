#include "scheduling/GapBound.h"

#include <algorithm>
#include <cmath>

namespace sagechute::scheduling {

namespace {

    // Unreported charges delay an offer up to three times: its cell does not know the charges yet, its router does not
    // know yet that another cell would serve it sooner, and moving the offer takes another summary interval.
    constexpr double kUnreportedFactor = 3;

} // namespace

void GapBound::recordEnd(Cost estimate, Cost actual)
{
    m_largestCost = std::max(m_largestCost, actual);
    m_largestError = std::max(m_largestError, std::abs(actual - estimate));
}

Cost GapBound::spread(double affinitySlack, Cost unreported) const
{
    return (1 + affinitySlack) * (m_largestCost + m_slots * m_largestError) + kUnreportedFactor * unreported;
}

Cost GapBound::gap(double affinitySlack, Cost unreported) const
{
    // Three spreads: the lag that the later customer retains from before, the difference when it becomes backlogged,
    // and the difference at the end.
    return 3 * spread(affinitySlack, unreported);
}

} // namespace sagechute::scheduling
