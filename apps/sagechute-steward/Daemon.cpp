#include "Daemon.h"

#include <sagechute/LogService.h>

namespace sagechute::steward {
namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(200);
    constexpr Duration releaseTimeout = std::chrono::seconds(3);

    /// @return a name that is unique across VMs and across restarts of the steward.
    std::string uniqueHolderName(const std::string& vm)
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return vm + "." + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
    }

    OrderSettings withStateMaxAge(OrderSettings settings)
    {
        settings.stateMaxAge = settings.stateReadInterval * 3 + settings.orderTimeout;
        return settings;
    }

} // namespace

Daemon::Daemon(const Options& options)
    : m_options(options)
    , m_self(uniqueHolderName(options.vm))
    , m_orders(TargetOrders::make(withStateMaxAge(options.orders)))
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
    listen.limitConnections(listen.maxConnections, process::maxDescriptors());
    listen.limitMemory(options.memoryMb << 20);
    auto server = net::HttpServer::make(listen,
        [pages = &daemon->m_pages](const std::shared_ptr<net::ServerExchange>& exchange) { pages->handle(*exchange); });
    if (!server.ok())
        return server.status();
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(options.logTimeout);
    daemon->m_logClient = *std::move(logClient);
    daemon->m_log = logservice::makeHttpLog(*daemon->m_logClient, options.platform, timeout);
    daemon->m_lease
        = std::make_unique<LeaseRunner>(*daemon->m_log, LeaseContender::make(daemon->m_self, options.lease));
    daemon->m_config = std::make_unique<ConfigRunner>(*daemon->m_log, *daemon->m_lease, options.snapshots);
    daemon->m_targets
        = std::make_unique<TargetClient>(*std::move(targetClient), options.platform, options.orders.orderTimeout);
    daemon->m_server = *std::move(server);
    process::log(process::LogLevel::Info, "listening", { { "address", net::toString(daemon->m_server->endpoint()) } });
    return daemon;
}

void Daemon::run(process::StopSignal& signal)
{
    while (!signal.wait(tickInterval))
        tick(steadyNow());
    stop();
}

void Daemon::tick(TimePoint now)
{
    handleEvents(now);
    if (const auto view = m_config->view(); view != m_view) {
        m_view = view;
        m_orders->configure(*view, now);
    }
    std::optional<HeldLease> hold = m_lease->held(now);
    logLeaseChange(hold);
    if (m_isStopping)
        hold.reset();
    for (const OrderAction& action : m_orders->tick(hold, now))
        m_targets->execute(action);
    publishStatus(now);
}

void Daemon::handleEvents(TimePoint now)
{
    for (const TargetEvent& event : m_targets->takeEvents())
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

void Daemon::logLeaseChange(const std::optional<HeldLease>& hold)
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
    // An order still in flight when the lease is released could reach its target concurrently with orders of the next
    // holder.
    const TimePoint latest = steadyNow() + m_options.orders.orderTimeout + tickInterval;
    while (m_targets->inFlight() > 0 && steadyNow() < latest)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (!m_lease->release(releaseTimeout))
        process::log(process::LogLevel::Warning, "lease-not-released",
            { { "remedy", "None needed: the lease expires after its term" } });
}

void Daemon::publishStatus(TimePoint now)
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
    m_pages.update(std::move(status));
}

} // namespace sagechute::steward
