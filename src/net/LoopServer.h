#pragma once

#include "net/ListenSocket.h"
#include "net/Loop.h"
#include "net/ServerConnection.h"

#include <unordered_map>

namespace sagechute::net {

/// What the parts of one server on several loops share.
struct ServerShare {
    ServerOptions options;
    HttpServer::Handler handler;
    std::atomic<std::size_t> openConnections { 0 };
    std::atomic<std::size_t> openRequests { 0 };
    std::atomic<std::int64_t> idleSeconds { 0 };

    std::mutex mutex;
    std::unordered_map<std::string, unsigned> byAddress; ///< Only where maxConnectionsPerAddress is set.
};

/// A server's part on one loop: takes connections and keeps them. Used on the loop's thread only.
class LoopServer final : public Loop::Handler {
public:
    /// @param listener shared by the parts; the kernel gives each connection to one of them.
    LoopServer(Loop&, std::shared_ptr<ServerShare>, int listener);
    ~LoopServer() override;

    Loop& loop() const { return m_loop; }
    const ServerOptions& options() const { return m_share->options; }
    Duration idleLimit() const { return std::chrono::seconds(m_share->idleSeconds); }

    void handle(const std::shared_ptr<Exchange>&);

    /// Takes the connections that wait in the kernel.
    void acceptWaiting();
    void stopListening();

    /// The connection is done with a request that it gave to handle().
    void finished() { --m_share->openRequests; }

    /// The connection has closed itself.
    void closed(ServerConnection&);

private:
    void onReady(std::uint32_t events) override;
    void onDeferred() override { }

    bool acceptOne();
    bool admits(const std::string& address);
    void pauseListening();
    void sweep();
    void armSweep();

    Loop& m_loop;
    const std::shared_ptr<ServerShare> m_share;
    int m_listener;
    bool m_isPaused = false;
    std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> m_connections;
    Loop::TimerId m_sweepTimer = 0;
    Loop::TimerId m_pauseTimer = 0;
};

} // namespace sagechute::net
