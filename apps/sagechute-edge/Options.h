#pragma once

/// @file
/// Settings of an edge router.

#include <sagechute/Edge.h>
#include <sagechute/Process.h>

namespace sagechute::edge {

struct Options {
    std::string vm;
    std::string zone;
    std::string callersListen;
    std::string readinessListen;
    std::string controlListen;
    std::string locateListen;
    std::string address;
    std::vector<std::string> portRange;
    std::vector<std::string> seeds;
    std::string store;
    std::uint64_t maxDescriptors = 4096;
    std::uint64_t memoryMb = 256;
    double cpuShare = 1;
    double coreSpeed = 1;
    double stopGraceSeconds = 8;
    double locateKeptSeconds = 5;
    double shareWindowSeconds = 4;
    double retryRatio = 0.2;
    double retrySlack = 50;
    double retryWindowSeconds = 10;
    std::uint64_t leastRouters = 8;
    std::uint64_t configBoundMs = 2000;
    std::uint64_t drainBoundMs = 2000;
    std::uint64_t evacuationBoundMs = 0; ///< 0: evacuations of availability zones are not in force.
    double coldOverage = 1.5;
    double coldSlack = 5;
    bool isFirstStart = false;
    std::string logLevel = "info";
    std::uint64_t logLinesPerSecond = 300;

    void declare(process::Settings&);

    /// @return the first port of the range for traffic between routers.
    std::uint16_t gossipPort() const;

    /// @return the last port of that range, where metrics are served whatever the control listener's port is.
    std::uint16_t metricsPort() const;

    /// @return ADDRESS:PORT of a port of this VM.
    std::string endpointFor(std::uint16_t port) const;

    /// @return the seeds' gossip addresses, without this router's own.
    std::vector<std::string> gossipSeeds() const;

    /// @return the limit on callers' connections, from the descriptor and memory limits.
    unsigned maxCallerConnections() const { return callerLimits().maxConnections; }

    /// @return the limits of the listener for callers' requests: connections, and the memory for what they make the
    ///         process hold.
    net::ServerOptions callerLimits() const;

    /// @return as callerLimits(), of the listener where callers look up router addresses.
    net::ServerOptions locateLimits() const;

    /// @return as callerLimits(), of the listener for other routers and operators, whose answers are the largest.
    net::ServerOptions controlLimits() const;

    /// @return as callerLimits(), of each of the listeners for readiness and metrics.
    net::ServerOptions internalLimits() const;

    /// @return the memory in bytes for all answers that are held until they are whole, beyond what each may hold.
    ///         Buffers that grow may take twice as much.
    std::size_t maxAnswerMemory() const;

    /// @return the memory limit of this process in bytes.
    std::size_t memoryBytes() const { return static_cast<std::size_t>(memoryMb) << 20; }

    /// @return the CPU limit of this process in cores of ordinary speed.
    double cores() const { return cpuShare * coreSpeed; }

    /// @return cores() in thousandths, as routers announce it to each other.
    std::uint32_t capacity() const;

    /// @return the log rate limit: the setting, or less where the cores cannot afford it.
    unsigned maxLogLinesPerSecond() const;

    /// @return whether targets in evacuated availability zones get no requests.
    bool appliesEvacuations() const;

    /// @return the schedule of store reads, derived from the tightest of the configuration, the drain and, if set, the
    ///         evacuation bound.
    news::NewsTimes newsTimes() const;

    dispatch::DispatchSettings dispatchSettings() const;
};

} // namespace sagechute::edge
