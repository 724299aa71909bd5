#pragma once

/// @file
/// The requests that a cell knows: waiting, granted and running.

#include "scheduling/GapMeter.h"
#include "scheduling/TargetTable.h"

#include <absl/container/flat_hash_map.h>

namespace sagechute::scheduling {

/// Position of a request in its cell; reused.
using RequestIndex = std::uint32_t;
inline constexpr RequestIndex kNoRequest = std::numeric_limits<RequestIndex>::max();

enum class RequestState : std::uint8_t {
    Waiting,
    Granted, ///< A slot is held for it until the grant expires.
    Running,
    Dropped, ///< Its router was dropped; remembered until the grant would have expired, in case that it was used.
};

/// Position of a router life among those that requests came through; reused.
using OriginIndex = std::uint32_t;

struct Request {
    std::uint64_t serial = 0;
    std::uint64_t arrival = 0; ///< Its place among the offers; kept when it waits again.
    OriginIndex origin = 0;
    CustomerIndex customer = 0;
    RequestState state = RequestState::Waiting;
    bool lapsed = false; ///< Waits again after a grant that expired, which its router may have used all the same.
    TargetIndex target = kNoTarget; ///< Of the last grant.
    TargetHash targetHash = 0; ///< Of the same: by now the position may be another target's.
    Cost hint = 0;
    Cost estimate = 0; ///< Charged at the grant.
    Cost charged = 0; ///< By now.
    TimePoint deadline = TimePoint::max();
    TimePoint expires {}; ///< Its grant does.
    std::vector<std::uint64_t> prefixes;
    std::vector<TargetHash> avoid; ///< Sorted.

    // Neighbours in its customer's queue while it waits, or among the grants.
    RequestIndex previous = kNoRequest;
    RequestIndex next = kNoRequest;
};

/// Owns the requests. A reference to one is valid until the next create().
class CellRequests {
public:
    RequestIndex find(const RequestId&) const;
    RequestIndex create(const RequestId&);
    void remove(RequestIndex);
    RequestId id(RequestIndex) const;

    Request& operator[](RequestIndex r) { return m_requests[r]; }
    const Request& operator[](RequestIndex r) const { return m_requests[r]; }

    /// @return the requests that came through a router life, in the order of their serial numbers.
    std::vector<RequestIndex> from(const RouterLife&) const;

private:
    struct Origin {
        RouterLife life;
        std::uint32_t requests = 0;
    };

    /// Identity within the cell: a third of the size of a RequestId, and all keys together stay in the cache.
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

    OriginIndex enter(const RouterLife&);
    void leave(OriginIndex);

    std::vector<Request> m_requests;
    std::vector<RequestIndex> m_unused;
    absl::flat_hash_map<Key, RequestIndex, KeyHash> m_index;
    std::vector<Origin> m_origins;
    std::vector<OriginIndex> m_unusedOrigins;
    absl::flat_hash_map<RouterLife, OriginIndex, LifeHash> m_originIndex;
};

/// A list through the links of its requests.
struct RequestList {
    RequestIndex first = kNoRequest;
    RequestIndex last = kNoRequest;

    bool empty() const { return first == kNoRequest; }
    void append(CellRequests&, RequestIndex);

    /// Inserts by arrival; cheap near either end, where new requests and those that wait again belong.
    void insertByArrival(CellRequests&, RequestIndex);
    void remove(CellRequests&, RequestIndex);

private:
    void insertBefore(CellRequests&, RequestIndex, RequestIndex next);
};

} // namespace sagechute::scheduling
