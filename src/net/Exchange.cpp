#include "net/Exchange.h"

#include "net/FreeText.h"
#include "net/Loop.h"
#include "net/ServerConnection.h"

#include <algorithm>

namespace sagechute::net {

namespace {

    void callAll(const std::vector<std::function<void()>>& listeners)
    {
        for (const auto& listener : listeners)
            listener();
    }

} // namespace

Exchange::Exchange(
    ServerRequest request, RequestMemory memory, ServerConnection& connection, Loop& loop, std::size_t bufferBytes)
    : m_request(std::move(request))
    , m_memory(std::move(memory))
    , m_loop(loop)
    , m_bufferBytes(bufferBytes)
    , m_connection(&connection)
{
}

void Exchange::wake()
{
    if (m_loop.isOwnThread()) {
        m_connection->schedule();
        return;
    }
    if (m_isPosted)
        return;
    m_isPosted = true;
    m_loop.post([self = shared_from_this()] {
        std::lock_guard lock(self->m_mutex);
        self->m_isPosted = false;
        if (self->m_connection)
            self->m_connection->schedule();
    });
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

void Exchange::startRaw()
{
    std::lock_guard lock(m_mutex);
    if (isOver() || m_phase != Phase::Unanswered)
        return;
    m_phase = Phase::Streaming;
    m_isRaw = true;
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
    return m_queue.size();
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
    std::lock_guard lock(m_mutex);
    if (isOver())
        return false;
    return !m_loop.isOwnThread() || m_connection->isPeerThere();
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
    if (m_phase == Phase::Unanswered)
        return Next::Wait;
    if (m_isRaw)
        return Next::SendRaw;
    response = std::move(m_response);
    return m_phase == Phase::Whole ? Next::SendWhole : Next::SendStream;
}

void Exchange::moveQueued(std::string& bytes)
{
    bytes.clear();
    if (m_queue.size() <= m_bufferBytes) {
        // The memory goes back and forth, so that a stream of many events allocates few times.
        bytes.swap(m_queue);
        return;
    }
    bytes.assign(m_queue, 0, m_bufferBytes);
    m_queue.erase(0, m_bufferBytes);
}

Exchange::StreamState Exchange::takeQueued(std::string& bytes)
{
    std::shared_ptr<const std::function<void()>> listener;
    StreamState state = StreamState::Open;
    {
        std::lock_guard lock(m_mutex);
        if (m_gone || m_phase == Phase::Aborted)
            return StreamState::Aborted;
        if (m_phase == Phase::Finished)
            state = StreamState::Finished;
        const std::size_t before = m_queue.size();
        moveQueued(bytes);
        if (!m_queue.empty())
            state = StreamState::Open;
        // Also when the queue has run empty: a writer whose own limit is below the mark would never be told otherwise.
        const std::size_t mark = m_bufferBytes / 2;
        const bool isDrained = before && m_queue.size() <= mark && (before > mark || m_queue.empty());
        if (isDrained && m_phase == Phase::Streaming)
            listener = m_drainedListener;
    }
    if (listener)
        (*listener)();
    return state;
}

std::size_t Exchange::queuedBytes()
{
    std::lock_guard lock(m_mutex);
    return m_queue.size();
}

bool Exchange::isAborted()
{
    std::lock_guard lock(m_mutex);
    return m_phase == Phase::Aborted;
}

void Exchange::callerGone()
{
    std::vector<std::function<void()>> listeners;
    std::shared_ptr<const std::function<void()>> drainedListener;
    {
        std::lock_guard lock(m_mutex);
        if (isOver())
            return;
        m_gone = true;
        m_queue.clear();
        listeners.swap(m_closedListeners);
        drainedListener.swap(m_drainedListener);
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
        isLost = !wholly && !isOver() && m_phase != Phase::Aborted;
        m_detached = true;
        m_connection = nullptr;
        freeText(m_queue);
        m_gone = m_gone || isLost;
        listeners.swap(m_closedListeners);
        drainedListener.swap(m_drainedListener);
    }
    if (isLost)
        callAll(listeners);
}

} // namespace sagechute::net
