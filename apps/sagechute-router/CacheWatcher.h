#pragma once

/// @file
/// Tracks prefix cache events of the engines whose cells this router owns.

#include "EventQueue.h"

#include <sagechute/Net.h>

#include <map>

namespace sagechute::router {

/// Long-polls each watched engine and forwards its cache events to the core thread. Events may be delayed or lost.
/// After a gap in the sequence numbers an eviction may have been missed, and requests would be routed to an engine that
/// no longer caches their prefix, so all cached prefixes recorded for that engine are invalidated. A failed or
/// malformed poll does the same.
class CacheWatcher {
public:
    /// @p client and @p eventQueue must outlive the watcher.
    CacheWatcher(net::HttpClient& client, EventQueue& eventQueue);

    /// Replaces the set of watched targets. Targets that are not engines are ignored. Call on the core thread.
    void follow(const std::vector<config::Target>&);

    /// Starts a poll of each engine that has none in flight, at the minimum poll interval. Call on the core thread a
    /// few times a second.
    void poll(TimePoint now);

private:
    struct EngineWatch;
    class Sink;

    void sendPoll(TimePoint now, const TargetId&, const std::shared_ptr<EngineWatch>&);

    net::HttpClient& m_client;
    EventQueue& m_eventQueue;
    std::map<TargetId, std::shared_ptr<EngineWatch>> m_watches;
};

} // namespace sagechute::router
