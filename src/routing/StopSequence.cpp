#include "routing/StopSequence.h"

#include <algorithm>

namespace sagechute::routing {

namespace {

    /// Added to the time that callers keep an answer: gossip needs a moment to spread, and callers' clocks are rough.
    constexpr Duration keepMargin = std::chrono::seconds(2);

    /// How long a successor may take to confirm the memory of outcomes before another one is asked.
    constexpr Duration successorPatience = std::chrono::seconds(2);
    constexpr std::size_t mostSuccessors = 3;
    constexpr std::size_t partBytes = 256 << 10;

} // namespace

StopSequence::StopSequence(const RouterSettings& settings, const membership::MembershipView& view, Outbox& outbox)
    : m_settings(settings)
    , m_view(view)
    , m_outbox(outbox)
{
}

void StopSequence::begin(TimePoint now, std::chrono::milliseconds locateKeep)
{
    if (m_phase != StopPhase::Running)
        return;
    m_phase = StopPhase::Announced;
    m_closeAt = now + locateKeep + keepMargin;
    m_giveUpAt = now + m_settings.stopMost;
}

void StopSequence::tick(TimePoint now, std::size_t requests, delivery::OutcomeMemory& memory)
{
    if (m_phase == StopPhase::Announced && now >= m_closeAt) {
        m_phase = StopPhase::Closing;
    }
    // Until here other routers hand over requests of the sessions held here, and only this router can answer them.
    if (m_phase == StopPhase::Closing && (requests == 0 || now >= m_giveUpAt)) {
        m_phase = StopPhase::HandingOver;
        m_outbox.add(StopListening {});
        handOver(now, memory);
        return;
    }
    if (m_phase == StopPhase::HandingOver && !m_handedOver && now >= m_successorUntil)
        handOver(now, memory);
    // A connection that was open before still brings a request now and then. Most are refused at once; one that was
    // handed to the holder of its session has to come back first.
    if (m_phase == StopPhase::HandingOver && m_handedOver && (requests == 0 || now >= m_giveUpAt))
        m_phase = StopPhase::Done;
}

void StopSequence::handOver(TimePoint now, delivery::OutcomeMemory& memory)
{
    const auto successor = nextSuccessor();
    if (!successor || m_asked.size() >= mostSuccessors) {
        m_handedOver = true;
        return;
    }
    // Nothing may begin here once the export is made: the successor would call it never begun.
    memory.close();
    m_asked.push_back(*successor);
    m_successorUntil = now + successorPatience;
    const std::vector<std::string> parts = memory.exportParts(partBytes);
    for (std::size_t n = 0; n < parts.size(); ++n) {
        wire::OutcomePartMessage message;
        message.part = static_cast<std::uint32_t>(n);
        message.parts = static_cast<std::uint32_t>(parts.size());
        message.bytes = parts[n];
        m_outbox.message(m_view, *successor, Purpose::Handover, message);
    }
}

void StopSequence::taken(const VmId& from)
{
    if (m_phase == StopPhase::HandingOver && !m_asked.empty() && m_asked.back() == from)
        m_handedOver = true;
}

std::optional<VmId> StopSequence::nextSuccessor() const
{
    std::optional<VmId> best;
    std::uint64_t bestScore = 0;
    for (const membership::Member& it : m_view.members) {
        const VmId& vm = it.summary.life.vm;
        const bool usable
            = it.state == membership::MemberState::Alive && !it.summary.draining && vm != m_settings.life.vm;
        if (!usable || std::find(m_asked.begin(), m_asked.end(), vm) != m_asked.end())
            continue;
        const std::uint64_t score = stableHash(vm.value, stableHash(m_settings.life.vm.value));
        if (best && score <= bestScore)
            continue;
        best = vm;
        bestScore = score;
    }
    return best;
}

} // namespace sagechute::routing
