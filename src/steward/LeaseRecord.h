#pragma once

#include <sagechute/Core.h>

namespace sagechute::steward {

enum class LeaseVerb { Acquire, Renew, Release };

/// A record of the lease stream.
struct LeaseRecord {
    LeaseVerb verb = LeaseVerb::Acquire;
    std::string holder;
    std::uint64_t serial = 0; ///< The holder's own number of the record.
    LogOffset fencing = 0; ///< Offset of the acquiring record; 0 in that record itself.
    LogOffset seen = 0; ///< The writer had read all records up to this offset.
    Duration term {}; ///< How long others must hear nothing before they may try.
};

std::string encodeLease(const LeaseRecord&);

/// @return the record, or BadRequest.
absl::StatusOr<LeaseRecord> decodeLease(std::string_view data);

} // namespace sagechute::steward
