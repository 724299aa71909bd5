#pragma once

/// @file
/// Tracks the local member's probes and the order in which members are probed.

#include <sagechute/Core.h>

#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

namespace sagechute::membership {

enum class ProbeStage {
    Waiting, ///< One ping was sent.
    IndirectProbing, ///< The ping was repeated and indirect probes were requested.
    Acked,
    Failed,
};

struct Probe {
    std::uint16_t sequence = 0;
    RouterLife target;
    TimePoint sentAt {};
    TimePoint repeatAt {};
    ProbeStage stage = ProbeStage::Waiting;
    bool isSample = false; ///< The target was chosen in probe order, so the result is a sample of all members.

    bool isOpen() const { return stage == ProbeStage::Waiting || stage == ProbeStage::IndirectProbing; }
};

/// Probes of the last few seconds.
class ProbeTracker {
public:
    Probe& start(Probe);

    /// @return the probe with that sequence number, even if it has failed already, or null.
    Probe* find(std::uint16_t sequence);
    bool isOpen(const VmId& target) const;

    /// Removes probes in flight after a pause of the local process, since their acks may still be queued in the socket.
    void cancelOpen();
    void removeBefore(TimePoint moment);

    /// @return a conservative estimate of the fraction of members that would answer: the fraction of sampled probes
    /// sent at or after @p moment that were acked, minus its standard error. 0 when fewer than four have completed.
    double ackedShare(TimePoint moment) const;

    std::deque<Probe>& all() { return m_probes; }

private:
    std::deque<Probe> m_probes;
};

/// Shuffled round-robin: each member is probed once per round, which bounds the time until a dead member is probed.
class ProbeOrder {
public:
    void add(const VmId&, Random&);

    /// @return the next member for which @p isWanted holds; others are removed. Empty when there is none.
    template <typename IsWanted> VmId next(Random& random, IsWanted isWanted)
    {
        for (std::size_t tries = m_order.size(); tries > 0; --tries) {
            if (m_next >= m_order.size())
                shuffle(random);
            VmId vm = m_order[m_next];
            if (isWanted(vm)) {
                ++m_next;
                return vm;
            }
            m_known.erase(vm);
            m_order.erase(m_order.begin() + static_cast<std::ptrdiff_t>(m_next));
        }
        return {};
    }

private:
    void shuffle(Random&);

    std::vector<VmId> m_order;
    std::unordered_set<VmId> m_known;
    std::size_t m_next = 0;
};

} // namespace sagechute::membership
