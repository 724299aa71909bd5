#pragma once

/// @file
/// The steps of a planned stop.

#include "routing/Outbox.h"

namespace sagechute::routing {

enum class StopPhase {
    Running,
    Announced, ///< Left the answers to "which address"; callers with an old answer are still taken.
    Closing, ///< No new callers; requests in flight end.
    HandingOver, ///< The memory of outcomes moves to a successor.
    Done,
};

/// Leads through a planned stop so that it cuts off nothing: a caller with an old answer to "which address" still gets
/// in, what is in flight ends, and what was remembered for resends lives on elsewhere.
class StopSequence {
public:
    StopSequence(const RouterSettings&, const membership::MembershipView&, Outbox&);

    void begin(TimePoint now, std::chrono::milliseconds locateKeep);

    /// @param requests requests still held here.
    void tick(TimePoint now, std::size_t requests, delivery::OutcomeMemory&);
    void taken(const VmId& from);

    StopPhase phase() const { return m_phase; }
    bool draining() const { return m_phase != StopPhase::Running; }
    bool refusesNew() const { return m_phase >= StopPhase::Closing; }

private:
    void handOver(TimePoint now, delivery::OutcomeMemory&);
    std::optional<VmId> nextSuccessor() const;

    const RouterSettings& m_settings;
    const membership::MembershipView& m_view;
    Outbox& m_outbox;
    StopPhase m_phase = StopPhase::Running;
    TimePoint m_closeAt {};
    TimePoint m_giveUpAt {};
    TimePoint m_successorUntil {};
    bool m_handedOver = false; ///< Or there is nothing to hand over, or nobody to take it.
    std::vector<VmId> m_asked;
};

} // namespace sagechute::routing
