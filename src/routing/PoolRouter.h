#pragma once

/// @file
/// One pool in one router: the cells it owns, the requests it holds for the pool, and the protocol between the two.

#include "routing/Outbox.h"
#include "routing/RequestTable.h"
#include "routing/TargetCircuitBreaker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sagechute::routing {

/// Services that a pool needs from its router.
class PoolHost {
public:
    virtual ~PoolHost() = default;

    /// Called when the request may be sent to request.target.
    void granted(TimePoint now, Request& request) { onGranted(now, request); }

    /// @return whether new work may be started.
    bool mayStart(TimePoint now) const { return onMayStart(now); }

    /// @return whether a member can be reached by messages, as far as known.
    bool reachable(const VmId& vm) const { return onReachable(vm); }

private:
    virtual void onGranted(TimePoint, Request&) = 0;
    virtual bool onMayStart(TimePoint) const = 0;
    virtual bool onReachable(const VmId&) const = 0;
};

/// @return how many of a target's slots one router may use when routers share the target without coordination: slot j
/// belongs to router (hash(target) + j) mod @p routers. Used by the static policy and while no owner is reachable.
std::uint32_t staticShare(const TargetId&, std::uint32_t slots, std::size_t routers, std::size_t self);

class PoolRouter {
public:
    PoolRouter(PoolId, const RouterSettings&, const membership::MembershipView&, RequestTable&, Outbox&, PoolHost&);

    /// Applies a change of configuration or membership.
    void reconfigure(TimePoint now, const config::ConfigView&, const scheduling::CellMap&);

    /// Adds a request to its customer's queue. @param atFront true if it has waited before.
    void enqueue(Request&, bool atFront);

    /// Gives up a waiting request: its offers are withdrawn and it can no longer be granted a slot.
    void abandon(TimePoint now, Request&);

    /// Called when a running request has ended and its slot is free.
    void ended(TimePoint now, const Request&, Cost, wire::TargetHealth);
    void progressed(TimePoint now, Request&, Cost soFar);

    void offered(TimePoint now, const RouterLife& from, const wire::OfferMessage&);
    void withdrawn(TimePoint now, const RouterLife& from, const wire::WithdrawMessage&);
    void grantReceived(TimePoint now, const VmId& from, const wire::GrantMessage&);
    void declined(TimePoint now, const RouterLife& from, const wire::DeclineMessage&);
    void notOwner(const VmId& from, const wire::NotOwnerMessage&);
    void settled(TimePoint now, const RouterLife& from, const wire::SettleMessage&);
    void progressReceived(TimePoint now, const RouterLife& from, const wire::ProgressMessage&);
    void resynchronised(TimePoint now, const RouterLife& from, const wire::ResyncMessage&);

    /// The owner of a cell lost, or never had, its state about this router.
    void resyncRequested(TimePoint now, const VmId& from, wire::CellKey);
    void summaryReceived(TimePoint now, const RouterLife& from, const scheduling::PoolSummary&);
    void answerLedgerPull(const VmId& from);
    void prefixChanged(const TargetId&, std::uint64_t prefix, bool stored);
    void prefixesUnknown(const TargetId&);

    /// A stream to a member is up again after it was down; earlier messages may have been lost.
    void peerUp(const VmId&);
    void peerDown(const VmId&);

    /// A router is dead or suspected: it no longer holds any slot or offer.
    void dropRouter(TimePoint now, const RouterLife&, bool permanently);

    /// A router is reachable again; if it was dropped, it has to send its offers and running requests again.
    void routerRecovered(const VmId&);

    /// Places waiting requests and grants free slots.
    void placeAndGrant(TimePoint now);

    /// Performs time-driven work: summaries, rebalancing of offers, unblocking of targets.
    void tick(TimePoint now);

    bool ownsCell(wire::CellKey) const;
    std::vector<TargetId> ownedTargets() const;
    bool hasTargets() const { return m_targetCount > 0; }
    PoolStatus status() const;

private:
    struct CustomerQueue {
        std::deque<std::uint64_t> waiting;
        std::set<std::uint64_t> offered;
        std::map<std::uint32_t, std::uint32_t> offeredAt; ///< Number of offers by cell.
    };
    /// Slots known to be free in a cell, less the offers that this router has made since.
    struct FreeSlots {
        std::uint32_t count = 0;
        std::uint32_t waiting = 0;
        TimePoint learned {};
    };
    struct OwnedCell {
        std::uint32_t index = 0;
        VmId owner;
        auto operator<=>(const OwnedCell&) const = default;
    };
    struct RemoteCell {
        scheduling::CellDigest digest;
        VmId owner;
    };

    scheduling::CellScheduler* ownedCell(wire::CellKey);
    scheduling::CellScheduler* schedulerOf(const SlotSource&);
    std::optional<scheduling::CellId> cellByKey(wire::CellKey) const;
    VmId ownerOf(const scheduling::CellId&) const;
    bool usesCells() const { return m_settings.policy != scheduling::Policy::Static; }

    void updateOwnedCells(const config::ConfigView&, const scheduling::CellMap&);
    void updateLocalShare(const config::ConfigView&);
    void moveRunningToOwners(TimePoint now);
    void markChangedOwners(const std::map<std::uint32_t, std::vector<VmId>>& before);
    void requeueOrphanedOffers();
    void requeueFallbackOffers(TimePoint now);
    void requeueOffers(
        bool deferPlacement, const std::function<bool(const Request&, const SlotSource&)>& shouldRequeue);
    void requeueOffer(Request&, const SlotSource&, bool deferPlacement);

    void placeWaiting(TimePoint now);
    bool place(TimePoint now, Request&);
    void offerTo(TimePoint now, Request&, const SlotSource&);
    void sendOffer(TimePoint now, const Request&, const SlotSource&);
    void withdrawOffer(TimePoint now, const Request&, const SlotSource&);
    void removeOffer(Request&, const SlotSource&);
    void withdrawOffers(TimePoint now, Request&, const SlotSource* granted = nullptr);
    static void decrementCount(std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t cell);
    SlotSource sourceAt(const scheduling::CellId& cell) const { return { cell, ownerOf(cell), false }; }
    std::optional<SlotSource> choose(TimePoint now, const Request&);
    std::optional<scheduling::CellId> leastFilledCell(TimePoint now, const CustomerQueue&, const Request&) const;
    std::optional<scheduling::CellId> leastLoadedCell(TimePoint now, const CustomerQueue&, const Request&) const;
    bool isKnownBusy(TimePoint now, std::uint32_t cell) const;
    std::uint32_t windowAt(std::uint32_t cell) const;
    bool takeFreeSlot(TimePoint now, std::uint32_t cell);
    void learn(TimePoint now, const scheduling::CellDigest&);
    double loadAt(std::uint32_t cell) const;
    bool usable(const scheduling::CellId&) const;
    bool hasUsableCell() const;
    static bool isOfferedAt(const Request&, const scheduling::CellId&);
    bool hasEligibleTarget(const scheduling::CellId&, const Request&) const;
    std::vector<TargetId> targetsToAvoid(const SlotSource&, const Request&) const;
    void relaxAvoidance(TimePoint now);
    void hedgeOldestOffers(TimePoint now);
    void rebalanceOffers(TimePoint now);

    void grantFrom(TimePoint now, scheduling::CellScheduler&, const SlotSource&);
    bool deliverGrant(TimePoint now, scheduling::CellScheduler&, const SlotSource&, const scheduling::Grant&);
    bool start(TimePoint now, Request&, const SlotSource&, const TargetId&, Cost charged);
    void sendResync(const scheduling::CellId&, const VmId& owner);
    void sendPendingResyncs();
    void recordHealth(TimePoint now, const TargetId&, wire::TargetHealth);

    std::vector<scheduling::CellDigest> digests() const;
    std::vector<VmId> ledgerReceivers() const;
    std::vector<VmId> digestReceivers(TimePoint now, const std::vector<VmId>& alreadyInformed) const;
    std::vector<VmId> selectReceivers(const std::set<VmId>& candidates) const;
    void requestLedger();
    void sendSummaries(TimePoint now);
    void notifyFreeSlots(TimePoint now);
    bool send(const VmId&, Purpose, const wire::Message&);

    PoolId m_pool;
    const RouterSettings& m_settings;
    const membership::MembershipView& m_view;
    RequestTable& m_requests;
    Outbox& m_outbox;
    PoolHost& m_host;

    std::unique_ptr<scheduling::ServiceLedger> m_ledger;
    std::map<std::uint32_t, std::unique_ptr<scheduling::CellScheduler>> m_cells;
    std::unique_ptr<scheduling::CellScheduler> m_local; ///< Static policy, and the fallback without a reachable owner.
    std::unique_ptr<scheduling::OfferPlacer> m_placer;
    TargetCircuitBreaker m_circuitBreaker;
    std::map<CustomerId, CustomerQueue> m_queues;
    std::set<CustomerId> m_placeable; ///< Customers with a waiting request that may be offered.
    std::set<std::uint64_t> m_running;
    std::vector<scheduling::CellId> m_cellIds; ///< By index.
    std::map<std::uint32_t, std::vector<VmId>> m_owners;
    std::vector<TargetId> m_targets; ///< All targets of the pool, sorted.
    std::map<TargetId, std::uint32_t> m_targetCells;
    std::set<TargetId> m_serving;
    std::map<std::uint32_t, std::uint32_t> m_cellSlots; ///< Slots of the serving targets, by cell.
    std::map<std::uint32_t, FreeSlots> m_freeSlots;
    std::map<std::uint32_t, std::uint32_t> m_cellLoad; ///< Offers and running requests of this router, by cell.
    std::map<std::uint32_t, RemoteCell> m_remoteCells;
    std::map<VmId, TimePoint> m_offeringRouters; ///< When each router last sent an offer or a resynchronisation.
    std::set<VmId> m_droppedRouters; ///< Routers that do not know that their offers and running requests were dropped.
    std::set<OwnedCell> m_contactedOwners; ///< Owners that may hold state about this router.
    std::set<std::uint32_t> m_unsyncedCells; ///< Cells whose owner must be resynchronised before anything else.
    std::set<TargetId> m_localTargets; ///< Targets of which this router has a share in the fallback.
    std::size_t m_targetCount = 0;
    TimePoint m_nextSummary {};
    TimePoint m_nextFreeSlotNotice {};
    TimePoint m_nextRebalance {};
    unsigned m_summariesSent = 0;
    bool m_ledgerRequested = false;
};

} // namespace sagechute::routing
