#pragma once

/// @file
/// What one router tells another that can't reach the store.

#include "EdgeState.h"

namespace sagechute::edge {

struct PeerState {
    std::optional<ConfigRecord> config;
    LogOffset nextTargetOffset = 0;
    std::vector<ListedTarget> targets;
};

/// Path of the state on a router's control listener.
inline constexpr const char* peerStatePath = "/v1/fleet-state";

std::string encode(const PeerState&);
absl::StatusOr<PeerState> decodePeerState(std::string_view);

} // namespace sagechute::edge
