#include "Options.h"

#include <sagechute/Relay.h>

#include <charconv>
#include <cmath>

namespace sagechute::edge {

namespace {

    constexpr double maxSeconds = 3600;

    /// By then every frequent prompt has been requested again; a prompt that is first seen later is new.
    constexpr Duration affinityWarmUpAfterRestart = std::chrono::seconds(20);

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
        return makeError(ErrorKind::BadRequest,
            "--port-range must be two ports in 1..65535, the first not above the last",
            "for example --port-range 7400,7415");
    }

    /// How a process's descriptors are divided.
    struct DescriptorShares {
        explicit DescriptorShares(std::uint64_t maxDescriptors)
        {
            // The platform reserves 200 for files. A flooded router has been observed to use 800 sockets to targets.
            constexpr std::uint64_t maxFiles = 200;
            constexpr std::uint64_t maxTargets = 800;
            constexpr std::uint64_t maxLocate = 200;
            constexpr std::uint64_t maxInternal = 100;
            constexpr std::uint64_t maxControl = 200;
            constexpr std::uint64_t internalListeners = 2;
            const std::uint64_t files = std::min(maxFiles, maxDescriptors / 8);
            const std::uint64_t sockets = maxDescriptors - files;
            locate = static_cast<unsigned>(std::min(maxLocate, sockets / 16));
            control = static_cast<unsigned>(std::min(maxControl, sockets / 16));
            internal = static_cast<unsigned>(std::min(maxInternal, sockets / 32));
            callers = static_cast<unsigned>(
                sockets - std::min(maxTargets, sockets / 4) - locate - control - internalListeners * internal);
        }

        unsigned callers = 0;
        unsigned locate = 0;
        unsigned control = 0;
        unsigned internal = 0; ///< Of each listener for readiness and metrics.
    };

    absl::Status checkEvacuationBound(std::uint64_t boundMs)
    {
        // With a bound of a few milliseconds every router would read the store all the time.
        constexpr std::uint64_t minBoundMs = 100;
        if (boundMs == 0 || boundMs >= minBoundMs)
            return absl::OkStatus();
        return makeError(ErrorKind::BadRequest,
            "--evacuation-bound-ms is " + std::to_string(boundMs) + ", but must be 0 or at least "
                + std::to_string(minBoundMs),
            "for example --evacuation-bound-ms 5000, or 0 if availability zones are never evacuated");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "unique name of this VM in the fleet")
        .requiredText("zone", zone, "availability zone of this VM")
        .requiredText("callers-listen", callersListen, "ADDRESS:PORT for callers' requests")
        .requiredText("readiness-listen", readinessListen, "ADDRESS:PORT for readiness checks")
        .requiredText("control-listen", controlListen, "ADDRESS:PORT for other routers and for metrics")
        .requiredText("locate-listen", locateListen, "ADDRESS:PORT where callers look up router addresses")
        .requiredText("address", address, "address of this VM for traffic between routers")
        .list("port-range", portRange, "first and last port for traffic between routers")
        .list("seeds", seeds, "ADDRESS:PORT of the control listeners of some routers")
        .requiredText("store", store, "ADDRESS:PORT of the platform's store")
        .count("max-descriptors", maxDescriptors, 256, 1'000'000, "limit on open sockets and files of this process")
        .count("memory-mb", memoryMb, 32, 1'000'000, "memory limit of this process, in MB")
        .real("cpu-share", cpuShare, 0.01, 1024, "CPU limit of this process, in cores")
        .real("core-speed", coreSpeed, 0.01, 1024, "speed of its cores relative to an ordinary core")
        .real("stop-grace-seconds", stopGraceSeconds, 0.1, maxSeconds,
            "time from SIGTERM until the platform kills the process")
        .real("locate-kept-seconds", locateKeptSeconds, 1, maxSeconds,
            "longest time that callers may cache a lookup of router addresses")
        .real("share-window-seconds", shareWindowSeconds, 0.1, maxSeconds,
            "window over which customers' shares are computed")
        .real("retry-ratio", retryRatio, 0, 1, "retries per request to a service that all routers together may send")
        .real("retry-slack", retrySlack, 0, 1e6, "retries allowed beyond that ratio, for all routers together")
        .real("retry-window-seconds", retryWindowSeconds, 0.1, maxSeconds,
            "window over which the retry budget is computed")
        .count("least-routers", leastRouters, 1, 100000, "smallest number of routers to divide the retry budget by")
        .count("config-bound-ms", configBoundMs, 100, 600'000,
            "longest time from the store's acknowledgement of a configuration until it is in force here")
        .count("drain-bound-ms", drainBoundMs, 100, 600'000,
            "longest time from the store's acknowledgement that a target drains until it gets no new requests")
        .count("evacuation-bound-ms", evacuationBoundMs, 0, 600'000,
            "longest time from the store's acknowledgement that an availability zone is evacuated until its targets "
            "get no new requests, and from the end of the evacuation until they may; 0: evacuations are not in force")
        .emptyIsDefault()
        .real("cold-overage", coldOverage, 0, 1000,
            "all routers together may send a cold target this times its rate in one second, and cold-slack more")
        .emptyIsDefault()
        .real("cold-slack", coldSlack, 0, 1e6, "requests that a cold target may get beyond that in one second")
        .emptyIsDefault()
        .flag("first-start", isFirstStart,
            "the whole fleet starts for the first time: target caches are empty, and callers connect only later")
        .text("log-level", logLevel, "debug, info, warning or error")
        .count("log-lines-per-second", logLinesPerSecond, 1, 1000000,
            "lines beyond this rate are dropped and counted, so that a fault cannot flood the log")
        .check([this] { return checkPorts(portRange); })
        .check([this] { return checkEvacuationBound(evacuationBoundMs); });
}

std::uint16_t Options::gossipPort() const { return *parsePort(portRange.front()); }

std::uint16_t Options::metricsPort() const { return *parsePort(portRange.back()); }

std::string Options::endpointFor(std::uint16_t port) const { return address + ":" + std::to_string(port); }

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

net::ServerOptions Options::callerLimits() const
{
    net::ServerOptions limits;
    limits.maxConnections = DescriptorShares(maxDescriptors).callers;
    limits.limitMemory(memoryBytes());
    return limits;
}

net::ServerOptions Options::locateLimits() const
{
    constexpr std::size_t memoryShare = 16;
    net::ServerOptions limits;
    limits.maxConnections = DescriptorShares(maxDescriptors).locate;
    limits.limitMemory(memoryBytes() / memoryShare);
    return limits;
}

net::ServerOptions Options::controlLimits() const
{
    constexpr std::size_t memoryShare = 16;
    const std::size_t bytes = memoryBytes() / memoryShare;
    net::ServerOptions limits;
    limits.maxConnections = DescriptorShares(maxDescriptors).control;
    limits.limitMemory(bytes);
    limits.answerBudget = std::make_shared<net::ByteBudget>(bytes / 2);
    return limits;
}

net::ServerOptions Options::internalLimits() const
{
    constexpr std::size_t memoryShare = 32;
    net::ServerOptions limits;
    limits.maxConnections = DescriptorShares(maxDescriptors).internal;
    limits.limitMemory(memoryBytes() / memoryShare);
    return limits;
}

std::size_t Options::maxAnswerMemory() const
{
    // At least as much as one answer may have.
    return std::max(memoryBytes() / 16, relay::maxBufferedBodyBytes);
}

bool Options::appliesEvacuations() const { return evacuationBoundMs > 0; }

std::uint32_t Options::capacity() const
{
    constexpr double thousandths = 1000;
    return static_cast<std::uint32_t>(std::lround(cores() * thousandths));
}

unsigned Options::maxLogLinesPerSecond() const
{
    // A log line costs about 60 us of CPU time, so this rate uses a twentieth of the cores.
    constexpr double linesPerCore = 800;
    const auto affordable = static_cast<std::uint64_t>(std::max(1.0, linesPerCore * cores()));
    return static_cast<unsigned>(std::min(logLinesPerSecond, affordable));
}

news::NewsTimes Options::newsTimes() const
{
    std::uint64_t boundMs = std::min(configBoundMs, drainBoundMs);
    if (appliesEvacuations())
        boundMs = std::min(boundMs, evacuationBoundMs);
    return news::NewsTimes::make(std::chrono::milliseconds(boundMs), isFirstStart);
}

dispatch::DispatchSettings Options::dispatchSettings() const
{
    dispatch::DispatchSettings settings;
    settings.shareWindow = fromSeconds(shareWindowSeconds);
    settings.retryRatio = retryRatio;
    settings.retrySlack = retrySlack;
    settings.retryWindow = fromSeconds(retryWindowSeconds);
    settings.self = { vm };
    settings.coldOverage = coldOverage;
    settings.coldSlack = coldSlack;
    settings.leastRouters = static_cast<unsigned>(leastRouters);
    settings.warmStartDuration = isFirstStart ? Duration::zero() : affinityWarmUpAfterRestart;
    return settings;
}

} // namespace sagechute::edge
