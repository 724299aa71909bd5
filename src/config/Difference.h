#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace sagechute::config {

/// @param before the former canonical spec, null when there was none; @param after the new one, null when it was
/// deleted.
/// @return what differs, in words for people: "weight 1 -> 2; key replaced". Shows neither a key nor anything made from
/// one.
std::string differenceText(const nlohmann::json& before, const nlohmann::json& after);

} // namespace sagechute::config
