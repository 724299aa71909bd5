// What the client of the platform's store makes of answers that end early: platform/Store.cpp.

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

/// A record of the list of targets that drops its entry.
std::string recordOf(const std::string& key)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key;
    return bigEndian(content.size(), 4) + content;
}

/// A store that answers each call with these bytes and closes the connection.
std::unique_ptr<net::HttpServer> storeThatSays(const std::string& body, bool isFramed)
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

absl::StatusOr<news::TargetNews> readFrom(const net::HttpServer& server, LogOffset from)
{
    auto client = net::makeClient();
    return platform::makeStore(*client, toString(server.endpoint()))->followTargets(from, 0ms);
}

} // namespace

// Guards against records that are taken for all there are, as the connection was closed behind them.
TEST_CASE("a list of changes that was cut is none, wherever it was cut")
{
    const std::string whole = bigEndian(9, 8) + bigEndian(0, 8) + recordOf("one") + recordOf("two");
    const bool isFramed = GENERATE(false, true);
    const auto news = readFrom(*storeThatSays(whole, isFramed), 7);
    REQUIRE(news.ok());
    CHECK(news->next == 9);
    CHECK(news->changes.size() == 2);
    const std::size_t betweenRecords = whole.size() - recordOf("two").size();
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CAPTURE(size);
        // A store may leave records for the next read, and says by the frame that these are all it sends.
        const bool isWhole = isFramed && (size == betweenRecords || size == 16);
        CHECK(readFrom(*storeThatSays(whole.substr(0, size), isFramed), 7).ok() == isWhole);
    }
}

TEST_CASE("a page of entries that was cut is none")
{
    const std::string whole = R"({"entries":[{"key":"one","value":"eA==","offset":3}],"hasMore":false,"end":4})";
    auto client = net::makeClient();
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        CAPTURE(size);
        const auto server = storeThatSays(whole.substr(0, size), false);
        CHECK(platform::makeStore(*client, toString(server->endpoint()))->readTargets().ok() == (size == whole.size()));
    }
}
