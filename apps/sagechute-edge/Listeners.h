#pragma once

#include "CrashJournal.h"
#include "Fleet.h"
#include "RequestHandler.h"

#include <nlohmann/json_fwd.hpp>

namespace sagechute::edge {

struct ListenerContext {
    EdgeState& state;
    Fleet& fleet;
    RequestHandler& requestHandler;
    CrashJournal& crashJournal;
    AdaptiveRateLimiter& overloadMeter;
    const EntryProtocol& entryProtocol;
    const CallerProtocol& callerProtocol;
    process::Metrics& metrics;
    EdgeMetrics& edgeMetrics;
    net::EventLoop& loop; ///< Drives all listeners.
};

/// The HTTP listeners of an edge router: callers' requests, readiness checks, control, address lookups and metrics.
class Listeners {
public:
    static absl::StatusOr<std::unique_ptr<Listeners>> make(const Options&, const ListenerContext&);

    /// Refuses callers' new connections; open ones continue.
    void stopListeningForCallers() { m_callers->stopListening(); }

    /// @return callers' requests whose answers have not left the process to their ends.
    std::size_t openCallerRequests() const { return m_callers->openRequests(); }

    /// Applies the current configuration's idle timeout, and updates the overload measurement and the readiness. Call
    /// it a few times a second.
    void updateLimits();

private:
    explicit Listeners(const ListenerContext& context)
        : m_context(context)
    {
    }

    absl::Status open(const Options&);
    void reportClosed(const net::ClosedConnection&) const;
    void handleReadiness(net::ServerExchange&);
    void handleLocate(net::ServerExchange&, std::chrono::seconds cacheTime);
    void handleControl(const std::shared_ptr<net::ServerExchange>&);

    /// Lists the requests during which targets ended, or releases one from quarantine. A release is answered once the
    /// store holds it, or has not accepted it in time.
    void handleQuarantine(const std::shared_ptr<net::ServerExchange>&);
    nlohmann::json crashCasesJson() const;
    nlohmann::json statusJson() const;

    /// @return the targets, each with its newest load reading.
    nlohmann::json targetsJson() const;

    const ListenerContext m_context;
    ReadinessGate m_readinessGate;
    std::atomic<std::size_t> m_lastAddressCount { 0 }; ///< Number of addresses in the last lookup answer, for the log.
    std::unique_ptr<net::HttpServer> m_callers;
    std::unique_ptr<net::HttpServer> m_readiness;
    std::unique_ptr<net::HttpServer> m_control;
    std::unique_ptr<net::HttpServer> m_locate;
    std::unique_ptr<net::HttpServer> m_metrics;
};

} // namespace sagechute::edge
