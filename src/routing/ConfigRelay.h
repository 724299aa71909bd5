#pragma once

/// @file
/// Configuration passed on between routers, for those that the log does not reach.

#include "routing/Outbox.h"

namespace sagechute::routing {

/// Asks a peer that is ahead for what is missing, and answers such questions. A restarted router comes up during an
/// outage of the log this way, and one that is cut off from the log still learns of a leaving target.
class ConfigRelay {
public:
    ConfigRelay(const RouterSettings&, const membership::MembershipView&, Outbox&);

    /// Asks, when this replica has been behind a peer for the relay delay.
    void tick(TimePoint now, LogOffset have, Random&);

    /// @return since when a peer has been ahead without this replica getting any further.
    std::optional<TimePoint> behindSince() const { return m_behindSince; }
    void pulled(const config::ConfigReplica&, const VmId& from, LogOffset after);

private:
    const RouterSettings& m_settings;
    const membership::MembershipView& m_view;
    Outbox& m_outbox;
    LogOffset m_behindAt = 0; ///< Our offset when we first saw a peer ahead.
    std::optional<TimePoint> m_behindSince;
    TimePoint m_nextAsk {};
};

} // namespace sagechute::routing
