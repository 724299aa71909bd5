#pragma once

#include <sagechute/Operators.h>

#include <string_view>

namespace sagechute::operators {

/// Compares without an early end: the time taken tells nothing about where two texts differ.
bool equalInConstantTime(std::string_view given, std::string_view secret);

/// Finds the operator of a request by its Authorization header.
/// @return the operator, or nullptr when the header is missing or the key is nobody's.
const OperatorKey* authenticate(const std::vector<OperatorKey>&, const std::vector<net::Field>& headers);

} // namespace sagechute::operators
