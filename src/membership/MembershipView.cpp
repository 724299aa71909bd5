#include <sagechute/Membership.h>

#include <algorithm>

namespace sagechute::membership {

const Member* MembershipView::find(const VmId& vm) const
{
    const auto it = std::lower_bound(members.begin(), members.end(), vm,
        [](const Member& member, const VmId& id) { return member.summary.life.vm < id; });
    return it != members.end() && it->summary.life.vm == vm ? &*it : nullptr;
}

std::size_t MembershipView::aliveCount() const
{
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const Member& member) { return member.state == MemberState::Alive; }));
}

} // namespace sagechute::membership
