#include "Options.h"

#include <sagechute/Net.h>

namespace sagechute::steward {
namespace {

    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    absl::Status invalidSettings(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, message, remedy);
    }

    absl::Status checkLease(const LeaseSettings& lease, const OrderSettings& orders)
    {
        if (lease.margin * 2 > lease.term)
            return invalidSettings(
                "--lease-margin is more than half of --lease-term", "Raise --lease-term or lower --lease-margin");
        const Duration usable = lease.term - lease.margin - lease.renewInterval - orders.orderTimeout;
        if (usable < seconds(1))
            return invalidSettings("--lease-term leaves no time for orders between two renewals",
                "Make it at least a second longer than --lease-margin, --lease-renew and --order-timeout together");
        return absl::OkStatus();
    }

    absl::Status checkPlatform(const std::string& url)
    {
        if (url.starts_with("http://") || url.starts_with("https://"))
            return absl::OkStatus();
        return invalidSettings("--platform is not an http:// or https:// URL", "Write http://ADDRESS:PORT");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "name of this VM, unique in the fleet")
        .requiredText("platform", platform, "base URL of the platform's services")
        .text("listen", listen, "address for metrics, health and progress")
        .text("log-level", logLevel, "debug, info, warning or error")
        .count("memory-mb", memoryMb, 64, 1'000'000,
            "memory of this process in MB; what clients make it hold is limited to a part of it")
        .duration("log-timeout", logTimeout, milliseconds(100), seconds(60), "timeout of a request to the log")
        .duration("lease-term", lease.term, seconds(2), seconds(300),
            "time without a record of the holder after which another steward may acquire the lease")
        .duration("lease-margin", lease.margin, milliseconds(200), seconds(60),
            "the holder stops relying on the lease this long before its term ends")
        .duration("lease-renew", lease.renewInterval, milliseconds(200), seconds(60),
            "interval between renewals of the lease")
        .duration(
            "snapshot-interval", snapshots.maxInterval, seconds(1), hours(24), "longest time between two snapshots")
        .count("snapshot-records", snapshots.maxRecords, 1, 100'000,
            "number of changes after which the next snapshot is due")
        .duration(
            "order-timeout", orders.orderTimeout, milliseconds(100), seconds(60), "timeout of a request to a target")
        .duration("state-interval", orders.stateReadInterval, milliseconds(100), seconds(60),
            "interval between reads of a target's state")
        .duration("order-settle", orders.confirmTimeout, milliseconds(500), seconds(600),
            "an accepted order without effect is repeated after this time")
        .real("part-at-once", orders.maxUnavailableFraction, 0.01, 0.5,
            "fraction of a pool that may be out of service because of orders")
        .count("loads-at-once", orders.maxConcurrentLoads, 1, 1000, "limit of concurrent loads in the whole fleet")
        .flag("ask-weight-store", orders.asksWeightStore,
            "request permission from the weight store before a load; for engines that do not do so themselves")
        .check([this] { return net::parseEndpoint(listen).status(); })
        .check([this] { return checkPlatform(platform); })
        .check([this] { return checkLease(lease, orders); });
}

} // namespace sagechute::steward
