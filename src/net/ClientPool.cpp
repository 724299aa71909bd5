#include "net/ClientPool.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace sagechute::net {

namespace {

    /// Idle connections are looked at so often; one is never taken when it is too old.
    constexpr Duration sweepInterval = std::chrono::seconds(1);

    /// From this time since the loop asked the kernel last, a pooled connection is asked itself whether it has been
    /// closed.
    constexpr Duration staleAfter = std::chrono::milliseconds(2);

    constexpr std::string_view stopDetail = "the client stops";

} // namespace

ClientPool::ClientPool(Loop& loop, const ClientOptions& options)
    : m_loop(loop)
    , m_options(options)
{
    m_sweepTimer = m_loop.callAt(steadyNow() + sweepInterval, [this] { sweep(); });
}

ClientPool::~ClientPool()
{
    m_isStopping = true;
    m_loop.cancel(m_sweepTimer);
    // A sink may start another transfer from its end, hence the loop.
    do {
        runCommands();
        while (!m_transfers.empty())
            end(m_transfers.begin()->first, { TransferEnd::Cancelled, 0, std::string(stopDetail) });
    } while (!m_inbox.empty());
    while (!m_connections.empty())
        forget(*m_connections.begin()->first);
    m_loop.undefer(*this);
}

void ClientPool::start(TransferId id, ClientRequest request, std::unique_ptr<TransferSink> sink)
{
    post({ &ClientPool::startNow, id, std::make_unique<ClientTransfer>(id, std::move(request), std::move(sink)) });
}

void ClientPool::cancel(TransferId id) { post({ &ClientPool::cancelNow, id, nullptr }); }

void ClientPool::resume(TransferId id) { post({ &ClientPool::resumeNow, id, nullptr }); }

void ClientPool::post(Command command)
{
    bool wasEmpty = false;
    {
        std::lock_guard lock(m_mutex);
        wasEmpty = m_inbox.empty();
        m_inbox.push_back(std::move(command));
    }
    if (m_loop.isOwnThread())
        m_loop.defer(*this);
    else if (wasEmpty)
        m_loop.post([this] { runCommands(); });
}

void ClientPool::runCommands()
{
    {
        std::lock_guard lock(m_mutex);
        m_commands.swap(m_inbox);
    }
    for (Command& it : m_commands) {
        if (it.transfer)
            m_transfers[it.id].transfer = std::move(it.transfer);
        (this->*it.action)(it.id);
    }
    m_commands.clear();
}

void ClientPool::startNow(TransferId id)
{
    if (m_isStopping)
        return;
    Running& running = m_transfers.at(id);
    ClientTransfer& transfer = *running.transfer;
    if (const absl::Status status = transfer.prepare(); !status.ok()) {
        end(id, { TransferEnd::NothingSent, 0, std::string(status.message()) });
        return;
    }
    transfer.lastByteAt = steadyNow();
    if (const auto timeout = transfer.request().totalTimeout; timeout.count())
        transfer.totalTimer = m_loop.callAt(
            transfer.lastByteAt + timeout, [this, id] { timeOut(id, "the time for the whole transfer has passed"); });
    if (transfer.request().silenceTimeout.count())
        armSilence(transfer);
    begin(running);
}

void ClientPool::cancelNow(TransferId id) { end(id, { TransferEnd::Cancelled, 0, "cancelled" }); }

void ClientPool::resumeNow(TransferId id)
{
    const auto it = m_transfers.find(id);
    if (it != m_transfers.end() && it->second.connection)
        it->second.connection->resume();
}

void ClientPool::begin(Running& running)
{
    if (ClientConnection* idle = takeIdle(*running.transfer)) {
        running.connection = idle;
        idle->carry(*running.transfer);
        return;
    }
    connect(running);
}

void ClientPool::connect(Running& running)
{
    ClientTransfer& transfer = *running.transfer;
    int error = 0;
    auto connection = ClientConnection::connect(*this, transfer.endpoint(), error);
    if (!connection) {
        const TransferEnd how = transfer.mayHaveLeft ? TransferEnd::BrokenAfterSend : TransferEnd::NothingSent;
        end(transfer.id(), { how, 0, std::generic_category().message(error), error == ECONNREFUSED });
        return;
    }
    running.connection = connection.get();
    m_connections.emplace(connection.get(), std::move(connection));
    running.connection->carry(transfer);
}

ClientConnection* ClientPool::takeIdle(const ClientTransfer& transfer)
{
    if (transfer.request().freshConnection)
        return nullptr;
    const auto found = m_idle.find(toString(transfer.endpoint()));
    if (found == m_idle.end())
        return nullptr;
    const TimePoint now = steadyNow();
    std::vector<ClientConnection*>& idle = found->second;
    for (std::size_t i = idle.size(); i-- > 0;) {
        ClientConnection* connection = idle[i];
        if (!transfer.mayUse(connection->id()))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        --m_idleCount;
        const Duration most = std::min<Duration>(m_options.pooledConnectionMaxIdle, connection->idleLimit);
        const bool isStale = now - connection->idleSince > most;
        const bool mayBeClosed = now - m_loop.polledAt() > staleAfter && connection->hasSpoken();
        if (!isStale && !mayBeClosed)
            return connection;
        forget(*connection);
    }
    return nullptr;
}

void ClientPool::keep(ClientConnection& connection)
{
    if (m_isStopping || m_idleCount >= m_options.maxPooledConnections) {
        forget(connection);
        return;
    }
    connection.idleSince = steadyNow();
    m_idle[toString(connection.endpoint())].push_back(&connection);
    ++m_idleCount;
}

void ClientPool::removeIdle(ClientConnection& connection)
{
    const auto it = m_idle.find(toString(connection.endpoint()));
    if (it != m_idle.end())
        m_idleCount -= std::erase(it->second, &connection);
}

void ClientPool::drop(ClientConnection& connection)
{
    removeIdle(connection);
    forget(connection);
}

void ClientPool::forget(ClientConnection& connection)
{
    connection.close();
    const auto it = m_connections.find(&connection);
    m_loop.dispose(std::move(it->second));
    m_connections.erase(it);
}

void ClientPool::ended(ClientConnection& connection, ClientTransfer& transfer, TransferResult result, bool isReusable)
{
    if (isReusable)
        result.pooledConnection = connection.id();
    connection.release();
    m_transfers.at(transfer.id()).connection = nullptr;
    if (isReusable)
        keep(connection);
    else
        forget(connection);
    end(transfer.id(), result);
}

bool ClientPool::repeats(ClientConnection& connection, ClientTransfer& transfer)
{
    // A server closes an idle connection without a word; the request that crosses that is lost, and the server has most
    // likely not seen it. Whoever may not risk that it has sets sendOnce.
    const bool mayRepeat = connection.isUsed() && !transfer.hasHead && !transfer.hasBeenRepeated;
    if (!mayRepeat || (transfer.request().sendOnce && transfer.mayHaveLeft))
        return false;
    transfer.hasBeenRepeated = true;
    connection.release();
    forget(connection);
    connect(m_transfers.at(transfer.id()));
    return true;
}

void ClientPool::end(TransferId id, const TransferResult& result)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    const Running running = std::move(it->second);
    m_transfers.erase(it);
    m_loop.cancel(running.transfer->totalTimer);
    m_loop.cancel(running.transfer->silenceTimer);
    if (running.connection) {
        running.connection->release();
        forget(*running.connection);
    }
    running.transfer->sink().end(result);
}

void ClientPool::timeOut(TransferId id, std::string_view detail)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    const ClientTransfer& transfer = *it->second.transfer;
    const TransferEnd how = transfer.mayHaveLeft ? TransferEnd::TimedOut : TransferEnd::NothingSent;
    end(id, { how, transfer.status, std::string(detail) });
}

void ClientPool::armSilence(ClientTransfer& transfer)
{
    const TimePoint from = transfer.isPaused ? steadyNow() : transfer.lastByteAt;
    transfer.silenceTimer
        = m_loop.callAt(from + transfer.request().silenceTimeout, [this, id = transfer.id()] { checkSilence(id); });
}

void ClientPool::checkSilence(TransferId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    ClientTransfer& transfer = *it->second.transfer;
    const bool isSilent
        = !transfer.isPaused && steadyNow() - transfer.lastByteAt >= Duration(transfer.request().silenceTimeout);
    if (isSilent)
        timeOut(id, "no byte of the answer arrived for the longest allowed time");
    else
        armSilence(transfer);
}

void ClientPool::sweep()
{
    const TimePoint now = steadyNow();
    std::vector<ClientConnection*> old;
    for (const auto& [endpoint, connections] : m_idle) {
        for (ClientConnection* it : connections) {
            if (now - it->idleSince > std::min<Duration>(m_options.pooledConnectionMaxIdle, it->idleLimit))
                old.push_back(it);
        }
    }
    for (ClientConnection* it : old)
        drop(*it);
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
    m_sweepTimer = m_loop.callAt(now + sweepInterval, [this] { sweep(); });
}

} // namespace sagechute::net
