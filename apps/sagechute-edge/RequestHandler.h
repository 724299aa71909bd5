#pragma once

#include "Relay.h"

namespace sagechute::edge {

/// Validates callers' requests, determines their route, customer and service, and starts a relay for each.
class RequestHandler {
public:
    RequestHandler(const RelayContext& context, AdaptiveRateLimiter& overloadMeter)
        : m_context(context)
        , m_overloadMeter(overloadMeter)
    {
    }

    void handle(std::shared_ptr<net::ServerExchange>);

private:
    struct Verdict {
        int status = 0;
        std::string_view reason;
        std::optional<Duration> retryAfter;
    };

    /// Fills in the order. @return the reason to reject the request, if any.
    std::optional<Verdict> accept(const net::ServerRequest&, RelayOrder&);

    /// @param status for a route or a key that is not in the configuration.
    Verdict denialVerdict(int status, std::string_view reason) const;
    void reject(net::ServerExchange&, const RelayOrder&, const Verdict&) const;

    const RelayContext m_context;
    AdaptiveRateLimiter& m_overloadMeter;
};

} // namespace sagechute::edge
