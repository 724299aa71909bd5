#include "scheduling/GapMeter.h"

#include <algorithm>
#include <limits>

namespace sagechute::scheduling {

GapMeter::Customer& GapMeter::customer(CustomerIndex c)
{
    if (c >= m_customers.size())
        m_customers.resize(c + 1);
    return m_customers[c];
}

void GapMeter::add(CustomerIndex c, Cost normalised)
{
    customer(c).service += normalised;
    ++m_addsSinceSample;
    // Copying n values once every n charges keeps the amortised cost of a charge constant.
    if (m_addsSinceSample >= m_customers.size())
        takeSample();
}

void GapMeter::addHistory(CustomerIndex c, Cost normalised)
{
    customer(c).service += normalised;
    for (auto& it : m_samples) {
        if (c < it.services.size())
            it.services[c] += normalised;
    }
}

void GapMeter::setBacklogged(CustomerIndex c, bool backlogged)
{
    customer(c).backloggedSince = backlogged ? ++m_serial : 0;
}

void GapMeter::takeSample()
{
    m_addsSinceSample = 0;
    if (m_samples.size() == kMaxSamples)
        decimateSamples();
    Sample sample;
    sample.serial = ++m_serial;
    sample.services.reserve(m_customers.size());
    for (const auto& it : m_customers)
        sample.services.push_back(it.service);
    m_samples.push_back(std::move(sample));
}

void GapMeter::decimateSamples()
{
    // Drops every second sample of the older half, so that the spacing of samples increases with age.
    std::size_t kept = 0;
    for (std::size_t n = 0; n < m_samples.size(); ++n) {
        if (n < kMaxSamples / 2 && n % 2)
            continue;
        if (kept != n)
            m_samples[kept] = std::move(m_samples[n]);
        ++kept;
    }
    m_samples.resize(kept);
}

Cost GapMeter::gapSince(const Sample& sample) const
{
    Cost least = std::numeric_limits<Cost>::max();
    Cost most = std::numeric_limits<Cost>::lowest();
    for (std::size_t n = 0; n < sample.services.size(); ++n) {
        const Customer& it = m_customers[n];
        if (!it.backloggedSince || it.backloggedSince > sample.serial)
            continue;
        const Cost received = it.service - sample.services[n];
        least = std::min(least, received);
        most = std::max(most, received);
    }
    return std::max<Cost>(0, most - least);
}

Cost GapMeter::largestGap() const
{
    Cost gap = 0;
    for (const auto& it : m_samples)
        gap = std::max(gap, gapSince(it));
    return gap;
}

} // namespace sagechute::scheduling
