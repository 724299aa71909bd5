/// @file
/// The edge router: takes callers' requests on the users' platform and shares targets fairly.

#include "CrashJournal.h"
#include "FleetSearch.h"
#include "Front.h"
#include "Housekeeping.h"
#include "Listeners.h"
#include "Options.h"
#include "PeerFollower.h"
#include "StoreFollower.h"

#include <Platform.h>

#include <random>

#include <unistd.h>

namespace sagechute::edge {

namespace {

    /// Connections to targets are used again within this time; targets close idle ones after some seconds more.
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

    int serve(const Options& options, Incarnation incarnation, SettingsWatch& watch, process::StopSignal& stop)
    {
        EdgeState state(
            options.dispatchSettings(), options.newsTimes(), { options.vm }, { options.zone }, std::random_device {}());
        process::Metrics metrics;
        EdgeMetrics edgeMetrics(metrics);
        DueTimers timers;
        PeerInbox inbox;

        // One loop carries all: a request and its answer pass from the caller's connection to the target's without a
        // lock or a thread switch between them. No call on it waits; the store's and the peers' calls wait on threads
        // of their own.
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
        AdaptiveRateLimiter crowd(options.cores(), options.mostCallerConnections());
        Front front({ state, **targetClient, *callerProtocol, *targetProtocol, timers, edgeMetrics }, crowd);
        auto listeners = Listeners::make(options, { state, **fleet, front, crowd, *entryProtocol, metrics, **loop });
        if (!listeners.ok())
            return failStart(listeners.status());
        ConfigIntake intake(state, *store);
        StoreFollower storeFollower(state, **fleet, *store, intake, edgeMetrics, options);
        PeerFollower peerFollower(state, **fleet, intake, **peerClient, inbox, edgeMetrics, options);
        FleetSearch search(state, **fleet, *store, edgeMetrics);
        storeFollower.start();
        peerFollower.start();
        search.start();
        CrashJournal crashJournal(state, **fleet, *store, options);
        crashJournal.start();
        process::log(process::LogLevel::Info, "started",
            { { "callers", options.callersListen }, { "gossip", (*fleet)->gossipAddress() }, { "store", options.store },
                { "version", std::string(process::version()) } });

        ShareWatch shareWatch(state, edgeMetrics);
        CrashWatch crashWatch(state, **targetClient, crashJournal, edgeMetrics);
        Housekeeping(state, **fleet, **listeners, shareWatch, crashWatch, timers, watch).run(stop);
        planStop(state, **fleet, **listeners, crashWatch, timers, options);
        process::log(
            process::LogLevel::Info, "stopped", { { "cut-off", std::to_string(state.activeRequests.load()) } });
        // Threads may be waiting for a store or a peer that does not answer, for longer than the platform's patience.
        // Nothing is kept that would need a destructor; the kernel closes the sockets.
        _exit(0);
    }

    int run(int argc, char** argv)
    {
        Options options;
        SettingsWatch watch(argc, argv);
        if (const auto code = watch.read(options))
            return *code;
        process::StopSignal stop;
        const Incarnation incarnation = drawIncarnation();
        process::StreamLimits limits;
        limits.linesPerSecond = options.affordableLogLines();
        if (absl::Status status
            = process::startLogging("sagechute-edge", options.logLevel, { options.vm }, incarnation, limits);
            !status.ok()) {
            fprintf(stderr, "%s\n", std::string(status.message()).c_str());
            return process::exitUsage;
        }
        return serve(options, incarnation, watch, stop);
    }

} // namespace

} // namespace sagechute::edge

int main(int argc, char** argv) { return sagechute::edge::run(argc, argv); }
