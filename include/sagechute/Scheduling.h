#pragma once

/// @file
/// Weighted fair queueing over the targets of a pool: the service ledger, the scheduler of one cell, the assignment of
/// cells to routers and the choice of a cell for each offer. Decision logic only: no I/O, threads or clock.
///
/// Service is normalised: each charge is divided by the customer's weight. A router incarnation (RouterLife) is one run
/// of the router process on a VM.

#include <sagechute/Core.h>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::scheduling {

/// A partition of a pool's targets. One router, its owner, schedules all requests for it.
struct CellId {
    PoolId pool;
    std::uint32_t index = 0;

    auto operator<=>(const CellId&) const = default;
};

/// The order in which requests are served, and where they are queued.
enum class Policy {
    Cells, ///< One fair queue over all routers, partitioned into cells that are each owned by one router.
    Static, ///< Baseline: a separate fair queue in each router, over a fixed share of the slots.
    Fifo, ///< Baseline: cells, served in order of arrival.
};

absl::StatusOr<Policy> parsePolicy(std::string_view text);
std::string_view toString(Policy);

/// Service of one customer as accounted by one router incarnation. An entry with a higher sequence number replaces it.
struct CustomerServiceEntry {
    CustomerId customer;
    /// Total charged by that incarnation, including corrections. Each charge is divided by the weight in force at the
    /// time.
    Cost service = 0;
    Cost lift = 0; ///< Normalised service added on returns from idle and after partitions; merged by maximum.
    bool backlogged = false; ///< The customer has waiting requests at that incarnation.
};

/// State of a cell as published by its owner; other routers use it to place offers.
struct CellDigest {
    std::uint32_t index = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t waiting = 0;
    Cost headService = 0; ///< Virtual service of the customer to be served next; undefined when nothing waits.
};

/// One router incarnation's part of a pool's ledger, and the state of its cells. Sent to the other owners of the pool's
/// cells, to routers with waiting requests and to the routers that would take over the sender's cells.
struct PoolSummary {
    PoolId pool;
    RouterLife life;
    std::uint64_t sequence = 0;
    bool full = false; ///< Lists every customer with service, not only those that changed.
    /// Highest value so far of the smallest virtual service among the backlogged customers; merged by maximum.
    Cost virtualTime = 0;
    std::vector<CustomerServiceEntry> customers;
    std::vector<CellDigest> cells;
};

/// Virtual service per customer of one pool, summed over the charges of all router incarnations. Each incarnation
/// contributes a register with an absolute value, so lost, duplicated or reordered summaries cause no error.
class ServiceLedger {
public:
    static std::unique_ptr<ServiceLedger> make(PoolId, RouterLife self);
    virtual ~ServiceLedger() = default;

    virtual void setWeight(const CustomerId&, double weight) = 0;

    /// Charges service that this router granted, or refunds it when the cost is negative.
    virtual void charge(const CustomerId&, Cost) = 0;

    /// Call when the customer gets its first waiting request in this router's cells, or loses its last one. A customer
    /// that was not backlogged at any router is lifted towards the smallest virtual service among the backlogged
    /// customers, so that it earns no credit while idle.
    virtual void setBacklogged(const CustomerId&, bool) = 0;

    /// @return the normalised service over all router incarnations, plus the lift. A change of weight applies to later
    /// charges only, so that it neither rewards nor penalises a customer for past service.
    virtual Cost virtualService(const CustomerId&) const = 0;

    /// Merges the summary of another router incarnation.
    virtual void mergeSummary(const PoolSummary&) = 0;

    /// Returns this router's summary. The caller fills in the cells.
    /// @param full whether to list every customer with service. Otherwise lists those that changed since the last
    /// summary and a few others in rotation, which repairs the effect of lost summaries over time.
    virtual PoolSummary summarize(bool full) = 0;

    /// Returns the summaries of all other router incarnations as known here. A router that starts without state merges
    /// those of a single peer, all together, before its schedulers get offers. The summary with an empty VM holds the
    /// charges of incarnations that are no longer tracked one by one.
    virtual std::vector<PoolSummary> peerSummaries() const = 0;

    /// Marks an incarnation as terminated: its backlogs end, but its charges still count.
    virtual void retire(const RouterLife&) = 0;

    /// Returns the largest difference in normalised service received by two customers that are backlogged now, since
    /// the later of them became backlogged. The start is rounded up to the next sample; a sample is taken every n
    /// charges for n customers.
    virtual Cost measuredGap() const = 0;

private:
    friend class LedgerCore; ///< The only implementation; CellScheduler::make() downcasts to it.
    ServiceLedger() = default;
};

/// A target as configured in its cell.
struct CellTarget {
    TargetId id;
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    bool accepting = true; ///< False while draining, failing or frozen: gets no new grants.
};

/// A waiting request that its router offers to a cell.
struct Offer {
    RequestId request;
    CustomerId customer;
    Cost hint = 0; ///< Cost estimate from the caller, or 0 for none.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes, shortest prefix first.
    std::optional<TimePoint> deadline;
    std::vector<TargetId> avoid; ///< Targets that have already failed this request.
};

/// A running request, as its router reports it to a new owner of the cell.
struct InFlight {
    RequestId request;
    CustomerId customer;
    TargetId target;
    Cost charged = 0; ///< Charge made by the owner that granted it.
};

/// Permission for a router to send one request to one target before the grant expires.
struct Grant {
    RequestId request;
    CustomerId customer;
    TargetId target;
    Cost charged = 0;
    TimePoint expires {};
};

struct CellSettings {
    Policy policy = Policy::Cells;
    Duration grantLifetime = std::chrono::milliseconds(500);
    /// Extra deviation from the fair order allowed for prefix affinity, as a fraction of the fairness bound. 0 turns
    /// affinity off.
    double affinitySlack = 0.25;
    std::uint32_t offersPerRouterAndCustomer = 32; ///< Limit observed by the routers; the scheduler accepts more.
};

struct CellStats {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint64_t granted = 0;
    std::uint64_t expired = 0; ///< Grants that expired without any message from the router.
    std::uint64_t affinityHits = 0; ///< Grants to a target that had a prefix of the request cached.
    Cost gapBound = 0; ///< Formula of docs/design/fairness.md, evaluated with the costs observed so far.
};

/// The scheduler of one cell. All its state is soft: after a loss, routers repeat their offers and report what runs.
class CellScheduler {
public:
    /// @param ledger the pool's ledger in this router; must outlive the scheduler.
    static std::unique_ptr<CellScheduler> make(CellId, const CellSettings&, ServiceLedger& ledger);
    virtual ~CellScheduler() = default;

    /// Replaces the cell's targets. Requests running on a removed target are kept until they are settled.
    virtual void setTargets(const std::vector<CellTarget>&) = 0;
    virtual void setAccepting(const TargetId&, bool accepting) = 0;

    /// Adds a waiting request, or replaces its earlier offer. A request that holds a grant is granted again only after
    /// the grant has expired or been declined.
    virtual void offer(TimePoint now, Offer) = 0;
    virtual void withdraw(TimePoint now, const RequestId&) = 0;

    /// The router did not use a grant: frees the slot, refunds the charge and removes the offer. A router that still
    /// holds the request offers it again, usually with the target in @c avoid, since otherwise the same grant would be
    /// made at once. Also valid after started().
    virtual void decline(TimePoint now, const RequestId&) = 0;

    /// The router used the grant, which therefore no longer expires.
    virtual void started(TimePoint now, const RequestId&) = 0;

    /// Registers a request that already runs, after a change of owner or when a router resynchronises.
    virtual void adopt(TimePoint now, const InFlight&) = 0;

    /// Reports partial cost. @param soFar service received so far; charged if it exceeds the amount already charged.
    virtual void progress(TimePoint now, const RequestId&, Cost soFar) = 0;

    /// The request has ended: frees the slot and adjusts the charge to @p final.
    virtual void settle(TimePoint now, const RequestId&, Cost final) = 0;

    /// Removes all offers and running requests of a router that is dead, suspected dead or about to resynchronise.
    virtual void dropRouter(TimePoint now, const RouterLife&) = 0;

    /// Cache events of a target: a prefix was stored or evicted.
    virtual void prefixStored(const TargetId&, std::uint64_t prefix) = 0;
    virtual void prefixEvicted(const TargetId&, std::uint64_t prefix) = 0;
    /// Cache events of the target were lost, so its known cache contents are discarded.
    virtual void prefixesUnknown(const TargetId&) = 0;

    /// Expires unused grants and offers past their deadline, then grants free slots to waiting requests until no free
    /// slot can take any of them.
    virtual std::vector<Grant> schedule(TimePoint now) = 0;

    /// @return the next time at which schedule() must be called even if no event occurs, if any.
    virtual std::optional<TimePoint> nextDue() const = 0;

    /// @return the target of a granted or running request.
    virtual std::optional<TargetId> targetOf(const RequestId&) const = 0;

    virtual CellDigest digest() const = 0;
    virtual CellStats stats() const = 0;
};

/// A router that is eligible to own cells.
struct OwnerCandidate {
    VmId vm;
    ZoneId zone;
};

struct PoolCellCount {
    PoolId pool;
    std::uint32_t count = 0;
};

/// Assigns each cell an owner and successors by rendezvous hashing with a cap on cells per router. All routers with the
/// same membership view compute the same map.
class CellMap {
public:
    static CellMap build(const std::vector<OwnerCandidate>& routers, const std::vector<PoolCellCount>& cellCounts);

    /// @return the owner, followed by its successors (at most 3 routers in all); empty when there is no router.
    std::vector<VmId> owners(const CellId&) const;

    std::vector<CellId> ownedBy(const VmId&, const PoolId&) const;
    std::uint32_t cellCount(const PoolId&) const;

private:
    struct Entry {
        CellId cell;
        std::vector<VmId> owners;
    };
    std::vector<Entry> m_entries;
};

/// Partitions a pool's targets into cells. The result depends on the set of targets only; cell sizes differ by at most
/// one, and at most one target per cell moves when a target joins or leaves.
/// @return the cell index of each target, in the order of @p targetsInPool.
std::vector<std::uint32_t> divideTargets(const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount);

/// @return the cell index of one target. To look up many, call divideTargets() once.
/// @param targetsInPool all targets of the pool.
std::uint32_t cellOf(const TargetId&, const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount);

/// Chooses the cell for each offer of one pool, from the digests of all cells. Prefers this router's own cells with
/// free slots, then other cells with free slots. When all are full, takes the cell with the fewest offers of the
/// customer, so that the customer waits in every cell.
class OfferPlacer {
public:
    static std::unique_ptr<OfferPlacer> make(PoolId);
    virtual ~OfferPlacer() = default;

    virtual void setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere) = 0;
    virtual void updateDigest(TimePoint now, const CellDigest&) = 0;

    /// Chooses a cell and counts the offer there. @param virtualService of the customer, from the ledger.
    virtual CellId place(TimePoint now, const CustomerId&, Cost virtualService) = 0;

    /// The offer no longer waits in the cell: it was granted, withdrawn or returned. Without this call a customer's
    /// offers would be spread evenly over the cells rather than to those that grant them.
    virtual void offerRemoved(const CustomerId&, const CellId&) = 0;

    /// An offer was moved to the cell returned by findBetterCell(). Replaces offerRemoved().
    virtual void offerMoved(const CustomerId&, const CellId& from, const CellId& to) = 0;

    /// @param offered the cell where the request is offered, since @p since.
    /// @return the cell to move the offer to, if it would clearly be served sooner there.
    virtual std::optional<CellId> findBetterCell(
        TimePoint now, const CellId& offered, TimePoint since, Cost virtualService)
        = 0;
};

} // namespace sagechute::scheduling
