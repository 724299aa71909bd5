#pragma once

/// @file
/// One pool in one router: the cells it owns, the requests it holds for the pool, and the protocol between the two.

#include "routing/Outbox.h"
#include "routing/RequestTable.h"
#include "routing/TargetGuard.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sagechute::routing {

/// What a pool needs from the router around it.
class PoolHost {
public:
    virtual ~PoolHost() = default;

    /// The request may now be sent to request.target.
    void granted(TimePoint now, Request& request) { onGranted(now, request); }

    /// @return whether new work may be started at all.
    bool mayStart(TimePoint now) const { return onMayStart(now); }

    /// @return whether messages to a member get through, as far as known.
    bool reachable(const VmId& vm) const { return onReachable(vm); }

private:
    virtual void onGranted(TimePoint, Request&) = 0;
    virtual bool onMayStart(TimePoint) const = 0;
    virtual bool onReachable(const VmId&) const = 0;
};

/// @return how many of a target's slots one router may use by itself when routers share it without talking: slot j
/// belongs to router (hash(target) + j) mod @p routers. Used by the static baseline and while no owner answers.
std::uint32_t staticShare(const TargetId&, std::uint32_t slots, std::size_t routers, std::size_t self);

class PoolRouter {
public:
    PoolRouter(PoolId, const RouterSettings&, const membership::MembershipView&, RequestTable&, Outbox&, PoolHost&);

    /// Follows a change of configuration or membership.
    void reconfigure(TimePoint now, const config::ConfigView&, const scheduling::CellMap&);

    /// A request begins to wait. @param atFront it has waited before.
    void enqueue(Request&, bool atFront);

    /// A waiting request is given up: nobody may grant it any more.
    void abandon(TimePoint now, Request&);

    /// A running request ended; its slot is free.
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

    /// The owner of a cell lost, or never had, what it should know of this router.
    void resyncRequested(TimePoint now, const VmId& from, wire::CellKey);
    void summaryReceived(TimePoint now, const RouterLife& from, const scheduling::PoolSummary&);
    void ledgerPulled(const VmId& from);
    void prefixChanged(const TargetId&, std::uint64_t prefix, bool stored);
    void prefixesUnknown(const TargetId&);

    /// A stream to a member came up after it was down: what was sent before may be lost.
    void peerUp(const VmId&);
    void peerDown(const VmId&);

    /// A router's life is over or doubtful: it holds no slot and no offer any more.
    void dropRouter(TimePoint now, const RouterLife&, bool forGood);

    /// A router is in touch again; if it was dropped, it has to offer and report anew.
    void routerBack(const VmId&);

    /// Offers what waits and grants what is free.
    void pump(TimePoint now);

    /// Does what is due by time only: summaries, moves of offers, released targets.
    void tick(TimePoint now);

    bool ownsCell(wire::CellKey) const;
    std::vector<TargetId> ownedTargets() const;
    bool hasTargets() const { return m_targetCount > 0; }
    PoolStatus status() const;

private:
    struct CustomerQueue {
        std::deque<std::uint64_t> waiting;
        std::set<std::uint64_t> offered;
        std::map<std::uint32_t, std::uint32_t> offeredAt; ///< Number by cell.
    };
    /// Slots that a cell is known to have free, less those for which this router has offered since.
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
    void noteChangedOwners(const std::map<std::uint32_t, std::vector<VmId>>& before);
    void returnLostOffers();
    void returnFallbackOffers(TimePoint now);
    void loseOffers(bool later, const std::function<bool(const Request&, const SlotSource&)>& isLost);
    void loseOffer(Request&, const SlotSource&, bool later);

    void placeWaiting(TimePoint now);
    bool place(TimePoint now, Request&);
    void offerTo(TimePoint now, Request&, const SlotSource&);
    void sendOffer(TimePoint now, const Request&, const SlotSource&);
    void withdrawFrom(TimePoint now, const Request&, const SlotSource&);
    void forgetOffer(Request&, const SlotSource&);
    void takeBack(TimePoint now, Request&, const SlotSource* granted = nullptr);
    static void countDown(std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t cell);
    SlotSource sourceAt(const scheduling::CellId& cell) const { return { cell, ownerOf(cell), false }; }
    std::optional<SlotSource> choose(TimePoint now, const Request&);
    std::optional<scheduling::CellId> leastOffered(TimePoint now, const CustomerQueue&, const Request&) const;
    std::optional<scheduling::CellId> idlest(TimePoint now, const CustomerQueue&, const Request&) const;
    bool knownBusy(TimePoint now, std::uint32_t cell) const;
    std::uint32_t windowAt(std::uint32_t cell) const;
    bool takeFreeSlot(TimePoint now, std::uint32_t cell);
    void learn(TimePoint now, const scheduling::CellDigest&);
    double loadAt(std::uint32_t cell) const;
    bool usable(const scheduling::CellId&) const;
    bool anyUsable() const;
    static bool isOfferedAt(const Request&, const scheduling::CellId&);
    bool offersTargetsFor(const scheduling::CellId&, const Request&) const;
    std::vector<TargetId> avoidAt(const SlotSource&, const Request&) const;
    void relaxAvoidance(TimePoint now);
    void spreadOldest(TimePoint now);
    void moveOffers(TimePoint now);

    void grantFrom(TimePoint now, scheduling::CellScheduler&, const SlotSource&);
    bool giveGrant(TimePoint now, scheduling::CellScheduler&, const SlotSource&, const scheduling::Grant&);
    bool start(TimePoint now, Request&, const SlotSource&, const TargetId&, Cost charged);
    void sendResync(const scheduling::CellId&, const VmId& owner);
    void sendUnsynced();
    void noteHealth(TimePoint now, const TargetId&, wire::TargetHealth);

    std::vector<scheduling::CellDigest> digests() const;
    std::vector<VmId> ledgerReceivers() const;
    std::vector<VmId> digestReceivers(TimePoint now, const std::vector<VmId>& told) const;
    std::vector<VmId> takeTurns(const std::set<VmId>& candidates) const;
    void pullLedger();
    void sendSummaries(TimePoint now);
    void noticeIdle(TimePoint now);
    bool send(const VmId&, Purpose, const wire::Message&);

    PoolId m_pool;
    const RouterSettings& m_settings;
    const membership::MembershipView& m_view;
    RequestTable& m_requests;
    Outbox& m_outbox;
    PoolHost& m_host;

    std::unique_ptr<scheduling::ServiceLedger> m_ledger;
    std::map<std::uint32_t, std::unique_ptr<scheduling::CellScheduler>> m_cells;
    std::unique_ptr<scheduling::CellScheduler> m_local; ///< Static policy, and the fallback while no owner answers.
    std::unique_ptr<scheduling::OfferPlacer> m_placer;
    TargetGuard m_guard;
    std::map<CustomerId, CustomerQueue> m_queues;
    std::set<CustomerId> m_placeable; ///< Customers with a waiting request that may be offered.
    std::set<std::uint64_t> m_running;
    std::vector<scheduling::CellId> m_cellIds; ///< By index.
    std::map<std::uint32_t, std::vector<VmId>> m_owners;
    std::vector<TargetId> m_targets; ///< Sorted, all of the pool.
    std::map<TargetId, std::uint32_t> m_targetCells;
    std::set<TargetId> m_serving;
    std::map<std::uint32_t, std::uint32_t> m_cellSlots; ///< Slots of the targets that serve, by cell.
    std::map<std::uint32_t, FreeSlots> m_freeSlots;
    std::map<std::uint32_t, std::uint32_t> m_cellLoad; ///< Offers and running requests of this router, by cell.
    std::map<std::uint32_t, RemoteCell> m_remoteCells;
    std::map<VmId, TimePoint> m_offerers; ///< When a router last offered or reported something here.
    std::set<VmId> m_dropped; ///< Offerers whose offers and running requests were dropped without their knowing.
    std::set<OwnedCell> m_told; ///< Owners that may remember something of this router.
    std::set<std::uint32_t> m_unsynced; ///< Cells whose owner needs a resynchronisation before anything else.
    std::set<TargetId> m_localTargets; ///< Those with a share in the fallback.
    std::size_t m_targetCount = 0;
    TimePoint m_nextSummary {};
    TimePoint m_nextIdleNotice {};
    TimePoint m_nextMove {};
    unsigned m_summariesSent = 0;
    bool m_ledgerPulled = false;
};

} // namespace sagechute::routing
