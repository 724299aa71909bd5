#include <sagechute/Edge.h>

#include <algorithm>
#include <cmath>

namespace sagechute::edge {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Work as multiples of a request without a stream: one piece of a stream, and a refusal. On loopback a request
    /// costs 0.2 ms of processor time, a piece 0.018 and a refusal 0.068 (tools/path_cost.py); on the users' machines a
    /// piece costs some 0.2 of a request.
    constexpr double pieceUnits = 0.15;
    constexpr double refusalUnits = 0.35;

    /// Before anything was measured: processor time of a request without a stream, and pieces of a stream. Rather too
    /// much, as a router that has just started among callers that wait must not begin with a queue.
    constexpr double firstRequestSeconds = 0.0003;
    constexpr double firstPieces = 10;

    /// How many requests' worth of measurement the first guesses count for.
    constexpr double firstWeight = 10;
    constexpr double firstStreams = 3;

    /// Streams last for seconds, so that their pieces come long after the requests that they belong to.
    constexpr double streamMemory = 8;

    /// Fewer units than this between two looks teach nothing; a few dozen outweigh what was believed before.
    constexpr double leastUnits = 0.5;
    constexpr double leastMemoryUnits = 30;

    /// By which part of the difference from the target the rate is corrected at each look while requests are refused:
    /// streams that were taken are still to be carried, so that what a step does shows over the next second.
    constexpr double correction = 0.3;

    /// A router that did nothing but work since the last look has requests waiting in the kernel, nobody knows how
    /// many. It takes so much less at each look until they have been dealt with.
    constexpr double saturated = 0.97;
    constexpr double cut = 0.6;

    /// Part of its target that a router always has for requests, whatever the refusals cost.
    constexpr double leastAvailable = 0.4;

    constexpr double percent = 100;

    /// A customer with more than this share of a router's requests, and a few, floods it.
    constexpr double heavyShare = 0.2;
    constexpr unsigned leastHeavy = 5;
    constexpr Duration countedTime = std::chrono::seconds(1);

    /// Requests come in bursts; as many as fit into this time are taken at once.
    constexpr double burstSeconds = 0.4;

    /// With more connections than this share of the most, new ones would soon be turned away.
    constexpr double connectionShare = 0.6;

    constexpr Duration leastInterval = std::chrono::milliseconds(40);

} // namespace

CrowdMeter::CrowdMeter(double cores, unsigned mostConnections, const CrowdSettings& settings)
    : m_settings(settings)
    , m_mostConnections(connectionShare * mostConnections)
    , m_busySeconds(firstWeight * (1 + pieceUnits * firstPieces) * firstRequestSeconds / cores)
    , m_units(firstWeight * (1 + pieceUnits * firstPieces))
    , m_requests(firstStreams)
    , m_pieces(firstStreams * firstPieces)
{
    m_rate = m_settings.targetShare / secondsPerRequest();
}

double CrowdMeter::secondsPerRequest() const
{
    const double unitsPerRequest = 1 + pieceUnits * m_pieces / m_requests;
    return m_busySeconds / m_units * unitsPerRequest;
}

double CrowdMeter::rate() const
{
    std::lock_guard lock(m_mutex);
    return m_rate;
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
    const double passed = Seconds(now - m_filledAt).count();
    m_tokens = std::min(m_tokens + passed * m_rate, std::max(1.0, burstSeconds * m_rate));
    m_filledAt = now;
    const double kept = heavy ? burstSeconds * m_rate / 2 : 0;
    if (m_tokens < 1 + kept)
        return false;
    m_tokens -= 1;
    return true;
}

void CrowdMeter::measure(TimePoint now, const RouterWork& work, std::size_t connections)
{
    std::lock_guard lock(m_mutex);
    if (!m_measuredAt) {
        m_measuredAt = now;
        m_seen = work;
        return;
    }
    const Duration passed = now - *m_measuredAt;
    if (passed < leastInterval)
        return;
    const RouterWork done { work.busy - m_seen.busy, work.taken - m_seen.taken, work.refused - m_seen.refused,
        work.pieces - m_seen.pieces };
    m_measuredAt = now;
    m_seen = work;
    if (m_settings.learns)
        learn(passed, done);
    m_usePercent = static_cast<std::uint32_t>(percent * (m_share + m_refusedRate * secondsPerRequest()));
    m_isCrowded = m_usePercent > crowdedPercent || static_cast<double>(connections) > m_mostConnections;
}

void CrowdMeter::learn(Duration passed, const RouterWork& done)
{
    const double seconds = Seconds(passed).count();
    const double busyShare = std::min(1.0, Seconds(done.busy).count() / seconds);
    const double units = static_cast<double>(done.taken) + refusalUnits * static_cast<double>(done.refused)
        + pieceUnits * static_cast<double>(done.pieces);
    const double left = std::exp(-seconds / Seconds(m_settings.memory).count());
    const auto follow = [&](double& mean, double seen) { mean = left * mean + (1 - left) * seen; };
    follow(m_share, busyShare);
    follow(m_takenRate, static_cast<double>(done.taken) / seconds);
    follow(m_refusedRate, static_cast<double>(done.refused) / seconds);
    follow(m_unitRate, units / seconds);
    if (units < leastUnits) {
        // With next to no requests the time goes to heartbeats and look-ups, which says nothing of what a request
        // costs.
        follow(m_baseShare, busyShare);
        return;
    }
    // Costs are forgotten by work done, not by time: what the last requests before a quiet hour cost is still the best
    // guess after it.
    const double memory = Seconds(m_settings.memory).count();
    const double kept = std::exp(-units / std::max(m_unitRate * memory, leastMemoryUnits));
    m_busySeconds = kept * m_busySeconds + std::max(0.0, busyShare - m_baseShare) * seconds;
    m_units = kept * m_units + units;
    const double streamsLeft = std::exp(-seconds / streamMemory);
    m_requests = streamsLeft * (m_requests - firstStreams) + firstStreams + static_cast<double>(done.taken);
    m_pieces = streamsLeft * (m_pieces - firstStreams * firstPieces) + firstStreams * firstPieces
        + static_cast<double>(done.pieces);
    setRate(done.refused > 0, busyShare > saturated);
}

void CrowdMeter::setRate(bool isRefusing, bool isSaturated)
{
    // From what was really taken, not from what might have been: with a core by quota work seems cheap below the quota
    // and dear above it, and a rate that had run ahead of the requests would take seconds to come back.
    const double target = m_settings.targetShare;
    const double room = (target - m_share) / secondsPerRequest();
    const bool isFull = isRefusing || room < 0;
    const double least = leastAvailable * target / secondsPerRequest();
    const double wanted = isSaturated ? cut * m_takenRate : m_takenRate + (isFull ? correction : 1) * room;
    m_rate = std::max(wanted, least);
}

} // namespace sagechute::edge
