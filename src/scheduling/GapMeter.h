#pragma once

/// @file
/// Measures the service gap between backlogged customers.

#include <sagechute/Core.h>

#include <vector>

namespace sagechute::scheduling {

/// Position of a customer in the tables of one ledger and its schedulers.
using CustomerIndex = std::uint32_t;

/// Accumulated normalised service per customer, with samples of the past. For two customers backlogged without a break
/// since a sample, the difference of what each got since then is a true gap; the measure is the largest over all
/// samples. Keeping for each pair the moment when the later one became backlogged would take the square of the
/// customers in memory.
class GapMeter {
public:
    void add(CustomerIndex, Cost normalised);

    /// Adds service from before the time that this meter has seen: a history that was learned late is no gap.
    void addHistory(CustomerIndex, Cost normalised);

    void setBacklogged(CustomerIndex, bool);

    /// @return the largest gap; O(customers × kept samples).
    Cost largestGap() const;

private:
    static constexpr std::size_t kSamplesKept = 32;

    struct Customer {
        Cost service = 0;
        std::uint64_t backloggedSince = 0; ///< Serial of the event, or 0 while not backlogged.
    };

    struct Sample {
        std::uint64_t serial = 0;
        std::vector<Cost> services;
    };

    Customer& customer(CustomerIndex);
    void takeSample();
    void thinOut();
    Cost gapSince(const Sample&) const;

    std::vector<Customer> m_customers;
    std::vector<Sample> m_samples;
    std::uint64_t m_serial = 0;
    std::size_t m_addsSinceSample = 0;
};

} // namespace sagechute::scheduling
