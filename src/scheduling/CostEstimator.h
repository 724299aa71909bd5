#pragma once

/// @file
/// Estimates what a request will cost before it runs.

#include "scheduling/Costs.h"
#include "scheduling/MovingMean.h"

namespace sagechute::scheduling {

/// Estimate for one customer: the mean of its past costs, or the caller's hint times a learned ratio once hints have
/// proved better than the mean. The estimate only orders requests until their settlement, so an error is bounded by
/// what runs at a time; but a hint of 1e-9 on every request would still win that much each time, hence the clamp around
/// the mean.
class CostEstimator {
public:
    /// @param hint the caller's guess; anything but a positive finite number means none.
    /// @param poolMean mean cost over all customers, used before this one's first settlement; 0 when not known either.
    Cost estimate(Cost hint, Cost poolMean) const;

    /// @param hint the same hint that estimate() got.
    /// @param actual cost at the end of the request.
    void learn(Cost hint, Cost actual);

    bool hasLearned() const { return m_cost.samples() > 0; }

private:
    bool hintsAreReliable() const;

    MovingMean m_cost;
    MovingMean m_costError;
    MovingMean m_ratio;
    MovingMean m_hintError;
};

} // namespace sagechute::scheduling
