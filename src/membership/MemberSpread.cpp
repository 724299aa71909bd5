// The part of MemberTable that says things to other members: claims, records, rumours and bucket hashes.

#include "membership/MemberTable.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {
namespace {

    // A status that changed is passed on three times by each that learns it: some 5% miss it, and the next comparison
    // of tables mends that. What decides about membership is passed on 4 log10(n) times.
    constexpr unsigned kRoutineSends = 3;
    constexpr unsigned kUrgentSendsPerDigit = 4;

    // When a whole part of the fleet changes at once, few sends each get all of it around sooner. Records are large,
    // and members that miss one get it by comparing tables.
    constexpr std::size_t kManyUrgent = 32;

    // Per datagram. Four datagrams a second leave a member, so that rumours stay below 600 bytes/s, or 1,600 in
    // turmoil.
    constexpr std::size_t kRoutineBytes = 150;
    constexpr std::size_t kUrgentBytes = 400;

    bool isOver(MemberState state) { return state == MemberState::Dead || state == MemberState::Left; }

} // namespace

unsigned MemberTable::urgentSends(bool isRecord) const
{
    if (m_urgentCount > kManyUrgent)
        return isRecord ? 1 : kRoutineSends;
    return kUrgentSendsPerDigit * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(size()) + 1)));
}

void MemberTable::spread(std::size_t index, bool isUrgent)
{
    Track& track = m_tracks[index];
    const bool wasUrgent = track.isUrgent && track.sendsLeft > 0;
    if (isUrgent && !wasUrgent)
        ++m_urgentCount;
    track.isUrgent = isUrgent || wasUrgent;
    track.sendsLeft = std::max(track.sendsLeft, isUrgent ? urgentSends(track.isRecord) : kRoutineSends);
}

void MemberTable::dropRumour(Track& track)
{
    if (track.isUrgent && track.sendsLeft > 0)
        --m_urgentCount;
    track.sendsLeft = 0;
    track.isUrgent = false;
    track.isRecord = false;
}

void MemberTable::takeRumours(
    GossipMessage& message, std::optional<std::size_t> receiver, std::size_t space, TimePoint now)
{
    std::vector<std::size_t> waiting;
    for (std::size_t n = 0; n < size(); ++n) {
        const std::size_t i = (m_spreadStart + n) % size();
        if (m_tracks[i].sendsLeft > 0 && i != receiver)
            waiting.push_back(i);
    }
    m_spreadStart = (m_spreadStart + 1) % size();
    std::stable_sort(waiting.begin(), waiting.end(), [this](std::size_t left, std::size_t right) {
        const Track& a = m_tracks[left];
        const Track& b = m_tracks[right];
        return a.isUrgent != b.isUrgent ? a.isUrgent : a.sendsLeft > b.sendsLeft;
    });

    std::size_t used = 0;
    for (const std::size_t i : waiting) {
        Track& track = m_tracks[i];
        const std::size_t most = std::min(space, track.isUrgent ? kUrgentBytes : kRoutineBytes);
        if (track.isRecord) {
            const MemberRecord record = recordAbout(i, now);
            if (message.records.size() >= m_settings.piggybackMost || used + encodedBytes(record) > most)
                continue;
            used += encodedBytes(record);
            message.records.push_back(record);
        } else if (i != m_self || m_isLeaving) {
            // The sender's own status is in every datagram's header.
            const Claim claim = claimAbout(i);
            const bool isThere = std::any_of(message.claims.begin(), message.claims.end(),
                [&claim](const Claim& it) { return it.tag == claim.tag; });
            if (isThere)
                continue;
            const std::size_t bytes = claim.state == MemberState::Alive ? kClaimWithStatusBytes : kClaimBytes;
            if (used + bytes > most)
                continue;
            used += bytes;
            message.claims.push_back(claim);
        }
        if (track.sendsLeft == 1)
            dropRumour(track);
        else
            --track.sendsLeft;
    }
}

Claim MemberTable::claimAbout(std::size_t index) const
{
    const Member& member = at(index);
    Claim claim { m_tracks[index].tag, member.state, statusOf(member.summary) };
    if (member.state != MemberState::Alive)
        claim.status.version = m_tracks[index].stateVersion;
    return claim;
}

MemberRecord MemberTable::recordAbout(std::size_t index, TimePoint now) const
{
    const Member& member = at(index);
    const Duration age = std::max(Duration::zero(), now - member.since);
    return { member.summary, member.state, m_tracks[index].stateVersion,
        isOver(member.state) ? age : Duration::zero() };
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
        // A suspicion passes on its own; differing by it alone is not worth a comparison.
        const unsigned state = isOver(claim.state) ? static_cast<unsigned>(claim.state) : 0;
        const std::uint64_t words[] = { claim.tag, claim.status.version, state };
        const std::string_view bytes(reinterpret_cast<const char*>(words), sizeof words);
        hashes[bucketOf(at(i).summary.life.vm, bucketCount)] ^= static_cast<std::uint32_t>(stableHash(bytes));
    }
    return hashes;
}

} // namespace sagechute::membership
