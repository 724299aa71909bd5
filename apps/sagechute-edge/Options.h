#pragma once

/// @file
/// The settings of an edge router.

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
    bool isFirstStart = false;
    std::string logLevel = "info";
    std::uint64_t logLinesPerSecond = 300;

    void declare(process::Settings&);

    /// @return the first port for traffic between routers.
    std::uint16_t gossipPort() const;

    /// @return the last of these ports: a fixed place for metrics, whatever the control listener's port is.
    std::uint16_t metricsPort() const;

    /// @return address of a port of this VM, as text.
    std::string at(std::uint16_t port) const;

    /// @return the seeds' addresses with the port that gossip uses.
    std::vector<std::string> gossipSeeds() const;

    /// @return how many connections of callers descriptors and memory allow.
    unsigned mostCallerConnections() const;

    /// @return cores of ordinary speed that this process may use.
    double cores() const { return cpuShare * coreSpeed; }

    /// @return the same in thousandths, as routers tell it to each other.
    std::uint32_t capacity() const;

    /// @return log lines a second: the setting, or what a small VM can afford.
    unsigned affordableLogLines() const;

    /// @return when the store is read, by the tighter of the two bounds.
    news::NewsTimes newsTimes() const;

    dispatch::DispatchSettings dispatchSettings() const;
};

} // namespace sagechute::edge
