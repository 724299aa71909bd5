#pragma once

#include "net/ConnectionWatcher.h"
#include "net/ListenSocket.h"

#include <microhttpd.h>

namespace sagechute::net {

/// HttpServer over libmicrohttpd: epoll, a thread pool, and connections suspended while their answer is awaited.
class MhdServer final : public HttpServer {
public:
    static absl::StatusOr<std::unique_ptr<HttpServer>> make(const ServerOptions&, Handler);
    ~MhdServer() override;

    void stopListening() override;
    void setIdleTimeout(std::chrono::seconds timeout) override
    {
        m_idleSeconds = static_cast<unsigned>(timeout.count());
    }
    Endpoint endpoint() const override { return m_endpoint; }
    std::size_t openConnections() const override { return m_watcher->openConnections(); }

private:
    struct PendingRequest;

    MhdServer(const ServerOptions&, Handler, Endpoint, std::unique_ptr<ConnectionWatcher>);

    bool start(FileDescriptor listenFd);

    // libmicrohttpd's callbacks; cls is the server.
    static MHD_Result onAccess(void* cls, MHD_Connection*, const char* path, const char* method, const char* version,
        const char* body, std::size_t* bodySize, void** pending);
    static void* onUri(void* cls, const char* uri, MHD_Connection*);
    static void onCompleted(void* cls, MHD_Connection*, void** pending, MHD_RequestTerminationCode);
    static void onConnection(void* cls, MHD_Connection*, void** watched, MHD_ConnectionNotificationCode);

    MHD_Result begin(MHD_Connection*, const char* path, const char* method, PendingRequest&) const;
    MHD_Result takeBody(PendingRequest&, std::string_view bytes) const;
    MHD_Result dispatch(MHD_Connection*, PendingRequest&);
    MHD_Result answer(MHD_Connection*, PendingRequest&);
    static MHD_Result refuseZeroByte(MHD_Connection*);
    static MHD_Result refuseAmbiguousLength(MHD_Connection*);
    MHD_Result refuseTooLarge(MHD_Connection*) const;

    const ServerOptions m_options;
    const Handler m_handler;
    const Endpoint m_endpoint;
    const std::unique_ptr<ConnectionWatcher> m_watcher;
    MHD_Daemon* m_daemon = nullptr;
    std::atomic<unsigned> m_idleSeconds;
    std::mutex m_listenMutex;
    FileDescriptor m_quiesced; ///< The listening socket once libmicrohttpd has given it back.
};

} // namespace sagechute::net
