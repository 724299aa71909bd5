#include "peer/StreamConnection.h"

#include "peer/SessionCallbacks.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

namespace sagechute::peer {
namespace {

    constexpr std::string_view kPeerPath = "/peer";
    constexpr std::string_view kOpenerSide = "opener";
    constexpr std::string_view kAcceptorSide = "acceptor";
    constexpr std::size_t kLongestProof = 256;
    constexpr std::int32_t kWindowBytes = 16 << 20;
    constexpr std::size_t kOutputTarget = 256 << 10;
    constexpr std::size_t kReadBytes = 64 << 10;
    constexpr int kReadsInOneTurn = 8;
    constexpr int kLatestAnswer = 5; ///< In ping timeouts, while other bytes come in.

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        const auto bytes
            = [](std::string_view text) { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

} // namespace

std::unique_ptr<StreamConnection> StreamConnection::open(std::uint64_t id, UniqueFd fd, VmId expected,
    const ConnectionSettings& settings, ConnectionHandler& handler, Traffic& traffic, TimePoint now)
{
    std::unique_ptr<StreamConnection> connection(
        new StreamConnection(id, std::move(fd), ConnectionRole::Opener, settings, handler, traffic, now));
    connection->m_peer.vm = std::move(expected);
    connection->m_state = ConnectionState::Connecting;
    if (!connection->startSession() || !connection->submitOpening())
        connection->abort();
    return connection;
}

std::unique_ptr<StreamConnection> StreamConnection::accept(std::uint64_t id, UniqueFd fd,
    const ConnectionSettings& settings, ConnectionHandler& handler, Traffic& traffic, TimePoint now)
{
    std::unique_ptr<StreamConnection> connection(
        new StreamConnection(id, std::move(fd), ConnectionRole::Acceptor, settings, handler, traffic, now));
    connection->m_state = ConnectionState::Handshaking;
    connection->m_framer.setLimit(kLongestProof);
    connection->m_traffic.connected(false);
    if (!connection->startSession())
        connection->abort();
    return connection;
}

StreamConnection::StreamConnection(std::uint64_t id, UniqueFd fd, ConnectionRole role,
    const ConnectionSettings& settings, ConnectionHandler& handler, Traffic& traffic, TimePoint now)
    : m_id(id)
    , m_fd(std::move(fd))
    , m_role(role)
    , m_state(ConnectionState::Connecting)
    , m_settings(settings)
    , m_handler(handler)
    , m_traffic(traffic)
    , m_now(now)
    , m_startedAt(now)
    , m_lastReceived(now)
    , m_lastMessage(now)
{
}

StreamConnection::~StreamConnection()
{
    nghttp2_session_del(m_session);
    if (m_state != ConnectionState::Connecting)
        m_traffic.closed(m_now);
}

bool StreamConnection::startSession()
{
    m_session = SessionCallbacks::makeSession(*this);
    if (!m_session)
        return false;
    // Windows as large as the queues: the queue's own bound is the one that limits, and no window update costs bytes.
    const std::array<nghttp2_settings_entry, 2> entries {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes },
    };
    return nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size()) == 0
        && nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kWindowBytes) == 0;
}

bool StreamConnection::submitOpening()
{
    m_handshake.opener = m_settings.self;
    m_handshake.openerNonce = makeNonce();
    const std::string life = lifeText(m_settings.self);
    const std::array<nghttp2_nv, 6> headers {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", m_peer.vm.value),
        header(":path", kPeerPath),
        header(kLifeHeader, life),
        header(kNonceHeader, m_handshake.openerNonce),
    };
    const nghttp2_data_provider provider = SessionCallbacks::dataProvider();
    m_streamId = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    return m_streamId >= 0;
}

void StreamConnection::refuse()
{
    const std::array<nghttp2_nv, 1> headers { header(":status", "403") };
    nghttp2_submit_response(m_session, m_streamId, headers.data(), headers.size(), nullptr);
    m_refused = true;
}

void StreamConnection::answerOpening()
{
    const auto life = parseLife(m_remoteLife);
    if (m_remoteMethod != "POST" || m_remotePath != kPeerPath || m_remoteNonce.empty() || !life.ok()) {
        refuse();
        return;
    }
    m_peer = *life;
    m_handshake = { m_peer, m_settings.self, m_remoteNonce, makeNonce() };
    const std::string lifeValue = lifeText(m_settings.self);
    const std::string proof = fleetProof(m_settings.fleetSecret, kAcceptorSide, m_handshake);
    const std::array<nghttp2_nv, 4> headers {
        header(":status", "200"),
        header(kLifeHeader, lifeValue),
        header(kNonceHeader, m_handshake.acceptorNonce),
        header(kProofHeader, proof),
    };
    const nghttp2_data_provider provider = SessionCallbacks::dataProvider();
    nghttp2_submit_response(m_session, m_streamId, headers.data(), headers.size(), &provider);
}

void StreamConnection::handleAnswer()
{
    const auto life = parseLife(m_remoteLife);
    // An address can have been given to another VM since it was told: what is meant for one VM must not reach another.
    if (m_state != ConnectionState::Handshaking || m_remoteStatus != "200" || !life.ok() || life->vm != m_peer.vm) {
        m_refused = true;
        return;
    }
    m_handshake.acceptor = *life;
    m_handshake.acceptorNonce = m_remoteNonce;
    if (m_remoteProof != fleetProof(m_settings.fleetSecret, kAcceptorSide, m_handshake)) {
        m_refused = true;
        return;
    }
    m_peer = *life;
    appendFrame(m_pending, fleetProof(m_settings.fleetSecret, kOpenerSide, m_handshake));
    establish();
}

bool StreamConnection::takeMessage(std::string_view message)
{
    if (m_wasEstablished) {
        m_lastMessage = m_now;
        m_handler.received(*this, message);
        return true;
    }
    // The first message of an opener is its proof.
    if (m_role == ConnectionRole::Opener || m_handshake.acceptorNonce.empty())
        return false;
    if (message != fleetProof(m_settings.fleetSecret, kOpenerSide, m_handshake))
        return false;
    m_framer.setLimit(kLargestMessage);
    establish();
    return true;
}

void StreamConnection::establish()
{
    m_state = ConnectionState::Established;
    m_wasEstablished = true;
    m_establishedAt = m_now;
    m_lastAnswer = m_now;
    m_lastMessage = m_now;
    m_handler.established(*this);
}

void StreamConnection::peerEnded()
{
    if (m_state == ConnectionState::Established)
        end(m_now);
    else if (m_state == ConnectionState::Handshaking)
        m_refused = true;
}

void StreamConnection::streamClosed(std::uint32_t errorCode)
{
    const bool wasOrderly = errorCode == NGHTTP2_NO_ERROR && m_state == ConnectionState::Ending;
    m_state = wasOrderly ? ConnectionState::Closed : ConnectionState::Broken;
}

bool StreamConnection::mayHoldMessages() const
{
    if (m_state == ConnectionState::Ending)
        return true;
    // The opener saw the other side's end, which follows all of its own messages. The acceptor knows that its last
    // messages were read only once the opener ends the TCP connection.
    return m_state == ConnectionState::Closed && m_role == ConnectionRole::Acceptor;
}

void StreamConnection::queue(std::string_view message, TimePoint now)
{
    appendFrame(m_pending, message);
    m_lastMessage = now;
    m_unanswered = true;
}

void StreamConnection::end(TimePoint now)
{
    m_state = ConnectionState::Ending;
    m_endWanted = true;
    m_endDeadline = now + m_settings.pingTimeout;
}

void StreamConnection::ping(TimePoint now)
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    m_pingSentAt = now;
}

void StreamConnection::check(TimePoint now)
{
    if (m_pingSentAt || m_state != ConnectionState::Established)
        return;
    ping(now);
    flush(now);
}

void StreamConnection::readable(TimePoint now)
{
    m_now = now;
    static thread_local std::array<std::uint8_t, kReadBytes> buf;
    for (int turn = 0; turn < kReadsInOneTurn && !isOver(); ++turn) {
        const ssize_t n = ::recv(m_fd.value(), buf.data(), buf.size(), 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (n <= 0) {
            endOfInput();
            return;
        }
        m_traffic.read(static_cast<std::size_t>(n), now);
        m_lastReceived = now;
        m_unanswered = false;
        if (nghttp2_session_mem_recv(m_session, buf.data(), static_cast<std::size_t>(n)) < 0)
            abort();
    }
    flush(now);
    if (m_refused)
        abort();
}

void StreamConnection::endOfInput()
{
    m_state = m_state == ConnectionState::Closed ? ConnectionState::Finished : ConnectionState::Broken;
}

void StreamConnection::writable(TimePoint now)
{
    m_now = now;
    if (m_state == ConnectionState::Connecting) {
        int error = 0;
        socklen_t length = sizeof error;
        ::getsockopt(m_fd.value(), SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            abort();
            return;
        }
        m_state = ConnectionState::Handshaking;
        m_traffic.connected(true);
    }
    flush(now);
}

void StreamConnection::flush(TimePoint now)
{
    if (isOver() || m_state == ConnectionState::Connecting)
        return;
    m_now = now;
    const bool hasMessages = m_pendingOffset < m_pending.size();
    // A message into a connection that went silent would be lost without a sign. The ping rides in the same segment.
    if (hasMessages && !m_pingSentAt && now - m_lastReceived >= m_settings.pingInterval)
        ping(now);
    if (m_deferred && (hasMessages || m_endWanted)) {
        m_deferred = false;
        nghttp2_session_resume_data(m_session, m_streamId);
    }
    do {
        collectOutput();
        writeOutput(now);
    } while (
        m_output.empty() && nghttp2_session_want_write(m_session) && !isOver() && m_pendingOffset < m_pending.size());

    if (m_state == ConnectionState::Closed && m_output.empty() && !m_shutDown) {
        m_shutDown = true;
        ::shutdown(m_fd.value(), SHUT_WR);
    }
}

void StreamConnection::collectOutput()
{
    while (m_output.size() < kOutputTarget) {
        const std::uint8_t* data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(m_session, &data);
        if (n < 0)
            abort();
        if (n <= 0)
            return;
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
    }
}

void StreamConnection::writeOutput(TimePoint now)
{
    std::size_t written = 0;
    while (written < m_output.size()) {
        const ssize_t n = ::send(m_fd.value(), m_output.data() + written, m_output.size() - written, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            break;
        if (n < 0) {
            endOfInput();
            return;
        }
        written += static_cast<std::size_t>(n);
        m_traffic.wrote(static_cast<std::size_t>(n), now);
    }
    m_output.erase(0, written);
}

void StreamConnection::tick(TimePoint now)
{
    m_now = now;
    const bool isYoung = m_state == ConnectionState::Connecting || m_state == ConnectionState::Handshaking;
    if (isYoung && now - m_startedAt > m_settings.pingTimeout)
        abort();
    if (m_state == ConnectionState::Ending && now > m_endDeadline)
        abort();
    if (m_state == ConnectionState::Closed && now > m_endDeadline)
        m_state = ConnectionState::Finished;
    if (m_state != ConnectionState::Established)
        return;

    const bool isSilent = m_pingSentAt && now - std::max(*m_pingSentAt, m_lastReceived) > m_settings.pingTimeout;
    // Bytes that come in show nothing about the other direction, which may be lost on its own.
    const bool isUnheard = m_pingSentAt && now - *m_pingSentAt > kLatestAnswer * m_settings.pingTimeout;
    if (isSilent || isUnheard) {
        abort();
        return;
    }
    if (m_unanswered && now - m_lastReceived >= m_settings.pingInterval)
        check(now);
}

} // namespace sagechute::peer
