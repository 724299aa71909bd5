#include "Options.h"

#include <sagechute/Net.h>

namespace sagechute::steward {
namespace {

    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    absl::Status contradiction(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, message, remedy);
    }

    absl::Status checkLease(const LeaseSettings& lease, const OrderSettings& orders)
    {
        if (lease.margin * 2 > lease.term)
            return contradiction(
                "--lease-margin is more than half of --lease-term", "Raise --lease-term or lower --lease-margin");
        const Duration usable = lease.term - lease.margin - lease.renewEvery - orders.orderTimeout;
        if (usable < seconds(1))
            return contradiction("--lease-term leaves no time for orders between two renewals",
                "Make it at least a second longer than --lease-margin, --lease-renew and --order-timeout together");
        return absl::OkStatus();
    }

    absl::Status checkPlatform(const std::string& url)
    {
        if (url.starts_with("http://") || url.starts_with("https://"))
            return absl::OkStatus();
        return contradiction("--platform is not a URL", "Write http://ADDRESS:PORT");
    }

} // namespace

void Options::declare(process::Settings& settings)
{
    settings.requiredText("vm-id", vm, "name of this VM, unique in the fleet")
        .requiredText("platform", platform, "base URL of the platform's services")
        .text("listen", listen, "address for metrics, health and progress")
        .text("log-level", logLevel, "debug, info, warning or error")
        .duration("log-timeout", logTimeout, milliseconds(100), seconds(60), "longest wait for an answer of the log")
        .duration(
            "lease-term", lease.term, seconds(2), seconds(300), "silence of a holder after which another may follow")
        .duration("lease-margin", lease.margin, milliseconds(200), seconds(60),
            "the holder stops this much before its term ends")
        .duration("lease-renew", lease.renewEvery, milliseconds(200), seconds(60), "how often the holder renews")
        .duration(
            "snapshot-interval", snapshots.longestGap, seconds(1), hours(24), "longest time between two snapshots")
        .count("snapshot-records", snapshots.mostRecords, 1, 100'000, "changes after a snapshot before the next one")
        .duration("order-timeout", orders.orderTimeout, milliseconds(100), seconds(60), "longest request to a target")
        .duration(
            "state-interval", orders.stateEvery, milliseconds(100), seconds(60), "how often a target's state is read")
        .duration("order-settle", orders.settle, milliseconds(500), seconds(600),
            "an order without effect is repeated after this")
        .real("part-at-once", orders.partAtOnce, 0.01, 0.5, "part of a pool that may be out of service for orders")
        .count("loads-at-once", orders.loadsAtOnce, 1, 1000, "loads under way in the whole fleet")
        .flag("ask-weight-store", orders.asksWeightStore,
            "ask the weight store before a load; for engines that do not ask themselves")
        .check([this] { return net::parseEndpoint(listen).status(); })
        .check([this] { return checkPlatform(platform); })
        .check([this] { return checkLease(lease, orders); });
}

} // namespace sagechute::steward
