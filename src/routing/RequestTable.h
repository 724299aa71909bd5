#pragma once

/// @file
/// The requests that this router holds for its callers.

#include <sagechute/Routing.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace sagechute::routing {

enum class RequestPhase {
    Waiting, ///< In its customer's queue here, not offered to any cell.
    Offered, ///< Offered to the owner of at least one cell.
    Backoff, ///< Waiting for its next attempt.
    Running, ///< An attempt at a target is in progress.
    Forwarded, ///< Being run by the router that holds its session.
    Coalesced, ///< Waiting for the end of an earlier send of the same request.
};

/// The source of a request's slot, which has to be told when the request ends.
struct SlotSource {
    scheduling::CellId cell;
    VmId owner;
    bool local = false; ///< The slot is from this router's fallback scheduler.

    bool operator==(const SlotSource&) const = default;
};

struct Request {
    RequestId id;
    RequestArrived arrival;
    PoolId pool;
    config::TargetMode mode = config::TargetMode::Engine;
    bool repeatable = true;
    RequestPhase phase = RequestPhase::Waiting;
    std::optional<TimePoint> deadline;
    TimePoint offeredSince {};
    TimePoint retryAt {};
    std::vector<SlotSource> offers; ///< Where the request is offered; used in the phase Offered.
    SlotSource source; ///< The source of its slot; used in the phase Running.
    TargetId target;
    std::string targetAddress;
    Cost charged = 0;
    Cost soFar = 0;
    TimePoint progressReportedAt {};
    Cost soFarReported = 0;
    std::uint32_t attempt = 0; ///< Number of attempts started.
    std::uint32_t resumes = 0;
    std::uint64_t relayedPositions = 0; ///< Stream positions relayed to the caller.
    bool mayHaveBeenSent = false; ///< A byte may have been sent to some target.
    bool callerGone = false;
    bool retryForward = false; ///< In a backoff: forward again to the holder of the session.
    TimePoint forwardDeadline {}; ///< When forwarding is no longer retried.
    std::vector<TargetId> avoid;
};

/// Owns the requests, keyed by serial number; queues refer to them by serial.
class RequestTable {
public:
    Request& add(Request);
    Request* find(const RequestId&);
    Request* findSerial(std::uint64_t serial);
    void remove(const RequestId&);
    std::size_t size() const { return m_requests.size(); }

    /// The deadline limits waiting only: it is suspended during an attempt and applies again in a backoff.
    void setDeadlineActive(const Request&, bool active);

    /// @return requests that are not running and whose deadline is at or before @p now.
    std::vector<std::uint64_t> pastDeadline(TimePoint now) const;
    /// @return requests whose backoff has ended.
    std::vector<std::uint64_t> backoffEnded(TimePoint now) const;
    std::vector<std::uint64_t> serials() const;

private:
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
};

} // namespace sagechute::routing
