#pragma once

/// @file
/// Collects the actions of one event.

#include <sagechute/Routing.h>

#include <utility>

namespace sagechute::routing {

class Outbox {
public:
    template <typename SomeAction> void add(SomeAction action) { m_actions.emplace_back(std::move(action)); }

    /// Sends a message to a member; nothing happens when its address is unknown.
    void message(const membership::MembershipView&, const VmId& to, Purpose, const wire::Message&);

    Actions take() { return std::exchange(m_actions, {}); }

private:
    Actions m_actions;
};

} // namespace sagechute::routing
