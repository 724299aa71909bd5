#pragma once

#include "net/CurlTransfer.h"
#include "net/FileDescriptor.h"

#include <mutex>
#include <queue>
#include <thread>
#include <unordered_map>

namespace sagechute::net {

/// One thread with a curl multi handle, driven by epoll so that the cost of an event doesn't grow with the number of
/// open transfers.
class CurlWorker {
public:
    static absl::StatusOr<std::unique_ptr<CurlWorker>> make(const ClientOptions&);

    ~CurlWorker() { stop(); }

    /// Cancels all transfers and joins the thread. A transfer that is started later ends at once as cancelled.
    void stop();

    // From any thread; carried out on the worker's thread in the order of the calls.
    void start(TransferId, ClientRequest, std::unique_ptr<TransferSink>);
    void cancel(TransferId);
    void resume(TransferId);

private:
    struct StartArguments {
        ClientRequest request;
        std::unique_ptr<TransferSink> sink;
    };

    struct Command {
        void (CurlWorker::*action)(Command&) = nullptr;
        TransferId id = 0;
        std::unique_ptr<StartArguments> arguments;
    };

    /// The moment to look at a transfer's silence again.
    struct SilenceCheck {
        TimePoint due;
        TransferId id = 0;

        bool operator>(const SilenceCheck& other) const { return due > other.due; }
    };

    CurlWorker(const ClientOptions&, MultiHandle, FileDescriptor epoll, FileDescriptor wakeup);

    static int onSocket(CURL*, curl_socket_t, int what, void* worker, void* known);
    static int onTimer(CURLM*, long timeoutMs, void* worker);

    void post(Command);
    bool runCommands();
    void startNow(Command&);
    void cancelNow(Command&);
    void resumeNow(Command&);

    void run();
    std::chrono::milliseconds waitTime() const;
    void handleSockets(std::chrono::milliseconds most);
    void handleTimer();
    void handleSilence();
    void collectEnded();
    CurlTransfer* find(TransferId) const;
    void finish(CurlTransfer&, CURLcode);
    void finishEarly(CurlTransfer&, TransferEnd, std::string_view detail);
    void retire(CurlTransfer&);
    void cancelAll();
    bool closeInbox();

    const ClientOptions m_options;
    const FileDescriptor m_epoll;
    const FileDescriptor m_wakeup;

    std::mutex m_mutex;
    std::vector<Command> m_inbox;
    bool m_stopping = false;
    bool m_stopped = false; ///< The worker takes no more commands.

    // Below: the worker's thread only.
    std::vector<Command> m_running; ///< Emptied after each round; kept for its memory.
    std::unordered_map<TransferId, std::unique_ptr<CurlTransfer>> m_transfers;
    std::vector<EasyHandle> m_spareHandles;
    std::priority_queue<SilenceCheck, std::vector<SilenceCheck>, std::greater<>> m_silenceChecks;
    TimePoint m_timerDue = TimePoint::max();
    MultiHandle m_multi; ///< After the handles that it refers to, so that it is cleaned up before them.

    std::thread m_thread;
};

} // namespace sagechute::net
