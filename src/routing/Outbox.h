#pragma once

/// @file
/// Collects the actions that result from one event.

#include <sagechute/Routing.h>

#include <set>
#include <utility>

namespace sagechute::routing {

class Outbox {
public:
    template <typename SomeAction> void add(SomeAction action) { m_actions.emplace_back(std::move(action)); }

    /// Sends a message to a member, or to any router with a stream to this one. A router that has just started may
    /// receive offers before gossip has told it the senders' addresses; it replies on the existing stream.
    /// @return whether the message could be sent.
    bool message(const membership::MembershipView&, const VmId& to, Purpose, const wire::Message&);

    void streamUp(const VmId& vm) { m_streams.insert(vm); }
    void streamDown(const VmId& vm) { m_streams.erase(vm); }

    Actions take() { return std::exchange(m_actions, {}); }

private:
    Actions m_actions;
    std::set<VmId> m_streams;
};

} // namespace sagechute::routing
