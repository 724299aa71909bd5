#pragma once

#include "operators/RouterStatus.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::operators {

/// What one poll of one router gave.
struct PollResult {
    std::string address; ///< "ADDRESS:PORT" that was asked.
    absl::StatusOr<RouterStatus> status;
};

/// A router that has not yet put a change in force.
struct LaggingRouter {
    VmId vm;
    LogOffset offset = 0;
    std::string why;
};

/// How far a change has got.
struct Progress {
    std::size_t inForce = 0;
    std::size_t routers = 0;
    std::vector<LaggingRouter> lagging;

    bool everywhere() const { return routers > 0 && inForce == routers; }
};

/// A router as far as it is known.
struct RouterView {
    VmId vm;
    ZoneId zone;
    std::string address;
    MemberHealth health = MemberHealth::Alive;
    bool draining = false;
    LogOffset offset = 0;
    std::optional<RouterStatus> direct; ///< Its own latest answer.
    TimePoint answered {}; ///< When @ref direct arrived.
    std::string fault; ///< Why it did not answer the last time it was asked, empty when it did.

    /// @return whether a change has to be in force there before it is in force everywhere.
    bool counts() const { return health == MemberHealth::Alive || health == MemberHealth::Suspect; }
};

/// A customer's part in a pool, over all routers.
struct CustomerPart {
    CustomerId customer;
    Cost virtualService = 0;
    std::uint64_t waiting = 0;
    Cost recentService = 0; ///< Growth of the virtual service over the recent past.
};

/// A pool over all routers.
struct PoolPicture {
    PoolId pool;
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    std::uint64_t slots = 0;
    Cost gap = 0;
    Cost gapBound = 0;
    std::vector<CustomerPart> customers; ///< Sorted by name.
};

/// The fleet as the polls of its routers show it. Nothing of it is kept over a restart: the next poll shows it again.
class FleetPicture {
public:
    /// Takes in the results of one poll.
    void absorb(TimePoint now, const std::vector<PollResult>&);

    /// @return how far the configuration up to @p offset is in force.
    Progress progress(LogOffset offset) const;

    const std::map<VmId, RouterView>& routers() const { return m_routers; }

    /// @return pools in order of name.
    std::vector<PoolPicture> pools() const;

    /// @return addresses of routers to ask, without those known to be gone.
    std::vector<std::string> addresses() const;

    /// @return when a router last answered, if ever.
    std::optional<TimePoint> asOf() const { return m_asOf; }

private:
    struct ServiceSample {
        TimePoint at {};
        std::map<PoolId, std::map<CustomerId, Cost>> service;
    };

    void absorbMembers(const std::vector<PollResult>&);
    void absorbAnswers(TimePoint now, const std::vector<PollResult>&);
    void absorbFaults(const std::vector<PollResult>&);
    void sampleService(TimePoint now);
    std::vector<PoolPicture> sumPools() const;
    std::string whyLagging(const RouterView&) const;

    std::map<VmId, RouterView> m_routers;
    std::vector<ServiceSample> m_samples; ///< Oldest first.
    std::optional<TimePoint> m_asOf;
};

} // namespace sagechute::operators
