#pragma once

/// @file
/// One TCP connection that carries one HTTP/2 stream of messages in both directions.

#include "peer/FleetProof.h"
#include "peer/MessageFramer.h"
#include "peer/Socket.h"
#include "peer/Traffic.h"

#include <sagechute/Core.h>

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sagechute::peer {

inline constexpr std::string_view kLifeHeader = "sagechute-life";
inline constexpr std::string_view kNonceHeader = "sagechute-nonce";
inline constexpr std::string_view kProofHeader = "sagechute-proof";

class StreamConnection;

/// What a connection tells its owner while it reads. Neither may call back into the same connection, but for queue().
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    void established(StreamConnection& connection) { onEstablished(connection); }
    void received(StreamConnection& connection, std::string_view message) { onReceived(connection, message); }

private:
    virtual void onEstablished(StreamConnection&) = 0;
    virtual void onReceived(StreamConnection&, std::string_view) = 0;
};

/// Settings common to all connections of a process.
struct ConnectionSettings {
    RouterLife self;
    std::string fleetSecret;
    Duration pingInterval {};
    Duration pingTimeout {};
};

enum class ConnectionRole { Opener, Acceptor };

enum class ConnectionState {
    Connecting, ///< TCP is not connected yet.
    Handshaking, ///< The peer has not proved itself yet.
    Established,
    Ending, ///< One side ends its half of the stream, the other follows; nothing is queued any more.
    Closed, ///< Both halves ended and nothing was lost; waits for the end of the TCP connection.
    Finished, ///< To be removed; nothing was lost.
    Broken, ///< To be removed; messages may have been lost.
};

class StreamConnection {
public:
    /// @param fd a socket whose connection attempt is under way.
    /// @param expected the VM that should be there; another one is refused.
    static std::unique_ptr<StreamConnection> open(std::uint64_t id, UniqueFd fd, VmId expected,
        const ConnectionSettings&, ConnectionHandler&, Traffic&, TimePoint now);
    static std::unique_ptr<StreamConnection> accept(
        std::uint64_t id, UniqueFd fd, const ConnectionSettings&, ConnectionHandler&, Traffic&, TimePoint now);

    StreamConnection(const StreamConnection&) = delete;
    StreamConnection& operator=(const StreamConnection&) = delete;
    ~StreamConnection();

    void readable(TimePoint now);
    void writable(TimePoint now);

    /// Adds a message; flush() sends it. Only while Established.
    void queue(std::string_view message, TimePoint now);
    void flush(TimePoint now);

    /// Asks for a sign of life now.
    void check(TimePoint now);

    /// Ends this side's half once all that is queued has left; the other side then ends its half.
    void end(TimePoint now);

    /// Gives up at once.
    void abort() { m_state = ConnectionState::Broken; }

    /// Does what has come due: pings, timeouts.
    void tick(TimePoint now);

    std::uint64_t id() const { return m_id; }
    int fd() const { return m_fd.value(); }
    ConnectionRole role() const { return m_role; }
    const RouterLife& self() const { return m_settings.self; }
    ConnectionState state() const { return m_state; }
    bool isOver() const { return m_state == ConnectionState::Finished || m_state == ConnectionState::Broken; }
    bool wasEstablished() const { return m_wasEstablished; }
    bool wantsWrite() const { return m_state == ConnectionState::Connecting || !m_output.empty(); }

    /// @return the peer's life once established; before that, only the VM of an opened connection.
    const RouterLife& peer() const { return m_peer; }
    std::size_t pendingBytes() const { return m_pending.size() - m_pendingOffset + m_output.size(); }
    TimePoint establishedAt() const { return m_establishedAt; }
    TimePoint lastReceivedAt() const { return m_lastReceived; }
    TimePoint lastMessageAt() const { return m_lastMessage; }

    /// @return whether the peer answered a ping, or came up, at or after @p moment.
    bool answeredSince(TimePoint moment) const { return m_lastAnswer >= moment; }

    bool watchesWrite = false; ///< For the owner: the poller reports when the socket takes more.

    /// @return whether a message sent on another connection now might overtake one sent here.
    bool mayHoldMessages() const;

private:
    friend struct SessionCallbacks;

    StreamConnection(std::uint64_t id, UniqueFd fd, ConnectionRole, const ConnectionSettings&, ConnectionHandler&,
        Traffic&, TimePoint now);

    bool startSession();
    bool submitOpening();
    void answerOpening();
    void handleAnswer();
    void refuse();
    bool takeMessage(std::string_view message);
    void establish();
    void peerEnded();
    void streamClosed(std::uint32_t errorCode);
    void ping(TimePoint now);
    void collectOutput();
    void writeOutput(TimePoint now);
    void endOfInput();

    std::uint64_t m_id;
    UniqueFd m_fd;
    ConnectionRole m_role;
    ConnectionState m_state;
    const ConnectionSettings& m_settings;
    ConnectionHandler& m_handler;
    TrafficEstimate m_traffic;

    nghttp2_session* m_session = nullptr;
    std::int32_t m_streamId = -1;
    Handshake m_handshake;
    std::string m_remoteMethod;
    std::string m_remotePath;
    std::string m_remoteStatus;
    std::string m_remoteLife;
    std::string m_remoteNonce;
    std::string m_remoteProof;
    RouterLife m_peer;

    MessageFramer m_framer;
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    std::string m_output;
    bool m_deferred = false;
    bool m_endWanted = false;
    bool m_refused = false;
    bool m_wasEstablished = false;
    bool m_shutDown = false;
    bool m_unanswered = false; ///< Messages left since the last byte came in.

    TimePoint m_now; ///< The moment of the call under way, for nghttp2's callbacks.
    TimePoint m_startedAt;
    TimePoint m_establishedAt {};
    TimePoint m_lastReceived;
    TimePoint m_lastMessage;
    TimePoint m_lastAnswer {};
    std::optional<TimePoint> m_pingSentAt;
    TimePoint m_endDeadline {};
};

} // namespace sagechute::peer
