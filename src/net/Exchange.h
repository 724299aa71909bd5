#pragma once

#include "net/RequestMemory.h"

#include <mutex>

namespace sagechute::net {

class Loop;
class ServerConnection;

/// A request that waits for its answer, and that answer.
///
/// Whoever answers may be on any thread. On the loop's own thread bytes go to the connection as soon as the caller's
/// present step has returned; from another thread they wake the loop, once for all that gathers until it looks. The
/// mutex is held for moves of bytes, never over input, output or a listener.
class Exchange final : public ServerExchange, public std::enable_shared_from_this<Exchange> {
public:
    /// What the connection does next.
    enum class Next {
        Wait, ///< Nothing to send yet.
        SendWhole,
        SendStream,
        SendRaw,
        Close,
    };

    /// Where a stream stands after its bytes were taken.
    enum class StreamState { Open, Finished, Aborted };

    /// @param bufferBytes of a stream that the connection takes at a time; when the queue has fallen to half of it, the
    ///        writer is told to go on.
    Exchange(ServerRequest, RequestMemory, ServerConnection&, Loop&, std::size_t bufferBytes);

    const ServerRequest& request() const override { return m_request; }
    void respond(ServerResponse) override;
    void startStream(int status, std::vector<Field> headers) override;
    void startRaw() override;
    std::size_t write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool isCallerThere() override;
    void onDrained(std::function<void()> listener) override;
    void onClosed(std::function<void()> listener) override;

    // The loop's thread only.

    /// Takes the answer's head, and its body when it is whole.
    Next takeReply(ServerResponse&);

    /// Takes queued bytes of a stream, to be called again once they have left; what was queued before an abort() is
    /// dropped.
    StreamState takeQueued(std::string& bytes);

    /// @return bytes of a stream that takeQueued() has not taken.
    std::size_t queuedBytes();

    /// @return whether the answer was broken off, and what is left of it is not to be sent.
    bool isAborted();

    /// The caller has gone, or the server stops: nothing more will be sent.
    void callerGone();

    /// The connection is done with the request. @param wholly whether the answer went out to its end.
    void detach(bool wholly);

private:
    enum class Phase { Unanswered, Whole, Streaming, Finished, Aborted };

    bool isOver() const { return m_gone || m_detached; }
    void wake();
    void moveQueued(std::string& bytes);

    const ServerRequest m_request;
    const RequestMemory m_memory;
    Loop& m_loop;
    const std::size_t m_bufferBytes;

    std::mutex m_mutex;
    ServerConnection* m_connection; ///< Used on the loop's thread only; null once detached.
    Phase m_phase = Phase::Unanswered;
    bool m_isRaw = false;
    bool m_isPosted = false; ///< The loop has been woken and has not looked yet.
    bool m_gone = false;
    bool m_detached = false;
    ServerResponse m_response;
    std::string m_queue;
    std::shared_ptr<const std::function<void()>> m_drainedListener; ///< Shared, so that it is called without the mutex.
    std::vector<std::function<void()>> m_closedListeners;
};

} // namespace sagechute::net
