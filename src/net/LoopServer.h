#pragma once

#include "net/ListenSocket.h"
#include "net/Loop.h"
#include "net/ServerConnection.h"
#include "net/YieldOrder.h"

#include <unordered_map>

namespace sagechute::net {

/// What the parts of one server on several loops share.
struct ServerShare {
    ServerOptions options;
    HttpServer::Handler handler;
    std::size_t parts = 1;
    std::atomic<std::size_t> maxBodyBytes { 0 };
    std::atomic<std::size_t> openConnections { 0 };
    std::atomic<std::size_t> openRequests { 0 };
    std::atomic<std::int64_t> idleSeconds { 0 };

    std::mutex mutex;
    std::unordered_map<std::string, unsigned> byAddress; ///< Only where maxConnectionsPerAddress is set.
};

/// What connections hold of a budget, and yield to each other when it is used up.
enum class Resource { Heads, Bodies, Answers };

/// A server's part on one loop: takes connections and keeps them. Used on the loop's thread only.
class LoopServer final : public Loop::Handler {
public:
    /// @param listener shared by the parts; the kernel gives each connection to one of them.
    LoopServer(Loop&, std::shared_ptr<ServerShare>, int listener);
    ~LoopServer() override;

    Loop& loop() const { return m_loop; }
    const ServerOptions& options() const { return m_share->options; }
    Duration idleLimit() const { return std::chrono::seconds(m_share->idleSeconds); }
    std::size_t maxBodyBytes() const { return m_share->maxBodyBytes; }
    YieldOrder& order() { return m_order; }

    /// Resizes @p reservation. If its budget is used up, other connections yield as their order says.
    /// @param self the connection that asks; it does not yield.
    /// @return false if there is no room.
    bool reserve(Resource, ByteReservation& reservation, std::size_t bytes, const ServerConnection& self);

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

    /// @return whether there are no more connections than allowed. Closes some that serve nobody, if need be.
    bool makePlace();

    /// @return false if no connection can be closed for another one.
    bool yieldPlace();
    void pauseListening();
    void sweep();
    void armSweep();

    Loop& m_loop;
    const std::shared_ptr<ServerShare> m_share;
    int m_listener;
    bool m_isPaused = false;
    YieldOrder m_order;
    std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> m_connections;
    Loop::TimerId m_sweepTimer = 0;
    Loop::TimerId m_pauseTimer = 0;
};

} // namespace sagechute::net
