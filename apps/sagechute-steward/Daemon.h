#pragma once

#include "ConfigRunner.h"
#include "Options.h"
#include "StatusPages.h"
#include "TargetClient.h"

namespace sagechute::steward {

/// The running steward: log, lease, configuration, targets and status pages.
class Daemon {
public:
    /// @param options must outlive the daemon.
    /// @return the daemon, listening for requests, or an error whose remedy names the setting to change.
    static absl::StatusOr<std::unique_ptr<Daemon>> make(const Options& options);
    ~Daemon() = default;

    /// Runs until a stop signal arrives, then waits for requests in flight and releases the lease.
    void run(process::StopSignal&);

private:
    explicit Daemon(const Options&);

    void tick(TimePoint now);
    void handleEvents(TimePoint now);
    void stop();
    void publishStatus(TimePoint now);
    void logLeaseChange(const std::optional<HeldLease>&);

    void handle(const StateAnswer&, TimePoint now);
    void handle(const LoadAnswer&, TimePoint now);
    void handle(const OrderResult&, TimePoint now);

    const Options& m_options;
    const std::string m_self;
    // The order matters: each member uses earlier ones, including during destruction.
    std::unique_ptr<net::HttpClient> m_logClient;
    std::unique_ptr<config::LogPort> m_log;
    std::unique_ptr<LeaseRunner> m_lease;
    std::unique_ptr<ConfigRunner> m_config;
    std::unique_ptr<TargetClient> m_targets;
    std::unique_ptr<TargetOrders> m_orders;
    StatusPages m_pages;
    std::unique_ptr<net::HttpServer> m_server;
    std::shared_ptr<const config::ConfigView> m_view;
    LogOffset m_fencing = 0;
    bool m_isStopping = false;
};

} // namespace sagechute::steward
