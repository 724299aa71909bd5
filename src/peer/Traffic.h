#pragma once

/// @file
/// Estimate of what a TCP connection puts on the wire, headers included.

#include <sagechute/Core.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace sagechute::peer {

/// Totals over all connections.
struct Traffic {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
};

/// Counts one connection's bytes.
///
/// The estimate: each write and each read is cut into segments of 1448 bytes with 52 bytes of IP and TCP headers (20 +
/// 20 + 12 for timestamps). An acknowledgement travels inside a segment of the other direction when one follows within
/// the 40 ms of the kernel's delayed acknowledgement; else, and for each second segment of a burst, it is a segment of
/// its own.
class TrafficEstimate {
public:
    explicit TrafficEstimate(Traffic& total)
        : m_total(total)
    {
    }

    void connected(bool isOpener);
    void wrote(std::size_t bytes, TimePoint now);
    void read(std::size_t bytes, TimePoint now);
    void closed(TimePoint now);

private:
    void countOverdueAcks(TimePoint now);

    Traffic& m_total;
    std::optional<TimePoint> m_ackOwedSince;
    std::optional<TimePoint> m_ackExpectedSince;
};

} // namespace sagechute::peer
