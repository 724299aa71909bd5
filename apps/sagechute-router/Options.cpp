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
        return makeError(ErrorKind::BadRequest, "--" + std::string(name) + " '" + text + "' is not an address",
            "write ADDRESS:PORT with a numeric IP address");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "name of this VM, unique in the fleet")
        .requiredText("zone", zone, "availability zone of this VM")
        .requiredText("platform", platform, "base URL of the platform's services")
        .text("listen", listen, "address for callers, operators' status and metrics")
        .text("peer-listen", peerListen, "address for message streams of other routers")
        .text("gossip-listen", gossipListen, "UDP address for gossip")
        .list("seeds", seeds, "gossip addresses of other routers to join by")
        .text("policy", policy, "cells, or one of the baselines static and fifo")
        .count(
            "cells-per-pool", cellsPerPool, 0, 4096, "parts of a pool with an owner each; 0 follows the fleet resource")
        .count("offer-window", offerWindow, 1, 1024, "waiting requests of one customer that a router offers at a time")
        .count("window-slack", windowSlack, 0, 64,
            "requests sent to a target beyond its slots, to hide a slot's turnaround")
        .real("affinity-slack", affinitySlack, -1, 1,
            "part of the fairness bound for prefix affinity; below 0 follows the fleet resource")
        .count("http-threads", httpThreads, 1, 64, "threads that serve callers")
        .count("client-threads", clientThreads, 1, 64, "threads that relay answers of targets")
        .count("max-connections", maxConnections, 16, 60000, "open connections of callers")
        .count("max-body-bytes", maxBodyBytes, 1024, 256 << 20, "largest request body")
        .duration("summary-interval", summaryInterval, milliseconds(50), seconds(10),
            "between two exchanges of service counters")
        .duration("freshness", freshness, seconds(1), seconds(60),
            "without the log and a majority for longer, start no new work")
        .duration("suspicion", suspicion, milliseconds(200), seconds(30), "from suspect to dead")
        .duration("probe-interval", probeInterval, milliseconds(50), seconds(10), "between two gossip probes")
        .duration(
            "grant-lifetime", grantLifetime, milliseconds(50), seconds(10), "how long an unused grant holds its slot")
        .duration("flush-delay", flushDelay, Duration(0), milliseconds(100),
            "messages to one router within this time leave together")
        .text("log-level", logLevel, "debug, info, warning or error")
        .secret("fleet-secret", fleetSecret, "proof of belonging to the fleet, the same on all VMs")
        .check([this] { return scheduling::parsePolicy(policy).status(); })
        .check([this] { return checkAddress("listen", listen); })
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
            return makeError(ErrorKind::BadRequest, "--probe-interval is not shorter than --suspicion",
                "a suspect needs at least one probe to clear itself: raise --suspicion");
        });
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
