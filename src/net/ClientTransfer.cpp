#include "net/ClientTransfer.h"

#include "core/Concat.h"
#include "net/SocketAddress.h"

#include <algorithm>

#include <netdb.h>

namespace sagechute::net {

namespace {

    constexpr std::string_view scheme = "http://";

    bool isSendable(const Field& field)
    {
        constexpr std::string_view forbiddenInName("\r\n\0: ", 5);
        constexpr std::string_view forbiddenInValue("\r\n\0", 3);
        return !field.name.empty() && field.name.find_first_of(forbiddenInName) == std::string::npos
            && field.value.find_first_of(forbiddenInValue) == std::string::npos;
    }

    /// A body up to this size is copied behind the head, so that both leave with one system call.
    constexpr std::size_t maxCopiedBodyBytes = 16 << 10;

    bool carriesBody(const ClientRequest& request, std::size_t bodyBytes)
    {
        return bodyBytes || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    }

    /// The routers' addresses are numbers; a name is for operators' tools, which may wait for it.
    absl::StatusOr<Endpoint> lookUp(std::string_view authority)
    {
        const std::size_t colon = authority.rfind(':');
        const std::string host(authority.substr(0, colon));
        const std::string port(colon == std::string_view::npos ? "80" : authority.substr(colon + 1));
        addrinfo hints {};
        hints.ai_family = AF_UNSPEC;
        hints.ai_socktype = SOCK_STREAM;
        addrinfo* found = nullptr;
        if (const int code = getaddrinfo(host.c_str(), port.c_str(), &hints, &found); code != 0)
            return makeError(ErrorKind::BadRequest,
                concat("\"", authority, "\" can't be resolved: ", gai_strerror(code)),
                "Use a numeric address, or check the name");
        const Endpoint endpoint = SocketAddress::toEndpoint(found->ai_addr);
        freeaddrinfo(found);
        return endpoint;
    }

} // namespace

ClientTransfer::ClientTransfer(TransferId id, ClientRequest request, std::unique_ptr<TransferSink> sink)
    : m_id(id)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
{
}

absl::Status ClientTransfer::parseUrl()
{
    std::string_view url = m_request.url;
    if (!url.starts_with(scheme))
        return makeError(ErrorKind::BadRequest, concat("\"", url, "\" is no http URL"), "Begin it with http://");
    url.remove_prefix(scheme.size());
    const std::size_t slash = std::min(url.find_first_of("/?"), url.size());
    m_authority = std::string(url.substr(0, slash));
    m_target = m_request.rawTarget.empty() ? std::string(url.substr(slash)) : m_request.rawTarget;
    if (m_target.empty() || m_target.front() == '?')
        m_target.insert(m_target.begin(), '/');
    auto endpoint = parseEndpoint(m_authority);
    if (!endpoint.ok())
        endpoint = lookUp(m_authority);
    if (!endpoint.ok())
        return endpoint.status();
    m_endpoint = std::move(*endpoint);
    return absl::OkStatus();
}

bool ClientTransfer::appendFields()
{
    if (!findField(m_request.headers, "Host"))
        m_bytes += "Host: " + m_authority + "\r\n";
    if (!m_request.isRelayed && !findField(m_request.headers, "User-Agent"))
        m_bytes += "User-Agent: sagechute\r\n";
    for (const Field& field : m_request.headers) {
        if (!isSendable(field))
            return false;
        m_bytes += field.name;
        m_bytes += ": ";
        m_bytes += field.value;
        m_bytes += "\r\n";
    }
    return true;
}

absl::Status ClientTransfer::prepare()
{
    if (absl::Status status = parseUrl(); !status.ok())
        return status;
    constexpr std::string_view forbidden(" \r\n\0", 4);
    const bool isLine = m_request.method.find_first_of(forbidden) == std::string::npos
        && m_target.find_first_of(forbidden) == std::string::npos;
    if (!m_request.sharedBody)
        m_request.sharedBody = std::make_shared<const std::string>(std::move(m_request.body));
    const std::string& body = *m_request.sharedBody;
    const bool isCopied = body.size() <= maxCopiedBodyBytes;
    m_bytes.reserve(512 + (isCopied ? body.size() : 0));
    m_bytes += m_request.method;
    m_bytes += ' ';
    m_bytes += m_target;
    m_bytes += " HTTP/1.1\r\n";
    if (!isLine || !appendFields())
        return makeError(ErrorKind::BadRequest, "a part of the request's head contains a line break or zero byte",
            "Send it without");
    if (carriesBody(m_request, body.size()))
        m_bytes += concat("Content-Length: ", body.size(), "\r\n");
    m_bytes += "\r\n";
    if (isCopied)
        m_bytes += body;
    else
        m_body = m_request.sharedBody;
    m_request.sharedBody.reset();
    return absl::OkStatus();
}

std::string_view ClientTransfer::unsent(std::size_t sent) const
{
    if (sent < m_bytes.size() || !m_body)
        return std::string_view(m_bytes).substr(sent);
    return std::string_view(*m_body).substr(sent - m_bytes.size());
}

bool ClientTransfer::mayUse(ConnectionId connection) const
{
    const auto& avoided = m_request.avoidedConnections;
    return std::find(avoided.begin(), avoided.end(), connection) == avoided.end();
}

bool ClientTransfer::isWanted(ConnectionUse use)
{
    if (!m_hasAsked) {
        m_hasAsked = true;
        m_isWanted = m_sink->beforeRequest(use);
    }
    return m_isWanted;
}

} // namespace sagechute::net
