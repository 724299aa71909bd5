#pragma once

/// @file
/// Gossip datagrams: typed messages and their CBOR encoding.

#include <sagechute/Membership.h>

#include <string>
#include <string_view>
#include <vector>

namespace sagechute::membership {

/// Compact hash of a RouterLife used in datagrams. Among 370 lives the probability of a collision is 2e-5; colliding
/// members would refute each other's suspicions until one of them restarts.
using LifeTag = std::uint32_t;

LifeTag tagOf(const RouterLife&);

/// The part of a summary that may change during the lifetime of a process.
struct MemberStatus {
    std::uint64_t version = 0;
    bool draining = false;
    bool logReachable = false;
    LogOffset configOffset = 0;
    std::uint32_t load = 0;
};

MemberStatus statusOf(const MemberSummary&);

/// The sender's identity and status, included in every datagram.
struct SenderHeader {
    RouterLife life;
    MemberStatus status;
};

/// Compact update about a member that the receiver is expected to know. Only an Alive claim carries status fields other
/// than the version.
struct Claim {
    LifeTag tag = 0;
    MemberState state = MemberState::Alive;
    MemberStatus status;
};

/// Full description of a member, for receivers that do not know it.
struct MemberRecord {
    MemberSummary summary;
    MemberState state = MemberState::Alive;
    std::uint64_t stateVersion = 0; ///< Summary version that the state refers to.
    Duration age {}; ///< Time spent in that state; encoded in whole seconds.
};

enum class MessageKind : std::uint8_t {
    Ping = 1, ///< Requests an Ack with the same sequence number.
    Ack,
    ProbeRequest, ///< Asks the receiver to ping a third member and to relay its Ack.
    RelayedAck,
    Join, ///< Carries the sender's own record; answered by an Update.
    Digest, ///< One hash per bucket of the sender's member table; answered by a BucketListing of those that differ.
    BucketListing, ///< Claims about all members of some buckets; answered by a RecordRequest if the receiver's table
                   ///< differs.
    RecordRequest, ///< Requests full records; answered by an Update.
    Update, ///< Carries claims and records only.
};

struct GossipMessage {
    MessageKind kind = MessageKind::Update;
    std::uint16_t sequence = 0; ///< For Ping, Ack, ProbeRequest and RelayedAck.
    SenderHeader sender;
    std::vector<Claim> claims;
    std::vector<MemberRecord> records;
    LifeTag target = 0; ///< For ProbeRequest and RelayedAck.
    std::vector<std::uint32_t> hashes; ///< For Digest: one per bucket.
    std::uint32_t bucketCount = 0; ///< For BucketListing.
    std::vector<std::uint32_t> buckets; ///< For BucketListing: the buckets that it covers.
    std::vector<LifeTag> requestedTags; ///< For RecordRequest.
};

inline constexpr std::size_t kMaxBuckets = 64;

/// Conservative size estimates used to fill datagrams.
inline constexpr std::size_t kClaimBytes = 10;
inline constexpr std::size_t kClaimWithStatusBytes = 20;
std::size_t encodedBytes(const MemberRecord&);

std::string encode(const GossipMessage&);

/// @return the message, or BadRequest for input that encode() would not produce.
absl::StatusOr<GossipMessage> decode(std::string_view bytes);

} // namespace sagechute::membership
