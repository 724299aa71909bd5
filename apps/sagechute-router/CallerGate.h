#pragma once

/// @file
/// The HTTP interface: callers' requests, "which address", status, health and metrics.

#include "Inbox.h"
#include "RcuSnapshot.h"
#include "StatusBoard.h"

#include <sagechute/Net.h>

#include <map>
#include <mutex>

namespace sagechute::router {

/// Runs on the HTTP threads: checks a request as far as the published snapshot allows, and hands it to the deciding
/// thread.
class CallerGate {
public:
    CallerGate(const RcuSnapshot&, Inbox&, StatusBoard&, const RouterLife&);

    void handle(const std::shared_ptr<net::ServerExchange>&);

private:
    using Route = void (CallerGate::*)(const std::shared_ptr<net::ServerExchange>&);
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
    void take(const std::shared_ptr<net::ServerExchange>&, std::string_view service);

    std::shared_ptr<delivery::AdmissionCounters> countersOf(const CustomerId&);

    const RcuSnapshot& m_snapshot;
    Inbox& m_inbox;
    StatusBoard& m_board;
    RouterLife m_life;
    std::atomic<std::uint64_t> m_serial { 0 };
    std::atomic<std::uint64_t> m_sessionSerial { 0 };
    std::mutex m_countersMutex;
    std::map<CustomerId, std::shared_ptr<delivery::AdmissionCounters>> m_counters;
};

} // namespace sagechute::router
