#pragma once

/// @file
/// Formats durations, ages and tokens for log fields.

#include <sagechute/Core.h>

#include <cmath>
#include <optional>
#include <string>

namespace sagechute::edge {

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// @return whole milliseconds.
inline std::string formatMs(Duration duration) { return std::to_string(toMilliseconds(duration).count()); }

/// @return whole tokens. @param n finite.
inline std::string formatTokens(double n) { return std::to_string(std::llround(n)); }

/// @return whole milliseconds from @p until to @p now, or "unknown" without @p until.
inline std::string formatAgeMs(std::optional<TimePoint> until, TimePoint now)
{
    return until ? formatMs(now - *until) : "unknown";
}

} // namespace sagechute::edge
