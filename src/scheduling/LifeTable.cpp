#include "scheduling/LifeTable.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    // Number of newer summaries that revive a retired incarnation. Summaries in transit when their sender died arrive
    // after its retirement; reviving it on the first one would leave its customers backlogged forever, so that they
    // would never be lifted again. An incarnation that is really alive keeps sending.
    constexpr std::uint32_t kSummariesToRevive = 3;

} // namespace

LifeTable::LifeTable(RouterLife self)
    : m_self(std::move(self))
{
}

std::vector<RegisterChange> LifeTable::mergeReports(
    const RouterLife& life, std::uint64_t sequence, bool full, const std::vector<ServiceReport>& reports)
{
    std::vector<RegisterChange> changes;
    RouterEntry& entry = findOrCreate(life);
    retireOlderIncarnations(life, changes);
    if (!entry.retired && hasNewerIncarnation(life))
        retire(life, entry, changes);
    advanceSequence(life, entry, sequence, changes);
    Cost step = 0;
    for (const auto& it : reports)
        step = std::max(step, merge(entry, sequence, it, changes));
    if (step > 0)
        entry.meanStep.add(step);
    if (step > entry.largestStep) {
        m_unreported += step - entry.largestStep;
        entry.largestStep = step;
    }
    if (full)
        endStaleBacklogs(entry, sequence, changes);
    // An incarnation that is known from its first summary on has no unknown charges.
    entry.complete = entry.complete || full || sequence == 1;
    enforceLimits(changes);
    return changes;
}

LifeTable::RouterEntry& LifeTable::findOrCreate(const RouterLife& life)
{
    const auto [it, isNew] = m_incarnations.try_emplace(life);
    if (isNew)
        it->second.wasFolded = m_foldedNames.contains(life);
    it->second.lastUpdate = ++m_updateCount;
    return it->second;
}

void LifeTable::advanceSequence(
    const RouterLife& life, RouterEntry& entry, std::uint64_t sequence, std::vector<RegisterChange>& changes)
{
    if (sequence <= entry.sequence)
        return;
    entry.sequence = sequence;
    if (!entry.retired)
        return;
    ++entry.summariesSinceRetired;
    if (entry.summariesSinceRetired >= kSummariesToRevive && !hasNewerIncarnation(life))
        revive(life, entry, changes);
}

Cost LifeTable::merge(
    RouterEntry& entry, std::uint64_t sequence, const ServiceReport& report, std::vector<RegisterChange>& changes)
{
    if (report.customer >= entry.registers.size())
        entry.registers.resize(report.customer + 1);
    Register& reg = entry.registers[report.customer];
    if (reg.known && reg.sequence >= sequence)
        return 0;
    RegisterChange change { report.customer };
    change.history = !reg.known && !entry.complete;
    if (!reg.known && entry.wasFolded) {
        base(report.customer) += 0; // grow the base: the folded part is subtracted from it later
        reg.folded = reg.service = report.service;
    }
    change.service = report.service - reg.service;
    if (!entry.retired)
        change.backlogs = int(report.backlogged) - int(reg.backlogged);
    reg.service = report.service;
    reg.backlogged = report.backlogged;
    reg.sequence = sequence;
    reg.known = true;
    if (change.service != 0 || change.backlogs)
        changes.push_back(change);
    return change.history ? 0 : std::abs(change.service);
}

Cost LifeTable::meanStep() const
{
    Cost sum = 0;
    for (const auto& it : m_incarnations)
        sum += it.second.meanStep.value();
    return sum;
}

void LifeTable::endStaleBacklogs(RouterEntry& entry, std::uint64_t sequence, std::vector<RegisterChange>& changes)
{
    // A full summary lists every backlogged customer. Other backlogs have ended, but the summary that said so was lost.
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        Register& reg = entry.registers[c];
        if (!reg.backlogged || reg.sequence >= sequence)
            continue;
        reg.backlogged = false;
        if (!entry.retired)
            changes.push_back({ c, 0, -1 });
    }
}

void LifeTable::retireOlderIncarnations(const RouterLife& life, std::vector<RegisterChange>& changes)
{
    for (auto it = m_incarnations.lower_bound({ life.vm, 0 }); it != m_incarnations.end() && it->first < life; ++it) {
        if (!it->second.retired)
            retire(it->first, it->second, changes);
    }
}

bool LifeTable::hasNewerIncarnation(const RouterLife& life) const
{
    if (life.vm == m_self.vm && life < m_self)
        return true;
    const auto it = m_incarnations.upper_bound(life);
    return it != m_incarnations.end() && it->first.vm == life.vm;
}

std::vector<RegisterChange> LifeTable::retire(const RouterLife& life)
{
    std::vector<RegisterChange> changes;
    if (life == m_self)
        return changes;
    // Retires unknown incarnations as well, since their summaries may still be in transit.
    RouterEntry& entry = findOrCreate(life);
    if (entry.retired)
        return changes;
    retire(life, entry, changes);
    enforceLimits(changes);
    return changes;
}

void LifeTable::retire(const RouterLife& life, RouterEntry& entry, std::vector<RegisterChange>& changes)
{
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        if (!entry.registers[c].backlogged)
            continue;
        entry.registers[c].backlogged = false;
        changes.push_back({ c, 0, -1 });
    }
    entry.retired = true;
    entry.summariesSinceRetired = 0;
    m_retiredOrder.push_back(life);
}

void LifeTable::revive(const RouterLife& life, RouterEntry& entry, std::vector<RegisterChange>& changes)
{
    entry.retired = false;
    m_retiredOrder.erase(std::remove(m_retiredOrder.begin(), m_retiredOrder.end(), life), m_retiredOrder.end());
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        if (entry.registers[c].backlogged)
            changes.push_back({ c, 0, 1 });
    }
}

void LifeTable::enforceLimits(std::vector<RegisterChange>& changes)
{
    while (m_retiredOrder.size() > kMaxRetired) {
        fold(m_incarnations.find(m_retiredOrder.front()));
        m_retiredOrder.pop_front();
    }
    // Incarnations that died before this router started are never retired here; their number must be limited as well.
    while (m_incarnations.size() > kMaxIncarnations) {
        auto oldest = m_incarnations.end();
        for (auto it = m_incarnations.begin(); it != m_incarnations.end(); ++it) {
            if (!it->second.retired
                && (oldest == m_incarnations.end() || it->second.lastUpdate < oldest->second.lastUpdate))
                oldest = it;
        }
        retire(oldest->first, oldest->second, changes);
        m_retiredOrder.pop_back();
        fold(oldest);
    }
}

void LifeTable::fold(RouterEntries::iterator life)
{
    for (CustomerIndex c = 0; c < life->second.registers.size(); ++c) {
        const Register& reg = life->second.registers[c];
        if (reg.service != reg.folded)
            base(c) += reg.service - reg.folded;
    }
    m_unreported = std::max<Cost>(0, m_unreported - life->second.largestStep);
    rememberFolded(life->first);
    m_incarnations.erase(life);
}

void LifeTable::rememberFolded(const RouterLife& life)
{
    if (!m_foldedNames.insert(life).second)
        return;
    m_foldedOrder.push_back(life);
    if (m_foldedOrder.size() <= kMaxFoldedNames)
        return;
    m_foldedNames.erase(m_foldedOrder.front());
    m_foldedOrder.pop_front();
}

Cost& LifeTable::base(CustomerIndex c)
{
    if (c >= m_base.size())
        m_base.resize(c + 1);
    return m_base[c];
}

std::vector<RegisterChange> LifeTable::mergeBase(const std::vector<ServiceReport>& reports)
{
    std::vector<RegisterChange> changes;
    // Bases of two routers cover different but overlapping sets of incarnations, so they cannot be added.
    if (!m_base.empty())
        return changes;
    for (const auto& it : reports) {
        base(it.customer) = it.service;
        changes.push_back({ it.customer, it.service, 0, true });
    }
    return changes;
}

std::vector<LifeTable::Snapshot> LifeTable::snapshots() const
{
    std::vector<Snapshot> all;
    all.emplace_back();
    // The receiver gets the whole register of a returned incarnation, so the folded part is subtracted from the base.
    std::vector<Cost> base = m_base;
    std::vector<const RouterEntries::value_type*> byLastUpdate;
    for (const auto& it : m_incarnations)
        byLastUpdate.push_back(&it);
    std::sort(byLastUpdate.begin(), byLastUpdate.end(),
        [](const auto* a, const auto* b) { return a->second.lastUpdate < b->second.lastUpdate; });
    for (const auto* it : byLastUpdate) {
        const RouterEntry& entry = it->second;
        Snapshot one { it->first, entry.sequence, {} };
        for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
            const Register& reg = entry.registers[c];
            if (!reg.known)
                continue;
            one.reports.push_back({ c, reg.service, false });
            if (reg.folded != 0)
                base[c] -= reg.folded;
        }
        all.push_back(std::move(one));
    }
    for (CustomerIndex c = 0; c < base.size(); ++c) {
        if (base[c] != 0)
            all.front().reports.push_back({ c, base[c], false });
    }
    return all;
}

} // namespace sagechute::scheduling
