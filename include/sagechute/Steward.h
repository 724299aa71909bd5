#pragma once

/// @file
/// The steward: fleet-wide work that exactly one VM at a time performs, namely sending orders to targets and writing
/// configuration snapshots. A lease stored in the platform's log elects that VM. This is decision logic without I/O,
/// threads or a clock: callers pass in events and the current time, and carry out the returned actions.

#include <sagechute/Config.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sagechute::steward {

/// Lease timing. The lease stays exclusive as long as the relative drift between two clocks is at most margin / term.
struct LeaseSettings {
    Duration term = std::chrono::seconds(
        12); ///< Time without a record of the holder after which another process may acquire the lease.
    /// The holder stops relying on the lease this long before its term ends.
    Duration margin = std::chrono::seconds(3);
    Duration renewInterval = std::chrono::seconds(3);
    Duration readInterval = std::chrono::seconds(2); ///< How often the lease stream is read.
    /// Upper bound of the per-process delay that spreads attempts to acquire.
    Duration maxAcquireDelay = std::chrono::seconds(1);
};

/// A held lease and how long its holder may rely on it.
struct HeldLease {
    LogOffset fencing = 0; ///< Fencing number: offset of the acquiring record, so each later holder has a larger one.
    TimePoint validUntil {}; ///< By the holder's clock, with the margin already subtracted.
};

/// The next log operation requested by a LeaseContender.
struct LeaseAction {
    enum class Type { Wait, Read, Append };

    Type type = Type::Wait;
    LogOffset from = 0; ///< Read: first offset to read.
    std::string record; ///< Append: the encoded record.
};

/// Acquires, renews and releases the lease on behalf of one process.
///
/// Each record carries the offset up to which its writer had read the log, and is valid only if it directly follows
/// that offset. The order of the log therefore decides who holds the lease; clocks only decide when a process may try
/// to acquire it. A record that was in flight while its writer was paused has no effect once another record precedes
/// it.
class LeaseContender {
public:
    /// @param holder identifies this run of the process; must never be reused, not even after a restart.
    static std::unique_ptr<LeaseContender> make(std::string holder, const LeaseSettings&);
    virtual ~LeaseContender() = default;

    /// @return the operation to perform now. After an Append or Read, call appended(), read() or failed() before
    /// calling next() again.
    virtual LeaseAction next(TimePoint now) = 0;

    /// Reports the result of a Read.
    virtual void read(const config::LogBatch&, TimePoint now) = 0;

    /// Reports that an Append completed, or that an Append or Read failed. Neither says whether the record was stored;
    /// that is determined by reading the log.
    virtual void appended(TimePoint now) = 0;
    virtual void failed(TimePoint now) = 0;

    /// @return the held lease, or nullopt if this process may not rely on it at @p now.
    virtual std::optional<HeldLease> held(TimePoint now) const = 0;

    /// Releases the lease with the next action and stops contending for it.
    virtual void release() = 0;

    /// @return whether, after release(), the log confirms that this process does not hold the lease.
    virtual bool released() const = 0;

    /// @return the current holder according to the log, or an empty string if none is known.
    virtual std::string holder() const = 0;
};

struct SnapshotSettings {
    Duration maxInterval = std::chrono::minutes(
        10); ///< Snapshots expire as well, so one is needed even if the configuration does not change.
    LogOffset maxRecords = 500; ///< Records since the last snapshot that make the next one due.
    Duration retryAfter = std::chrono::seconds(5);
};

/// Schedules configuration snapshots so that one is written before the records it replaces expire. Estimates the log's
/// retention time by observing when records disappear.
class SnapshotSchedule {
public:
    explicit SnapshotSchedule(const SnapshotSettings&);

    /// @param first oldest offset still in the log. @param end latest offset, or 0 if the log is empty.
    void observeLog(LogOffset first, LogOffset end, TimePoint now);

    void wrote(LogOffset covers, TimePoint now);
    void failed(TimePoint now);

    /// Makes a snapshot due. Called when the lease is newly acquired, because snapshots that other holders wrote are
    /// not tracked.
    void discardWritten() { m_covers.reset(); }

    /// @param applied offset that a snapshot taken now would cover.
    bool due(LogOffset applied, TimePoint now) const;

    /// @return the shortest observed time after which a record had been removed from the log, if any has been.
    std::optional<Duration> observedRetention() const { return m_observedRetention; }

private:
    /// The time at which the log was first observed to end at an offset.
    struct EndObservation {
        LogOffset end = 0;
        TimePoint at {};
    };

    Duration interval() const;

    SnapshotSettings m_settings;
    std::vector<EndObservation> m_endObservations; ///< By offset; entries whose record has expired are removed.
    std::optional<Duration> m_observedRetention;
    std::optional<LogOffset> m_observedRecordCount;
    LogOffset m_first = 1;
    std::optional<LogOffset> m_covers;
    TimePoint m_writtenAt {};
    TimePoint m_notBefore {};
};

/// State of a target as reported by the target.
struct ObservedState {
    std::string model;
    std::string version;
    std::string role;
    LogOffset fencing = 0;
    bool loading = false;
};

enum class OrderKind { Load, Version, Role };

/// @return "load", "version" or "role".
std::string_view toString(OrderKind);

/// Requests a read of a target's state. The result goes to TargetOrders::stateRead().
struct ReadState {
    TargetId target;
    std::string address;
    std::uint64_t number = 0; ///< Identifies the read; passed back with its result.
};

/// Requests permission for a model load from the weight store. The result goes to loadGranted() or loadRefused().
struct RequestLoadGrant {
    TargetId target;
    std::string model;
    std::string version;
};

/// Requests that an order be sent immediately or not at all. The result goes to orderAnswered().
struct SendOrder {
    TargetId target;
    std::string address;
    OrderKind kind = OrderKind::Load;
    LogOffset fencing = 0;
    std::string model;
    std::string version;
    std::string role;
    /// The sender rechecks the clock: after this time the lease is too close to expiry to send.
    TimePoint sendDeadline {};
};

using OrderAction = std::variant<ReadState, RequestLoadGrant, SendOrder>;

/// Outcome of an order.
enum class OrderAnswer {
    Accepted,
    Superseded, ///< Rejected: the target has seen a larger fencing number.
    Failed, ///< Rejected or outcome unknown; the next state read shows which.
};

struct OrderSettings {
    Duration orderTimeout = std::chrono::seconds(2); ///< Timeout of a request to a target.
    Duration stateReadInterval = std::chrono::seconds(2); ///< Interval between reads of a target's state.
    Duration stateMaxAge = std::chrono::seconds(7); ///< An older state is treated as unknown.
    /// An accepted order that has had no visible effect is sent again after this time.
    Duration confirmTimeout = std::chrono::seconds(10);
    Duration retryAfter = std::chrono::seconds(2);
    double maxUnavailableFraction = 1.0 / 3; ///< Fraction of a pool that may be out of service because of orders.
    /// Fleet-wide; further targets would only be out of service while waiting for the weight store.
    std::size_t maxConcurrentLoads = 4;
    /// Whether the steward requests load permission; otherwise the engines do so themselves.
    bool asksWeightStore = false;
};

/// Progress of a target towards its desired state.
struct TargetProgress {
    TargetId target;
    bool reachable = false;
    bool done = false;
    std::string phase; ///< "idle", "asking", "granted", "ordering" or "confirming".
    std::string blockedReason; ///< Why no order can be sent now; empty if nothing blocks it.
};

/// Totals since process start.
struct OrderCounts {
    std::uint64_t sent = 0;
    /// Sent again because the target's state still differed after it had accepted the order.
    std::uint64_t repeated = 0;
    std::uint64_t superseded = 0;
    std::uint64_t failed = 0;
    std::uint64_t loadsRefused = 0;
};

/// Brings targets to their desired model, version and role while the lease is held.
class TargetOrders {
public:
    static std::unique_ptr<TargetOrders> make(const OrderSettings&);
    virtual ~TargetOrders() = default;

    /// Applies a new configuration.
    virtual void configure(const config::ConfigView&, TimePoint now) = 0;

    /// @param number of the ReadState action. @param state nullopt if the target did not return a valid state.
    virtual void stateRead(
        const TargetId&, std::uint64_t number, const std::optional<ObservedState>& state, TimePoint now)
        = 0;
    virtual void loadGranted(const TargetId&, TimePoint now) = 0;

    /// @param wait time during which no load permission is requested for any target.
    virtual void loadRefused(const TargetId&, Duration wait, TimePoint now) = 0;
    virtual void orderAnswered(const TargetId&, OrderAnswer, TimePoint now) = 0;

    /// @param hold the held lease. Without it no actions are returned and orders in progress are discarded.
    /// @return the actions to perform now.
    virtual std::vector<OrderAction> tick(const std::optional<HeldLease>& hold, TimePoint now) = 0;

    virtual std::vector<TargetProgress> progress(TimePoint now) const = 0;
    virtual OrderCounts counts() const = 0;
};

} // namespace sagechute::steward
