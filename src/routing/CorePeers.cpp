/// @file
/// Handling of messages from other routers and of their connections.

#include "routing/Core.h"

#include <utility>

namespace sagechute::routing {

namespace {

    /// Messages for an unreachable peer stay in its send queue, so probes have to be rare.
    constexpr Duration linkProbeInterval = std::chrono::seconds(10);

} // namespace

void Core::on(TimePoint now, DatagramReceived& event)
{
    sendDatagrams(m_gossip->receive(now, event.from, event.bytes));
}

void Core::on(TimePoint, PeerUp& event)
{
    m_outbox.streamUp(event.peer.vm);
    PeerLink& link = m_links[event.peer.vm];
    const bool wasDown = std::exchange(link, PeerLink {}).down;
    // A stream that comes up for the first time, or after an orderly close, has lost nothing. Resynchronising it would
    // make the owner discard grants that are in transit.
    if (!wasDown)
        return;
    for (auto& entry : m_pools)
        entry.second->peerUp(event.peer.vm);
}

void Core::on(TimePoint now, PeerDown& event)
{
    PeerLink& link = m_links[event.peer.vm];
    if (!link.down)
        link = { true, now, now };
    m_outbox.streamDown(event.peer.vm);
    m_gossip->probeSoon(event.peer.vm);
    for (auto& entry : m_pools)
        entry.second->peerDown(event.peer.vm);
}

void Core::on(TimePoint now, PeerMessageReceived& event)
{
    absl::StatusOr<wire::Message> message = wire::decode(event.bytes);
    if (!message.ok()) {
        ++m_undecodable;
        return;
    }
    std::visit([&](auto& it) { receive(now, event.from, it); }, *message);
}

PoolRouter* Core::poolOwning(wire::CellKey key)
{
    for (auto& entry : m_pools) {
        if (entry.second->ownsCell(key))
            return entry.second.get();
    }
    return nullptr;
}

PoolRouter* Core::poolOfSerial(std::uint64_t serial)
{
    const Request* request = m_requests.findSerial(serial);
    return request ? pool(request->pool) : nullptr;
}

void Core::receive(TimePoint now, const RouterLife& from, wire::OfferMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->offered(now, from, message);
    else
        m_outbox.message(
            m_gossip->view(), from.vm, Purpose::Scheduling, wire::NotOwnerMessage { message.cell, message.serial });
}

void Core::receive(TimePoint now, const RouterLife& from, wire::WithdrawMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->withdrawn(now, from, message);
}

void Core::receive(TimePoint now, const RouterLife& from, wire::GrantMessage& message)
{
    if (PoolRouter* holder = poolOfSerial(message.serial))
        holder->grantReceived(now, from.vm, message);
    else
        m_outbox.message(
            m_gossip->view(), from.vm, Purpose::Scheduling, wire::DeclineMessage { message.cell, message.serial });
}

void Core::receive(TimePoint now, const RouterLife& from, wire::DeclineMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->declined(now, from, message);
}

void Core::receive(TimePoint, const RouterLife& from, wire::NotOwnerMessage& message)
{
    for (auto& entry : m_pools)
        entry.second->notOwner(from.vm, message);
}

void Core::receive(TimePoint now, const RouterLife& from, wire::SettleMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->settled(now, from, message);
}

void Core::receive(TimePoint now, const RouterLife& from, wire::ProgressMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->progressReceived(now, from, message);
}

void Core::receive(TimePoint now, const RouterLife& from, wire::ResyncMessage& message)
{
    if (PoolRouter* owner = poolOwning(message.cell))
        owner->resynchronised(now, from, message);
    else
        m_outbox.message(m_gossip->view(), from.vm, Purpose::Scheduling, wire::NotOwnerMessage { message.cell, 0 });
}

void Core::receive(TimePoint now, const RouterLife& from, wire::ResyncRequestMessage& message)
{
    for (auto& entry : m_pools)
        entry.second->resyncRequested(now, from.vm, message.cell);
}

// The transport connects only when there is something to send, and nothing is sent to a router whose stream is down.
// Without a probe both ends would wait for each other indefinitely, and the router would stay on its own static share
// of the targets after the network has recovered.
void Core::probeLinks(TimePoint now)
{
    for (auto& [vm, link] : m_links) {
        const membership::Member* member = m_gossip->view().find(vm);
        if (!link.down || now < link.nextProbe || !member || member->state != membership::MemberState::Alive)
            continue;
        link.nextProbe = now + linkProbeInterval;
        m_outbox.message(m_gossip->view(), vm, Purpose::Scheduling, wire::ProgressMessage {});
    }
}

void Core::receive(TimePoint now, const RouterLife& from, wire::SummaryMessage& message)
{
    if (PoolRouter* it = pool(message.summary.pool))
        it->summaryReceived(now, from, message.summary);
}

void Core::receive(TimePoint, const RouterLife& from, wire::LedgerPullMessage& message)
{
    if (PoolRouter* it = pool(message.pool))
        it->answerLedgerPull(from.vm);
}

void Core::receive(TimePoint, const RouterLife& from, wire::ConfigPullMessage& message)
{
    m_relay.answerPull(*m_replica, from.vm, message.after);
}

void Core::receive(TimePoint, const RouterLife&, wire::ConfigRecordsMessage& message)
{
    m_replica->apply(message.records);
}

void Core::receive(TimePoint, const RouterLife&, wire::ConfigSnapshotMessage& message)
{
    if (!m_replica->adopt(message.snapshot).ok())
        ++m_undecodable;
}

// The stopping router exits once the import is confirmed. Confirming before all parts have arrived would lose the rest,
// and a resend could then be run a second time.
void Core::receive(TimePoint now, const RouterLife& from, wire::OutcomePartMessage& message)
{
    if (!m_memory->importPart(now, message.bytes).ok()) {
        ++m_undecodable;
        return;
    }
    Handover& handover = m_handovers[from];
    if (++handover.received < message.parts)
        return;
    m_handovers.erase(from);
    m_outbox.message(m_gossip->view(), from.vm, Purpose::Handover, wire::OutcomesTakenMessage {});
    for (const delivery::InheritedLife& inherited : m_memory->inherited())
        announceInherited(inherited.life);
}

void Core::announceInherited(const RouterLife& life)
{
    for (const membership::Member& it : m_gossip->view().members) {
        if (it.summary.life.vm != m_settings.life.vm && it.state == membership::MemberState::Alive)
            m_outbox.message(m_gossip->view(), it.summary.life.vm, Purpose::Handover, wire::InheritedMessage { life });
    }
}

void Core::receive(TimePoint, const RouterLife& from, wire::OutcomesTakenMessage&)
{
    m_stop.handoverConfirmed(from.vm);
}

void Core::receive(TimePoint, const RouterLife& from, wire::InheritedMessage& message)
{
    m_sessions.recordSuccessor(message.life, from.vm);
}

} // namespace sagechute::routing
