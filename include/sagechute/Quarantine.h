#pragma once

/// @file
/// Requests that crash the targets that run them. Decision logic without sockets, threads or clock.

#include <sagechute/Core.h>

#include <string>
#include <string_view>

namespace sagechute::quarantine {

/// Names a request by what it asks, whatever the identity of the attempt that carries it.
using RequestKey = std::uint64_t;

/// What a request asks. The views outlive the call only.
struct RequestContent {
    CustomerId customer; ///< Empty on a public route.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query as sent.
    std::string_view body;
};

/// @return a digest of the content. No customer can make a request whose key is that of another's.
RequestKey requestKeyOf(const RequestContent&);

/// @return 16 hexadecimal digits, as in logs.
std::string toHex(RequestKey);

} // namespace sagechute::quarantine
