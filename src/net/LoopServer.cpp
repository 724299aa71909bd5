#include "net/LoopServer.h"

#include "core/Concat.h"
#include "net/SocketAddress.h"

#include <algorithm>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace sagechute::net {

namespace {

    /// Connections taken before others' bytes are looked at again.
    constexpr int acceptsAtOnce = 32;

    /// Without a descriptor left a connection can't be taken, and the kernel would tell of it without end.
    constexpr Duration pauseTime = std::chrono::milliseconds(50);

    /// A connection that is to make place may turn out to have a whole request.
    constexpr int mostTriesForPlace = 8;

    /// Whose turn it is to yield, and how it does.
    struct YieldRule {
        ServerConnection* (YieldOrder::*first)(TimePoint) const;
        void (ServerConnection::*yield)();
    };

    constexpr YieldRule yieldRules[] = {
        { &YieldOrder::firstInRequest, &ServerConnection::yieldMemory },
        { &YieldOrder::firstWithSlowBody, &ServerConnection::yieldBody },
        { &YieldOrder::firstStuck, &ServerConnection::yieldMemory },
    };

    constexpr Duration longestSweep = std::chrono::seconds(1);
    constexpr int sweepsPerIdle = 4;

    /// HttpServer over its parts.
    class ServerOverLoops final : public HttpServer {
    public:
        ServerOverLoops(std::vector<std::unique_ptr<Loop>> own, const std::vector<Loop*>& loops,
            std::shared_ptr<ServerShare> share, ListenSocket listener)
            : m_ownLoops(std::move(own))
            , m_share(std::move(share))
            , m_listener(std::move(listener))
        {
            for (Loop* it : loops) {
                it->postAndWait(
                    [&] { m_parts.push_back(std::make_unique<LoopServer>(*it, m_share, m_listener.fd.value())); });
            }
        }

        ~ServerOverLoops() override
        {
            for (auto& part : m_parts)
                part->loop().postAndWait([&] { part.reset(); });
        }

        void stopListening() override
        {
            // The kernel refuses new connections from here on; otherwise it would go on to complete handshakes, and
            // those callers would wait in vain for an answer.
            // It resets those that wait to be taken, so they are taken before.
            m_parts.front()->loop().postAndWait([&] {
                m_parts.front()->acceptWaiting();
                shutdown(m_listener.fd.value(), SHUT_RD);
            });
            for (const auto& part : m_parts)
                part->loop().postAndWait([&] { part->stopListening(); });
            m_listener.fd = FileDescriptor();
        }

        void setIdleTimeout(std::chrono::seconds timeout) override { m_share->idleSeconds = timeout.count(); }
        void setMaxBodyBytes(std::size_t bytes) override { m_share->maxBodyBytes = bytes; }
        Endpoint endpoint() const override { return m_listener.endpoint; }
        std::size_t openConnections() const override { return m_share->openConnections; }
        std::size_t openRequests() const override { return m_share->openRequests; }

    private:
        const std::vector<std::unique_ptr<Loop>> m_ownLoops;
        const std::shared_ptr<ServerShare> m_share;
        ListenSocket m_listener;
        std::vector<std::unique_ptr<LoopServer>> m_parts;
    };

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::make(const ServerOptions& options, Handler handler)
{
    auto listener = ListenSocket::make(options);
    if (!listener.ok())
        return listener.status();
    std::vector<std::unique_ptr<Loop>> own;
    std::vector<Loop*> loops;
    if (options.loop) {
        loops.push_back(static_cast<Loop*>(options.loop));
    } else {
        for (unsigned i = 0; i < std::max(1U, options.threads); ++i) {
            auto loop = Loop::make();
            if (!loop.ok())
                return loop.status();
            loops.push_back(loop->get());
            own.push_back(std::move(*loop));
        }
    }
    auto share = std::make_shared<ServerShare>();
    share->options = options;
    share->handler = std::move(handler);
    share->idleSeconds = options.idleTimeout.count();
    share->maxBodyBytes = options.maxBodyBytes;
    share->parts = loops.size();
    return std::make_unique<ServerOverLoops>(std::move(own), loops, std::move(share), std::move(*listener));
}

LoopServer::LoopServer(Loop& loop, std::shared_ptr<ServerShare> share, int listener)
    : m_loop(loop)
    , m_share(std::move(share))
    , m_listener(listener)
{
    m_loop.watch(m_listener, EPOLLIN, *this);
    armSweep();
}

LoopServer::~LoopServer()
{
    stopListening();
    m_loop.cancel(m_sweepTimer);
    std::vector<ServerConnection*> open;
    for (const auto& [connection, owner] : m_connections)
        open.push_back(connection);
    for (ServerConnection* it : open)
        it->abandon(CloseReason::Stopped);
}

void LoopServer::acceptWaiting()
{
    for (int i = 0; i < ListenSocket::backlog && m_listener >= 0 && !m_isPaused && acceptOne(); ++i) { }
}

void LoopServer::stopListening()
{
    m_loop.cancel(m_pauseTimer);
    if (m_listener >= 0 && !m_isPaused)
        m_loop.unwatch(m_listener);
    m_listener = -1;
}

void LoopServer::handle(const std::shared_ptr<Exchange>& exchange)
{
    ++m_share->openRequests;
    // An exception that ended the loop would end every other request with this one.
    try {
        m_share->handler(exchange);
    } catch (const std::exception& problem) {
        exchange->respond(errorResponse(makeError(ErrorKind::Internal, concat("The request failed: ", problem.what()),
            "Report this message to the operators; the server's log has the same one")));
    }
}

void LoopServer::onReady(std::uint32_t)
{
    for (int i = 0; i < acceptsAtOnce && m_listener >= 0; ++i) {
        if (!acceptOne())
            return;
    }
}

bool LoopServer::acceptOne()
{
    sockaddr_storage peer {};
    socklen_t size = sizeof(peer);
    FileDescriptor fd(accept4(m_listener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.isOpen()) {
        const int error = errno;
        if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) {
            if (yieldPlace())
                return true;
            pauseListening();
        }
        return error == ECONNABORTED || error == EINTR;
    }
    std::string address = SocketAddress::toEndpoint(reinterpret_cast<sockaddr*>(&peer)).address;
    // Shed at once: a connection that is left in the kernel's queue holds up those behind it, for seconds.
    if (!admits(address))
        return true;
    auto connection = std::make_unique<ServerConnection>(*this, std::move(fd), std::move(address));
    ServerConnection* raw = connection.get();
    m_connections.emplace(raw, std::move(connection));
    return true;
}

bool LoopServer::admits(const std::string& address)
{
    ++m_share->openConnections;
    if (!makePlace()) {
        --m_share->openConnections;
        return false;
    }
    if (!options().maxConnectionsPerAddress)
        return true;
    std::lock_guard lock(m_share->mutex);
    unsigned& n = m_share->byAddress[address];
    if (n >= options().maxConnectionsPerAddress) {
        --m_share->openConnections;
        return false;
    }
    ++n;
    return true;
}

bool LoopServer::makePlace()
{
    // Each part closes only connections of its own, so none may have all.
    const std::size_t ownLimit = (options().maxConnections + m_share->parts - 1) / m_share->parts;
    const auto isFull
        = [&] { return m_share->openConnections > options().maxConnections || m_connections.size() >= ownLimit; };
    for (int i = 0; i < mostTriesForPlace && isFull(); ++i) {
        if (!yieldPlace())
            return false;
    }
    return !isFull();
}

bool LoopServer::yieldPlace()
{
    ServerConnection* const connection = m_order.firstToLeave(steadyNow());
    if (connection)
        connection->yieldPlace();
    return connection;
}

bool LoopServer::reserve(
    Resource resource, ByteReservation& reservation, std::size_t bytes, const ServerConnection& self)
{
    const YieldRule& rule = yieldRules[static_cast<std::size_t>(resource)];
    while (!reservation.resize(bytes)) {
        ServerConnection* const other = (m_order.*rule.first)(steadyNow());
        if (!other || other == &self)
            return false;
        (other->*rule.yield)();
    }
    return true;
}

void LoopServer::pauseListening()
{
    m_loop.unwatch(m_listener);
    m_isPaused = true;
    m_pauseTimer = m_loop.callAt(steadyNow() + pauseTime, [this] {
        m_isPaused = false;
        m_loop.watch(m_listener, EPOLLIN, *this);
    });
}

void LoopServer::closed(ServerConnection& connection)
{
    const auto it = m_connections.find(&connection);
    if (it == m_connections.end())
        return;
    if (options().maxConnectionsPerAddress) {
        std::lock_guard lock(m_share->mutex);
        if (--m_share->byAddress[connection.peerAddress()] == 0)
            m_share->byAddress.erase(connection.peerAddress());
    }
    m_loop.dispose(std::move(it->second));
    m_connections.erase(it);
    --m_share->openConnections;
}

void LoopServer::armSweep()
{
    m_sweepTimer
        = m_loop.callAt(steadyNow() + std::min(longestSweep, idleLimit() / sweepsPerIdle), [this] { sweep(); });
}

void LoopServer::sweep()
{
    const TimePoint now = steadyNow();
    const Duration idle = idleLimit();
    std::vector<ServerConnection*> overdue;
    for (const auto& [connection, owner] : m_connections) {
        connection->raiseIdleLimit(idle);
        if (connection->isOverdue(now))
            overdue.push_back(connection);
    }
    for (ServerConnection* it : overdue)
        it->closeOverdue();
    armSweep();
}

} // namespace sagechute::net
