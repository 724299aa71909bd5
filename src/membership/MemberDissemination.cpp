// The part of MemberTable that produces outgoing data: claims, records, piggybacked updates and bucket hashes.

#include "membership/MemberTable.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {
namespace {

    // Each member that learns a status change sends it three times. About 5% of the members miss it and get it from the
    // next anti-entropy exchange. Membership changes are sent 4 log10(n) times.
    constexpr unsigned kRoutineSends = 3;
    constexpr unsigned kUrgentSendsPerDigit = 4;

    // When many members change at once, fewer sends per change disseminate all of them sooner. Records are large, and
    // members that miss one get it by anti-entropy.
    constexpr std::size_t kUrgentBacklogThreshold = 32;

    // Per datagram. A member sends four datagrams per second, so piggybacked updates stay below 600 bytes/s, or 1,600
    // bytes/s during membership changes.
    constexpr std::size_t kRoutineBytes = 150;
    constexpr std::size_t kUrgentBytes = 400;

    bool isTerminal(MemberState state) { return state == MemberState::Dead || state == MemberState::Left; }

} // namespace

unsigned MemberTable::urgentSends(bool isRecord) const
{
    if (m_urgentCount > kUrgentBacklogThreshold)
        return isRecord ? 1 : kRoutineSends;
    return kUrgentSendsPerDigit * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(size()) + 1)));
}

void MemberTable::disseminate(std::size_t index, bool isUrgent)
{
    GossipState& gossipState = m_gossipStates[index];
    const bool wasUrgent = gossipState.isUrgent && gossipState.sendsLeft > 0;
    if (isUrgent && !wasUrgent)
        ++m_urgentCount;
    gossipState.isUrgent = isUrgent || wasUrgent;
    gossipState.sendsLeft
        = std::max(gossipState.sendsLeft, isUrgent ? urgentSends(gossipState.isRecord) : kRoutineSends);
}

void MemberTable::cancelDissemination(GossipState& gossipState)
{
    if (gossipState.isUrgent && gossipState.sendsLeft > 0)
        --m_urgentCount;
    gossipState.sendsLeft = 0;
    gossipState.isUrgent = false;
    gossipState.isRecord = false;
}

void MemberTable::takePiggybackedUpdates(
    GossipMessage& message, std::optional<std::size_t> receiver, std::size_t space, TimePoint now)
{
    std::vector<std::size_t> waiting;
    for (std::size_t n = 0; n < size(); ++n) {
        const std::size_t i = (m_disseminationStart + n) % size();
        if (m_gossipStates[i].sendsLeft > 0 && i != receiver)
            waiting.push_back(i);
    }
    m_disseminationStart = (m_disseminationStart + 1) % size();
    std::stable_sort(waiting.begin(), waiting.end(), [this](std::size_t left, std::size_t right) {
        const GossipState& a = m_gossipStates[left];
        const GossipState& b = m_gossipStates[right];
        return a.isUrgent != b.isUrgent ? a.isUrgent : a.sendsLeft > b.sendsLeft;
    });

    std::size_t used = 0;
    for (const std::size_t i : waiting) {
        GossipState& gossipState = m_gossipStates[i];
        const std::size_t byteLimit = std::min(space, gossipState.isUrgent ? kUrgentBytes : kRoutineBytes);
        if (gossipState.isRecord) {
            const MemberRecord record = recordAbout(i, now);
            if (message.records.size() >= m_settings.maxPiggybackedRecords || used + encodedBytes(record) > byteLimit)
                continue;
            used += encodedBytes(record);
            message.records.push_back(record);
        } else if (i != m_self || m_isLeaving) {
            // The sender's own status is in the header of every datagram.
            const Claim claim = claimAbout(i);
            const bool isPresent = std::any_of(message.claims.begin(), message.claims.end(),
                [&claim](const Claim& it) { return it.tag == claim.tag; });
            if (isPresent)
                continue;
            const std::size_t bytes = claim.state == MemberState::Alive ? kClaimWithStatusBytes : kClaimBytes;
            if (used + bytes > byteLimit)
                continue;
            used += bytes;
            message.claims.push_back(claim);
        }
        if (gossipState.sendsLeft == 1)
            cancelDissemination(gossipState);
        else
            --gossipState.sendsLeft;
    }
}

Claim MemberTable::claimAbout(std::size_t index) const
{
    const Member& member = at(index);
    Claim claim { m_gossipStates[index].tag, member.state, statusOf(member.summary) };
    if (member.state != MemberState::Alive)
        claim.status.version = m_gossipStates[index].stateVersion;
    return claim;
}

MemberRecord MemberTable::recordAbout(std::size_t index, TimePoint now) const
{
    const Member& member = at(index);
    const Duration age = std::max(Duration::zero(), now - member.since);
    return { member.summary, member.state, m_gossipStates[index].stateVersion,
        isTerminal(member.state) ? age : Duration::zero() };
}

std::uint32_t MemberTable::bucketOf(const VmId& vm, std::uint32_t bucketCount)
{
    return static_cast<std::uint32_t>(stableHash(vm.value) % bucketCount);
}

std::vector<std::uint32_t> MemberTable::bucketHashes(std::uint32_t bucketCount) const
{
    std::vector<std::uint32_t> hashes(bucketCount);
    for (std::size_t i = 0; i < size(); ++i) {
        const Claim claim = claimAbout(i);
        // Suspicions are short-lived; tables that differ only by them need no anti-entropy exchange.
        const unsigned state = isTerminal(claim.state) ? static_cast<unsigned>(claim.state) : 0;
        const std::uint64_t words[] = { claim.tag, claim.status.version, state };
        const std::string_view bytes(reinterpret_cast<const char*>(words), sizeof words);
        hashes[bucketOf(at(i).summary.life.vm, bucketCount)] ^= static_cast<std::uint32_t>(stableHash(bytes));
    }
    return hashes;
}

} // namespace sagechute::membership
