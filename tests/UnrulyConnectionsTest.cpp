#include "NetFixtures.h"

#include "net/HttpReader.h"
#include "net/ReadAhead.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace sagechute::net {
namespace {

    constexpr std::string_view wholeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    constexpr std::string_view openHead = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";

    /// On one loop, so that the order of connections is one.
    ServerOptions oneThread()
    {
        ServerOptions options = loopback();
        options.threads = 1;
        return options;
    }

    RawConnection connectAndSend(const HttpServer& server, std::string_view bytes)
    {
        auto connection = RawConnection::connectTo(server.endpoint());
        connection.endReadingAfter(std::chrono::seconds(10));
        if (!bytes.empty())
            connection.send(bytes);
        return connection;
    }

    std::string answerTo(RawConnection& connection, std::string_view request)
    {
        connection.send(request);
        return connection.readUntil("\r\n\r\n");
    }

    void respondEmpty(const ExchangePointer& exchange) { exchange->respond({}); }

} // namespace

// Guards against a crowd of connections without a request that keeps new callers out.
TEST_CASE("A new connection takes the place of the one without a request for longest")
{
    auto options = oneThread();
    options.maxConnections = 3;
    auto server = makeServer(respondEmpty, options);
    auto served = connectAndSend(*server, wholeRequest);
    REQUIRE_THAT(served.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
    auto silent = connectAndSend(*server, "");
    waitUntil([&] { return server->openConnections() == 2; });
    auto begun = connectAndSend(*server, openHead);
    waitUntil([&] { return server->openConnections() == 3; });
    auto first = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(first, wholeRequest), Catch::Contains(" 200 "));
    REQUIRE(silent.readToEnd().empty());
    auto second = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(second, wholeRequest), Catch::Contains(" 200 "));
    REQUIRE(begun.readToEnd().empty());
    // Only now the one that was served, and may be used again, is the next.
    REQUIRE_THAT(answerTo(served, wholeRequest), Catch::Contains(" 200 "));
    REQUIRE(server->openConnections() == 3);
}

// Guards against idle connections on one thread that leave no place for those that another thread accepts.
TEST_CASE("Idle connections make place on each of a server's threads")
{
    auto options = loopback();
    options.threads = 3;
    options.maxConnections = 6;
    auto server = makeServer(respondEmpty, options);
    std::vector<RawConnection> idle;
    constexpr int connections = 30;
    idle.reserve(connections);
    for (int i = 0; i < connections; ++i)
        idle.push_back(connectAndSend(*server, ""));
    for (int i = 0; i < connections; ++i) {
        auto caller = connectAndSend(*server, wholeRequest);
        REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
        REQUIRE(server->openConnections() <= options.maxConnections + 1);
    }
}

// Guards against a new connection that ends a request in progress.
TEST_CASE("A connection whose request is served keeps its place")
{
    auto options = oneThread();
    options.maxConnections = 2;
    std::mutex mutex;
    std::vector<ExchangePointer> waiting;
    auto server = makeServer(
        [&](const ExchangePointer& exchange) {
            std::lock_guard lock(mutex);
            waiting.push_back(exchange);
        },
        options);
    auto first = connectAndSend(*server, wholeRequest);
    auto second = connectAndSend(*server, wholeRequest);
    waitUntil([&] { return server->openRequests() == 2; });
    REQUIRE(connectAndSend(*server, wholeRequest).readToEnd().empty());
    for (const ExchangePointer& it : waiting)
        it->respond({});
    REQUIRE_THAT(first.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
    REQUIRE_THAT(second.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
}

// Guards against a refused caller that counts as served, and keeps its place before others.
TEST_CASE("A connection whose request was denied yields before one that was served")
{
    auto options = oneThread();
    options.maxConnections = 2;
    auto server = makeServer(
        [](const ExchangePointer& it) {
            it->respond({ it->request().path == "/known" ? 200 : 401, {}, {} });
        },
        options);
    constexpr std::string_view knownRequest = "GET /known HTTP/1.1\r\nHost: a\r\n\r\n";
    auto served = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(served, knownRequest), Catch::Contains(" 200 "));
    auto denied = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(denied, wholeRequest), Catch::Contains(" 401 "));
    auto next = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(next, knownRequest), Catch::Contains(" 200 "));
    REQUIRE(denied.readToEnd().empty());
    REQUIRE_THAT(answerTo(served, knownRequest), Catch::Contains(" 200 "));
}

// Guards against heads without an end that use the memory of all.
TEST_CASE("Open heads yield their memory to a whole request")
{
    auto options = oneThread();
    options.headBudget = std::make_shared<ByteBudget>(64 << 10);
    auto server = makeServer(respondEmpty, options);
    std::vector<RawConnection> open;
    constexpr int callers = 10;
    open.reserve(callers);
    for (int i = 0; i < callers; ++i)
        open.push_back(connectAndSend(*server, std::string(openHead) + std::string(15 << 10, 'x')));
    waitUntil([&] { return server->openConnections() <= 4; });
    REQUIRE(options.headBudget->reserved() <= 64 << 10);
    auto caller = connectAndSend(*server, "");
    REQUIRE_THAT(
        answerTo(caller, std::string(openHead) + std::string(15 << 10, 'x') + "\r\n\r\n"), Catch::Contains(" 200 "));
}

// Guards against heads that are counted by their bytes, and take many times as much.
TEST_CASE("A request of small fields is counted by what it takes")
{
    auto options = oneThread();
    options.headBudget = std::make_shared<ByteBudget>(1 << 20);
    Promised<ExchangePointer> arrived;
    auto server = makeServer([&](const ExchangePointer& exchange) { arrived.set(exchange); }, options);
    std::string request = "GET / HTTP/1.1\r\n";
    constexpr int fields = 1000;
    for (int i = 0; i < fields; ++i)
        request += "a:b\r\n";
    auto caller = connectAndSend(*server, request + "\r\n");
    ExchangePointer exchange = arrived.wait();
    REQUIRE(options.headBudget->reserved() >= fields * sizeof(Field));
    exchange->respond({});
    REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
    exchange.reset();
    arrived.set(nullptr);
    waitUntil([&] { return options.headBudget->reserved() == 0; });
}

// Guards against a refusal for memory that a caller can't tell from a lost connection.
TEST_CASE("A request for which no memory is left is refused with 503 and Retry-After")
{
    auto options = oneThread();
    options.headBudget = std::make_shared<ByteBudget>(8 << 10);
    options.refusalFields = { { "X-Not-Run", "yes" } };
    auto server = makeServer(respondEmpty, options);
    auto caller = connectAndSend(*server, "");
    const std::string answer = answerTo(caller, std::string(openHead) + std::string(15 << 10, 'x') + "\r\n\r\n");
    REQUIRE_THAT(answer, Catch::Contains(" 503 ") && Catch::Contains("Retry-After: 1") && Catch::Contains("X-Not-Run"));
    auto other = connectAndSend(*server, "");
    REQUIRE_THAT(answerTo(other, wholeRequest), Catch::Contains(" 200 "));
}

// Guards against bodies without an end that keep the memory for bodies.
TEST_CASE("A body that makes no end yields to another one, and is refused at its end")
{
    auto options = oneThread();
    constexpr std::size_t bytes = 100 << 10;
    options.bodyBudget = std::make_shared<ByteBudget>(bytes);
    auto server = makeServer(
        [](const ExchangePointer& it) {
            it->respond({ it->request().isBodyDropped ? 503 : 200, {}, {} });
        },
        options);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
    auto slow = connectAndSend(*server, head + "x");
    waitUntil([&] { return options.bodyBudget->reserved() == bytes; });
    const std::string body(bytes, 'x');
    bool isServed = false;
    while (!isServed) {
        auto caller = connectAndSend(*server, head + body);
        const std::string answer = caller.readUntil("\r\n\r\n");
        isServed = answer.find(" 200 ") != std::string::npos;
        REQUIRE((isServed || answer.find(" 503 ") != std::string::npos));
    }
    REQUIRE_THAT(answerTo(slow, body.substr(1)), Catch::Contains(" 503 "));
}

// Guards against answers that nobody reads and that use the memory of all.
TEST_CASE("The caller that has not read its answer for longest yields its memory")
{
    auto options = oneThread();
    options.sendBufferBytes = 16 << 10;
    options.answerBudget = std::make_shared<ByteBudget>(5 << 20);
    const std::string large(2 << 20, 'x');
    std::atomic<std::size_t> handled = 0;
    auto server = makeServer(
        [&](const ExchangePointer& it) {
            it->respond({ 200, {}, large });
            ++handled;
        },
        options);
    std::vector<RawConnection> unread;
    constexpr std::size_t callers = 6;
    for (std::size_t i = 0; i < callers; ++i) {
        unread.push_back(RawConnection::connectTo(server->endpoint()));
        unread.back().limitReceiveBuffer(16 << 10);
        unread.back().send(wholeRequest);
    }
    waitUntil([&] { return handled == callers && server->openRequests() == 2; });
    REQUIRE(options.answerBudget->reserved() <= 5 << 20);
    auto caller = connectAndSend(*server, wholeRequest);
    caller.readUntil("\r\n\r\n");
    REQUIRE(caller.read(large.size()).size() == large.size());
    unread.clear();
    waitUntil([&] { return options.answerBudget->reserved() == 0; });
}

// Guards against a chunk's head, or trailers, that are kept until they end.
TEST_CASE("Framing without an end is refused")
{
    const std::string begun = GENERATE("1;", "1\r\nx\r\n0\r\na:");
    auto server = makeServer(respondEmpty);
    auto caller = connectAndSend(*server, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + begun);
    for (std::size_t sent = 0; sent <= 2 * maxFramingBytes; sent += 1 << 10)
        caller.send(std::string(1 << 10, 'x'));
    REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains(" 400 "));
}

// Guards against requests behind one that waits that are read ahead without a bound, or lost.
TEST_CASE("Requests behind one that waits are left to the kernel and answered in their order")
{
    auto options = oneThread();
    options.receiveBufferBytes = 8 << 10;
    options.headBudget = std::make_shared<ByteBudget>(1 << 20);
    Promised<ExchangePointer> arrived;
    auto server = makeServer(
        [&](const ExchangePointer& it) {
            if (it->request().path == "/first")
                arrived.set(it);
            else
                it->respond({ 200, { { "X-Path", it->request().path } }, {} });
        },
        options);
    auto caller = connectAndSend(*server, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    ExchangePointer first = arrived.wait();
    constexpr int behind = 5000;
    std::thread sender([&] {
        for (int i = 0; i < behind; ++i)
            caller.send("GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(options.headBudget->reserved() <= 64 << 10);
    first->respond({});
    REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains(" 200 "));
    for (int i = 0; i < behind; ++i)
        REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains("X-Path: /" + std::to_string(i) + "\r\n"));
    sender.join();
}

// Guards against bytes that are lost, repeated or put in another order between reading and taking.
TEST_CASE("Bytes read ahead are taken once and in their order")
{
    rc::check([](const std::vector<std::pair<std::string, std::uint8_t>>& steps) {
        ReadAhead ahead;
        std::string all;
        std::string taken;
        for (const auto& [piece, n] : steps) {
            ahead.append(piece);
            all += piece;
            const std::string_view bytes = ahead.bytes();
            const std::size_t count = std::min<std::size_t>(n, bytes.size());
            taken += bytes.substr(0, count);
            ahead.remove(count);
            RC_ASSERT(taken + std::string(ahead.bytes()) == all);
            RC_ASSERT(!ahead.isEmpty() || ahead.memory() == 0);
        }
    });
}

// Guards against settings under which a single request of the allowed size could not be served.
TEST_CASE("A server's memory has room for its largest body")
{
    constexpr std::size_t memory = 64 << 20;
    REQUIRE(checkBodyLimit(4 << 20, memory).ok());
    REQUIRE_FALSE(checkBodyLimit(16 << 20, memory).ok());
    ServerOptions options;
    options.limitConnections(100'000, 4000);
    REQUIRE(options.maxConnections == 3000);
    options.limitMemory(memory);
    REQUIRE(options.maxConnections < 1000);
    REQUIRE(options.bodyBudget->reserve(memory / 4));
    REQUIRE_FALSE(options.bodyBudget->reserve(1));
}

} // namespace sagechute::net
