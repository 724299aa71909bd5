#pragma once

/// @file
/// Percentiles, the fairness gap and the utilisation, from what the callers and the target stand-ins saw.

#include <sagechute/Core.h>

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace sagechute::load {

/// Keeps every value; runs are bounded, so this stays small and the percentiles exact.
class Percentiles {
public:
    void add(Duration value) { m_values.push_back(value); }
    void add(const Percentiles& other)
    {
        m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end());
    }
    std::size_t count() const { return m_values.size(); }

    /// @param share in [0, 1], 0.95 for the 95th percentile (nearest rank).
    /// @return the value, or nullopt when there is none.
    std::optional<Duration> at(double share) const;

private:
    std::vector<Duration> m_values;
};

/// One customer in one pool at one sample.
struct CustomerSample {
    CustomerId customer;
    double weight = 1;
    Cost service = 0; ///< Service received so far, as the targets count it.
    unsigned leastWaiting = 0; ///< The fewest requests that waited at any moment since the sample before.
};

/// One pool at one sample.
struct PoolSample {
    TimePoint time;
    std::vector<CustomerSample> customers;
    double busySlotSeconds = 0; ///< Gained since the sample before, over the targets that answered both samples.
    double slotSeconds = 0; ///< Offered since the sample before by those targets.
};

/// Measures one pool.
///
/// A customer is backlogged in an interval between two samples when at least one of its requests waited at every moment
/// of it: the least number outstanding by the callers' own count, less the larger of the numbers that the targets were
/// running for it at the two ends, is at least 1. For two customers i and j that stay backlogged over consecutive
/// intervals, with S the service received as the targets count it and w the weight, let
///     D(t) = (S_i(t) - S_i(t0)) / w_i - (S_j(t) - S_j(t0)) / w_j
/// where t0 is the first sample since which both are backlogged. The gap is the largest |D(t)| over all samples t and
/// pairs; the gap over any interval is the largest D(t) - D(s) with t0 <= s <= t, and never smaller.
/// The unit is the pool's cost unit per weight. Samples of several targets are a few ms apart, which adds at most the
/// service of those few ms.
///
/// Utilisation is busy slot time over offered slot time in the intervals in which some request of the pool waited
/// throughout; what is missing from the whole is the idle time while work waited. No more slots count as idle than
/// requests waited: when the last of a load waits behind a long answer, the other slots have nothing to run.
class PoolMeter {
public:
    void sample(const PoolSample&);

    Cost gap() const { return m_gap; }
    Cost gapOverAnyInterval() const { return m_gapOverAnyInterval; }
    double busySlotSecondsWhileWaiting() const { return m_busySlotSeconds; }
    double slotSecondsWhileWaiting() const { return m_slotSeconds; }
    double idleSlotSecondsWhileWaiting() const { return m_slotSeconds - m_busySlotSeconds; }

    /// @return how long any pair of customers was backlogged together; a gap measured over no time says nothing.
    Duration pairBackloggedTime() const { return m_pairTime; }

    /// @return the pair that gave gap(), for the reader of a report.
    const std::string& worstPair() const { return m_worstPair; }

private:
    struct PairState {
        Cost startOfFirst = 0;
        Cost startOfSecond = 0;
        Cost least = 0;
        Cost most = 0;
    };
    struct PairKey {
        CustomerId first;
        CustomerId second;
        bool operator<(const PairKey& other) const
        {
            return std::tie(first, second) < std::tie(other.first, other.second);
        }
    };

    void measurePair(const CustomerSample&, const CustomerSample&);

    std::map<CustomerId, Cost> m_lastService; ///< At the sample before.
    std::map<PairKey, PairState> m_pairs; ///< Those backlogged together now.
    std::optional<TimePoint> m_lastTime;
    std::string m_worstPair;
    Cost m_gap = 0;
    Cost m_gapOverAnyInterval = 0;
    double m_busySlotSeconds = 0;
    double m_slotSeconds = 0;
    Duration m_pairTime {};
};

/// Adds up a counter that falls back to zero when its process restarts.
class ResettingCounter {
public:
    /// @param value as read now.
    /// @return how much was gained since the read before; 0 at the first read.
    double advance(double value);
    double total() const { return m_total; }

private:
    std::optional<double> m_last;
    double m_total = 0;
};

/// Least number outstanding between two samples.
class LeastOutstanding {
public:
    void begin() { ++m_now; }
    void end()
    {
        --m_now;
        m_least = std::min(m_least, m_now);
    }

    /// @return the least number since the call before, and starts anew.
    unsigned take()
    {
        const unsigned least = m_least;
        m_least = m_now;
        return least;
    }
    unsigned now() const { return m_now; }

private:
    unsigned m_now = 0;
    unsigned m_least = 0;
};

} // namespace sagechute::load
