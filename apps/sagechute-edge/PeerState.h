#pragma once

/// @file
/// The state that a router sends to one with older knowledge of the store.

#include "EdgeState.h"

namespace sagechute::edge {

/// What the requesting router already has.
struct PeerStateRequest {
    std::uint64_t configVersion = 0;
    std::optional<news::LogPosition> targetsNext; ///< Absent: it has no targets.
};

struct PeerState {
    news::ToldKnowledge knowledge; ///< Of the responding router, at the time of its response.
    std::optional<news::ConfigRecord> config; ///< Absent: the requesting router has the newest.
    bool hasAllTargets = false; ///< Whether this is the full list, not only changes.
    std::vector<news::TargetChange> targets;

    /// All evacuated zones; complete up to the operatorNext of the knowledge. Empty from a release without evacuations,
    /// whose operatorNext has offset 0.
    std::vector<news::ZoneChange> evacuatedZones;
};

/// Path of the state on a router's control listener.
inline constexpr const char* peerStatePath = "/v1/fleet-state";

/// @return path and query of the request.
std::string peerStatePathFor(const PeerStateRequest&);

/// @return what the requesting router has; a number that cannot be parsed counts as absent.
PeerStateRequest decodePeerStateRequest(const std::vector<net::Field>& query);

/// @return the state that the requesting router lacks.
PeerState makePeerState(const EdgeState&, const PeerStateRequest&);

std::string encode(const PeerState&);
absl::StatusOr<PeerState> decodePeerState(std::string_view);

} // namespace sagechute::edge
