#pragma once

#include <sagechute/Delivery.h>

#include <list>
#include <map>
#include <set>

namespace sagechute::delivery {

struct KeptSession;

enum class EntryState {
    Running,
    Answered,
    Unkept, ///< It ran, or may have run, and its answer isn't here: answers Forgotten, and Different for another body.
};

struct KeptEntry {
    KeptSession* session = nullptr;
    std::uint64_t number = 0;
    std::uint64_t bodyHash = 0;
    EntryState state = EntryState::Running;
    RequestId running;
    KeptAnswer answer;
    TimePoint endedAt;
    std::size_t charge = 0;
    std::list<KeptEntry*>::iterator place; ///< In Owner::answered or Owner::unkept, by state.
};

struct Owner;

struct KeptSession {
    Owner* owner = nullptr;
    std::uint64_t serial = 0;
    std::map<std::uint64_t, KeptEntry> entries;
    std::optional<std::uint64_t> forgottenUpTo; ///< An unlisted number up to this may have run.
    TimePoint lastUsed;
    std::list<KeptSession*>::iterator place; ///< In Owner::idle while it has no entries.
};

/// A customer at one router life.
struct OwnerKey {
    RouterLife life;
    CustomerId customer;

    auto operator<=>(const OwnerKey&) const = default;
};

/// What one customer holds; the unit of fairness when the memory is full. Lists run from the oldest.
struct Owner {
    std::map<std::uint64_t, KeptSession> sessions;
    std::optional<std::uint64_t> forgottenSerial; ///< An unlisted session up to this may have had requests that ran.
    std::list<KeptEntry*> answered;
    std::list<KeptEntry*> unkept;
    std::list<KeptSession*> idle;
    std::size_t charge = 0;
    std::uint64_t birth = 0; ///< Order of creation; decides between equals, so that a run can be repeated exactly.

    bool droppable() const { return !answered.empty() || !unkept.empty() || !idle.empty(); }
};

/// Orders owners by what they hold.
struct ByCharge {
    bool operator()(const Owner* a, const Owner* b) const
    {
        return a->charge != b->charge ? a->charge < b->charge : a->birth < b->birth;
    }
};

/// What a map node or a list node takes beside its value, rounded up to what the allocator hands out.
inline constexpr std::size_t kNodeBytes = 64;
inline constexpr std::size_t kSessionCharge = sizeof(KeptSession) + 2 * kNodeBytes;
inline constexpr std::size_t kEntryBytes = sizeof(KeptEntry) + 2 * kNodeBytes;

/// The place of a request in the table.
struct Slot {
    OwnerKey owner;
    std::uint64_t serial = 0;
    std::uint64_t number = 0;
};

struct ExportedLife;
struct OutcomePart;
struct OutcomeItem;

/// The memory itself. It can be derived from so that tests leave out one of the rules and see that the properties
/// notice.
class OutcomeTable : public OutcomeMemory {
public:
    OutcomeTable(const OutcomeMemorySettings&, RouterLife self);

    ResendLookup begin(TimePoint now, const ResendKey&, std::uint64_t bodyHash, const RequestId&) override;
    void endedNotRun(TimePoint now, const ResendKey&, const RequestId&) override;
    void ended(TimePoint now, const ResendKey&, KeptAnswer) override;
    void expire(TimePoint now) override;
    void close() override { m_closed = true; }
    std::vector<std::string> exportParts(std::size_t mostBytes) const override;
    absl::Status importPart(TimePoint now, std::string_view part) override;
    std::vector<InheritedLife> inherited() const override;
    bool answersFor(const RouterLife& life) const override { return life == m_self || m_inherited.contains(life); }
    std::size_t entries() const override { return m_entries; }
    std::size_t bytes() const override { return m_charge; }

protected:
    /// Hooks: each keeps one rule without which a request could run twice, or a "not run" be false.
    virtual void onNumberForgotten(KeptSession&, std::uint64_t number);
    virtual void onSessionForgotten(Owner&, std::uint64_t serial);
    virtual bool onMayFree(const KeptEntry&, const RequestId& ended) const;
    virtual bool onIsComplete(const ExportedLife&, const std::vector<bool>& partsSeen) const;

private:
    struct Inheritance {
        TimePoint since;
        bool complete = false;
        std::uint64_t exportHash = 0;
        std::vector<bool> partsSeen;
    };

    ResendLookup find(const Slot&, std::uint64_t bodyHash) const;
    static ResendLookup verdictOf(const KeptEntry&, std::uint64_t bodyHash);
    ResendVerdict verdictOfUnseen(const RouterLife&) const;
    KeptEntry* findEntry(const ResendKey&);
    Owner& takeOwner(const OwnerKey&);
    KeptSession& takeSession(Owner&, std::uint64_t serial);
    KeptEntry& insert(const Slot&, std::uint64_t bodyHash, TimePoint now);
    void keepAnswer(KeptEntry&, KeptAnswer);
    void keepNoAnswer(KeptEntry&);
    void erase(KeptEntry&);
    void settle(KeptSession&);

    bool makeRoom(std::size_t charge);
    bool dropFromLargest();
    void dropOldest(Owner&);
    void forget(KeptEntry&);
    void forget(KeptSession&);
    void expire(Owner&, TimePoint now);
    void dropLife(const RouterLife&);

    std::size_t entryCharge(const KeptAnswer&) const;
    void changeCharge(Owner&, std::size_t from, std::size_t to);

    std::vector<OutcomeItem> exportItems() const;
    void noteInheritance(const OutcomePart&, TimePoint now);
    void importItem(const OutcomeItem&, const RouterLife&, TimePoint now);
    void importEntry(const OutcomeItem&, const RouterLife&, TimePoint now);

    const OutcomeMemorySettings m_settings;
    const RouterLife m_self;
    bool m_closed = false;
    std::map<OwnerKey, Owner> m_owners;
    std::set<Owner*, ByCharge> m_byCharge;
    std::uint64_t m_births = 0;
    std::map<RouterLife, Inheritance> m_inherited;
    std::size_t m_entries = 0;
    std::size_t m_charge = 0;
};

} // namespace sagechute::delivery
