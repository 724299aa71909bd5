#pragma once

/// @file
/// Gossip datagrams: typed messages and their CBOR encoding.

#include <sagechute/Membership.h>

#include <string>
#include <string_view>
#include <vector>

namespace sagechute::membership {

/// Short name of a life in datagrams. Two of 370 lives collide with a probability of 2e-5; they would then refute each
/// other's suspicions until one of them restarts.
using LifeTag = std::uint32_t;

LifeTag tagOf(const RouterLife&);

/// The part of a summary that changes while a process lives.
struct MemberStatus {
    std::uint64_t version = 0;
    bool draining = false;
    bool logReachable = false;
    LogOffset configOffset = 0;
    std::uint32_t load = 0;
};

MemberStatus statusOf(const MemberSummary&);

/// What the sender says about itself in every datagram.
struct SenderHeader {
    RouterLife life;
    MemberStatus status;
};

/// A statement about a member that the receiver should know already. Only an Alive one has a status beyond its version.
struct Claim {
    LifeTag tag = 0;
    MemberState state = MemberState::Alive;
    MemberStatus status;
};

/// All about a member, for receivers that do not know it.
struct MemberRecord {
    MemberSummary summary;
    MemberState state = MemberState::Alive;
    std::uint64_t stateVersion = 0; ///< The version that the state was stated for.
    Duration age {}; ///< How long it has been in that state; whole seconds are sent.
};

enum class MessageKind : std::uint8_t {
    Ping = 1, ///< Asks for an Ack with the same sequence number.
    Ack,
    ProbeRequest, ///< Asks the receiver to ping a third member and to pass its answer on.
    RelayedAck,
    Join, ///< Carries the sender's own record; answered by News.
    Digest, ///< A hash of each bucket of the sender's member table; answered by a Listing where they differ.
    Listing, ///< Claims about all members of some buckets; answered by a Want where there is something to say.
    Want, ///< Asks for whole records; answered by News.
    News, ///< Claims and records only.
};

struct GossipMessage {
    MessageKind kind = MessageKind::News;
    std::uint16_t sequence = 0; ///< Of Ping, Ack, ProbeRequest and RelayedAck.
    SenderHeader sender;
    std::vector<Claim> claims;
    std::vector<MemberRecord> records;
    LifeTag target = 0; ///< Of ProbeRequest and RelayedAck.
    std::vector<std::uint32_t> hashes; ///< Of Digest: one for each bucket.
    std::uint32_t bucketCount = 0; ///< Of Listing.
    std::vector<std::uint32_t> buckets; ///< Of Listing: those that it covers.
    std::vector<LifeTag> wanted; ///< Of Want.
};

inline constexpr std::size_t kMostBuckets = 64;

/// Upper estimates used to fill datagrams.
inline constexpr std::size_t kClaimBytes = 10;
inline constexpr std::size_t kClaimWithStatusBytes = 20;
std::size_t encodedBytes(const MemberRecord&);

std::string encode(const GossipMessage&);

/// @return the message, or BadRequest for anything that encode() does not make.
absl::StatusOr<GossipMessage> decode(std::string_view bytes);

} // namespace sagechute::membership
