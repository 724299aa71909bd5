#pragma once

/// @file
/// Keeps new work away from a target that has just failed, and lets it back after a pause.

#include <sagechute/Wire.h>

#include <map>
#include <vector>

namespace sagechute::routing {

/// Circuit breaker per target. Without it a target that refuses connections looks like the one with the most free
/// slots, and the owner would grant it everything that waits: a storm of retries while the other targets idle.
class TargetCircuitBreaker {
public:
    static constexpr Duration initialBlockTime = std::chrono::milliseconds(500);
    static constexpr Duration maxBlockTime = std::chrono::seconds(8);
    /// One broken answer can be the request's own fault; two in a row are the target's.
    static constexpr unsigned toleratedBrokenAnswers = 1;

    /// @return whether the target has to be kept from new work now.
    bool report(TimePoint now, const TargetId&, wire::TargetHealth);
    bool blocked(const TargetId&) const;

    /// @return targets whose pause has ended; they may be tried again.
    std::vector<TargetId> released(TimePoint now);

private:
    struct Record {
        unsigned failures = 0;
        unsigned trips = 0;
        bool blocked = false;
        TimePoint blockedUntil {};
    };
    std::map<TargetId, Record> m_records;
};

} // namespace sagechute::routing
