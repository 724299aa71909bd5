#include "PlatformService.h"

#include <iostream>

using namespace sagechute;

namespace {

using std::chrono::hours;
using std::chrono::seconds;

struct Flags {
    std::string listen = "127.0.0.1:7000";
    std::string logLevel = "info";
    std::uint64_t threads = 2;
    standin::PlatformOptions platform;
};

process::Settings declare(Flags& flags)
{
    process::Settings settings("sagechute-standin-platform", "stands in for the platform: log, VM list, weight store");
    standin::PlatformOptions& platform = flags.platform;
    settings.text("listen", flags.listen, "ADDRESS:PORT to listen on; port 0 takes a free one")
        .text("log-level", flags.logLevel, "debug, info, warning or error")
        .count("threads", flags.threads, 1, 16, "HTTP threads")
        .count("retention-records", platform.retentionRecords, 1, 100'000'000, "records kept of each stream")
        .duration("vm-list-lag", platform.vmListLag, Duration::zero(), hours(1), "how late a VM list is seen")
        .real("loads-per-minute", platform.loadsPerMinute, 0.1, 1e6, "weight loads granted a minute")
        .real("load-burst", platform.loadBurst, 1, 1e6, "weight loads granted at once")
        .duration("load-time", platform.loadTime, Duration::zero(), hours(1), "how long a granted load takes")
        .check([&flags] { return net::parseEndpoint(flags.listen).status(); });
    return settings;
}

int serve(const Flags& flags)
{
    process::StopSignal stop;
    const absl::Status logging = process::startLogging("sagechute-standin-platform", flags.logLevel, {}, 0);
    if (!logging.ok()) {
        std::cerr << logging.message() << "; " << errorRemedy(logging) << "\n";
        return process::exitUsage;
    }
    standin::PlatformService service(flags.platform);
    net::ServerOptions options;
    options.listen = *net::parseEndpoint(flags.listen);
    options.threads = static_cast<unsigned>(flags.threads);
    const auto server = net::HttpServer::make(
        options, [&service](const std::shared_ptr<net::ServerExchange>& exchange) { service.handle(exchange); });
    if (!server.ok()) {
        process::log(process::LogLevel::Error, "not-listening",
            { { "message", std::string(server.status().message()) }, { "remedy", errorRemedy(server.status()) } });
        return 1;
    }
    process::log(process::LogLevel::Info, "listening on " + net::toString((*server)->endpoint()));
    while (!stop.wait(hours(1))) { }
    process::log(process::LogLevel::Info, "stopping");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Flags flags;
    process::Settings settings = declare(flags);
    if (const std::optional<int> code = settings.read(argc, argv))
        return *code;
    return serve(flags);
}
