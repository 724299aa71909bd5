// The part of StreamLoop that deals with peers: events to the listener, batching, timers and the removal of
// connections.

#include "peer/StreamLoop.h"

#include <algorithm>

namespace sagechute::peer {
namespace {

    constexpr Duration kStableAfter = std::chrono::seconds(2);
    constexpr int kAcceptorIdleFactor = 2;

} // namespace

void StreamLoop::onEstablished(StreamConnection& connection)
{
    const RouterLife life = connection.peer();
    PeerRecord& peer = m_peers.try_emplace(life.vm, life.vm).first->second;
    if (connection.role() == ConnectionRole::Opener)
        peer.isConnecting = false;
    if (peer.life.vm.empty() || life.incarnation > peer.life.incarnation) {
        reportDown(peer);
        peer.life = life;
    }
    peer.attach(connection, connection.establishedAt(), m_options.pingTimeout);
    if (peer.isCurrent(connection))
        reportUp(peer);
}

void StreamLoop::onReceived(StreamConnection& connection, std::string_view message)
{
    m_listener.message(connection.peer(), message);
}

void StreamLoop::reportUp(PeerRecord& peer)
{
    if (peer.isUp)
        return;
    peer.isUp = true;
    m_listener.up(peer.life);
}

void StreamLoop::reportDown(PeerRecord& peer)
{
    if (!peer.isUp)
        return;
    peer.isUp = false;
    m_listener.down(peer.life);
}

void StreamLoop::flushDue(TimePoint now)
{
    while (!m_dueFlushes.empty() && m_dueFlushes.begin()->first <= now) {
        const auto due = m_dueFlushes.extract(m_dueFlushes.begin());
        const auto it = m_peers.find(due.mapped());
        // A prompt message after a lazy one has brought the time forward: the lazy one's entry is stale.
        if (it == m_peers.end() || !it->second.flushQueued || it->second.flushAt != due.key())
            continue;
        it->second.flushQueued = false;
        progress(it->second, now);
    }
}

void StreamLoop::progress(PeerRecord& peer, TimePoint now)
{
    peer.settle(now);
    if (!peer.hasWaiting() || peer.flushQueued)
        return;
    if (StreamConnection* connection = peer.sender(now)) {
        peer.drainTo(*connection, now);
        return;
    }
    if (peer.wantsConnection(now))
        connect(peer, now);
}

void StreamLoop::tick(TimePoint now)
{
    if (m_acceptPaused)
        pauseAccepting(false);
    for (auto& [id, connection] : m_connections) {
        connection->tick(now);
        endIfIdle(*connection, now);
    }
    m_needsProgress = true;
}

void StreamLoop::endIfIdle(StreamConnection& connection, TimePoint now)
{
    if (connection.state() != ConnectionState::Established)
        return;
    const Duration idle = now - connection.lastMessageAt();
    if (connection.role() == ConnectionRole::Opener && idle > m_options.idleClose) {
        connection.end(now);
        connection.flush(now);
        return;
    }
    // The opener should have ended it. If it vanished without a word, only a ping tells.
    const Duration silence = now - std::max(connection.lastMessageAt(), connection.lastReceivedAt());
    if (connection.role() == ConnectionRole::Acceptor && silence > kAcceptorIdleFactor * m_options.idleClose)
        connection.check(now);
}

void StreamLoop::sweep(TimePoint now)
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if (!it->second->isOver()) {
            updateInterest(*it->second);
            ++it;
            continue;
        }
        const std::unique_ptr<StreamConnection> removed = std::move(it->second);
        it = m_connections.erase(it);
        remove(*removed, now);
        m_needsProgress = true;
    }
    if (!m_needsProgress)
        return;
    m_needsProgress = false;
    for (auto& [vm, peer] : m_peers)
        progress(peer, now);
    for (auto& [id, connection] : m_connections)
        updateInterest(*connection);
}

void StreamLoop::remove(StreamConnection& connection, TimePoint now)
{
    const auto it = m_peers.find(connection.peer().vm);
    if (it == m_peers.end())
        return;
    PeerRecord& peer = it->second;
    if (!connection.wasEstablished()) {
        // A stranger may have claimed this VM's name; only an own attempt says something about the peer.
        if (connection.role() == ConnectionRole::Opener) {
            peer.isConnecting = false;
            peer.backoff.failed(now, m_jitter.fraction());
        }
        return;
    }
    peer.detach(connection);
    if (connection.state() == ConnectionState::Broken) {
        // A peer that accepts and breaks at once is not tried in a tight loop.
        if (now - connection.establishedAt() > kStableAfter)
            peer.backoff.succeeded();
        peer.backoff.failed(now, m_jitter.fraction());
        brokeEstablished(peer, connection);
    } else if (!peer.hasEstablished()) {
        peer.isUp = false;
    }
}

void StreamLoop::brokeEstablished(PeerRecord& peer, const StreamConnection& connection)
{
    if (!peer.isCurrent(connection))
        return;
    // Either side may have sent on this connection, so both are told, also when another one is left.
    reportDown(peer);
    if (peer.hasEstablished())
        reportUp(peer);
}

void StreamLoop::lastFlush()
{
    const TimePoint now = steadyNow();
    takeCommands(now);
    for (auto& [vm, peer] : m_peers) {
        if (StreamConnection* connection = peer.sender(now))
            peer.drainTo(*connection, now);
    }
}

} // namespace sagechute::peer
