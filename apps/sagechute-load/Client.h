#pragma once

/// @file
/// A client program of a customer: it asks which addresses to use and keeps the answer for as long as it is told.

#include "EventLoop.h"
#include "Plan.h"

#include <sagechute/Net.h>

#include <deque>

namespace sagechute::load {

/// The answer to /v1/locate.
struct Location {
    std::vector<std::string> addresses; ///< In order of preference.
    std::string session;
    std::chrono::seconds keep { 5 };
};

/// @return the location, or BadRequest when the answer has another form.
absl::StatusOr<Location> parseLocation(std::string_view body);

/// Collects a whole answer and hands it to the loop.
class CollectingSink final : public net::TransferSink {
public:
    using Done = std::function<void(net::ClientResponse)>;

    /// @param done run on the loop.
    CollectingSink(EventLoop& loop, Done done)
        : m_loop(loop)
        , m_done(std::move(done))
    {
    }

private:
    void onHeaders(int status, const std::vector<net::Field>&) override;
    bool onBody(std::string_view) override;
    void onEnd(const net::TransferResult&) override;

    EventLoop& m_loop;
    Done m_done;
    net::ClientResponse m_response;
};

/// One client program. All members run on the loop.
class Client {
public:
    /// @param entries addresses that may be asked; @param pinnedTo when not empty, the addresses used whatever the
    /// answer says.
    Client(EventLoop&, net::HttpClient&, std::string key, std::string zone, std::string service,
        std::vector<std::string> entries, std::vector<std::string> pinnedTo, std::uint64_t seed);

    /// Runs @p use with a location that is still to be kept; asks for one first if need be. Waits while no entry
    /// answers.
    void locate(std::function<void(const Location&)> use);

    /// Forgets the location: its addresses did not answer.
    void forget() { m_located = false; }

    std::uint64_t nextSequence() { return m_nextSequence++; }

private:
    void ask();
    void onAnswer(const net::ClientResponse&);
    void askAgainLater();

    EventLoop& m_loop;
    net::HttpClient& m_http;
    std::string m_key;
    std::string m_zone;
    std::string m_service; ///< What it calls most; the answer then prefers routers that schedule it.
    std::vector<std::string> m_entries;
    std::vector<std::string> m_pinnedTo;
    std::deque<std::function<void(const Location&)>> m_waiting;
    Location m_location;
    TimePoint m_keptUntil;
    std::size_t m_nextEntry = 0;
    std::uint64_t m_nextSequence = 1;
    bool m_located = false;
    bool m_asking = false;
};

} // namespace sagechute::load
