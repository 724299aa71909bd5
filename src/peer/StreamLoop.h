#pragma once

/// @file
/// The thread that owns all connections.

#include "peer/PeerRecord.h"
#include "peer/Socket.h"
#include "peer/StreamConnection.h"
#include "peer/Traffic.h"

#include <sagechute/Peer.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace sagechute::peer {

/// MessageStreams with one epoll thread. Other threads only put commands into its inbox.
class StreamLoop final : public MessageStreams, private ConnectionHandler {
public:
    StreamLoop(const StreamOptions&, StreamListener&, UniqueFd listener, UniqueFd poller, WakeSignal);
    ~StreamLoop() override;

    using MessageStreams::send;
    void send(const VmId& peer, const std::string& peerAddress, std::string message, Urgency) override;
    void forget(const VmId& peer) override;
    std::string listenAddress() const override { return m_listenAddress; }
    ByteCount bytes() const override { return { m_traffic.sent, m_traffic.received }; }

private:
    struct Command {
        enum class Kind { Send, Forget };
        Kind kind;
        VmId peer;
        std::string address;
        std::string message;
        Urgency urgency = Urgency::Prompt;
    };

    void onEstablished(StreamConnection&) override;
    void onReceived(StreamConnection&, std::string_view) override;

    void run();
    void wait();
    void handleEvent(std::uint64_t id, std::uint32_t events, TimePoint now);
    void post(Command);
    void takeCommands(TimePoint now);
    void takeSend(Command&&, TimePoint now);
    void takeForget(const VmId&);
    void overflow(PeerRecord&);

    void acceptWaiting(TimePoint now);
    void pauseAccepting(bool paused);
    std::size_t unprovenCount() const;

    /// Closes the accepted connection that has not proved itself for longest.
    void abortOldestUnproven();
    void connect(PeerRecord&, TimePoint now);
    void watch(StreamConnection&);
    void updateInterest(StreamConnection&);

    void flushDue(TimePoint now);
    void progress(PeerRecord&, TimePoint now);
    void tick(TimePoint now);
    void endIfIdle(StreamConnection&, TimePoint now);
    void sweep(TimePoint now);
    void remove(StreamConnection&, TimePoint now);
    void brokeEstablished(PeerRecord&, const StreamConnection&);
    void reportUp(PeerRecord&);
    void reportDown(PeerRecord&);
    void lastFlush();

    StreamOptions m_options;
    ConnectionSettings m_settings;
    StreamListener& m_listener;
    UniqueFd m_listenFd;
    UniqueFd m_poller;
    WakeSignal m_wake;
    std::string m_listenAddress;
    Traffic m_traffic;
    SeededRandom m_jitter;

    std::mutex m_mutex;
    std::vector<Command> m_inbox;
    std::atomic<bool> m_stopping = false;

    std::unordered_map<std::uint64_t, std::unique_ptr<StreamConnection>> m_connections;
    std::unordered_map<VmId, PeerRecord> m_peers;
    std::multimap<TimePoint, VmId>
        m_dueFlushes; ///< An entry counts while its time is still the peer's PeerRecord::flushAt.
    std::uint64_t m_nextId;
    TimePoint m_nextTick {};
    bool m_acceptPaused = false;
    bool m_needsProgress = false;

    std::thread m_thread;
};

} // namespace sagechute::peer
