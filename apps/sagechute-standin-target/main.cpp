#include "ApplicationService.h"
#include "EngineService.h"

#include <iostream>

using namespace sagechute;

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration none = Duration::zero();

struct Flags {
    std::string listen = "127.0.0.1:8000";
    std::string logLevel = "info";
    std::string mode = "engine";
    std::uint64_t threads = 2;
    std::uint64_t maxConnections = 8192;
    std::uint64_t slots = 16;
    std::uint64_t seed = 1;
    standin::EngineServiceOptions engine;
    standin::ApplicationOptions application;
};

void declareEngine(process::Settings& settings, Flags& flags)
{
    standin::EngineOptions& engine = flags.engine.engine;
    standin::EngineServiceOptions& service = flags.engine;
    settings.duration("step-base", engine.stepBase, none, minutes(1), "engine: time of a step without requests")
        .duration("step-per-running", engine.stepPerRunning, none, minutes(1), "engine: added for each running request")
        .count("tokens-per-step", engine.tokensPerStep, 1, 1024, "engine: tokens of each request in a step")
        .duration("prefill-per-token", engine.prefillPerToken, none, seconds(1), "engine: per uncached input token")
        .count("prefill-chunk", engine.prefillChunk, 1, 1'000'000, "engine: most input tokens in a step")
        .count("cache-prefixes", engine.cachePrefixes, 1, 10'000'000, "engine: prefixes cached")
        .duration("event-lag", engine.eventLag, none, minutes(5), "engine: how late cache events are seen")
        .count("event-gap-every", engine.eventGapEvery, 0, 1'000'000, "engine: every n-th cache event is lost; 0: none")
        .duration("report-lag", engine.reportLag, none, minutes(5), "engine: how late load reports are")
        .duration("resume-keep", engine.resumeKeep, none, hours(1), "engine: how long a run without a caller is kept")
        .duration(
            "flush-every", service.flushEvery, none, seconds(1), "engine: tokens of shorter steps go out together")
        .flag("check-fencing", service.checkFencing, "engine: refuse orders older than one seen")
        .text("model", service.initial.model, "engine: model served at the start")
        .text("model-version", service.initial.version, "engine: its version")
        .text("role", service.initial.role, "engine: role at the start")
        .text("platform", service.weights.platform, "engine: URL of the weight store; empty: loads are granted")
        .text("target", service.weights.target, "engine: name given to the weight store")
        .duration("load-time", service.weights.loadTime, none, hours(1), "engine: time of a load without a platform");
}

void declareApplication(process::Settings& settings, Flags& flags)
{
    standin::ApplicationOptions& application = flags.application;
    settings
        .duration("service-time", application.serviceTime, Duration(1), hours(1), "application: mean time of a call")
        .real("service-jitter", application.jitter, 0, 1, "application: share by which it varies")
        .real("cost-per-second", application.costPerSecond, 0, 1e9, "application: cost units of a second of service")
        .count("seed", flags.seed, 0, UINT64_MAX, "application: seed of the jitter");
}

process::Settings declare(Flags& flags)
{
    process::Settings settings("sagechute-standin-target", "stands in for a target: an engine or an application");
    settings.text("listen", flags.listen, "ADDRESS:PORT to listen on; port 0 takes a free one")
        .text("log-level", flags.logLevel, "debug, info, warning or error")
        .text("mode", flags.mode, "engine or application")
        .count("threads", flags.threads, 1, 16, "HTTP threads")
        .count("max-connections", flags.maxConnections, 1, 100'000, "connections at once")
        .count("slots", flags.slots, 1, 100'000, "requests that run at once");
    declareEngine(settings, flags);
    declareApplication(settings, flags);
    settings.check([&flags] { return net::parseEndpoint(flags.listen).status(); }).check([&flags] {
        if (flags.mode == "engine" || flags.mode == "application")
            return absl::OkStatus();
        return makeError(ErrorKind::BadRequest, "--mode is neither engine nor application",
            "give --mode engine or --mode application");
    });
    return settings;
}

absl::StatusOr<std::unique_ptr<standin::TargetService>> makeService(Flags& flags)
{
    if (flags.mode == "application") {
        flags.application.slots = flags.slots;
        flags.application.seed = flags.seed;
        return std::make_unique<standin::ApplicationService>(flags.application);
    }
    flags.engine.engine.slots = flags.slots;
    auto service = standin::EngineService::make(flags.engine);
    if (!service.ok())
        return service.status();
    return std::move(*service);
}

int fail(std::string_view event, const absl::Status& status)
{
    process::log(process::LogLevel::Error, event,
        { { "message", std::string(status.message()) }, { "remedy", errorRemedy(status) } });
    return 1;
}

int serve(Flags& flags)
{
    process::StopSignal stop;
    const absl::Status logging = process::startLogging("sagechute-standin-target", flags.logLevel, {}, 0);
    if (!logging.ok()) {
        std::cerr << logging.message() << "; " << errorRemedy(logging) << "\n";
        return process::exitUsage;
    }
    const auto service = makeService(flags);
    if (!service.ok())
        return fail("not-started", service.status());
    net::ServerOptions options;
    options.listen = *net::parseEndpoint(flags.listen);
    options.threads = static_cast<unsigned>(flags.threads);
    options.maxConnections = static_cast<unsigned>(flags.maxConnections);
    const auto server = net::HttpServer::make(options,
        [target = service->get()](const std::shared_ptr<net::ServerExchange>& exchange) { target->handle(exchange); });
    if (!server.ok())
        return fail("not-listening", server.status());
    process::log(process::LogLevel::Info, "listening on " + net::toString((*server)->endpoint()),
        { { "mode", flags.mode }, { "slots", std::to_string(flags.slots) } });
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
