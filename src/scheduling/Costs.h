#pragma once

/// @file
/// Validation of costs reported by callers, targets and peers.

#include <sagechute/Core.h>

#include <cmath>

namespace sagechute::scheduling {

/// Upper limit for a single reported cost, far above that of any real request. A report of 1e300 would raise the
/// customer's service permanently, and later additions would be lost to rounding, so the customer would never be served
/// again.
inline constexpr Cost kLargestCost = 1e9;

/// @return whether a reported cost is a valid amount of service: finite and not negative.
inline bool isValidCost(Cost cost) { return std::isfinite(cost) && cost >= 0; }

/// Limits a cost to kLargestCost. @param cost must satisfy isValidCost().
inline Cost clampCost(Cost cost) { return std::min(cost, kLargestCost); }

} // namespace sagechute::scheduling
