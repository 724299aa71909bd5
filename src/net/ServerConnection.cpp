#include "net/ServerConnection.h"

#include "core/Concat.h"
#include "net/ConnectionEnd.h"
#include "net/FreeText.h"
#include "net/LoopServer.h"

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sagechute::net {

namespace {

    constexpr std::uint32_t readEvents = EPOLLIN | EPOLLRDHUP;

    /// A caller that is being refused may go on sending for so long, and as much as two bodies may have and this: were
    /// the connection closed at once, the kernel would reset it and the refusal might be lost on its way.
    constexpr Duration lingerTime = std::chrono::seconds(2);
    constexpr std::size_t mostLingerBytes = 256 << 10;

    /// Buffers of a connection up to this size are kept for its next answer.
    constexpr std::size_t mostKeptBytes = 16 << 10;

    /// A handler that waits for its answer needs its request's head about as often again, in other forms.
    constexpr std::size_t headForms = 2;

    /// After a refusal for want of memory.
    constexpr std::string_view retryAfterSeconds = "1";
    constexpr int unavailable = 503;
    constexpr int firstFailure = 400;

    /// From this time on the loop lags so much that what the kernel said last may be wrong.
    constexpr Duration staleAfter = std::chrono::milliseconds(20);

    constexpr int noContent = 204;
    constexpr int notModified = 304;

    std::string_view reasonOf(int status)
    {
        const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
        return { reason.data(), reason.size() };
    }

    bool hasLineBreak(const Field& field)
    {
        constexpr std::string_view forbidden("\r\n\0", 3);
        return field.name.empty() || field.name.find_first_of(forbidden) != std::string::npos
            || field.value.find_first_of(forbidden) != std::string::npos;
    }

    void appendNumber(std::string& text, std::uint64_t number, int base)
    {
        std::array<char, 24> buf {};
        const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), number, base).ptr;
        text.append(buf.data(), end);
    }

    bool asksForClose(const std::vector<Field>& fields)
    {
        const auto value = findField(fields, "Connection");
        return value && isSameName(*value, "close");
    }

    absl::Status errorOf(ReadProblem problem, std::size_t mostBodyBytes)
    {
        switch (problem) {
        case ReadProblem::AmbiguousLength:
            return makeError(ErrorKind::BadRequest, "The request announces the length of its body in more than one way",
                "Send either one Content-Length or Transfer-Encoding");
        case ReadProblem::BodyTooLarge:
            return makeError(ErrorKind::TooLarge,
                concat("The request's body is larger than the ", mostBodyBytes, " bytes allowed here"),
                "Send a smaller body, or ask the operators to raise the limit");
        case ReadProblem::HeadersTooLarge:
            return makeError(
                ErrorKind::TooLarge, "The request's headers are too large", "Send fewer or shorter headers");
        case ReadProblem::FramingTooLarge:
            return makeError(ErrorKind::BadRequest,
                concat("The head of a chunk, or the trailers, exceed ", maxFramingBytes, " bytes"),
                "Send fewer or shorter chunk extensions and trailers");
        case ReadProblem::Malformed:
        case ReadProblem::SinkIsFull:
        case ReadProblem::None:
            break;
        }
        return makeError(ErrorKind::BadRequest, "The request is no HTTP/1.1", "Send a request as RFC 9112 has it");
    }

} // namespace

std::string_view toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Idle:
        return "idle";
    case CloseReason::SlowRequest:
        return "slow-request";
    case CloseReason::SlowReader:
        return "slow-reader";
    case CloseReason::CallerEnded:
        return "caller-ended";
    case CloseReason::Aborted:
        return "aborted";
    case CloseReason::Answered:
        return "answered";
    case CloseReason::Yielded:
        return "yielded";
    case CloseReason::Stopped:
        return "stopped";
    }
    return "";
}

ServerConnection::ServerConnection(LoopServer& server, FileDescriptor fd, std::string peerAddress)
    : m_server(server)
    , m_fd(std::move(fd))
    , m_peerAddress(std::move(peerAddress))
    , m_readingSince(steadyNow())
    , m_lastByteAt(m_readingSince)
    , m_idleLimit(server.idleLimit())
    , m_answerMemory(server.options().answerBudget)
{
    m_memory.emplace(server.options());
    m_server.order().add(m_place, *this, m_readingSince);
    m_events = readEvents;
    m_server.loop().watch(m_fd.value(), m_events, *this);
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::schedule() { m_server.loop().defer(*this); }

bool ServerConnection::isPeerThere() const
{
    if (m_isClosed)
        return false;
    return steadyNow() - m_server.loop().polledAt() < staleAfter || !hasEnded(m_fd.value());
}

bool ServerConnection::isOverdue(TimePoint now) const
{
    if (m_isLingering)
        return now - m_lastByteAt > lingerTime;
    if (isStuck())
        return now - m_stalledSince > m_server.options().stalledAnswerTimeout;
    if (m_exchange)
        return false; // Its answer is awaited.
    if (m_reader)
        return now - m_lastByteAt > m_idleLimit || now - m_readingSince > 2 * m_idleLimit;
    return now - m_lastByteAt > m_idleLimit;
}

void ServerConnection::closeOverdue()
{
    if (m_isClosed)
        return;
    const bool wasStuck = isStuck();
    if (wasStuck) {
        flush();
        schedule(); // More may have been queued while the caller didn't read.
    } else if (hasBytesInKernel()) {
        readSome(hasEnded(m_fd.value()));
    }
    if (m_isClosed || !isOverdue(steadyNow()) || (!wasStuck && hasBytesInKernel()))
        return;
    abandon(overdueReason());
}

CloseReason ServerConnection::overdueReason() const
{
    if (m_isLingering)
        return CloseReason::Answered;
    if (isStuck())
        return CloseReason::SlowReader;
    return m_reader ? CloseReason::SlowRequest : CloseReason::Idle;
}

void ServerConnection::abandon(CloseReason reason)
{
    if (m_exchange)
        m_exchange->callerGone();
    close(reason);
}

void ServerConnection::onReady(std::uint32_t events)
{
    if (m_isClosed)
        return;
    const bool peerEnds = events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR);
    if ((events & EPOLLERR) || ((events & EPOLLHUP) && !(events & EPOLLIN))) {
        lose();
        return;
    }
    if (events & EPOLLOUT) {
        flush();
        if (m_isClosed)
            return;
        schedule(); // More may have been queued while the caller didn't read.
    }
    if (m_exchange && peerEnds) {
        lose();
        return;
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
        readSome(peerEnds);
}

void ServerConnection::yieldPlace()
{
    if (!isStuck() && hasBytesInKernel())
        readSome(hasEnded(m_fd.value()));
    if (!m_isClosed && (!m_exchange || isStuck()))
        abandon(CloseReason::Yielded);
}

void ServerConnection::yieldBody()
{
    m_reader->dropBody();
    m_memory->body.release();
    updateStanding();
}

void ServerConnection::readSome(bool peerEnds)
{
    if (m_exchange) {
        // What is sent behind a request that is served stays in the kernel, whose buffer is bounded.
        setEvents(m_events & ~EPOLLIN);
        return;
    }
    auto& buf = m_server.loop().buffer();
    const ssize_t n = recv(m_fd.value(), buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        lose();
        return;
    }
    m_lastByteAt = steadyNow();
    if (m_isRefused) {
        discard(static_cast<std::size_t>(n));
        return;
    }
    std::string_view bytes(buf.data(), static_cast<std::size_t>(n));
    if (m_ahead.isEmpty()) {
        bytes.remove_prefix(takeBytes(bytes, peerEnds));
        if (!m_isClosed && !m_isRefused && !bytes.empty())
            m_ahead.append(bytes);
        holdHead();
    } else {
        m_ahead.append(bytes);
        takeAhead(peerEnds);
    }
    updateStanding();
}

void ServerConnection::discard(std::size_t n)
{
    m_lingerBytes += n;
    if (m_lingerBytes > mostLingerBytes + 2 * m_server.maxBodyBytes())
        close(CloseReason::Answered);
}

std::size_t ServerConnection::takeBytes(std::string_view bytes, bool peerEnds)
{
    const std::size_t n = bytes.size();
    while (!bytes.empty() && !m_exchange && !m_isClosed && !m_isRefused) {
        if (!readRequest(bytes, peerEnds))
            break;
    }
    return n - bytes.size();
}

void ServerConnection::takeAhead(bool peerEnds)
{
    const std::size_t n = takeBytes(m_ahead.bytes(), peerEnds);
    if (!m_isClosed && !m_isRefused)
        m_ahead.remove(n);
    holdHead();
}

bool ServerConnection::readRequest(std::string_view& bytes, bool peerEnds)
{
    if (!m_reader) {
        m_reader.emplace(m_server.maxBodyBytes());
        m_readingSince = m_lastByteAt;
        m_hasInvited = false;
    }
    if (m_reader->hasHead())
        prepareBody(bytes.size());
    bytes.remove_prefix(m_reader->take(bytes));
    if (m_reader->problem() != ReadProblem::None) {
        refuse(m_reader->problem());
        return false;
    }
    if (m_reader->hasHead())
        holdBody();
    if (!m_reader->isDone()) {
        if (m_reader->hasHead() && m_reader->expectsContinue() && !m_hasInvited) {
            m_hasInvited = true;
            m_out += "HTTP/1.1 100 Continue\r\n\r\n";
            flush();
        }
        return false;
    }
    if (peerEnds) {
        // The caller left before its request could be read: when the queue of new connections overflows, the kernel
        // lets one in seconds later.
        close(CloseReason::CallerEnded);
        return false;
    }
    dispatch();
    return true;
}

void ServerConnection::prepareBody(std::size_t n)
{
    const std::size_t held = m_reader->bodyMemory();
    const std::size_t grown = m_reader->bodyMemoryAfter(n);
    // The old memory is there until its bytes have moved into the new.
    if (grown > held && m_server.reserve(Resource::Bodies, m_memory->body, held + grown, *this))
        m_reader->allocateBody(grown);
    else if (grown > held)
        yieldBody();
}

void ServerConnection::holdBody()
{
    const std::size_t bytes = m_reader->bodyMemory();
    if (!m_server.reserve(Resource::Bodies, m_memory->body, bytes, *this))
        yieldBody();
    else if (bytes)
        m_reader->allocateBody(bytes);
}

void ServerConnection::holdHead()
{
    if (m_isClosed || m_isRefused)
        return;
    if (m_reader && m_reader->hasHead() && m_ahead.bytes().size() > maxFramingBytes) {
        refuse(ReadProblem::FramingTooLarge);
        return;
    }
    const std::size_t bytes = m_ahead.memory() + (m_reader ? m_reader->headMemory() : 0);
    if (!m_server.reserve(Resource::Heads, m_memory->head, bytes, *this) && !m_exchange)
        refuseForMemory();
}

void ServerConnection::holdAnswer()
{
    const std::size_t bytes = m_out.capacity() + (m_exchange ? m_exchange->queuedBytes() : 0);
    if (!m_server.reserve(Resource::Answers, m_answerMemory, bytes, *this))
        abandon(CloseReason::SlowReader);
}

void ServerConnection::updateStanding()
{
    if (m_isClosed || m_isLingering)
        return;
    Standing standing = m_place.standing;
    if (isStuck())
        standing = Standing::Stuck;
    else if (m_exchange)
        standing = Standing::Busy;
    else if (m_reader && m_reader->isBodyDropped())
        standing = Standing::InDroppedBody;
    else if (m_reader)
        standing = m_reader->hasHead() ? Standing::InBody : Standing::InHead;
    m_server.order().move(m_place, standing, m_lastByteAt);
}

void ServerConnection::dispatch()
{
    m_keepsConnection = m_reader->keepsConnection() && !m_reader->isOldVersion();
    m_isOldVersion = m_reader->isOldVersion();
    ServerRequest request = m_reader->takeRequest();
    m_reader.reset();
    m_idleLimit = m_server.idleLimit();
    m_isHead = request.method == "HEAD";
    request.peerAddress = m_peerAddress;
    // The decoded path would end at a zero byte for whoever reads it as a C string: "/public%00/x" as "/public".
    if (request.rawTarget.find("%00") != std::string::npos) {
        answerOnItsOwn(makeError(
            ErrorKind::BadRequest, "The request's address contains a zero byte", "Send the address without %00"));
        return;
    }
    decodeTarget(request);
    if (!m_server.reserve(Resource::Heads, m_memory->head, headForms * headMemory(request), *this)) {
        refuseForMemory();
        return;
    }
    m_exchange = std::make_shared<Exchange>(
        std::move(request), std::move(*m_memory), *this, m_server.loop(), m_server.options().streamBufferBytes);
    m_memory.emplace(m_server.options());
    m_server.handle(m_exchange);
    schedule();
}

void ServerConnection::refuse(ReadProblem problem) { answerOnItsOwn(errorOf(problem, m_server.maxBodyBytes())); }

void ServerConnection::refuseForMemory()
{
    answerOnItsOwn(makeError(ErrorKind::QueueFull, "No memory is left for the request",
        concat("Send it again after ", retryAfterSeconds, " s")));
}

void ServerConnection::answerOnItsOwn(const absl::Status& error)
{
    // Where the next request begins isn't known for certain any more.
    m_isRefused = true;
    m_keepsConnection = false;
    m_isHead = false;
    m_reader.reset();
    m_memory.emplace(m_server.options());
    ServerResponse response = errorResponse(error);
    const auto& fields = m_server.options().refusalFields;
    response.headers.insert(response.headers.end(), fields.begin(), fields.end());
    if (response.status == unavailable)
        response.headers.push_back({ "Retry-After", std::string(retryAfterSeconds) });
    appendHead(response, false);
    m_out += response.body;
    m_isWhole = true;
    flush();
}

void ServerConnection::onDeferred()
{
    if (!m_isClosed && m_exchange)
        writeAnswer();
}

void ServerConnection::writeAnswer()
{
    // Bytes of a stream are taken when those before have left, so that a slow caller's queue stays with the writer.
    if (isStuck()) {
        if (!m_isWhole && m_exchange->isAborted())
            breakOff();
        else
            holdAnswer();
        return;
    }
    if (!m_isWhole && !m_isStreaming && !beginAnswer())
        return;
    if (m_isStreaming && !m_isWhole && !fillStream())
        return;
    // The end of an answer may add no bytes.
    if (m_out.empty() && !m_isWhole)
        return;
    flush();
    if (m_exchange && m_isStreaming && m_out.empty())
        schedule(); // A long queue is taken in parts.
}

bool ServerConnection::beginAnswer()
{
    ServerResponse response;
    switch (m_exchange->takeReply(response)) {
    case Exchange::Next::Wait:
        return false;
    case Exchange::Next::Close:
        close(CloseReason::Aborted);
        return false;
    case Exchange::Next::SendWhole:
        m_wasServed = response.status < firstFailure;
        appendHead(response, false);
        if (!m_isHead) {
            m_out.reserve(m_out.size() + response.body.size());
            m_out += response.body;
        }
        m_isWhole = true;
        return true;
    case Exchange::Next::SendStream:
        m_wasServed = response.status < firstFailure;
        m_isChunked = !m_isOldVersion;
        appendHead(response, true);
        m_isStreaming = true;
        return true;
    case Exchange::Next::SendRaw:
        m_isChunked = false;
        m_keepsConnection = false;
        m_isStreaming = true;
        return true;
    }
    return false;
}

bool ServerConnection::fillStream()
{
    const Exchange::StreamState state = m_exchange->takeQueued(m_piece);
    if (state == Exchange::StreamState::Aborted) {
        breakOff();
        return false;
    }
    if (!m_piece.empty() && !m_isHead) {
        if (m_isChunked) {
            appendNumber(m_out, m_piece.size(), 16);
            m_out += "\r\n";
        }
        m_out += m_piece;
        if (m_isChunked)
            m_out += "\r\n";
    }
    if (m_piece.capacity() > mostKeptBytes)
        freeText(m_piece);
    if (state == Exchange::StreamState::Finished) {
        if (m_isChunked && !m_isHead)
            m_out += "0\r\n\r\n";
        m_isWhole = true;
    }
    return true;
}

void ServerConnection::breakOff()
{
    if (!m_isChunked) {
        // Without chunks the end of the connection is the end of the answer; only a reset looks broken.
        const linger reset { 1, 0 };
        setsockopt(m_fd.value(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close(CloseReason::Aborted);
}

void ServerConnection::appendHead(const ServerResponse& response, bool isStream)
{
    m_out += "HTTP/1.1 ";
    appendNumber(m_out, static_cast<unsigned>(response.status), 10);
    m_out += ' ';
    m_out += reasonOf(response.status);
    m_out += "\r\n";
    for (const Field& field : response.headers) {
        // A line break in a value would let somebody's text add a header.
        if (hasLineBreak(field) || isSameName(field.name, "Content-Length"))
            continue;
        m_out += field.name;
        m_out += ": ";
        m_out += field.value;
        m_out += "\r\n";
    }
    const bool hasOwnClose = asksForClose(response.headers);
    m_keepsConnection = m_keepsConnection && !hasOwnClose;
    if (!m_keepsConnection && !hasOwnClose)
        m_out += "Connection: close\r\n";
    const bool hasBody = response.status != noContent && response.status != notModified;
    if (isStream && m_isChunked) {
        m_out += "Transfer-Encoding: chunked\r\n";
    } else if (!isStream && hasBody) {
        m_out += "Content-Length: ";
        appendNumber(m_out, response.body.size(), 10);
        m_out += "\r\n";
    }
    m_out += "\r\n";
}

void ServerConnection::flush()
{
    bool hasProgressed = false;
    while (m_outStart < m_out.size()) {
        const ssize_t n
            = send(m_fd.value(), m_out.data() + m_outStart, m_out.size() - m_outStart, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN) {
            if (!(m_events & EPOLLOUT))
                m_stalledSince = steadyNow();
            setEvents(m_events | EPOLLOUT);
            if (hasProgressed || m_place.standing != Standing::Stuck)
                m_server.order().renew(m_place, Standing::Stuck, m_stalledSince);
            holdAnswer();
            return;
        }
        if (n < 0) {
            lose();
            return;
        }
        m_stalledSince = steadyNow();
        hasProgressed = true;
        m_outStart += static_cast<std::size_t>(n);
    }
    if (m_out.capacity() > mostKeptBytes)
        freeText(m_out);
    m_out.clear();
    m_outStart = 0;
    m_answerMemory.release();
    setEvents(m_events & ~EPOLLOUT);
    if (m_isWhole)
        endAnswer();
    else
        updateStanding();
}

void ServerConnection::endAnswer()
{
    m_isWhole = false;
    m_isStreaming = false;
    if (m_exchange) {
        m_exchange->detach(true);
        m_exchange.reset();
        m_server.finished();
    }
    if (!m_keepsConnection) {
        beginLinger();
        return;
    }
    m_lastByteAt = steadyNow();
    setEvents(m_events | EPOLLIN);
    m_server.order().renew(m_place, m_wasServed ? Standing::Kept : Standing::Silent, m_lastByteAt);
    if (m_ahead.isEmpty())
        return;
    takeAhead(false);
    updateStanding();
}

void ServerConnection::beginLinger()
{
    m_isRefused = true;
    m_isLingering = true;
    m_lastByteAt = steadyNow();
    m_ahead.clear();
    m_server.order().renew(m_place, Standing::Lingering, m_lastByteAt);
    shutdown(m_fd.value(), SHUT_WR);
    setEvents(readEvents);
}

void ServerConnection::setEvents(std::uint32_t events)
{
    if (events == m_events)
        return;
    m_events = events;
    m_server.loop().rewatch(m_fd.value(), m_events, *this);
}

void ServerConnection::lose() { abandon(CloseReason::CallerEnded); }

bool ServerConnection::hasBytesInKernel() const
{
    int n = 0;
    return ioctl(m_fd.value(), FIONREAD, &n) == 0 && n > 0;
}

void ServerConnection::close(CloseReason reason)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    if (const auto& onClose = m_server.options().onClose)
        onClose({ reason, m_exchange ? &m_exchange->request() : nullptr,
            !m_isRefused && (!m_ahead.isEmpty() || hasBytesInKernel()) });
    if (m_exchange) {
        const auto exchange = std::move(m_exchange);
        exchange->detach(false);
        m_server.finished();
    }
    m_server.loop().unwatch(m_fd.value());
    m_fd = FileDescriptor();
    m_server.order().remove(m_place);
    // Whoever closes it for memory needs that now; the connection itself is freed later.
    m_reader.reset();
    m_ahead.clear();
    freeText(m_out);
    m_outStart = 0;
    m_memory.reset();
    m_answerMemory.release();
    m_server.closed(*this);
}

} // namespace sagechute::net
