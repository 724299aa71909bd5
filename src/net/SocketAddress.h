#pragma once

#include <sagechute/Net.h>

#include <sys/socket.h>

namespace sagechute::net {

/// The kernel's form of an Endpoint.
class SocketAddress {
public:
    /// @return nullopt unless the endpoint's address is a numeric IPv4 or IPv6 address.
    static std::optional<SocketAddress> make(const Endpoint&);

    /// @return the endpoint for an IPv4 or IPv6 address; an empty one for any other family.
    static Endpoint toEndpoint(const sockaddr*);

    bool isIpv6() const { return m_storage.ss_family == AF_INET6; }
    int family() const { return m_storage.ss_family; }
    const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
    socklen_t size() const { return m_size; }

private:
    SocketAddress() = default;

    sockaddr_storage m_storage = {};
    socklen_t m_size = 0;
};

} // namespace sagechute::net
