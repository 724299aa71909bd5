#include "delivery/OutcomeTable.h"

#include <algorithm>

namespace sagechute::delivery {
namespace {

    // A single answer above this share of the memory would push out too many others, and isn't kept.
    constexpr std::size_t kLargestAnswerShare = 4;

    void raise(std::optional<std::uint64_t>& mark, std::uint64_t to) { mark = std::max(mark.value_or(0), to); }

    std::size_t textBytes(const KeptAnswer& answer)
    {
        return answer.contentType.capacity() + answer.body.capacity() + answer.requestId.capacity();
    }

} // namespace

std::unique_ptr<OutcomeMemory> OutcomeMemory::make(const OutcomeMemorySettings& settings, const RouterLife& self)
{
    return std::make_unique<OutcomeTable>(settings, self);
}

OutcomeTable::OutcomeTable(const OutcomeMemorySettings& settings, RouterLife self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

ResendLookup OutcomeTable::begin(TimePoint now, const ResendKey& key, std::uint64_t bodyHash, const RequestId& id)
{
    auto name = parseSession(key.session);
    if (!name.ok())
        return { .verdict = ResendVerdict::Forgotten };
    const Slot slot { { std::move(name->holder), key.customer }, name->serial, key.sequence };
    ResendLookup found = find(slot, bodyHash);
    if (found.verdict != ResendVerdict::New)
        return found;
    if (!makeRoom(entryCharge({}) + kSessionCharge))
        return { .verdict = ResendVerdict::Full };
    insert(slot, bodyHash, now).running = id;
    return found;
}

ResendLookup OutcomeTable::find(const Slot& slot, std::uint64_t bodyHash) const
{
    ResendLookup forgotten { .verdict = ResendVerdict::Forgotten };
    ResendLookup unseen { .verdict = verdictOfUnseen(slot.owner.life) };
    const auto owner = m_owners.find(slot.owner);
    if (owner == m_owners.end())
        return unseen;
    const auto session = owner->second.sessions.find(slot.serial);
    if (session == owner->second.sessions.end())
        return owner->second.forgottenSerial >= slot.serial ? forgotten : unseen;
    const auto entry = session->second.entries.find(slot.number);
    if (entry != session->second.entries.end())
        return verdictOf(entry->second, bodyHash);
    return session->second.forgottenUpTo >= slot.number ? forgotten : unseen;
}

ResendLookup OutcomeTable::verdictOf(const KeptEntry& entry, std::uint64_t bodyHash)
{
    if (entry.bodyHash != bodyHash)
        return { .verdict = ResendVerdict::Different };
    if (entry.state == EntryState::Running)
        return { .verdict = ResendVerdict::Running, .running = entry.running };
    if (entry.state == EntryState::Answered)
        return { .verdict = ResendVerdict::Ended, .answer = &entry.answer };
    return { .verdict = ResendVerdict::Forgotten };
}

ResendVerdict OutcomeTable::verdictOfUnseen(const RouterLife& life) const
{
    if (life == m_self)
        return m_closed ? ResendVerdict::Closed : ResendVerdict::New;
    const auto it = m_inherited.find(life);
    return it != m_inherited.end() && it->second.complete ? ResendVerdict::Closed : ResendVerdict::Forgotten;
}

KeptEntry* OutcomeTable::findEntry(const ResendKey& key)
{
    auto name = parseSession(key.session);
    if (!name.ok())
        return nullptr;
    const auto owner = m_owners.find({ std::move(name->holder), key.customer });
    if (owner == m_owners.end())
        return nullptr;
    const auto session = owner->second.sessions.find(name->serial);
    if (session == owner->second.sessions.end())
        return nullptr;
    const auto entry = session->second.entries.find(key.sequence);
    return entry == session->second.entries.end() ? nullptr : &entry->second;
}

Owner& OutcomeTable::takeOwner(const OwnerKey& key)
{
    const auto [it, isNew] = m_owners.try_emplace(key);
    if (isNew) {
        it->second.birth = ++m_births;
        m_byCharge.insert(&it->second);
    }
    return it->second;
}

KeptSession& OutcomeTable::takeSession(Owner& owner, std::uint64_t serial)
{
    const auto [it, isNew] = owner.sessions.try_emplace(serial);
    KeptSession& session = it->second;
    if (!isNew) {
        if (session.entries.empty())
            owner.idle.erase(session.place);
        return session;
    }
    session.owner = &owner;
    session.serial = serial;
    changeCharge(owner, 0, kSessionCharge);
    // A session that comes back by an import after it was forgotten here has numbers that nobody remembers. Without
    // this they would be answered Closed, a "not run" that may be false.
    if (owner.forgottenSerial >= serial)
        raise(session.forgottenUpTo, UINT64_MAX);
    return session;
}

KeptEntry& OutcomeTable::insert(const Slot& slot, std::uint64_t bodyHash, TimePoint now)
{
    Owner& owner = takeOwner(slot.owner);
    KeptSession& session = takeSession(owner, slot.serial);
    session.lastUsed = now;
    KeptEntry& entry = session.entries[slot.number];
    entry.session = &session;
    entry.number = slot.number;
    entry.bodyHash = bodyHash;
    entry.charge = entryCharge({});
    changeCharge(owner, 0, entry.charge);
    ++m_entries;
    return entry;
}

void OutcomeTable::endedNotRun(TimePoint now, const ResendKey& key, const RequestId& id)
{
    KeptEntry* const entry = findEntry(key);
    if (!entry || !onMayFree(*entry, id))
        return;
    entry->session->lastUsed = now;
    erase(*entry);
}

void OutcomeTable::ended(TimePoint now, const ResendKey& key, KeptAnswer answer)
{
    KeptEntry* const entry = findEntry(key);
    if (!entry || entry->state != EntryState::Running)
        return;
    entry->session->lastUsed = now;
    entry->endedAt = now;
    keepAnswer(*entry, std::move(answer));
    makeRoom(0);
}

void OutcomeTable::keepAnswer(KeptEntry& entry, KeptAnswer answer)
{
    Owner& owner = *entry.session->owner;
    const std::size_t charge = entryCharge(answer);
    if (charge > m_settings.mostBytes / kLargestAnswerShare) {
        keepNoAnswer(entry);
        return;
    }
    entry.answer = std::move(answer);
    entry.state = EntryState::Answered;
    entry.place = owner.answered.insert(owner.answered.end(), &entry);
    changeCharge(owner, entry.charge, charge);
    entry.charge = charge;
}

// Leaves of a running or an answered entry only that it ran.
void OutcomeTable::keepNoAnswer(KeptEntry& entry)
{
    Owner& owner = *entry.session->owner;
    if (entry.state == EntryState::Answered)
        owner.answered.erase(entry.place);
    entry.answer = {};
    entry.state = EntryState::Unkept;
    entry.place = owner.unkept.insert(owner.unkept.end(), &entry);
    const std::size_t charge = entryCharge({});
    changeCharge(owner, entry.charge, charge);
    entry.charge = charge;
}

void OutcomeTable::erase(KeptEntry& entry)
{
    KeptSession& session = *entry.session;
    Owner& owner = *session.owner;
    if (entry.state == EntryState::Answered)
        owner.answered.erase(entry.place);
    if (entry.state == EntryState::Unkept)
        owner.unkept.erase(entry.place);
    changeCharge(owner, entry.charge, 0);
    --m_entries;
    session.entries.erase(entry.number);
    settle(session);
}

// A session without entries waits to be forgotten; one that has nothing to remember leaves at once.
void OutcomeTable::settle(KeptSession& session)
{
    if (!session.entries.empty())
        return;
    Owner& owner = *session.owner;
    if (session.forgottenUpTo) {
        session.place = owner.idle.insert(owner.idle.end(), &session);
        return;
    }
    changeCharge(owner, kSessionCharge, 0);
    owner.sessions.erase(session.serial);
}

bool OutcomeTable::onMayFree(const KeptEntry& entry, const RequestId& ended) const
{
    return entry.state == EntryState::Running && entry.running == ended;
}

std::vector<InheritedLife> OutcomeTable::inherited() const
{
    std::vector<InheritedLife> lives;
    lives.reserve(m_inherited.size());
    for (const auto& [life, inheritance] : m_inherited)
        lives.push_back({ life, inheritance.complete });
    return lives;
}

std::size_t OutcomeTable::entryCharge(const KeptAnswer& answer) const
{
    // At least the mean room of an entry, so that the bound in bytes also keeps the bound in entries.
    const std::size_t most = std::max<std::size_t>(m_settings.mostEntries, 1);
    const std::size_t mean = (m_settings.mostBytes + most - 1) / most;
    return std::max(kEntryBytes + textBytes(answer), mean);
}

void OutcomeTable::changeCharge(Owner& owner, std::size_t from, std::size_t to)
{
    auto place = m_byCharge.extract(&owner);
    owner.charge = owner.charge - from + to;
    m_charge = m_charge - from + to;
    m_byCharge.insert(std::move(place));
}

} // namespace sagechute::delivery
