#pragma once

/// @file
/// One router's part of the fleet-wide retry budget.

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// Limits the retries of one service by counting requests and retries over a sliding window.
///
/// When a target fails two requests in five and callers retry at once, unlimited retries would outnumber the requests
/// and overload the targets that still work. All routers share one budget but cannot coordinate in time, so each may
/// spend the retry ratio of its own requests and an equal part of the slack.
///
/// The slack is available only to a router that has run for a whole window and knows of other routers. A router that
/// has just started knows neither what its previous process spent nor how many routers share the slack: 65 routers that
/// are killed together would each take an eighth of it, eight times the total. A single retry is always available, so
/// that a router with few requests can recover from a lost answer.
class RetryWindow {
public:
    explicit RetryWindow(const DispatchSettings& settings)
        : m_settings(settings)
    {
    }

    void countRequest(TimePoint now);

    /// @param routers maximum number of routers known at any time, including this one; an unreachable one may still
    ///        spend from the budget.
    /// @param fraction part of the budget that this retry may use, together with all others in the window.
    /// @return whether one more retry is within the budget; if so, it is counted.
    bool tryAcquire(TimePoint now, unsigned routers, double fraction = 1);

private:
    void expire(TimePoint now);
    double slackShare(TimePoint now, unsigned routers) const;

    const DispatchSettings m_settings;
    std::optional<TimePoint> m_firstRequest;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace sagechute::dispatch
