#pragma once

/// @file
/// Reads a caller's request headers into a typed arrival.

#include <sagechute/Net.h>
#include <sagechute/Routing.h>

namespace sagechute::router {

/// @return the customer's key from "Authorization: Bearer KEY", or an empty text.
std::string_view bearerKey(const net::ServerRequest&);

/// Reads everything but identity and customer.
/// @return the arrival, or BadRequest naming the header and the remedy.
absl::StatusOr<routing::RequestArrived> readArrival(const net::ServerRequest&, const CustomerId&, config::TargetMode);

} // namespace sagechute::router
