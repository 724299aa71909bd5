// Tests how the client of the platform's store in platform/Store.cpp handles truncated responses.

#include "NetFixtures.h"

#include "Platform.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace std::chrono_literals;

namespace {

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i-- > 0;)
        text += static_cast<char>(number >> 8 * i & 0xFF);
    return text;
}

/// Encodes a tombstone for an entry of the list of targets.
std::string recordOf(const std::string& key)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key;
    return bigEndian(content.size(), 4) + content;
}

/// A store that sends this body in every response. Unframed: only the close of the connection ends it.
std::unique_ptr<net::HttpServer> makeFixedResponseStore(const std::string& body, bool isFramed)
{
    return net::makeServer([body, isFramed](const net::ExchangePointer& exchange) {
        if (isFramed) {
            exchange->respond({ 200, {}, body });
            return;
        }
        exchange->startRaw();
        exchange->write("HTTP/1.1 200 OK\r\n\r\n" + body);
        exchange->finish();
    });
}

absl::StatusOr<news::TargetNews> followTargetsFrom(const net::HttpServer& server, LogOffset from)
{
    auto client = net::makeClient();
    return platform::makeStore(*client, toString(server.endpoint()))->followTargets(from, 0ms);
}

} // namespace

// Guards against a partial list of records that is taken as complete because the connection was closed after it.
TEST_CASE("a truncated list of changes is rejected wherever it was cut")
{
    const std::string whole = bigEndian(9, 8) + bigEndian(0, 8) + recordOf("one") + recordOf("two");
    const bool isFramed = GENERATE(false, true);
    const auto news = followTargetsFrom(*makeFixedResponseStore(whole, isFramed), 7);
    REQUIRE(news.ok());
    CHECK(news->next == 9);
    CHECK(news->changes.size() == 2);
    const std::size_t betweenRecords = whole.size() - recordOf("two").size();
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CAPTURE(size);
        // A store may leave records for the next read; framing then shows that the response is nevertheless complete.
        const bool isWhole = isFramed && (size == betweenRecords || size == 16);
        CHECK(followTargetsFrom(*makeFixedResponseStore(whole.substr(0, size), isFramed), 7).ok() == isWhole);
    }
}

TEST_CASE("a truncated page of entries is rejected")
{
    const std::string whole = R"({"entries":[{"key":"one","value":"eA==","offset":3}],"hasMore":false,"end":4})";
    auto client = net::makeClient();
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        CAPTURE(size);
        const auto server = makeFixedResponseStore(whole.substr(0, size), false);
        CHECK(platform::makeStore(*client, toString(server->endpoint()))->readTargets().ok() == (size == whole.size()));
    }
}
