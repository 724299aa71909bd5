#include "net/Exchange.h"

#include "net/ConnectionEnd.h"

#include <algorithm>
#include <cstring>

#include <microhttpd.h>

namespace sagechute::net {

namespace {

    /// Taken bytes at the front of the queue are removed once they are this many and at least half of it.
    constexpr std::size_t compactBytes = 16 << 10;

    void callAll(const std::vector<std::function<void()>>& listeners)
    {
        for (const auto& listener : listeners)
            listener();
    }

} // namespace

Exchange::Exchange(ServerRequest request, MHD_Connection* connection, std::size_t drainMark)
    : m_request(std::move(request))
    , m_drainMark(drainMark)
    , m_connection(connection)
{
}

void Exchange::wake()
{
    if (!m_suspended)
        return;
    m_suspended = false;
    MHD_resume_connection(m_connection);
}

void Exchange::suspend()
{
    m_suspended = true;
    MHD_suspend_connection(m_connection);
}

void Exchange::respond(ServerResponse response)
{
    std::lock_guard lock(m_mutex);
    if (isOver() || m_phase != Phase::Unanswered)
        return;
    m_phase = Phase::Whole;
    m_response = std::move(response);
    wake();
}

void Exchange::startStream(int status, std::vector<Field> headers)
{
    std::lock_guard lock(m_mutex);
    if (isOver() || m_phase != Phase::Unanswered)
        return;
    m_phase = Phase::Streaming;
    m_response = { status, std::move(headers), {} };
    wake();
}

std::size_t Exchange::write(std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    if (isOver() || m_phase != Phase::Streaming)
        return 0;
    m_queue += bytes;
    if (!bytes.empty())
        wake();
    return queued();
}

void Exchange::finish()
{
    std::lock_guard lock(m_mutex);
    if (isOver() || m_phase != Phase::Streaming)
        return;
    m_phase = Phase::Finished;
    wake();
}

void Exchange::abort()
{
    std::lock_guard lock(m_mutex);
    if (isOver())
        return;
    m_phase = Phase::Aborted;
    wake();
}

bool Exchange::isCallerThere()
{
    // Under the mutex, so that the connection isn't given back meanwhile.
    std::lock_guard lock(m_mutex);
    if (isOver())
        return false;
    return !hasEnded(MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
}

void Exchange::onDrained(std::function<void()> listener)
{
    std::lock_guard lock(m_mutex);
    if (!isOver())
        m_drainedListener = std::make_shared<const std::function<void()>>(std::move(listener));
}

void Exchange::onClosed(std::function<void()> listener)
{
    {
        std::lock_guard lock(m_mutex);
        if (!isOver()) {
            m_closedListeners.push_back(std::move(listener));
            return;
        }
        if (!m_gone)
            return;
    }
    listener();
}

Exchange::Next Exchange::takeReply(ServerResponse& response)
{
    std::lock_guard lock(m_mutex);
    if (m_gone || m_phase == Phase::Aborted)
        return Next::Close;
    if (m_phase == Phase::Unanswered) {
        suspend();
        return Next::Wait;
    }
    response = std::move(m_response);
    m_handedOver = m_phase == Phase::Whole;
    return m_handedOver ? Next::SendWhole : Next::SendStream;
}

std::size_t Exchange::takeQueued(char* buf, std::size_t most)
{
    auto n = std::min(most, queued());
    std::memcpy(buf, m_queue.data() + m_queueStart, n);
    m_queueStart += n;
    if (m_queueStart == m_queue.size()) {
        m_queue.clear();
        m_queueStart = 0;
    } else if (m_queueStart >= compactBytes && m_queueStart >= m_queue.size() / 2) {
        m_queue.erase(0, m_queueStart);
        m_queueStart = 0;
    }
    return n;
}

ssize_t Exchange::read(char* buf, std::size_t most)
{
    std::shared_ptr<const std::function<void()>> listener;
    std::size_t n = 0;
    {
        std::lock_guard lock(m_mutex);
        if (m_gone || m_phase == Phase::Aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        auto before = queued();
        if (!before && m_phase == Phase::Finished) {
            m_handedOver = true;
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (!before) {
            suspend();
            return 0;
        }
        n = takeQueued(buf, most);
        // Also when the queue has run empty: a writer whose own limit is below the mark would otherwise never be told.
        bool isDrained = queued() <= m_drainMark && (before > m_drainMark || !queued());
        if (isDrained)
            listener = m_drainedListener;
    }
    if (listener)
        (*listener)();
    return static_cast<ssize_t>(n);
}

void Exchange::callerGone()
{
    std::vector<std::function<void()>> listeners;
    std::shared_ptr<const std::function<void()>> drainedListener;
    {
        std::lock_guard lock(m_mutex);
        // A caller may close as soon as it has the last byte, and the watcher may see that before the HTTP thread has
        // noted the end. Without the check, callers with their whole answer would count as having left. A break from
        // here on is noticed by libmicrohttpd, and comes as detach().
        if (isOver() || m_handedOver)
            return;
        m_gone = true;
        m_queue.clear();
        m_queueStart = 0;
        listeners.swap(m_closedListeners);
        drainedListener.swap(m_drainedListener);
        wake();
    }
    callAll(listeners);
}

void Exchange::detach(bool wholly)
{
    // Dropped even when they aren't called: they usually hold this exchange, which would then never be freed.
    std::vector<std::function<void()>> listeners;
    std::shared_ptr<const std::function<void()>> drainedListener;
    bool isLost = false;
    {
        std::lock_guard lock(m_mutex);
        m_detached = true;
        m_suspended = false;
        m_connection = nullptr;
        m_queue = {};
        m_queueStart = 0;
        isLost = !wholly && m_phase != Phase::Aborted;
        m_gone = m_gone || isLost;
        listeners.swap(m_closedListeners);
        drainedListener.swap(m_drainedListener);
    }
    if (isLost)
        callAll(listeners);
}

} // namespace sagechute::net
