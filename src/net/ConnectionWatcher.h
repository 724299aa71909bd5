#pragma once

#include "net/Exchange.h"
#include "net/FileDescriptor.h"

#include <thread>
#include <unordered_map>

namespace sagechute::net {

/// Notices callers that leave while their request waits, and callers that send their request too slowly.
///
/// What goes wrong without it: libmicrohttpd doesn't poll a suspended connection, so a caller that leaves would be
/// noticed only when its answer is written, after a target has worked for nobody; and its timeout starts anew with
/// each byte, so one byte now and then would hold a connection for good.
///
/// Every connection is in an epoll set of its own for its whole life, which costs nothing per request. A half-closed
/// connection (the caller ended its sending side) counts as gone: no HTTP client in use does that and still reads, and
/// nothing else tells a caller that has gone from one that waits.
class ConnectionWatcher {
public:
    /// One open connection. Owned by the watcher; valid from open() to close().
    struct Connection;

    /// @param readLimit longest time from the end of one answer (or the connection's start) to the end of the next
    /// request.
    static absl::StatusOr<std::unique_ptr<ConnectionWatcher>> make(std::chrono::milliseconds readLimit);
    ~ConnectionWatcher();

    Connection* open(int fd);
    void close(Connection*);

    /// @return false when the caller has gone or the server stops: the exchange must not be started.
    bool beginExchange(Connection*, std::shared_ptr<Exchange>);
    void endExchange(Connection*);

    /// Lets no new exchange begin and tells those that run that their caller has gone.
    void closeExchanges();

    std::size_t openConnections() const;

private:
    using Serial = std::uint64_t;
    using Clock = std::chrono::steady_clock;

    ConnectionWatcher(FileDescriptor epoll, FileDescriptor wakeup, std::chrono::milliseconds readLimit);

    void run();
    void connectionGone(Serial);
    void closeSlowReaders();

    const FileDescriptor m_epoll;
    const FileDescriptor m_wakeup;
    const std::chrono::milliseconds m_readLimit;

    mutable std::mutex m_mutex;
    std::unordered_map<Serial, std::unique_ptr<Connection>> m_connections;
    Serial m_lastSerial = 0;
    bool m_closing = false;

    std::thread m_thread;
};

} // namespace sagechute::net
