#pragma once

/// @file
/// Limits on the costs that callers, targets and peers report.

#include <sagechute/Core.h>

#include <cmath>

namespace sagechute::scheduling {

/// A single report of 1e300 would raise a customer's service for good, and additions to such a sum would round to
/// nothing: the customer would never be served again. No honest request comes near this bound.
inline constexpr Cost kLargestCost = 1e9;

/// @return whether a reported cost can be an amount of service at all.
inline bool isCost(Cost cost) { return std::isfinite(cost) && cost >= 0; }

/// @return @p cost, at most kLargestCost. @param cost an amount for which isCost() holds.
inline Cost boundedCost(Cost cost) { return std::min(cost, kLargestCost); }

} // namespace sagechute::scheduling
