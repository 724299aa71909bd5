#include "net/AckWatch.h"

#include <algorithm>

// The C library's <netinet/tcp.h> lacks the counters of segments in tcp_info.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace sagechute::net {

namespace {

    constexpr int checksPerLimit = 4;

    /// Linux answers one probe of a full buffer in 500 ms at most. A probe that it ignores came less than that after
    /// the one before, and its next follows within twice that time.
    constexpr Duration minProbeLimit = std::chrono::milliseconds(1200);

    /// @return zeros for a socket that is closed or broken.
    tcp_info infoOf(int socket)
    {
        tcp_info info {};
        socklen_t size = sizeof(info);
        getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
        return info;
    }

} // namespace

bool AckWatch::canWatch(int connectedSocket)
{
    // The handshake has brought a segment.
    return infoOf(connectedSocket).tcpi_segs_in > 0;
}

AckWatch::AckWatch(int socket, TimePoint sentAt, Duration limit)
    : m_socket(socket)
    , m_limit(limit)
    , m_currentLimit(limit)
    , m_unansweredSince(sentAt)
{
    const tcp_info info = infoOf(socket);
    m_dataSegmentsSent = info.tcpi_data_segs_out;
    m_segmentsReceived = info.tcpi_segs_in;
}

AckWatch::State AckWatch::check(TimePoint now)
{
    const tcp_info info = infoOf(m_socket);
    const bool isSettled = !info.tcpi_unacked && !info.tcpi_notsent_bytes;
    // Between two probes of a full buffer nothing is due to come back, and the kernel makes these pauses ever longer.
    const bool isAsking = info.tcpi_probes || info.tcpi_data_segs_out != m_dataSegmentsSent;
    if (isSettled || info.tcpi_segs_in != m_segmentsReceived)
        m_unansweredSince.reset();
    else if (isAsking && !m_unansweredSince)
        m_unansweredSince = now;
    m_dataSegmentsSent = info.tcpi_data_segs_out;
    m_segmentsReceived = info.tcpi_segs_in;
    if (isSettled)
        return State::Settled;
    m_currentLimit = info.tcpi_probes || !info.tcpi_snd_wnd ? std::max(m_limit, minProbeLimit) : m_limit;
    return m_unansweredSince && now - *m_unansweredSince >= m_currentLimit ? State::Lost : State::Waiting;
}

TimePoint AckWatch::nextCheck(TimePoint now) const
{
    const TimePoint regular = now + std::max<Duration>(m_limit / checksPerLimit, std::chrono::milliseconds(1));
    return m_unansweredSince ? std::min(regular, std::max(now, *m_unansweredSince + m_currentLimit)) : regular;
}

} // namespace sagechute::net
