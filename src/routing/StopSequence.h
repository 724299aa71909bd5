#pragma once

/// @file
/// The steps of a planned stop.

#include "routing/Outbox.h"

namespace sagechute::routing {

enum class StopPhase {
    Running,
    Announced, ///< No longer listed by /v1/locate; requests of callers with a cached answer are still accepted.
    Closing, ///< New requests are refused; requests in flight are completed.
    HandingOver, ///< The outcome memory is transferred to a successor.
    Done,
};

/// Runs a planned stop without cutting off any caller: callers with a cached /v1/locate answer are still accepted,
/// requests in flight are completed, and outcomes remembered for resends are handed to another router.
class StopSequence {
public:
    StopSequence(const RouterSettings&, const membership::MembershipView&, Outbox&);

    void begin(TimePoint now, std::chrono::milliseconds locateKeep);

    /// @param requests number of requests still held by this router.
    void tick(TimePoint now, std::size_t requests, delivery::OutcomeMemory&);
    void handoverConfirmed(const VmId& from);

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
    TimePoint m_drainDeadline {};
    TimePoint m_successorDeadline {};
    bool m_handoverDone = false; ///< Also true when there is nothing to hand over or no successor is available.
    std::vector<VmId> m_triedSuccessors;
};

} // namespace sagechute::routing
