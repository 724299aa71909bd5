#pragma once

/// @file
/// What exactly one VM at a time does for the fleet: orders to targets and snapshots of the configuration, under a
/// lease in the platform's log. Decision logic without I/O, threads or clock: events and the time go in, actions come
/// out.

#include <sagechute/Config.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sagechute::steward {

/// Times of a lease. Two clocks may run apart by up to margin / term.
struct LeaseSettings {
    Duration term
        = std::chrono::seconds(12); ///< How long the log must be silent about a holder before another may follow.
    Duration margin = std::chrono::seconds(3); ///< The holder stops this much before its term ends.
    Duration renewEvery = std::chrono::seconds(3);
    Duration readEvery = std::chrono::seconds(2); ///< How often those who wait look into the log.
    Duration spread = std::chrono::seconds(1); ///< Those who wait try at different times within this.
};

/// The lease as its holder may rely on it.
struct LeaseHold {
    LogOffset fencing = 0; ///< Offset of the record that acquired it: a later holder has a larger one.
    TimePoint until {}; ///< By the holder's clock, margin taken off.
};

/// What a lease keeper wants from the log.
struct LeaseAction {
    enum class Type { Wait, Read, Append };

    Type type = Type::Wait;
    LogOffset from = 0; ///< Read: from this offset.
    std::string record; ///< Append: this record.
};

/// One contender for the lease.
///
/// Each record names the offset up to which its writer had read, and counts only when it directly follows that: the
/// log's order decides who holds the lease, clocks only when somebody may try. So a record that was under way while its
/// writer was paused takes no effect.
class LeaseKeeper {
public:
    /// @param holder names this process's life; no other process ever uses the same.
    static std::unique_ptr<LeaseKeeper> make(std::string holder, const LeaseSettings&);
    virtual ~LeaseKeeper() = default;

    /// @return what to do now; each Append or Read is answered by appended() or read() before the next call.
    virtual LeaseAction next(TimePoint now) = 0;

    /// A Read was answered.
    virtual void read(const config::LogBatch&, TimePoint now) = 0;

    /// An Append or Read came back, whatever its result: what was taken is found out by reading.
    virtual void appended(TimePoint now) = 0;
    virtual void failed(TimePoint now) = 0;

    /// @return the hold, when the lease can be relied on at @p now.
    virtual std::optional<LeaseHold> held(TimePoint now) const = 0;

    /// Gives the lease up with the next action, and does not contend for it again.
    virtual void release() = 0;

    /// @return whether, after release(), the log says that this process does not hold the lease.
    virtual bool released() const = 0;

    /// @return who holds the lease as the log says, empty when nobody is known to.
    virtual std::string holder() const = 0;
};

struct SnapshotSettings {
    Duration longestGap
        = std::chrono::minutes(10); ///< Snapshots themselves expire: a quiet fleet needs fresh ones too.
    LogOffset mostRecords = 500; ///< Records after a snapshot before the next one.
    Duration retryAfter = std::chrono::seconds(5);
};

/// Says when a snapshot is due, before the records that it replaces expire. Learns how long the log keeps records by
/// watching them go.
class SnapshotSchedule {
public:
    explicit SnapshotSchedule(const SnapshotSettings&);

    /// @param first oldest offset that the log keeps. @param end latest offset, 0 for none.
    void sawLog(LogOffset first, LogOffset end, TimePoint now);

    void wrote(LogOffset covers, TimePoint now);
    void failed(TimePoint now);

    /// The lease is new: what others wrote meanwhile is not known, so a snapshot is due.
    void forgetWritten() { m_covers.reset(); }

    /// @param applied offset up to which a snapshot could be made.
    bool due(LogOffset applied, TimePoint now) const;

    /// @return the shortest time after which a record was seen to be gone, if any was.
    std::optional<Duration> learnedAge() const { return m_learnedAge; }

private:
    /// When the log's end was first seen at an offset.
    struct Sighting {
        LogOffset end = 0;
        TimePoint at {};
    };

    Duration gap() const;

    SnapshotSettings m_settings;
    std::vector<Sighting> m_sightings; ///< In order; those gone from the log are taken off.
    std::optional<Duration> m_learnedAge;
    std::optional<LogOffset> m_learnedRecords;
    LogOffset m_first = 1;
    std::optional<LogOffset> m_covers;
    TimePoint m_writtenAt {};
    TimePoint m_notBefore {};
};

/// State of a target as it tells it.
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

/// Wants the state of a target read; answered by TargetOrders::stateRead().
struct ReadState {
    TargetId target;
    std::string address;
    std::uint64_t number = 0; ///< Comes back with the answer.
};

/// Wants the weight store asked for a load; answered by loadGranted() or loadRefused().
struct AskLoad {
    TargetId target;
    std::string model;
    std::string version;
};

/// Wants an order sent now or not at all; answered by orderAnswered().
struct SendOrder {
    TargetId target;
    std::string address;
    OrderKind kind = OrderKind::Load;
    LogOffset fencing = 0;
    std::string model;
    std::string version;
    std::string role;
    TimePoint notAfter {}; ///< Whoever sends looks at the clock again: after this the lease is too near its end.
};

using OrderAction = std::variant<ReadState, AskLoad, SendOrder>;

/// What came of an order.
enum class OrderAnswer {
    Accepted,
    Superseded, ///< The target has seen a larger fencing number.
    Failed, ///< Refused, or nobody knows: the state read back will tell.
};

struct OrderSettings {
    Duration orderTimeout = std::chrono::seconds(2); ///< Longest request to a target.
    Duration stateEvery = std::chrono::seconds(2); ///< How often a target's state is read.
    Duration stateKeep = std::chrono::seconds(7); ///< An older state counts as unknown.
    Duration settle = std::chrono::seconds(10); ///< An order without a visible effect is sent again after this.
    Duration retryAfter = std::chrono::seconds(2);
    double partAtOnce = 1.0 / 3; ///< Part of a pool that may be out of service for orders.
    std::size_t loadsAtOnce = 4; ///< In the whole fleet: more would only wait for the weight store, out of service.
    bool asksWeightStore = false; ///< Whether the steward asks for loads; otherwise the engines do it themselves.
};

/// How far a target is with what it should have.
struct TargetProgress {
    TargetId target;
    bool reachable = false;
    bool done = false;
    std::string phase; ///< "idle", "asking", "granted", "ordering" or "confirming".
    std::string waitsFor; ///< Why nothing is done about it now; empty when nothing is in the way.
};

/// Counts since the start.
struct OrderCounts {
    std::uint64_t sent = 0;
    std::uint64_t repeated
        = 0; ///< Sent again because the state read back differed from an order that had been accepted.
    std::uint64_t superseded = 0;
    std::uint64_t failed = 0;
    std::uint64_t loadsRefused = 0;
};

/// Brings targets to the wanted model, version and role, under the lease.
class TargetOrders {
public:
    static std::unique_ptr<TargetOrders> make(const OrderSettings&);
    virtual ~TargetOrders() = default;

    /// A new configuration is in force.
    virtual void configure(const config::ConfigView&, TimePoint now) = 0;

    /// @param number that of the ReadState. @param state nullopt when the target did not answer.
    virtual void stateRead(
        const TargetId&, std::uint64_t number, const std::optional<ObservedState>& state, TimePoint now)
        = 0;
    virtual void loadGranted(const TargetId&, TimePoint now) = 0;

    /// @param wait time until it is worth asking again, for any target.
    virtual void loadRefused(const TargetId&, Duration wait, TimePoint now) = 0;
    virtual void orderAnswered(const TargetId&, OrderAnswer, TimePoint now) = 0;

    /// @param hold the lease; without it nothing is done, and what was under way is forgotten.
    /// @return what to do now.
    virtual std::vector<OrderAction> tick(const std::optional<LeaseHold>& hold, TimePoint now) = 0;

    virtual std::vector<TargetProgress> progress(TimePoint now) const = 0;
    virtual OrderCounts counts() const = 0;
};

} // namespace sagechute::steward
