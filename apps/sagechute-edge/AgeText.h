#pragma once

/// @file
/// Durations and ages as log lines have them.

#include <sagechute/Core.h>

#include <optional>
#include <string>

namespace sagechute::edge {

inline std::chrono::milliseconds toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// @return whole milliseconds, for a log line.
inline std::string msText(Duration duration) { return std::to_string(toMs(duration).count()); }

/// @return how long ago something was known, in milliseconds, for a log line.
inline std::string ageText(std::optional<TimePoint> until, TimePoint now)
{
    return until ? msText(now - *until) : "unknown";
}

} // namespace sagechute::edge
