#include "routing/SessionTable.h"

namespace sagechute::routing {

namespace {

    /// Planned stops remembered; at 290 restarts a day this covers several days.
    constexpr std::size_t mostHeirs = 2048;

} // namespace

SessionTable::SessionTable(const delivery::OutcomeMemory& memory, const membership::MembershipView& view)
    : m_memory(memory)
    , m_view(view)
{
}

SessionRoute SessionTable::route(const RouterLife& holder) const
{
    if (m_memory.answersFor(holder))
        return { SessionRoute::Kind::Here, {}, {} };
    const auto heir = m_heirs.find(holder);
    const VmId vm = heir == m_heirs.end() ? holder.vm : heir->second;
    const membership::Member* member = m_view.find(vm);
    if (!member || member->state == membership::MemberState::Dead || member->state == membership::MemberState::Left)
        return {};
    if (heir == m_heirs.end() && member->summary.life != holder)
        return {};
    return { SessionRoute::Kind::Forward, vm, member->summary.callerAddress };
}

void SessionTable::inheritedBy(const RouterLife& life, const VmId& vm)
{
    if (m_heirs.size() >= mostHeirs)
        m_heirs.erase(m_heirs.begin());
    m_heirs[life] = vm;
}

} // namespace sagechute::routing
