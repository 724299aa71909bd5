#include "peer/Traffic.h"

namespace sagechute::peer {
namespace {

    constexpr std::size_t kSegmentPayload = 1448;
    constexpr std::size_t kSegmentHeader = 52;
    constexpr std::size_t kSynSegment = 60;
    constexpr Duration kDelayedAck = std::chrono::milliseconds(40);

    std::size_t segmentsOf(std::size_t bytes) { return (bytes + kSegmentPayload - 1) / kSegmentPayload; }

} // namespace

void TrafficEstimate::connected(bool isOpener)
{
    const std::size_t openerBytes = kSynSegment + kSegmentHeader;
    m_total.sent += isOpener ? openerBytes : kSynSegment;
    m_total.received += isOpener ? kSynSegment : openerBytes;
}

void TrafficEstimate::countOverdueAcks(TimePoint now)
{
    if (m_ackOwedSince && now - *m_ackOwedSince > kDelayedAck) {
        m_total.sent += kSegmentHeader;
        m_ackOwedSince.reset();
    }
    if (m_ackExpectedSince && now - *m_ackExpectedSince > kDelayedAck) {
        m_total.received += kSegmentHeader;
        m_ackExpectedSince.reset();
    }
}

void TrafficEstimate::wrote(std::size_t bytes, TimePoint now)
{
    countOverdueAcks(now);
    const std::size_t segments = segmentsOf(bytes);
    m_total.sent += bytes + segments * kSegmentHeader;
    m_total.received += segments / 2 * kSegmentHeader;
    m_ackOwedSince.reset();
    if (!m_ackExpectedSince)
        m_ackExpectedSince = now;
}

void TrafficEstimate::read(std::size_t bytes, TimePoint now)
{
    countOverdueAcks(now);
    const std::size_t segments = segmentsOf(bytes);
    m_total.received += bytes + segments * kSegmentHeader;
    m_total.sent += segments / 2 * kSegmentHeader;
    m_ackExpectedSince.reset();
    if (!m_ackOwedSince)
        m_ackOwedSince = now;
}

void TrafficEstimate::closed(TimePoint now)
{
    countOverdueAcks(now + 2 * kDelayedAck);
    // FIN and its acknowledgement in both directions.
    m_total.sent += 2 * kSegmentHeader;
    m_total.received += 2 * kSegmentHeader;
}

} // namespace sagechute::peer
