/// @file
/// The router process: connects the core to HTTP, peer streams, gossip and the log.

#include "CacheWatcher.h"
#include "CallerRequestHandler.h"
#include "Executor.h"
#include "LogReader.h"
#include "Options.h"

#include <sagechute/LogService.h>

#include <ctime>
#include <random>

namespace sagechute::router {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration progressInterval = std::chrono::milliseconds(250);
    constexpr Duration statusInterval = std::chrono::milliseconds(250);
    constexpr std::chrono::milliseconds logTimeout { 3000 };
    constexpr Duration flushTimeout = std::chrono::seconds(2);

    Incarnation newIncarnation()
    {
        // Milliseconds since the epoch, so that each restart on a VM gets a larger incarnation without stored state.
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    Duration threadCpuTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    /// Forwards messages and connection events of other routers to the event queue.
    class PeerListener final : public peer::StreamListener {
    public:
        explicit PeerListener(EventQueue& eventQueue)
            : m_eventQueue(eventQueue)
        {
        }

    private:
        void onMessage(const RouterLife& from, std::string_view message) override
        {
            m_eventQueue.push(routing::PeerMessageReceived { from, std::string(message) });
        }
        void onUp(const RouterLife& peer) override { m_eventQueue.push(routing::PeerUp { peer }); }
        void onDown(const RouterLife& peer) override { m_eventQueue.push(routing::PeerDown { peer }); }

        EventQueue& m_eventQueue;
    };

    /// Owns all parts of the process, declared in the order of their dependencies.
    class Router {
    public:
        static absl::StatusOr<std::unique_ptr<Router>> make(const Options& options)
        {
            std::unique_ptr<Router> router(new Router(options));
            if (absl::Status status = router->open(); !status.ok())
                return status;
            return router;
        }

        int run(process::StopSignal& stop)
        {
            std::thread stopWaiter([this, &stop] {
                while (!m_exited.load()) {
                    if (!stop.wait(std::chrono::milliseconds(100)))
                        continue;
                    m_eventQueue.push(routing::StopRequested {});
                    return; // wait() returns at once after a stop signal, so looping again would spin.
                }
            });
            runCore();
            stopWaiter.join();
            waitForOpenConnections();
            m_logReader->stop();
            process::log(process::LogLevel::Info, "stopped");
            return 0;
        }

    private:
        explicit Router(const Options& options)
            : m_options(options)
            , m_incarnation(newIncarnation())
            , m_peerListener(m_eventQueue)
        {
        }

        absl::Status open()
        {
            const RouterLife life { VmId { m_options.vm }, m_incarnation };
            peer::StreamOptions streams;
            streams.listenAddress = m_options.peerListen;
            streams.self = life;
            streams.fleetSecret = m_options.fleetSecret;
            streams.flushDelay = m_options.flushDelay;
            auto messageStreams = peer::MessageStreams::make(streams, m_peerListener);
            if (!messageStreams.ok())
                return messageStreams.status();
            m_streams = std::move(*messageStreams);

            auto socket = peer::DatagramSocket::make(
                m_options.gossipListen, [this](const std::string& from, std::string_view bytes) {
                    m_eventQueue.push(routing::DatagramReceived { from, std::string(bytes) });
                });
            if (!socket.ok())
                return socket.status();
            m_socket = std::move(*socket);

            auto client = net::HttpClient::make({ .threads = static_cast<unsigned>(m_options.clientThreads) });
            if (!client.ok())
                return client.status();
            m_client = std::move(*client);
            auto logClient = net::HttpClient::make({});
            if (!logClient.ok())
                return logClient.status();
            m_logClient = std::move(*logClient);
            m_log = logservice::makeHttpLog(*m_logClient, m_options.platform, logTimeout);

            m_requestHandler = std::make_unique<CallerRequestHandler>(m_snapshot, m_eventQueue, m_statusExporter, life);
            net::ServerOptions server = m_options.callerLimits();
            server.listen = *net::parseEndpoint(m_options.listen);
            server.threads = static_cast<unsigned>(m_options.httpThreads);
            server.refusalFields = { { "Sagechute-Outcome", std::string(toString(Outcome::NotRun)) } };
            auto httpServer = net::HttpServer::make(server,
                [this](const std::shared_ptr<net::ServerExchange>& exchange) { m_requestHandler->handle(exchange); });
            if (!httpServer.ok())
                return httpServer.status();
            m_server = std::move(*httpServer);

            const std::string callers = net::toString(m_server->endpoint());
            m_core = routing::RouterCore::make(
                m_options.routerSettings(m_incarnation, callers, m_streams->listenAddress(), m_socket->listenAddress()),
                std::make_unique<SeededRandom>(std::random_device {}() ^ m_incarnation));
            m_cacheWatcher = std::make_unique<CacheWatcher>(*m_client, m_eventQueue);
            m_attemptSender = std::make_unique<AttemptSender>(*m_client, m_eventQueue, RelaySettings {});
            m_executor = std::make_unique<Executor>(executorDependencies(), life.vm);
            m_logReader = std::make_unique<LogReader>(*m_log, m_eventQueue);
            process::log(process::LogLevel::Info, "listening",
                { { "callers", callers }, { "peers", m_streams->listenAddress() },
                    { "gossip", m_socket->listenAddress() }, { "policy", m_options.policy } });
            return absl::OkStatus();
        }

        ExecutorDependencies executorDependencies()
        {
            return { *m_attemptSender, m_snapshot, m_statusExporter,
                [this](const routing::SendMessage& it) {
                    m_streams->send(it.to, it.address, it.bytes, it.lazy ? peer::Urgency::Lazy : peer::Urgency::Prompt);
                },
                [this](const VmId& vm) { m_streams->forget(vm); },
                [this](const routing::SendDatagram& it) { m_socket->send(it.address, it.bytes); },
                [this] { m_server->stopListening(); }, [this] { m_exited.store(true); } };
        }

        // The core exits when it has issued the last responses. Their bytes may still be in flight to slow callers.
        void waitForOpenConnections()
        {
            const TimePoint end = steadyNow() + flushTimeout;
            while (m_server->openConnections() > 0 && steadyNow() < end)
                std::this_thread::sleep_for(tickInterval);
        }

        // Event loop of the core thread, the only thread on which the core runs.
        void runCore()
        {
            std::vector<QueuedEvent> events;
            TimePoint nextTick = steadyNow();
            while (!m_exited.load()) {
                const TimePoint before = steadyNow();
                m_eventQueue.waitAndDrain(events, std::max(Duration(0), nextTick - before));
                for (QueuedEvent& queued : events)
                    handle(queued);
                const TimePoint now = steadyNow();
                if (now < nextTick)
                    continue;
                nextTick = now + tickInterval;
                m_executor->execute(m_core->handle(now, routing::Tick {}));
                reportProgress(now);
                updateStatus(now);
            }
        }

        void handle(QueuedEvent& queued)
        {
            if (queued.caller) {
                registerCallbacks(queued.caller);
                m_executor->addRequest(queued.caller);
            }
            m_executor->execute(m_core->handle(steadyNow(), std::move(queued.event)));
            m_logReader->setNextOffset(m_core->nextLogOffset());
        }

        void registerCallbacks(const std::shared_ptr<CallerRequest>& caller)
        {
            const RequestId id = caller->id();
            caller->exchange().onClosed([this, id] { m_eventQueue.push(routing::CallerDisconnected { id }); });
            if (!caller->streamed())
                return;
            const std::weak_ptr<CallerRequest> weak = caller;
            caller->exchange().onDrained([this, weak] {
                const auto paused = weak.lock();
                if (!paused)
                    return;
                if (const net::TransferId transfer = paused->pausedTransfer.exchange(0))
                    m_client->resume(transfer);
            });
        }

        void reportProgress(TimePoint now)
        {
            if (now < m_nextProgress)
                return;
            m_nextProgress = now + progressInterval;
            for (routing::AttemptProgressed& it : m_executor->collectProgress())
                m_executor->execute(m_core->handle(now, std::move(it)));
        }

        void updateStatus(TimePoint now)
        {
            if (now < m_nextStatus)
                return;
            m_nextStatus = now + statusInterval;
            m_cacheWatcher->follow(m_core->ownedTargets());
            m_cacheWatcher->poll(now);
            m_statusExporter.update(
                m_core->status(), { m_streams->bytes(), m_socket->bytes(), m_logReader->bytes() }, threadCpuTime());
        }

        Options m_options;
        Incarnation m_incarnation;
        EventQueue m_eventQueue;
        RcuSnapshot m_snapshot;
        StatusExporter m_statusExporter;
        PeerListener m_peerListener;
        std::unique_ptr<routing::RouterCore> m_core;
        std::unique_ptr<net::HttpClient> m_logClient;
        std::unique_ptr<config::LogPort> m_log;
        std::unique_ptr<LogReader> m_logReader;
        std::unique_ptr<net::HttpClient> m_client;
        std::unique_ptr<CacheWatcher> m_cacheWatcher;
        std::unique_ptr<AttemptSender> m_attemptSender;
        std::unique_ptr<Executor> m_executor;
        std::unique_ptr<CallerRequestHandler> m_requestHandler;
        std::unique_ptr<net::HttpServer> m_server;
        std::unique_ptr<peer::MessageStreams> m_streams;
        std::unique_ptr<peer::DatagramSocket> m_socket;
        std::atomic<bool> m_exited { false };
        TimePoint m_nextProgress {};
        TimePoint m_nextStatus {};
    };

    int runRouter(int argc, char** argv)
    {
        // First of all: until it blocks SIGHUP, a reload request ends the process.
        process::StopSignal stop;
        process::limitFreedMemory();
        Options options;
        process::Settings settings(
            "sagechute-router", "routes requests from callers and shares targets fairly among customers");
        options.declare(settings);
        if (auto code = settings.read(argc, argv))
            return *code;
        if (absl::Status status = process::startLogging("sagechute-router", options.logLevel, VmId { options.vm }, 0);
            !status.ok()) {
            fprintf(stderr, "%s\n", std::string(status.message()).c_str());
            return process::exitUsage;
        }
        auto router = Router::make(options);
        if (!router.ok()) {
            process::log(process::LogLevel::Error, "cannot start",
                { { "reason", std::string(router.status().message()) }, { "remedy", errorRemedy(router.status()) } });
            return 1;
        }
        return (*router)->run(stop);
    }

} // namespace

} // namespace sagechute::router

int main(int argc, char** argv) { return sagechute::router::runRouter(argc, argv); }
