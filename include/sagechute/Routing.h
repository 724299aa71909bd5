#pragma once

/// @file
/// The router's decisions: typed events and the present time go in, typed actions come out. No I/O, no threads, no
/// clock.

#include <sagechute/Config.h>
#include <sagechute/Delivery.h>
#include <sagechute/Membership.h>
#include <sagechute/Scheduling.h>
#include <sagechute/Wire.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sagechute::routing {

/// Settings of one router process.
struct RouterSettings {
    RouterLife life;
    ZoneId zone;
    std::string gossipAddress; ///< "ADDRESS:PORT", as are the next two.
    std::string peerAddress;
    std::string callerAddress;
    std::vector<std::string> seeds; ///< Gossip addresses to join by.
    scheduling::Policy policy = scheduling::Policy::Cells;
    std::uint32_t cellsPerPool = 0; ///< 0: what the fleet resource says.
    std::uint32_t windowSlack = 1; ///< Requests sent to a target beyond its slots, to hide the turnaround of a slot.
    membership::GossipSettings gossip;
    scheduling::CellSettings cells;
    delivery::OutcomeMemorySettings outcomes;
    delivery::RetrySettings retries;
    Duration summaryInterval = std::chrono::seconds(2); ///< Between two summaries of a pool to the same peers.
    Duration idleNoticeInterval = std::chrono::milliseconds(50); ///< Least time between notices of free slots.
    Duration progressInterval = std::chrono::seconds(1); ///< Between two reports of a running request's service.
    /// Without a sign of the log or of a majority for longer, a router starts nothing. A target that leaves gets new
    /// work for at most this long from a router that is cut off at that moment; replaces gossip.freshness.
    Duration freshness = std::chrono::milliseconds(2500);
    Duration lagMost = std::chrono::seconds(1); ///< The same for a router that knows of newer configuration elsewhere
                                                ///< and can't get it.
    Duration regainTime = std::chrono::seconds(1); ///< After a pause, until the requests that wait are refused.
    Duration pauseLimit
        = std::chrono::seconds(1); ///< A longer silence of its own clock means that the process was paused.
    Duration ownerSilence = std::chrono::seconds(2); ///< A router whose stream is down for longer has lost its grants.
    Duration relayDelay
        = std::chrono::milliseconds(200); ///< How far behind a peer's configuration before asking the peer.
    Duration stopMost = std::chrono::minutes(10); ///< Longest wait for requests in flight at a planned stop.
};

/// A request whose body has been read and whose caller is known and admitted.
struct RequestArrived {
    RequestId id;
    CustomerId customer;
    ServiceId service;
    std::optional<bool> repeatable; ///< Absent: the service's default.
    bool streamed = false;
    std::optional<delivery::ResendKey> resend;
    bool forwarded = false; ///< Another router handed it over.
    Cost hint = 0;
    std::vector<std::uint64_t> prefixes;
    std::optional<Duration> deadlineIn;
    std::uint64_t bodyHash = 0;
};

struct CallerGone {
    RequestId id;
};

/// How one attempt at a target, or one hand-over to another router, ended.
enum class AttemptEnd {
    Completed,
    NothingSent, ///< Certain: no byte left for the target.
    Broken, ///< The connection broke or the answer was cut.
    Silent, ///< Nothing came for too long.
    Crossed, ///< The answer belongs to another request, or lacks a part.
    Rejected, ///< The target answered that it would not.
    NotResumable, ///< The target no longer knows the stream.
};

struct AttemptEnded {
    RequestId id;
    std::uint32_t attempt = 0;
    AttemptEnd end = AttemptEnd::Completed;
    std::uint64_t nextPosition = 0; ///< Positions already relayed to the caller.
    Cost cost = 0; ///< Service received, as far as known.
    delivery::KeptAnswer answer;
    std::string usage; ///< The target's usage document at the end of a stream.
    std::string detail; ///< For logs.
};

struct AttemptProgressed {
    RequestId id;
    Cost soFar = 0;
};

struct PeerMessageReceived {
    RouterLife from;
    std::string bytes;
};

struct PeerUp {
    RouterLife peer;
};

struct PeerDown {
    RouterLife peer;
};

struct DatagramReceived {
    std::string from;
    std::string bytes;
};

/// The log answered a read.
struct LogRead {
    TimePoint asked {}; ///< When the read began: what it shows is at least that fresh.
    std::vector<config::LogRecord> records;
};

struct LogSnapshotRead {
    std::string snapshot;
};

struct LogFailed { };

/// A target's cache event, or a gap in them.
struct PrefixChanged {
    TargetId target;
    std::uint64_t prefix = 0;
    bool stored = true;
};

struct PrefixesUnknown {
    TargetId target;
};

struct StopRequested { };
struct Tick { };

using Event
    = std::variant<RequestArrived, CallerGone, AttemptEnded, AttemptProgressed, PeerMessageReceived, PeerUp, PeerDown,
        DatagramReceived, LogRead, LogSnapshotRead, LogFailed, PrefixChanged, PrefixesUnknown, StopRequested, Tick>;

/// Purposes by which control bytes are counted.
enum class Purpose { Scheduling, Ledger, Configuration, Handover };

std::string_view toString(Purpose);

struct SendMessage {
    VmId to;
    std::string address;
    Purpose purpose = Purpose::Scheduling;
    std::string_view kind; ///< Of the message, for metrics.
    bool lazy = false; ///< May wait a little for other messages to the same router.
    std::string bytes;
};

struct SendDatagram {
    std::string address;
    std::string bytes;
};

struct ForgetPeer {
    VmId vm;
};

/// Send the request to a target.
struct StartAttempt {
    RequestId id;
    std::uint32_t attempt = 0;
    TargetId target;
    std::string address;
    config::TargetMode mode = config::TargetMode::Engine;
    bool streamed = false;
    bool freshConnection = false;
    std::optional<std::uint64_t> resumeFrom;
    std::chrono::milliseconds tokenGapLimit {};
    std::chrono::milliseconds answerLimit {};
};

/// Hand the request to the router that holds its session.
struct StartForward {
    RequestId id;
    std::uint32_t attempt = 0;
    VmId to;
    std::string address;
};

/// End the attempt under way. @c tellTarget also cancels it at the engine.
struct CancelAttempt {
    RequestId id;
    bool tellTarget = false;
    std::string address;
};

/// Give the caller a whole answer.
struct Answer {
    RequestId id;
    delivery::KeptAnswer answer;
};

/// Tell the caller that its request ended otherwise than in a complete answer.
struct Refuse {
    RequestId id;
    Outcome outcome = Outcome::NotRun;
    absl::Status error;
    std::optional<std::chrono::seconds> retryAfter;
};

/// End a streamed answer whose tokens have been relayed.
struct EndStream {
    RequestId id;
    Outcome outcome = Outcome::Completed;
    absl::Status error;
    std::string usage; ///< The target's usage document.
};

/// A router as callers are told of it.
struct LocateEntry {
    RouterLife life;
    ZoneId zone;
    std::string address;
};

/// Who owns cells of a pool: requests that arrive there need no message between routers to be scheduled.
struct PoolOwners {
    PoolId pool;
    std::vector<VmId> owners; ///< Sorted, each once.
};

/// What the HTTP threads read, by RCU, on each request.
struct RoutingSnapshot {
    std::shared_ptr<const config::ConfigView> config;
    std::vector<LocateEntry> routers; ///< Usable ones, by VM.
    std::vector<PoolOwners> poolOwners;
    RouterLife self;
    bool draining = false;
    std::string notReady; ///< Why requests can't be taken now; empty when they can.
};

struct Publish {
    std::shared_ptr<const RoutingSnapshot> snapshot;
};

struct StopListening { };
struct Exit { };

using Action = std::variant<SendMessage, SendDatagram, ForgetPeer, StartAttempt, StartForward, CancelAttempt, Answer,
    Refuse, EndStream, Publish, StopListening, Exit>;
using Actions = std::vector<Action>;

/// Figures of one pool for status and metrics.
struct PoolStatus {
    PoolId pool;
    std::uint32_t cellsOwned = 0;
    std::uint32_t waitingHere = 0; ///< Requests that this router holds and that wait.
    std::uint32_t runningHere = 0;
    std::uint32_t slotsOwned = 0;
    std::uint32_t freeSlotsOwned = 0;
    Cost measuredGap = 0;
    Cost gapBound = 0;
    std::vector<scheduling::CustomerServiceEntry> customers;
};

struct RouterStatus {
    RouterLife life;
    ZoneId zone;
    LogOffset configOffset = 0;
    bool logReachable = false;
    bool draining = false;
    bool fresh = false;
    std::uint32_t requests = 0;
    std::size_t outcomeEntries = 0;
    std::uint64_t undecodable = 0; ///< Messages from peers that did not decode.
    std::vector<membership::Member> members;
    std::vector<PoolStatus> pools;
};

/// The decisions of one router.
class RouterCore {
public:
    static std::unique_ptr<RouterCore> make(const RouterSettings&, std::unique_ptr<Random>);
    virtual ~RouterCore() = default;

    /// @param now never less than in an earlier call.
    /// @return what to do, in order.
    virtual Actions handle(TimePoint now, Event) = 0;

    /// @return the log offset from which the next read should start.
    virtual LogOffset nextLogOffset() const = 0;
    virtual RouterStatus status() const = 0;

    /// @return whether this router owns the cell of a target, and so follows the target's cache events.
    virtual std::vector<config::Target> ownedTargets() const = 0;
};

} // namespace sagechute::routing
