#include "Options.h"

#include <charconv>
#include <cmath>

namespace sagechute::edge {

namespace {

    constexpr double longestSeconds = 3600;

    /// By then every prompt that is asked for often has come again; what comes later for the first time is new.
    constexpr Duration homesTrustedAfterRestart = std::chrono::seconds(20);

    Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e6)); }

    std::optional<std::uint16_t> parsePort(const std::string& text)
    {
        std::uint16_t port = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (ec != std::errc {} || end != text.data() + text.size() || port == 0)
            return std::nullopt;
        return port;
    }

    absl::Status checkPorts(const std::vector<std::string>& range)
    {
        if (range.size() == 2 && parsePort(range[0]) && parsePort(range[1])
            && *parsePort(range[0]) <= *parsePort(range[1]))
            return absl::OkStatus();
        return makeError(
            ErrorKind::BadRequest, "--port-range is not a first and a last port", "write it as --port-range 7400,7415");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "name of this VM, unique in the fleet")
        .requiredText("zone", zone, "availability zone of this VM")
        .requiredText("callers-listen", callersListen, "ADDRESS:PORT for callers' requests")
        .requiredText("readiness-listen", readinessListen, "ADDRESS:PORT for readiness checks")
        .requiredText("control-listen", controlListen, "ADDRESS:PORT for other routers and for metrics")
        .requiredText("locate-listen", locateListen, "ADDRESS:PORT where callers ask which address to use")
        .requiredText("address", address, "address of this VM for traffic between routers")
        .list("port-range", portRange, "first and last port for traffic between routers")
        .list("seeds", seeds, "ADDRESS:PORT of the control listeners of some routers")
        .requiredText("store", store, "ADDRESS:PORT of the platform's store")
        .count("max-descriptors", maxDescriptors, 256, 1'000'000, "sockets and files that this process may open")
        .count("memory-mb", memoryMb, 32, 1'000'000, "memory that this process may take, in MB")
        .real("cpu-share", cpuShare, 0.01, 1024, "cores that this process may use")
        .real("core-speed", coreSpeed, 0.01, 1024, "how many times as fast as an ordinary core its cores are")
        .real("stop-grace-seconds", stopGraceSeconds, 0.1, longestSeconds, "from SIGTERM until the process is killed")
        .real("locate-kept-seconds", locateKeptSeconds, 1, longestSeconds,
            "the longest that callers keep an answer to which address to use")
        .real("share-window-seconds", shareWindowSeconds, 0.1, longestSeconds,
            "window over which customers' shares are compared")
        .real("retry-ratio", retryRatio, 0, 1, "retries per request that all routers together may send to a service")
        .real("retry-slack", retrySlack, 0, 1e6, "retries that come on top, all routers together")
        .real("retry-window-seconds", retryWindowSeconds, 0.1, longestSeconds, "window of the retry budget")
        .count("least-routers", leastRouters, 1, 100000, "routers among which the retry budget is divided at least")
        .count("config-bound-ms", configBoundMs, 100, 600'000,
            "from the store's acknowledgement until a configuration must be in force here")
        .count("drain-bound-ms", drainBoundMs, 100, 600'000,
            "from the store's acknowledgement until a leaving target must get no more requests")
        .flag("first-start", isFirstStart,
            "the whole fleet starts for the first time: targets keep nothing, and callers come only later")
        .text("log-level", logLevel, "debug, info, warning or error")
        .count("log-lines-per-second", logLinesPerSecond, 1, 1000000,
            "lines above it are dropped and counted, so that a fault can't fill the log")
        .check([this] { return checkPorts(portRange); });
}

std::uint16_t Options::gossipPort() const { return *parsePort(portRange.front()); }

std::uint16_t Options::metricsPort() const { return *parsePort(portRange.back()); }

std::string Options::at(std::uint16_t port) const { return address + ":" + std::to_string(port); }

std::vector<std::string> Options::gossipSeeds() const
{
    std::vector<std::string> result;
    for (const std::string& it : seeds) {
        const auto endpoint = net::parseEndpoint(it);
        if (endpoint.ok() && endpoint->address != address)
            result.push_back(net::toString({ endpoint->address, gossipPort() }));
    }
    return result;
}

unsigned Options::mostCallerConnections() const
{
    // 200 descriptors that the platform sets aside for files, and as many sockets to targets as a flooded router was
    // seen to use.
    constexpr std::uint64_t otherDescriptors = 200 + 800;
    constexpr std::uint64_t leastConnections = 100;
    // Most of it for its headers; half of the process's memory is for connections.
    constexpr std::uint64_t connectionKilobytes = 36;
    const std::uint64_t byDescriptors = maxDescriptors > otherDescriptors ? maxDescriptors - otherDescriptors : 0;
    const std::uint64_t byMemory = memoryMb * 1024 / 2 / connectionKilobytes;
    return static_cast<unsigned>(std::max(leastConnections, std::min(byDescriptors, byMemory)));
}

std::uint32_t Options::capacity() const
{
    constexpr double thousandths = 1000;
    return static_cast<std::uint32_t>(std::lround(cores() * thousandths));
}

unsigned Options::affordableLogLines() const
{
    // A line costs some 60 us; at this rate they take a twentieth of the cores.
    constexpr double linesPerCore = 800;
    const auto affordable = static_cast<std::uint64_t>(std::max(1.0, linesPerCore * cores()));
    return static_cast<unsigned>(std::min(logLinesPerSecond, affordable));
}

news::NewsTimes Options::newsTimes() const
{
    return news::NewsTimes::make(std::chrono::milliseconds(std::min(configBoundMs, drainBoundMs)), isFirstStart);
}

dispatch::DispatchSettings Options::dispatchSettings() const
{
    dispatch::DispatchSettings settings;
    settings.shareWindow = fromSeconds(shareWindowSeconds);
    settings.retryRatio = retryRatio;
    settings.retrySlack = retrySlack;
    settings.retryWindow = fromSeconds(retryWindowSeconds);
    settings.leastRouters = static_cast<unsigned>(leastRouters);
    settings.warmStartDuration = isFirstStart ? Duration::zero() : homesTrustedAfterRestart;
    return settings;
}

} // namespace sagechute::edge
