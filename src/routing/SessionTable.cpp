#include "routing/SessionTable.h"

namespace sagechute::routing {

namespace {

    /// Maximum number of planned stops remembered; at 290 restarts a day this covers several days.
    constexpr std::size_t maxSuccessorEntries = 2048;

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
    const auto successor = m_successors.find(holder);
    const VmId vm = successor == m_successors.end() ? holder.vm : successor->second;
    const membership::Member* member = m_view.find(vm);
    if (!member || member->state == membership::MemberState::Dead || member->state == membership::MemberState::Left)
        return {};
    if (successor == m_successors.end() && member->summary.life != holder)
        return {};
    return { SessionRoute::Kind::Forward, vm, member->summary.callerAddress };
}

void SessionTable::recordSuccessor(const RouterLife& life, const VmId& vm)
{
    if (m_successors.size() >= maxSuccessorEntries)
        m_successors.erase(m_successors.begin());
    m_successors[life] = vm;
}

} // namespace sagechute::routing
