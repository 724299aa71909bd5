#include <sagechute/Edge.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sagechute::edge {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Cost of a stream piece and of a refusal, relative to a request without a stream. On loopback a request costs
    /// 0.2 ms of processor time, a piece 0.018 ms and a refusal 0.068 ms (tools/path_cost.py); on the users' machines a
    /// piece costs about 0.2 of a request.
    constexpr double pieceUnits = 0.15;
    constexpr double refusalUnits = 0.35;

    /// Initial estimates before any measurement: processor time of a request without a stream, and pieces per stream.
    /// They are on the high side, because a router that has just started among waiting callers must not begin with a
    /// queue.
    constexpr double firstRequestSeconds = 0.0003;
    constexpr double firstPieces = 10;

    /// Weight of the initial estimates, in requests.
    constexpr double firstWeight = 10;
    constexpr double firstStreams = 3;

    /// Time constant in seconds. Streams last for seconds, so their pieces come long after their requests.
    constexpr double streamMemory = 8;

    /// An interval with fewer units than this does not update the cost; a few dozen units outweigh older measurements.
    constexpr double leastUnits = 0.5;
    constexpr double leastMemoryUnits = 30;

    /// Fraction of the distance to the target by which each measurement corrects the rate while requests are refused:
    /// admitted streams are still to be carried, so a step takes effect over the next second.
    constexpr double correctionFactor = 0.3;

    /// A router that was busy for a whole interval has an unknown number of requests waiting in the kernel. It reduces
    /// its rate by this factor at each measurement until they are processed.
    constexpr double saturated = 0.97;
    constexpr double saturationCutFactor = 0.6;

    /// Fraction of its target that a router always admits, whatever refusals cost.
    constexpr double leastAvailable = 0.4;

    constexpr double percent = 100;

    /// A customer floods a router when it sends more than this share of the requests, and more than a few.
    constexpr double floodShare = 0.2;
    constexpr unsigned minFloodRequests = 5;
    constexpr Duration countedTime = std::chrono::seconds(1);

    /// Requests come in bursts; the token bucket holds the requests of this much time.
    constexpr double burstSeconds = 0.4;

    /// Above this fraction of the connection limit, new connections would soon be refused.
    constexpr double connectionShare = 0.6;

    constexpr Duration leastInterval = std::chrono::milliseconds(40);

} // namespace

AdaptiveRateLimiter::AdaptiveRateLimiter(double cores, unsigned mostConnections, const RateLimiterSettings& settings)
    : m_settings(settings)
    , m_mostConnections(connectionShare * mostConnections)
    , m_busySeconds(firstWeight * (1 + pieceUnits * firstPieces) * firstRequestSeconds / cores)
    , m_units(firstWeight * (1 + pieceUnits * firstPieces))
    , m_requests(firstStreams)
    , m_pieces(firstStreams * firstPieces)
{
    m_rate = m_settings.targetUtilization / secondsPerRequest();
}

double AdaptiveRateLimiter::secondsPerRequest() const
{
    const double unitsPerRequest = 1 + pieceUnits * m_pieces / m_requests;
    return m_busySeconds / m_units * unitsPerRequest;
}

double AdaptiveRateLimiter::rate() const
{
    std::lock_guard lock(m_mutex);
    return m_rate;
}

bool AdaptiveRateLimiter::isFlooding(TimePoint now, const CustomerId& customer)
{
    if (now - m_countedSince > countedTime) {
        m_counts.clear();
        m_total = 0;
        m_countedSince = now;
    }
    const unsigned own = ++m_counts[customer];
    ++m_total;
    return own > floodShare * m_total && own > minFloodRequests;
}

bool AdaptiveRateLimiter::admit(TimePoint now, const CustomerId& customer)
{
    std::lock_guard lock(m_mutex);
    const bool floods = isFlooding(now, customer);
    const double passed = Seconds(now - m_filledAt).count();
    m_tokens = std::min(m_tokens + passed * m_rate, std::max(1.0, burstSeconds * m_rate));
    m_filledAt = now;
    const double kept = floods ? burstSeconds * m_rate / 2 : 0;
    if (m_tokens < 1 + kept)
        return false;
    m_tokens -= 1;
    return true;
}

void AdaptiveRateLimiter::measure(TimePoint now, const RouterWork& work, std::size_t connections)
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
    const RouterWork done { work.busy - m_seen.busy, work.admitted - m_seen.admitted, work.refused - m_seen.refused,
        work.pieces - m_seen.pieces, work.stalled - m_seen.stalled };
    m_measuredAt = now;
    m_seen = work;
    if (isDistorted(done.stalled))
        return;
    if (m_settings.isAdaptive)
        updateEstimates(passed, done);
    m_utilizationPercent = static_cast<std::uint32_t>(percent * (m_busyShare + m_refusedRate * secondsPerRequest()));
    m_shouldShedConnections
        = m_utilizationPercent > highUtilizationPercent || static_cast<double>(connections) > m_mostConnections;
}

bool AdaptiveRateLimiter::isDistorted(Duration stalled)
{
    const bool hasStalled = stalled > Duration::zero();
    return std::exchange(m_hasStalled, hasStalled) || hasStalled;
}

void AdaptiveRateLimiter::updateEstimates(Duration passed, const RouterWork& done)
{
    const double seconds = Seconds(passed).count();
    const double busyShare = std::min(1.0, Seconds(done.busy).count() / seconds);
    const double units = static_cast<double>(done.admitted) + refusalUnits * static_cast<double>(done.refused)
        + pieceUnits * static_cast<double>(done.pieces);
    const double decay = std::exp(-seconds / Seconds(m_settings.averagingTime).count());
    const auto follow = [&](double& mean, double seen) { mean = decay * mean + (1 - decay) * seen; };
    follow(m_busyShare, busyShare);
    follow(m_admittedRate, static_cast<double>(done.admitted) / seconds);
    follow(m_refusedRate, static_cast<double>(done.refused) / seconds);
    follow(m_unitRate, units / seconds);
    if (units < leastUnits) {
        // With almost no requests, time goes to heartbeats and look-ups, which says nothing about the cost of requests.
        follow(m_baseShare, busyShare);
        return;
    }
    // Costs decay with work done, not with time: the cost of the last requests before a quiet hour is still the best
    // estimate after it.
    const double averagingSeconds = Seconds(m_settings.averagingTime).count();
    const double kept = std::exp(-units / std::max(m_unitRate * averagingSeconds, leastMemoryUnits));
    m_busySeconds = kept * m_busySeconds + std::max(0.0, busyShare - m_baseShare) * seconds;
    m_units = kept * m_units + units;
    const double streamsLeft = std::exp(-seconds / streamMemory);
    m_requests = streamsLeft * (m_requests - firstStreams) + firstStreams + static_cast<double>(done.admitted);
    m_pieces = streamsLeft * (m_pieces - firstStreams * firstPieces) + firstStreams * firstPieces
        + static_cast<double>(done.pieces);
    setRate(done.refused > 0, busyShare > saturated);
}

void AdaptiveRateLimiter::setRate(bool isRefusing, bool isSaturated)
{
    // Starts from the rate actually admitted, not from the rate allowed: with a core limited by quota, work seems cheap
    // below the quota and expensive above it, and a rate far above the requests would take seconds to come down.
    const double target = m_settings.targetUtilization;
    const double headroom = (target - m_busyShare) / secondsPerRequest();
    const bool isFull = isRefusing || headroom < 0;
    const double least = leastAvailable * target / secondsPerRequest();
    const double wanted = isSaturated ? saturationCutFactor * m_admittedRate
                                      : m_admittedRate + (isFull ? correctionFactor : 1) * headroom;
    m_rate = std::max(wanted, least);
}

} // namespace sagechute::edge
