// What may stand on a connection besides one sound message after the other: src/net.

#include "NetFixtures.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::net;

namespace {

constexpr const char* okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers with the request's path and body.
void echo(const ExchangePointer& exchange)
{
    exchange->respond({ 200, {}, exchange->request().path + " " + exchange->request().body });
}

/// Sends @p request and returns all that comes until the server closes.
std::string answersTo(const HttpServer& server, std::string_view request)
{
    auto caller = RawConnection::connectTo(server.endpoint());
    caller.send(request);
    return caller.readToEnd();
}

} // namespace

TEST_CASE("Requests that come at once on one connection are answered in their order")
{
    auto server = makeServer(echo);
    const std::string answers = answersTo(*server,
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo"
        "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /4 HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::size_t first = answers.find("/1 ");
    const std::size_t second = answers.find("/2 two");
    const std::size_t third = answers.find("/3 ");
    REQUIRE(first < second);
    REQUIRE(second < third);
    REQUIRE(third != std::string::npos);
    REQUIRE(answers.find("/4 ") == std::string::npos);
}

TEST_CASE("A request is the same however its bytes are cut")
{
    auto server = makeServer(echo);
    rc::prop("any cuts", [&] {
        std::string bytes
            = "POST /path?q=%41 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
              "4\r\nfour\r\n5;x=y\r\n-five\r\n0\r\nTrailer: t\r\n\r\n";
        auto caller = RawConnection::connectTo(server->endpoint());
        while (!bytes.empty()) {
            const auto n = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
            caller.send(std::string_view(bytes).substr(0, n));
            bytes.erase(0, n);
            // Often enough in packets of their own.
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        RC_ASSERT(caller.readToEnd().ends_with("/path four-five"));
    });
}

// Symptom: a request that nobody sent runs. Sequence: a caller sends bytes whose end two servers in a row see at
// different places. Cause: the first one guesses instead of refusing, or goes on reading behind what it refused.
TEST_CASE("A request whose end is in doubt is refused, and nothing behind it is taken for a request")
{
    std::atomic<int> handled = 0;
    auto server = makeServer([&](const ExchangePointer& exchange) {
        ++handled;
        exchange->respond({});
    });
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string head = GENERATE(as<std::string>(),
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0, 5\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "GET / HTTP/9.9\r\nHost: a\r\n\r\n", "nonsense\r\n\r\n");
    const std::string answer = answersTo(*server, head + smuggled);
    REQUIRE_THAT(answer, Catch::StartsWith("HTTP/1.1 400 "));
    REQUIRE(handled == 0);
}

// Symptom: a process is killed for its memory. Sequence: a caller sends header after header, each of them short.
// Cause: the parser bounds the part that it has not taken yet, not what it took.
TEST_CASE("Headers without end are refused")
{
    auto server = makeServer(echo);
    auto caller = RawConnection::connectTo(server->endpoint());
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < 5000 && caller.send("X-Field: " + std::string(20, 'x') + "\r\n"); ++i) { }
    REQUIRE_THAT(caller.readUntil("\r\n"), Catch::Contains(" 413 "));
}

TEST_CASE("A body is asked for when its caller waits for leave")
{
    auto server = makeServer(echo);
    auto caller = RawConnection::connectTo(server->endpoint());
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    REQUIRE_THAT(caller.readUntil("\r\n\r\n"), Catch::Contains(" 100 "));
    caller.send("body");
    REQUIRE_THAT(caller.readToEnd(), Catch::EndsWith("/ body"));
}

TEST_CASE("A caller of HTTP/1.0 gets an answer without chunks, and sees a broken one as such")
{
    const bool aborts = GENERATE(false, true);
    auto server = makeServer([&](const ExchangePointer& exchange) {
        exchange->startStream(200, {});
        exchange->write("part");
        if (!aborts)
            exchange->finish();
    });
    Promised<ExchangePointer> arrived;
    auto breaking = makeServer([&](const ExchangePointer& exchange) {
        exchange->startStream(200, {});
        exchange->write("part");
        arrived.set(exchange);
    });
    const HttpServer& used = aborts ? *breaking : *server;
    auto caller = RawConnection::connectTo(used.endpoint());
    caller.send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE_THAT(caller.readUntil("part"), !Catch::Contains("chunked"));
    if (aborts)
        arrived.wait()->abort();
    REQUIRE(caller.endsByReset() == aborts);
}

// Guards against an answer without chunks that is never ended, as its end comes after its last bytes have left.
TEST_CASE("A caller that gets no chunks sees the end of a stream that comes when all its bytes have left")
{
    Promised<ExchangePointer> arrived;
    auto server = makeServer([&](const ExchangePointer& exchange) {
        exchange->startStream(200, {});
        exchange->write("all");
        arrived.set(exchange);
    });
    auto caller = RawConnection::connectTo(server->endpoint());
    caller.endReadingAfter(std::chrono::seconds(5));
    caller.send(GENERATE("GET / HTTP/1.0\r\n\r\n", "HEAD / HTTP/1.0\r\n\r\n",
        "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    caller.readUntil("\r\n\r\n");
    const ExchangePointer exchange = arrived.wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    exchange->finish();
    REQUIRE(caller.endsInOrder());
}

// Guards against connections beyond the bound that hang in the kernel's queue before others that could be served.
TEST_CASE("A connection beyond the bound takes the place of a silent one at once, and the others are served")
{
    auto options = loopback();
    options.maxConnections = 2;
    options.threads = 1;
    auto server = makeServer(echo, options);
    auto first = RawConnection::connectTo(server->endpoint());
    waitUntil([&] { return server->openConnections() == 1; });
    auto second = RawConnection::connectTo(server->endpoint());
    waitUntil([&] { return server->openConnections() == 2; });
    auto third = RawConnection::connectTo(server->endpoint());
    REQUIRE(first.readToEnd().empty());
    third.send("GET /third HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE_THAT(third.readUntil("/third "), Catch::Contains(" 200 "));
    second.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE_THAT(second.readUntil("/second "), Catch::Contains(" 200 "));
}

// Guards against the same where all connections are in use.
TEST_CASE("A connection beyond the bound is closed at once if all others wait for answers, and these are served")
{
    auto options = loopback();
    options.maxConnections = 2;
    options.threads = 1;
    std::mutex mutex;
    std::vector<ExchangePointer> waiting;
    auto server = makeServer(
        [&](const ExchangePointer& exchange) {
            std::lock_guard lock(mutex);
            waiting.push_back(exchange);
        },
        options);
    auto first = RawConnection::connectTo(server->endpoint());
    auto second = RawConnection::connectTo(server->endpoint());
    first.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    second.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    waitUntil([&] { return server->openRequests() == 2; });
    REQUIRE(RawConnection::connectTo(server->endpoint()).readToEnd().empty());
    std::lock_guard lock(mutex);
    for (const ExchangePointer& it : waiting)
        echo(it);
    REQUIRE_THAT(first.readUntil("/first "), Catch::Contains(" 200 "));
    REQUIRE_THAT(second.readUntil("/second "), Catch::Contains(" 200 "));
}

// Symptom: a caller gets the answer to another request. Sequence: a target sends an answer twice, or one that comes too
// late, and the connection is used again. Cause: bytes that nobody asked for were taken for the next answer.
TEST_CASE("A connection on which a target said more than it was asked is not used again")
{
    RawServer target;
    const bool comesLater = GENERATE(false, true);
    std::thread serving([&] {
        auto connection = target.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(okAnswer + std::string(comesLater ? "" : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"));
        if (comesLater) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        }
        auto next = target.accept();
        next.readUntil("\r\n\r\n");
        next.send(okAnswer);
    });
    auto client = makeClient();
    REQUIRE(client->perform(requestTo(target.endpoint())).body == "ok");
    if (comesLater)
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
    REQUIRE(client->perform(requestTo(target.endpoint())).body == "ok");
    serving.join();
}

// Symptom: a target takes one request's body for the next request. Sequence: it answers before it has read a long body,
// and keeps the connection. Cause: the connection was used again before the body had been sent.
TEST_CASE("A connection whose target answered before it had read the body is not used again")
{
    RawServer target;
    std::thread serving([&] {
        auto connection = target.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(okAnswer);
        auto next = target.accept();
        next.readUntil("\r\n\r\n");
        next.send(okAnswer);
    });
    auto client = makeClient();
    auto request = requestTo(target.endpoint());
    request.method = "POST";
    request.body = std::string(32 << 20, 'x');
    REQUIRE(client->perform(request).body == "ok");
    REQUIRE(client->perform(requestTo(target.endpoint())).body == "ok");
    serving.join();
}

TEST_CASE("An interim answer is not the answer")
{
    RawServer target;
    std::thread serving([&] {
        auto connection = target.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + std::string(okAnswer));
    });
    const auto response = makeClient()->perform(requestTo(target.endpoint()));
    serving.join();
    REQUIRE(response.result.httpStatus == 200);
    REQUIRE(response.body == "ok");
}

TEST_CASE("An answer without length ends with its connection, unless that is reset")
{
    RawServer target;
    const bool resets = GENERATE(false, true);
    std::thread serving([&] {
        auto connection = target.accept();
        connection.readUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\n\r\nall of it");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (resets)
            connection.resetOnClose();
    });
    const auto response = makeClient()->perform(requestTo(target.endpoint()));
    serving.join();
    REQUIRE(response.body == "all of it");
    REQUIRE(response.result.end == (resets ? TransferEnd::BrokenAfterSend : TransferEnd::Closed));
}

// Symptom: a request that must not run twice is said to have been lost although no byte of it left.
// Sequence: the target closes an idle connection; the next request is to be sent on it.
TEST_CASE("An idle connection that the target has closed is not used, also by a request that is sent once")
{
    RawServer target;
    std::thread serving([&] {
        for (int i = 0; i < 2; ++i) {
            auto connection = target.accept();
            connection.readUntil("\r\n\r\n");
            connection.send(okAnswer);
        }
    });
    auto client = makeClient();
    auto request = requestTo(target.endpoint());
    request.sendOnce = true;
    REQUIRE(client->perform(request).body == "ok");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    REQUIRE(client->perform(request).body == "ok");
    serving.join();
}

TEST_CASE("A target that says how long it keeps an idle connection isn't sent a request at the end of that time")
{
    RawServer target;
    std::thread serving([&] {
        auto connection = target.accept();
        connection.readUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
        auto next = target.accept();
        next.readUntil("\r\n\r\n");
        next.send(okAnswer);
    });
    auto client = makeClient();
    REQUIRE(client->perform(requestTo(target.endpoint())).body == "ok");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    REQUIRE(client->perform(requestTo(target.endpoint())).body == "ok");
    serving.join();
}

TEST_CASE("Servers and clients on one loop pass answers on, and end in any order")
{
    auto loop = EventLoop::make().value();
    auto back = makeServer(echo, [&] {
        auto options = loopback();
        options.loop = loop.get();
        return options;
    }());
    auto relaying = makeClient({ .loop = loop.get() });
    class Relaying final : public TransferSink {
    public:
        explicit Relaying(ExchangePointer exchange)
            : m_exchange(std::move(exchange))
        {
        }

    private:
        void onHeaders(int status, const std::vector<Field>&) override { m_exchange->startStream(status, {}); }
        bool onBody(std::string_view bytes) override
        {
            m_exchange->write(bytes);
            return true;
        }
        void onEnd(const TransferResult&) override { m_exchange->finish(); }

        const ExchangePointer m_exchange;
    };
    auto options = loopback();
    options.loop = loop.get();
    auto front = makeServer(
        [&](const ExchangePointer& exchange) {
            auto request = requestTo(back->endpoint(), exchange->request().rawTarget);
            relaying->start(request, std::make_unique<Relaying>(exchange));
        },
        options);
    auto client = makeClient();
    for (int i = 0; i < 200; ++i) {
        const std::string path = "/" + std::to_string(i);
        REQUIRE(client->perform(requestTo(front->endpoint(), path)).body == path + " ");
    }
    front.reset();
    relaying.reset();
    back.reset();
}
