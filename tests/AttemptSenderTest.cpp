// Tests which connections the attempts of a request use at the router with its own API, and which answers are its own:
// apps/sagechute-router/AttemptSender.h.

#include "../apps/sagechute-router/AttemptSender.h"
#include "NetFixtures.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::router;
using namespace std::chrono_literals;
using routing::AttemptEnd;

namespace {

constexpr const char* idField = "Sagechute-Request-Id";

/// A caller's request that may be repeated, and a target of it.
class RepeatableRequest {
public:
    explicit RepeatableRequest(net::HttpServer::Handler target)
        : RepeatableRequest(net::makeServer(std::move(target)), {}, 0)
    {
    }

    /// @param target endpoint that a test serves by hand.
    RepeatableRequest(const net::Endpoint& target, std::size_t bodyBytes)
        : RepeatableRequest(nullptr, target, bodyBytes)
    {
    }

    /// @return how another attempt ended.
    AttemptEnd attempt()
    {
        routing::StartAttempt action;
        action.id = m_request->id();
        action.attempt = ++m_attempts;
        action.address = toString(m_target ? m_target->endpoint() : m_endpoint);
        action.mode = config::TargetMode::Application;
        action.answerLimit = 5s;
        m_sender.start(m_request, action);
        std::vector<QueuedEvent> events;
        while (events.empty())
            m_events.waitAndDrain(events, 1s);
        return std::get<routing::AttemptEnded>(events.front().event).end;
    }

    /// @return the connections to the target, once they are as many as wanted or some time has passed.
    std::size_t openConnections(std::size_t wanted) const
    {
        const TimePoint end = steadyNow() + 3s;
        while (m_target->openConnections() != wanted && steadyNow() < end)
            std::this_thread::sleep_for(1ms);
        return m_target->openConnections();
    }

private:
    RepeatableRequest(std::unique_ptr<net::HttpServer> target, net::Endpoint endpoint, std::size_t bodyBytes)
        : m_target(std::move(target))
        , m_endpoint(std::move(endpoint))
        , m_router(net::makeServer([this](const net::ExchangePointer& exchange) { m_arrived.set(exchange); }))
        , m_caller(net::RawConnection::connectTo(m_router->endpoint()))
        , m_client(net::makeClient())
        , m_sender(*m_client, m_events, {})
    {
        m_caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'x'));
        auto counters = std::make_shared<delivery::AdmissionCounters>();
        static_cast<void>(counters->enter({}, 0));
        m_request = std::make_shared<CallerRequest>(
            RequestId { { { "vm" }, 1 }, 1 }, CustomerId { "c" }, m_arrived.wait(), std::move(counters), false);
    }

    std::unique_ptr<net::HttpServer> m_target; ///< Null if a test serves the endpoint.
    net::Endpoint m_endpoint;
    net::Promised<net::ExchangePointer> m_arrived;
    std::unique_ptr<net::HttpServer> m_router;
    net::RawConnection m_caller;
    EventQueue m_events;
    std::unique_ptr<net::HttpClient> m_client;
    AttemptSender m_sender;
    std::shared_ptr<CallerRequest> m_request;
    std::uint32_t m_attempts = 0;
};

net::ServerResponse response(int status, const std::string& id) { return { status, { { idField, id } }, "{}" }; }

} // namespace

// Guards against a late copy of a rejection that is taken for the answer to the next attempt, which has the same ID.
TEST_CASE("an attempt is not sent on a connection that an earlier one of the same request was sent on")
{
    std::atomic<unsigned> arrived = 0;
    RepeatableRequest request([&](const net::ExchangePointer& exchange) {
        const std::string id(net::findField(exchange->request().headers, idField).value_or(""));
        exchange->respond(response(++arrived < 3 ? 503 : 200, id));
    });
    CHECK(request.attempt() == AttemptEnd::Rejected);
    CHECK(request.attempt() == AttemptEnd::Rejected);
    CHECK(request.attempt() == AttemptEnd::Completed);
    CHECK(request.openConnections(3) == 3);
}

// Guards against a request that gets the answer to the one before it, and against one that is repeated while it runs.
TEST_CASE("an answer to another request is no rejection, and its connection is closed")
{
    const int status = GENERATE(200, 404, 503);
    CAPTURE(status);
    RepeatableRequest request(
        [status](const net::ExchangePointer& exchange) { exchange->respond(response(status, "another")); });
    CHECK(request.attempt() == AttemptEnd::Crossed);
    CHECK(request.openConnections(0) == 0);
}

// Guards against an answer with a status that is no HTTP status, and against the beginning of an answer whose target
// resets the connection while the request is sent, being taken for complete answers.
TEST_CASE("an answer with an unknown status, and one that is reset during the request, are broken")
{
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
        "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n");
    CAPTURE(head);
    net::RawServer target;
    RepeatableRequest request(target.endpoint(), 1 << 20);
    std::thread serving([&] {
        auto connection = target.accept();
        const std::string received = connection.readUntil("\r\n\r\n");
        const std::size_t id = received.find(idField);
        connection.resetOnClose();
        connection.send(head + received.substr(id, received.find("\r\n", id) - id) + "\r\n\r\n{}");
        std::this_thread::sleep_for(50ms);
    });
    CHECK(request.attempt() == AttemptEnd::Broken);
    serving.join();
}
