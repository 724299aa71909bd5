#pragma once

/// @file
/// The waiting requests of a cell, by customer and in the order of service.

#include "scheduling/CellRequests.h"
#include "scheduling/IndexedHeap.h"
#include "scheduling/LedgerCore.h"

#include <map>

namespace sagechute::scheduling {

/// Waiting requests, grouped by the set of targets that they avoid: requests with the same set are alike in what free
/// slot they can take, so the next one is found by looking at one head per set, not at one per customer. Nearly all
/// avoid nothing.
class WaitingQueues {
public:
    /// A customer's place in the order of service.
    struct Place {
        Cost service = 0; ///< Virtual service, or 0 for service in order of arrival.
        std::uint64_t arrival = 0; ///< Of its oldest request in the group.
        auto operator<=>(const Place&) const = default;
    };

    /// The waiting requests with the same set of targets to avoid.
    struct Group {
        std::vector<TargetHash> avoid; ///< Sorted.
        IndexedHeap<Place> order; ///< By customer.
    };

    /// @param byArrival ignore the ledger and serve in order of arrival.
    WaitingQueues(CellRequests&, const LedgerCore&, bool byArrival);

    void add(RequestIndex);
    void remove(RequestIndex);

    /// Puts a customer in its new place after a change of its virtual service.
    void reorder(CustomerIndex);

    /// @return how many requests of the customer wait.
    std::uint32_t waitingOf(CustomerIndex c) const { return c < m_customers.size() ? m_customers[c].waiting : 0; }
    std::uint32_t waiting() const { return m_waiting; }

    /// The requests that avoid no target.
    const Group& unrestricted() const { return m_unrestricted; }

    /// All other groups with requests, by the set that they avoid.
    const std::map<std::vector<TargetHash>, Group>& restricted() const { return m_restricted; }

    /// @return the oldest request of a customer in a group. @param group one where it has a place.
    RequestIndex head(const Group& group, CustomerIndex) const;

private:
    struct Queue {
        Group* group = nullptr;
        RequestList requests;
    };

    struct Customer {
        Queue unrestricted;
        std::vector<Queue> restricted; ///< One per group.
        std::uint32_t waiting = 0;
    };

    Queue& queueOf(const Request&);
    void setPlace(const Queue&, CustomerIndex);
    void drop(CustomerIndex, Queue&);

    CellRequests& m_requests;
    const LedgerCore& m_ledger;
    bool m_byArrival;
    std::vector<Customer> m_customers;
    Group m_unrestricted;
    std::map<std::vector<TargetHash>, Group> m_restricted;
    std::uint32_t m_waiting = 0;
};

} // namespace sagechute::scheduling
