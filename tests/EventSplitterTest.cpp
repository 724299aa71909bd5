// Tests of splitting event streams with any chunk sizes and line ends, and of what remains at their end: src/edge.

#include <sagechute/Edge.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::edge;

namespace {

/// The expected result of splitting a whole stream.
struct ReferenceRead {
    std::size_t wholeBytes = 0; ///< Up to the end of the last complete event.
    std::uint64_t events = 0;
    bool isInsideEvent = false;
};

/// Reference implementation that reads line by line, as in the standard.
ReferenceRead readWhole(const std::string& bytes)
{
    ReferenceRead read;
    bool hasField = false;
    std::size_t begin = 0;
    while (begin < bytes.size()) {
        std::size_t end = begin;
        while (end < bytes.size() && bytes[end] != '\r' && bytes[end] != '\n')
            ++end;
        const std::string line = bytes.substr(begin, end - begin);
        const bool isField = !line.empty() && line[0] != ':';
        if (end == bytes.size()) {
            read.isInsideEvent = hasField || isField;
            return read;
        }
        begin = end + (bytes.compare(end, 2, "\r\n") == 0 ? 2 : 1);
        hasField |= isField;
        if (!line.empty())
            continue;
        read.events += hasField ? 1 : 0;
        read.wholeBytes = begin;
        hasField = false;
    }
    read.isInsideEvent = hasField;
    return read;
}

/// Feeds the bytes in chunks of random size. @return the output.
std::string feedInChunks(EventSplitter& splitter, std::string bytes)
{
    std::string got;
    while (!bytes.empty()) {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        got += splitter.feed(bytes.substr(0, size));
        bytes.erase(0, size);
    }
    return got;
}

} // namespace

TEST_CASE("only complete events are returned, however the bytes are chunked")
{
    rc::prop("the output is the concatenation of all complete events", [] {
        const unsigned n = *rc::gen::inRange(1U, 20U);
        std::string bytes;
        for (unsigned i = 1; i <= n; ++i)
            bytes += "id: " + std::to_string(i * 3) + "\ndata: abc\n\n";
        const std::string torn = "id: 9999\nda";
        std::string all = bytes + torn;
        EventSplitter splitter({});
        std::string got;
        while (!all.empty()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, all.size() + 1);
            got += splitter.feed(all.substr(0, size));
            all.erase(0, size);
        }
        RC_ASSERT(got == bytes);
        RC_ASSERT(splitter.remainder() == torn);
        RC_ASSERT(splitter.lastId() == std::to_string(n * 3));
        RC_ASSERT(splitter.events() == n);
        RC_ASSERT(!splitter.hasInvalidEvent());
    });
}

// Guards against an event that a caller receives twice after its stream moved to another target.
TEST_CASE("an event that the caller has already received is withheld")
{
    EventSplitter splitter("6");
    CHECK(splitter.feed("id: 6\ndata: x\n\nid: 7\ndata: y\n\n").empty());
    CHECK(splitter.hasInvalidEvent());
    EventSplitter good("6");
    CHECK_FALSE(good.feed("id: 7\r\ndata: y\n\n").empty());
    CHECK(good.lastId() == "7");
}

// Guards against events that are held back until the end of their stream, and against an end inside an event that goes
// undetected.
TEST_CASE("a stream with any line ends and chunk sizes is split like by the reference implementation")
{
    rc::prop("random lines, comments and chunk sizes", [] {
        const auto line
            = rc::gen::element<std::string>("data: a", "data", "event: b", ": comment", ":", "", "retry: 3");
        const auto end = rc::gen::element<std::string>("\r\n", "\n", "\r");
        const auto n = *rc::gen::inRange(0, 30);
        std::string bytes;
        for (int i = 0; i < n; ++i)
            bytes += *line + *end;
        bytes.resize(bytes.size() - std::min<std::size_t>(bytes.size(), *rc::gen::inRange(0, 4)));
        EventSplitter splitter({});
        const std::string got = feedInChunks(splitter, bytes);
        const ReferenceRead read = readWhole(bytes);
        RC_ASSERT(got == bytes.substr(0, read.wholeBytes));
        RC_ASSERT(got + splitter.remainder() == bytes);
        RC_ASSERT(splitter.events() == read.events);
        RC_ASSERT(splitter.isInsideEvent() == read.isInsideEvent);
    });
}

TEST_CASE("an event that ends with CR is returned without waiting for a possible LF")
{
    EventSplitter splitter({});
    CHECK(splitter.feed("id: 1\r\ndata: a\r\n\r") == "id: 1\r\ndata: a\r\n\r");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.feed("\n") == "\n");
    CHECK(splitter.feed("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.events() == 2);
    CHECK_FALSE(splitter.isInsideEvent());
}

TEST_CASE("bytes after the last event are part of an event unless they are comments or a byte order mark")
{
    const auto [rest, isInside] = GENERATE(table<std::string, bool>({
        { "", false },
        { ": bye", false },
        { ": bye\n", false },
        { "\n", false },
        { "d", true },
        { "data: x\n", true },
        { "id: 7\r\n", true },
        { ": bye\ndata", true },
        { "data: x\n: bye\n", true },
    }));
    EventSplitter splitter({});
    splitter.feed("id: 1\ndata: a\n\n" + rest);
    CHECK(splitter.isInsideEvent() == isInside);
    EventSplitter marked({});
    marked.feed("\xEF\xBB\xBF" + rest);
    CHECK(marked.isInsideEvent() == isInside);
}

TEST_CASE("the ID of an event after a byte order mark is recognised")
{
    EventSplitter splitter({});
    CHECK_FALSE(splitter.feed("\xEF\xBB\xBFid: 4\n\n").empty());
    CHECK(splitter.lastId() == "4");
}

// Guards against a target that exhausts the router's memory with an endless event.
TEST_CASE("the size of a buffered event is limited")
{
    EventSplitter splitter({});
    const std::string piece(64 << 10, 'x');
    for (int i = 0; i < 32; ++i)
        splitter.feed("data: " + piece + "\n");
    CHECK(splitter.hasInvalidEvent());
    CHECK(splitter.remainder().size() < (2 << 20));
}
