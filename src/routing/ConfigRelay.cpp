#include "routing/ConfigRelay.h"

namespace sagechute::routing {

namespace {

    /// Maximum size of the records sent to a peer in one message; a peer that is further behind gets a snapshot.
    constexpr std::size_t maxRelayedBytes = 256 << 10;

} // namespace

ConfigRelay::ConfigRelay(const RouterSettings& settings, const membership::MembershipView& view, Outbox& outbox)
    : m_settings(settings)
    , m_view(view)
    , m_outbox(outbox)
{
}

void ConfigRelay::tick(TimePoint now, LogOffset have, Random& random)
{
    std::vector<VmId> ahead;
    for (const membership::Member& it : m_view.members) {
        if (it.state == membership::MemberState::Alive && it.summary.configOffset > have
            && it.summary.life.vm != m_settings.life.vm)
            ahead.push_back(it.summary.life.vm);
    }
    if (ahead.empty()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince || m_offsetWhenBehind != have) {
        m_behindSince = now;
        m_offsetWhenBehind = have;
        m_nextPull = now + m_settings.configPullDelay;
    }
    if (now < m_nextPull)
        return;
    m_nextPull = now + m_settings.configPullDelay; // The next attempt may pick another peer.
    m_outbox.message(
        m_view, ahead[random.below(ahead.size())], Purpose::Configuration, wire::ConfigPullMessage { have });
}

void ConfigRelay::answerPull(const config::ConfigReplica& replica, const VmId& from, LogOffset after)
{
    if (replica.offset() <= after)
        return;
    if (auto records = replica.recordsAfter(after, maxRelayedBytes); records && !records->empty())
        m_outbox.message(m_view, from, Purpose::Configuration, wire::ConfigRecordsMessage { std::move(*records) });
    else
        m_outbox.message(m_view, from, Purpose::Configuration, wire::ConfigSnapshotMessage { replica.snapshot() });
}

} // namespace sagechute::routing
