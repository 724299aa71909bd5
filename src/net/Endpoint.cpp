#include <sagechute/Net.h>

#include "core/Concat.h"
#include "net/SocketAddress.h"

#include <algorithm>
#include <charconv>

namespace sagechute::net {

namespace {

    char toLowerAscii(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

    absl::Status endpointError(std::string_view text)
    {
        return makeError(ErrorKind::BadRequest, concat("\"", text, "\" is not a numeric address with a port"),
            "Write it as 127.0.0.1:8080 or [::1]:8080");
    }

} // namespace

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

std::optional<std::string_view> findField(const std::vector<Field>& fields, std::string_view name)
{
    auto it
        = std::find_if(fields.begin(), fields.end(), [&](const Field& field) { return isSameName(field.name, name); });
    if (it == fields.end())
        return std::nullopt;
    return it->value;
}

absl::StatusOr<Endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return endpointError(text);

    Endpoint endpoint;
    auto port = text.substr(colon + 1);
    auto [it, ec] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (ec != std::errc() || it != port.data() + port.size())
        return endpointError(text);

    auto host = text.substr(0, colon);
    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    endpoint.address = std::string(host);
    auto address = SocketAddress::make(endpoint);
    if (!address || address->isIpv6() != isBracketed)
        return endpointError(text);
    return endpoint;
}

std::string toString(const Endpoint& endpoint)
{
    bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return concat(isIpv6 ? "[" : "", endpoint.address, isIpv6 ? "]" : "", ":", endpoint.port);
}

} // namespace sagechute::net
