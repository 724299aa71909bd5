#pragma once

/// @file
/// Determines which router answers for a session of non-repeatable requests.

#include <sagechute/Delivery.h>
#include <sagechute/Membership.h>

#include <map>

namespace sagechute::routing {

/// Where a request of a session must be handled.
struct SessionRoute {
    enum class Kind { Here, Forward, Gone } kind = Kind::Gone;
    VmId forwardTo;
    std::string address;
};

/// Maps sessions to the routers that answer for them. Only the router incarnation named in a session, or the router
/// that took over its outcome memory at a planned stop, may run a request of the session: no other can know whether it
/// has run before.
class SessionTable {
public:
    SessionTable(const delivery::OutcomeMemory&, const membership::MembershipView&);

    SessionRoute route(const RouterLife& holder) const;
    void recordSuccessor(const RouterLife& life, const VmId& vm);

private:
    const delivery::OutcomeMemory& m_memory;
    const membership::MembershipView& m_view;
    std::map<RouterLife, VmId> m_successors;
};

} // namespace sagechute::routing
