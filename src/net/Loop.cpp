#include "net/Loop.h"

#include <algorithm>
#include <condition_variable>

#include <sys/epoll.h>
#include <sys/eventfd.h>

namespace sagechute::net {

namespace {

    /// A request takes up to a millisecond on a VM of an eighth of a core; so timers, other threads' calls and reports
    /// to other routers wait for some 50 ms at most, whatever callers send.
    constexpr int eventsAtOnce = 64;
    constexpr int longestWaitMs = 60'000;

    absl::Status resourceError()
    {
        return makeError(ErrorKind::Internal, "Cannot start an event loop: no file descriptor is left",
            "Raise the limit of open files of this process (ulimit -n)");
    }

} // namespace

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::make()
{
    auto loop = Loop::make();
    if (!loop.ok())
        return loop.status();
    return std::unique_ptr<EventLoop>(std::move(*loop));
}

absl::StatusOr<std::unique_ptr<Loop>> Loop::make()
{
    FileDescriptor epoll(epoll_create1(EPOLL_CLOEXEC));
    FileDescriptor wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    epoll_event event = { .events = EPOLLIN, .data = { .ptr = nullptr } };
    if (!epoll.isOpen() || !wakeup.isOpen() || epoll_ctl(epoll.value(), EPOLL_CTL_ADD, wakeup.value(), &event))
        return resourceError();
    return std::unique_ptr<Loop>(new Loop(std::move(epoll), std::move(wakeup)));
}

Loop::Loop(FileDescriptor epoll, FileDescriptor wakeup)
    : m_epoll(std::move(epoll))
    , m_wakeup(std::move(wakeup))
    , m_thread([this] { run(); })
{
}

Loop::~Loop()
{
    m_isStopping = true;
    eventfd_write(m_wakeup.value(), 1);
    m_thread.join();
}

void Loop::post(std::function<void()> task)
{
    bool wasEmpty = false;
    {
        std::lock_guard lock(m_mutex);
        wasEmpty = m_posted.empty();
        m_posted.push_back(std::move(task));
    }
    // One wake-up for all that gathers until the loop looks.
    if (wasEmpty && !isOwnThread())
        eventfd_write(m_wakeup.value(), 1);
}

void Loop::postAndWait(const std::function<void()>& task)
{
    if (isOwnThread()) {
        task();
        return;
    }
    std::mutex mutex;
    std::condition_variable changed;
    bool isDone = false;
    post([&] {
        task();
        std::lock_guard lock(mutex);
        isDone = true;
        changed.notify_all();
    });
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return isDone; });
}

bool Loop::watch(int fd, std::uint32_t events, Handler& handler)
{
    epoll_event event = { .events = events, .data = { .ptr = &handler } };
    return epoll_ctl(m_epoll.value(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void Loop::rewatch(int fd, std::uint32_t events, Handler& handler)
{
    epoll_event event = { .events = events, .data = { .ptr = &handler } };
    epoll_ctl(m_epoll.value(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd) { epoll_ctl(m_epoll.value(), EPOLL_CTL_DEL, fd, nullptr); }

void Loop::defer(Handler& handler)
{
    if (handler.m_isDeferred)
        return;
    handler.m_isDeferred = true;
    m_deferred.push_back(&handler);
}

void Loop::undefer(Handler& handler)
{
    if (handler.m_isDeferred)
        std::replace(m_deferred.begin(), m_deferred.end(), &handler, static_cast<Handler*>(nullptr));
}

void Loop::dispose(std::unique_ptr<Handler> handler)
{
    handler->m_isDisposed = true;
    m_disposed.push_back(std::move(handler));
}

Loop::TimerId Loop::callAt(TimePoint due, std::function<void()> task)
{
    const TimerId id = ++m_lastTimer;
    m_timers.emplace(std::pair(due, id), std::move(task));
    m_dueById.emplace(id, due);
    return id;
}

void Loop::cancel(TimerId id)
{
    const auto it = m_dueById.find(id);
    if (it == m_dueById.end())
        return;
    m_timers.erase({ it->second, id });
    m_dueById.erase(it);
}

void Loop::run()
{
    m_threadId = std::this_thread::get_id();
    beginWork();
    std::array<epoll_event, eventsAtOnce> events {};
    while (!m_isStopping) {
        const TimePoint now = endWork();
        const int n = epoll_wait(m_epoll.value(), events.data(), events.size(), waitMs(now));
        beginWork();
        for (int i = 0; i < n; ++i) {
            auto* handler = static_cast<Handler*>(events[i].data.ptr);
            if (!handler) {
                eventfd_t count = 0;
                eventfd_read(m_wakeup.value(), &count);
                continue;
            }
            if (!handler->m_isDisposed)
                handler->onReady(events[i].events);
            runDeferred();
        }
        runTimers();
        runPosted();
        m_disposed.clear();
    }
    runPosted();
    m_disposed.clear();
}

void Loop::beginWork()
{
    m_polledAt = steadyNow();
    m_busySince = m_polledAt.time_since_epoch().count();
}

TimePoint Loop::endWork()
{
    const TimePoint now = steadyNow();
    m_busy += (now - m_polledAt).count();
    m_busySince = 0;
    return now;
}

Duration Loop::busyTime() const
{
    const TimePoint::rep since = m_busySince;
    const Duration running = since ? steadyNow() - TimePoint(TimePoint::duration(since)) : Duration::zero();
    return Duration(m_busy) + running;
}

int Loop::waitMs(TimePoint now) const
{
    if (m_timers.empty())
        return longestWaitMs;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first.first - now);
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, longestWaitMs));
}

void Loop::runDeferred()
{
    // What is called may put off more.
    for (std::size_t i = 0; i < m_deferred.size(); ++i) {
        Handler* handler = m_deferred[i];
        if (!handler)
            continue;
        handler->m_isDeferred = false;
        if (!handler->m_isDisposed)
            handler->onDeferred();
    }
    m_deferred.clear();
}

void Loop::runTimers()
{
    // Not by the clock of now: a round may take longer than a timeout, and what came in the meantime is only handled in
    // the next one. A router that lags would end its calls though their answers are there.
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_polledAt) {
        const auto it = m_timers.begin();
        m_dueById.erase(it->first.second);
        const auto task = std::move(it->second);
        m_timers.erase(it);
        task();
        runDeferred();
    }
}

void Loop::runPosted()
{
    for (;;) {
        std::vector<std::function<void()>> tasks;
        {
            std::lock_guard lock(m_mutex);
            tasks.swap(m_posted);
        }
        if (tasks.empty())
            return;
        for (const auto& it : tasks) {
            it();
            runDeferred();
        }
    }
}

} // namespace sagechute::net
