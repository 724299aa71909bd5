#include "net/MhdServer.h"

#include "core/Concat.h"
#include "net/MhdResponse.h"
#include "net/SocketAddress.h"

#include <algorithm>
#include <charconv>

namespace sagechute::net {

namespace {

    constexpr std::size_t connectionMemoryBytes = 32 << 10; ///< Bounds the headers of a request, too.
    constexpr std::size_t leastDiscardBytes = 64 << 10;
    constexpr unsigned readLimitFactor = 2;
    constexpr unsigned strictParsing = 1;

    MHD_Result collectField(
        void* cls, MHD_ValueKind, const char* name, std::size_t nameSize, const char* value, std::size_t valueSize)
    {
        auto& fields = *static_cast<std::vector<Field>*>(cls);
        fields.push_back({ std::string(name, nameSize), value ? std::string(value, valueSize) : std::string() });
        return MHD_YES;
    }

    std::vector<Field> collectFields(MHD_Connection* connection, MHD_ValueKind kind)
    {
        std::vector<Field> fields;
        MHD_get_connection_values_n(connection, kind, &collectField, &fields);
        return fields;
    }

    ConnectionWatcher::Connection* watched(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        return static_cast<ConnectionWatcher::Connection*>(info->socket_context);
    }

    std::string peerAddress(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        return info ? SocketAddress::toEndpoint(info->client_addr).address : std::string();
    }

    /// What could go wrong: two servers in a row that choose different lengths see different requests on one
    /// connection, and a part of one body runs as a request of its own.
    bool hasAmbiguousLength(const std::vector<Field>& headers)
    {
        int n = 0;
        for (const auto& field : headers)
            n += isSameName(field.name, "Content-Length") || isSameName(field.name, "Transfer-Encoding") ? 1 : 0;
        return n > 1;
    }

    /// @return whether the announced length is above @p most; libmicrohttpd itself refuses one that isn't a number.
    bool announcesMoreThan(std::size_t most, const std::vector<Field>& headers)
    {
        auto text = findField(headers, "Content-Length");
        if (!text)
            return false;
        std::uint64_t length = 0;
        auto [it, ec] = std::from_chars(text->data(), text->data() + text->size(), length);
        return ec == std::errc::result_out_of_range || length > most;
    }

} // namespace

/// A request on its way in, and its exchange once it is complete.
struct MhdServer::PendingRequest {
    ServerRequest request;
    std::size_t discardedBytes = 0;
    bool begun = false; ///< Its headers have been taken.
    bool hasZeroByte = false; ///< In its target; it must be refused.
    bool tooLarge = false;
    std::shared_ptr<Exchange> exchange;
};

absl::StatusOr<std::unique_ptr<HttpServer>> MhdServer::make(const ServerOptions& options, Handler handler)
{
    auto listener = ListenSocket::make(options.listen, options.idleTimeout);
    if (!listener.ok())
        return listener.status();
    auto watcher = ConnectionWatcher::make(options.idleTimeout * readLimitFactor);
    if (!watcher.ok())
        return watcher.status();

    auto server = std::unique_ptr<MhdServer>(
        new MhdServer(options, std::move(handler), listener->endpoint, std::move(*watcher)));
    if (!server->start(std::move(listener->fd))) {
        return makeError(ErrorKind::Internal, concat("Cannot start an HTTP server on ", toString(listener->endpoint)),
            "Check the limits of threads and of open files of this process (ulimit -u, ulimit -n)");
    }
    return server;
}

MhdServer::MhdServer(
    const ServerOptions& options, Handler handler, Endpoint endpoint, std::unique_ptr<ConnectionWatcher> watcher)
    : m_options(options)
    , m_handler(std::move(handler))
    , m_endpoint(std::move(endpoint))
    , m_watcher(std::move(watcher))
    , m_idleSeconds(static_cast<unsigned>(options.idleTimeout.count()))
{
}

bool MhdServer::start(FileDescriptor listenFd)
{
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    if (m_endpoint.address.find(':') != std::string::npos)
        flags |= MHD_USE_IPv6;
    // A pool of one is the same as none, and libmicrohttpd complains about it.
    unsigned poolSize = m_options.threads > 1 ? m_options.threads : 0;
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &onAccess, this, //
        MHD_OPTION_LISTEN_SOCKET, listenFd.value(), //
        MHD_OPTION_THREAD_POOL_SIZE, poolSize, //
        MHD_OPTION_CONNECTION_LIMIT, std::max(m_options.maxConnections, m_options.threads), //
        MHD_OPTION_PER_IP_CONNECTION_LIMIT, m_options.maxConnectionsPerAddress, //
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(m_options.idleTimeout.count()), //
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, //
        MHD_OPTION_STRICT_FOR_CLIENT, strictParsing, //
        MHD_OPTION_URI_LOG_CALLBACK, &onUri, this, //
        MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, this, //
        MHD_OPTION_NOTIFY_CONNECTION, &onConnection, this, //
        MHD_OPTION_END);
    // After a failed start it isn't told whether the socket was closed. Its number is given up rather than closed:
    // closing it twice could close another file that has taken the number.
    listenFd.release();
    return m_daemon;
}

MhdServer::~MhdServer()
{
    if (!m_daemon)
        return;
    stopListening();
    // libmicrohttpd ends the process when it is stopped with a suspended connection. This resumes all of them, and none
    // is suspended again, since an exchange whose caller has gone never is.
    m_watcher->closeExchanges();
    MHD_stop_daemon(m_daemon);
}

void MhdServer::stopListening()
{
    std::lock_guard lock(m_listenMutex);
    if (m_quiesced.isOpen())
        return;
    m_quiesced = FileDescriptor(MHD_quiesce_daemon(m_daemon));
    // The descriptor stays open until the threads have ended, but the kernel would go on to complete handshakes on it,
    // and those callers would wait in vain for an answer. Shutting it down makes the kernel refuse them.
    if (m_quiesced.isOpen())
        shutdown(m_quiesced.value(), SHUT_RD);
}

void MhdServer::onConnection(void* cls, MHD_Connection* connection, void** watched, MHD_ConnectionNotificationCode code)
{
    auto& watcher = *static_cast<MhdServer*>(cls)->m_watcher;
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        *watched = watcher.open(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
    else if (code == MHD_CONNECTION_NOTIFY_CLOSED)
        watcher.close(static_cast<ConnectionWatcher::Connection*>(*watched));
}

void* MhdServer::onUri(void*, const char* uri, MHD_Connection*)
{
    // The decoded path ends at a zero byte: "/public%00/x" would be handled as "/public". Only here is the URI still as
    // sent.
    auto pending = std::make_unique<PendingRequest>();
    pending->request.rawTarget = uri;
    pending->hasZeroByte = pending->request.rawTarget.find("%00") != std::string::npos;
    return pending.release();
}

void MhdServer::onCompleted(void* cls, MHD_Connection* connection, void** pending, MHD_RequestTerminationCode code)
{
    std::unique_ptr<PendingRequest> request(static_cast<PendingRequest*>(*pending));
    *pending = nullptr;
    if (!request || !request->exchange)
        return;
    static_cast<MhdServer*>(cls)->m_watcher->endExchange(watched(connection));
    request->exchange->detach(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

MHD_Result MhdServer::onAccess(void* cls, MHD_Connection* connection, const char* path, const char* method, const char*,
    const char* body, std::size_t* bodySize, void** pending)
{
    auto& server = *static_cast<MhdServer*>(cls);
    if (!*pending)
        return MHD_NO; // onUri() comes first for every request.
    auto& request = *static_cast<PendingRequest*>(*pending);
    if (request.hasZeroByte)
        return refuseZeroByte(connection);
    if (!request.begun)
        return server.begin(connection, path, method, request);
    if (*bodySize) {
        auto bytes = std::string_view(body, *bodySize);
        *bodySize = 0;
        return server.takeBody(request, bytes);
    }
    if (request.tooLarge)
        return server.refuseTooLarge(connection);
    if (!request.exchange)
        return server.dispatch(connection, request);
    return server.answer(connection, request);
}

MHD_Result MhdServer::begin(
    MHD_Connection* connection, const char* path, const char* method, PendingRequest& pending) const
{
    pending.begun = true;
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, m_idleSeconds.load());
    pending.request.method = method;
    pending.request.path = path;
    pending.request.headers = collectFields(connection, MHD_HEADER_KIND);
    if (hasAmbiguousLength(pending.request.headers))
        return refuseAmbiguousLength(connection);
    return announcesMoreThan(m_options.maxBodyBytes, pending.request.headers) ? refuseTooLarge(connection) : MHD_YES;
}

MHD_Result MhdServer::takeBody(PendingRequest& pending, std::string_view bytes) const
{
    auto& body = pending.request.body;
    pending.tooLarge = pending.tooLarge || bytes.size() > m_options.maxBodyBytes - body.size();
    if (!pending.tooLarge) {
        body += bytes;
        return MHD_YES;
    }
    // Only a body of unannounced length comes here. libmicrohttpd takes no answer in the middle of a body, so as much
    // again is dropped in the hope of its end; beyond that the connection is closed.
    body = {};
    pending.discardedBytes += bytes.size();
    return pending.discardedBytes > std::max(m_options.maxBodyBytes, leastDiscardBytes) ? MHD_NO : MHD_YES;
}

MHD_Result MhdServer::refuseZeroByte(MHD_Connection* connection)
{
    auto error = makeError(
        ErrorKind::BadRequest, "The request's address contains a zero byte", "Send the address without %00");
    return queueWhole(connection, errorResponse(error));
}

MHD_Result MhdServer::refuseAmbiguousLength(MHD_Connection* connection)
{
    auto error = makeError(ErrorKind::BadRequest, "The request announces the length of its body in more than one way",
        "Send either one Content-Length or Transfer-Encoding");
    auto response = errorResponse(error);
    response.headers.push_back({ "Connection", "close" });
    return queueWhole(connection, std::move(response));
}

MHD_Result MhdServer::refuseTooLarge(MHD_Connection* connection) const
{
    auto error = makeError(ErrorKind::TooLarge,
        concat("The request's body is larger than the ", m_options.maxBodyBytes, " bytes allowed here"),
        "Send a smaller body, or ask the operators to raise the limit");
    return queueWhole(connection, errorResponse(error));
}

MHD_Result MhdServer::dispatch(MHD_Connection* connection, PendingRequest& pending)
{
    pending.request.query = collectFields(connection, MHD_GET_ARGUMENT_KIND);
    pending.request.peerAddress = peerAddress(connection);
    auto exchange = std::make_shared<Exchange>(std::move(pending.request), connection, m_options.streamBufferBytes / 2);
    if (!m_watcher->beginExchange(watched(connection), exchange))
        return MHD_NO;
    pending.exchange = exchange;
    // An exception must not pass through the C library: the process would end with it, and with every other request.
    try {
        m_handler(exchange);
    } catch (const std::exception& problem) {
        exchange->respond(errorResponse(makeError(ErrorKind::Internal, concat("The request failed: ", problem.what()),
            "Report this message to the operators; the server's log has the same one")));
    }
    return answer(connection, pending);
}

MHD_Result MhdServer::answer(MHD_Connection* connection, PendingRequest& pending)
{
    ServerResponse response;
    switch (pending.exchange->takeReply(response)) {
    case Exchange::Next::Wait:
        return MHD_YES;
    case Exchange::Next::SendWhole:
        return queueWhole(connection, std::move(response));
    case Exchange::Next::SendStream:
        return queueStream(connection, response, pending.exchange);
    case Exchange::Next::Close:
        return MHD_NO;
    }
    return MHD_NO;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::make(const ServerOptions& options, Handler handler)
{
    return MhdServer::make(options, std::move(handler));
}

} // namespace sagechute::net
