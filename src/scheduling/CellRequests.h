#pragma once

/// @file
/// Table of the requests of a cell: waiting, granted and running.

#include "scheduling/GapMeter.h"
#include "scheduling/TargetTable.h"

#include <absl/container/flat_hash_map.h>

namespace sagechute::scheduling {

/// Index of a request in its cell; reused after removal.
using RequestIndex = std::uint32_t;
inline constexpr RequestIndex kNoRequest = std::numeric_limits<RequestIndex>::max();

enum class RequestState : std::uint8_t {
    Waiting,
    Granted, ///< A slot is reserved until the grant expires.
    Running,
    Dropped, ///< Its router was dropped. Kept until the grant's expiry, in case the grant was used.
};

/// Index of a router incarnation that requests came from; reused after its last request is removed.
using OriginIndex = std::uint32_t;

struct Request {
    std::uint64_t serial = 0;
    std::uint64_t arrival = 0; ///< Sequence number of the first offer; kept when the request waits again.
    OriginIndex origin = 0;
    CustomerIndex customer = 0;
    RequestState state = RequestState::Waiting;
    /// Waits again after its grant expired; the router may have used that grant nevertheless.
    bool grantExpired = false;
    TargetIndex target = kNoTarget; ///< Target of the last grant.
    TargetHash targetHash = 0; ///< Hash of that target, to detect that its index was reused.
    Cost hint = 0;
    Cost estimate = 0; ///< Amount charged when the request was granted.
    Cost charged = 0; ///< Total charged so far.
    TimePoint deadline = TimePoint::max();
    TimePoint expires {}; ///< Expiry of the grant.
    std::vector<std::uint64_t> prefixes;
    std::vector<TargetHash> avoid; ///< Sorted.

    // Links in the customer's queue while waiting, or in the list of grants.
    RequestIndex previous = kNoRequest;
    RequestIndex next = kNoRequest;
};

/// Owns the requests. References are invalidated by create().
class CellRequests {
public:
    RequestIndex find(const RequestId&) const;
    RequestIndex create(const RequestId&);
    void remove(RequestIndex);
    RequestId id(RequestIndex) const;

    Request& operator[](RequestIndex r) { return m_requests[r]; }
    const Request& operator[](RequestIndex r) const { return m_requests[r]; }

    /// @return the requests of a router incarnation, ordered by serial number.
    std::vector<RequestIndex> requestsFrom(const RouterLife&) const;

private:
    struct Origin {
        RouterLife life;
        std::uint32_t requests = 0;
    };

    /// Identity within the cell. A third of the size of a RequestId, so that all keys fit into the CPU cache.
    struct Key {
        OriginIndex origin = 0;
        std::uint64_t serial = 0;
        auto operator<=>(const Key&) const = default;
    };

    struct KeyHash {
        std::size_t operator()(const Key& key) const { return (key.serial + key.origin) * 0x9E3779B97F4A7C15ULL; }
    };

    struct LifeHash {
        std::size_t operator()(const RouterLife& life) const
        {
            return std::hash<VmId> {}(life.vm) ^ life.incarnation * 0x9E3779B97F4A7C15ULL;
        }
    };

    OriginIndex acquireOrigin(const RouterLife&);
    void releaseOrigin(OriginIndex);

    std::vector<Request> m_requests;
    std::vector<RequestIndex> m_unusedIndices;
    absl::flat_hash_map<Key, RequestIndex, KeyHash> m_index;
    std::vector<Origin> m_origins;
    std::vector<OriginIndex> m_unusedOrigins;
    absl::flat_hash_map<RouterLife, OriginIndex, LifeHash> m_originIndex;
};

/// Intrusive doubly linked list of requests.
struct RequestList {
    RequestIndex first = kNoRequest;
    RequestIndex last = kNoRequest;

    bool empty() const { return first == kNoRequest; }
    void append(CellRequests&, RequestIndex);

    /// Inserts in order of arrival. Cheap near either end, where new requests and those that wait again belong.
    void insertByArrival(CellRequests&, RequestIndex);
    void remove(CellRequests&, RequestIndex);

private:
    void insertBefore(CellRequests&, RequestIndex, RequestIndex next);
};

} // namespace sagechute::scheduling
