#include "dispatch/RetryWindow.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// Retries arrive later than they are counted here, so that two windows of a target may overlap one of ours.
    constexpr double safety = 0.8;

} // namespace

void RetryWindow::expire(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &m_requests, &m_retries }) {
        while (!times->empty() && now - times->front() > m_settings.retryWindow)
            times->pop_front();
    }
}

bool RetryWindow::take(TimePoint now, unsigned routers)
{
    expire(now);
    const double slack = m_settings.retrySlack / std::max(routers, m_settings.leastRouters);
    const double most = safety * (m_settings.retryRatio * static_cast<double>(m_requests.size()) + slack);
    if (static_cast<double>(m_retries.size()) + 1 > most)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace sagechute::dispatch
