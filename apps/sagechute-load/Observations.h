#pragma once

/// @file
/// Reading what targets, routers and fault scripts say, apart from any I/O.

#include "Plan.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sagechute::load {

/// A target stand-in's /standin/stats.
struct TargetStats {
    double busySlotSeconds = 0;
    double slots = 0;
    double sinceSeconds = 0;
    unsigned running = 0;
    std::chrono::milliseconds lastStartedAtUnix { 0 }; ///< 0: nothing was started.
    std::map<std::string, double> costByCustomer;
    std::map<std::string, unsigned> runningByCustomer; ///< Empty when the target does not tell.
    bool tellsRunningByCustomer = false;
    std::map<std::string, std::uint64_t> startedByCustomer;
};

absl::StatusOr<TargetStats> parseTargetStats(std::string_view body);

/// A target stand-in's /standin/runs.
struct TargetRuns {
    std::uint64_t total = 0;
    std::unordered_map<std::string, unsigned> tags;
};

absl::StatusOr<TargetRuns> parseTargetRuns(std::string_view body);

/// One line of the Prometheus text format.
struct MetricSample {
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// @return the samples of a /metrics page; lines that do not parse are left out.
std::vector<MetricSample> parseMetrics(std::string_view page);

/// @return the sum of all samples of that name.
double sumOf(const std::vector<MetricSample>&, std::string_view name);

/// Something that a fault script did, one JSON object a line:
/// {"atUnixMs": N, "event": "target-leave-accepted", "target": "NAME"},
/// {"atUnixMs": N, "event": "config-in-force", "milliseconds": N} or
/// {"atUnixMs": N, "event": "fault", "text": "..."}.
struct ScriptEvent {
    std::chrono::milliseconds atUnix { 0 };
    std::string event;
    std::string target;
    std::string text;
    double milliseconds = 0;
};

/// @return the events of the whole lines of @p text; a line that is still being written is left out.
std::vector<ScriptEvent> parseScriptEvents(std::string_view text);

/// Memory and processor time of another process, from /proc.
struct ProcessUsage {
    std::uint64_t residentBytes = 0;
    double cpuSeconds = 0;
};

/// @return zeroes when there is no such process.
ProcessUsage processUsage(int processId);

} // namespace sagechute::load
