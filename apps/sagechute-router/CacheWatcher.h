#pragma once

/// @file
/// Follows the cache events of the engines whose cells this router owns.

#include "Inbox.h"

#include <sagechute/Net.h>

#include <map>

namespace sagechute::router {

/// Long-polls each followed engine and hands what it hears to the deciding thread. Events come late and with gaps: a
/// gap means that evictions may have been missed, and work would be sent where its prefix no longer is; so a gap makes
/// all knowledge of that engine void.
class CacheWatcher {
public:
    /// @param client outlives the watcher, as does @p inbox.
    CacheWatcher(net::HttpClient& client, Inbox& inbox);

    /// Follows exactly these targets from now on; those that are no engines are left out. Call it on the deciding
    /// thread.
    void follow(const std::vector<config::Target>&);

    /// Asks the engines whose last answer has come or is overdue. Call it on the deciding thread, a few times a second.
    void poll(TimePoint now);

private:
    struct Watch;
    class Sink;

    void ask(TimePoint now, const TargetId&, const std::shared_ptr<Watch>&);

    net::HttpClient& m_client;
    Inbox& m_inbox;
    std::map<TargetId, std::shared_ptr<Watch>> m_watches;
};

} // namespace sagechute::router
