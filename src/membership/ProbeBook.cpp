#include "membership/ProbeBook.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {

Probe& ProbeBook::start(Probe probe) { return m_probes.emplace_back(std::move(probe)); }

Probe* ProbeBook::find(std::uint16_t sequence)
{
    const auto it = std::find_if(
        m_probes.rbegin(), m_probes.rend(), [sequence](const Probe& probe) { return probe.sequence == sequence; });
    return it == m_probes.rend() ? nullptr : &*it;
}

bool ProbeBook::isOpen(const VmId& target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
        [&target](const Probe& probe) { return probe.isOpen() && probe.target.vm == target; });
}

void ProbeBook::abandonOpen()
{
    std::erase_if(m_probes, [](const Probe& probe) { return probe.isOpen(); });
}

void ProbeBook::forgetBefore(TimePoint moment)
{
    while (!m_probes.empty() && m_probes.front().sentAt < moment)
        m_probes.pop_front();
}

double ProbeBook::answeredShare(TimePoint moment) const
{
    std::size_t ended = 0;
    std::size_t answered = 0;
    for (const Probe& it : m_probes) {
        if (it.sentAt < moment || it.isOpen() || !it.isSample)
            continue;
        ++ended;
        answered += it.stage == ProbeStage::Answered ? 1 : 0;
    }
    constexpr std::size_t kLeastSamples = 4;
    if (ended < kLeastSamples)
        return 0;
    const double share = static_cast<double>(answered) / static_cast<double>(ended);
    return share - std::sqrt(share * (1 - share) / static_cast<double>(ended));
}

void ProbeOrder::add(const VmId& vm, Random& random)
{
    if (!m_known.insert(vm).second)
        return;
    // Anywhere in what is left of this round: at its end, a member that comes and goes might never be asked.
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
