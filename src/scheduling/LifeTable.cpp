#include "scheduling/LifeTable.h"

#include <algorithm>

namespace sagechute::scheduling {

namespace {

    // A summary that was under way when its sender died arrives after the retirement. Taken as a sign of life, it would
    // leave customers backlogged for ever (noticed as a customer that is never lifted again). A life that did return
    // sends more.
    constexpr std::uint32_t kSummariesOfALiveRouter = 3;

} // namespace

LifeTable::LifeTable(RouterLife self)
    : m_self(std::move(self))
{
}

std::vector<RegisterChange> LifeTable::absorb(
    const RouterLife& life, std::uint64_t sequence, bool full, const std::vector<ServiceReport>& reports)
{
    std::vector<RegisterChange> changes;
    Life& entry = lifeFor(life);
    retireEarlierLives(life, changes);
    if (!entry.retired && hasLaterLife(life))
        retire(life, entry, changes);
    noteSequence(life, entry, sequence, changes);
    Cost step = 0;
    for (const auto& it : reports)
        step = std::max(step, merge(entry, sequence, it, changes));
    if (step > 0)
        entry.usualStep.add(step);
    if (step > entry.largestStep) {
        m_unseen += step - entry.largestStep;
        entry.largestStep = step;
    }
    if (full)
        endOldBacklogs(entry, sequence, changes);
    // Nothing is missing of a life that is known from its first summary on.
    entry.complete = entry.complete || full || sequence == 1;
    limitLives(changes);
    return changes;
}

LifeTable::Life& LifeTable::lifeFor(const RouterLife& life)
{
    const auto [it, isNew] = m_lives.try_emplace(life);
    if (isNew)
        it->second.returned = m_foldedNames.contains(life);
    it->second.heard = ++m_heard;
    return it->second;
}

void LifeTable::noteSequence(
    const RouterLife& life, Life& entry, std::uint64_t sequence, std::vector<RegisterChange>& changes)
{
    if (sequence <= entry.sequence)
        return;
    entry.sequence = sequence;
    if (!entry.retired)
        return;
    ++entry.newerSummaries;
    if (entry.newerSummaries >= kSummariesOfALiveRouter && !hasLaterLife(life))
        revive(life, entry, changes);
}

Cost LifeTable::merge(
    Life& entry, std::uint64_t sequence, const ServiceReport& report, std::vector<RegisterChange>& changes)
{
    if (report.customer >= entry.registers.size())
        entry.registers.resize(report.customer + 1);
    Register& reg = entry.registers[report.customer];
    if (reg.known && reg.sequence >= sequence)
        return 0;
    RegisterChange change { report.customer };
    change.history = !reg.known && !entry.complete;
    if (!reg.known && entry.returned) {
        base(report.customer) += 0; // the folded part refers to it
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

Cost LifeTable::usualStep() const
{
    Cost sum = 0;
    for (const auto& it : m_lives)
        sum += it.second.usualStep.value();
    return sum;
}

void LifeTable::endOldBacklogs(Life& entry, std::uint64_t sequence, std::vector<RegisterChange>& changes)
{
    // A full summary names every backlogged customer, so the summary that ended any other backlog was lost.
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        Register& reg = entry.registers[c];
        if (!reg.backlogged || reg.sequence >= sequence)
            continue;
        reg.backlogged = false;
        if (!entry.retired)
            changes.push_back({ c, 0, -1 });
    }
}

void LifeTable::retireEarlierLives(const RouterLife& life, std::vector<RegisterChange>& changes)
{
    for (auto it = m_lives.lower_bound({ life.vm, 0 }); it != m_lives.end() && it->first < life; ++it) {
        if (!it->second.retired)
            retire(it->first, it->second, changes);
    }
}

bool LifeTable::hasLaterLife(const RouterLife& life) const
{
    if (life.vm == m_self.vm && life < m_self)
        return true;
    const auto it = m_lives.upper_bound(life);
    return it != m_lives.end() && it->first.vm == life.vm;
}

std::vector<RegisterChange> LifeTable::retire(const RouterLife& life)
{
    std::vector<RegisterChange> changes;
    if (life == m_self)
        return changes;
    // Also a life that was never heard of: its summary may still be under way.
    Life& entry = lifeFor(life);
    if (entry.retired)
        return changes;
    retire(life, entry, changes);
    limitLives(changes);
    return changes;
}

void LifeTable::retire(const RouterLife& life, Life& entry, std::vector<RegisterChange>& changes)
{
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        if (!entry.registers[c].backlogged)
            continue;
        entry.registers[c].backlogged = false;
        changes.push_back({ c, 0, -1 });
    }
    entry.retired = true;
    entry.newerSummaries = 0;
    m_retired.push_back(life);
}

void LifeTable::revive(const RouterLife& life, Life& entry, std::vector<RegisterChange>& changes)
{
    entry.retired = false;
    m_retired.erase(std::remove(m_retired.begin(), m_retired.end(), life), m_retired.end());
    for (CustomerIndex c = 0; c < entry.registers.size(); ++c) {
        if (entry.registers[c].backlogged)
            changes.push_back({ c, 0, 1 });
    }
}

void LifeTable::limitLives(std::vector<RegisterChange>& changes)
{
    while (m_retired.size() > kRetiredLivesKept) {
        fold(m_lives.find(m_retired.front()));
        m_retired.pop_front();
    }
    // Lives that nobody ever retires here (their death was before this router's start) would fill the memory as well.
    while (m_lives.size() > kLivesKept) {
        auto oldest = m_lives.end();
        for (auto it = m_lives.begin(); it != m_lives.end(); ++it) {
            if (!it->second.retired && (oldest == m_lives.end() || it->second.heard < oldest->second.heard))
                oldest = it;
        }
        retire(oldest->first, oldest->second, changes);
        m_retired.pop_back();
        fold(oldest);
    }
}

void LifeTable::fold(Lives::iterator life)
{
    for (CustomerIndex c = 0; c < life->second.registers.size(); ++c) {
        const Register& reg = life->second.registers[c];
        if (reg.service != reg.folded)
            base(c) += reg.service - reg.folded;
    }
    m_unseen = std::max<Cost>(0, m_unseen - life->second.largestStep);
    rememberName(life->first);
    m_lives.erase(life);
}

void LifeTable::rememberName(const RouterLife& life)
{
    if (!m_foldedNames.insert(life).second)
        return;
    m_foldedOrder.push_back(life);
    if (m_foldedOrder.size() <= kNamesKept)
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

std::vector<RegisterChange> LifeTable::absorbBase(const std::vector<ServiceReport>& reports)
{
    std::vector<RegisterChange> changes;
    // Two bases hold different but overlapping sets of lives, so they cannot be added.
    if (!m_base.empty())
        return changes;
    for (const auto& it : reports) {
        base(it.customer) = it.service;
        changes.push_back({ it.customer, it.service, 0, true });
    }
    return changes;
}

std::vector<LifeTable::Known> LifeTable::known() const
{
    std::vector<Known> all;
    all.emplace_back();
    // The reader hears of a returned life's whole register from that life itself, so the base must leave that part out
    // for it.
    std::vector<Cost> base = m_base;
    std::vector<const Lives::value_type*> lives;
    for (const auto& it : m_lives)
        lives.push_back(&it);
    std::sort(
        lives.begin(), lives.end(), [](const auto* a, const auto* b) { return a->second.heard < b->second.heard; });
    for (const auto* it : lives) {
        const Life& entry = it->second;
        Known one { it->first, entry.sequence, {} };
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
