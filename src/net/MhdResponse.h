#pragma once

#include "net/Exchange.h"

#include <microhttpd.h>

namespace sagechute::net {

/// Hands a whole answer to libmicrohttpd.
MHD_Result queueWhole(MHD_Connection*, ServerResponse);

/// Starts a chunked answer whose bytes come from the exchange.
MHD_Result queueStream(MHD_Connection*, const ServerResponse& head, std::shared_ptr<Exchange>);

} // namespace sagechute::net
