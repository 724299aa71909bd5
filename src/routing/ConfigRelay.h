#pragma once

/// @file
/// Passes configuration between routers, for those that cannot reach the log.

#include "routing/Outbox.h"

namespace sagechute::routing {

/// Requests missing configuration from a peer that is ahead, and answers such requests. This allows a router to restart
/// during an outage of the log, and a router without access to the log to learn that a target is leaving.
class ConfigRelay {
public:
    ConfigRelay(const RouterSettings&, const membership::MembershipView&, Outbox&);

    /// Sends a pull request when this replica has been behind a peer for configPullDelay.
    void tick(TimePoint now, LogOffset have, Random&);

    /// @return since when a peer has been ahead without any progress of this replica.
    std::optional<TimePoint> behindSince() const { return m_behindSince; }
    void answerPull(const config::ConfigReplica&, const VmId& from, LogOffset after);

private:
    const RouterSettings& m_settings;
    const membership::MembershipView& m_view;
    Outbox& m_outbox;
    LogOffset m_offsetWhenBehind = 0; ///< Local offset when a peer was first seen ahead.
    std::optional<TimePoint> m_behindSince;
    TimePoint m_nextPull {};
};

} // namespace sagechute::routing
