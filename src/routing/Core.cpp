#include "routing/Core.h"

#include <algorithm>

namespace sagechute::routing {

namespace {

    /// Targets per cell when the fleet resource does not set the number of cells. Small cells spread the messages of a
    /// pool over many owners; docs/design/fairness.md shows how the cost grows.
    constexpr std::size_t targetsPerCell = 2;

    constexpr Duration outcomeExpiryInterval = std::chrono::seconds(1);

    std::unique_ptr<membership::Gossip> makeGossip(const RouterSettings& settings, Random& random)
    {
        membership::MemberSummary self;
        self.life = settings.life;
        self.zone = settings.zone;
        self.gossipAddress = settings.gossipAddress;
        self.peerAddress = settings.peerAddress;
        self.callerAddress = settings.callerAddress;
        membership::GossipSettings gossip = settings.gossip;
        gossip.freshness = settings.freshness;
        return membership::Gossip::make(
            std::move(self), settings.seeds, gossip, std::make_unique<SeededRandom>(random.next()));
    }

    std::vector<VmId> ownersOf(const scheduling::CellMap& map, const PoolId& pool)
    {
        std::set<VmId> owners;
        for (std::uint32_t index = 0; index < map.cellCount(pool); ++index) {
            const std::vector<VmId> ranked = map.owners({ pool, index });
            if (!ranked.empty())
                owners.insert(ranked.front());
        }
        return { owners.begin(), owners.end() };
    }

} // namespace

std::unique_ptr<RouterCore> RouterCore::make(const RouterSettings& settings, std::unique_ptr<Random> random)
{
    return std::make_unique<Core>(settings, std::move(random));
}

Core::Core(const RouterSettings& settings, std::unique_ptr<Random> random)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_gossip(makeGossip(m_settings, *m_random))
    , m_replica(config::ConfigReplica::make())
    , m_config(m_replica->view())
    , m_memory(delivery::OutcomeMemory::make(settings.outcomes, settings.life))
    , m_retries(delivery::RetryBudget::make(settings.retries))
    , m_freshness(m_settings)
    , m_relay(m_settings, m_gossip->view(), m_outbox)
    , m_sessions(*m_memory, m_gossip->view())
    , m_stop(m_settings, m_gossip->view(), m_outbox)
{
    m_settings.cells.policy = m_settings.policy;
}

Actions Core::handle(TimePoint now, Event event)
{
    detectPause(now);
    m_now = now;
    std::visit([&](auto& it) { on(now, it); }, event);
    applyChanges(now);
    return m_outbox.take();
}

// A process that was suspended resumes as if no time had passed and would act on outdated grants and configuration. The
// gap shows in its own clock, since a tick arrives every few tens of milliseconds.
void Core::detectPause(TimePoint now)
{
    if (m_lastHandled != TimePoint::min() && now - m_lastHandled > m_settings.pauseThreshold)
        m_freshness.resumed(now);
    m_lastHandled = now;
}

void Core::applyChanges(TimePoint now)
{
    const auto config = m_replica->view();
    if (config != m_config || m_gossip->view().version != m_viewVersion) {
        m_config = config;
        m_viewVersion = m_gossip->view().version;
        rebuildPools(now);
    }
    for (auto& entry : m_pools)
        entry.second->placeAndGrant(now);
    publishIfChanged(now);
}

void Core::rebuildPools(TimePoint now)
{
    applyMembershipChanges(now);
    const scheduling::CellMap map = buildCellMap();
    for (const PoolId& it : m_config->pools()) {
        auto& pool = m_pools[it];
        if (!pool)
            pool = std::make_unique<PoolRouter>(it, m_settings, m_gossip->view(), m_requests, m_outbox, *this);
    }
    // A pool without resources is kept until its last request has ended; after that it costs nothing.
    m_poolOwners.clear();
    for (auto& entry : m_pools) {
        entry.second->reconfigure(now, *m_config, map);
        m_poolOwners.push_back({ entry.first, ownersOf(map, entry.first) });
    }
}

void Core::applyMembershipChanges(TimePoint now)
{
    for (const membership::Member& it : m_gossip->view().members) {
        const VmId& vm = it.summary.life.vm;
        if (vm == m_settings.life.vm)
            continue;
        const auto known = m_memberLives.find(vm);
        if (known != m_memberLives.end() && known->second != it.summary.life) {
            for (auto& entry : m_pools)
                entry.second->dropRouter(now, known->second, true);
        }
        m_memberLives[vm] = it.summary.life;
        auto [state, added] = m_memberStates.emplace(vm, it.state);
        if (!added && state->second == it.state)
            continue;
        state->second = it.state;
        if (it.state == membership::MemberState::Alive) {
            for (auto& entry : m_pools)
                entry.second->routerRecovered(vm);
            continue;
        }
        const bool permanently = it.state != membership::MemberState::Suspect;
        for (auto& entry : m_pools)
            entry.second->dropRouter(now, it.summary.life, permanently);
        if (permanently) {
            m_links.erase(vm);
            m_outbox.add(ForgetPeer { vm });
            m_outbox.streamDown(vm);
        }
    }
}

std::uint32_t Core::cellCount(const PoolId& pool) const
{
    const std::size_t targets = m_config->targetsOf(pool).size();
    std::size_t cells = m_settings.cellsPerPool ? m_settings.cellsPerPool : m_config->fleet.cellsPerPool;
    if (!cells)
        cells = (targets + targetsPerCell - 1) / targetsPerCell;
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(cells, 1, std::max<std::size_t>(1, targets)));
}

scheduling::CellMap Core::buildCellMap() const
{
    std::vector<scheduling::OwnerCandidate> routers;
    for (const membership::Member& it : m_gossip->view().members) {
        if (it.state == membership::MemberState::Alive && !it.summary.draining
            && !isDeclaredDraining(it.summary.life.vm))
            routers.push_back({ it.summary.life.vm, it.summary.zone });
    }
    std::vector<scheduling::PoolCellCount> counts;
    for (const PoolId& it : m_config->pools())
        counts.push_back({ it, cellCount(it) });
    return scheduling::CellMap::build(routers, counts);
}

bool Core::isDeclaredDraining(const VmId& vm) const
{
    const config::Vm* declared = m_config->findVm(vm);
    return declared && declared->drain;
}

void Core::publishIfChanged(TimePoint now)
{
    const bool draining = m_stop.draining() || isDeclaredDraining(m_settings.life.vm);
    const std::string_view notReady = notReadyReason(now);
    const bool same = m_published && m_published->config == m_config && m_published->draining == draining
        && m_published->notReady == notReady;
    if (same && m_publishedView == m_viewVersion)
        return;
    m_publishedView = m_viewVersion;
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->config = m_config;
    snapshot->self = m_settings.life;
    snapshot->draining = draining;
    snapshot->notReady = notReady;
    if (m_settings.policy != scheduling::Policy::Static)
        snapshot->poolOwners = m_poolOwners;
    for (const membership::Member& it : m_gossip->view().members) {
        const VmId& vm = it.summary.life.vm;
        const bool leaving = it.summary.draining || isDeclaredDraining(vm) || (vm == m_settings.life.vm && draining);
        if (it.state == membership::MemberState::Alive && !leaving)
            snapshot->routers.push_back({ it.summary.life, it.summary.zone, it.summary.callerAddress });
    }
    m_published = snapshot;
    m_outbox.add(Publish { snapshot });
}

std::string_view Core::notReadyReason(TimePoint now) const
{
    if (m_stop.refusesNew())
        return "this router is stopping";
    if (!m_replica->offset())
        return "no configuration has been read yet, neither from the log nor from another router";
    if (!m_freshness.fresh(now, *m_gossip))
        return "this router reaches neither the log nor a majority of the routers";
    return {};
}

bool Core::onMayStart(TimePoint now) const { return m_freshness.fresh(now, *m_gossip); }

bool Core::onReachable(const VmId& vm) const
{
    auto it = m_links.find(vm);
    return it == m_links.end() || !it->second.down;
}

PoolRouter* Core::pool(const PoolId& id)
{
    auto it = m_pools.find(id);
    return it == m_pools.end() ? nullptr : it->second.get();
}

void Core::on(TimePoint now, LogRead& event)
{
    m_freshness.logRead(event.startedAt);
    m_replica->apply(event.records);
    m_gossip->updateSelf(m_stop.draining(), m_replica->offset(), m_freshness.logReachable(now),
        static_cast<std::uint32_t>(m_requests.size()));
}

void Core::on(TimePoint, LogSnapshotRead& event)
{
    if (!m_replica->adopt(event.snapshot).ok())
        ++m_undecodable;
}

void Core::on(TimePoint, LogReadFailed&) { }

void Core::on(TimePoint, PrefixChanged& event)
{
    for (auto& entry : m_pools)
        entry.second->prefixChanged(event.target, event.prefix, event.stored);
}

void Core::on(TimePoint, PrefixesUnknown& event)
{
    for (auto& entry : m_pools)
        entry.second->prefixesUnknown(event.target);
}

void Core::on(TimePoint now, StopRequested&)
{
    m_stop.begin(now, m_config->fleet.locateKeep);
    m_gossip->updateSelf(
        true, m_replica->offset(), m_freshness.logReachable(now), static_cast<std::uint32_t>(m_requests.size()));
}

void Core::on(TimePoint now, Tick&)
{
    m_gossip->updateSelf(m_stop.draining(), m_replica->offset(), m_freshness.logReachable(now),
        static_cast<std::uint32_t>(m_requests.size()));
    sendDatagrams(m_gossip->tick(now));
    m_relay.tick(now, m_replica->offset(), *m_random);
    m_freshness.setBehindSince(m_relay.behindSince());
    for (std::uint64_t serial : m_requests.pastDeadline(now)) {
        if (Request* request = m_requests.findSerial(serial))
            failRequest(now, *request, ErrorKind::DeadlineExceeded, "the deadline passed while the request waited",
                "send it again with a later deadline");
    }
    for (std::uint64_t serial : m_requests.backoffEnded(now)) {
        if (Request* request = m_requests.findSerial(serial))
            backoffEnded(now, *request);
    }
    if (m_freshness.isCutOff(now, *m_gossip))
        refuseAllWaiting(now);
    probeLinks(now);
    for (auto& [vm, link] : m_links) {
        if (!link.down || now - link.since < m_settings.ownerTimeout)
            continue;
        link.since = now;
        for (auto& entry : m_pools)
            entry.second->dropRouter(now, m_memberLives[vm], false);
    }
    for (auto& entry : m_pools)
        entry.second->tick(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + outcomeExpiryInterval;
        m_memory->expire(now);
    }
    m_stop.tick(now, m_requests.size(), *m_memory);
    if (m_stop.phase() == StopPhase::Done && !m_exited) {
        m_exited = true;
        sendDatagrams(m_gossip->leave(now));
        m_outbox.add(Exit {});
    }
}

void Core::sendDatagrams(std::vector<membership::Datagram> datagrams)
{
    for (membership::Datagram& it : datagrams)
        m_outbox.add(SendDatagram { std::move(it.address), std::move(it.bytes) });
}

RouterStatus Core::status() const
{
    RouterStatus status;
    status.life = m_settings.life;
    status.zone = m_settings.zone;
    status.configOffset = m_replica->offset();
    status.logReachable = m_freshness.logReachable(m_now);
    status.draining = m_stop.draining();
    status.fresh = m_freshness.fresh(m_now, *m_gossip);
    status.requests = static_cast<std::uint32_t>(m_requests.size());
    status.outcomeEntries = m_memory->entries();
    status.undecodable = m_undecodable;
    status.members = m_gossip->view().members;
    for (const auto& entry : m_pools)
        status.pools.push_back(entry.second->status());
    return status;
}

std::vector<config::Target> Core::ownedTargets() const
{
    std::vector<config::Target> result;
    for (const auto& entry : m_pools) {
        for (const TargetId& it : entry.second->ownedTargets()) {
            if (const config::Target* target = m_config->findTarget(it))
                result.push_back(*target);
        }
    }
    return result;
}

} // namespace sagechute::routing
