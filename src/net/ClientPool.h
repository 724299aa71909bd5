#pragma once

#include "net/ClientConnection.h"

#include <unordered_map>

namespace sagechute::net {

/// A client's part on one loop: its transfers, and the connections that are kept for the next ones.
class ClientPool final : public Loop::Handler {
public:
    ClientPool(Loop&, const ClientOptions&);

    /// Ends all transfers as Cancelled. On the loop's thread.
    ~ClientPool() override;

    // Any thread. What is asked for is done after the present step of the loop: a sink is never called back from here.
    void start(TransferId, ClientRequest, std::unique_ptr<TransferSink>);
    void cancel(TransferId);
    void resume(TransferId);

    // For connections, on the loop's thread.
    Loop& loop() const { return m_loop; }

    /// A transfer has ended on a connection. @param isReusable whether the connection may carry another.
    void ended(ClientConnection&, ClientTransfer&, TransferResult, bool isReusable);

    /// A transfer's connection has broken. @return whether it is sent again on a new one.
    bool repeats(ClientConnection&, ClientTransfer&);

    /// An idle connection is of no use any more.
    void drop(ClientConnection&);

private:
    using Action = void (ClientPool::*)(TransferId);

    struct Command {
        Action action = nullptr;
        TransferId id = 0;
        std::unique_ptr<ClientTransfer> transfer; ///< Of a start.
    };

    /// A transfer and where it runs.
    struct Running {
        std::unique_ptr<ClientTransfer> transfer;
        ClientConnection* connection = nullptr; ///< Null before it has one.
    };

    void onReady(std::uint32_t) override { }
    void onDeferred() override { runCommands(); }

    void post(Command);
    void runCommands();
    void startNow(TransferId);
    void cancelNow(TransferId);
    void resumeNow(TransferId);

    void begin(Running&);
    void connect(Running&);
    ClientConnection* takeIdle(const ClientTransfer&);
    void keep(ClientConnection&);
    void removeIdle(ClientConnection&);
    void forget(ClientConnection&);
    void end(TransferId, const TransferResult&);
    void timeOut(TransferId, std::string_view detail);
    void armSilence(ClientTransfer&);
    void checkSilence(TransferId);
    void sweep();

    Loop& m_loop;
    const ClientOptions m_options;

    std::mutex m_mutex;
    std::vector<Command> m_inbox;

    // The loop's thread only.
    std::vector<Command> m_commands; ///< Kept for its memory.
    std::unordered_map<TransferId, Running> m_transfers;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> m_connections;
    std::unordered_map<std::string, std::vector<ClientConnection*>> m_idle; ///< By endpoint; the last used is the last.
    std::size_t m_idleCount = 0;
    Loop::TimerId m_sweepTimer = 0;
    bool m_isStopping = false;
};

} // namespace sagechute::net
