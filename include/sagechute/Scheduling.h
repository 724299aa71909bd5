#pragma once

/// @file
/// Fair sharing of a pool: the ledger of service, the scheduler of one cell, the map of cells to owners and the choice
/// of a cell for an offer. Decision logic without I/O, threads or clock.

#include <sagechute/Core.h>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::scheduling {

/// One part of a pool's targets, scheduled by one owner.
struct CellId {
    PoolId pool;
    std::uint32_t index = 0;

    auto operator<=>(const CellId&) const = default;
};

/// How requests are ordered and where they wait.
enum class Policy {
    Cells, ///< One fair queue over all routers, in cells with an owner.
    Static, ///< Baseline: a fair queue in each router over a fixed share of the slots.
    Fifo, ///< Baseline: cells, but in order of arrival.
};

absl::StatusOr<Policy> parsePolicy(std::string_view text);
std::string_view toString(Policy);

/// Service of one customer as one router life accounts for it; replaced as a whole by a later sequence number.
struct CustomerService {
    CustomerId customer;
    Cost service = 0; ///< Charged by that life so far, corrections included, each divided by the weight then in force.
    Cost lift = 0; ///< Largest lift known, in weighted units; merged by maximum.
    bool backlogged = false; ///< It has waiting requests there.
};

/// What a cell's owner tells about the cell, so that others can place offers.
struct CellDigest {
    std::uint32_t index = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t waiting = 0;
    Cost headService = 0; ///< Virtual service of the customer that it would serve next; meaningless when nobody waits.
};

/// One router life's part of a pool's ledger, and its cells. Sent to the other owners of the pool, to the routers with
/// waiting work and to the next in line for its cells.
struct PoolSummary {
    PoolId pool;
    RouterLife life;
    std::uint64_t sequence = 0;
    bool full = false; ///< Holds every customer, not only the changed ones.
    Cost virtualTime = 0; ///< Largest smallest virtual service of the backlogged seen so far; merged by maximum.
    std::vector<CustomerService> customers;
    std::vector<CellDigest> cells;
};

/// Virtual service per customer of one pool, summed over what every router life has charged. Contributions are
/// registers of absolute values, so a lost, doubled or reordered summary does no harm.
class ServiceLedger {
public:
    static std::unique_ptr<ServiceLedger> make(PoolId, RouterLife self);
    virtual ~ServiceLedger() = default;

    virtual void setWeight(const CustomerId&, double weight) = 0;

    /// Charges (or, when negative, gives back) service that this life granted.
    virtual void charge(const CustomerId&, Cost) = 0;

    /// The customer has its first, or no longer any, waiting request in this life's cells. Becoming backlogged lifts a
    /// customer that is backlogged nowhere to the smallest virtual service among the backlogged.
    virtual void setBacklogged(const CustomerId&, bool) = 0;

    /// @return service divided by weight, over all lives, plus lift. A change of weight counts for later charges only,
    /// so that it neither favours nor punishes a customer for its past.
    virtual Cost virtualService(const CustomerId&) const = 0;

    /// Merges another life's summary.
    virtual void absorb(const PoolSummary&) = 0;

    /// The cells of the summary are left empty for the caller to fill in.
    /// @param full every customer with service, else those changed since the last summary and a few others in turn, so
    /// that a lost summary is made good in time.
    virtual PoolSummary summarize(bool full) = 0;

    /// Summaries of all other lives as known here, for a router that starts with nothing: it absorbs those of one peer,
    /// all in one go, before its schedulers get offers. The one with an empty VM holds what long-gone lives have
    /// charged.
    virtual std::vector<PoolSummary> others() const = 0;

    /// That life is gone: it is backlogged nowhere any more; its service still counts.
    virtual void retire(const RouterLife&) = 0;

    /// Largest difference of normalised service between two customers that are backlogged now, counted since the later
    /// of them became so (rounded up to the next sample; one sample is taken per as many charges as there are
    /// customers).
    virtual Cost measuredGap() const = 0;

private:
    friend class LedgerCore; ///< The only implementation; schedulers rely on that.
    ServiceLedger() = default;
};

/// One target as its cell sees it.
struct CellTarget {
    TargetId id;
    std::uint32_t slots = 0; ///< Requests granted at a time at most.
    bool accepting = true; ///< False while leaving, failing or frozen: no new grants.
};

/// A waiting request, offered by the router that holds it.
struct Offer {
    RequestId request;
    CustomerId customer;
    Cost hint = 0; ///< The caller's guess, or 0 for none.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes, shortest first.
    std::optional<TimePoint> deadline;
    std::vector<TargetId> avoid; ///< Targets that have failed this request.
};

/// A request that runs, reported by its router to a new owner.
struct InFlight {
    RequestId request;
    CustomerId customer;
    TargetId target;
    Cost charged = 0; ///< What the granting owner charged.
};

/// Permission to send one request to one target until it expires. It runs nothing by itself.
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
    double affinitySlack = 0.25; ///< Part of the fairness bound that prefix affinity may use; 0 turns affinity off.
    std::uint32_t offersPerRouterAndCustomer = 32; ///< Window that routers keep to; the scheduler does not refuse more.
};

struct CellStats {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint64_t granted = 0;
    std::uint64_t expired = 0; ///< Grants that ended unused, without a word from the router.
    std::uint64_t affinityHits = 0; ///< Grants whose target had a prefix of the request cached.
    Cost gapBound = 0; ///< The formula of docs/design/fairness.md with the costs seen.
};

/// The scheduler of one cell. All its state is soft: routers offer again and report what runs.
class CellScheduler {
public:
    /// @param ledger the pool's ledger in this router; outlives the scheduler.
    static std::unique_ptr<CellScheduler> make(CellId, const CellSettings&, ServiceLedger& ledger);
    virtual ~CellScheduler() = default;

    /// Sets the cell's targets; those missing are removed, what runs on them is forgotten at its settlement.
    virtual void setTargets(const std::vector<CellTarget>&) = 0;
    virtual void setAccepting(const TargetId&, bool accepting) = 0;

    /// Adds a waiting request. Doing it again replaces the offer; a request that was already granted is granted anew
    /// only after its grant has expired or was declined.
    virtual void offer(TimePoint now, Offer) = 0;
    virtual void withdraw(TimePoint now, const RequestId&) = 0;

    /// The router did not use a grant: the slot is free, the charge given back and the offer gone. A router that still
    /// has the request offers it again, usually with the target in @c avoid; else the same grant would come at once.
    /// Also after started().
    virtual void decline(TimePoint now, const RequestId&) = 0;

    /// The router used the grant; from now on the grant does not expire.
    virtual void started(TimePoint now, const RequestId&) = 0;

    /// Takes over a request that already runs (change of owner, or a router's resynchronisation).
    virtual void adopt(TimePoint now, const InFlight&) = 0;

    /// @param soFar service that the request has received; charged when it exceeds the estimate.
    virtual void progress(TimePoint now, const RequestId&, Cost soFar) = 0;

    /// The request has ended: the slot is free, and the charge becomes @p final.
    virtual void settle(TimePoint now, const RequestId&, Cost final) = 0;

    /// Forgets all of a router's offers and running requests: it is dead, suspected or about to resynchronise.
    virtual void dropRouter(TimePoint now, const RouterLife&) = 0;

    /// The target has, or no longer has, a prefix cached.
    virtual void prefixStored(const TargetId&, std::uint64_t prefix) = 0;
    virtual void prefixEvicted(const TargetId&, std::uint64_t prefix) = 0;
    /// Events of the target were lost: nothing is known of its cache any more.
    virtual void prefixesUnknown(const TargetId&) = 0;

    /// Grants free slots to waiting requests until one of the two runs out; expires unused grants and offers past their
    /// deadline.
    virtual std::vector<Grant> schedule(TimePoint now) = 0;

    /// @return when schedule() has something to do without another event, if ever.
    virtual std::optional<TimePoint> nextDue() const = 0;

    /// @return the target that a granted or running request uses.
    virtual std::optional<TargetId> targetOf(const RequestId&) const = 0;

    virtual CellDigest digest() const = 0;
    virtual CellStats stats() const = 0;
};

/// A router that may own cells.
struct OwnerCandidate {
    VmId vm;
    ZoneId zone;
};

/// Number of cells of one pool.
struct PoolCells {
    PoolId pool;
    std::uint32_t count = 0;
};

/// Which router owns a cell and which would be next: rendezvous hashing with a cap on cells per router, the same
/// everywhere for the same view.
class CellMap {
public:
    /// @param cellCounts the number of cells of each pool.
    static CellMap build(const std::vector<OwnerCandidate>& routers, const std::vector<PoolCells>& cellCounts);

    /// @return owner first, then those next in line (at most 3 in all); empty when there is no router.
    std::vector<VmId> owners(const CellId&) const;

    /// @return the cells of a pool that a VM owns.
    std::vector<CellId> ownedBy(const VmId&, const PoolId&) const;
    std::uint32_t cellCount(const PoolId&) const;

private:
    struct Entry {
        CellId cell;
        std::vector<VmId> owners;
    };
    std::vector<Entry> m_entries;
};

/// Divides a pool's targets over its cells: the same for the same set, in sizes that differ by one at most, and with at
/// most one target per cell that moves when a target joins or leaves.
/// @return the cell's index for each target, in the order of @p targetsInPool.
std::vector<std::uint32_t> divideTargets(const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount);

/// @return the index of the cell of one target by divideTargets(), which serves better for many.
/// @param targetsInPool all targets of the pool.
std::uint32_t cellOf(const TargetId&, const std::vector<TargetId>& targetsInPool, std::uint32_t cellCount);

/// Chooses the cell for each offer of one pool, from the digests of all cells: the router's own cell first; one with
/// free slots when the own is full; else the one with the fewest offers of the customer, so that it waits in every
/// cell.
class OfferPlacer {
public:
    static std::unique_ptr<OfferPlacer> make(PoolId);
    virtual ~OfferPlacer() = default;

    virtual void setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere) = 0;
    virtual void learn(TimePoint now, const CellDigest&) = 0;

    /// Counts one more offer of the customer in the cell returned.
    /// @param virtualService the customer's, from the ledger.
    virtual CellId place(TimePoint now, const CustomerId&, Cost virtualService) = 0;

    /// An offer waits there no longer: it was granted, withdrawn or returned. Without this a customer's offers spread
    /// evenly over the cells instead of to where they get through.
    virtual void left(const CustomerId&, const CellId&) = 0;

    /// An offer was moved on the advice of better(); in place of left().
    virtual void moved(const CustomerId&, const CellId& from, const CellId& to) = 0;

    /// @param offered where it is offered and since when.
    /// @return another cell to move the offer to, when that is clearly better.
    virtual std::optional<CellId> better(TimePoint now, const CellId& offered, TimePoint since, Cost virtualService)
        = 0;
};

} // namespace sagechute::scheduling
