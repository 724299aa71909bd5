#pragma once

#include "operators/ApiRequest.h"
#include "operators/FleetPoller.h"
#include "operators/SharedReplica.h"

#include <functional>

namespace sagechute::operators {

/// Carries out changes. Its calls block on the log; they belong on a worker thread. Safe to use from several threads.
class ChangeService {
public:
    /// Told of a change that was refused before it reached the log, for the audit trail.
    using RefusalListener = std::function<void(const ChangeRequest&, const absl::Status&)>;

    /// All of them outlive the service.
    ChangeService(config::LogPort&, SharedReplica&, config::LogFollower&, const FleetPoller&, RefusalListener);

    /// Carries out a change, or tries it out.
    net::ServerResponse run(ChangeRequest);

    /// @return what is known of a change after reading the log to its end: its document, NotFound, or LogUnavailable.
    absl::StatusOr<config::Applied> lookUp(const std::string& changeId);

private:
    absl::StatusOr<net::ServerResponse> tryRun(ChangeRequest&);
    absl::StatusOr<net::ServerResponse> repeat(const ChangeRequest&, const config::Applied& earlier) const;
    absl::StatusOr<net::ServerResponse> put(ChangeRequest&);
    absl::StatusOr<net::ServerResponse> remove(const ChangeRequest&);
    absl::StatusOr<net::ServerResponse> tryOut(const config::Change&, const std::optional<config::Resource>& current);
    absl::StatusOr<net::ServerResponse> submit(const config::Change&);
    net::ServerResponse answer(const config::Applied&, bool repeated) const;
    config::Change makeChange(const ChangeRequest&, const std::optional<config::Resource>& current) const;
    net::ServerResponse unchanged(const config::Resource&) const;
    absl::Status readAll();

    SharedReplica& m_replica;
    config::LogFollower& m_follower;
    const FleetPoller& m_poller;
    const RefusalListener m_onRefusal;
    const std::unique_ptr<config::ChangeWriter> m_writer;
};

/// @return the present time as RFC 3339 text.
std::string timeText();

/// @return random hex digits, from the system's source.
std::string randomHex(std::size_t digits);

} // namespace sagechute::operators
