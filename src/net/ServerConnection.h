#pragma once

#include "net/Exchange.h"
#include "net/HttpReader.h"
#include "net/Loop.h"
#include "net/ReadAhead.h"
#include "net/YieldOrder.h"

#include <algorithm>

namespace sagechute::net {

class LoopServer;

/// One caller's connection: reads requests one after the other, hands each to the handler, and writes its answer.
class ServerConnection final : public Loop::Handler {
public:
    ServerConnection(LoopServer&, FileDescriptor, std::string peerAddress);
    ~ServerConnection() override;

    const std::string& peerAddress() const { return m_peerAddress; }

    /// There is something to write.
    void schedule();

    /// @return false when the caller has ended the connection. What it did until the loop last asked the kernel is
    ///         known without a system call; only a loop that lags asks again.
    bool isPeerThere() const;

    /// @param idleLimit the server's limit at this time. A higher one applies at once, a lower one only from the next
    ///        request on: callers reuse a connection within the time that was in force when they last used it.
    void raiseIdleLimit(Duration idleLimit) { m_idleLimit = std::max(m_idleLimit, idleLimit); }

    /// Called a few times within the idle limit. @return whether the connection is to be closed for taking too long.
    bool isOverdue(TimePoint now) const;

    /// Closes the connection if it is still overdue once what the kernel has ready for it has been read or written: a
    /// server that was held up hasn't been told of that yet.
    void closeOverdue();

    /// Closes the connection and tells whoever waits for the exchange.
    void abandon(CloseReason);

    const YieldOrder::Place& place() const { return m_place; }

    /// Closes the connection for the sake of another one, unless what the kernel has ready completes its request.
    void yieldPlace();

    /// Closes the connection for the sake of another one's memory.
    void yieldMemory() { abandon(CloseReason::Yielded); }

    /// Gives up the memory of the body that is read; the request is then refused at its end.
    void yieldBody();

private:
    void onReady(std::uint32_t events) override;
    void onDeferred() override;

    void readSome(bool peerEnds);

    /// @return how many bytes were taken; more are needed for the others, or a request is served.
    std::size_t takeBytes(std::string_view, bool peerEnds);
    void takeAhead(bool peerEnds);
    bool readRequest(std::string_view&, bool peerEnds);

    /// Makes room for a body before the next @p n bytes of the connection are read into it.
    void prepareBody(std::size_t n);
    void holdBody();

    /// Counts what has been read and not been given to the handler.
    void holdHead();

    /// Counts what the caller has not taken of its answer.
    void holdAnswer();
    void updateStanding();
    void dispatch();
    void refuse(ReadProblem);
    void refuseForMemory();
    void answerOnItsOwn(const absl::Status&);
    void discard(std::size_t n);

    void writeAnswer();
    bool beginAnswer();
    bool fillStream();
    void appendHead(const ServerResponse&, bool isStream);
    bool isStuck() const { return m_outStart < m_out.size(); }
    void flush();
    void breakOff();
    void endAnswer();
    void beginLinger();
    void setEvents(std::uint32_t);
    CloseReason overdueReason() const;
    void lose();
    void close(CloseReason);
    bool hasBytesInKernel() const;

    LoopServer& m_server;
    FileDescriptor m_fd;
    const std::string m_peerAddress;
    std::uint32_t m_events = 0;

    // Reading.
    std::optional<RequestReader> m_reader;
    ReadAhead m_ahead;
    TimePoint m_readingSince;
    TimePoint m_lastByteAt;
    Duration m_idleLimit; ///< In force since the last request.
    bool m_hasInvited = false; ///< The body was asked for by an interim answer.
    std::optional<RequestMemory> m_memory; ///< Of the request that is being read, and of m_ahead.
    YieldOrder::Place m_place;

    // The request that is served.
    std::shared_ptr<Exchange> m_exchange;
    bool m_isHead = false;
    bool m_keepsConnection = true;
    bool m_isOldVersion = false;

    // Writing.
    bool m_isStreaming = false;
    bool m_isChunked = false;
    bool m_isWhole = false; ///< All of the answer is in m_out.
    bool m_wasServed = false; ///< The last request was answered, and not with a failure.
    ByteReservation m_answerMemory; ///< Of what the caller has not taken.
    std::string m_out;
    std::size_t m_outStart = 0;
    TimePoint m_stalledSince; ///< While the caller takes nothing of m_out.
    std::string m_piece; ///< Kept for its memory.
    bool m_isRefused = false; ///< What still comes is dropped: it can't be told where a request begins.
    bool m_isLingering = false; ///< All is said; the caller is waited for to close.
    std::size_t m_lingerBytes = 0;
    bool m_isClosed = false;
};

} // namespace sagechute::net
