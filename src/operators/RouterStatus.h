#pragma once

#include <sagechute/Core.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::operators {

/// How well a router is, in the words of the routers' status document, best first.
enum class MemberHealth { Alive, Suspect, Dead, Left };

std::string_view toString(MemberHealth);

/// What one router says about another, by gossip.
struct MemberStatus {
    VmId vm;
    MemberHealth health = MemberHealth::Alive;
    ZoneId zone;
    std::string callerAddress;
    LogOffset configOffset = 0;
    bool draining = false;
};

/// A customer in one pool, as one router knows it.
struct PoolCustomerStatus {
    CustomerId customer;
    Cost virtualService = 0;
    std::uint64_t waiting = 0;
};

/// A pool's cells that one router owns.
struct PoolStatus {
    PoolId pool;
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    std::uint64_t slots = 0;
    Cost gap = 0;
    Cost gapBound = 0;
    std::vector<PoolCustomerStatus> customers;
};

/// A router's answer to GET /v1/status.
struct RouterStatus {
    VmId vm;
    Incarnation incarnation = 0;
    ZoneId zone;
    LogOffset configOffset = 0;
    bool logReachable = false;
    bool draining = false;
    std::uint64_t load = 0;
    std::vector<MemberStatus> members;
    std::vector<PoolStatus> pools;
};

/// Reads a router's status. Fields that this release does not know are passed over, since releases run side by side
/// during an upgrade.
/// @return the status, or BadRequest naming the field.
absl::StatusOr<RouterStatus> parseRouterStatus(std::string_view body);

} // namespace sagechute::operators
