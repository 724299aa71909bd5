#pragma once

#include <sagechute/Config.h>

#include <variant>

namespace sagechute::config {

/// A resource's spec in its typed form.
using Spec = std::variant<Customer, Service, Target, Fleet, Vm>;

/// Name of the one resource of Kind::Fleet.
inline constexpr std::string_view fleetName = "fleet";

/// @return "customer/tellers".
std::string resourceText(Kind, std::string_view name);

/// Reads a spec that is in a log record: strictly, and without a plain key.
/// @return the spec, or BadRequest naming the field's path and the remedy.
absl::StatusOr<Spec> parseSpec(Kind, std::string_view name, const nlohmann::json& spec);

/// @return the canonical form of a spec.
nlohmann::json specDocument(const Spec&);

/// @return whether a customer's canonical spec brings no key, and so keeps the one that the customer has.
bool keepsKey(const Customer&);

} // namespace sagechute::config
