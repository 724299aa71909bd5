#include "dispatch/KindBalance.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    /// Step of a factor's logarithm per request, at about ten such requests a second and router. Between 0.01 and 0.05
    /// the effect is the same within noise; with 0.15 the factors follow noise, which costs 0.02 of the effect.
    constexpr double stepSize = 0.02;

    /// Bound of a factor's logarithm: the allowed wait can shrink to a fifth or grow to 4.5 times its value.
    constexpr double maxLogFactor = 1.5;

    /// Half-life of the sums: long compared with the time between requests, short compared with a flood.
    constexpr double halfLifeSeconds = 4;

} // namespace

double KindBalance::waitFactor(const std::string& route) const
{
    const auto it = m_logFactors.find(route);
    if (it == m_logFactors.end())
        return 1;
    // Relative to the mean of all routes, so that neither all routes together nor an only route wait longer or shorter.
    double sum = 0;
    for (const auto& [other, logFactor] : m_logFactors)
        sum += logFactor;
    return std::exp(it->second - sum / static_cast<double>(m_logFactors.size()));
}

void KindBalance::recordDecision(TimePoint now, const std::string& route, double tokens, bool isAdmitted)
{
    const double elapsedSeconds = m_decayedAt ? std::chrono::duration<double>(now - *m_decayedAt).count() : 0;
    m_decayedAt = now;
    const double remaining = std::exp2(-elapsedSeconds / halfLifeSeconds);
    m_requestedTokens = remaining * m_requestedTokens + tokens;
    m_admittedTokens = remaining * m_admittedTokens + (isAdmitted ? tokens : 0);
    if (m_requestedTokens <= 0)
        return;
    const double admittedFraction = m_admittedTokens / m_requestedTokens;
    double& logFactor = m_logFactors[route];
    logFactor
        = std::clamp(logFactor + stepSize * (admittedFraction - (isAdmitted ? 1 : 0)), -maxLogFactor, maxLogFactor);
}

} // namespace sagechute::dispatch
