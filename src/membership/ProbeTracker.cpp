#include "membership/ProbeTracker.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {

Probe& ProbeTracker::start(Probe probe) { return m_probes.emplace_back(std::move(probe)); }

Probe* ProbeTracker::find(std::uint16_t sequence)
{
    const auto it = std::find_if(
        m_probes.rbegin(), m_probes.rend(), [sequence](const Probe& probe) { return probe.sequence == sequence; });
    return it == m_probes.rend() ? nullptr : &*it;
}

bool ProbeTracker::isOpen(const VmId& target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
        [&target](const Probe& probe) { return probe.isOpen() && probe.target.vm == target; });
}

void ProbeTracker::cancelOpen()
{
    std::erase_if(m_probes, [](const Probe& probe) { return probe.isOpen(); });
}

void ProbeTracker::removeBefore(TimePoint moment)
{
    while (!m_probes.empty() && m_probes.front().sentAt < moment)
        m_probes.pop_front();
}

double ProbeTracker::ackedShare(TimePoint moment) const
{
    std::size_t ended = 0;
    std::size_t answered = 0;
    for (const Probe& it : m_probes) {
        if (it.sentAt < moment || it.isOpen() || !it.isSample)
            continue;
        ++ended;
        answered += it.stage == ProbeStage::Acked ? 1 : 0;
    }
    constexpr std::size_t kMinSamples = 4;
    if (ended < kMinSamples)
        return 0;
    const double share = static_cast<double>(answered) / static_cast<double>(ended);
    return share - std::sqrt(share * (1 - share) / static_cast<double>(ended));
}

void ProbeOrder::add(const VmId& vm, Random& random)
{
    if (!m_known.insert(vm).second)
        return;
    // Insert at a random place in the rest of this round. If appended, a member that joins and leaves repeatedly might
    // never be probed.
    const std::size_t place = m_next + random.below(m_order.size() - m_next + 1);
    m_order.insert(m_order.begin() + static_cast<std::ptrdiff_t>(place), vm);
}

void ProbeOrder::shuffle(Random& random)
{
    for (std::size_t i = m_order.size(); i > 1; --i)
        std::swap(m_order[i - 1], m_order[random.below(i)]);
    m_next = 0;
}

} // namespace sagechute::membership
