#include "net/CurlWorker.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>

namespace sagechute::net {

namespace {

    constexpr std::size_t maxSpareHandles = 256;
    constexpr std::string_view stopDetail = "the client stops";
    constexpr std::chrono::milliseconds longestWait { 60'000 };

    absl::Status resourceError()
    {
        return makeError(ErrorKind::Internal,
            "Cannot start an HTTP client thread: no file descriptor or memory is left",
            "Raise the limit of open files of this process (ulimit -n)");
    }

    /// An error or a hang-up counts as readable and writable: libcurl then reads what still came before it, and finds
    /// the error by itself. Its own flag for errors would make it drop an answer that has already arrived.
    int curlEvents(std::uint32_t events)
    {
        int selected = 0;
        if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
            selected |= CURL_CSELECT_IN;
        if (events & (EPOLLOUT | EPOLLHUP | EPOLLERR))
            selected |= CURL_CSELECT_OUT;
        return selected;
    }

} // namespace

absl::StatusOr<std::unique_ptr<CurlWorker>> CurlWorker::make(const ClientOptions& options)
{
    MultiHandle multi(curl_multi_init());
    FileDescriptor epoll(epoll_create1(EPOLL_CLOEXEC));
    FileDescriptor wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    epoll_event event = { .events = EPOLLIN, .data = { .fd = wakeup.value() } };
    if (!multi || !epoll.isOpen() || !wakeup.isOpen()
        || epoll_ctl(epoll.value(), EPOLL_CTL_ADD, wakeup.value(), &event))
        return resourceError();
    return std::unique_ptr<CurlWorker>(new CurlWorker(options, std::move(multi), std::move(epoll), std::move(wakeup)));
}

CurlWorker::CurlWorker(const ClientOptions& options, MultiHandle multi, FileDescriptor epoll, FileDescriptor wakeup)
    : m_options(options)
    , m_epoll(std::move(epoll))
    , m_wakeup(std::move(wakeup))
    , m_multi(std::move(multi))
{
    long pooled = std::max(1U, options.maxPooledConnections / std::max(1U, options.threads));
    curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, pooled);
    curl_multi_setopt(m_multi.get(), CURLMOPT_PIPELINING, long { CURLPIPE_NOTHING });
    curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
    m_thread = std::thread([this] { run(); });
}

void CurlWorker::stop()
{
    if (!m_thread.joinable())
        return;
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    eventfd_write(m_wakeup.value(), 1);
    m_thread.join();
}

void CurlWorker::start(TransferId id, ClientRequest request, std::unique_ptr<TransferSink> sink)
{
    auto arguments = std::make_unique<StartArguments>(StartArguments { std::move(request), std::move(sink) });
    post({ &CurlWorker::startNow, id, std::move(arguments) });
}

void CurlWorker::cancel(TransferId id) { post({ &CurlWorker::cancelNow, id, nullptr }); }

void CurlWorker::resume(TransferId id) { post({ &CurlWorker::resumeNow, id, nullptr }); }

void CurlWorker::post(Command command)
{
    std::unique_lock lock(m_mutex);
    if (m_stopped) {
        lock.unlock();
        if (command.arguments)
            command.arguments->sink->end({ TransferEnd::Cancelled, 0, std::string(stopDetail) });
        return;
    }
    bool wasEmpty = m_inbox.empty();
    m_inbox.push_back(std::move(command));
    lock.unlock();
    // One wake-up for all that gathers until the worker looks.
    if (wasEmpty)
        eventfd_write(m_wakeup.value(), 1);
}

bool CurlWorker::runCommands()
{
    bool goesOn = true;
    {
        std::lock_guard lock(m_mutex);
        m_running.swap(m_inbox);
        goesOn = !m_stopping;
    }
    for (auto& command : m_running)
        (this->*command.action)(command);
    m_running.clear();
    return goesOn;
}

void CurlWorker::run()
{
    while (runCommands()) {
        handleSockets(waitTime());
        handleTimer();
        collectEnded();
        handleSilence();
    }
    cancelAll();
}

void CurlWorker::startNow(Command& command)
{
    EasyHandle handle;
    if (m_spareHandles.empty()) {
        handle = CurlTransfer::makeHandle(m_options);
    } else {
        handle = std::move(m_spareHandles.back());
        m_spareHandles.pop_back();
    }
    auto owner = std::make_unique<CurlTransfer>(
        command.id, std::move(command.arguments->request), std::move(command.arguments->sink), std::move(handle));
    auto& transfer = *owner;
    m_transfers.emplace(command.id, std::move(owner));
    if (!transfer.prepare()) {
        finish(transfer, CURLE_FAILED_INIT);
        return;
    }
    if (transfer.silenceDue() != TimePoint::max())
        m_silenceChecks.push({ transfer.silenceDue(), command.id });
    curl_multi_add_handle(m_multi.get(), transfer.handle());
}

void CurlWorker::cancelNow(Command& command)
{
    if (auto* transfer = find(command.id))
        finishEarly(*transfer, TransferEnd::Cancelled, "cancelled");
}

void CurlWorker::resumeNow(Command& command)
{
    auto* transfer = find(command.id);
    if (!transfer)
        return;
    auto code = transfer->resume();
    if (code != CURLE_OK)
        finish(*transfer, code);
}

std::chrono::milliseconds CurlWorker::waitTime() const
{
    auto due = m_timerDue;
    if (!m_silenceChecks.empty())
        due = std::min(due, m_silenceChecks.top().due);
    if (due == TimePoint::max())
        return longestWait;
    auto left = std::chrono::ceil<std::chrono::milliseconds>(due - steadyNow());
    return std::clamp(left, std::chrono::milliseconds(0), longestWait);
}

void CurlWorker::handleSockets(std::chrono::milliseconds most)
{
    std::array<epoll_event, 256> events = {};
    int n = epoll_wait(m_epoll.value(), events.data(), events.size(), static_cast<int>(most.count()));
    for (int i = 0; i < n; ++i) {
        const auto& event = events[i];
        if (event.data.fd == m_wakeup.value()) {
            eventfd_t count = 0;
            eventfd_read(m_wakeup.value(), &count);
            continue;
        }
        int running = 0;
        curl_multi_socket_action(m_multi.get(), event.data.fd, curlEvents(event.events), &running);
    }
}

void CurlWorker::handleTimer()
{
    if (m_timerDue > steadyNow())
        return;
    m_timerDue = TimePoint::max();
    int running = 0;
    curl_multi_socket_action(m_multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
}

void CurlWorker::handleSilence()
{
    auto now = steadyNow();
    while (!m_silenceChecks.empty() && m_silenceChecks.top().due <= now) {
        auto check = m_silenceChecks.top();
        m_silenceChecks.pop();
        auto* transfer = find(check.id);
        if (!transfer)
            continue;
        auto due = transfer->silenceDue();
        if (due > now) {
            m_silenceChecks.push({ due, check.id });
            continue;
        }
        auto end = transfer->hasSentNothing() ? TransferEnd::NothingSent : TransferEnd::TimedOut;
        finishEarly(*transfer, end, "no byte of the answer arrived for the longest allowed time");
    }
}

void CurlWorker::collectEnded()
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(m_multi.get(), &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto code = message->data.result;
        char* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish(*reinterpret_cast<CurlTransfer*>(transfer), code);
    }
}

CurlTransfer* CurlWorker::find(TransferId id) const
{
    auto it = m_transfers.find(id);
    return it == m_transfers.end() ? nullptr : it->second.get();
}

void CurlWorker::finish(CurlTransfer& transfer, CURLcode code)
{
    curl_multi_remove_handle(m_multi.get(), transfer.handle());
    transfer.end(code);
    retire(transfer);
}

void CurlWorker::finishEarly(CurlTransfer& transfer, TransferEnd end, std::string_view detail)
{
    // This also closes the connection, since its answer hasn't been read to the end.
    curl_multi_remove_handle(m_multi.get(), transfer.handle());
    transfer.endEarly(end, detail);
    retire(transfer);
}

void CurlWorker::retire(CurlTransfer& transfer)
{
    auto handle = transfer.takeHandle();
    if (handle && m_spareHandles.size() < maxSpareHandles) {
        // These pointed into the transfer.
        curl_easy_setopt(handle.get(), CURLOPT_ERRORBUFFER, nullptr);
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, nullptr);
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, nullptr);
        curl_easy_setopt(handle.get(), CURLOPT_REQUEST_TARGET, nullptr);
        m_spareHandles.push_back(std::move(handle));
    }
    m_transfers.erase(transfer.id());
}

void CurlWorker::cancelAll()
{
    // A sink may start another transfer from its end, hence the loop.
    do {
        runCommands();
        while (!m_transfers.empty())
            finishEarly(*m_transfers.begin()->second, TransferEnd::Cancelled, stopDetail);
    } while (!closeInbox());
}

bool CurlWorker::closeInbox()
{
    std::lock_guard lock(m_mutex);
    m_stopped = m_inbox.empty();
    return m_stopped;
}

int CurlWorker::onSocket(CURL*, curl_socket_t fd, int what, void* self, void* known)
{
    auto& worker = *static_cast<CurlWorker*>(self);
    if (what == CURL_POLL_REMOVE || what == CURL_POLL_NONE) {
        epoll_ctl(worker.m_epoll.value(), EPOLL_CTL_DEL, fd, nullptr);
        curl_multi_assign(worker.m_multi.get(), fd, nullptr);
        return 0;
    }
    epoll_event event = { .events = 0, .data = { .fd = fd } };
    if (what & CURL_POLL_IN)
        event.events |= EPOLLIN;
    if (what & CURL_POLL_OUT)
        event.events |= EPOLLOUT;
    if (epoll_ctl(worker.m_epoll.value(), known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) == 0)
        curl_multi_assign(worker.m_multi.get(), fd, self);
    return 0;
}

int CurlWorker::onTimer(CURLM*, long timeoutMs, void* self)
{
    auto& worker = *static_cast<CurlWorker*>(self);
    worker.m_timerDue = timeoutMs < 0 ? TimePoint::max() : steadyNow() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

} // namespace sagechute::net
