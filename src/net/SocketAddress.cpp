#include "net/SocketAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace sagechute::net {

std::optional<SocketAddress> SocketAddress::make(const Endpoint& endpoint)
{
    SocketAddress address;
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address.m_storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(endpoint.port);
        address.m_size = sizeof(*ipv4);
        return address;
    }
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address.m_storage);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(endpoint.port);
        address.m_size = sizeof(*ipv6);
        return address;
    }
    return std::nullopt;
}

Endpoint SocketAddress::toEndpoint(const sockaddr* address)
{
    std::array<char, INET6_ADDRSTRLEN> buf = {};
    if (address->sa_family == AF_INET) {
        const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address);
        inet_ntop(AF_INET, &ipv4->sin_addr, buf.data(), buf.size());
        return { buf.data(), ntohs(ipv4->sin_port) };
    }
    if (address->sa_family == AF_INET6) {
        const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(address);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, buf.data(), buf.size());
        return { buf.data(), ntohs(ipv6->sin6_port) };
    }
    return {};
}

} // namespace sagechute::net
