#pragma once

/// @file
/// What one router hands to another that knows less of the store.

#include "EdgeState.h"

namespace sagechute::edge {

/// What the asking router knows already.
struct PeerStateRequest {
    std::uint64_t configVersion = 0;
    std::optional<LogOffset> targetsNext; ///< Absent: it knows no targets.
};

struct PeerState {
    news::ToldKnowledge knowledge; ///< Of the router that answers, as it answers.
    std::optional<news::ConfigRecord> config; ///< Absent: nothing newer than what the asking router knows.
    bool hasAllTargets = false; ///< All targets, not only changes.
    std::vector<news::TargetChange> targets;
};

/// Path of the state on a router's control listener.
inline constexpr const char* peerStatePath = "/v1/fleet-state";

/// @return path and query of the request.
std::string pathFor(const PeerStateRequest&);

/// @return what the asking router knows; what can't be read counts as not known.
PeerStateRequest decodePeerStateRequest(const std::vector<net::Field>& query);

/// @return what the asking router lacks.
PeerState peerStateFor(const EdgeState&, const PeerStateRequest&);

std::string encode(const PeerState&);
absl::StatusOr<PeerState> decodePeerState(std::string_view);

} // namespace sagechute::edge
