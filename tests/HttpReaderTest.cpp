// Both readers of HTTP beside a simple one, on messages that are sound, spoilt, cut and split anywhere: src/net.

#include "net/HttpReader.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <optional>

using namespace sagechute;
using namespace sagechute::net;

namespace {

constexpr std::size_t mostBody = 4096;

/// What a simple reader makes of bytes that begin with one message.
struct ReferenceRead {
    bool isWhole = false;
    std::string body;
    std::size_t used = 0;
};

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// @return the head with values that go on in a further line in one.
std::string unfolded(std::string head)
{
    for (const std::string fold : { "\r\n ", "\r\n\t" }) {
        for (std::size_t at = head.find(fold); at != std::string::npos; at = head.find(fold, at))
            head.replace(at, fold.size(), " ");
    }
    return head;
}

/// @return the value of the only field with that name; nothing if there is none.
std::optional<std::string> fieldOf(const std::string& head, const std::string& name)
{
    std::optional<std::string> value;
    std::size_t begin = head.find("\r\n") + 2;
    while (begin < head.size()) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && lowered(line.substr(0, colon)) == name)
            value = trimmed(line.substr(colon + 1));
        begin = end + 2;
    }
    return value;
}

/// @return whether an answer's status allows no body.
bool hasNoBody(const std::string& head)
{
    const std::size_t begin = std::min(head.find(' '), head.size() - 1) + 1;
    const std::string status = head.substr(begin, 3);
    return status.starts_with('1') || status == "204" || status == "304";
}

ReferenceRead readChunks(const std::string& bytes, std::size_t begin)
{
    ReferenceRead read;
    while (true) {
        const std::size_t lineEnd = bytes.find("\r\n", begin);
        if (lineEnd == std::string::npos)
            return read;
        const std::size_t size = std::strtoull(bytes.c_str() + begin, nullptr, 16);
        begin = lineEnd + 2;
        if (!size)
            break;
        if (size > bytes.size() || begin + size + 2 > bytes.size())
            return read;
        read.body += bytes.substr(begin, size);
        begin += size + 2;
    }
    // Trailers end with an empty line.
    const std::size_t end = bytes.compare(begin, 2, "\r\n") == 0 ? begin : bytes.find("\r\n\r\n", begin);
    read.isWhole = end != std::string::npos && begin < bytes.size();
    read.used = end == begin ? end + 2 : end + 4;
    return read;
}

/// @param hasEnded the connection, in order.
ReferenceRead readSimply(const std::string& bytes, bool isAnswer, bool hasEnded)
{
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return {};
    const std::string head = unfolded(bytes.substr(0, headEnd + 2));
    const std::size_t begin = headEnd + 4;
    if (isAnswer && hasNoBody(head))
        return { true, "", begin };
    if (const auto coding = fieldOf(head, "transfer-encoding"); coding && lowered(*coding) == "chunked")
        return readChunks(bytes, begin);
    if (const auto length = fieldOf(head, "content-length")) {
        const std::size_t size = std::strtoull(length->c_str(), nullptr, 10);
        const bool isWhole = bytes.size() - begin >= size;
        return { isWhole, bytes.substr(begin, size), begin + size };
    }
    return isAnswer ? ReferenceRead { hasEnded, bytes.substr(begin), bytes.size() } : ReferenceRead { true, "", begin };
}

template <typename T> T oneOf(std::initializer_list<T> values)
{
    const std::vector<T> choices(values);
    return choices[*rc::gen::inRange<std::size_t>(0, choices.size())];
}

std::string anyBody() { return *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'f')); }

std::string inChunks(const std::string& body)
{
    std::string text;
    std::size_t begin = 0;
    while (begin < body.size()) {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(body.size() - begin, 15) + 1);
        text += std::string(1, "0123456789abcdef"[size]) + oneOf<std::string>({ "", ";a=b", ";a" }) + "\r\n"
            + body.substr(begin, size) + "\r\n";
        begin += size;
    }
    return text + "0\r\n" + oneOf<std::string>({ "", "X-Trailer: t\r\n" }) + "\r\n";
}

/// @return a message, most often sound, at times with bytes changed, lost or added.
std::string anyMessage(bool isAnswer)
{
    std::string text = isAnswer ? oneOf<std::string>({ "HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 503 Busy" })
                                : oneOf<std::string>({ "POST /a?b=c HTTP/1.1", "GET / HTTP/1.1", "POST /a HTTP/1.0" });
    text += "\r\nHost: h\r\n" + oneOf<std::string>({ "", "X-A: b\r\n", "Connection: close\r\n" });
    const std::string body = anyBody();
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        break;
    case 1:
        text += "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body);
        break;
    case 2:
        text += "\r\n" + body;
        break;
    case 3:
        text += "content-length:" + std::to_string(body.size() + *rc::gen::inRange<std::size_t>(0, 3)) + "\r\n\r\n"
            + body;
        break;
    default:
        text += "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(body);
    }
    for (int changes = *rc::gen::inRange(0, 3); changes > 0 && !text.empty(); --changes) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
            break;
        case 2:
            text.insert(at, oneOf<std::string>({ "\r\n", "\n", " ", "0", ":", "Content-Length: 1\r\n" }));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

/// Gives a reader bytes in pieces, as a connection does. @return how many it took.
template <typename Reader> std::size_t feed(Reader& reader, const std::string& bytes, bool isSplit)
{
    std::size_t used = 0, given = 0;
    while (given < bytes.size() && !reader.isDone() && reader.problem() == ReadProblem::None) {
        given += isSplit ? *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(bytes.size() - given, 40) + 1)
                         : bytes.size() - given;
        std::size_t taken = 1;
        while (taken && used < given && !reader.isDone() && reader.problem() == ReadProblem::None) {
            taken = reader.take(std::string_view(bytes).substr(used, given - used));
            used += taken;
        }
    }
    return used;
}

template <typename Reader> bool isWhole(const Reader& reader)
{
    return reader.isDone() && reader.problem() == ReadProblem::None;
}

struct Keeping final : AnswerSink {
    void onAnswerHead(int, const std::vector<Field>&) override { ++heads; }
    bool onAnswerBody(std::string_view bytes) override
    {
        body += bytes;
        return true;
    }
    int heads = 0;
    std::string body;
};

} // namespace

// Guards against a process that ends by a body of no bytes, whose last chunk comes in two pieces.
TEST_CASE("an empty body in chunks may come in any pieces")
{
    const std::string chunks = "0\r\n\r\n";
    const std::size_t first = GENERATE(range(1, 5));
    Keeping sink;
    AnswerReader answer(sink, true);
    RequestReader request(mostBody);
    const auto give = [&](const std::string& head, auto& reader) {
        feed(reader, head, false);
        for (std::size_t size = first; size < chunks.size(); ++size)
            CHECK(reader.take(std::string_view(chunks).substr(0, size)) == 0);
        CHECK(reader.take(chunks) == chunks.size());
        CHECK(isWhole(reader));
    };
    give("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", answer);
    give("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", request);
    CHECK(sink.heads == 1);
    CHECK(sink.body.empty());
}

// Guards against bytes of another coding that reach a caller as the body.
TEST_CASE("an answer in another transfer coding than chunks is refused")
{
    const std::string coding = GENERATE("gzip, chunked", "gzip", "identity", "chunked:", "chunked, chunked");
    Keeping sink;
    AnswerReader reader(sink, true);
    feed(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n1\r\na\r\n0\r\n\r\n", false);
    CHECK(reader.problem() == ReadProblem::AmbiguousLength);
    CHECK(sink.heads == 0);
}

// Guards against a status that is no HTTP status and reaches a caller as an answer.
TEST_CASE("an answer whose status HTTP does not have is refused")
{
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    Keeping sink;
    AnswerReader reader(sink, true);
    feed(reader, "HTTP/1.1 " + status + " OK\r\nContent-Length: 1\r\n\r\na", false);
    CHECK(reader.problem() == ReadProblem::Malformed);
    CHECK(sink.heads == 0);
    CHECK(sink.body.empty());
}

// Guards against a check of statuses that takes unusual ones for none.
TEST_CASE("an answer with any status of HTTP is read")
{
    const std::string status = GENERATE("200", "299", "399", "499", "599");
    Keeping sink;
    AnswerReader reader(sink, true);
    feed(reader, "HTTP/1.1 " + status + " \r\nContent-Length: 1\r\n\r\na", false);
    CHECK(isWhole(reader));
    CHECK(std::to_string(reader.status()) == status);
}

// Guards against an answer that is said to be whole and isn't, or with bytes that are not its own.
TEST_CASE("an answer is whole only where a simple reader says so, too, however its bytes are split")
{
    rc::prop("any message", [] {
        const std::string bytes = anyMessage(true);
        const bool hasEnded = *rc::gen::arbitrary<bool>();
        RC_LOG() << rc::toString(bytes);
        const ReferenceRead reference = readSimply(bytes, true, hasEnded);
        for (const bool isSplit : { false, true }) {
            Keeping sink;
            AnswerReader reader(sink, true);
            const std::size_t used = feed(reader, bytes, isSplit);
            if (hasEnded && reader.problem() == ReadProblem::None)
                reader.takeEnd();
            if (!isWhole(reader))
                continue;
            RC_ASSERT(reference.isWhole);
            RC_ASSERT(sink.body == reference.body);
            RC_ASSERT(used == reference.used);
            RC_ASSERT(sink.heads == (reader.isInterim() ? 0 : 1));
        }
    });
}

// Guards against a request inside another one's body, and against one that runs though half of it came.
TEST_CASE("a request is whole, and ends, only where a simple reader says so, too, however its bytes are split")
{
    rc::prop("any message", [] {
        const std::string bytes = anyMessage(false);
        RC_LOG() << rc::toString(bytes);
        const ReferenceRead reference = readSimply(bytes, false, false);
        for (const bool isSplit : { false, true }) {
            RequestReader reader(mostBody);
            const std::size_t used = feed(reader, bytes, isSplit);
            if (!isWhole(reader))
                continue;
            RC_ASSERT(reference.isWhole);
            RC_ASSERT(reader.takeRequest().body == reference.body);
            RC_ASSERT(used == reference.used);
        }
    });
}

// Guards against bytes that end a router, and against a message that is whole or not by how it was split.
TEST_CASE("any bytes are a whole message or none however they are split")
{
    rc::prop("any bytes", [] {
        const std::string bytes = oneOf<std::string>({ "", "GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n" })
            + *rc::gen::arbitrary<std::string>();
        for (const std::string& text : { bytes, anyMessage(false) }) {
            RequestReader whole(mostBody), split(mostBody);
            feed(whole, text, false);
            feed(split, text, true);
            RC_ASSERT(isWhole(whole) == isWhole(split));
        }
        for (const std::string& text : { bytes, anyMessage(true) }) {
            Keeping sink;
            AnswerReader whole(sink, true), split(sink, true);
            feed(whole, text, false);
            feed(split, text, true);
            RC_ASSERT(isWhole(whole) == isWhole(split));
        }
    });
}

// Guards against a body that is dropped, and whose memory is kept with its connection.
TEST_CASE("A dropped body frees its memory")
{
    constexpr std::size_t bytes = 1 << 20;
    RequestReader reader(bytes);
    reader.take("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n");
    reader.take(std::string(bytes / 2, 'x'));
    REQUIRE(reader.bodyMemory() >= bytes / 2);
    reader.dropBody();
    REQUIRE(reader.bodyMemory() == 0);
    REQUIRE(reader.takeRequest().body.capacity() < bytes / 2);
}
