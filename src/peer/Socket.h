#pragma once

/// @file
/// Owned file descriptors and numeric socket addresses for the transports.

#include <sagechute/Core.h>

#include <sys/socket.h>

#include <string>
#include <string_view>
#include <utility>

namespace sagechute::peer {

/// A file descriptor closed at the end of its owner's life.
class UniqueFd {
public:
    UniqueFd() = default;
    explicit UniqueFd(int fd)
        : m_fd(fd)
    {
    }
    UniqueFd(UniqueFd&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    UniqueFd& operator=(UniqueFd&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~UniqueFd();

    int value() const { return m_fd; }

private:
    int m_fd = -1;
};

/// An IP number and a port. Names are never looked up: the system's processes talk by IP numbers.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    /// @param text "1.2.3.4:port" or "[v6]:port".
    /// @return the address, or BadRequest.
    static absl::StatusOr<SocketAddress> parse(std::string_view text);

    /// @return the address that @p fd is bound to.
    static SocketAddress local(int fd);

    const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* raw() { return reinterpret_cast<sockaddr*>(&storage); }
    std::string text() const;
};

/// @return a non-blocking listening TCP socket, or an error naming the address.
absl::StatusOr<UniqueFd> listenTcp(const std::string& address);

/// @return a non-blocking socket whose connection attempt is under way, or an error when it failed at once.
absl::StatusOr<UniqueFd> connectTcp(const std::string& address);

/// @return a bound, non-blocking UDP socket, or an error naming the address.
absl::StatusOr<UniqueFd> bindUdp(const std::string& address);

/// Turns off Nagle's algorithm: batches are made by the sender's own flush delay.
void disableNagle(int fd);

/// Wakes a thread that polls.
class WakeSignal {
public:
    static absl::StatusOr<WakeSignal> make();

    void signal() const;
    void drain() const;
    int fd() const { return m_fd.value(); }

private:
    explicit WakeSignal(UniqueFd fd)
        : m_fd(std::move(fd))
    {
    }

    UniqueFd m_fd;
};

} // namespace sagechute::peer
