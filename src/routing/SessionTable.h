#pragma once

/// @file
/// Who answers for a session of non-repeatable requests.

#include <sagechute/Delivery.h>
#include <sagechute/Membership.h>

#include <map>

namespace sagechute::routing {

/// Where a request of a session has to go.
struct SessionRoute {
    enum class Kind { Here, Forward, Gone } kind = Kind::Gone;
    VmId forwardTo;
    std::string address;
};

/// The lives whose sessions are answered here or elsewhere. Only the life that a session names, or the router that took
/// over its memory at a planned stop, may run a request of it: any other could not know whether it had run before.
class SessionTable {
public:
    SessionTable(const delivery::OutcomeMemory&, const membership::MembershipView&);

    SessionRoute route(const RouterLife& holder) const;
    void inheritedBy(const RouterLife& life, const VmId& vm);

private:
    const delivery::OutcomeMemory& m_memory;
    const membership::MembershipView& m_view;
    std::map<RouterLife, VmId> m_heirs;
};

} // namespace sagechute::routing
