#include "net/ListenSocket.h"

#include "core/Concat.h"
#include "net/SocketAddress.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace sagechute::net {

namespace {

    constexpr int keepAliveIntervalSeconds = 5;
    constexpr int keepAliveProbes = 3;

    absl::Status listenError(const Endpoint& endpoint, int error)
    {
        return makeError(ErrorKind::Internal,
            concat("Cannot listen on ", toString(endpoint), ": ", std::generic_category().message(error)),
            concat("Check that ", toString(endpoint),
                " is an address of this VM and that no other process listens on it"));
    }

    void setOption(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof(value)); }

    /// Accepted connections inherit these. A caller whose VM vanished sends nothing more, not even a FIN; while its
    /// request waits nothing is written to it either, so only the kernel's probes can find it.
    void probeSilentConnections(int fd, std::chrono::seconds silenceLimit)
    {
        setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(silenceLimit.count()));
        setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    }

    /// Accepted connections inherit these. Their windows are agreed on before they are accepted.
    void limitBuffers(int fd, const ServerOptions& options)
    {
        if (options.receiveBufferBytes)
            setOption(fd, SOL_SOCKET, SO_RCVBUF, static_cast<int>(options.receiveBufferBytes));
        if (options.sendBufferBytes)
            setOption(fd, SOL_SOCKET, SO_SNDBUF, static_cast<int>(options.sendBufferBytes));
    }

} // namespace

absl::StatusOr<ListenSocket> ListenSocket::make(const ServerOptions& options)
{
    const Endpoint& endpoint = options.listen;
    auto address = SocketAddress::make(endpoint);
    if (!address)
        return listenError(endpoint, EINVAL);

    ListenSocket listener;
    listener.fd = FileDescriptor(socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int fd = listener.fd.value();
    if (fd < 0)
        return listenError(endpoint, errno);
    setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    probeSilentConnections(fd, options.idleTimeout);
    limitBuffers(fd, options);
    if (bind(fd, address->data(), address->size()) || listen(fd, ListenSocket::backlog))
        return listenError(endpoint, errno);

    sockaddr_storage bound = {};
    socklen_t size = sizeof(bound);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size))
        return listenError(endpoint, errno);
    listener.endpoint = SocketAddress::toEndpoint(reinterpret_cast<sockaddr*>(&bound));
    return listener;
}

} // namespace sagechute::net
