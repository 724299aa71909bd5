#pragma once

/// @file
/// The part of the fleet's retry budget that one router may spend.

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// Counts requests and retries of one service over a sliding window.
///
/// Load pattern: a target fails two requests in five while callers repeat at once. Retries would add up to more than
/// the requests themselves and drown the targets that still work. All routers share one budget and can't ask each other
/// in time, so each spends the ratio on its own requests and an equal part of the slack.
///
/// That part is spent only by a router that has run for a whole window and knows of others. One that has just started
/// knows neither what its former life spent nor how many it shares with: 65 routers that are killed together would each
/// take an eighth of the slack, eight times all of it. A single retry is always there, so that a router with few
/// requests can mend a lost answer.
class RetryWindow {
public:
    explicit RetryWindow(const DispatchSettings& settings)
        : m_settings(settings)
    {
    }

    void countRequest(TimePoint now);

    /// @param routers most that were known at once, this one included: one that is out of sight may still spend.
    /// @return whether one more retry fits; it is then counted.
    bool take(TimePoint now, unsigned routers);

private:
    void expire(TimePoint now);
    double slackPart(TimePoint now, unsigned routers) const;

    const DispatchSettings m_settings;
    std::optional<TimePoint> m_firstRequest;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace sagechute::dispatch
