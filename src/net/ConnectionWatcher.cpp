#include "net/ConnectionWatcher.h"

#include "net/ConnectionEnd.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace sagechute::net {

namespace {

    constexpr std::uint64_t wakeupSerial = 0;
    constexpr int sweepsPerReadLimit = 4;

} // namespace

struct ConnectionWatcher::Connection {
    Serial serial = 0;
    int fd = -1;
    bool gone = false;
    Clock::time_point readingSince;
    std::shared_ptr<Exchange> exchange;
};

absl::StatusOr<std::unique_ptr<ConnectionWatcher>> ConnectionWatcher::make(std::chrono::milliseconds readLimit)
{
    FileDescriptor epoll(epoll_create1(EPOLL_CLOEXEC));
    FileDescriptor wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    epoll_event event = { .events = EPOLLIN, .data = { .u64 = wakeupSerial } };
    if (!epoll.isOpen() || !wakeup.isOpen() || epoll_ctl(epoll.value(), EPOLL_CTL_ADD, wakeup.value(), &event)) {
        return makeError(ErrorKind::Internal, "Cannot watch connections: no file descriptor is left",
            "Raise the limit of open files of this process (ulimit -n)");
    }
    return std::unique_ptr<ConnectionWatcher>(new ConnectionWatcher(std::move(epoll), std::move(wakeup), readLimit));
}

ConnectionWatcher::ConnectionWatcher(FileDescriptor epoll, FileDescriptor wakeup, std::chrono::milliseconds readLimit)
    : m_epoll(std::move(epoll))
    , m_wakeup(std::move(wakeup))
    , m_readLimit(readLimit)
    , m_thread([this] { run(); })
{
}

ConnectionWatcher::~ConnectionWatcher()
{
    eventfd_write(m_wakeup.value(), 1);
    m_thread.join();
}

ConnectionWatcher::Connection* ConnectionWatcher::open(int fd)
{
    auto connection = std::make_unique<Connection>();
    auto* opened = connection.get();
    opened->fd = fd;
    opened->readingSince = Clock::now();
    std::lock_guard lock(m_mutex);
    opened->serial = ++m_lastSerial;
    m_connections.emplace(opened->serial, std::move(connection));
    // Edge-triggered, and not for readable bytes: a request's bytes don't wake the watcher.
    epoll_event event = { .events = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLET, .data = { .u64 = opened->serial } };
    epoll_ctl(m_epoll.value(), EPOLL_CTL_ADD, fd, &event);
    return opened;
}

void ConnectionWatcher::close(Connection* connection)
{
    std::lock_guard lock(m_mutex);
    epoll_ctl(m_epoll.value(), EPOLL_CTL_DEL, connection->fd, nullptr);
    m_connections.erase(connection->serial);
}

bool ConnectionWatcher::beginExchange(Connection* connection, std::shared_ptr<Exchange> exchange)
{
    // The caller may have left long before its request could be read: when the queue of new connections overflows, the
    // kernel lets it in seconds later. Its end is waiting behind the request, and the watcher may not have come to it.
    const bool isOver = hasEnded(connection->fd);
    std::lock_guard lock(m_mutex);
    if (isOver || connection->gone || m_closing)
        return false;
    connection->exchange = std::move(exchange);
    return true;
}

void ConnectionWatcher::endExchange(Connection* connection)
{
    std::lock_guard lock(m_mutex);
    connection->exchange.reset();
    connection->readingSince = Clock::now();
}

void ConnectionWatcher::closeExchanges()
{
    std::vector<std::shared_ptr<Exchange>> exchanges;
    {
        std::lock_guard lock(m_mutex);
        m_closing = true;
        for (const auto& [serial, connection] : m_connections) {
            if (connection->exchange)
                exchanges.push_back(connection->exchange);
        }
    }
    for (const auto& exchange : exchanges)
        exchange->callerGone();
}

std::size_t ConnectionWatcher::openConnections() const
{
    std::lock_guard lock(m_mutex);
    return m_connections.size();
}

void ConnectionWatcher::run()
{
    auto sweepInterval = std::max(m_readLimit / sweepsPerReadLimit, std::chrono::milliseconds(1));
    auto nextSweep = Clock::now() + sweepInterval;
    std::array<epoll_event, 64> events = {};
    while (true) {
        auto untilSweep = std::chrono::ceil<std::chrono::milliseconds>(nextSweep - Clock::now());
        int timeout = static_cast<int>(std::max(untilSweep, std::chrono::milliseconds(0)).count());
        int n = epoll_wait(m_epoll.value(), events.data(), events.size(), timeout);
        for (int i = 0; i < n; ++i) {
            if (events[i].data.u64 == wakeupSerial)
                return;
            connectionGone(events[i].data.u64);
        }
        if (Clock::now() >= nextSweep) {
            closeSlowReaders();
            nextSweep = Clock::now() + sweepInterval;
        }
    }
}

void ConnectionWatcher::connectionGone(Serial serial)
{
    std::shared_ptr<Exchange> exchange;
    {
        std::lock_guard lock(m_mutex);
        auto it = m_connections.find(serial);
        if (it == m_connections.end())
            return;
        it->second->gone = true;
        exchange = it->second->exchange;
    }
    if (exchange)
        exchange->callerGone();
}

void ConnectionWatcher::closeSlowReaders()
{
    auto now = Clock::now();
    // Under the mutex: close() comes before the descriptor is closed, so that no other file can have taken its number.
    std::lock_guard lock(m_mutex);
    for (const auto& [serial, connection] : m_connections) {
        if (!connection->exchange && now - connection->readingSince > m_readLimit)
            shutdown(connection->fd, SHUT_RDWR);
    }
}

} // namespace sagechute::net
