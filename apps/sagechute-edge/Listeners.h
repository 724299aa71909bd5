#pragma once

#include "Fleet.h"
#include "Front.h"

#include <nlohmann/json_fwd.hpp>

namespace sagechute::edge {

struct ListenerTools {
    EdgeState& state;
    Fleet& fleet;
    Front& front;
    AdaptiveRateLimiter& crowd;
    const EntryProtocol& entry;
    process::Metrics& metrics;
    net::EventLoop& loop; ///< Drives all listeners.
};

/// The sockets of an edge router: callers, readiness, control and "which address".
class Listeners {
public:
    static absl::StatusOr<std::unique_ptr<Listeners>> make(const Options&, const ListenerTools&);

    /// Refuses new connections of callers; those open go on.
    void stopTakingCallers() { m_callers->stopListening(); }

    /// Takes over what the newest configuration says of connections, and looks whether there is too much to do. To be
    /// called a few times a second.
    void followLimits();

private:
    explicit Listeners(const ListenerTools& tools)
        : m_tools(tools)
    {
    }

    absl::Status open(const Options&);
    void handleReadiness(net::ServerExchange&);
    void handleLocate(net::ServerExchange&, std::chrono::seconds kept);
    void handleControl(net::ServerExchange&);

    /// Tells the requests under which targets ended, or releases one of them.
    void handleQuarantine(net::ServerExchange&);
    nlohmann::json crashCases() const;
    nlohmann::json status() const;

    const ListenerTools m_tools;
    ReadinessGate m_readinessGate;
    std::atomic<std::size_t> m_toldAddresses { 0 }; ///< In the last answer, for the log.
    std::unique_ptr<net::HttpServer> m_callers;
    std::unique_ptr<net::HttpServer> m_readiness;
    std::unique_ptr<net::HttpServer> m_control;
    std::unique_ptr<net::HttpServer> m_locate;
    std::unique_ptr<net::HttpServer> m_metrics;
};

} // namespace sagechute::edge
