#include "peer/PeerRecord.h"

#include <algorithm>

namespace sagechute::peer {
namespace {

    constexpr Duration kFirstDelay = std::chrono::milliseconds(100);
    constexpr Duration kLongestDelay = std::chrono::seconds(2);

} // namespace

void Backoff::failed(TimePoint now, double fraction)
{
    m_delay = std::clamp(m_delay * 2, kFirstDelay, kLongestDelay);
    // Jitter keeps many peers of one restarted VM from connecting in step.
    const auto jittered = static_cast<Duration::rep>(static_cast<double>(m_delay.count()) * (0.5 + fraction / 2));
    m_notBefore = now + Duration(jittered);
}

void PeerRecord::add(std::string message)
{
    m_waitingBytes += message.size();
    m_waiting.push_back(std::move(message));
}

void PeerRecord::clearWaiting()
{
    m_waiting.clear();
    m_waitingBytes = 0;
}

std::size_t PeerRecord::queuedBytes() const
{
    std::size_t bytes = m_waitingBytes;
    for (const StreamConnection* it : m_connections)
        bytes += it->pendingBytes();
    return bytes;
}

void PeerRecord::attach(StreamConnection& connection, TimePoint now, Duration holdMost)
{
    for (StreamConnection* it : m_connections)
        it->check(now);
    m_connections.push_back(&connection);
    m_checkedSince = now;
    m_holdUntil = now + holdMost;
}

void PeerRecord::detach(const StreamConnection& connection) { std::erase(m_connections, &connection); }

std::vector<StreamConnection*> PeerRecord::candidates() const
{
    std::vector<StreamConnection*> found;
    for (StreamConnection* it : m_connections) {
        if (it->state() == ConnectionState::Established && isCurrent(*it))
            found.push_back(it);
    }
    return found;
}

bool PeerRecord::isPreferred(const StreamConnection& left, const StreamConnection& right) const
{
    if (left.role() == right.role())
        return left.establishedAt() > right.establishedAt();
    const bool peerIsSmaller = m_vm < left.self().vm;
    return (left.role() == ConnectionRole::Acceptor) == peerIsSmaller;
}

StreamConnection* PeerRecord::sender(TimePoint now) const
{
    const bool isHeld = std::any_of(m_connections.begin(), m_connections.end(),
        [this](const StreamConnection* it) { return isCurrent(*it) && it->mayHoldMessages(); });
    if (isHeld)
        return nullptr;
    const auto found = candidates();
    if (found.empty() || (found.size() > 1 && now < m_holdUntil))
        return nullptr;
    return *std::min_element(
        found.begin(), found.end(), [this](const auto* left, const auto* right) { return isPreferred(*left, *right); });
}

bool PeerRecord::wantsConnection(TimePoint now) const
{
    if (isConnecting || address.empty() || m_waiting.empty() || !backoff.mayTry(now))
        return false;
    return std::none_of(m_connections.begin(), m_connections.end(), [this](const StreamConnection* it) {
        return isCurrent(*it) && (it->state() == ConnectionState::Established || it->mayHoldMessages());
    });
}

void PeerRecord::settle(TimePoint now)
{
    if (m_connections.size() < 2)
        return;
    const auto found = candidates();
    const auto answered = [this](const StreamConnection* it) { return it->answeredSince(m_checkedSince); };
    if (found.size() < 2 || !std::all_of(found.begin(), found.end(), answered))
        return;
    const StreamConnection* kept = *std::min_element(
        found.begin(), found.end(), [this](const auto* left, const auto* right) { return isPreferred(*left, *right); });
    for (StreamConnection* it : found) {
        if (it == kept || it->role() != ConnectionRole::Opener)
            continue;
        it->end(now);
        it->flush(now);
    }
}

void PeerRecord::drainTo(StreamConnection& connection, TimePoint now)
{
    for (const std::string& message : m_waiting)
        connection.queue(message, now);
    clearWaiting();
    connection.flush(now);
}

} // namespace sagechute::peer
