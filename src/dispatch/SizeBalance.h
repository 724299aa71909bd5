#pragma once

/// @file
/// Balances admission between small and large requests.

#include <sagechute/Dispatch.h>

#include <array>

namespace sagechute::dispatch {

/// Keeps large requests of a route from being refused far more often than small ones.
///
/// When more requests arrive than the engines can prefill, for seconds, the queues fill up to the longest wait that any
/// request allows. Small requests allow the longest wait, as their prefill takes little of their goal. Large requests
/// always find the queues too long and are not served until the load falls.
///
/// Size classes are defined by tokens relative to the route's mean, so that they depend neither on the speed of the
/// engines nor on what these have cached. Counts decay with a half-life of a few seconds.
class SizeBalance {
public:
    /// A request was admitted or refused. @param wait its predicted queueing delay.
    void recordDecision(TimePoint now, double tokens, Duration wait, bool isAdmitted);

    /// Admission rate of a size class relative to all requests of the route.
    enum class Standing {
        Proportional,
        Underserved, ///< Far lower than that of all requests.
        Starved, ///< About half of it, or less.
    };

    Standing standing(double tokens) const;

    /// @return mean size of the route's requests.
    double meanTokens() const { return m_all.requested > 0 ? m_tokens / m_all.requested : 0; }

    /// @return mean predicted queueing delay of the route's admitted requests.
    Duration meanAdmittedWait() const;

private:
    struct Counts {
        double requested = 0;
        double admitted = 0;
    };

    static constexpr std::size_t classCount = 5;

    std::size_t sizeClassOf(double tokens) const;
    void decay(TimePoint now);

    std::array<Counts, classCount> m_classes {};
    Counts m_all;
    double m_tokens = 0; ///< Sum over m_all.asked.
    double m_waitSeconds = 0; ///< Sum over m_all.taken.
    std::optional<TimePoint> m_decayedAt;
};

} // namespace sagechute::dispatch
