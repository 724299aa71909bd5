#pragma once

/// @file
/// Upper bound on the service gap, computed from observed costs.

#include <sagechute/Core.h>

namespace sagechute::scheduling {

/// Inputs of the bound derived in docs/design/fairness.md. All costs are normalised: divided by the customer's weight.
class GapBound {
public:
    void recordGrant(Cost estimate) { m_largestCost = std::max(m_largestCost, estimate); }
    void recordEnd(Cost estimate, Cost actual);
    void recordSlots(std::uint32_t slots) { m_slots = std::max(m_slots, slots); }

    /// @return the maximum by which a backlogged customer's virtual service can exceed the smallest one.
    /// @param affinitySlack additional deviation for prefix affinity, as a fraction of the spread without affinity.
    /// @param unreported service that other owners may have charged and not yet reported to this one.
    Cost spread(double affinitySlack, Cost unreported) const;

    /// @return the maximum service gap between two customers that stay backlogged.
    Cost gap(double affinitySlack, Cost unreported) const;

private:
    Cost m_largestCost = 0;
    Cost m_largestError = 0;
    std::uint32_t m_slots = 0;
};

} // namespace sagechute::scheduling
