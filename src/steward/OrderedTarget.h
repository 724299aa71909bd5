#pragma once

#include <sagechute/Steward.h>

namespace sagechute::steward {

/// The model, version and role configured for a target; empty fields are not enforced.
struct DesiredState {
    std::string model;
    std::string version;
    std::string role;

    bool isEmpty() const { return model.empty() && role.empty(); }
    bool operator==(const DesiredState&) const = default;
};

/// Progress of an order to a target.
enum class OrderPhase { Idle, Asking, Granted, Ordering, Confirming };

std::string_view toString(OrderPhase);

/// One managed target: its desired state, its last reported state, and the order in progress.
struct OrderedTarget {
    TargetId name;
    PoolId pool;
    std::string address;
    bool checksFencing = false;
    bool leaving = false;
    DesiredState desired;

    std::optional<ObservedState> observed;
    TimePoint observedAt {};
    std::uint64_t pendingRead = 0; ///< Number of the outstanding state read, or 0 if there is none.
    TimePoint nextReadAt {}; ///< Earliest time of the next state read.

    OrderPhase phase = OrderPhase::Idle;
    OrderKind orderKind = OrderKind::Load; ///< Kind of the order in progress; meaningless when idle.
    TimePoint orderedAt {}; ///< When the target accepted the order in progress.
    TimePoint notBefore {}; ///< No order is sent before this time.
    /// When the observed state began to differ from the desired one; zero if it does not differ.
    TimePoint differsSince {};
    std::string blockedReason;

    /// @return the kind of order needed next according to the latest state; nullopt if none is needed or no state is
    /// known.
    std::optional<OrderKind> requiredOrder() const;

    /// @return whether the latest state is at most @p maxAge old.
    bool isStateFresh(TimePoint now, Duration maxAge) const { return observed && now - observedAt <= maxAge; }

    /// @return whether the target is serving requests now.
    bool serves(TimePoint now, Duration maxAge) const;

    /// Discards the order in progress and the observed state, so that the state is read before the next order.
    void resetOrder();
};

/// Updates a target from its declaration in the configuration. A changed address or desired state discards the order in
/// progress.
void applyDeclaration(OrderedTarget&, const config::Target&);

} // namespace sagechute::steward
