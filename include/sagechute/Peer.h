#pragma once

/// @file
/// Transports between the system's own processes: ordered message streams over nghttp2, and UDP datagrams. Adapters
/// only.

#include <sagechute/Core.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sagechute::peer {

/// Bytes on the wire in both directions, IP, TCP or UDP and framing headers included. UDP is exact (28 bytes a
/// datagram). TCP is an estimate: 52 bytes a segment of 1448, and 52 for each acknowledgement that no segment of the
/// other direction carries within 40 ms.
struct ByteCount {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

struct StreamOptions {
    std::string listenAddress; ///< "ADDRESS:PORT"; port 0 takes a free one.
    RouterLife self; ///< Told to the other side when a stream opens.
    /// Both sides prove that they know it; a peer that does not is refused. Keeps other fleets and stray clients out,
    /// not an attacker on the network: nothing is encrypted. Empty on both sides: anyone who speaks the protocol gets
    /// in.
    std::string fleetSecret;
    Duration flushDelay = std::chrono::milliseconds(2); ///< Messages to one peer within this time leave together.
    Duration lazyDelay = std::chrono::milliseconds(25); ///< The same for Urgency::Lazy.

    /// A message sent after a silence this long takes a ping along, and messages unanswered for this long are followed
    /// by one. An idle connection is not pinged: 370 of them would cost more than the whole control budget.
    Duration pingInterval = std::chrono::seconds(2);
    Duration pingTimeout = std::chrono::seconds(2); ///< A peer silent for longer after a ping is disconnected.
    Duration idleClose
        = std::chrono::seconds(30); ///< Without a message either way; the end is orderly and loses nothing.
    std::size_t maxQueuedBytes
        = 8 << 20; ///< More than this waiting for one peer breaks its stream and drops what waits.
};

/// Events of the transport, called on its own thread, maybe before MessageStreams::make() has returned. They may call
/// send().
class StreamListener {
public:
    virtual ~StreamListener() = default;

    /// @param from the life that the other side told; @param message bytes given to send() there.
    void message(const RouterLife& from, std::string_view message) { onMessage(from, message); }

    /// A stream to or from a peer came up (again): messages sent before may have been lost. Without a down() before it
    /// when the last stream ended for want of messages.
    void up(const RouterLife& peer) { onUp(peer); }

    /// A stream broke, a new life of the peer's VM took over, or too much waited: messages may have been lost.
    /// Connecting goes on while messages wait.
    /// @param peer its incarnation is 0 when the peer was never reached.
    void down(const RouterLife& peer) { onDown(peer); }

private:
    virtual void onMessage(const RouterLife&, std::string_view) = 0;
    virtual void onUp(const RouterLife&) = 0;
    virtual void onDown(const RouterLife&) = 0;
};

/// How long a message may wait for others to the same peer. A segment's headers outweigh most messages.
enum class Urgency {
    Prompt, ///< At most StreamOptions::flushDelay; takes along what waits.
    Lazy, ///< At most StreamOptions::lazyDelay.
};

/// One ordered, batched stream of messages to each peer in use, over HTTP/2. Messages are lost only when a stream
/// breaks, and then both sides are told.
class MessageStreams {
public:
    static absl::StatusOr<std::unique_ptr<MessageStreams>> make(const StreamOptions&, StreamListener&);
    virtual ~MessageStreams() = default;

    /// Queues a message; connects when there is no stream yet. Any thread. A message to the own VM comes back as one
    /// received.
    /// @param peerAddress "ADDRESS:PORT" of the peer's listener.
    /// @param message at most 4 MB; a larger one breaks the stream, so that its loss does not pass unnoticed.
    virtual void send(const VmId& peer, const std::string& peerAddress, std::string message, Urgency) = 0;

    void send(const VmId& peer, const std::string& peerAddress, std::string message)
    {
        send(peer, peerAddress, std::move(message), Urgency::Prompt);
    }

    /// Closes the stream to a peer that is gone and drops what waits for it; no down() follows.
    virtual void forget(const VmId& peer) = 0;

    virtual std::string listenAddress() const = 0;
    virtual ByteCount bytes() const = 0;
};

/// A UDP socket with its own receiving thread.
class DatagramSocket {
public:
    using Receiver = std::function<void(const std::string& fromAddress, std::string_view bytes)>;

    static absl::StatusOr<std::unique_ptr<DatagramSocket>> make(const std::string& listenAddress, Receiver);
    virtual ~DatagramSocket() = default;
    virtual void send(const std::string& toAddress, std::string_view bytes) = 0;
    virtual std::string listenAddress() const = 0;
    virtual ByteCount bytes() const = 0;
};

} // namespace sagechute::peer
