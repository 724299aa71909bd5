#pragma once

/// @file
/// Collects the actions of one event.

#include <sagechute/Routing.h>

#include <set>
#include <utility>

namespace sagechute::routing {

class Outbox {
public:
    template <typename SomeAction> void add(SomeAction action) { m_actions.emplace_back(std::move(action)); }

    /// Sends a message to a member, or to whoever has a stream to here. A router that has just started may get offers
    /// of others before gossip has told it their addresses; its answers go back on the stream.
    /// @return whether it could be sent at all.
    bool message(const membership::MembershipView&, const VmId& to, Purpose, const wire::Message&);

    void streamUp(const VmId& vm) { m_streams.insert(vm); }
    void streamDown(const VmId& vm) { m_streams.erase(vm); }

    Actions take() { return std::exchange(m_actions, {}); }

private:
    Actions m_actions;
    std::set<VmId> m_streams;
};

} // namespace sagechute::routing
