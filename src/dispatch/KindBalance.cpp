#include "dispatch/KindBalance.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    /// Step of a factor's logarithm with each request. A router decides on some ten such requests a second; with 0.01
    /// to 0.05 the worth is the same within noise, with 0.15 the factors follow chance and 0.02 of it is lost.
    constexpr double step = 0.02;

    /// Bound of a factor's logarithm: a kind may wait for a fifth up to four and a half times as long.
    constexpr double mostLogFactor = 1.5;

    /// The sums fall by half in this time: long against the gaps between requests, short against a flood.
    constexpr double halfLifeSeconds = 4;

} // namespace

double KindBalance::factor(const std::string& route) const
{
    const auto it = m_logFactors.find(route);
    if (it == m_logFactors.end())
        return 1;
    // Against the others': all of them together must not wait longer or shorter, nor a kind that is the only one.
    double sum = 0;
    for (const auto& [other, logFactor] : m_logFactors)
        sum += logFactor;
    return std::exp(it->second - sum / static_cast<double>(m_logFactors.size()));
}

void KindBalance::decided(TimePoint now, const std::string& route, double tokens, bool isTaken)
{
    const double passed = m_fadedAt ? std::chrono::duration<double>(now - *m_fadedAt).count() : 0;
    m_fadedAt = now;
    const double left = std::exp2(-passed / halfLifeSeconds);
    m_askedTokens = left * m_askedTokens + tokens;
    m_takenTokens = left * m_takenTokens + (isTaken ? tokens : 0);
    if (m_askedTokens <= 0)
        return;
    const double part = m_takenTokens / m_askedTokens;
    double& logFactor = m_logFactors[route];
    logFactor = std::clamp(logFactor + step * (part - (isTaken ? 1 : 0)), -mostLogFactor, mostLogFactor);
}

} // namespace sagechute::dispatch
