#pragma once

/// @file
/// What is known of one peer: messages waiting for it and the connections to and from it.

#include "peer/StreamConnection.h"

#include <sagechute/Core.h>

#include <deque>
#include <string>
#include <vector>

namespace sagechute::peer {

/// Delay before the next connection attempt; doubles with each failure.
class Backoff {
public:
    void failed(TimePoint now, double fraction);
    void succeeded() { m_delay = {}; }
    bool mayTry(TimePoint now) const { return now >= m_notBefore; }

private:
    Duration m_delay {};
    TimePoint m_notBefore {};
};

/// One peer. At most one of its connections is sent on, so that messages stay in order.
///
/// Both sides may connect at the same moment. Both then keep the connection of the side with the smaller VmId, and the
/// opener of the other one ends it in an orderly way. Until that is done neither sends: a message on the kept
/// connection could overtake an earlier one on the other. The same happens when a peer connects anew because it lost a
/// connection which looks well from here; therefore each one has to answer a ping first.
class PeerRecord {
public:
    explicit PeerRecord(VmId vm)
        : m_vm(std::move(vm))
    {
    }

    const VmId& vm() const { return m_vm; }

    void add(std::string message);
    void clearWaiting();
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::size_t queuedBytes() const;

    /// Takes a connection whose life is proved.
    void attach(StreamConnection&, TimePoint now, Duration holdMost);
    void detach(const StreamConnection&);

    /// @return the connection to send on, or null while there is none or order forbids it.
    StreamConnection* sender(TimePoint now) const;

    /// @return whether a connection attempt makes sense now.
    bool wantsConnection(TimePoint now) const;

    /// Ends the connections that both sides agree to do without.
    void settle(TimePoint now);

    /// Hands what waits to @p connection.
    void drainTo(StreamConnection& connection, TimePoint now);

    bool isCurrent(const StreamConnection& connection) const { return connection.peer() == life; }
    bool hasEstablished() const { return !candidates().empty(); }
    const std::vector<StreamConnection*>& connections() const { return m_connections; }

    std::string address;
    RouterLife life; ///< The newest life seen.
    bool isUp = false; ///< The listener was told so.
    bool isConnecting = false;
    bool flushQueued = false;
    TimePoint flushAt {}; ///< When the queued flush is due.
    Backoff backoff;

private:
    std::vector<StreamConnection*> candidates() const;
    bool isPreferred(const StreamConnection& left, const StreamConnection& right) const;

    VmId m_vm;
    std::deque<std::string> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::vector<StreamConnection*> m_connections;
    TimePoint m_checkedSince {};
    TimePoint m_holdUntil {};
};

} // namespace sagechute::peer
