#pragma once

#include "config/Specs.h"

namespace sagechute::config {

/// Checks that what resources say about each other still holds after a put. @param view the state before it.
/// @return OK, or Conflict naming who is in the way and the remedy.
absl::Status checkPut(const ConfigView& view, const Spec&);

/// Same for deleting a resource that is there.
absl::Status checkDelete(const ConfigView& view, Kind, const std::string& name);

} // namespace sagechute::config
