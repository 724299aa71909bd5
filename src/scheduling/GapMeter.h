#pragma once

/// @file
/// Measurement of the service gap between backlogged customers.

#include <sagechute/Core.h>

#include <vector>

namespace sagechute::scheduling {

/// Index of a customer in the tables of one ledger and its schedulers.
using CustomerIndex = std::uint32_t;

/// Accumulates normalised service per customer and keeps past samples of it. For two customers that have been
/// backlogged continuously since a sample, the difference in service received since then is a service gap; the result
/// is the largest gap over all samples. Recording for each pair when the later customer became backlogged would need
/// memory quadratic in the number of customers.
class GapMeter {
public:
    void add(CustomerIndex, Cost normalised);

    /// Adds service from before the period that this meter covers, which only became known now. It does not count as a
    /// gap.
    void addHistory(CustomerIndex, Cost normalised);

    void setBacklogged(CustomerIndex, bool);

    /// @return the largest gap, in O(customers × samples).
    Cost largestGap() const;

private:
    static constexpr std::size_t kMaxSamples = 32;

    struct Customer {
        Cost service = 0;
        std::uint64_t backloggedSince = 0; ///< Serial number of the event, or 0 while not backlogged.
    };

    struct Sample {
        std::uint64_t serial = 0;
        std::vector<Cost> services;
    };

    Customer& customer(CustomerIndex);
    void takeSample();
    void decimateSamples();
    Cost gapSince(const Sample&) const;

    std::vector<Customer> m_customers;
    std::vector<Sample> m_samples;
    std::uint64_t m_serial = 0;
    std::size_t m_addsSinceSample = 0;
};

} // namespace sagechute::scheduling
