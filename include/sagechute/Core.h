#pragma once

/// @file
/// Value types shared by every library: identifiers, time, outcomes, typed errors and the CBOR helpers.

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute {

/// Resolution of every duration in the decision logic.
using Duration = std::chrono::microseconds;

/// Clock of the decision logic. It has no now(): the current time is always passed in, so that tests can set it.
struct CoreClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard names it.
};

/// A moment of the monotonic clock that the caller of the decision logic supplies.
using TimePoint = CoreClock::time_point;

/// @return the present moment of the machine's monotonic clock; for adapters only.
TimePoint steadyNow();

/// @return as steadyNow(), but of a clock that goes on while the VM is suspended. For the age of what is known: after a
///         suspension a router must not take it for new. Not to be mixed with moments of steadyNow().
TimePoint unsuspendedNow();

/// A string identifier that cannot be mixed up with one of another kind.
template <typename Tag> struct Id {
    std::string value;

    bool empty() const { return value.empty(); }
    auto operator<=>(const Id&) const = default;
};

using VmId = Id<struct VmTag>;
using ZoneId = Id<struct ZoneTag>;
using CustomerId = Id<struct CustomerTag>;
using ServiceId = Id<struct ServiceTag>;
using PoolId = Id<struct PoolTag>;
using TargetId = Id<struct TargetTag>;

/// Number of a process's life on its VM. A later start has a larger one.
using Incarnation = std::uint64_t;

/// Position of a record in the platform's log.
using LogOffset = std::uint64_t;

/// One life of one router: the part of a VM's identity that a restart changes.
struct RouterLife {
    VmId vm;
    Incarnation incarnation = 0;

    auto operator<=>(const RouterLife&) const = default;
};

/// Identity of a request, unique in the fleet: the router life that took it and a serial number in that life.
struct RequestId {
    RouterLife origin;
    std::uint64_t serial = 0;

    auto operator<=>(const RequestId&) const = default;
};

/// @return the text form "vm.incarnation.serial" used in headers, logs and answers.
std::string toString(const RequestId&);

/// @param text a text made by toString(RequestId).
/// @return the identity, or InvalidArgument when the text has another form.
absl::StatusOr<RequestId> parseRequestId(std::string_view text);

/// Amount of service in a pool's own cost unit (weighted tokens, or the cost an application reports).
using Cost = double;

/// What a caller is told about the end of its request.
enum class Outcome {
    Completed, ///< The whole answer was delivered.
    NotRun, ///< No byte of the request left for a target; it is certain that it did not run.
    Unknown, ///< The request may have run; its answer is not available.
    Incomplete, ///< Part of the answer was delivered and the rest cannot be had.
};

/// @return the header value of an outcome: "completed", "not-run", "unknown" or "incomplete".
std::string_view toString(Outcome);

/// Kinds of error that callers and operators can tell apart.
enum class ErrorKind {
    BadRequest,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    TooManyRequests,
    QueueFull,
    DeadlineExceeded,
    Draining,
    CutOff,
    NoTarget,
    TargetFailed,
    OutcomeLost,
    LogUnavailable,
    RetentionExceeded,
    Internal,
};

/// @return the stable machine-readable name of a kind, such as "queue-full".
std::string_view toString(ErrorKind);

/// @return the HTTP status that carries a kind.
int httpStatus(ErrorKind);

/// Builds an error whose message says what happened and whose remedy says what the reader can do about it.
/// @param kind what went wrong, in a form that programs can test.
/// @param message what happened, one sentence without a full stop.
/// @param remedy what to do next, one sentence without a full stop; never empty.
/// @return a status that is never OK; read the parts with errorKind(), and errorRemedy().
absl::Status makeError(ErrorKind kind, std::string_view message, std::string_view remedy);

/// @return the kind of an error made by makeError(), or Internal for any other error status.
ErrorKind errorKind(const absl::Status&);

/// @return the remedy of an error made by makeError(), or an empty text.
std::string errorRemedy(const absl::Status&);

/// @return the JSON document of an error: {"kind", "message", "remedy"}.
nlohmann::json errorDocument(const absl::Status&);

/// Parses JSON strictly: UTF-8 only, nesting at most @p maxDepth, no duplicate names, nothing after the document.
/// @return the document, or BadRequest naming the position.
absl::StatusOr<nlohmann::json> parseJsonStrictly(std::string_view text, int maxDepth = 32);

/// Decodes CBOR strictly: one item, nothing after it, nesting at most @p maxDepth.
/// @return the item, or BadRequest.
absl::StatusOr<nlohmann::json> decodeCbor(std::string_view bytes, int maxDepth = 16);

/// @return the CBOR encoding of @p item.
std::string encodeCbor(const nlohmann::json& item);

/// @return the 64-bit xxHash of @p bytes; stable across processes and releases.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Source of random numbers; a port, so that tests fix the sequence.
class Random {
public:
    virtual ~Random() = default;

    /// @return a uniformly distributed 64-bit number.
    std::uint64_t next() { return onNext(); }

    /// @return a uniformly distributed number in [0, 1).
    double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// @param bound exclusive upper end, at least 1.
    /// @return a number in [0, bound).
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
    virtual std::uint64_t onNext() = 0;
};

/// Repeatable generator (splitmix64) for tests, jitter and load; not for secrets.
class SeededRandom final : public Random {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }

private:
    std::uint64_t onNext() override;

    std::uint64_t m_state;
};

} // namespace sagechute

template <typename Tag> struct std::hash<sagechute::Id<Tag>> {
    std::size_t operator()(const sagechute::Id<Tag>& id) const noexcept { return std::hash<std::string> {}(id.value); }
};

template <> struct std::hash<sagechute::RequestId> {
    std::size_t operator()(const sagechute::RequestId& id) const noexcept
    {
        return std::hash<std::string> {}(id.origin.vm.value) ^ (id.serial * 0x9E3779B97F4A7C15ULL)
            ^ id.origin.incarnation;
    }
};
