#include <sagechute/Edge.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// Processor time of a request with its answer, the mean over a heavy day: 1.1 ms.
    constexpr double requestSeconds = 0.0011;

    /// How long a request is in flight, the mean over a heavy day's streams. A router that stands still has few new
    /// requests but many in flight.
    constexpr double heldSeconds = 2;

    constexpr double percent = 100;

    /// Share of its cores that a router fills with requests; refusing the others, heartbeats and the rest take some,
    /// too.
    constexpr double takeShare = 0.7;

    /// A customer with more than this share of a router's requests, and a few, floods it.
    constexpr double heavyShare = 0.2;
    constexpr unsigned leastHeavy = 5;
    constexpr Duration countedTime = std::chrono::seconds(1);

    /// Requests come in bursts; as many as fit into this time are taken at once.
    constexpr double burstSeconds = 0.4;

    /// With more connections than this share of the most, new ones would soon wait in the kernel for seconds.
    constexpr double connectionShare = 0.6;

    constexpr Duration leastInterval = std::chrono::milliseconds(200);

} // namespace

CrowdMeter::CrowdMeter(double cores, unsigned mostConnections)
    : m_fullPerSecond(cores / requestSeconds)
    , m_mostConnections(connectionShare * mostConnections)
{
}

bool CrowdMeter::isHeavy(TimePoint now, const CustomerId& customer)
{
    if (now - m_countedSince > countedTime) {
        m_counts.clear();
        m_total = 0;
        m_countedSince = now;
    }
    const unsigned own = ++m_counts[customer];
    ++m_total;
    return own > heavyShare * m_total && own > leastHeavy;
}

bool CrowdMeter::takes(TimePoint now, const CustomerId& customer)
{
    std::lock_guard lock(m_mutex);
    const bool heavy = isHeavy(now, customer);
    const double passed = std::chrono::duration<double>(now - m_filledAt).count();
    const double rate = takeShare * m_fullPerSecond;
    m_tokens = std::min(m_tokens + passed * rate, burstSeconds * rate);
    m_filledAt = now;
    const double kept = heavy ? burstSeconds * rate / 2 : 0;
    if (m_tokens < 1 + kept)
        return false;
    m_tokens -= 1;
    return true;
}

void CrowdMeter::measure(TimePoint now, std::uint64_t requests, unsigned active, std::size_t connections)
{
    if (!m_measuredAt) {
        m_measuredAt = now;
        m_requests = requests;
    }
    const Duration passed = now - *m_measuredAt;
    if (passed < leastInterval)
        return;
    const double arriving = static_cast<double>(requests - m_requests) / std::chrono::duration<double>(passed).count();
    const double held = active / heldSeconds;
    m_usePercent = static_cast<std::uint32_t>(percent * std::max(arriving, held) / m_fullPerSecond);
    m_isCrowded = m_usePercent > crowdedPercent || static_cast<double>(connections) > m_mostConnections;
    m_measuredAt = now;
    m_requests = requests;
}

} // namespace sagechute::edge
