#pragma once

/// @file
/// The router's decision core. It consumes typed events together with the current time and returns typed actions. It
/// performs no I/O, starts no threads and reads no clock.

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
    std::string gossipAddress; ///< "ADDRESS:PORT", as for the next two fields.
    std::string peerAddress;
    std::string callerAddress;
    std::vector<std::string> seeds; ///< Gossip addresses of routers to join through.
    scheduling::Policy policy = scheduling::Policy::Cells;
    std::uint32_t cellsPerPool = 0; ///< 0: use the value of the fleet resource.
    /// Requests sent to a target beyond its slots, to hide the turnaround time of a slot.
    std::uint32_t windowSlack = 1;
    membership::GossipSettings gossip;
    scheduling::CellSettings cells;
    delivery::OutcomeMemorySettings outcomes;
    delivery::RetrySettings retries;
    Duration summaryInterval = std::chrono::seconds(2); ///< Between two summaries of a pool to the same peers.
    Duration freeSlotNoticeInterval = std::chrono::milliseconds(50); ///< Minimum time between free-slot notices.
    /// Minimum time between progress reports for one running request.
    Duration progressInterval = std::chrono::seconds(1);
    /// A router that has had contact with neither the log nor a majority of its peers for longer than this starts no
    /// new work. It therefore also bounds how long an isolated router can keep sending new work to a target that is
    /// leaving. Overrides gossip.freshness.
    Duration freshness = std::chrono::milliseconds(2500);
    /// The same limit for a router that knows of newer configuration on a peer but cannot obtain it.
    Duration maxConfigLag = std::chrono::seconds(1);
    /// After a process pause, how long waiting requests are kept before they are refused.
    Duration pauseGracePeriod = std::chrono::seconds(1);
    /// A longer gap between two events means that the process was paused.
    Duration pauseThreshold = std::chrono::seconds(1);
    /// A router whose stream has been down for longer loses its grants.
    Duration ownerTimeout = std::chrono::seconds(2);
    /// How long to lag behind a peer's configuration before requesting it.
    Duration configPullDelay = std::chrono::milliseconds(200);
    Duration maxStopTime = std::chrono::minutes(10); ///< Maximum wait for requests in flight during a planned stop.
};

/// A request whose body has been read and whose caller is authenticated and admitted.
struct RequestArrived {
    RequestId id;
    CustomerId customer;
    ServiceId service;
    std::optional<bool> repeatable; ///< Absent: the service's default applies.
    bool streamed = false;
    std::optional<delivery::ResendKey> resend;
    bool forwarded = false; ///< Forwarded by another router.
    Cost hint = 0;
    std::vector<std::uint64_t> prefixes;
    std::optional<Duration> deadlineIn;
    std::uint64_t bodyHash = 0;
};

struct CallerDisconnected {
    RequestId id;
};

/// How an attempt at a target, or the forwarding of a request to another router, ended.
enum class AttemptEnd {
    Completed,
    NothingSent, ///< Certain: no byte was sent to the target.
    Broken, ///< The connection broke or the answer was truncated.
    Stalled, ///< No data arrived within the time limit.
    Crossed, ///< The answer belongs to another request or is missing a part.
    Rejected, ///< The target declined to run the request.
    NotResumable, ///< The target no longer has the stream.
};

struct AttemptEnded {
    RequestId id;
    std::uint32_t attempt = 0;
    AttemptEnd end = AttemptEnd::Completed;
    std::uint64_t nextPosition = 0; ///< Stream position up to which the answer has been relayed to the caller.
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

/// A successful read of the log.
struct LogRead {
    TimePoint startedAt {}; ///< When the read began; the records are at least as recent as this.
    std::vector<config::LogRecord> records;
};

struct LogSnapshotRead {
    std::string snapshot;
};

struct LogReadFailed { };

/// A prefix entered or left a target's cache.
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

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptEnded, AttemptProgressed, PeerMessageReceived,
    PeerUp, PeerDown, DatagramReceived, LogRead, LogSnapshotRead, LogReadFailed, PrefixChanged, PrefixesUnknown,
    StopRequested, Tick>;

/// Categories by which control traffic is accounted.
enum class Purpose { Scheduling, Ledger, Configuration, Handover };

std::string_view toString(Purpose);

struct SendMessage {
    VmId to;
    std::string address;
    Purpose purpose = Purpose::Scheduling;
    std::string_view kind; ///< Message kind, for metrics.
    bool lazy = false; ///< May be delayed briefly so that it is sent together with other messages to the same router.
    std::string bytes;
};

struct SendDatagram {
    std::string address;
    std::string bytes;
};

struct ForgetPeer {
    VmId vm;
};

/// Sends the request to a target.
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

/// Forwards the request to the router that holds its session.
struct StartForward {
    RequestId id;
    std::uint32_t attempt = 0;
    VmId to;
    std::string address;
};

/// Ends the current attempt. @c notifyTarget also cancels it at the engine.
struct CancelAttempt {
    RequestId id;
    bool notifyTarget = false;
    std::string address;
};

/// Gives the caller a complete answer.
struct Answer {
    RequestId id;
    delivery::KeptAnswer answer;
};

/// Tells the caller that its request ended without a complete answer.
struct Refuse {
    RequestId id;
    Outcome outcome = Outcome::NotRun;
    absl::Status error;
    std::optional<std::chrono::seconds> retryAfter;
};

/// Ends a streamed answer whose tokens have been relayed.
struct EndStream {
    RequestId id;
    Outcome outcome = Outcome::Completed;
    absl::Status error;
    std::string usage; ///< The target's usage document.
};

/// A router as reported to callers by /v1/locate.
struct LocateEntry {
    RouterLife life;
    ZoneId zone;
    std::string address;
};

/// The owners of a pool's cells. Requests that arrive at an owner can be scheduled without messages between routers.
struct PoolOwners {
    PoolId pool;
    std::vector<VmId> owners; ///< Sorted, without duplicates.
};

/// The state that HTTP threads read through RCU on each request.
struct RoutingSnapshot {
    std::shared_ptr<const config::ConfigView> config;
    std::vector<LocateEntry> routers; ///< Routers that accept requests, ordered by VM.
    std::vector<PoolOwners> poolOwners;
    RouterLife self;
    bool draining = false;
    std::string notReady; ///< Why requests cannot be accepted now; empty if they can.
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
    std::uint32_t waitingHere = 0; ///< Waiting requests held by this router.
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
    std::uint64_t undecodable = 0; ///< Messages from peers that could not be decoded.
    std::vector<membership::Member> members;
    std::vector<PoolStatus> pools;
};

/// The decision core of one router.
class RouterCore {
public:
    static std::unique_ptr<RouterCore> make(const RouterSettings&, std::unique_ptr<Random>);
    virtual ~RouterCore() = default;

    /// @param now must not be earlier than in a previous call.
    /// @return the actions to perform, in order.
    virtual Actions handle(TimePoint now, Event) = 0;

    /// @return the log offset at which the next read should start.
    virtual LogOffset nextLogOffset() const = 0;
    virtual RouterStatus status() const = 0;

    /// @return the targets whose cells this router owns and whose cache events it therefore follows.
    virtual std::vector<config::Target> ownedTargets() const = 0;
};

} // namespace sagechute::routing
