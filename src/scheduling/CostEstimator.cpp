#include "scheduling/CostEstimator.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    constexpr Cost kDefaultEstimate = 1;
    constexpr std::uint32_t kMinHintSamples = 8;
    constexpr double kMaxHintErrorRatio = 0.8;
    constexpr double kClampFactor = 4;

    bool isHint(Cost hint) { return std::isfinite(hint) && hint > 0 && hint <= kLargestCost; }

} // namespace

bool CostEstimator::hintsAreReliable() const
{
    return m_hintError.samples() >= kMinHintSamples && m_hintError.value() < kMaxHintErrorRatio * m_costError.value();
}

Cost CostEstimator::estimate(Cost hint, Cost poolMean) const
{
    if (!m_cost.samples())
        return poolMean > 0 ? poolMean : kDefaultEstimate;
    const Cost mean = m_cost.value();
    if (!isHint(hint) || !hintsAreReliable())
        return mean;
    return std::clamp(hint * m_ratio.value(), mean / kClampFactor, mean * kClampFactor);
}

void CostEstimator::learn(Cost hint, Cost actual)
{
    // Errors are taken from predictions made before this sample is added. Otherwise the ratio would be tested against
    // the sample that it was just fitted to.
    if (m_cost.samples())
        m_costError.add(std::abs(actual - m_cost.value()));
    m_cost.add(actual);
    if (!isHint(hint))
        return;
    if (m_ratio.samples())
        m_hintError.add(std::abs(actual - hint * m_ratio.value()));
    m_ratio.add(std::min(actual / hint, kLargestCost));
}

} // namespace sagechute::scheduling
