#pragma once

#include "operators/FleetPicture.h"

#include <sagechute/Operators.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace sagechute::operators {

/// Asks routers for their status on a thread of its own and keeps the picture of the fleet.
class FleetPoller {
public:
    /// @param client outlives the poller. @param onPoll called after each poll, on the poller's thread, without a lock
    /// held.
    FleetPoller(const ApiOptions&, net::HttpClient& client, std::function<void()> onPoll);
    ~FleetPoller();
    FleetPoller(const FleetPoller&) = delete;
    FleetPoller& operator=(const FleetPoller&) = delete;

    /// Starts the thread.
    void start();

    /// Ends the thread and all that it asked.
    void stop();

    /// @return a copy of the picture.
    FleetPicture picture() const;

    /// @return how far the configuration up to @p offset is in force, by the latest poll.
    Progress progress(LogOffset offset) const;

    /// Sets the time between polls; a shorter one takes effect at once.
    void setInterval(std::chrono::milliseconds);

private:
    class StatusSink;

    void run();
    void poll();
    void ask(const std::string& address);
    void arrived(PollResult);
    std::vector<std::string> chooseAddresses();
    std::vector<std::string> listedAddresses();

    const std::vector<std::string> m_seeds; ///< "ADDRESS:PORT".
    const std::string m_platformUrl;
    const std::string m_fleetSecret;
    const std::chrono::milliseconds m_timeout;
    const std::size_t m_fanOut;
    net::HttpClient& m_client;
    const std::function<void()> m_onPoll;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    FleetPicture m_picture;
    std::chrono::milliseconds m_interval;
    TimePoint m_lastPoll {};
    std::condition_variable m_arrival;
    std::set<std::string> m_pending; ///< Addresses whose answers are still to come.
    std::vector<PollResult> m_arrived;
    bool m_stopping = false;
    std::size_t m_turn = 0; ///< Only used by the thread, as is the next.
    std::vector<net::TransferId> m_transfers;
    std::thread m_thread;
};

} // namespace sagechute::operators
