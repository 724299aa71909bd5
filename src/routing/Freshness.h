#pragma once

/// @file
/// Decides whether this router may start new work.

#include <sagechute/Membership.h>
#include <sagechute/Routing.h>

namespace sagechute::routing {

/// A router that reaches neither the log nor a majority of its peers cannot learn that a target is leaving or that its
/// configuration is outdated, and could send new work to a target seconds after the target was told to leave. It
/// therefore starts nothing until contact is regained.
class Freshness {
public:
    explicit Freshness(const RouterSettings&);

    /// @param startedAt when the successful read of the log began.
    void logRead(TimePoint startedAt) { m_lastLogReadStart = std::max(m_lastLogReadStart, startedAt); }

    /// Records that the process was suspended until @p now; everything it knew dates from before.
    void resumed(TimePoint now) { m_resumedAt = now; }

    /// @param since since when another router has been known to have newer configuration, if any.
    void setBehindSince(std::optional<TimePoint> since) { m_behindSince = since; }

    bool logReachable(TimePoint now) const;

    /// @return whether new work may start.
    bool fresh(TimePoint now, const membership::Gossip&) const;

    /// @return whether requests should be refused rather than kept waiting. False right after a pause, because the
    /// first replies after it are still in transit.
    bool isCutOff(TimePoint now, const membership::Gossip&) const;

private:
    Duration m_limit;
    Duration m_maxConfigLag;
    Duration m_pauseGracePeriod;
    std::optional<TimePoint> m_behindSince;
    TimePoint m_lastLogReadStart = TimePoint::min();
    TimePoint m_resumedAt = TimePoint::min();
};

} // namespace sagechute::routing
