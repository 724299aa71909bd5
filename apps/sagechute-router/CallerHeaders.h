#pragma once

/// @file
/// Parses a caller's request headers.

#include <sagechute/Net.h>
#include <sagechute/Routing.h>

namespace sagechute::router {

/// @return the customer's key from "Authorization: Bearer KEY", or an empty string.
std::string_view bearerKey(const net::ServerRequest&);

/// Parses all fields except the request id and the service, which the caller of this function sets.
/// @return the parsed request, or BadRequest naming the header and the remedy.
absl::StatusOr<routing::RequestArrived> readArrival(const net::ServerRequest&, const CustomerId&, config::TargetMode);

} // namespace sagechute::router
