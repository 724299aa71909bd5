#include "scheduling/TargetTable.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    // Corrupt configuration with billions of slots would overflow the sums.
    constexpr std::uint32_t kMaxSlots = 1 << 20;

} // namespace

TargetHash targetHash(const TargetId& id) { return stableHash(id.value); }

TargetTable::Update TargetTable::setTargets(const std::vector<CellTarget>& targets)
{
    std::vector<bool> isKept(m_targets.size(), false);
    m_slots = 0;
    for (const auto& it : targets) {
        const TargetIndex t = add(it.id);
        if (t >= isKept.size())
            isKept.resize(t + 1);
        isKept[t] = true;
        Target& target = m_targets[t];
        target.slots = std::min(it.slots, kMaxSlots);
        target.accepting = it.accepting;
        target.present = true;
        updateFreeIndex(t);
    }
    Update update;
    for (TargetIndex t = 0; t < m_targets.size(); ++t) {
        if (!m_targets[t].present)
            continue;
        if (isKept[t]) {
            m_slots += m_targets[t].slots;
            continue;
        }
        m_targets[t].present = false;
        updateFreeIndex(t);
        update.removed.push_back(t);
        removeIfUnused(t);
    }
    return update;
}

TargetIndex TargetTable::add(const TargetId& id)
{
    const auto it = m_index.find(id);
    if (it != m_index.end())
        return it->second;
    TargetIndex t = TargetIndex(m_targets.size());
    if (m_unusedIndices.empty()) {
        m_targets.emplace_back();
    } else {
        t = m_unusedIndices.back();
        m_unusedIndices.pop_back();
    }
    m_targets[t] = Target { id, targetHash(id) };
    m_index.emplace(id, t);
    return t;
}

TargetIndex TargetTable::find(const TargetId& id) const
{
    const auto it = m_index.find(id);
    if (it == m_index.end() || !m_targets[it->second].present)
        return kNoTarget;
    return it->second;
}

void TargetTable::setAccepting(const TargetId& id, bool accepting)
{
    const TargetIndex t = find(id);
    if (t == kNoTarget)
        return;
    m_targets[t].accepting = accepting;
    updateFreeIndex(t);
}

void TargetTable::acquire(TargetIndex t)
{
    if (t == kNoTarget)
        return;
    ++m_targets[t].used;
    updateFreeIndex(t);
}

void TargetTable::release(TargetIndex t)
{
    if (t == kNoTarget)
        return;
    --m_targets[t].used;
    updateFreeIndex(t);
    removeIfUnused(t);
}

void TargetTable::updateFreeIndex(TargetIndex t)
{
    Target& target = m_targets[t];
    const bool usable = target.present && target.accepting && target.used < target.slots;
    m_freeSlots -= target.countedFreeSlots;
    target.countedFreeSlots = usable ? target.slots - target.used : 0;
    m_freeSlots += target.countedFreeSlots;
    const double load = usable ? double(target.used) / target.slots : -1;
    if (load == target.load)
        return;
    if (!usable) {
        m_free.erase({ target.load, t });
    } else if (target.load < 0) {
        m_free.insert({ load, t });
    } else {
        auto node = m_free.extract({ target.load, t });
        node.value().load = load;
        m_free.insert(std::move(node));
    }
    target.load = load;
}

void TargetTable::removeIfUnused(TargetIndex t)
{
    Target& target = m_targets[t];
    if (target.present || target.used)
        return;
    m_index.erase(target.id);
    target = Target {};
    m_unusedIndices.push_back(t);
}

} // namespace sagechute::scheduling
