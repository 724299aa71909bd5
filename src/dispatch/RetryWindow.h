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
class RetryWindow {
public:
    explicit RetryWindow(const DispatchSettings& settings)
        : m_settings(settings)
    {
    }

    void countRequest(TimePoint now) { m_requests.push_back(now); }

    /// @return whether one more retry fits; it is then counted.
    bool take(TimePoint now, unsigned routers);

private:
    void expire(TimePoint now);

    const DispatchSettings m_settings;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace sagechute::dispatch
