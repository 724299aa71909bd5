#pragma once

/// @file
/// The requests that this router holds for its callers, and their order per customer.

#include <sagechute/Routing.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace sagechute::routing {

enum class RequestPhase {
    Waiting, ///< In its customer's queue here, offered nowhere.
    Offered, ///< The owner of a cell knows that it waits.
    Backoff, ///< Waits for its next attempt.
    Running, ///< An attempt at a target is under way.
    Forwarded, ///< The router that holds its session runs it.
    Attached, ///< Waits for the end of an earlier send of the same request.
};

/// Where a request's permission comes from: whom to tell of its end.
struct SlotSource {
    scheduling::CellId cell;
    VmId owner;
    bool local = false; ///< The fallback scheduler of this router.

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
    std::vector<SlotSource> offers; ///< Where it is offered, while Offered.
    SlotSource source; ///< Where its slot is from, while Running.
    TargetId target;
    std::string targetAddress;
    Cost charged = 0;
    Cost soFar = 0;
    TimePoint progressTold {};
    Cost soFarTold = 0;
    std::uint32_t attempt = 0; ///< Attempts begun.
    std::uint32_t resumes = 0;
    std::uint64_t relayed = 0; ///< Positions given to the caller.
    bool everSent = false; ///< A byte may have left for some target.
    bool callerGone = false;
    bool forwarding = false; ///< In a backoff: to be handed to the holder of its session again.
    TimePoint forwardUntil {}; ///< Tries to hand it over end then.
    std::vector<TargetId> avoid;
};

/// Owns the requests; queues hold serials.
class RequestTable {
public:
    Request& add(Request);
    Request* find(const RequestId&);
    Request* findSerial(std::uint64_t serial);
    void remove(const RequestId&);
    std::size_t size() const { return m_requests.size(); }

    /// The deadline bounds waiting only: it stops counting while an attempt runs and counts again in a backoff.
    void countDeadline(const Request&, bool counts);

    /// @return requests whose deadline is at or before @p now and that do not run.
    std::vector<std::uint64_t> pastDeadline(TimePoint now) const;
    /// @return requests whose backoff has ended.
    std::vector<std::uint64_t> backoffEnded(TimePoint now) const;
    std::vector<std::uint64_t> serials() const;

private:
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
};

} // namespace sagechute::routing
