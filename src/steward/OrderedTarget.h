#pragma once

#include <sagechute/Steward.h>

namespace sagechute::steward {

/// What a target should have.
struct WantedState {
    std::string model;
    std::string version;
    std::string role;

    bool isEmpty() const { return model.empty() && role.empty(); }
    bool operator==(const WantedState&) const = default;
};

/// How far an order to a target is.
enum class OrderPhase { Idle, Asking, Granted, Ordering, Confirming };

std::string_view toString(OrderPhase);

/// One target that takes orders: what it should have, what it told, and what is under way.
struct OrderedTarget {
    TargetId name;
    PoolId pool;
    std::string address;
    bool checksFencing = false;
    bool leaving = false;
    WantedState wanted;

    std::optional<ObservedState> observed;
    TimePoint observedAt {};
    std::uint64_t reading = 0; ///< Number of the read under way, 0 for none.
    TimePoint readAt {}; ///< When to read its state next.

    OrderPhase phase = OrderPhase::Idle;
    OrderKind ordering = OrderKind::Load; ///< The order under way, unless idle.
    TimePoint orderedAt {}; ///< When the order under way was sent.
    TimePoint notBefore {}; ///< No order before this.
    TimePoint differsSince {}; ///< Since when it has differed from what is wanted; zero: it does not.
    std::string waitsFor;

    /// @return the next order that it needs, judged by its latest state; nullopt when it needs none or has told none.
    std::optional<OrderKind> need() const;

    /// @return whether its latest state is recent.
    bool isKnown(TimePoint now, Duration keep) const { return observed && now - observedAt <= keep; }

    /// @return whether it serves requests with what it has loaded.
    bool serves(TimePoint now, Duration keep) const;

    /// Forgets an order under way; its state is read before the next one.
    void forgetOrder();
};

/// Takes over what the configuration says about a target.
void declare(OrderedTarget&, const config::Target&);

} // namespace sagechute::steward
