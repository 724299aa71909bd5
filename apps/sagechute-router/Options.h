#pragma once

/// @file
/// Settings of the router process.

#include "AttemptSender.h"

#include <sagechute/Net.h>
#include <sagechute/Peer.h>
#include <sagechute/Process.h>
#include <sagechute/Routing.h>

namespace sagechute::router {

struct Options {
    std::string vm;
    std::string zone;
    std::string listen = "127.0.0.1:9000";
    std::string peerListen = "127.0.0.1:0";
    std::string gossipListen = "127.0.0.1:0";
    std::string platform;
    std::string policy = "cells";
    std::string logLevel = "info";
    std::string fleetSecret;
    std::vector<std::string> seeds;
    std::uint64_t cellsPerPool = 0;
    std::uint64_t httpThreads = 2;
    std::uint64_t clientThreads = 2;
    std::uint64_t maxConnections = 8192;
    std::uint64_t memoryMb = 1024;
    std::uint64_t maxBodyBytes = 4 << 20;
    std::uint64_t offerWindow = 32;
    std::uint64_t windowSlack = 1;
    double affinitySlack = -1; ///< Negative: use the value of the fleet resource.
    Duration summaryInterval = std::chrono::seconds(2);
    Duration freshness = std::chrono::seconds(4);
    Duration suspicion = std::chrono::milliseconds(1500);
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration grantLifetime = std::chrono::milliseconds(500);
    Duration flushDelay = std::chrono::milliseconds(2);

    /// Registers the settings and their validation.
    void declare(process::Settings&);

    /// @return the limits of the listener for callers.
    net::ServerOptions callerLimits() const;

    /// The addresses are those that callers and other routers connect to, with the ports actually bound.
    routing::RouterSettings routerSettings(Incarnation, const std::string& callerAddress,
        const std::string& peerAddress, const std::string& gossipAddress) const;
};

} // namespace sagechute::router
