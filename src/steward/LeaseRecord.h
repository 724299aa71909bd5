#pragma once

#include <sagechute/Core.h>

namespace sagechute::steward {

enum class LeaseVerb { Acquire, Renew, Release };

/// A record in the lease stream.
struct LeaseRecord {
    LeaseVerb verb = LeaseVerb::Acquire;
    std::string holder;
    std::uint64_t serial = 0; ///< Sequence number assigned by the holder.
    LogOffset fencing = 0; ///< Offset of the acquire record; 0 in the acquire record itself.
    LogOffset readUpTo = 0; ///< The writer had read the stream up to and including this offset.
    Duration term {}; ///< Time without a record from the holder after which others may try to acquire.
};

std::string encodeLease(const LeaseRecord&);

/// @return the record, or BadRequest.
absl::StatusOr<LeaseRecord> decodeLease(std::string_view data);

} // namespace sagechute::steward
