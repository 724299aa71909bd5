#pragma once

#include "config/Specs.h"

namespace sagechute::config {

/// Fills in ConfigView::customersByKeyId.
void indexKeys(ConfigView&);

/// Puts a resource into its list of a view that is being built, or replaces it there.
void putInto(ConfigView&, const Spec&);

/// Takes a resource out of its list; the fleet's settings go back to their defaults.
void removeFrom(ConfigView&, Kind, const std::string& name);

} // namespace sagechute::config
