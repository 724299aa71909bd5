#pragma once

#include "Relay.h"

namespace sagechute::edge {

/// Takes callers' requests: finds route, customer and service, and hands them to a relay.
class Front {
public:
    Front(const RelayTools& tools, AdaptiveRateLimiter& crowd)
        : m_tools(tools)
        , m_crowd(crowd)
    {
    }

    void handle(std::shared_ptr<net::ServerExchange>);

private:
    struct Verdict {
        int status = 0;
        std::string_view reason;
        std::optional<Duration> comeBack;
    };

    std::optional<Verdict> accept(const net::ServerRequest&, RelayOrder&);

    /// @param status for a route or a key that the configuration does not hold.
    Verdict denied(int status, std::string_view reason) const;
    void reject(net::ServerExchange&, const RelayOrder&, const Verdict&) const;

    const RelayTools m_tools;
    AdaptiveRateLimiter& m_crowd;
};

} // namespace sagechute::edge
