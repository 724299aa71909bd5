#include "net/ClientConnection.h"

#include "core/Concat.h"
#include "net/ClientPool.h"
#include "net/SocketAddress.h"

#include <atomic>
#include <charconv>
#include <system_error>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace sagechute::net {

namespace {

    /// A connection may fall silent for good without a reset: something between the two ends has lost track of it. Only
    /// probes show that on an idle one; after this long without an answer to any it counts as broken.
    constexpr int probeAfterSeconds = 2;
    constexpr int probeEverySeconds = 1;
    constexpr int mostLostProbes = 2;

    // What belongs to no body is kept until it is complete, so a server that never ends it must be cut off.
    constexpr std::size_t mostFramingBytes = 16 << 10; ///< Of a chunk's head with its extensions, or of all trailers.
    constexpr std::size_t mostInterimBytes = 64 << 10; ///< Of all interim answers to one request.

    /// A server closes an idle connection when its time is over; a request must not cross that.
    constexpr Duration keepAliveMargin = std::chrono::seconds(1);

    void setOption(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof(value)); }

    void setOptions(int fd)
    {
        setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
        setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, probeEverySeconds);
        setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, mostLostProbes);
    }

    /// Unique among all clients of the process, as the tries of one request may be made by different ones.
    ConnectionId nextConnectionId()
    {
        static std::atomic<ConnectionId> last { 0 };
        return ++last;
    }

    std::string describe(int error) { return std::generic_category().message(error); }

    /// @return how long the server keeps the connection while it is idle, as its Keep-Alive field says.
    Duration keepAliveOf(const std::vector<Field>& fields)
    {
        constexpr std::string_view name = "timeout=";
        const auto value = findField(fields, "Keep-Alive");
        const std::size_t at = value ? value->find(name) : std::string_view::npos;
        if (at == std::string_view::npos)
            return Duration::max();
        unsigned seconds = 0;
        std::from_chars(value->data() + at + name.size(), value->data() + value->size(), seconds);
        return std::max(Duration::zero(), Duration(std::chrono::seconds(seconds)) - keepAliveMargin);
    }

} // namespace

std::unique_ptr<ClientConnection> ClientConnection::connect(ClientPool& pool, const Endpoint& endpoint, int& error)
{
    const auto address = SocketAddress::make(endpoint);
    FileDescriptor fd(address ? socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1);
    if (!fd.isOpen()) {
        error = errno;
        return nullptr;
    }
    setOptions(fd.value());
    if (::connect(fd.value(), address->data(), address->size()) && errno != EINPROGRESS) {
        error = errno;
        return nullptr;
    }
    auto connection = std::unique_ptr<ClientConnection>(new ClientConnection(pool, endpoint, std::move(fd)));
    connection->m_events = EPOLLOUT;
    pool.loop().watch(connection->m_fd.value(), EPOLLOUT, *connection);
    return connection;
}

ClientConnection::ClientConnection(ClientPool& pool, Endpoint endpoint, FileDescriptor fd)
    : m_pool(pool)
    , m_id(nextConnectionId())
    , m_endpoint(std::move(endpoint))
    , m_fd(std::move(fd))
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::carry(ClientTransfer& transfer)
{
    m_transfer = &transfer;
    m_sent = 0;
    m_isPaused = false;
    m_pending.clear();
    m_interimBytes = 0;
    m_reader.emplace(static_cast<AnswerSink&>(*this), transfer.request().method != "HEAD");
    if (m_isConnected) {
        send();
        return;
    }
    const auto timeout = transfer.request().connectTimeout;
    m_connectTimer = m_pool.loop().callAt(steadyNow() + timeout, [this] {
        m_connectTimer = 0;
        fail(true, "no connection was made in time");
    });
}

bool ClientConnection::hasSpoken() const
{
    char c = 0;
    const ssize_t n = recv(m_fd.value(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EINTR);
}

void ClientConnection::setEvents(std::uint32_t events)
{
    if (events == m_events || m_isClosed)
        return;
    m_events = events;
    m_pool.loop().rewatch(m_fd.value(), events, *this);
}

void ClientConnection::onReady(std::uint32_t events)
{
    if (m_isClosed)
        return;
    if (!m_transfer) {
        // The server has closed it, or says something that nobody asked for.
        m_pool.drop(*this);
        return;
    }
    if (!m_isConnected) {
        connected();
        return;
    }
    // Read first: an answer may be there before an error.
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        receive();
    if (!m_isClosed && m_transfer && (events & EPOLLOUT))
        send();
}

void ClientConnection::connected()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_fd.value(), SOL_SOCKET, SO_ERROR, &error, &size);
    m_pool.loop().cancel(m_connectTimer);
    m_connectTimer = 0;
    if (error) {
        m_isRefused = error == ECONNREFUSED;
        fail(false, concat("no connection to ", toString(m_endpoint), ": ", describe(error)));
        return;
    }
    m_isConnected = true;
    send();
}

void ClientConnection::send()
{
    if (!m_transfer->isWanted(m_isUsed ? ConnectionUse::Later : ConnectionUse::First)) {
        m_pool.ended(*this, *m_transfer, { TransferEnd::NothingSent, 0, "the request is not wanted any more" }, true);
        return;
    }
    if (!m_sent)
        watchAcknowledgements();
    while (m_sent < m_transfer->size()) {
        const std::string_view bytes = m_transfer->unsent(m_sent);
        const ssize_t n = ::send(m_fd.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN) {
            setEvents(EPOLLIN | EPOLLOUT);
            return;
        }
        if (n < 0) {
            // The answer may have come before the server closed.
            m_hasSendFailed = true;
            if (m_sent)
                receive();
            else
                fail(false, concat("the connection is broken: ", describe(errno)));
            return;
        }
        m_transfer->mayHaveLeft = true;
        m_sent += static_cast<std::size_t>(n);
    }
    setEvents(EPOLLIN);
}

void ClientConnection::watchAcknowledgements()
{
    const std::chrono::milliseconds limit = m_transfer->request().unackedTimeout;
    if (!limit.count())
        return;
    if (!AckWatch::canWatch(m_fd.value())) {
        // Also ends a connection whose target's process reads nothing, but a VM that has vanished has to be found.
        setOption(m_fd.value(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
        return;
    }
    const TimePoint now = steadyNow();
    m_ackWatch.emplace(m_fd.value(), now, limit);
    armAckTimer(now);
}

void ClientConnection::armAckTimer(TimePoint now)
{
    m_pool.loop().cancel(m_ackTimer);
    m_ackTimer = m_pool.loop().callAt(m_ackWatch->nextCheck(now), [this] {
        m_ackTimer = 0;
        checkAcknowledgements();
    });
}

void ClientConnection::checkAcknowledgements()
{
    const TimePoint now = steadyNow();
    switch (m_ackWatch->check(now)) {
    case AckWatch::State::Settled:
        if (m_sent < m_transfer->size())
            armAckTimer(now);
        return;
    case AckWatch::State::Waiting:
        armAckTimer(now);
        return;
    case AckWatch::State::Lost:
        fail(false, "the other VM acknowledges nothing");
        return;
    }
}

void ClientConnection::release()
{
    m_transfer = nullptr;
    m_pool.loop().cancel(m_ackTimer);
    m_ackTimer = 0;
}

void ClientConnection::receive()
{
    if (m_isPaused)
        return;
    auto& buf = m_pool.loop().buffer();
    const ssize_t n = recv(m_fd.value(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n < 0) {
        fail(false, concat("the connection is broken: ", describe(errno)));
        return;
    }
    if (n == 0) {
        takeEnd();
        return;
    }
    m_transfer->lastByteAt = m_pool.loop().polledAt();
    const std::string_view bytes(buf.data(), static_cast<std::size_t>(n));
    if (m_pending.empty()) {
        takeBytes(bytes);
        return;
    }
    m_pending += bytes;
    const std::string all = std::move(m_pending);
    m_pending.clear();
    takeBytes(all);
}

void ClientConnection::takeBytes(std::string_view bytes)
{
    while (m_transfer && !bytes.empty()) {
        const std::size_t n = m_reader->take(bytes);
        bytes.remove_prefix(n);
        if (!m_reader->isDone())
            break;
        if (!m_reader->isInterim()) {
            complete(!bytes.empty());
            return;
        }
        m_interimBytes += n;
        if (m_interimBytes > mostInterimBytes) {
            fail(false, "the interim answers have no end", "too-large");
            return;
        }
        m_reader.emplace(static_cast<AnswerSink&>(*this), m_transfer->request().method != "HEAD");
    }
    if (!m_transfer)
        return;
    const ReadProblem problem = m_reader->problem();
    m_pending.assign(bytes);
    if (problem == ReadProblem::SinkIsFull) {
        m_isPaused = true;
        setEvents(m_sent < m_transfer->size() ? EPOLLOUT : 0U);
        m_transfer->isPaused = true;
    } else if (problem == ReadProblem::HeadersTooLarge) {
        fail(false, "the answer's head is too large", "too-large");
    } else if (problem != ReadProblem::None) {
        fail(false, "the answer is no HTTP/1.1", "malformed");
    } else if (m_reader->hasHead() && m_pending.size() > mostFramingBytes) {
        fail(false, "a chunk's head or the trailers are too large", "too-large");
    }
}

void ClientConnection::resume()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    m_transfer->isPaused = false;
    m_transfer->lastByteAt = steadyNow();
    setEvents(m_sent < m_transfer->size() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    const std::string all = std::move(m_pending);
    m_pending.clear();
    takeBytes(all);
}

void ClientConnection::takeEnd()
{
    // The kernel reports a reset only once: after send() has failed by it, the connection seems to end properly.
    if (m_hasSendFailed && m_reader->hasHead() && m_reader->endsWithConnection()) {
        fail(false, "the connection was reset before the request had left");
        return;
    }
    m_reader->takeEnd();
    if (m_reader->isDone())
        complete(true);
    else
        fail(false, m_reader->hasHead() ? "the answer was cut" : "the connection was closed without an answer");
}

void ClientConnection::onAnswerHead(int status, const std::vector<Field>& fields)
{
    m_transfer->status = status;
    m_transfer->hasHead = true;
    idleLimit = keepAliveOf(fields);
    m_transfer->sink().headers(status, fields);
}

bool ClientConnection::onAnswerBody(std::string_view bytes) { return m_transfer->sink().body(bytes); }

void ClientConnection::complete(bool hasMore)
{
    // What came behind the answer belongs to no request, and a body that is still being sent would be taken for the
    // next one: such a connection isn't used again.
    const bool isWhole = m_sent == m_transfer->size();
    const bool isReusable = isWhole && !hasMore && m_reader->keepsConnection() && !m_transfer->request().freshConnection
        && m_transfer->sink().isAnswerToRequest();
    m_isUsed = true;
    const TransferEnd end = m_reader->endsWithConnection() ? TransferEnd::Closed : TransferEnd::Completed;
    m_pool.ended(*this, *m_transfer, { end, m_transfer->status, {} }, isReusable);
}

void ClientConnection::fail(bool isTimeout, const std::string& detail, std::string_view rejectReason)
{
    ClientTransfer& transfer = *m_transfer;
    if (!isTimeout && m_pool.repeats(*this, transfer))
        return;
    TransferEnd end = TransferEnd::NothingSent;
    if (transfer.mayHaveLeft)
        end = isTimeout ? TransferEnd::TimedOut : TransferEnd::BrokenAfterSend;
    m_pool.ended(*this, transfer, { end, transfer.status, detail, m_isRefused, rejectReason }, false);
}

void ClientConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_transfer = nullptr;
    m_pool.loop().cancel(m_connectTimer);
    m_pool.loop().cancel(m_ackTimer);
    m_pool.loop().unwatch(m_fd.value());
    m_fd = FileDescriptor();
}

} // namespace sagechute::net
