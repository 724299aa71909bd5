#pragma once

/// @file
/// The bound on the service gap, from the costs seen.

#include <sagechute/Core.h>

namespace sagechute::scheduling {

/// Keeps what the formula of docs/design/fairness.md needs. All costs are normalised: divided by the customer's weight.
class GapBound {
public:
    void noteGrant(Cost estimate) { m_largestCost = std::max(m_largestCost, estimate); }
    void noteEnd(Cost estimate, Cost actual);
    void noteSlots(std::uint32_t slots) { m_slots = std::max(m_slots, slots); }

    /// @return how far a backlogged customer's virtual service can be above the smallest.
    /// @param affinityShare part of the spread without it that affinity may use on top.
    /// @param unseen what other owners may have charged without this one knowing.
    Cost spread(double affinityShare, Cost unseen) const;

    /// @return the largest service gap between two customers that stay backlogged.
    Cost gap(double affinityShare, Cost unseen) const;

private:
    Cost m_largestCost = 0;
    Cost m_largestError = 0;
    std::uint32_t m_slots = 0;
};

} // namespace sagechute::scheduling
