#include "peer/Socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace sagechute::peer {
namespace {

    constexpr int kListenBacklog = 512;

    absl::Status socketError(std::string_view action, std::string_view address)
    {
        const int error = errno;
        return makeError(ErrorKind::Internal,
            "could not " + std::string(action) + " " + std::string(address) + ": " + std::strerror(error),
            "check that the address belongs to this VM and that the port is free");
    }

    absl::Status malformedAddress(std::string_view text)
    {
        return makeError(ErrorKind::BadRequest, "not an address: '" + std::string(text) + "'",
            "write it as an IP number and a port, such as 10.0.0.1:9100");
    }

    absl::StatusOr<UniqueFd> boundSocket(const std::string& address, int type)
    {
        auto parsed = SocketAddress::parse(address);
        if (!parsed.ok())
            return parsed.status();
        UniqueFd fd(::socket(parsed->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        if (fd.value() < 0)
            return socketError("make a socket for", address);
        const int on = 1;
        if (type == SOCK_STREAM)
            ::setsockopt(fd.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (::bind(fd.value(), parsed->raw(), parsed->length) != 0)
            return socketError("bind", address);
        return fd;
    }

} // namespace

UniqueFd::~UniqueFd()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

absl::StatusOr<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformedAddress(text);
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (ec != std::errc {} || end != portText.data() + portText.size())
        return malformedAddress(text);

    std::string host(text.substr(0, colon));
    SocketAddress address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        address.length = sizeof *v6;
        if (::inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) != 1)
            return malformedAddress(text);
        return address;
    }
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.length = sizeof *v4;
    if (::inet_pton(AF_INET, host.c_str(), &v4->sin_addr) != 1)
        return malformedAddress(text);
    return address;
}

SocketAddress SocketAddress::local(int fd)
{
    SocketAddress address;
    address.length = sizeof address.storage;
    ::getsockname(fd, address.raw(), &address.length);
    return address;
}

std::string SocketAddress::text() const
{
    char buf[INET6_ADDRSTRLEN] = {};
    if (storage.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
        ::inet_ntop(AF_INET6, &v6->sin6_addr, buf, sizeof buf);
        return "[" + std::string(buf) + "]:" + std::to_string(ntohs(v6->sin6_port));
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    ::inet_ntop(AF_INET, &v4->sin_addr, buf, sizeof buf);
    return std::string(buf) + ":" + std::to_string(ntohs(v4->sin_port));
}

absl::StatusOr<UniqueFd> listenTcp(const std::string& address)
{
    auto fd = boundSocket(address, SOCK_STREAM);
    if (!fd.ok())
        return fd;
    if (::listen(fd->value(), kListenBacklog) != 0)
        return socketError("listen on", address);
    return fd;
}

absl::StatusOr<UniqueFd> connectTcp(const std::string& address)
{
    auto parsed = SocketAddress::parse(address);
    if (!parsed.ok())
        return parsed.status();
    UniqueFd fd(::socket(parsed->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.value() < 0)
        return socketError("make a socket for", address);
    disableNagle(fd.value());
    if (::connect(fd.value(), parsed->raw(), parsed->length) != 0 && errno != EINPROGRESS)
        return socketError("connect to", address);
    return fd;
}

absl::StatusOr<UniqueFd> bindUdp(const std::string& address) { return boundSocket(address, SOCK_DGRAM); }

void disableNagle(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

absl::StatusOr<WakeSignal> WakeSignal::make()
{
    UniqueFd fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (fd.value() < 0)
        return makeError(ErrorKind::Internal, "could not make an eventfd", "raise the limit of open files");
    return WakeSignal(std::move(fd));
}

void WakeSignal::signal() const
{
    const std::uint64_t one = 1;
    // A full counter means that a wake-up is pending already.
    [[maybe_unused]] const ssize_t n = ::write(m_fd.value(), &one, sizeof one);
}

void WakeSignal::drain() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t n = ::read(m_fd.value(), &count, sizeof count);
}

} // namespace sagechute::peer
