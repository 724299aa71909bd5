#pragma once

#include "net/FileDescriptor.h"

#include <sagechute/Net.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace sagechute::net {

/// EventLoop over epoll. Servers and clients that share one exchange bytes without a lock, a thread switch or a wake-up
/// between them.
///
/// Level-triggered, so that a handler may read once and leave the rest to the next round: a connection that has much to
/// say doesn't keep the others waiting.
class Loop final : public EventLoop {
public:
    /// Something that is driven by the loop. Its functions are called on the loop's thread.
    class Handler {
    public:
        virtual ~Handler() = default;

    private:
        friend class Loop;

        /// @param events of epoll.
        virtual void onReady(std::uint32_t events) = 0;

        /// What was put off by defer().
        virtual void onDeferred() = 0;

        bool m_isDeferred = false;
        bool m_isDisposed = false;
    };

    static absl::StatusOr<std::unique_ptr<Loop>> make();
    ~Loop() override;

    void post(std::function<void()> task) override;
    void postAndWait(const std::function<void()>& task) override;
    Duration busyTime() const override;
    bool isOwnThread() const override { return std::this_thread::get_id() == m_threadId.load(); }

    // The loop's thread only.

    bool watch(int fd, std::uint32_t events, Handler&);
    void rewatch(int fd, std::uint32_t events, Handler&);
    void unwatch(int fd);

    /// Calls the handler's onDeferred() once what is being handled has returned; so nothing calls back into its caller.
    void defer(Handler&);

    /// Takes back what was put off, for a handler that is about to end.
    void undefer(Handler&);

    /// Frees a handler after the events at hand, among which may be one for it.
    void dispose(std::unique_ptr<Handler>);

    using TimerId = std::uint64_t;
    TimerId callAt(TimePoint due, std::function<void()> task);

    /// Unknown timers are ignored.
    void cancel(TimerId);

    /// @return when the loop last asked the kernel: what handlers have not been told of happened later.
    TimePoint polledAt() const { return m_polledAt; }

    /// Where handlers read into; its content is gone with the handler's return.
    std::array<char, 64 << 10>& buffer() { return m_buffer; }

private:
    Loop(FileDescriptor epoll, FileDescriptor wakeup);

    void run();
    int waitMs(TimePoint now) const;
    void beginWork();
    TimePoint endWork();
    void runDeferred();
    void runTimers();
    void runPosted();

    const FileDescriptor m_epoll;
    const FileDescriptor m_wakeup;

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
    std::atomic<bool> m_isStopping { false };
    std::atomic<Duration::rep> m_busy { 0 }; ///< Until the last wait.
    std::atomic<TimePoint::rep> m_busySince { 0 }; ///< 0 while it waits.
    std::atomic<std::thread::id> m_threadId {}; ///< Set by the thread itself, before it does anything.

    // The loop's thread only.
    TimePoint m_polledAt {};
    std::vector<Handler*> m_deferred;
    std::vector<std::unique_ptr<Handler>> m_disposed;
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_timers;
    std::unordered_map<TimerId, TimePoint> m_dueById;
    TimerId m_lastTimer = 0;
    std::array<char, 64 << 10> m_buffer {};

    std::thread m_thread; ///< Last: it uses the rest.
};

} // namespace sagechute::net
