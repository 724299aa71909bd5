#include "peer/StreamLoop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace sagechute::peer {
namespace {

    constexpr std::uint64_t kListenerId = 0;
    constexpr std::uint64_t kWakeId = 1;
    constexpr std::uint64_t kFirstConnectionId = 2;
    constexpr int kEventsAtOnce = 128;
    constexpr std::size_t kMostUnproven = 256;

    /// Connections that are closed keep their descriptors until the end of a turn.
    constexpr int kAcceptsInOneTurn = 64;
    constexpr Duration kTickInterval = std::chrono::milliseconds(50);

    void control(int poller, int operation, int fd, std::uint64_t id, std::uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.u64 = id;
        ::epoll_ctl(poller, operation, fd, &event);
    }

} // namespace

StreamLoop::StreamLoop(
    const StreamOptions& options, StreamListener& listener, UniqueFd listenFd, UniqueFd poller, WakeSignal wake)
    : m_options(options)
    , m_settings { options.self, options.fleetSecret, options.pingInterval, options.pingTimeout }
    , m_listener(listener)
    , m_listenFd(std::move(listenFd))
    , m_poller(std::move(poller))
    , m_wake(std::move(wake))
    , m_listenAddress(SocketAddress::local(m_listenFd.value()).text())
    , m_jitter(stableHash(options.self.vm.value, options.self.incarnation))
    , m_nextId(kFirstConnectionId)
{
    control(m_poller.value(), EPOLL_CTL_ADD, m_listenFd.value(), kListenerId, EPOLLIN);
    control(m_poller.value(), EPOLL_CTL_ADD, m_wake.fd(), kWakeId, EPOLLIN);
    m_thread = std::thread([this] { run(); });
}

StreamLoop::~StreamLoop()
{
    m_stopping = true;
    m_wake.signal();
    m_thread.join();
}

void StreamLoop::send(const VmId& peer, const std::string& peerAddress, std::string message, Urgency urgency)
{
    post({ Command::Kind::Send, peer, peerAddress, std::move(message), urgency });
}

void StreamLoop::forget(const VmId& peer) { post({ Command::Kind::Forget, peer, {}, {} }); }

void StreamLoop::post(Command command)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_inbox.empty();
        m_inbox.push_back(std::move(command));
    }
    if (wasEmpty)
        m_wake.signal();
}

void StreamLoop::run()
{
    while (!m_stopping) {
        wait();
        const TimePoint now = steadyNow();
        takeCommands(now);
        flushDue(now);
        if (now >= m_nextTick) {
            m_nextTick = now + kTickInterval;
            tick(now);
        }
        sweep(now);
    }
    lastFlush();
}

void StreamLoop::wait()
{
    int timeout = -1;
    if (!m_connections.empty() || !m_peers.empty() || m_acceptPaused) {
        const TimePoint next = m_dueFlushes.empty() ? m_nextTick : std::min(m_nextTick, m_dueFlushes.begin()->first);
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(next - steadyNow());
        timeout = std::max(0, static_cast<int>(left.count()));
    }
    std::array<epoll_event, kEventsAtOnce> events;
    const int n = ::epoll_wait(m_poller.value(), events.data(), kEventsAtOnce, timeout);
    const TimePoint now = steadyNow();
    for (int i = 0; i < n; ++i)
        handleEvent(events[static_cast<std::size_t>(i)].data.u64, events[static_cast<std::size_t>(i)].events, now);
}

void StreamLoop::handleEvent(std::uint64_t id, std::uint32_t events, TimePoint now)
{
    if (id == kListenerId)
        return acceptWaiting(now);
    if (id == kWakeId)
        return m_wake.drain();
    const auto it = m_connections.find(id);
    if (it == m_connections.end() || it->second->isOver())
        return;
    StreamConnection& connection = *it->second;
    if (connection.state() == ConnectionState::Connecting || (events & EPOLLOUT))
        connection.writable(now);
    if (!connection.isOver() && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
        connection.readable(now);
    // An answer to a ping may settle which connection stays, and an ended stream may free what waits.
    m_needsProgress = true;
}

void StreamLoop::takeCommands(TimePoint now)
{
    std::vector<Command> commands;
    {
        const std::lock_guard lock(m_mutex);
        commands.swap(m_inbox);
    }
    for (Command& it : commands) {
        if (it.kind == Command::Kind::Send)
            takeSend(std::move(it), now);
        else
            takeForget(it.peer);
    }
}

void StreamLoop::takeSend(Command&& command, TimePoint now)
{
    if (command.peer == m_options.self.vm) {
        m_listener.message(m_options.self, command.message);
        return;
    }
    PeerRecord& peer = m_peers.try_emplace(command.peer, command.peer).first->second;
    peer.address = std::move(command.address);
    if (command.message.size() > kLargestMessage
        || peer.queuedBytes() + command.message.size() > m_options.maxQueuedBytes) {
        overflow(peer);
        return;
    }
    peer.add(std::move(command.message));
    const TimePoint due = now + (command.urgency == Urgency::Prompt ? m_options.flushDelay : m_options.lazyDelay);
    if (peer.flushQueued && peer.flushAt <= due)
        return;
    peer.flushQueued = true;
    peer.flushAt = due;
    m_dueFlushes.emplace(due, command.peer);
}

void StreamLoop::overflow(PeerRecord& peer)
{
    peer.clearWaiting();
    bool wasEstablished = false;
    for (StreamConnection* it : peer.connections()) {
        wasEstablished |= it->state() == ConnectionState::Established;
        it->abort();
    }
    // With a stream, its end is reported when it is removed. Without one the loss has to be told here.
    if (!wasEstablished)
        m_listener.down(peer.life.vm.empty() ? RouterLife { peer.vm(), 0 } : peer.life);
}

void StreamLoop::takeForget(const VmId& vm)
{
    const auto it = m_peers.find(vm);
    if (it == m_peers.end())
        return;
    for (StreamConnection* connection : it->second.connections())
        connection->abort();
    for (auto& [id, connection] : m_connections) {
        if (connection->peer().vm == vm)
            connection->abort();
    }
    m_peers.erase(it);
}

void StreamLoop::pauseAccepting(bool paused)
{
    m_acceptPaused = paused;
    control(m_poller.value(), EPOLL_CTL_MOD, m_listenFd.value(), kListenerId, paused ? 0U : EPOLLIN);
}

std::size_t StreamLoop::unprovenCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
        [](const auto& it) { return it.second->state() == ConnectionState::Handshaking; }));
}

void StreamLoop::abortOldestUnproven()
{
    StreamConnection* oldest = nullptr;
    for (const auto& [id, connection] : m_connections) {
        const bool isUnproven
            = connection->role() == ConnectionRole::Acceptor && connection->state() == ConnectionState::Handshaking;
        if (isUnproven && (!oldest || id < oldest->id()))
            oldest = connection.get();
    }
    if (oldest)
        oldest->abort();
}

void StreamLoop::acceptWaiting(TimePoint now)
{
    std::size_t unproven = unprovenCount();
    for (int turn = 0; turn < kAcceptsInOneTurn; ++turn) {
        const int fd = ::accept4(m_listenFd.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            // With no descriptor left the listener stays readable: without a pause this thread would spin.
            if (errno == EMFILE || errno == ENFILE)
                pauseAccepting(true);
            return;
        }
        UniqueFd owned(fd);
        if (++unproven > kMostUnproven)
            abortOldestUnproven();
        disableNagle(fd);
        auto connection = StreamConnection::accept(m_nextId++, std::move(owned), m_settings, *this, m_traffic, now);
        watch(*connection);
        m_connections.emplace(connection->id(), std::move(connection));
    }
}

void StreamLoop::connect(PeerRecord& peer, TimePoint now)
{
    auto fd = connectTcp(peer.address);
    if (!fd.ok()) {
        peer.backoff.failed(now, m_jitter.fraction());
        return;
    }
    auto connection = StreamConnection::open(m_nextId++, *std::move(fd), peer.vm(), m_settings, *this, m_traffic, now);
    peer.isConnecting = true;
    watch(*connection);
    m_connections.emplace(connection->id(), std::move(connection));
}

void StreamLoop::watch(StreamConnection& connection)
{
    const std::uint32_t events = connection.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN;
    control(m_poller.value(), EPOLL_CTL_ADD, connection.fd(), connection.id(), events);
    connection.watchesWrite = connection.wantsWrite();
}

void StreamLoop::updateInterest(StreamConnection& connection)
{
    if (connection.watchesWrite == connection.wantsWrite())
        return;
    connection.watchesWrite = connection.wantsWrite();
    const std::uint32_t events = connection.watchesWrite ? EPOLLIN | EPOLLOUT : EPOLLIN;
    control(m_poller.value(), EPOLL_CTL_MOD, connection.fd(), connection.id(), events);
}

} // namespace sagechute::peer
