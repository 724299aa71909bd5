#pragma once

/// @file
/// Whether this router may start new work.

#include <sagechute/Membership.h>
#include <sagechute/Routing.h>

namespace sagechute::routing {

/// A router that sees neither the log nor a majority of its peers can't learn that a target is leaving or that its
/// configuration is old. One would notice new work at a target seconds after it was told to leave. So it starts nothing
/// until it is in touch again.
class Freshness {
public:
    explicit Freshness(const RouterSettings&);

    /// @param asked when a read of the log that succeeded had begun.
    void logRead(TimePoint asked) { m_logAsked = std::max(m_logAsked, asked); }

    /// The process did not run between @p before and @p now: what it knew is that old.
    void resumed(TimePoint now) { m_resumedAt = now; }

    /// @param since since when another router is known to have newer configuration, if one is.
    void behind(std::optional<TimePoint> since) { m_behindSince = since; }

    bool logReachable(TimePoint now) const;

    /// @return whether new work may start.
    bool fresh(TimePoint now, const membership::Gossip&) const;

    /// @return whether requests should be refused rather than wait. A pause alone is no reason: the first answers after
    /// it are on their way.
    bool cutOff(TimePoint now, const membership::Gossip&) const;

private:
    Duration m_limit;
    Duration m_lagMost;
    Duration m_regainTime;
    std::optional<TimePoint> m_behindSince;
    TimePoint m_logAsked = TimePoint::min();
    TimePoint m_resumedAt = TimePoint::min();
};

} // namespace sagechute::routing
