#include "dispatch/RetryWindow.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// Retries arrive after they are counted here, so that a window as seen by a target may overlap two of ours.
    constexpr double safetyFactor = 0.8;

    /// Always available, in any window. With 65 routers that is 65 of a retry slack of 170, and they are rarely all
    /// spent.
    constexpr double minRetries = 1;

} // namespace

void RetryWindow::expire(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &m_requests, &m_retries }) {
        while (!times->empty() && now - times->front() > m_settings.retryWindow)
            times->pop_front();
    }
}

void RetryWindow::countRequest(TimePoint now)
{
    if (!m_firstRequest)
        m_firstRequest = now;
    m_requests.push_back(now);
}

double RetryWindow::slackShare(TimePoint now, unsigned routers) const
{
    const bool hasFullWindow = m_firstRequest && now - *m_firstRequest > m_settings.retryWindow;
    if (!hasFullWindow || routers <= 1)
        return 0;
    return m_settings.retrySlack / std::max(routers, m_settings.leastRouters);
}

bool RetryWindow::tryAcquire(TimePoint now, unsigned routers, double fraction)
{
    expire(now);
    const double limit = std::max(minRetries,
        safetyFactor * (m_settings.retryRatio * static_cast<double>(m_requests.size()) + slackShare(now, routers)));
    if (static_cast<double>(m_retries.size()) + 1 > std::max(minRetries, fraction * limit))
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace sagechute::dispatch
