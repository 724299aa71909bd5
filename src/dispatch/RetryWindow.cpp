#include "dispatch/RetryWindow.h"

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// Retries arrive later than they are counted here, so that two windows of a target may overlap one of ours.
    constexpr double safety = 0.8;

    /// In any window. Of 65 routers they are 65 of the 170 that come on top of their requests' part, and they are
    /// rarely all spent.
    constexpr double leastRetries = 1;

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

double RetryWindow::slackPart(TimePoint now, unsigned routers) const
{
    const bool isSettled = m_firstRequest && now - *m_firstRequest > m_settings.retryWindow;
    if (!isSettled || routers <= 1)
        return 0;
    return m_settings.retrySlack / std::max(routers, m_settings.leastRouters);
}

bool RetryWindow::take(TimePoint now, unsigned routers)
{
    expire(now);
    const double most = std::max(leastRetries,
        safety * (m_settings.retryRatio * static_cast<double>(m_requests.size()) + slackPart(now, routers)));
    if (static_cast<double>(m_retries.size()) + 1 > most)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace sagechute::dispatch
