#pragma once

#include "operators/FleetPicture.h"

#include <sagechute/Config.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace sagechute::operators {

/// How this API itself stands to the log.
struct LogStanding {
    bool reachable = false;
    std::string fault; ///< Why not.
    LogOffset offset = 0; ///< Read so far.
    std::optional<Duration> sinceContact; ///< Time since the log last answered, if it ever did.
};

/// @return the state of the fleet at a glance.
nlohmann::json fleetDocument(const FleetPicture&, const config::ConfigView&, const LogStanding&, TimePoint now);

/// @return what is observed of a resource, beside what was declared.
nlohmann::json observedStatus(const config::Resource&, const FleetPicture&, const config::ConfigView&);

} // namespace sagechute::operators
