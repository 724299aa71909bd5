#include "Statistics.h"

#include <algorithm>
#include <cmath>

namespace sagechute::load {

std::optional<Duration> Percentiles::at(double share) const
{
    if (m_values.empty())
        return std::nullopt;
    std::vector<Duration> sorted = m_values;
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const std::size_t index = std::min(sorted.size(), static_cast<std::size_t>(std::max(rank, 1.0))) - 1;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index];
}

void PoolMeter::sample(const PoolSample& sample)
{
    const bool first = !m_lastTime;
    std::vector<const CustomerSample*> backlogged;
    for (const CustomerSample& it : sample.customers) {
        if (!first && it.leastWaiting > 0)
            backlogged.push_back(&it);
    }
    std::map<PairKey, PairState> before;
    before.swap(m_pairs);
    for (std::size_t i = 0; i < backlogged.size(); ++i) {
        for (std::size_t j = i + 1; j < backlogged.size(); ++j) {
            const PairKey key { backlogged[i]->customer, backlogged[j]->customer };
            const auto known = before.find(key);
            m_pairs[key] = known != before.end()
                ? known->second
                : PairState { m_lastService[key.first], m_lastService[key.second], 0, 0 };
            measurePair(*backlogged[i], *backlogged[j]);
        }
    }
    if (!backlogged.empty()) {
        const double busy = std::min(sample.busySlotSeconds, sample.slotSeconds);
        const double seconds = std::chrono::duration<double>(sample.time - *m_lastTime).count();
        unsigned waiting = 0;
        for (const CustomerSample* it : backlogged)
            waiting += it->leastWaiting;
        m_busySlotSeconds += busy;
        m_slotSeconds += std::min(sample.slotSeconds, busy + waiting * seconds);
    }
    if (backlogged.size() >= 2)
        m_pairTime += sample.time - *m_lastTime;
    m_lastTime = sample.time;
    for (const CustomerSample& it : sample.customers)
        m_lastService[it.customer] = it.service;
}

void PoolMeter::measurePair(const CustomerSample& a, const CustomerSample& b)
{
    PairState& pair = m_pairs[{ a.customer, b.customer }];
    const Cost difference = (a.service - pair.startOfFirst) / a.weight - (b.service - pair.startOfSecond) / b.weight;
    pair.least = std::min(pair.least, difference);
    pair.most = std::max(pair.most, difference);
    m_gapOverAnyInterval = std::max({ m_gapOverAnyInterval, difference - pair.least, pair.most - difference });
    if (std::abs(difference) <= m_gap)
        return;
    m_gap = std::abs(difference);
    m_worstPair = a.customer.value + " " + b.customer.value;
}

double ResettingCounter::advance(double value)
{
    const double gained = !m_last ? 0 : value >= *m_last ? value - *m_last : value;
    m_last = value;
    m_total += gained;
    return gained;
}

} // namespace sagechute::load
