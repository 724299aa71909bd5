#pragma once

#include "net/AckWatch.h"
#include "net/ClientTransfer.h"

namespace sagechute::net {

class ClientPool;

/// One connection to a server. Carries one transfer at a time; between them it waits in the pool.
class ClientConnection final : public Loop::Handler, private AnswerSink {
public:
    /// Begins to connect.
    /// @return null, with @p error, an errno, set, where not even that is possible.
    static std::unique_ptr<ClientConnection> connect(ClientPool&, const Endpoint&, int& error);

    ~ClientConnection() override;

    ConnectionId id() const { return m_id; }
    const Endpoint& endpoint() const { return m_endpoint; }
    bool isUsed() const { return m_isUsed; } ///< A transfer has ended on it.

    /// Carries a transfer; its request leaves at once on a connection that is open already.
    void carry(ClientTransfer&);

    /// @return whether the server has closed it, or said something unasked, since it was last used.
    bool hasSpoken() const;

    /// Goes on reading after the sink had refused bytes.
    void resume();

    /// Its transfer has ended, or goes on elsewhere.
    void release();

    /// Closes it without a word to its transfer.
    void close();

    TimePoint idleSince {};
    Duration idleLimit = Duration::max(); ///< As the server told.

private:
    ClientConnection(ClientPool&, Endpoint, FileDescriptor);

    void onReady(std::uint32_t events) override;
    void onDeferred() override { }
    void onAnswerHead(int status, const std::vector<Field>&) override;
    bool onAnswerBody(std::string_view) override;

    void connected();
    void send();
    void watchAcknowledgements();
    void armAckTimer(TimePoint now);
    void checkAcknowledgements();
    void receive();
    void takeBytes(std::string_view);
    void takeEnd();
    void complete(bool hasMore);
    /// @param rejectReason see TransferResult.
    void fail(bool isTimeout, const std::string& detail, std::string_view rejectReason = {});
    void setEvents(std::uint32_t);

    ClientPool& m_pool;
    const ConnectionId m_id;
    const Endpoint m_endpoint;
    FileDescriptor m_fd;
    bool m_isRefused = false;
    std::uint32_t m_events = 0;
    bool m_isConnected = false;
    bool m_isUsed = false;
    bool m_isClosed = false;
    bool m_hasSendFailed = false;
    Loop::TimerId m_connectTimer = 0;
    Loop::TimerId m_ackTimer = 0;

    ClientTransfer* m_transfer = nullptr;
    std::size_t m_sent = 0;
    std::optional<AckWatch> m_ackWatch; ///< Of the transfer's request.
    std::optional<AnswerReader> m_reader;
    std::string m_pending; ///< Read, and not taken by the reader.
    std::size_t m_interimBytes = 0; ///< Of interim answers to the current request.
    bool m_isPaused = false; ///< The sink refused bytes.
};

} // namespace sagechute::net
