#pragma once

/// @file
/// The local member's own probes: whom to ask next, what is in flight, what came of it.

#include <sagechute/Core.h>

#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

namespace sagechute::membership {

enum class ProbeStage {
    Waiting, ///< Pinged once.
    AskedOthers, ///< Pinged repeatedly, and others asked to ping it.
    Answered,
    Failed,
};

struct Probe {
    std::uint16_t sequence = 0;
    RouterLife target;
    TimePoint sentAt {};
    TimePoint repeatAt {};
    ProbeStage stage = ProbeStage::Waiting;
    bool isSample = false; ///< Its target came up by turn, so that its end says something about all members.

    bool isOpen() const { return stage == ProbeStage::Waiting || stage == ProbeStage::AskedOthers; }
};

/// Probes of the last few seconds.
class ProbeBook {
public:
    Probe& start(Probe);

    /// @return the probe of that number, also one that counts as failed already, or null.
    Probe* find(std::uint16_t sequence);
    bool isOpen(const VmId& target) const;

    /// Forgets those in flight: the local process stood still, and their answers may wait unread.
    void abandonOpen();
    void forgetBefore(TimePoint moment);

    /// @return a careful estimate of the share of all members that would answer: the share of the sampled probes sent
    /// at or after
    /// @p moment that were answered, less its standard error; 0 when fewer than four came to an end.
    double answeredShare(TimePoint moment) const;

    std::deque<Probe>& all() { return m_probes; }

private:
    std::deque<Probe> m_probes;
};

/// Each member comes up once in a random order before any comes up again, which bounds the time until a dead one is
/// asked.
class ProbeOrder {
public:
    void add(const VmId&, Random&);

    /// @return the next one; @p isWanted says whether it takes part still. Empty when there is none.
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
