#pragma once

#include "operators/ApiMetrics.h"
#include "operators/ChangeService.h"
#include "operators/ChangeWaiters.h"
#include "operators/DenialLog.h"
#include "operators/FleetDocument.h"
#include "operators/FleetPoller.h"
#include "operators/SharedReplica.h"
#include "operators/Watchers.h"
#include "operators/WorkerPool.h"

#include <sagechute/Operators.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace sagechute::operators {

/// A request whose operator is known.
struct ApiCall {
    std::shared_ptr<net::ServerExchange> exchange;
    const OperatorKey* who = nullptr;
    std::vector<std::string> path; ///< Parts of the path.

    const net::ServerRequest& http() const { return exchange->request(); }
};

/// Serves the API: finds the operator and the route, answers reads from memory, hands changes to workers.
class ApiServer final : public Api {
public:
    ApiServer(ApiOptions, config::LogPort&, net::HttpClient&);
    ~ApiServer() override;

    void handle(std::shared_ptr<net::ServerExchange>) override;
    absl::Status readiness() const override;

private:
    struct Route {
        std::string_view method;
        std::string_view pattern; ///< "*" stands for any one part.
        Role role;
        bool needsConfig; ///< Refused until the log has been read once: an empty list would pass for an empty fleet.
        void (ApiServer::*handler)(const ApiCall&);
    };
    static const std::vector<Route>& routes();

    bool handleOpen(net::ServerExchange&);
    void dispatch(const ApiCall&);
    void refuse(const ApiCall&, const absl::Status&);

    void getAll(const ApiCall&);
    void getKind(const ApiCall&);
    void getResource(const ApiCall&);
    void putResource(const ApiCall&);
    void tryResource(const ApiCall&);
    void deleteResource(const ApiCall&);
    void getChange(const ApiCall&);
    void getProgress(const ApiCall&);
    void getAudit(const ApiCall&);
    void getMe(const ApiCall&);
    void getFleet(const ApiCall&);
    void getHelp(const ApiCall&);

    void listOrWatch(const ApiCall&, std::optional<config::Kind>);
    void list(const ApiCall&, const std::vector<config::Kind>&);
    void change(const ApiCall&, ChangeRequest);
    void answerProgress(const std::shared_ptr<net::ServerExchange>&, LogOffset, nlohmann::json document, Duration wait);
    void answerChange(const std::shared_ptr<net::ServerExchange>&, const config::Applied&, Duration wait);
    void runLater(const std::shared_ptr<net::ServerExchange>&, WorkerPool::Job);

    void audit(config::AuditEntry);
    void auditRefusal(const ChangeRequest&, const absl::Status&);
    void append(const config::AuditEntry&);

    void follow();
    void onPoll();
    void choosePollInterval();
    LogStanding standing() const;

    const ApiOptions m_options;
    config::LogPort& m_log;
    ApiMetrics m_metrics;
    SharedReplica m_replica;
    const std::unique_ptr<config::LogFollower> m_follower;
    DenialLog m_denials;
    Watchers m_watchers;
    ChangeWaiters m_waiters;
    FleetPoller m_poller;
    ChangeService m_changes;

    mutable std::mutex m_mutex; ///< Guards the next four.
    std::condition_variable m_stop;
    bool m_stopping = false;
    absl::Status m_logStatus;
    std::optional<TimePoint> m_logContact;

    WorkerPool m_workers; ///< After all that its jobs use.
    std::thread m_follow;
};

} // namespace sagechute::operators
