#include "delivery/OutcomePart.h"
#include "delivery/OutcomeTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::delivery;
using namespace std::chrono_literals;

namespace {

using Factory = std::function<std::unique_ptr<OutcomeMemory>(const OutcomeMemorySettings&, const RouterLife&)>;

constexpr std::size_t kPartBytes = 4096;
constexpr std::size_t kOneItemBytes = 330;
constexpr std::size_t kFewEntries = 6 * (kEntryBytes + kSessionCharge);
const RouterLife kLife { { "kokura-1" }, 7 };
const RouterLife kSuccessor { { "yahata.2" }, 3 };
const OutcomeMemorySettings kAmple { .keep = 100s, .sessionKeep = 300s };
const OutcomeMemorySettings kTight { .mostBytes = kFewEntries, .keep = 100s, .sessionKeep = 300s };

KeptAnswer answerOf(std::string body) { return { Outcome::Completed, 200, "application/json", std::move(body), "r" }; }

// The real memory, driven by random steps over several router lives, beside a model that knows what truly began.
class World {
public:
    World(const OutcomeMemorySettings& settings, Factory factory)
        : m_settings(settings)
        , m_factory(std::move(factory))
    {
        startLife();
        startLife();
    }

    void step(std::uint32_t bits)
    {
        const std::uint32_t op = take(bits, 32);
        if (op < 20)
            begin(bits);
        else if (op < 27)
            end(bits);
        else if (op < 30)
            advance(bits);
        else if (op < 31)
            handOver(bits);
        else
            importAgain(bits);
        for (const auto& memory : m_memories) {
            RC_ASSERT(memory->bytes() <= m_settings.mostBytes);
            RC_ASSERT(memory->entries() <= m_settings.mostEntries);
        }
    }

private:
    struct Truth {
        std::uint64_t bodyHash = 0;
        RequestId id;
        std::optional<KeptAnswer> answer;
        TimePoint endedAt;
    };

    static std::uint32_t take(std::uint32_t& bits, std::uint32_t bound)
    {
        const std::uint32_t value = bits % bound;
        bits /= bound;
        return value;
    }

    RouterLife life(std::size_t index) const { return { { "vm" }, index }; }
    bool ample() const { return m_settings.mostBytes > kFewEntries; }

    void startLife() { m_memories.push_back(m_factory(m_settings, life(m_memories.size()))); }

    // Any memory may be asked about a session of any life: that of a stopped life, of its successor, or of a stranger.
    void begin(std::uint32_t bits)
    {
        const std::size_t holder = pickLife(bits);
        const std::size_t asked = take(bits, 2) ? holder : pickLife(bits);
        const ResendKey key { { take(bits, 2) ? "bank" : "shop" }, makeSession(life(holder), take(bits, 3)),
            take(bits, 6) };
        const std::uint64_t bodyHash = take(bits, 8) == 0;
        const RequestId id { life(asked), ++m_serial };
        const ResendLookup found = m_memories[asked]->begin(m_now, key, bodyHash, id);
        const auto truth = m_begun.find(key);
        const bool begun = truth != m_begun.end();
        if (ample() && holder == asked && holder >= m_stopped)
            checkExact(found.verdict, begun ? &truth->second : nullptr, bodyHash);
        // Double parentheses, since RC_ASSERT takes an expression apart and would evaluate both sides of && and ||.
        switch (found.verdict) {
        case ResendVerdict::New:
            RC_ASSERT(!begun);
            m_begun[key] = { bodyHash, id, std::nullopt, {} };
            m_everBegun[key].insert(bodyHash);
            break;
        case ResendVerdict::Closed:
        case ResendVerdict::Full:
            RC_ASSERT(!begun);
            break;
        case ResendVerdict::Running:
            RC_ASSERT((begun && !truth->second.answer && found.running == truth->second.id));
            break;
        case ResendVerdict::Ended:
            RC_ASSERT((begun && truth->second.answer && found.answer->body == truth->second.answer->body));
            break;
        case ResendVerdict::Different:
            // A successor doesn't hear of a request that ended without running after the export.
            RC_ASSERT(m_everBegun[key].contains(1 - bodyHash));
            RC_ASSERT((!begun || truth->second.bodyHash != bodyHash));
            break;
        case ResendVerdict::Forgotten:
            break;
        }
    }

    // With room for all, nothing is forgotten before its time.
    void checkExact(ResendVerdict verdict, const Truth* truth, std::uint64_t bodyHash) const
    {
        if (!truth)
            RC_ASSERT((verdict == ResendVerdict::New || m_now - TimePoint() >= m_settings.keep));
        else if (!truth->answer)
            RC_ASSERT(verdict == (truth->bodyHash == bodyHash ? ResendVerdict::Running : ResendVerdict::Different));
        else if (m_now - truth->endedAt < m_settings.keep)
            RC_ASSERT(verdict == (truth->bodyHash == bodyHash ? ResendVerdict::Ended : ResendVerdict::Different));
    }

    void end(std::uint32_t bits)
    {
        if (m_begun.empty())
            return;
        const auto it = std::next(m_begun.begin(), take(bits, static_cast<std::uint32_t>(m_begun.size())));
        const auto& [key, truth] = *it;
        OutcomeMemory& memory = *m_memories[sessionHolder(key.session)->incarnation];
        const std::uint32_t how = take(bits, 8);
        if (how == 0) {
            // A late report about an earlier send of the same number.
            memory.endedNotRun(m_now, key, { life(0), m_serial + 1 });
        } else if (how < 3) {
            memory.endedNotRun(m_now, key, truth.id);
            if (!truth.answer)
                m_begun.erase(it);
        } else if (truth.answer) {
            memory.ended(m_now, key, answerOf("late"));
        } else {
            it->second.answer = answerOf(std::string(take(bits, 3) * 500, static_cast<char>('a' + m_serial % 26)));
            it->second.endedAt = m_now;
            memory.ended(m_now, key, *it->second.answer);
        }
    }

    void advance(std::uint32_t bits)
    {
        m_now += std::chrono::seconds(take(bits, 8) ? 5 : 1 + take(bits, 200));
        for (const auto& memory : m_memories)
            memory->expire(m_now);
    }

    // Parts get lost and come in any order; requests that still run at the export end later, and some stopping lives go
    // on beginning requests after it.
    void handOver(std::uint32_t bits)
    {
        constexpr std::size_t kMostLivesHere = 40;
        if (m_memories.size() == kMostLivesHere)
            return;
        OutcomeMemory& stopping = *m_memories[m_stopped];
        OutcomeMemory& successor = *m_memories[++m_stopped];
        if (take(bits, 4))
            stopping.close();
        std::vector<std::string> parts = stopping.exportParts(kOneItemBytes);
        if (take(bits, 2))
            std::reverse(parts.begin(), parts.end());
        const std::size_t lost = take(bits, 2) ? parts.size() : take(bits, static_cast<std::uint32_t>(parts.size()));
        for (std::size_t n = 0; n < parts.size(); ++n) {
            if (n != lost)
                RC_ASSERT(successor.importPart(m_now, parts[n]).ok());
        }
        m_parts.insert(m_parts.end(), parts.begin(), parts.end());
        startLife();
    }

    // A part that was late, or comes a second time, at any router.
    void importAgain(std::uint32_t bits)
    {
        if (m_parts.empty())
            return;
        const std::string& part = m_parts[take(bits, static_cast<std::uint32_t>(m_parts.size()))];
        const absl::Status status = m_memories[pickLife(bits)]->importPart(m_now, part);
        RC_ASSERT((status.ok() || errorKind(status) == ErrorKind::Conflict));
    }

    std::size_t pickLife(std::uint32_t& bits) const
    {
        return m_memories.size() - 1 - take(bits, 3) % m_memories.size();
    }

    const OutcomeMemorySettings m_settings;
    const Factory m_factory;
    TimePoint m_now;
    std::vector<std::unique_ptr<OutcomeMemory>> m_memories; ///< Of the life of the same index.
    std::size_t m_stopped = 0; ///< Lives before this one have been exported.
    std::vector<std::string> m_parts;
    std::map<ResendKey, Truth> m_begun; ///< What was answered New and isn't known to have not run.
    std::map<ResendKey, std::set<std::uint64_t>> m_everBegun; ///< The bodies of all that was answered New.
    std::uint64_t m_serial = 0;
};

// Symptom: a posting is booked twice, or an answer says "not run" of a posting that was booked.
// Sequence: resends among ends, expiry, eviction under pressure, and planned stops whose parts get lost or come twice.
// Cause: forgetting an outcome, or moving it, makes its request look new.
bool holds(const char* name, const OutcomeMemorySettings& settings, const Factory& factory)
{
    return rc::check(name, [&] {
        const auto steps
            = *rc::gen::scale(5, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, UINT32_MAX)));
        World world(settings, factory);
        for (const std::uint32_t bits : steps)
            world.step(bits);
    });
}

template <typename Faulty>
std::unique_ptr<OutcomeMemory> makeFaulty(const OutcomeMemorySettings& settings, const RouterLife& self)
{
    return std::make_unique<Faulty>(settings, self);
}

struct ForgetsNumbers final : OutcomeTable {
    using OutcomeTable::OutcomeTable;
    void onNumberForgotten(KeptSession&, std::uint64_t) override { }
};

struct ForgetsSessions final : OutcomeTable {
    using OutcomeTable::OutcomeTable;
    void onSessionForgotten(Owner&, std::uint64_t) override { }
};

struct FreesOnAnyReport final : OutcomeTable {
    using OutcomeTable::OutcomeTable;
    bool onMayFree(const KeptEntry& entry, const RequestId&) const override
    {
        return entry.state == EntryState::Running;
    }
};

struct CompleteWithHoles final : OutcomeTable {
    using OutcomeTable::OutcomeTable;
    bool onIsComplete(const ExportedLife&, const std::vector<bool>&) const override { return true; }
};

ResendKey keyOf(std::uint64_t serial, std::uint64_t number, const char* customer = "bank")
{
    return { { customer }, makeSession(kLife, serial), number };
}

ResendVerdict ask(OutcomeMemory& memory, const ResendKey& key, TimePoint now = {})
{
    return memory.begin(now, key, 1, { kLife, key.sequence }).verdict;
}

void run(OutcomeMemory& memory, const ResendKey& key, std::string body, TimePoint now = {})
{
    REQUIRE(ask(memory, key, now) == ResendVerdict::New);
    memory.ended(now, key, answerOf(std::move(body)));
}

} // namespace

TEST_CASE("No request is answered New twice, and none that began is answered as not run")
{
    REQUIRE(holds("under pressure", kTight, &OutcomeMemory::make));
    REQUIRE(holds("with room for all", kAmple, &OutcomeMemory::make));
}

TEST_CASE("The property notices each rule that is left out")
{
    CHECK_FALSE(holds("fault: forgets numbers", kTight, &makeFaulty<ForgetsNumbers>));
    CHECK_FALSE(holds("fault: forgets sessions", kTight, &makeFaulty<ForgetsSessions>));
    CHECK_FALSE(holds("fault: frees on any report", kTight, &makeFaulty<FreesOnAnyReport>));
    CHECK_FALSE(holds("fault: complete with holes", kAmple, &makeFaulty<CompleteWithHoles>));
}

TEST_CASE("A flood of one customer costs the others no answer")
{
    // Symptom: a teller's resend gets "unknown" although the posting ended a second ago.
    // Sequence: another customer ends thousands of requests with large answers in that second.
    // Cause: the oldest answers of all are dropped first, whoever fills the memory.
    const auto memory = OutcomeMemory::make({ .mostBytes = 200000 }, kLife);
    run(*memory, keyOf(1, 1, "teller"), "booked");
    for (std::uint64_t n = 1; n <= 5000; ++n)
        run(*memory, keyOf(2 + n / 100, n, "flood"), std::string(2000, 'x'));
    CHECK(ask(*memory, keyOf(1, 1, "teller")) == ResendVerdict::Ended);
    CHECK(ask(*memory, keyOf(1, 2, "teller")) == ResendVerdict::New);
    CHECK(ask(*memory, keyOf(2, 1, "flood")) == ResendVerdict::Forgotten);
    CHECK(memory->bytes() <= 200000);
}

TEST_CASE("A session that waits for its first request works within its keep time while others are forgotten")
{
    // Symptom: a caller's very first request gets "unknown".
    // Sequence: later sessions of the same customer are used and forgotten before it comes.
    // Cause: the mark of forgotten sessions passes sessions that nobody has used yet.
    const auto memory = OutcomeMemory::make(kAmple, kLife);
    run(*memory, keyOf(9, 1), "x");
    TimePoint now = TimePoint() + kAmple.sessionKeep - 1s;
    memory->expire(now);
    CHECK(memory->entries() == 0);
    CHECK(ask(*memory, keyOf(9, 1), now) == ResendVerdict::Forgotten);
    CHECK(ask(*memory, keyOf(4, 1), now) == ResendVerdict::New);
    memory->endedNotRun(now, keyOf(4, 1), { kLife, 1 });
    now += 1s;
    memory->expire(now);
    CHECK(memory->bytes() == 0);
    CHECK(ask(*memory, keyOf(9, 1), now) == ResendVerdict::Forgotten);
    CHECK(ask(*memory, keyOf(4, 1), now) == ResendVerdict::Forgotten);
    CHECK(ask(*memory, keyOf(10, 1), now) == ResendVerdict::New);
}

TEST_CASE("A memory full of requests that have not ended takes no more, and an answer too large leaves its mark")
{
    const auto memory = OutcomeMemory::make(kTight, kLife);
    std::uint64_t n = 0;
    while (ask(*memory, keyOf(1, ++n)) == ResendVerdict::New)
        REQUIRE(n < 100);
    CHECK(ask(*memory, keyOf(1, n)) == ResendVerdict::Full);
    memory->ended({}, keyOf(1, 1), answerOf(std::string(kTight.mostBytes, 'x')));
    CHECK(ask(*memory, keyOf(1, 1)) == ResendVerdict::Forgotten);
    CHECK(ask(*memory, keyOf(1, 2)) == ResendVerdict::Running);
    CHECK(memory->begin({}, keyOf(1, 2), 2, {}).verdict == ResendVerdict::Different);
}

TEST_CASE("A successor gives the former life's answers, and says not run only of what never began")
{
    // Symptom: after a planned stop a caller books twice: it was told "not run" and sent the posting in a new session.
    // Sequence: a request begins after the export, or a part of the export is lost.
    // Cause: the successor takes what it wasn't told of for what never began.
    const auto memory = OutcomeMemory::make(kAmple, kLife);
    const std::string bytes("\xFF\0\x80", 3);
    run(*memory, keyOf(1, 1), bytes);
    run(*memory, keyOf(1, 2), std::string(2 * kPartBytes, 'x'));
    REQUIRE(ask(*memory, keyOf(1, 3)) == ResendVerdict::New);
    const auto early = memory->exportParts(kPartBytes);
    memory->close();
    CHECK(ask(*memory, keyOf(1, 4)) == ResendVerdict::Closed);
    memory->ended({}, keyOf(1, 3), answerOf("three"));
    const auto parts = memory->exportParts(kPartBytes);

    const auto successor = OutcomeMemory::make(kAmple, kSuccessor);
    for (const std::string& part : early)
        REQUIRE(successor->importPart({}, part).ok());
    CHECK(successor->answersFor(kLife));
    CHECK(ask(*successor, keyOf(1, 3)) == ResendVerdict::Forgotten);
    CHECK(ask(*successor, keyOf(1, 4)) == ResendVerdict::Forgotten);
    for (const std::string& part : parts) {
        CHECK(part.size() <= kPartBytes);
        REQUIRE(successor->importPart({}, part).ok());
    }
    CHECK(successor->inherited() == std::vector<InheritedLife> { { kLife, true } });
    CHECK(successor->begin({}, keyOf(1, 1), 1, {}).answer->body == bytes);
    CHECK(ask(*successor, keyOf(1, 2)) == ResendVerdict::Forgotten);
    CHECK(successor->begin({}, keyOf(1, 3), 1, {}).answer->body == "three");
    CHECK(ask(*successor, keyOf(1, 4)) == ResendVerdict::Closed);
    CHECK(errorKind(memory->importPart({}, parts[0])) == ErrorKind::Conflict);

    successor->expire(TimePoint() + kAmple.sessionKeep);
    CHECK_FALSE(successor->answersFor(kLife));
    CHECK(successor->bytes() == 0);
    CHECK(ask(*successor, keyOf(1, 4)) == ResendVerdict::Forgotten);
}

TEST_CASE("What the former life forgot, and what a full successor can't take, is never said not to have run")
{
    // Symptom: as above.
    // Sequence: the request's entry, or its whole session, is forgotten before the stop; or the successor is full.
    // Cause: marks aren't handed over, or what finds no room is left out without a mark.
    const auto memory = OutcomeMemory::make(kAmple, kLife);
    run(*memory, keyOf(1, 1), "x");
    TimePoint now = TimePoint() + kAmple.sessionKeep;
    memory->expire(now);
    run(*memory, keyOf(2, 5), "x", now);
    now += kAmple.keep;
    memory->expire(now);
    run(*memory, keyOf(3, 1), "x", now);
    run(*memory, keyOf(3, 2), "x", now);
    memory->close();
    const auto parts = memory->exportParts(kOneItemBytes);

    const auto successor = OutcomeMemory::make(kAmple, kSuccessor);
    const auto full = OutcomeMemory::make(kTight, kSuccessor);
    for (std::uint64_t n = 0; full->bytes() + kEntryBytes + kSessionCharge <= kTight.mostBytes; ++n)
        REQUIRE(ask(*full, { { "shop" }, makeSession(kSuccessor, 1), n }) == ResendVerdict::New);
    for (const std::string& part : parts) {
        REQUIRE(successor->importPart(now, part).ok());
        REQUIRE(full->importPart(now, part).ok());
    }
    for (OutcomeMemory* const it : { successor.get(), full.get() }) {
        CHECK(it->inherited().front().complete);
        for (const ResendKey& key : { keyOf(1, 1), keyOf(1, 2), keyOf(2, 4), keyOf(2, 5) })
            CHECK(ask(*it, key, now) == ResendVerdict::Forgotten);
        CHECK(ask(*it, keyOf(4, 1), now) == ResendVerdict::Closed);
    }
    CHECK(ask(*successor, keyOf(2, 6), now) == ResendVerdict::Closed);
    CHECK(ask(*successor, keyOf(3, 2), now) == ResendVerdict::Ended);
    CHECK(ask(*full, keyOf(3, 2), now) == ResendVerdict::Forgotten);
}

TEST_CASE("Parts of two exports don't make up a whole one")
{
    // Symptom: as above.
    // Sequence: a stopping router exports twice; of each export half the parts arrive.
    // Cause: parts are counted without asking which export they belong to.
    const auto memory = OutcomeMemory::make(kAmple, kLife);
    std::uint64_t last = 0;
    while (memory->exportParts(kOneItemBytes).size() < 2)
        REQUIRE(ask(*memory, keyOf(1, ++last)) == ResendVerdict::New);
    REQUIRE(ask(*memory, keyOf(1, last + 1)) == ResendVerdict::New);
    memory->close();
    const auto first = memory->exportParts(kOneItemBytes);
    memory->endedNotRun({}, keyOf(1, 1), { kLife, 1 });
    const auto second = memory->exportParts(kOneItemBytes);
    REQUIRE(first.size() == 2);
    REQUIRE(second.size() == 2);

    const auto successor = OutcomeMemory::make(kAmple, kSuccessor);
    REQUIRE(successor->importPart({}, first[0]).ok());
    REQUIRE(successor->importPart({}, second[1]).ok());
    CHECK(ask(*successor, keyOf(1, last)) == ResendVerdict::Forgotten);
    REQUIRE(successor->importPart({}, second[0]).ok());
    CHECK(ask(*successor, keyOf(1, last)) == ResendVerdict::Forgotten);
    CHECK(ask(*successor, keyOf(1, last + 2)) == ResendVerdict::Closed);
}

TEST_CASE("A damaged part is refused and changes nothing")
{
    const auto memory = OutcomeMemory::make(kAmple, kLife);
    run(*memory, keyOf(1, 1), "x");
    const std::string part = memory->exportParts(kPartBytes).front();
    const auto successor = OutcomeMemory::make(kAmple, kSuccessor);
    for (std::size_t size = 0; size < part.size(); ++size)
        REQUIRE(errorKind(successor->importPart({}, part.substr(0, size))) == ErrorKind::BadRequest);
    REQUIRE(rc::check("any changed byte is refused or decodes to a part", [&] {
        std::string damaged = part;
        damaged[*rc::gen::inRange<std::size_t>(0, part.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodePart(damaged);
        RC_ASSERT((decoded.ok() || !errorRemedy(decoded.status()).empty()));
    }));
    CHECK(successor->entries() == 0);
    CHECK(successor->inherited().empty());
}

TEST_CASE("Only the text that the holder issued names its session")
{
    CHECK(*parseSession("10.0.0.1.5.0") == SessionName { { { "10.0.0.1" }, 5 }, 0 });
    CHECK(*sessionHolder(makeSession(kSuccessor, 12)) == kSuccessor);
    for (const char* const text : { "", "a", "a.1", ".1.2", "a.1.", "a..2", "a.01.2", "a.1.02", "a.1.+2", "a.1.2 ",
             "a.1.x", "a.1.99999999999999999999" })
        CHECK(errorKind(parseSession(text).status()) == ErrorKind::BadRequest);
}
