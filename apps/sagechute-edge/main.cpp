/// @file
/// The edge router: accepts callers' requests on the users' platform and shares the targets fairly between customers.

#include "CrashJournal.h"
#include "Housekeeping.h"
#include "Listeners.h"
#include "Options.h"
#include "PeerFollower.h"
#include "RequestHandler.h"
#include "RouterDiscovery.h"
#include "StoreFollower.h"

#include <Platform.h>

#include <random>

#include <unistd.h>

namespace sagechute::edge {

namespace {

    /// Idle connections to targets are reused for at most this long; targets close theirs some seconds later.
    constexpr std::chrono::seconds pooledIdle { 4 };

    absl::StatusOr<std::unique_ptr<net::HttpClient>> makeClient(net::EventLoop& loop)
    {
        net::ClientOptions options;
        options.loop = &loop;
        options.pooledConnectionMaxIdle = pooledIdle;
        return net::HttpClient::make(options);
    }

    int failStart(const absl::Status& status)
    {
        process::log(process::LogLevel::Error, "cannot-start",
            { { "reason", std::string(status.message()) }, { "remedy", errorRemedy(status) } });
        return 1;
    }

    int serve(
        const Options& options, Incarnation incarnation, SettingsWatcher& settingsWatcher, process::StopSignal& stop)
    {
        EdgeState state(options.dispatchSettings(), options.newsTimes(), { options.vm }, { options.zone },
            std::random_device {}(), options.appliesEvacuations());
        process::Metrics metrics;
        EdgeMetrics edgeMetrics(metrics);
        TimerQueue timers;
        PeerInbox inbox;

        // All connections run on one event loop, so that a request and its response pass between the caller's and the
        // target's connection without a lock or a thread switch. Nothing on the loop blocks; blocking calls to the
        // store, and the handling of peers' responses, have their own threads.
        auto loop = net::EventLoop::make();
        if (!loop.ok())
            return failStart(loop.status());
        auto targetClient = makeClient(**loop);
        auto storeClient = makeClient(**loop);
        auto peerClient = makeClient(**loop);
        for (const auto* it : { &targetClient, &storeClient, &peerClient }) {
            if (!it->ok())
                return failStart(it->status());
        }
        const auto store = platform::makeStore(**storeClient, options.store);
        const auto callerProtocol = platform::makeCallerProtocol();
        const auto targetProtocol = platform::makeTargetProtocol();
        const auto entryProtocol = platform::makeEntryProtocol();

        auto fleet = Fleet::make(state, inbox, options, incarnation);
        if (!fleet.ok())
            return failStart(fleet.status());
        AdaptiveRateLimiter overloadMeter(options.cores(), options.maxCallerConnections());
        net::ByteBudget answerBudget(options.maxAnswerMemory());
        RequestHandler requestHandler(
            { state, **targetClient, *callerProtocol, *targetProtocol, timers, edgeMetrics, answerBudget },
            overloadMeter);
        CrashJournal crashJournal(state, **fleet, *store, options);
        auto listeners = Listeners::make(options,
            { state, **fleet, requestHandler, crashJournal, overloadMeter, *entryProtocol, *callerProtocol, metrics,
                edgeMetrics, **loop });
        if (!listeners.ok())
            return failStart(listeners.status());
        ConfigIntake configIntake(state, *store);
        StoreFollower storeFollower(state, **fleet, *store, configIntake, edgeMetrics, options);
        PeerFollower peerFollower(state, **fleet, configIntake, **peerClient, inbox, edgeMetrics, options);
        RouterDiscovery discovery(state, **fleet, *store, edgeMetrics);
        storeFollower.start();
        peerFollower.start();
        discovery.start();
        crashJournal.start();
        process::log(process::LogLevel::Info, "started",
            { { "callers", options.callersListen }, { "gossip", (*fleet)->gossipAddress() }, { "store", options.store },
                { "version", std::string(process::version()) } });

        ShareMonitor shareMonitor(state, edgeMetrics);
        ColdMonitor coldMonitor(state, edgeMetrics);
        DepartureMonitor departureMonitor(state, edgeMetrics);
        CrashMonitor crashMonitor(state, **targetClient, crashJournal, edgeMetrics);
        Housekeeping(state, **fleet, **listeners, shareMonitor, coldMonitor, departureMonitor, crashMonitor, timers,
            settingsWatcher)
            .run(stop);
        drainAndStop(state, **fleet, **listeners, departureMonitor, crashMonitor, timers, options);
        process::log(
            process::LogLevel::Info, "stopped", { { "cut-off", std::to_string(state.activeRequests.load()) } });
        // Threads may still be blocked on a store or a peer that does not answer, for longer than the platform waits
        // before it kills the process. No state needs a destructor, and the kernel closes the sockets.
        _exit(0);
    }

    int run(int argc, char** argv)
    {
        // First of all: until it blocks SIGHUP, a reload request ends the process.
        process::StopSignal stop;
        process::limitFreedMemory();
        Options options;
        SettingsWatcher settingsWatcher(argc, argv);
        if (const auto code = settingsWatcher.read(options))
            return *code;
        const Incarnation incarnation = generateIncarnation();
        process::StreamLimits limits;
        limits.linesPerSecond = options.maxLogLinesPerSecond();
        if (absl::Status status
            = process::startLogging("sagechute-edge", options.logLevel, { options.vm }, incarnation, limits);
            !status.ok()) {
            fprintf(stderr, "%s\n", std::string(status.message()).c_str());
            return process::exitUsage;
        }
        return serve(options, incarnation, settingsWatcher, stop);
    }

} // namespace

} // namespace sagechute::edge

int main(int argc, char** argv) { return sagechute::edge::run(argc, argv); }
