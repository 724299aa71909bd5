// How the outcome memory moves to a successor at a planned stop.
#include "delivery/OutcomePart.h"
#include "delivery/OutcomeTable.h"

#include <algorithm>

namespace sagechute::delivery {
std::vector<std::string> OutcomeTable::exportParts(std::size_t mostBytes) const
{
    std::vector<ExportedLife> lives { { m_self, m_closed } };
    for (const auto& [life, inheritance] : m_inherited)
        lives.push_back({ life, inheritance.complete });
    return encodeParts(lives, exportItems(), mostBytes);
}

std::vector<OutcomeItem> OutcomeTable::exportItems() const
{
    std::vector<OutcomeItem> items;
    for (const auto& [key, owner] : m_owners) {
        // Own life first, then the inherited ones in their order, as in the list of lives.
        const std::size_t life = key.life == m_self
            ? 0
            : 1 + static_cast<std::size_t>(std::distance(m_inherited.begin(), m_inherited.find(key.life)));
        const OutcomeItem base { .life = life, .customer = key.customer };
        if (owner.forgottenSerial)
            items.emplace_back(base).forgotten = owner.forgottenSerial;
        for (const auto& [serial, session] : owner.sessions) {
            if (session.forgottenUpTo) {
                OutcomeItem& mark = items.emplace_back(base);
                mark.serial = serial;
                mark.forgotten = session.forgottenUpTo;
            }
            for (const auto& [number, entry] : session.entries) {
                OutcomeItem& item = items.emplace_back(base);
                item.serial = serial;
                item.number = number;
                item.bodyHash = entry.bodyHash;
                if (entry.state == EntryState::Answered)
                    item.answer = entry.answer;
            }
        }
    }
    return items;
}

absl::Status OutcomeTable::importPart(TimePoint now, std::string_view bytes)
{
    const auto part = decodePart(bytes);
    if (!part.ok())
        return part.status();
    for (const ExportedLife& it : part->lives) {
        if (it.life == m_self) {
            return makeError(ErrorKind::Conflict, "the outcome part tells about this router's own life",
                "hand the memory to another router");
        }
    }
    for (const OutcomeItem& item : part->items)
        importItem(item, part->lives[item.life].life, now);
    noteInheritance(*part, now);
    return absl::OkStatus();
}

void OutcomeTable::noteInheritance(const OutcomePart& part, TimePoint now)
{
    for (const ExportedLife& it : part.lives) {
        const auto [place, isNew] = m_inherited.try_emplace(it.life);
        Inheritance& inheritance = place->second;
        if (isNew)
            inheritance.since = now;
        if (inheritance.exportHash != part.exportHash || inheritance.partsSeen.size() != part.count) {
            inheritance.exportHash = part.exportHash;
            inheritance.partsSeen.assign(part.count, false);
        }
        inheritance.partsSeen[part.index] = true;
        if (onIsComplete(it, inheritance.partsSeen))
            inheritance.complete = true;
    }
}

// Symptom prevented: a caller is told "not run" of a request that ran, and sends it again in a new session. Only when
// all parts of one export are here, made after the last request began, is an unlisted request known never to have
// begun.
bool OutcomeTable::onIsComplete(const ExportedLife& life, const std::vector<bool>& partsSeen) const
{
    return life.closed && std::find(partsSeen.begin(), partsSeen.end(), false) == partsSeen.end();
}

void OutcomeTable::importItem(const OutcomeItem& item, const RouterLife& life, TimePoint now)
{
    const bool fits = makeRoom(entryCharge({}) + kSessionCharge);
    Owner& owner = takeOwner({ life, item.customer });
    if (!item.serial) {
        onSessionForgotten(owner, *item.forgotten);
        return;
    }
    // Without room all sessions of former lives have been dropped already. Were the item just left out, its request
    // would be answered Closed, a false "not run"; so its session counts as forgotten too.
    if (!fits) {
        onSessionForgotten(owner, *item.serial);
        return;
    }
    if (item.number) {
        importEntry(item, life, now);
        return;
    }
    KeptSession& session = takeSession(owner, *item.serial);
    session.lastUsed = now;
    session.forgottenUpTo = std::max(session.forgottenUpTo.value_or(0), *item.forgotten);
    settle(session);
}

void OutcomeTable::importEntry(const OutcomeItem& item, const RouterLife& life, TimePoint now)
{
    const Slot slot { { life, item.customer }, *item.serial, *item.number };
    Owner& owner = takeOwner(slot.owner);
    const auto session = owner.sessions.find(slot.serial);
    const bool known = session != owner.sessions.end() && session->second.entries.contains(slot.number);
    // An earlier export had it still running; this one brings its answer.
    KeptEntry& entry = known ? session->second.entries[slot.number] : insert(slot, item.bodyHash, now);
    if (entry.state == EntryState::Answered || (known && !item.answer))
        return;
    if (known)
        owner.unkept.erase(entry.place);
    entry.state = EntryState::Running;
    entry.endedAt = now;
    if (item.answer)
        keepAnswer(entry, *item.answer);
    else
        keepNoAnswer(entry);
    makeRoom(0);
}

} // namespace sagechute::delivery
