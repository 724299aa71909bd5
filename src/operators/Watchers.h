#pragma once

#include "operators/SharedReplica.h"

#include <sagechute/Net.h>

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace sagechute::operators {

/// What a watch is about.
struct WatchRequest {
    std::optional<config::Kind> kind; ///< Absent: all kinds.
    LogOffset from = 0; ///< The last offset that the reader has seen.
    bool wantsStatus = false; ///< The state of the fleet too, at each poll of the routers.
};

/// Server-sent events of changes. One thread writes to all watches; a reader that does not take its events costs one
/// bounded queue, and goes on where it stopped.
class Watchers {
public:
    struct Settings {
        std::size_t most = 128;
        std::chrono::milliseconds heartbeat { 5000 };
    };

    /// @param replica outlives the watchers.
    Watchers(const SharedReplica& replica, Settings);
    ~Watchers();
    Watchers(const Watchers&) = delete;
    Watchers& operator=(const Watchers&) = delete;

    /// Starts the thread.
    void start();

    /// Takes over the answer of a request: a stream of events, or an error when there are too many watches or the
    /// offset is past what is held.
    void add(const std::shared_ptr<net::ServerExchange>&, const WatchRequest&);

    /// The configuration has moved on.
    void wake();

    /// Sends the state of the fleet to those who want it. @param data one line of JSON.
    void publishStatus(std::string data);

    /// @return whether somebody wants the state of the fleet.
    bool wantsStatus() const { return m_statusReaders > 0; }

private:
    struct Watch {
        std::shared_ptr<net::ServerExchange> exchange;
        WatchRequest request;
        LogOffset cursor = 0;
        std::uint64_t statusSerial = 0;
        TimePoint lastBookmark {};
        TimePoint lastRoom {};
        std::atomic<bool> isClosed = false;
    };

    void run();
    bool pump(Watch&, TimePoint now);
    bool pumpChanges(Watch&, TimePoint now);
    void pumpStatus(Watch&, TimePoint now);
    bool hasRoom(Watch&, TimePoint now);
    void removeEnded();

    const SharedReplica& m_replica;
    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isDue = false;
    bool m_stopping = false;
    std::list<std::shared_ptr<Watch>> m_watches;
    std::string m_status;
    std::uint64_t m_statusSerial = 0;
    std::atomic<std::size_t> m_statusReaders = 0;
    std::thread m_thread;
};

} // namespace sagechute::operators
