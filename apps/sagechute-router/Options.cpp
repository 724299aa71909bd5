#include "Options.h"

namespace sagechute::router {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    absl::Status checkAddress(std::string_view name, const std::string& text)
    {
        const auto endpoint = net::parseEndpoint(text);
        if (endpoint.ok())
            return absl::OkStatus();
        return makeError(ErrorKind::BadRequest, "--" + std::string(name) + " '" + text + "' is not a valid address",
            "write ADDRESS:PORT with a numeric IP address");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "name of this VM, unique in the fleet")
        .requiredText("zone", zone, "availability zone of this VM")
        .requiredText("platform", platform, "base URL of the platform's services")
        .text("listen", listen, "address for callers, operators' status and metrics")
        .text("peer-listen", peerListen, "address for message streams from other routers")
        .text("gossip-listen", gossipListen, "UDP address for gossip")
        .list("seeds", seeds, "gossip addresses of other routers through which to join the fleet")
        .text("policy", policy, "scheduling policy: cells, or one of the baselines static and fifo")
        .count("cells-per-pool", cellsPerPool, 0, 4096,
            "cells per pool, each owned by one router; 0 uses the fleet resource")
        .count("offer-window", offerWindow, 1, 1024,
            "maximum number of waiting requests of one customer that a router offers at a time")
        .count("window-slack", windowSlack, 0, 64,
            "requests sent to a target beyond its slots, to hide the turnaround time of a slot")
        .real("affinity-slack", affinitySlack, -1, 1,
            "share of the fairness bound for prefix affinity; negative uses the fleet resource")
        .count("http-threads", httpThreads, 1, 64, "threads that serve callers")
        .count("client-threads", clientThreads, 1, 64, "threads that relay responses from targets")
        .count("max-connections", maxConnections, 16, 60000, "maximum number of open caller connections")
        .count("max-body-bytes", maxBodyBytes, 1024, 256 << 20, "largest request body in bytes")
        .count("memory-mb", memoryMb, 64, 1'000'000,
            "memory of this process in MB; what callers make it hold is limited to a part of it")
        .duration("summary-interval", summaryInterval, milliseconds(50), seconds(10),
            "interval between exchanges of service counters")
        .duration("freshness", freshness, seconds(1), seconds(60),
            "start no new work after this time without the log and a majority")
        .duration("suspicion", suspicion, milliseconds(200), seconds(30),
            "time after which a suspect router is declared dead")
        .duration("probe-interval", probeInterval, milliseconds(50), seconds(10), "interval between gossip probes")
        .duration("grant-lifetime", grantLifetime, milliseconds(50), seconds(10),
            "time for which an unused grant reserves its slot")
        .duration("flush-delay", flushDelay, Duration(0), milliseconds(100),
            "messages to the same router within this time are batched")
        .text("log-level", logLevel, "debug, info, warning or error")
        .secret("fleet-secret", fleetSecret, "shared secret that authenticates fleet members, the same on all VMs")
        .check([this] { return scheduling::parsePolicy(policy).status(); })
        .check([this] { return checkAddress("listen", listen); })
        .check([this] { return net::checkBodyLimit(maxBodyBytes, memoryMb << 20); })
        .check([this] { return checkAddress("peer-listen", peerListen); })
        .check([this] { return checkAddress("gossip-listen", gossipListen); })
        .check([this] {
            for (const std::string& it : seeds) {
                if (absl::Status status = checkAddress("seeds", it); !status.ok())
                    return status;
            }
            return absl::OkStatus();
        })
        .check([this] {
            if (probeInterval < suspicion)
                return absl::OkStatus();
            return makeError(ErrorKind::BadRequest, "--probe-interval must be shorter than --suspicion",
                "raise --suspicion: a suspect router needs at least one probe to refute the suspicion");
        });
}

net::ServerOptions Options::callerLimits() const
{
    net::ServerOptions limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.limitConnections(maxConnections, process::maxDescriptors());
    limits.limitMemory(memoryMb << 20);
    return limits;
}

routing::RouterSettings Options::routerSettings(Incarnation incarnation, const std::string& callerAddress,
    const std::string& peerAddress, const std::string& gossipAddress) const
{
    routing::RouterSettings settings;
    settings.life = { VmId { vm }, incarnation };
    settings.zone = ZoneId { zone };
    settings.callerAddress = callerAddress;
    settings.peerAddress = peerAddress;
    settings.gossipAddress = gossipAddress;
    settings.seeds = seeds;
    settings.policy = scheduling::parsePolicy(policy).value_or(scheduling::Policy::Cells);
    settings.cellsPerPool = static_cast<std::uint32_t>(cellsPerPool);
    settings.cells.offersPerRouterAndCustomer = static_cast<std::uint32_t>(offerWindow);
    settings.windowSlack = static_cast<std::uint32_t>(windowSlack);
    settings.cells.grantLifetime = grantLifetime;
    if (affinitySlack >= 0)
        settings.cells.affinitySlack = affinitySlack;
    settings.summaryInterval = summaryInterval;
    settings.freshness = freshness;
    settings.gossip.freshness = freshness;
    settings.gossip.suspicion = suspicion;
    settings.gossip.probeInterval = probeInterval;
    return settings;
}

} // namespace sagechute::router
