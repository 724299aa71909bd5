#pragma once

/// @file
/// Estimation of the cost of a request before it runs.

#include "scheduling/Costs.h"
#include "scheduling/MovingMean.h"

namespace sagechute::scheduling {

/// Cost estimator for one customer: the moving mean of past costs, or the caller's hint scaled by a learned ratio once
/// hints have proved more accurate than the mean. An estimate is replaced by the actual cost at settlement, so its
/// error is bounded by the requests that run concurrently. A customer that sends a hint of 1e-9 with every request
/// would still gain that much each time, so hinted estimates are clamped to a range around the mean.
class CostEstimator {
public:
    /// @param hint the caller's estimate; ignored unless positive, finite and at most kLargestCost.
    /// @param poolMean mean cost over all customers, used before this customer's first settlement; 0 if unknown.
    Cost estimate(Cost hint, Cost poolMean) const;

    /// Adds the actual cost of a settled request. @param hint as passed to estimate().
    void learn(Cost hint, Cost actual);

    bool hasSamples() const { return m_cost.samples() > 0; }

private:
    bool hintsAreReliable() const;

    MovingMean m_cost;
    MovingMean m_costError;
    MovingMean m_ratio;
    MovingMean m_hintError;
};

} // namespace sagechute::scheduling
