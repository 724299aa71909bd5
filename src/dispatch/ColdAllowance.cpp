#include "dispatch/ColdAllowance.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    /// Upper bound on the slots of a target, which limits the work for a wrong rate.
    constexpr double maxSlots = 1000;

    /// @return a hash of two hashes, by the finalizer of SplitMix64.
    std::uint64_t combine(std::uint64_t one, std::uint64_t other)
    {
        std::uint64_t mixed = one + 0x9e3779b97f4a7c15ULL * (other | 1);
        mixed = (mixed ^ other ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

} // namespace

unsigned coldSlotCount(double rate, double overage, double slack)
{
    const double half = (rate * overage + slack) / 2;
    return static_cast<unsigned>(std::clamp(std::floor(std::min(rate, half)), 1.0, maxSlots));
}

ColdAllowance::ColdAllowance(VmId self)
    : m_self(std::move(self))
    , m_selfHash(stableHash(m_self.value))
{
}

void ColdAllowance::setRouters(TimePoint now, const std::vector<VmId>& heard, const std::vector<VmId>& left)
{
    std::size_t changes = 0;
    for (const VmId& it : left)
        changes += m_others.erase(it);
    std::set<VmId> others(heard.begin(), heard.end());
    others.erase(m_self);
    for (const VmId& it : others) {
        const auto [router, isNew] = m_others.try_emplace(it);
        if (isNew)
            router->second.hash = stableHash(it.value);
        changes += isNew ? 1 : 0;
        router->second.heardAt = now;
    }
    const std::size_t heardCount = others.size() + 1;
    if (2 * heardCount >= m_others.size() + 1)
        changes += std::erase_if(m_others, [&](const auto& it) { return now - it.second.heardAt > memberTtl; });
    if (changes)
        ++m_revision;
    updateMajority(now, heardCount);
    std::erase_if(m_slots, [&](const auto& it) { return now - it.second.askedAt > memberTtl; });
}

void ColdAllowance::updateMajority(TimePoint now, std::size_t heard)
{
    if (2 * heard <= m_others.size() + 1)
        m_usableFrom.reset();
    else if (!m_usableFrom)
        m_usableFrom = now + settlingTime;
}

bool ColdAllowance::isOwn(std::uint64_t slotHash) const
{
    const std::uint64_t own = combine(m_selfHash, slotHash);
    return std::none_of(
        m_others.begin(), m_others.end(), [&](const auto& it) { return combine(it.second.hash, slotHash) > own; });
}

const ColdAllowance::Slots& ColdAllowance::slotsOf(TimePoint now, const TargetId& target, unsigned slots) const
{
    Slots& result = m_slots[target];
    result.askedAt = now;
    if (result.revision == m_revision && result.freeAt.size() == slots)
        return result;
    result.revision = m_revision;
    result.freeAt.resize(slots);
    result.own.clear();
    for (unsigned i = 0; i < slots; ++i) {
        if (isOwn(stableHash(target.value, i)))
            result.own.push_back(i);
    }
    return result;
}

std::optional<TimePoint> ColdAllowance::nextFree(TimePoint now, const TargetId& target, unsigned slots) const
{
    if (!m_usableFrom)
        return std::nullopt;
    const Slots& known = slotsOf(now, target, slots);
    std::optional<TimePoint> first;
    for (const unsigned i : known.own)
        first = std::min(first.value_or(known.freeAt[i]), known.freeAt[i]);
    return first ? std::optional(std::max({ now, *first, *m_usableFrom })) : std::nullopt;
}

bool ColdAllowance::take(TimePoint now, const TargetId& target, unsigned slots)
{
    if (nextFree(now, target, slots) != now)
        return false;
    Slots& known = m_slots.at(target);
    const auto isFree = [&](unsigned i) { return known.freeAt[i] <= now; };
    known.freeAt[*std::find_if(known.own.begin(), known.own.end(), isFree)] = now + slotPeriod;
    return true;
}

unsigned ColdAllowance::ownSlots(TimePoint now, const TargetId& target, unsigned slots) const
{
    return static_cast<unsigned>(slotsOf(now, target, slots).own.size());
}

} // namespace sagechute::dispatch
