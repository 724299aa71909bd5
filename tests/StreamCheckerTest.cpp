#include <sagechute/Delivery.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::delivery;

namespace {

struct SeenEvent {
    StreamEventKind kind;
    std::uint64_t position;
    std::string data;

    bool operator==(const SeenEvent&) const = default;
};

struct Reading {
    std::vector<SeenEvent> events;
    StreamFault fault = StreamFault::None;
    std::uint64_t nextPosition = 0;

    bool operator==(const Reading&) const = default;
};

const std::string kIdentity = "kokura-1.7.42";

std::string token(
    std::uint64_t position, std::string_view data = "{\"text\":\"a\"}", std::string_view identity = kIdentity)
{
    return "id: " + std::string(identity) + ":" + std::to_string(position) + "\ndata: " + std::string(data) + "\n\n";
}

std::string done(std::uint64_t position, std::string_view identity = kIdentity)
{
    return "event: done\n" + token(position, "{\"cost\":1}", identity);
}

std::string withCrLf(std::string_view text)
{
    std::string result;
    for (const char c : text)
        result += c == '\n' ? std::string("\r\n") : std::string(1, c);
    return result;
}

// @param chunks sizes of the pieces, used in turn; empty: all at once.
Reading readAll(std::string_view bytes, const std::vector<std::size_t>& chunks = {}, std::uint64_t from = 0)
{
    StreamChecker checker(kIdentity, from);
    Reading reading;
    for (std::size_t n = 0; !bytes.empty(); ++n) {
        const std::size_t size = chunks.empty() ? bytes.size() : chunks[n % chunks.size()];
        checker.feed(bytes.substr(0, size));
        bytes.remove_prefix(std::min(size, bytes.size()));
        while (const auto event = checker.next())
            reading.events.push_back({ event->kind, event->position, std::string(event->data) });
    }
    reading.fault = checker.fault();
    reading.nextPosition = checker.nextPosition();
    return reading;
}

rc::Gen<std::string> anyPiece()
{
    return rc::gen::element<std::string>(token(0), token(1), token(2), token(3), withCrLf(token(2)),
        token(1, "x", "kokura-1.7.4"), token(2, ""), token(1, "two\ndata: lines"), ":\n", ": heartbeat\n\n", "\n",
        "\r\n", "retry: 5\n", "id: 7\n", "data: loose\n", "event: done\n", done(2), done(3), withCrLf(done(3)),
        "id: " + kIdentity + ":1\n: between\ndata:tight\n\n", "id: " + kIdentity + ":99999999999999999999\n",
        "event: surprise\n\n", "data\n");
}

} // namespace

TEST_CASE("Any split of the bytes gives the same events and the same fault")
{
    // Symptom: a token is lost or doubled, or a good stream is called malformed, now and then and only on real
    // networks. Sequence: an event arrives in pieces, cut within a line, a CRLF or a blank line. Cause: the reader's
    // state between two pieces isn't what it would be within one.
    REQUIRE(rc::check("chunking doesn't matter", [] {
        const auto pieces = *rc::gen::container<std::vector<std::string>>(anyPiece());
        const auto chunks
            = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
        const auto from = *rc::gen::inRange<std::uint64_t>(0, 3);
        std::string bytes;
        for (const std::string& piece : pieces)
            bytes += piece;
        RC_ASSERT(readAll(bytes, chunks, from) == readAll(bytes, {}, from));
        RC_ASSERT(readAll(bytes, { 1 }, from) == readAll(bytes, {}, from));
    }));
}

TEST_CASE("A whole answer is read in both line endings, with heartbeats between")
{
    const std::string answer
        = ": start\n\n" + token(0) + ":\n" + token(1, "one\ndata: two") + ": beat\n\n" + done(2) + ": after\n\n";
    for (const std::string& bytes : { answer, withCrLf(answer) }) {
        const Reading reading = readAll(bytes, { 3 });
        CHECK(reading.fault == StreamFault::None);
        CHECK(reading.events
            == std::vector<SeenEvent> { { StreamEventKind::Token, 0, "{\"text\":\"a\"}" },
                { StreamEventKind::Token, 1, "one\ntwo" }, { StreamEventKind::Done, 2, "{\"cost\":1}" } });
    }
}

TEST_CASE("A resumed stream's earlier positions are marked as repeated")
{
    // Symptom: the caller reads some words twice after a target's connection broke.
    // Sequence: the engine resumes some positions before the one asked for.
    // Cause: positions already relayed are relayed again.
    const Reading reading = readAll(token(1) + token(2) + token(3) + done(4), {}, 3);
    REQUIRE(reading.events.size() == 4);
    CHECK(reading.events[1].kind == StreamEventKind::Repeated);
    CHECK(reading.events[2].kind == StreamEventKind::Token);
    CHECK(reading.nextPosition == 4);
    CHECK(reading.fault == StreamFault::None);
}

TEST_CASE("What can't be this request's next event sets the fault that says why, and nothing follows")
{
    // Symptom: a caller gets another caller's words, or an answer with a hole that looks whole.
    // Sequence: a late answer comes on a connection taken up again; a part is lost between two buffers.
    // Cause: an event is relayed without checking whose it is and what came before.
    struct Case {
        std::string bytes;
        StreamFault fault;
        std::size_t eventsBefore;
    };
    const std::vector<Case> cases {
        { token(0) + token(1, "x", "kokura-1.7.4"), StreamFault::Crossed, 1 },
        { token(0) + done(1, "kokura-1.7.421"), StreamFault::Crossed, 1 },
        { token(0) + token(2), StreamFault::Gap, 1 },
        { token(0) + token(1) + done(1), StreamFault::Gap, 2 },
        { token(0) + done(2), StreamFault::Gap, 1 },
        { token(0) + done(1) + token(1), StreamFault::Malformed, 2 },
        { done(0) + done(0), StreamFault::Malformed, 1 },
        { "data: x\n\n", StreamFault::Malformed, 0 },
        { "id: " + kIdentity + ":0\n\n", StreamFault::Malformed, 0 },
        { "id: " + kIdentity + ":\ndata: x\n\n", StreamFault::Malformed, 0 },
        { "id: " + kIdentity + ":-1\ndata: x\n\n", StreamFault::Malformed, 0 },
        { "event: error\ndata: x\n\n", StreamFault::Malformed, 0 },
    };
    for (const Case& it : cases) {
        INFO(it.bytes);
        const Reading reading = readAll(it.bytes + token(1));
        CHECK(reading.fault == it.fault);
        CHECK(reading.events.size() == it.eventsBefore);
    }
}

TEST_CASE("An event above the bound is malformed, and one at the bound isn't")
{
    // Symptom: the router's memory grows without end.
    // Sequence: a target sends one event that never ends.
    // Cause: what is buffered for one event has no bound.
    const std::size_t frame = token(0, "").size();
    const std::string atBound = token(0, std::string(kMostEventBytes - frame, 'x'));
    const std::string above = token(0, std::string(kMostEventBytes - frame + 1, 'x'));
    for (const std::vector<std::size_t>& chunks : { std::vector<std::size_t> {}, { 4096 }, { 65537 } }) {
        CHECK(readAll(atBound, chunks).fault == StreamFault::None);
        CHECK(readAll(above, chunks).fault == StreamFault::Malformed);
        CHECK(readAll(std::string(kMostEventBytes + 1, 'x'), chunks).fault == StreamFault::Malformed);
    }
    StreamChecker checker(kIdentity, 0);
    for (int n = 0; n < 20; ++n) {
        checker.feed(std::string(kMostEventBytes, 'x'));
        CHECK_FALSE(checker.next());
    }
    CHECK(checker.bufferedBytes() == 0);
}

TEST_CASE("Heartbeats alone never add up to an event that is too long")
{
    // Symptom: a request that waits long in an engine's queue is cut off after some hours.
    // Sequence: the target sends comment lines without a blank line between, more than an event may hold.
    // Cause: comments are counted to the event that they stand before.
    StreamChecker checker(kIdentity, 0);
    const std::string beat = ":" + std::string(1000, '-') + "\n";
    for (std::size_t sent = 0; sent < 2 * kMostEventBytes; sent += beat.size()) {
        checker.feed(beat);
        CHECK_FALSE(checker.next());
        CHECK(checker.bufferedBytes() == 0);
    }
    checker.feed(token(0));
    CHECK(checker.next());
    CHECK(checker.fault() == StreamFault::None);
}
