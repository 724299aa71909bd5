#include <sagechute/LogService.h>
#include <sagechute/Operators.h>
#include <sagechute/Process.h>

#include <iostream>

namespace {

using namespace sagechute;

constexpr std::size_t maxConnections = 1024;

struct ApiSettings {
    std::string listen = "127.0.0.1:8400";
    std::string vmId;
    std::string logLevel = "info";
    std::string platform;
    std::vector<std::string> routers;
    std::string operatorKeys;
    std::string fleetSecret;
    Duration logTimeout = std::chrono::seconds(3);
    Duration pollWaiting = std::chrono::milliseconds(250);
    Duration pollIdle = std::chrono::seconds(2);
    Duration heartbeat = std::chrono::seconds(5);
    std::uint64_t changeThreads = 16;
    std::uint64_t maxBody = 256 << 10;
    std::uint64_t maxWatches = 128;
    std::uint64_t memoryMb = 256;
};

process::Settings declare(ApiSettings& out)
{
    using namespace std::chrono_literals;
    process::Settings settings("sagechute-api", "operators' resource API, watches and page");
    settings.text("listen", out.listen, "ADDRESS:PORT to listen at")
        .text("vm-id", out.vmId, "this VM's name, for logs")
        .text("log-level", out.logLevel, "debug, info, warning or error")
        .requiredText("platform", out.platform, "base URL of the platform's log and VM list")
        .list("routers", out.routers, "base URLs of routers to ask first; the others are learnt")
        .secret("operator-keys", out.operatorKeys, "NAME:ROLE:KEY,... with role view or change")
        .secret("fleet-secret", out.fleetSecret, "shared by the fleet's processes")
        .duration("log-timeout", out.logTimeout, 100ms, 60s, "longest wait for an answer of the log")
        .duration("poll-waiting", out.pollWaiting, 20ms, 10s, "between polls of routers while somebody waits")
        .duration("poll-idle", out.pollIdle, 100ms, 60s, "between polls of routers else")
        .duration("watch-heartbeat", out.heartbeat, 100ms, 60s, "between heartbeats of a watch")
        .count("change-threads", out.changeThreads, 1, 256, "changes carried out at a time")
        .count("max-body-bytes", out.maxBody, 1024, 16 << 20, "largest body of a request")
        .count("max-watches", out.maxWatches, 1, 4096, "watches open at a time")
        .count("memory-mb", out.memoryMb, 64, 1'000'000,
            "memory of this process in MB; what clients make it hold is limited to a part of it")
        .check([&out] { return net::checkBodyLimit(out.maxBody, out.memoryMb << 20); })
        .check([&out] { return net::parseEndpoint(out.listen).status(); })
        .check([&out] { return operators::parseOperatorKeys(out.operatorKeys).status(); })
        .check([&out] {
            return out.pollWaiting <= out.pollIdle
                ? absl::OkStatus()
                : makeError(ErrorKind::BadRequest, "--poll-waiting is longer than --poll-idle", "swap them");
        });
    return settings;
}

std::chrono::milliseconds inMs(Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); }

operators::ApiOptions makeOptions(const ApiSettings& settings)
{
    operators::ApiOptions options;
    options.keys = *operators::parseOperatorKeys(settings.operatorKeys);
    options.routers = settings.routers;
    options.platformUrl = settings.platform;
    options.fleetSecret = settings.fleetSecret;
    options.pollWaiting = inMs(settings.pollWaiting);
    options.pollIdle = inMs(settings.pollIdle);
    options.watchHeartbeat = inMs(settings.heartbeat);
    options.changeThreads = settings.changeThreads;
    options.mostWatches = settings.maxWatches;
    return options;
}

net::ServerOptions makeServerOptions(const ApiSettings& settings)
{
    net::ServerOptions options;
    options.listen = *net::parseEndpoint(settings.listen);
    options.maxBodyBytes = settings.maxBody;
    options.limitConnections(maxConnections, process::maxDescriptors());
    options.limitMemory(settings.memoryMb << 20);
    return options;
}

int fail(const absl::Status& status)
{
    std::cerr << "sagechute-api: " << status.message() << "; " << errorRemedy(status) << std::endl;
    return 1;
}

int run(const ApiSettings& settings)
{
    process::StopSignal stop;
    process::limitFreedMemory();
    if (const absl::Status status = process::startLogging("sagechute-api", settings.logLevel, { settings.vmId }, 0);
        !status.ok())
        return fail(status);
    auto client = net::HttpClient::make({ .threads = 2 });
    if (!client.ok())
        return fail(client.status());
    const auto log = logservice::makeHttpLog(**client, settings.platform, inMs(settings.logTimeout));
    const auto api = operators::Api::make(makeOptions(settings), *log, **client);
    auto server = net::HttpServer::make(makeServerOptions(settings),
        [&api](std::shared_ptr<net::ServerExchange> exchange) { api->handle(std::move(exchange)); });
    if (!server.ok())
        return fail(server.status());
    process::log(process::LogLevel::Info, "listening", { { "address", net::toString((*server)->endpoint()) } });
    while (!stop.wait(std::chrono::seconds(60))) { }
    process::log(process::LogLevel::Info, "stopping");
    (*server)->stopListening();
    // All connections close before the API ends: none of its answers may come after that.
    server->reset();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    ApiSettings settings;
    if (const auto code = declare(settings).read(argc, argv))
        return *code;
    return run(settings);
}
