#pragma once

/// @file
/// Queues of a cell's waiting requests, per customer and in order of service.

#include "scheduling/CellRequests.h"
#include "scheduling/IndexedHeap.h"
#include "scheduling/LedgerCore.h"

#include <map>

namespace sagechute::scheduling {

/// Waiting requests, grouped by the set of targets that they avoid. All requests of a group can take the same slots, so
/// finding the next request to serve takes one look per group instead of one per customer. Nearly all requests avoid no
/// target.
class WaitingQueues {
public:
    /// Sort key of a customer in the order of service.
    struct ServiceKey {
        Cost service = 0; ///< Virtual service; 0 when serving in order of arrival.
        std::uint64_t arrival = 0; ///< Arrival of the customer's oldest request in the group.
        auto operator<=>(const ServiceKey&) const = default;
    };

    /// Waiting requests that avoid the same set of targets.
    struct Group {
        std::vector<TargetHash> avoid; ///< Sorted.
        IndexedHeap<ServiceKey> order; ///< By customer.
    };

    /// @param byArrival whether to ignore the ledger and serve in order of arrival.
    WaitingQueues(CellRequests&, const LedgerCore&, bool byArrival);

    void add(RequestIndex);
    void remove(RequestIndex);

    /// Updates a customer's sort keys after a change of its virtual service.
    void reorder(CustomerIndex);

    /// @return the number of the customer's waiting requests.
    std::uint32_t waitingOf(CustomerIndex c) const { return c < m_customers.size() ? m_customers[c].waiting : 0; }
    std::uint32_t waiting() const { return m_waiting; }

    /// The requests that avoid no target.
    const Group& unrestricted() const { return m_unrestricted; }

    /// All other non-empty groups, by the set of targets that they avoid.
    const std::map<std::vector<TargetHash>, Group>& restricted() const { return m_restricted; }

    /// @return the oldest request of a customer in a group. @param group must hold requests of the customer.
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
    void updateKey(const Queue&, CustomerIndex);
    void removeQueue(CustomerIndex, Queue&);

    CellRequests& m_requests;
    const LedgerCore& m_ledger;
    bool m_byArrival;
    std::vector<Customer> m_customers;
    Group m_unrestricted;
    std::map<std::vector<TargetHash>, Group> m_restricted;
    std::uint32_t m_waiting = 0;
};

} // namespace sagechute::scheduling
