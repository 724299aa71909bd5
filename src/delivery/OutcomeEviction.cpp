// How the outcome memory forgets: by time, and by pressure when it is full.
#include "delivery/OutcomeTable.h"

#include <algorithm>

namespace sagechute::delivery {

bool OutcomeTable::makeRoom(std::size_t charge)
{
    while (m_charge + charge > m_settings.mostBytes) {
        if (!dropFromLargest())
            return false;
    }
    return true;
}

bool OutcomeTable::dropFromLargest()
{
    const auto largest
        = std::find_if(m_byCharge.rbegin(), m_byCharge.rend(), [](const Owner* owner) { return owner->droppable(); });
    if (largest == m_byCharge.rend())
        return false;
    dropOldest(**largest);
    return true;
}

// In the order of what it costs the customer: an answer (its resend gets "unknown"), an entry (so do lower numbers of
// the session that come late), a session record (so do earlier sessions that had no request yet).
void OutcomeTable::dropOldest(Owner& owner)
{
    if (!owner.answered.empty())
        keepNoAnswer(*owner.answered.front());
    else if (!owner.unkept.empty())
        forget(*owner.unkept.front());
    else
        forget(*owner.idle.front());
}

void OutcomeTable::forget(KeptEntry& entry)
{
    onNumberForgotten(*entry.session, entry.number);
    erase(entry);
}

void OutcomeTable::forget(KeptSession& session)
{
    Owner& owner = *session.owner;
    onSessionForgotten(owner, session.serial);
    owner.idle.erase(session.place);
    changeCharge(owner, kSessionCharge, 0);
    owner.sessions.erase(session.serial);
}

// Symptom prevented: a resend that comes after its answer was dropped runs a second time. Numbers are no order of
// arrival, so a lower number that was never seen is refused as well; that costs a false "unknown", never a second run.
void OutcomeTable::onNumberForgotten(KeptSession& session, std::uint64_t number)
{
    session.forgottenUpTo = std::max(session.forgottenUpTo.value_or(0), number);
}

// Symptom prevented: the same, for a resend that comes after the whole session was dropped.
void OutcomeTable::onSessionForgotten(Owner& owner, std::uint64_t serial)
{
    owner.forgottenSerial = std::max(owner.forgottenSerial.value_or(0), serial);
}

void OutcomeTable::expire(TimePoint now)
{
    for (auto& [key, owner] : m_owners)
        expire(owner, now);
    // Entries and marks of a former life are all older than the inheritance; afterwards nobody answers for it, which
    // every router takes as "unknown".
    const Duration keep = std::max(m_settings.keep, m_settings.sessionKeep);
    for (auto it = m_inherited.begin(); it != m_inherited.end();) {
        const auto current = it++;
        if (now - current->second.since < keep)
            continue;
        dropLife(current->first);
        m_inherited.erase(current);
    }
}

void OutcomeTable::expire(Owner& owner, TimePoint now)
{
    while (!owner.answered.empty() && now - owner.answered.front()->endedAt >= m_settings.keep)
        forget(*owner.answered.front());
    while (!owner.unkept.empty() && now - owner.unkept.front()->endedAt >= m_settings.keep)
        forget(*owner.unkept.front());
    while (!owner.idle.empty() && now - owner.idle.front()->lastUsed >= m_settings.sessionKeep)
        forget(*owner.idle.front());
}

void OutcomeTable::dropLife(const RouterLife& life)
{
    auto it = m_owners.lower_bound({ life, {} });
    while (it != m_owners.end() && it->first.life == life) {
        m_charge -= it->second.charge;
        m_byCharge.erase(&it->second);
        for (const auto& [serial, session] : it->second.sessions)
            m_entries -= session.entries.size();
        it = m_owners.erase(it);
    }
}

} // namespace sagechute::delivery
