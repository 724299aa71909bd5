#pragma once

/// @file
/// Declared resources, their strict checks, and the change protocol over the platform's log. Decision logic without
/// I/O; the log is a port.

#include <sagechute/Core.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::config {

/// Kinds of declared resources.
enum class Kind { Customer, Service, Target, Fleet, Vm };

absl::StatusOr<Kind> parseKind(std::string_view text);
std::string_view toString(Kind);

/// How a pool's targets speak.
enum class TargetMode { Engine, Application };

/// A customer's digest of its key: hex(salt) and hex(digest). Keys themselves are never kept.
struct KeyDigest {
    std::string salt;
    std::string digest;

    bool operator==(const KeyDigest&) const = default;
};

/// @param salt hex text, fresh for each key.
/// @return the salted digest of a key.
KeyDigest digestKey(std::string_view key, std::string_view salt);

/// @return the first 12 hex digits of the unsalted key hash: finds a customer, proves nothing.
std::string keyIdOf(std::string_view key);

/// Compares in constant time.
bool keyMatches(std::string_view key, const KeyDigest&);

struct Customer {
    CustomerId name;
    double weight = 1;
    std::string keyId; ///< First 12 hex digits of the unsalted key hash: finds the customer, proves nothing.
    KeyDigest key;
    std::uint32_t maxQueued = 1000; ///< Waiting requests in one router.
    std::uint64_t maxQueuedBytes = 64 << 20;
    std::uint32_t maxConnections = 256; ///< Open requests in one router.
};

struct Service {
    ServiceId name;
    PoolId pool;
    TargetMode mode = TargetMode::Engine;
    bool repeatable = true; ///< Default for requests that do not say.
    std::chrono::milliseconds tokenGapLimit { 5000 }; ///< A stream silent for longer, and for 3 s at least, is broken.
    std::chrono::milliseconds answerLimit { 60000 }; ///< Longest run of one request.
};

enum class TargetState { Serving, Leaving };

struct Target {
    TargetId name;
    PoolId pool;
    ZoneId zone;
    std::string address; ///< "ADDRESS:PORT".
    TargetMode mode = TargetMode::Engine;
    std::uint32_t slots = 1;
    bool checksFencing = false;
    TargetState state = TargetState::Serving;
    std::string model; ///< Wanted model, empty when orders are not used.
    std::string version; ///< Wanted version.
    std::string role; ///< Wanted role.
};

/// Settings of the whole fleet; one resource named "fleet".
struct Fleet {
    std::uint32_t cellsPerPool = 0; ///< 0: as many as there are routers, at most the pool's targets.
    std::chrono::milliseconds locateKeep { 5000 }; ///< How long callers keep an answer to "which address".
    double affinitySlack = 0.25;
    double retryBudget = 0.1; ///< Retries as a part of first attempts.
};

/// A VM of the fleet, as far as operators declare something about it.
struct Vm {
    VmId name;
    bool drain = false;
};

/// Configuration in force at one offset. Immutable once published; read without locks.
struct ConfigView {
    LogOffset offset = 0; ///< Every record up to this offset has been applied.
    std::vector<Customer> customers; ///< Each list is sorted by name.
    std::vector<Service> services;
    std::vector<Target> targets;
    std::vector<Vm> vms;
    Fleet fleet;
    /// Positions in customers in order of keyId; a view built by hand may leave it empty, which only makes
    /// customerByKey() slower.
    std::vector<std::uint32_t> customersByKeyId;

    const Customer* findCustomer(const CustomerId&) const;
    const Customer* customerByKey(std::string_view key) const; ///< Checks the key; nullptr when it is nobody's.
    const Service* findService(const ServiceId&) const;
    const Target* findTarget(const TargetId&) const;
    const Vm* findVm(const VmId&) const;
    std::vector<const Target*> targetsOf(const PoolId&) const;
    std::vector<PoolId> pools() const;
};

/// One record of the log.
struct LogRecord {
    LogOffset offset = 0;
    std::string data;
};

/// What a read of the log returned.
struct LogBatch {
    LogOffset first = 0; ///< Oldest record kept.
    LogOffset next = 0; ///< Offset that the next record will get.
    std::vector<LogRecord> records;
};

/// Makes the error of a log call that failed.
/// @param mayHaveBeenTaken whether an append may nevertheless have taken effect.
absl::Status logUnavailable(std::string_view message, bool mayHaveBeenTaken);

/// @return whether an append may have taken effect though it ended with this error; false only when that is certainly
/// not so.
bool mayHaveBeenTaken(const absl::Status&);

/// The platform's log as the product needs it: a port. Calls may block and may come from several threads; the offsets
/// of a stream start at 1 and leave no hole. Errors are LogUnavailable (see mayHaveBeenTaken()), or TooLarge/BadRequest
/// for a record that the log refuses.
class LogPort {
public:
    virtual ~LogPort() = default;

    /// @return the offset of the record. On LogUnavailable the record may nevertheless have been taken.
    absl::StatusOr<LogOffset> append(std::string_view stream, std::string_view record)
    {
        return onAppend(stream, record);
    }

    /// A read from before the oldest record kept gives no records, and `first` greater than @p from. One from beyond
    /// the end gives no records, and `next` not greater than @p from. A batch may hold fewer records than there are:
    /// read on from the last one.
    /// @param wait how long to wait for a first record when there is none yet.
    absl::StatusOr<LogBatch> read(std::string_view stream, LogOffset from, std::chrono::milliseconds wait)
    {
        return onRead(stream, from, wait);
    }

private:
    virtual absl::StatusOr<LogOffset> onAppend(std::string_view stream, std::string_view record) = 0;
    virtual absl::StatusOr<LogBatch> onRead(std::string_view stream, LogOffset from, std::chrono::milliseconds wait)
        = 0;
};

inline constexpr std::string_view configStream = "config";
inline constexpr std::string_view snapshotStream = "snapshots";
inline constexpr std::string_view leaseStream = "leases";

/// How the log's order judged a change; the same at every reader.
enum class Verdict {
    Accepted,
    Conflict, ///< Another change came first, or it breaks a reference.
    Duplicate, ///< The change's id was seen at an earlier offset.
    Invalid, ///< The record cannot be read as a change.
};

std::string_view toString(Verdict);

/// A wish to change one resource.
struct Change {
    std::string id; ///< Chosen by whoever asks; the same for all tries of one change.
    Kind kind = Kind::Customer;
    std::string name;
    LogOffset expected = 0; ///< Version of the resource that the change was made from; 0: it must not exist.
    /// How far the log had been read when the change was first submitted; ChangeWriter fills it in when it is 0. A
    /// record that lands more than ReplicaLimits::rememberedChanges after it is refused: a later repeat could no longer
    /// be told from a new change.
    LogOffset base = 0;
    std::optional<nlohmann::json> spec; ///< Absent: delete.
    std::string operatorName;
    std::string from; ///< Address that it came from.
    std::string at; ///< RFC 3339 time, for people only.
};

/// One line of the audit trail; never holds a key.
struct AuditEntry {
    LogOffset offset = 0;
    std::string changeId;
    std::string operatorName;
    std::string from;
    std::string at;
    std::string action; ///< "put", "delete", "denied", "refused".
    std::string resource; ///< "customer/tellers".
    std::string difference; ///< What differed, in words: "weight 1 -> 2".
    std::string verdict;
    std::string reason;
};

/// A declared resource with its version.
struct Resource {
    Kind kind = Kind::Customer;
    std::string name;
    LogOffset version = 0; ///< Offset of the change that made it so.
    nlohmann::json spec;
};

/// What came of one record.
struct Applied {
    LogOffset offset = 0;
    Verdict verdict = Verdict::Invalid;
    std::string changeId;
    Kind kind = Kind::Customer;
    std::string name;
    bool deleted = false;
    std::string reason;
    std::uint64_t fingerprint = 0; ///< Hash of what was asked: tells an id that is used again for something else.
};

/// Bounds of a replica's memory. Verdicts depend on the first two, so all readers of one log need the same.
struct ReplicaLimits {
    std::size_t rememberedChanges
        = 4096; ///< A change's id is known for this many records: four days at 1,000 changes a day.
    std::size_t auditLines = 1000;
    std::size_t heldRecordBytes = 4 << 20; ///< Latest records kept for peers.
};

/// The state that all readers of the log agree on. Every reader applies the same verdict at the same offset.
/// Safe to use from several threads.
class ConfigReplica {
public:
    static std::unique_ptr<ConfigReplica> make(const ReplicaLimits& = {});
    virtual ~ConfigReplica() = default;

    /// Applies records in order. Those at or below offset() are skipped; at a gap it stops and applies nothing more.
    /// @return what came of each change among them; lines that only belong to the audit trail are not listed.
    virtual std::vector<Applied> apply(const std::vector<LogRecord>&) = 0;

    /// @return offset of the last record applied, 0 for none; offsets start at 1.
    virtual LogOffset offset() const = 0;

    /// @return the immutable view for the present offset; the same object until something changes.
    virtual std::shared_ptr<const ConfigView> view() const = 0;

    /// @return a document from which another reader can start; names the offset that it covers. Equal at all readers of
    /// that offset.
    virtual std::string snapshot() const = 0;

    /// Takes over a snapshot that covers more than this replica has applied; an older one changes nothing.
    /// @return whether it was taken over, or BadRequest when it cannot be read.
    virtual absl::StatusOr<bool> adopt(std::string_view snapshot) = 0;

    /// @return the offset that @p snapshot covers, without taking it over; BadRequest when adopt() could not read it.
    virtual absl::StatusOr<LogOffset> offsetOf(std::string_view snapshot) const = 0;

    /// @return the records after @p offset in order, as many as fit @p mostBytes but at least one when there is one,
    /// for a peer; nullopt when the record after @p offset is no longer held: give the peer a snapshot instead.
    virtual std::optional<std::vector<LogRecord>> recordsAfter(LogOffset offset, std::size_t mostBytes) const = 0;

    /// @return resources in order of name. The fleet's settings are always there, with version 0 until somebody sets
    /// them.
    virtual std::vector<Resource> list(Kind) const = 0;
    virtual std::optional<Resource> find(Kind, std::string_view name) const = 0;

    /// @return the latest audit lines, newest first.
    virtual std::vector<AuditEntry> audit(std::size_t most) const = 0;

    /// @return what came of a change, by its id, when it is known.
    virtual std::optional<Applied> outcomeOf(std::string_view changeId) const = 0;

    /// @return OK when the change would be accepted now: its spec is well-formed, its references hold, its version is
    /// right.
    virtual absl::Status tryOut(const Change&) const = 0;
};

/// Checks a spec strictly and brings it into its canonical form (defaults filled in, a plain "key" replaced by keyId
/// and digest). A customer's spec without any key field keeps the key that the customer has; a new customer needs one.
/// @param salt used when a plain key is given.
/// @return the canonical spec, or BadRequest naming the field's path and the remedy.
absl::StatusOr<nlohmann::json> canonicalSpec(
    Kind, std::string_view name, const nlohmann::json& spec, std::string_view salt);

/// @return the log record of a change.
std::string encodeChange(const Change&);

/// @return the log record that only adds a line to the audit trail.
std::string encodeAudit(const AuditEntry&);

/// What a reader of the log was just told; never empty.
struct FollowNews {
    bool jumped
        = false; ///< A snapshot was taken over: what happened in between is not listed, look at the whole state.
    std::vector<Applied> applied;
};

/// Keeps a replica up to date: from the newest readable snapshot in the log, then record by record, and from peers.
/// Used alike by router, API and steward. Safe to use from several threads; give poll() a thread of its own.
class LogFollower {
public:
    /// Called for every step of the replica, in order, on whichever thread made the step; it must not call the follower
    /// back.
    using Listener = std::function<void(const FollowNews&)>;

    /// @param log outlives the follower, as does @p replica.
    static std::unique_ptr<LogFollower> make(LogPort& log, ConfigReplica& replica, Listener listener = {});
    virtual ~LogFollower() = default;

    /// Reads until the replica has applied all that the log holds; waits up to @p wait for a first new record.
    /// @return OK when the log answered and the replica stands at its end: the reader is fresh at this moment.
    /// LogUnavailable: ask again later. RetentionExceeded: the records in between are gone and no snapshot in the log
    /// covers them: a peer's is needed. Internal: the log is shorter than what was read from it before.
    virtual absl::Status poll(std::chrono::milliseconds wait) = 0;

    /// poll() without waiting, for ChangeWriter's readUpTo.
    absl::Status readToEnd() { return poll(std::chrono::milliseconds::zero()); }

    /// Takes in records or a snapshot that a peer sent.
    /// @return whether the replica moved on.
    virtual bool takeRecords(const std::vector<LogRecord>&) = 0;
    virtual absl::StatusOr<bool> takeSnapshot(std::string_view snapshot) = 0;

    /// @return the end of the log as the latest successful read told it: the replica lags by logEnd() - offset(); 0
    /// before any read.
    virtual LogOffset logEnd() const = 0;

    /// @return the oldest offset that the log kept at the latest successful read, 0 before any.
    virtual LogOffset logFirst() const = 0;
};

/// A snapshot found in the log.
struct FoundSnapshot {
    LogOffset at = 0; ///< Its place in the snapshot stream.
    LogOffset covers = 0; ///< The offset of the configuration stream that it covers.
    std::string text;
};

/// Looks through the newest records of the snapshot stream for the readable snapshot that covers most, which is not
/// always the last one.
/// @param reader tells what is readable.
/// @param more only one that covers more than this is looked for, if need be in older records too.
/// @return the snapshot, nullopt when there is none, or LogUnavailable.
absl::StatusOr<std::optional<FoundSnapshot>> newestSnapshot(
    LogPort& log, const ConfigReplica& reader, LogOffset more = 0);

/// Appends a change and finds out what became of it, through lost replies: it looks for the id in the log before
/// appending again.
class ChangeWriter {
public:
    /// @param log outlives the writer. @param replica is kept up to date by whoever reads the log; consulted for
    /// outcomes.
    /// @param readUpTo blocks until the replica has applied all that the log holds now, or gives LogUnavailable.
    static std::unique_ptr<ChangeWriter> make(
        LogPort& log, const ConfigReplica& replica, std::function<absl::Status()> readUpTo);
    virtual ~ChangeWriter() = default;

    /// Tries a bounded number of times; each try first makes sure that no earlier one was taken. May be called from
    /// several threads.
    /// @return what came of the change once it has been read back. LogUnavailable: mayHaveBeenTaken() and the message
    /// say whether it may have been taken, and the remedy which change id to ask for. BadRequest when the id or the
    /// spec is not fit for the log.
    virtual absl::StatusOr<Applied> submit(const Change&) = 0;
};

/// A field of a resource, for `explain` and for the operators' pages.
struct FieldHelp {
    std::string name;
    std::string type;
    std::string unit;
    std::string defaultValue;
    std::string meaning;
};
std::vector<FieldHelp> explain(Kind);

} // namespace sagechute::config
