#include <sagechute/Net.h>

#include <algorithm>
#include <string>

namespace sagechute::net {

namespace {

    constexpr std::size_t receiveBufferBytes = 8 << 10;
    constexpr std::size_t sendBufferBytes = 64 << 10;

    /// A receive buffer, which the kernel makes twice as large, and the connection itself.
    constexpr std::size_t connectionBytes = 2 * receiveBufferBytes + (2 << 10);
    constexpr std::size_t leastConnections = 16;

} // namespace

bool ByteBudget::reserve(std::size_t bytes)
{
    if (m_reserved.fetch_add(bytes) + bytes <= m_limit)
        return true;
    m_reserved -= bytes;
    return false;
}

bool ByteReservation::resize(std::size_t bytes)
{
    if (!m_budget)
        return true;
    if (bytes > m_bytes && !m_budget->reserve(bytes - m_bytes))
        return false;
    if (bytes < m_bytes)
        m_budget->release(m_bytes - bytes);
    m_bytes = bytes;
    return true;
}

void ServerOptions::limitMemory(std::size_t bytes)
{
    const std::size_t sixteenth = bytes / 16;
    bodyBudget = std::make_shared<ByteBudget>(4 * sixteenth);
    headBudget = std::make_shared<ByteBudget>(2 * sixteenth);
    answerBudget = std::make_shared<ByteBudget>(2 * sixteenth);
    this->receiveBufferBytes = net::receiveBufferBytes;
    this->sendBufferBytes = net::sendBufferBytes;
    const std::size_t most = std::max(leastConnections, 3 * sixteenth / connectionBytes);
    maxConnections = static_cast<unsigned>(std::min<std::size_t>(maxConnections, most));
}

void ServerOptions::limitConnections(std::size_t connections, std::size_t maxDescriptors)
{
    maxConnections = static_cast<unsigned>(std::min(connections, maxDescriptors / 4 * 3));
}

absl::Status checkBodyLimit(std::size_t maxBodyBytes, std::size_t memoryBytes)
{
    // A body in chunks needs its old and its new memory when it grows for the last time.
    const std::size_t needed = maxBodyBytes / 2 * 3;
    const std::size_t available = memoryBytes / 16 * 4;
    if (needed <= available)
        return absl::OkStatus();
    return makeError(ErrorKind::BadRequest,
        "--max-body-bytes is " + std::to_string(maxBodyBytes) + ", and bodies may take " + std::to_string(available)
            + " bytes, a quarter of --memory-mb",
        "Raise --memory-mb, or set --max-body-bytes to at most " + std::to_string(available / 3 * 2));
}

} // namespace sagechute::net
