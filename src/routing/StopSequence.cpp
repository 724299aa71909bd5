#include "routing/StopSequence.h"

#include <algorithm>

namespace sagechute::routing {

namespace {

    /// Added to the time for which callers cache a /v1/locate answer, since gossip needs time to spread and callers'
    /// clocks are imprecise.
    constexpr Duration locateKeepMargin = std::chrono::seconds(2);

    /// How long a successor may take to confirm the outcome memory before another one is tried.
    constexpr Duration successorTimeout = std::chrono::seconds(2);
    constexpr std::size_t maxSuccessors = 3;
    constexpr std::size_t maxPartBytes = 256 << 10;

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
    m_closeAt = now + locateKeep + locateKeepMargin;
    m_drainDeadline = now + m_settings.maxStopTime;
}

void StopSequence::tick(TimePoint now, std::size_t requests, delivery::OutcomeMemory& memory)
{
    if (m_phase == StopPhase::Announced && now >= m_closeAt) {
        m_phase = StopPhase::Closing;
    }
    // Up to this point other routers forward requests of the sessions held here, which only this router can answer.
    if (m_phase == StopPhase::Closing && (requests == 0 || now >= m_drainDeadline)) {
        m_phase = StopPhase::HandingOver;
        m_outbox.add(StopListening {});
        handOver(now, memory);
        return;
    }
    if (m_phase == StopPhase::HandingOver && !m_handoverDone && now >= m_successorDeadline)
        handOver(now, memory);
    // A connection that was already open may still deliver a request. Most are refused at once, but one that was
    // forwarded to the holder of its session has to be answered first.
    if (m_phase == StopPhase::HandingOver && m_handoverDone && (requests == 0 || now >= m_drainDeadline))
        m_phase = StopPhase::Done;
}

void StopSequence::handOver(TimePoint now, delivery::OutcomeMemory& memory)
{
    const auto successor = nextSuccessor();
    if (!successor || m_triedSuccessors.size() >= maxSuccessors) {
        m_handoverDone = true;
        return;
    }
    // Nothing may start here after the export: the successor would report it as never started.
    memory.close();
    m_triedSuccessors.push_back(*successor);
    m_successorDeadline = now + successorTimeout;
    const std::vector<std::string> parts = memory.exportParts(maxPartBytes);
    for (std::size_t n = 0; n < parts.size(); ++n) {
        wire::OutcomePartMessage message;
        message.part = static_cast<std::uint32_t>(n);
        message.parts = static_cast<std::uint32_t>(parts.size());
        message.bytes = parts[n];
        m_outbox.message(m_view, *successor, Purpose::Handover, message);
    }
}

void StopSequence::handoverConfirmed(const VmId& from)
{
    if (m_phase == StopPhase::HandingOver && !m_triedSuccessors.empty() && m_triedSuccessors.back() == from)
        m_handoverDone = true;
}

std::optional<VmId> StopSequence::nextSuccessor() const
{
    std::optional<VmId> best;
    std::uint64_t bestScore = 0;
    for (const membership::Member& it : m_view.members) {
        const VmId& vm = it.summary.life.vm;
        const bool usable
            = it.state == membership::MemberState::Alive && !it.summary.draining && vm != m_settings.life.vm;
        if (!usable || std::find(m_triedSuccessors.begin(), m_triedSuccessors.end(), vm) != m_triedSuccessors.end())
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
