#include <sagechute/Core.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <set>

using namespace sagechute;
using nlohmann::json;

namespace {

std::string hostileBytes() { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); }

/// Any JSON value that both codecs can carry.
json arbitraryJson(int depth)
{
    int kinds = depth > 0 ? 8 : 6;
    switch (*rc::gen::inRange(0, kinds)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::arbitrary<std::uint64_t>();
    case 4:
        return *rc::gen::arbitrary<double>();
    case 5:
        return *rc::gen::container<std::string>(rc::gen::elementOf(std::string("az \"\\/\n\x7f")));
    case 6: {
        auto list = json::array();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            list.push_back(arbitraryJson(depth - 1));
        return list;
    }
    default: {
        auto object = json::object();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            object[std::to_string(n)] = arbitraryJson(depth - 1);
        return object;
    }
    }
}

std::string nested(std::string_view open, std::string_view middle, std::string_view close, int depth)
{
    std::string text;
    for (int i = 0; i < depth; ++i)
        text += open;
    text += middle;
    for (int i = 0; i < depth; ++i)
        text += close;
    return text;
}

} // namespace

TEST_CASE("A request identity survives its text form, also when the VM's name contains dots")
{
    RequestId id { { { "vm-1.zone-a.example" }, 18446744073709551615ULL }, 0 };
    REQUIRE(toString(id) == "vm-1.zone-a.example.18446744073709551615.0");
    REQUIRE(parseRequestId(toString(id)).value() == id);
}

TEST_CASE("A text in another form is no request identity")
{
    auto text = GENERATE(as<std::string>(), "", ".", "..", "vm", "vm.1", ".1.2", "vm..2", "vm.1.", "vm.+1.2", "vm.-1.2",
        "vm.1.2 ", "vm.01.2", "vm.1.0x2", "vm.1.18446744073709551616");
    CAPTURE(text);
    REQUIRE(errorKind(parseRequestId(text).status()) == ErrorKind::BadRequest);
}

TEST_CASE("Every kind of error has a name of its own and keeps kind, message and remedy")
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        auto kind = static_cast<ErrorKind>(i);
        auto error = makeError(kind, "It went wrong", "Mend it");
        REQUIRE(names.insert(toString(kind)).second);
        REQUIRE(errorKind(error) == kind);
        REQUIRE(httpStatus(kind) >= 400);
        REQUIRE(errorDocument(error)
            == json({ { "kind", toString(kind) }, { "message", "It went wrong" }, { "remedy", "Mend it" } }));
    }
    REQUIRE(errorKind(absl::NotFoundError("from elsewhere")) == ErrorKind::Internal);
    REQUIRE(errorRemedy(absl::NotFoundError("from elsewhere")).empty());
}

TEST_CASE("Strict JSON refuses what readers could understand differently")
{
    // Symptom: two readers of one record act on different values.
    // Sequence: a record has a name twice, or a zero byte with more after it; lenient parsers take the last or stop
    // there. Cause: the library's parser keeps the last of two names and takes a zero byte for the end of the text.
    using namespace std::string_literals;
    auto text = GENERATE(as<std::string>(), "", " ", "{", "[1,]", "{\"a\":1,\"a\":2}", "[{\"b\":{\"c\":1,\"c\":1}}]",
        "{\"a\":1} x", "{}{}", "{}\0{}"s, "1\0"s, "\"\xff\"", "\"\xc0\x80\"", "\"\xed\xa0\x80\"", "NaN", "1e999", "'a'",
        "// a\n1", "\"\\ud800\"");
    CAPTURE(text);
    auto parsed = parseJsonStrictly(text);
    REQUIRE(errorKind(parsed.status()) == ErrorKind::BadRequest);
    REQUIRE_FALSE(errorRemedy(parsed.status()).empty());
}

TEST_CASE("Strict JSON says where it stopped")
{
    auto message = [](std::string_view text) { return std::string(parseJsonStrictly(text).status().message()); };
    REQUIRE_THAT(message("{\"a\": ?}"), Catch::Contains("byte 7"));
    REQUIRE_THAT(message("{\"limits\":{\"rate\":1,\"rate\":2}}"), Catch::Contains("\"rate\" appears twice in /limits"));
}

TEST_CASE("Nesting is bounded exactly, and very deep nesting costs no stack")
{
    REQUIRE(parseJsonStrictly(nested("[", "", "]", 32)).ok());
    REQUIRE_FALSE(parseJsonStrictly(nested("[", "", "]", 33)).ok());
    REQUIRE_FALSE(parseJsonStrictly(nested("{\"a\":", "1", "}", 1'000'000)).ok());
    REQUIRE(decodeCbor(nested("\x81", "\x01", "", 16)).ok());
    REQUIRE_FALSE(decodeCbor(nested("\x81", "\x01", "", 17)).ok());
    REQUIRE_FALSE(decodeCbor(nested("\x81", "\x01", "", 1'000'000)).ok());
}

TEST_CASE("Strict CBOR refuses hostile items")
{
    // Symptom: one datagram ends the process, or a later dump() of the value throws.
    // Sequence: a row of nested indefinite strings; a count of elements beyond memory; text that isn't UTF-8.
    // Cause: the library's decoder recurses on such strings without a bound, and passes text on unchecked.
    using namespace std::string_literals;
    auto bytes = GENERATE(as<std::string>(), ""s, std::string(1'000'000, '\x7f'), std::string(1'000'000, '\x5f'),
        "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"s, "\xbb\xff\xff\xff\xff\xff\xff\xff\xff"s, "\x9f\xff"s, "\xbf\xff"s,
        "\x61\xff"s, "\x62\xc0\x80"s, "\x63\x61"s, "\x01\x01"s, "\xc0\x61\x61"s, "\xa1\x01\x01"s,
        "\xa2\x61\x61\x01\x61\x61\x02"s, "\x1c"s, "\xf7"s, "\xf8\x20"s, "\x19\x01"s,
        "\x3b\xff\xff\xff\xff\xff\xff\xff\xff"s, "\x7b\xff\xff\xff\xff\xff\xff\xff\xff"s);
    REQUIRE(errorKind(decodeCbor(bytes).status()) == ErrorKind::BadRequest);
}

TEST_CASE("CBOR numbers of all widths are read (RFC 8949, appendix A)")
{
    using namespace std::string_literals;
    REQUIRE(decodeCbor("\xf9\x3c\x00"s).value() == 1.0);
    REQUIRE(decodeCbor("\xf9\x00\x01"s).value() == 5.960464477539063e-8);
    REQUIRE(decodeCbor("\xf9\xc4\x00"s).value() == -4.0);
    REQUIRE(decodeCbor("\xfa\x47\xc3\x50\x00"s).value() == 100000.0);
    REQUIRE(decodeCbor("\xfb\x3f\xf1\x99\x99\x99\x99\x99\x9a"s).value() == 1.1);
    REQUIRE(decodeCbor("\x1b\xff\xff\xff\xff\xff\xff\xff\xff"s).value() == 18446744073709551615ULL);
    REQUIRE(decodeCbor("\x39\x03\xe7"s).value() == -1000);
    REQUIRE(decodeCbor("\x43\x01\x02\x03"s).value() == json::binary({ 1, 2, 3 }));
}

TEST_CASE("Values survive both codecs")
{
    REQUIRE(rc::check("round trip", [] {
        auto value = arbitraryJson(4);
        RC_ASSERT(parseJsonStrictly(value.dump()).value() == value);
        RC_ASSERT(decodeCbor(encodeCbor(value)).value() == value);
    }));
}

TEST_CASE("Hostile bytes give a value that can be written out, or an error, and never a crash")
{
    REQUIRE(rc::check("arbitrary bytes", [] {
        auto bytes = hostileBytes();
        auto item = decodeCbor(bytes);
        if (item.ok())
            item->dump();
        auto document = parseJsonStrictly(bytes);
        if (document.ok())
            document->dump();
    }));
    REQUIRE(rc::check("one byte of a valid item changed", [] {
        auto bytes = encodeCbor(arbitraryJson(3));
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        auto item = decodeCbor(bytes);
        if (item.ok())
            item->dump();
        else
            RC_ASSERT(errorKind(item.status()) == ErrorKind::BadRequest);
    }));
}

TEST_CASE("Hash and random sequence stay the same between releases")
{
    REQUIRE(stableHash("") == 0xEF46DB3751D8E999ULL);
    REQUIRE(stableHash("abc") == 0x44BC2CF5AD770999ULL);
    REQUIRE(stableHash("abc", 1) != stableHash("abc"));
    SeededRandom random(1234567);
    REQUIRE(random.next() == 6457827717110365317ULL);
    REQUIRE(random.next() == 3203168211198807973ULL);
}
