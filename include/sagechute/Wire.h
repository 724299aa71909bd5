#pragma once

/// @file
/// Messages between routers and their CBOR form. The sender's life is told by the transport and not repeated here.

#include <sagechute/Config.h>
#include <sagechute/Scheduling.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagechute::wire {

/// Short name of a cell on the wire: a hash of pool and index, 5 bytes instead of the pool's name.
using CellKey = std::uint32_t;
CellKey cellKey(const scheduling::CellId&);

/// A waiting request, offered to the owner of a cell.
struct OfferMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
    CustomerId customer;
    Cost hint = 0;
    std::vector<std::uint64_t> prefixes;
    std::optional<std::chrono::milliseconds> deadlineIn;
    std::vector<TargetId> avoid;
};

/// The request no longer waits at that cell.
struct WithdrawMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
};

/// Permission to send the request to the target.
struct GrantMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
    TargetId target;
    Cost charged = 0;
    std::chrono::milliseconds expiresIn {};
};

/// The grant was not used.
struct DeclineMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
};

/// The receiver does not own that cell; the offer has to go elsewhere. With serial 0 (no request has it) it answers a
/// ResyncMessage.
struct NotOwnerMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
};

/// How a target behaved, as told to its cell's owner.
enum class TargetHealth : std::uint8_t { Good, Unreachable, Broken };

/// The request ended; its slot is free.
struct SettleMessage {
    CellKey cell = 0;
    std::uint64_t serial = 0;
    Cost cost = 0;
    TargetHealth health = TargetHealth::Good;
};

/// Service received so far by one running request.
struct ProgressEntry {
    std::uint64_t serial = 0;
    Cost soFar = 0;
};

struct ProgressMessage {
    CellKey cell = 0;
    std::vector<ProgressEntry> entries;
};

/// A request that runs at a cell's target.
struct RunningEntry {
    std::uint64_t serial = 0;
    CustomerId customer;
    TargetId target;
    Cost charged = 0;
};

/// All that the sender has running in a cell; replaces what the owner knew of the sender. Offers follow.
struct ResyncMessage {
    CellKey cell = 0;
    std::vector<RunningEntry> running;
};

/// The sender owns the cell and knows nothing of the receiver's requests there, or no longer: it asks for a
/// ResyncMessage and the offers.
struct ResyncRequestMessage {
    CellKey cell = 0;
};

struct SummaryMessage {
    scheduling::PoolSummary summary;
};

/// Asks for the registers of all lives of a pool: a router that starts with nothing.
struct LedgerPullMessage {
    PoolId pool;
};

/// Asks for the configuration after an offset.
struct ConfigPullMessage {
    LogOffset after = 0;
};

struct ConfigRecordsMessage {
    std::vector<config::LogRecord> records;
};

struct ConfigSnapshotMessage {
    std::string snapshot;
};

/// A part of the memory of outcomes of a router that stops.
struct OutcomePartMessage {
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    std::string bytes;
};

/// All parts were taken over.
struct OutcomesTakenMessage { };

/// The sender answers for the sessions of a router life that stopped as planned.
struct InheritedMessage {
    RouterLife life;
};

using Message
    = std::variant<OfferMessage, WithdrawMessage, GrantMessage, DeclineMessage, NotOwnerMessage, SettleMessage,
        ProgressMessage, ResyncMessage, SummaryMessage, LedgerPullMessage, ConfigPullMessage, ConfigRecordsMessage,
        ConfigSnapshotMessage, OutcomePartMessage, OutcomesTakenMessage, InheritedMessage, ResyncRequestMessage>;

/// @return the name of a message's kind, such as "offer", for metrics and transcripts.
std::string_view kindName(const Message&);

std::string encode(const Message&);

/// @return the message, or BadRequest for anything that is not exactly one well-formed message.
absl::StatusOr<Message> decode(std::string_view bytes);

} // namespace sagechute::wire
