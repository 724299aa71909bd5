#pragma once

#include <sagechute/Net.h>

#include <mutex>

#include <sys/types.h>

struct MHD_Connection;

namespace sagechute::net {

/// A request that libmicrohttpd waits with, and its answer.
///
/// The mutex is held for moves of bytes and for suspending and resuming the connection, never over socket I/O or a
/// listener. Suspending happens under it, so that a resume can't come before the suspension that it is meant to end
/// (the connection would then sleep for good).
class Exchange final : public ServerExchange {
public:
    /// What the HTTP thread does next.
    enum class Next {
        Wait, ///< Nothing to send yet; the connection has been suspended.
        SendWhole,
        SendStream,
        Close,
    };

    /// @param drainMark the queue length, in bytes, at and below which the writer is told to go on.
    Exchange(ServerRequest, MHD_Connection*, std::size_t drainMark);

    const ServerRequest& request() const override { return m_request; }
    void respond(ServerResponse) override;
    void startStream(int status, std::vector<Field> headers) override;
    std::size_t write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool isCallerThere() override;
    void onDrained(std::function<void()> listener) override;
    void onClosed(std::function<void()> listener) override;

    /// Takes the answer's head (and body, when it is whole), or suspends the connection when there is none yet.
    Next takeReply(ServerResponse& response);

    /// Takes queued bytes of a stream; the contract is libmicrohttpd's MHD_ContentReaderCallback.
    ssize_t read(char* buf, std::size_t most);

    /// The caller has gone, or the server stops: nothing more will be sent.
    void callerGone();

    /// libmicrohttpd is done with the request and its connection must not be touched any more.
    /// @param wholly whether the answer went out to its end.
    void detach(bool wholly);

private:
    enum class Phase { Unanswered, Whole, Streaming, Finished, Aborted };

    bool isOver() const { return m_gone || m_detached; }
    std::size_t queued() const { return m_queue.size() - m_queueStart; }
    void wake();
    void suspend();
    std::size_t takeQueued(char* buf, std::size_t most);

    const ServerRequest m_request;
    const std::size_t m_drainMark;

    std::mutex m_mutex;
    MHD_Connection* m_connection;
    Phase m_phase = Phase::Unanswered;
    bool m_suspended = false;
    bool m_gone = false;
    bool m_handedOver = false; ///< libmicrohttpd has all of the answer, and polls the connection again.
    bool m_detached = false;
    ServerResponse m_response;
    std::string m_queue;
    std::size_t m_queueStart = 0;
    std::shared_ptr<const std::function<void()>> m_drainedListener; ///< Shared, so that it is called without the mutex.
    std::vector<std::function<void()>> m_closedListeners;
};

} // namespace sagechute::net
