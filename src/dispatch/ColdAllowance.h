#pragma once

/// @file
/// Division of the request rate that cold targets tolerate among the routers.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// @return number of slots of a cold target, each of one request per second over all routers. Half of the rate that all
///         routers may send in one second, as two views of the membership may use each slot twice, and at least 1.
/// @param rate see Service::coldRate. @param overage, slack see DispatchSettings::coldOverage.
unsigned coldSlotCount(double rate, double overage, double slack);

/// The slots of cold targets that belong to this router, and when each of them may be used.
///
/// A slot belongs to the router with the highest rendezvous hash of slot and VM name among the known routers: those
/// heard of within memberTtl, and this one. All routers with the same view divide the slots without exchanging
/// anything. Slots are of a target's name, not of an incarnation, so that a restart gives no second use of a slot.
///
/// A router that hears, itself included, from no more than half of the routers that it knows uses no slots: of several
/// groups that cannot hear each other, at most one has a majority. A router that hears from less than half does not
/// forget the others either, as three or more groups would otherwise all use every slot after memberTtl. With exactly
/// half there are no more than two such groups, which together stay within the bound.
class ColdAllowance {
public:
    explicit ColdAllowance(VmId self);

    /// See Dispatcher::setRouters().
    void setRouters(TimePoint now, const std::vector<VmId>& heard, const std::vector<VmId>& left);

    /// @param slots see coldSlotCount().
    /// @return the first time, now or later, at which this router may send a request to the target; absent if not even
    ///         that is known, because it has no slot of the target or hears from too few routers.
    std::optional<TimePoint> nextFree(TimePoint now, const TargetId&, unsigned slots) const;

    /// Uses a free slot. @return whether there was one.
    bool take(TimePoint now, const TargetId&, unsigned slots);

    /// @return number of the target's slots that belong to this router, whether or not it may use them now.
    unsigned ownSlots(TimePoint now, const TargetId&, unsigned slots) const;

    /// A router is known for this time after it was last heard of, so that one that is briefly absent keeps its slots.
    static constexpr Duration memberTtl = std::chrono::seconds(60);

    /// After a start, or after it hears from a majority again, a router waits this long until it uses its slots. By
    /// then gossip has told it about the others, and them about it.
    static constexpr Duration settlingTime = std::chrono::seconds(3);

    /// Time until a used slot is free again. The 50 ms above a second allow for requests that take different times to
    /// reach the target.
    static constexpr Duration slotPeriod = std::chrono::milliseconds(1050);

private:
    struct Router {
        std::uint64_t hash = 0;
        TimePoint heardAt;
    };

    /// State of one target's slots.
    struct Slots {
        std::uint64_t revision = 0; ///< Of the view from which the owners were computed; 0: never.
        std::vector<unsigned> own; ///< Numbers of this router's slots.
        std::vector<TimePoint> freeAt; ///< By slot number.
        TimePoint askedAt;
    };

    const Slots& slotsOf(TimePoint now, const TargetId&, unsigned slots) const;

    bool isOwn(std::uint64_t slotHash) const;
    void updateMajority(TimePoint now, std::size_t heard);

    const VmId m_self;
    const std::uint64_t m_selfHash;
    std::map<VmId, Router> m_others; ///< Known routers without this one.
    std::uint64_t m_revision = 1; ///< Changes with the names in m_others.
    std::optional<TimePoint> m_usableFrom; ///< Absent without a majority.
    mutable std::map<TargetId, Slots> m_slots; ///< Owners are computed when they are first needed.
};

} // namespace sagechute::dispatch
