// The part of GossipMember that probes other members.

#include "membership/GossipMember.h"

#include <algorithm>

namespace sagechute::membership {
namespace {

    constexpr std::size_t kMaxExtraProbes = 2;

} // namespace

void GossipMember::updateProbeOrder()
{
    if (m_probeOrderVersion == m_table.view().version)
        return;
    m_probeOrderVersion = m_table.view().version;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.isActivePeer(i))
            m_order.add(m_table.at(i).summary.life.vm, *m_random);
    }
}

void GossipMember::runProbes(TimePoint now)
{
    for (const VmId& it : m_table.takeSuspectsToProbe(now))
        probeSoon(it);
    for (Probe& it : m_probes.all()) {
        if (it.isOpen() && now >= it.repeatAt)
            repeatProbe(it, now);
        if (!it.isOpen() || now - it.sentAt < m_settings.probeInterval)
            continue;
        it.stage = ProbeStage::Failed;
        const auto index = m_table.find(it.target.vm);
        if (index && m_table.at(*index).summary.life == it.target)
            m_table.suspect(*index, now);
    }
    const Duration kept = std::max(m_settings.freshness, 2 * m_settings.probeInterval);
    m_probes.removeBefore(now - kept);
    while (!m_relays.empty() && m_relays.front().expires <= now)
        m_relays.pop_front();
    if (now >= m_nextProbe)
        startProbes(now);
}

void GossipMember::repeatProbe(Probe& probe, TimePoint now)
{
    probe.repeatAt += m_settings.ackTimeout;
    const auto target = m_table.find(probe.target.vm);
    if (!target || m_settings.indirectProbes == 0)
        return;
    sendPing(*target, probe.sequence, now);
    if (probe.stage == ProbeStage::IndirectProbing)
        return;
    probe.stage = ProbeStage::IndirectProbing;
    for (const std::size_t it : randomPeers(m_settings.indirectProbes, target)) {
        GossipMessage request = message(MessageKind::ProbeRequest);
        request.sequence = probe.sequence;
        request.target = m_table.gossipState(*target).tag;
        // The indirect ping then carries the suspicion, so that the ack refutes it.
        if (m_table.at(*target).state != MemberState::Alive)
            request.claims.push_back(m_table.claimAbout(*target));
        send(std::move(request), m_table.at(it).summary.gossipAddress, it, now);
    }
}

void GossipMember::startProbes(TimePoint now)
{
    // Advance from the scheduled time; otherwise the period would drift by up to one tick each time.
    m_nextProbe = std::max(m_nextProbe + m_settings.probeInterval, now);
    bool isSample = false;
    if (const auto target = nextTarget(isSample))
        probe(*target, isSample, now);

    // Probe locally suspected members again in each round, so that one lost round is not enough to declare them dead.
    std::size_t extra = 0;
    const std::size_t start = m_random->below(m_table.size());
    for (std::size_t n = 0; n < m_table.size() && extra < kMaxExtraProbes; ++n) {
        const std::size_t i = (start + n) % m_table.size();
        const bool isLocalSuspect
            = m_table.at(i).state == MemberState::Suspect && m_table.gossipState(i).isLocallySuspected;
        if (!isLocalSuspect || m_probes.isOpen(m_table.at(i).summary.life.vm))
            continue;
        probe(i, false, now);
        ++extra;
    }
    // Many priority probes are queued after a partition starts or heals; one every two rounds would take a minute.
    while (extra < kMaxExtraProbes && m_priorityProbes.size() > kMaxExtraProbes) {
        const auto index = takePriorityProbe();
        if (index)
            probe(*index, false, now);
        ++extra;
    }
}

std::optional<std::size_t> GossipMember::takePriorityProbe()
{
    while (!m_priorityProbes.empty()) {
        const auto index = m_table.find(m_priorityProbes.front());
        m_priorityProbes.pop_front();
        if (index && m_table.isActivePeer(*index) && !m_probes.isOpen(m_table.at(*index).summary.life.vm))
            return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> GossipMember::nextTarget(bool& isSample)
{
    // Alternate between priority probes and the regular order, so that hints cannot stall the rounds that detect silent
    // failures.
    m_isPriorityTurn = !m_isPriorityTurn;
    isSample = false;
    if (m_isPriorityTurn) {
        if (const auto index = takePriorityProbe())
            return index;
    }
    isSample = true;
    const VmId vm = m_order.next(*m_random, [this](const VmId& it) {
        const auto index = m_table.find(it);
        return index && m_table.isActivePeer(*index);
    });
    return m_table.find(vm);
}

void GossipMember::probe(std::size_t index, bool isSample, TimePoint now)
{
    Probe started;
    started.sequence = ++m_sequence;
    started.target = m_table.at(index).summary.life;
    started.sentAt = now;
    started.repeatAt = now + m_settings.ackTimeout;
    started.isSample = isSample;
    m_probes.start(std::move(started));
    sendPing(index, m_sequence, now);
}

void GossipMember::sendPing(std::size_t target, std::uint16_t sequence, TimePoint now)
{
    GossipMessage ping = message(MessageKind::Ping);
    ping.sequence = sequence;
    send(std::move(ping), m_table.at(target).summary.gossipAddress, target, now);
}

std::vector<std::size_t> GossipMember::randomPeers(std::size_t maxCount, std::optional<std::size_t> except)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.isActivePeer(i) && i != except)
            found.push_back(i);
    }
    const std::size_t n = std::min(maxCount, found.size());
    for (std::size_t i = 0; i < n; ++i)
        std::swap(found[i], found[i + m_random->below(found.size() - i)]);
    found.resize(n);
    return found;
}

void GossipMember::recordAck(Probe& probe)
{
    probe.stage = ProbeStage::Acked;
    const auto index = m_table.find(probe.target.vm);
    if (!index || m_table.at(*index).summary.life != probe.target)
        return;
    auto& ackedProbeSentAt = m_table.gossipState(*index).ackedProbeSentAt;
    ackedProbeSentAt = std::max(ackedProbeSentAt.value_or(probe.sentAt), probe.sentAt);
}

void GossipMember::handleAck(const GossipMessage& ack, TimePoint now)
{
    Probe* probe = m_probes.find(ack.sequence);
    if (probe && probe->target == ack.sender.life) {
        recordAck(*probe);
        return;
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(),
        [&ack](const Relay& it) { return it.sequence == ack.sequence && it.target == tagOf(ack.sender.life); });
    if (relay == m_relays.end())
        return;
    GossipMessage relayedAck = message(MessageKind::RelayedAck);
    relayedAck.sequence = relay->requesterSequence;
    relayedAck.target = relay->target;
    relayedAck.claims.push_back({ relay->target, MemberState::Alive, ack.sender.status });
    send(std::move(relayedAck), relay->requesterAddress, std::nullopt, now);
    m_relays.erase(relay);
}

void GossipMember::handleRelayedAck(const GossipMessage& ack)
{
    Probe* probe = m_probes.find(ack.sequence);
    if (probe && tagOf(probe->target) == ack.target)
        recordAck(*probe);
}

void GossipMember::handleProbeRequest(const GossipMessage& request, const std::string& from, TimePoint now)
{
    constexpr std::size_t kMaxRelays = 64;
    const auto target = m_table.find(request.target);
    if (!target || target == m_table.selfIndex() || m_relays.size() >= kMaxRelays)
        return;
    m_relays.push_back({ ++m_sequence, request.sequence, from, request.target, now + m_settings.probeInterval });
    sendPing(*target, m_sequence, now);
}

} // namespace sagechute::membership
