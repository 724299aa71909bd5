#pragma once

#include "net/FileDescriptor.h"
#include "net/ListenSocket.h"
#include "net/SocketAddress.h"

#include <sagechute/Net.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

namespace sagechute::net {

using ExchangePointer = std::shared_ptr<ServerExchange>;

inline void ignoreExchange(const ExchangePointer&) { }

inline void waitUntil(const std::function<bool()>& condition)
{
    while (!condition())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

/// A value that one thread sets and another waits for.
template <typename Value> class Promised {
public:
    void set(Value value)
    {
        std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_changed.notify_all();
    }

    Value wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_value.has_value(); });
        return *m_value;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<Value> m_value;
};

using Latch = Promised<bool>;

inline ServerOptions loopback()
{
    ServerOptions options;
    options.listen.address = "127.0.0.1";
    return options;
}

inline std::unique_ptr<HttpServer> makeServer(HttpServer::Handler handler, const ServerOptions& options = loopback())
{
    return HttpServer::make(options, std::move(handler)).value();
}

inline std::unique_ptr<HttpClient> makeClient(const ClientOptions& options = {})
{
    return HttpClient::make(options).value();
}

inline ClientRequest requestTo(const Endpoint& endpoint, std::string_view path = "/")
{
    ClientRequest request;
    request.url = "http://" + toString(endpoint) + std::string(path);
    return request;
}

/// Gathers an answer, and may refuse bytes.
class GatheringSink final : public TransferSink {
public:
    struct Record {
        std::function<bool(std::string_view)> accept = [](std::string_view) { return true; };
        bool isWanted = true; ///< False: the request is not to leave.
        bool isAnswerToRequest = true;
        ConnectionUse use = ConnectionUse::First; ///< To be read after the end.
        Latch headersArrived;
        Latch bodyArrived;
        Promised<TransferResult> ended;
        std::string body; ///< To be read after the end.
    };

    explicit GatheringSink(Record& record)
        : m_record(record)
    {
    }

private:
    bool onBeforeRequest(ConnectionUse use) override
    {
        m_record.use = use;
        return m_record.isWanted;
    }
    bool onIsAnswerToRequest() const override { return m_record.isAnswerToRequest; }
    void onHeaders(int, const std::vector<Field>&) override { m_record.headersArrived.set(true); }
    bool onBody(std::string_view bytes) override
    {
        if (!m_record.accept(bytes))
            return false;
        m_record.body += bytes;
        m_record.bodyArrived.set(true);
        return true;
    }
    void onEnd(const TransferResult& result) override { m_record.ended.set(result); }

    Record& m_record;
};

/// A TCP connection on which a test writes what it likes.
class RawConnection {
public:
    explicit RawConnection(int fd)
        : m_fd(fd)
    {
    }

    static RawConnection connectTo(const Endpoint& endpoint)
    {
        auto address = SocketAddress::make(endpoint);
        RawConnection connection(socket(address->family(), SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (connect(connection.m_fd.value(), address->data(), address->size()))
            throw std::runtime_error("connect");
        return connection;
    }

    /// @return false when the other side has closed.
    bool send(std::string_view bytes)
    {
        return ::send(m_fd.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /// @return all bytes up to @p mark, or up to the end of the connection.
    std::string readUntil(std::string_view mark)
    {
        std::string text;
        char c = 0;
        while (text.find(mark) == std::string::npos && recv(m_fd.value(), &c, 1, 0) == 1)
            text += c;
        return text;
    }

    /// @return the next @p n bytes, fewer if the connection ends before.
    std::string read(std::size_t n)
    {
        std::string text(n, '\0');
        std::size_t got = 0;
        ssize_t more = 1;
        for (; got < n && more > 0; got += static_cast<std::size_t>(std::max<ssize_t>(more, 0)))
            more = recv(m_fd.value(), text.data() + got, n - got, 0);
        text.resize(got);
        return text;
    }

    /// Reads @p n bytes away.
    /// @return false when the connection ends before that.
    bool skip(std::size_t n)
    {
        std::vector<char> buf(1 << 16);
        while (n) {
            const ssize_t got = recv(m_fd.value(), buf.data(), std::min(n, buf.size()), 0);
            if (got <= 0)
                return false;
            n -= static_cast<std::size_t>(got);
        }
        return true;
    }

    /// Reading gives up after so long without a byte.
    void endReadingAfter(std::chrono::seconds time)
    {
        const timeval limit { time.count(), 0 };
        setsockopt(m_fd.value(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    /// Has the kernel keep about @p bytes that have not been read.
    void limitReceiveBuffer(int bytes) { setsockopt(m_fd.value(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)); }

    std::string readToEnd() { return readUntil(std::string_view("\0never\0", 7)); }

    /// Reads up to the end of the connection. @return how often @p wanted came.
    std::size_t countToEnd(char wanted)
    {
        std::array<char, 64 << 10> buf {};
        std::size_t count = 0;
        for (ssize_t n = 0; (n = recv(m_fd.value(), buf.data(), buf.size(), 0)) > 0;)
            count += static_cast<std::size_t>(std::count(buf.begin(), buf.begin() + n, wanted));
        return count;
    }

    /// @return whether the connection ends by a reset; waits for its end.
    bool endsByReset() { return readPastAll() < 0 && errno == ECONNRESET; }

    /// @return whether the connection is closed properly; waits for its end.
    bool endsInOrder() { return readPastAll() == 0; }

    /// The connection will end by a reset instead of a proper close.
    void resetOnClose()
    {
        const linger reset { 1, 0 };
        setsockopt(m_fd.value(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }

    void endSending() { shutdown(m_fd.value(), SHUT_WR); }

    /// From now on the kernel drops whatever arrives without acknowledging it, as if this end's VM had vanished.
    void vanish()
    {
        sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program { 1, &dropAll };
        if (setsockopt(m_fd.value(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)))
            throw std::runtime_error("attach filter");
    }

private:
    ssize_t readPastAll()
    {
        char c = 0;
        ssize_t n = 0;
        while ((n = recv(m_fd.value(), &c, 1, 0)) > 0) { }
        return n;
    }

    FileDescriptor m_fd;
};

/// A listening socket whose connections a test serves by hand.
class RawServer {
public:
    RawServer()
        : m_socket(ListenSocket::make(loopback()).value())
    {
    }

    const Endpoint& endpoint() const { return m_socket.endpoint; }

    RawConnection accept()
    {
        pollfd ready = { m_socket.fd.value(), POLLIN, 0 };
        poll(&ready, 1, -1);
        return RawConnection(::accept(m_socket.fd.value(), nullptr, nullptr));
    }

    void acceptOnlyOne() { listen(m_socket.fd.value(), 0); }
    void stopListening() { m_socket.fd = FileDescriptor(); }

private:
    ListenSocket m_socket;
};

} // namespace sagechute::net
