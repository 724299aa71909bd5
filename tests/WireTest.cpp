// Messages between routers: what is written is read, and nothing else is.

#include <sagechute/Wire.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::wire;

namespace {

/// Fills a message of any kind from a stream of random numbers.
class Filler {
public:
    explicit Filler(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint64_t number() { return m_random.next() >> m_random.below(64); }
    std::uint32_t small() { return static_cast<std::uint32_t>(number()); }
    Cost cost()
    {
        return static_cast<double>(static_cast<std::int64_t>(m_random.next()) >> (15 + m_random.below(40))) / 8;
    }
    std::chrono::milliseconds milliseconds() { return std::chrono::milliseconds(small()); }
    bool flag() { return m_random.below(2) != 0; }

    std::string bytes(std::size_t most = 40)
    {
        std::string text(m_random.below(most), '\0');
        for (char& it : text)
            it = static_cast<char>(m_random.next());
        return text;
    }

    std::string name()
    {
        std::string text(m_random.below(30), 'a');
        for (char& it : text)
            it = static_cast<char>('a' + m_random.below(26));
        return text;
    }

    template <typename Make> auto list(Make make)
    {
        std::vector<decltype(make())> items;
        for (std::uint64_t n = m_random.below(6); n > 0; --n)
            items.push_back(make());
        return items;
    }

    TargetId target() { return TargetId { name() }; }

    void fill(OfferMessage& m)
    {
        m = { small(), number(), { name() }, cost(), list([this] { return number(); }), std::nullopt,
            list([this] { return target(); }) };
        if (flag())
            m.deadlineIn = milliseconds();
    }
    void fill(WithdrawMessage& m) { m = { small(), number() }; }
    void fill(GrantMessage& m) { m = { small(), number(), target(), cost(), milliseconds() }; }
    void fill(DeclineMessage& m) { m = { small(), number() }; }
    void fill(NotOwnerMessage& m) { m = { small(), number() }; }
    void fill(SettleMessage& m) { m = { small(), number(), cost(), static_cast<TargetHealth>(m_random.below(3)) }; }
    void fill(ProgressMessage& m)
    {
        m = { small(), list([this] { return ProgressEntry { number(), cost() }; }) };
    }
    void fill(ResyncMessage& m)
    {
        m = { small(), list([this] { return RunningEntry { number(), { name() }, target(), cost() }; }) };
    }
    void fill(SummaryMessage& m)
    {
        scheduling::PoolSummary& s = m.summary;
        s.pool.value = name();
        s.life = { { name() }, number() };
        s.sequence = number();
        s.full = flag();
        s.virtualTime = cost();
        s.customers = list([this] { return scheduling::CustomerServiceEntry { { name() }, cost(), cost(), flag() }; });
        s.cells = list([this] { return scheduling::CellDigest { small(), small(), small(), cost() }; });
    }
    void fill(LedgerPullMessage& m) { m.pool.value = name(); }
    void fill(ConfigPullMessage& m) { m.after = number(); }
    void fill(ConfigRecordsMessage& m)
    {
        m.records = list([this] { return config::LogRecord { number(), bytes() }; });
    }
    void fill(ConfigSnapshotMessage& m) { m.snapshot = bytes(2000); }
    void fill(OutcomePartMessage& m) { m = { small(), small(), bytes(2000) }; }
    void fill(OutcomesTakenMessage&) { }
    void fill(InheritedMessage& m) { m.life = { { name() }, number() }; }
    void fill(ResyncRequestMessage& m) { m.cell = small(); }

    template <std::size_t index> Message make()
    {
        std::variant_alternative_t<index, Message> m;
        fill(m);
        return m;
    }

    template <std::size_t... indexes> Message make(std::size_t kind, std::index_sequence<indexes...>)
    {
        using Maker = Message (Filler::*)();
        constexpr Maker makers[] = { &Filler::make<indexes>... };
        return (this->*makers[kind])();
    }

    Message message(std::size_t kind) { return make(kind, std::make_index_sequence<std::variant_size_v<Message>> {}); }

private:
    SeededRandom m_random;
};

rc::Gen<std::size_t> anyKind() { return rc::gen::inRange<std::size_t>(0, std::variant_size_v<Message>); }

Message anyMessage()
{
    Filler filler(*rc::gen::arbitrary<std::uint64_t>());
    return filler.message(*anyKind());
}

} // namespace

TEST_CASE("every message is read as it was written")
{
    REQUIRE(rc::check("encoding a decoded message gives the same bytes, and no part is left out", [] {
        const std::size_t kind = *anyKind();
        Filler filler(*rc::gen::arbitrary<std::uint64_t>());
        const std::string bytes = encode(filler.message(kind));
        const absl::StatusOr<Message> decoded = decode(bytes);
        RC_ASSERT(decoded.ok());
        RC_ASSERT(decoded->index() == kind);
        RC_ASSERT(encode(*decoded) == bytes);
    }));
}

TEST_CASE("every part of a summary arrives")
{
    // Symptom: a router that starts with nothing lifts customers too little: they get credit for their idle time.
    // Sequence: it learns the ledger from a peer's summaries.
    // Cause: the virtual time was not among the parts that are sent.
    SummaryMessage message;
    scheduling::PoolSummary& s = message.summary;
    s = { PoolId { "appraisal" }, { VmId { "thamel-1" }, 7 }, 42, true, 1234.5, {}, {} };
    s.customers.push_back({ CustomerId { "tellers" }, 99.125, 3.5, true });
    s.cells.push_back({ 5, 2, 17, 1000 });
    const auto decoded = decode(encode(message));
    REQUIRE(decoded.ok());
    const scheduling::PoolSummary& got = std::get<SummaryMessage>(*decoded).summary;
    REQUIRE(got.pool == s.pool);
    REQUIRE(got.life == s.life);
    REQUIRE(got.sequence == 42);
    REQUIRE(got.full);
    REQUIRE(got.virtualTime == 1234.5);
    REQUIRE(got.customers.size() == 1);
    REQUIRE(got.customers[0].customer.value == "tellers");
    REQUIRE(got.customers[0].service == 99.125);
    REQUIRE(got.customers[0].lift == 3.5);
    REQUIRE(got.customers[0].backlogged);
    REQUIRE(got.cells.size() == 1);
    REQUIRE(got.cells[0].index == 5);
    REQUIRE(got.cells[0].freeSlots == 2);
    REQUIRE(got.cells[0].waiting == 17);
    REQUIRE(got.cells[0].headService == 1000);
}

TEST_CASE("damaged bytes are refused or read as a whole message, never partly")
{
    REQUIRE(rc::check("truncated", [] {
        const std::string bytes = encode(anyMessage());
        const std::size_t length = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT_FALSE(decode(std::string_view(bytes).substr(0, length)).ok());
    }));
    REQUIRE(rc::check("with something behind", [] {
        const std::string bytes = encode(anyMessage());
        const auto more = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        RC_ASSERT_FALSE(decode(bytes + more).ok());
    }));
    REQUIRE(rc::check("with bytes changed", [] {
        std::string bytes = encode(anyMessage());
        for (int n = *rc::gen::inRange(1, 4); n > 0; --n)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decode(bytes);
        if (decoded.ok())
            RC_ASSERT(decode(encode(*decoded)).ok());
    }));
    REQUIRE(rc::check("that were never a message", [] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const auto decoded = decode(bytes);
        if (decoded.ok())
            RC_ASSERT(decode(encode(*decoded)).ok());
    }));
}

TEST_CASE("messages with parts of another type, of another range, or too many are refused")
{
    // As CBOR in hexadecimal digits: an array of the kind and the parts.
    const char* const hostile[] = {
        "", "80", "00", "f6", "a0", // Nothing, an empty array, no array.
        "8118ff", "811a00010000", "8120", "81fb3ff0000000000000", // A kind that does not exist.
        "8301f500", "83010120", "8301016161",
        "83011b0000000100000000"
        "00", // Withdraw: cell or serial of another type.
        "820100", "8401000000", // Withdraw with a part less or more.
        "860500000003"
        "00", // Settle with an unknown health, and one part too many.
        "85050000"
        "0003", // Settle with an unknown health.
        "830600818100",
        "830600818300"
        "0000",
        "8306008100", // Progress: entries too short, too long, no array.
        "880000006000"
        "808180", // Offer: a deadline that is a list.
        "8112", // Resynchronisation request of an unknown kind.
    };
    for (const std::string hex : hostile) {
        std::string bytes;
        for (std::size_t n = 0; n + 1 < hex.size(); n += 2)
            bytes.push_back(static_cast<char>(std::stoi(hex.substr(n, 2), nullptr, 16)));
        INFO(hex);
        REQUIRE_FALSE(decode(bytes).ok());
    }
}

TEST_CASE("a message is small")
{
    // 4 KB a second for a node leave no room for names of parts.
    REQUIRE(encode(SettleMessage { 0xFFFFFFFF, 100000, 250, TargetHealth::Good }).size() <= 16);
    REQUIRE(
        encode(GrantMessage { 0xFFFFFFFF, 100000, { "worker-12" }, 250, std::chrono::milliseconds(500) }).size() <= 32);
    REQUIRE(encode(OfferMessage { 0xFFFFFFFF, 100000, { "tellers" }, 250, {}, std::nullopt, {} }).size() <= 32);
}
