#pragma once

/// @file
/// HTTP interface: caller requests, router lookup, status, health and metrics.

#include "EventQueue.h"
#include "RcuSnapshot.h"
#include "StatusExporter.h"

#include <sagechute/Net.h>

#include <map>
#include <mutex>

namespace sagechute::router {

/// Runs on the HTTP threads. Authenticates and validates each request against the published snapshot, applies the
/// customer's admission limits, and passes the request to the core thread.
class CallerRequestHandler {
public:
    CallerRequestHandler(const RcuSnapshot&, EventQueue&, StatusExporter&, const RouterLife&);

    void handle(const std::shared_ptr<net::ServerExchange>&);

private:
    using Route = void (CallerRequestHandler::*)(const std::shared_ptr<net::ServerExchange>&);
    struct NamedRoute {
        std::string_view method;
        std::string_view path;
        Route route;
    };
    static const NamedRoute routes[];

    void locate(const std::shared_ptr<net::ServerExchange>&);
    void status(const std::shared_ptr<net::ServerExchange>&);
    void health(const std::shared_ptr<net::ServerExchange>&);
    void ready(const std::shared_ptr<net::ServerExchange>&);
    void metrics(const std::shared_ptr<net::ServerExchange>&);
    void admit(const std::shared_ptr<net::ServerExchange>&, std::string_view service);

    std::shared_ptr<delivery::AdmissionCounters> countersFor(const CustomerId&);

    const RcuSnapshot& m_snapshot;
    EventQueue& m_eventQueue;
    StatusExporter& m_statusExporter;
    RouterLife m_life;
    std::atomic<std::uint64_t> m_requestSerial { 0 };
    std::atomic<std::uint64_t> m_sessionSerial { 0 };
    std::mutex m_countersMutex;
    std::map<CustomerId, std::shared_ptr<delivery::AdmissionCounters>> m_counters;
};

} // namespace sagechute::router
