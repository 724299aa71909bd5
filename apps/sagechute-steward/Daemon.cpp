#include "Daemon.h"

#include <sagechute/LogService.h>

namespace sagechute::steward {
namespace {

    constexpr Duration turnEvery = std::chrono::milliseconds(200);
    constexpr Duration releaseWait = std::chrono::seconds(3);

    /// @return a name that no other life of this or another VM's steward has.
    std::string lifeName(const std::string& vm)
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return vm + "." + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
    }

    OrderSettings withStateKeep(OrderSettings settings)
    {
        settings.stateKeep = settings.stateEvery * 3 + settings.orderTimeout;
        return settings;
    }

} // namespace

Daemon::Daemon(const Options& options)
    : m_options(options)
    , m_self(lifeName(options.vm))
    , m_orders(TargetOrders::make(withStateKeep(options.orders)))
{
}

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::make(const Options& options)
{
    auto logClient = net::HttpClient::make({});
    if (!logClient.ok())
        return logClient.status();
    auto targetClient = net::HttpClient::make({});
    if (!targetClient.ok())
        return targetClient.status();
    std::unique_ptr<Daemon> daemon(new Daemon(options));
    net::ServerOptions listen;
    listen.listen = *net::parseEndpoint(options.listen);
    listen.threads = 1;
    listen.maxBodyBytes = 4096;
    auto server = net::HttpServer::make(listen,
        [pages = &daemon->m_pages](const std::shared_ptr<net::ServerExchange>& exchange) { pages->handle(*exchange); });
    if (!server.ok())
        return server.status();
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(options.logTimeout);
    daemon->m_logClient = *std::move(logClient);
    daemon->m_log = logservice::makeHttpLog(*daemon->m_logClient, options.platform, timeout);
    daemon->m_lease = std::make_unique<LeaseRunner>(*daemon->m_log, LeaseKeeper::make(daemon->m_self, options.lease));
    daemon->m_config = std::make_unique<ConfigRunner>(*daemon->m_log, *daemon->m_lease, options.snapshots);
    daemon->m_targets
        = std::make_unique<TargetClient>(*std::move(targetClient), options.platform, options.orders.orderTimeout);
    daemon->m_server = *std::move(server);
    process::log(process::LogLevel::Info, "listening", { { "address", net::toString(daemon->m_server->endpoint()) } });
    return daemon;
}

void Daemon::run(process::StopSignal& signal)
{
    while (!signal.wait(turnEvery))
        turn(steadyNow());
    stop();
}

void Daemon::turn(TimePoint now)
{
    takeAnswers(now);
    if (const auto view = m_config->view(); view != m_view) {
        m_view = view;
        m_orders->configure(*view, now);
    }
    std::optional<LeaseHold> hold = m_lease->held(now);
    logLease(hold);
    if (m_isStopping)
        hold.reset();
    for (const OrderAction& action : m_orders->tick(hold, now))
        m_targets->carryOut(action);
    show(now);
}

void Daemon::takeAnswers(TimePoint now)
{
    for (const TargetEvent& event : m_targets->take())
        std::visit([&](const auto& it) { handle(it, now); }, event);
}

void Daemon::handle(const StateAnswer& answer, TimePoint now)
{
    m_orders->stateRead(answer.target, answer.number, answer.state, now);
}

void Daemon::handle(const LoadAnswer& answer, TimePoint now)
{
    if (answer.granted)
        m_orders->loadGranted(answer.target, now);
    else
        m_orders->loadRefused(answer.target, answer.wait, now);
}

void Daemon::handle(const OrderResult& result, TimePoint now)
{
    constexpr std::array<std::string_view, 3> answers { "accepted", "superseded", "failed" };
    process::log(process::LogLevel::Info, "order-answered",
        { { "target", result.target.value },
            { "answer", std::string(answers[static_cast<std::size_t>(result.answer)]) } });
    m_orders->orderAnswered(result.target, result.answer, now);
}

void Daemon::logLease(const std::optional<LeaseHold>& hold)
{
    const LogOffset fencing = hold ? hold->fencing : 0;
    if (fencing == m_fencing)
        return;
    m_fencing = fencing;
    process::log(
        process::LogLevel::Info, hold ? "lease-held" : "lease-not-held", { { "fencing", std::to_string(fencing) } });
}

void Daemon::stop()
{
    process::log(process::LogLevel::Info, "stopping");
    m_isStopping = true;
    // An order that is still under way when the lease is given up would reach its target beside the successor's.
    const TimePoint latest = steadyNow() + m_options.orders.orderTimeout + turnEvery;
    while (m_targets->underWay() > 0 && steadyNow() < latest)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (!m_lease->release(releaseWait))
        process::log(
            process::LogLevel::Warning, "lease-not-released", { { "remedy", "It ends by itself after its term" } });
}

void Daemon::show(TimePoint now)
{
    StewardStatus status;
    status.self = m_self;
    status.hold = m_lease->held(now);
    status.holder = m_lease->holder();
    status.problem = m_config->problem();
    status.offset = m_view->offset;
    status.logEnd = m_config->logEnd();
    status.snapshots = m_config->snapshotsWritten();
    status.targets = m_orders->progress(now);
    status.counts = m_orders->counts();
    m_pages.show(std::move(status));
}

} // namespace sagechute::steward
