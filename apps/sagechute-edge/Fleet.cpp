#include "Fleet.h"

#include <array>
#include <chrono>
#include <random>

namespace sagechute::edge {

namespace {

    constexpr char gossipTag = 'G';
    constexpr char heartbeatTag = 'H';

    /// While requests are in flight, other routers schedule by this router's reports. In 60 ms a whole fleet with 12
    /// engines places about eight requests.
    constexpr Duration directReportInterval = std::chrono::milliseconds(60);

    /// Used in a large fleet, where a report passes up to two relays and costs each one message per router: about 5 %
    /// of a core at 20 routers per zone. Compared with 150 ms, 80 ms saves a fifth of the late answers (64 routers
    /// under heavy load: 3,658 instead of 4,713 late of 63,574).
    constexpr Duration relayedReportInterval = std::chrono::milliseconds(80);

    /// Used with a relay of less than fastRelayCapacity, where the shorter interval would use a large part of its CPU.
    constexpr Duration slowRelayReportInterval = std::chrono::milliseconds(150);
    constexpr std::uint32_t fastRelayCapacity = 400; ///< Thousandths of a core.

    /// Name under which the dispatcher stores a relay's aggregate report on all other routers.
    const VmId aggregateSource { "others" };

    /// Four heartbeats within heartbeatTimeout, so that a router stays in lookup answers when three datagrams in a row
    /// are lost.
    constexpr Duration idleInterval = heartbeatTimeout / 4;

    /// The lower bits of an incarnation are random, so that two incarnations differ even if a clock that was set back
    /// gives them the same millisecond.
    constexpr unsigned randomBits = 16;
    constexpr Incarnation randomMask = (1U << randomBits) - 1;

    /// The dispatcher counts for how long it has not heard of a router, in units of a minute.
    constexpr Duration routerUpdateInterval = std::chrono::seconds(1);

    /// Limit on the names in one log line; when a fleet starts, hundreds of routers join within a second.
    constexpr std::size_t maxListedChanges = 5;

    const char* toString(membership::MemberState state)
    {
        constexpr std::array<const char*, 4> names { "alive", "suspect", "dead", "left" };
        return names.at(static_cast<std::size_t>(state));
    }

    /// @return the routers whose state has changed, as "VM:STATE,... +N"; N is the number of those not listed.
    std::string describeChanges(
        const std::map<VmId, membership::MemberState>& before, const std::map<VmId, membership::MemberState>& after)
    {
        std::string text;
        std::size_t changes = 0;
        for (const auto& [vm, state] : after) {
            const auto it = before.find(vm);
            if (it != before.end() && it->second == state)
                continue;
            if (++changes <= maxListedChanges)
                text += (text.empty() ? "" : ",") + vm.value + ":" + toString(state);
        }
        if (changes > maxListedChanges)
            text += " +" + std::to_string(changes - maxListedChanges);
        return text;
    }

    /// One minute. First increment by which an incarnation overtakes a former one with a larger number; doubled on each
    /// further attempt.
    constexpr Incarnation initialIncarnationStep = Incarnation { 60'000 } << randomBits;

} // namespace

Incarnation generateIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    std::random_device device;
    return ms << randomBits | (device() & randomMask);
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::make(
    EdgeState& state, PeerInbox& inbox, const Options& options, Incarnation incarnation)
{
    std::unique_ptr<Fleet> fleet(new Fleet(state, inbox, options));
    fleet->startGossip(incarnation);
    auto socket = peer::DatagramSocket::make(fleet->m_gossipAddress,
        [raw = fleet.get()](const std::string& from, std::string_view bytes) { raw->receive(from, bytes); });
    if (!socket.ok())
        return socket.status();
    std::lock_guard lock(fleet->m_mutex);
    fleet->m_socket = std::move(*socket);
    return fleet;
}

Fleet::Fleet(EdgeState& state, PeerInbox& inbox, const Options& options)
    : m_state(state)
    , m_inbox(inbox)
    , m_options(options)
    , m_gossipAddress(options.endpointFor(options.gossipPort()))
    , m_incarnationStep(initialIncarnationStep)
{
}

void Fleet::startGossip(Incarnation incarnation)
{
    m_incarnation = incarnation;
    membership::MemberSummary self;
    self.life = { { m_options.vm }, incarnation };
    self.zone = { m_options.zone };
    self.gossipAddress = m_gossipAddress;
    self.peerAddress = m_options.controlListen;
    self.callerAddress = m_options.callersListen;
    self.capacity = m_options.capacity();
    m_gossip = membership::Gossip::make(self, m_options.gossipSeeds(), membership::GossipSettings {},
        std::make_unique<SeededRandom>(std::random_device {}()));
}

void Fleet::tick(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (m_gossip->isSuperseded()) {
        // The clock may have been set back since this VM's former incarnation. Only one process can hold the socket, so
        // this one is the newer whatever the numbers say; it takes a larger number than the former one.
        startGossip(m_incarnation + m_incarnationStep);
        m_incarnationStep *= 2;
        process::log(process::LogLevel::Warning, "incarnation-passed",
            { { "incarnation", std::to_string(m_incarnation) },
                { "reason",
                    "a former incarnation of this VM had a larger number; its clock may have been set back" } });
    }
    m_gossip->updateSelf(m_state.isStopping, m_state.configVersion(), true,
        static_cast<std::uint32_t>(std::max(0, m_state.activeRequests.load())));
    sendGossip(m_gossip->tick(now));
    sendHeartbeats(now);
    logMembershipChanges();
    updateRouters(now);
}

void Fleet::updateRouters(TimePoint now)
{
    const membership::MembershipView& view = m_gossip->view();
    if (view.version == m_toldViewVersion && now < m_nextRouterUpdate)
        return;
    m_toldViewVersion = view.version;
    m_nextRouterUpdate = now + routerUpdateInterval;
    std::vector<VmId> heard;
    std::vector<VmId> left;
    for (const membership::Member& it : view.members) {
        const VmId& vm = it.summary.life.vm;
        if (vm.value == m_options.vm)
            continue;
        if (it.state == membership::MemberState::Alive)
            heard.push_back(vm);
        else if (it.state == membership::MemberState::Left)
            left.push_back(vm);
    }
    m_hasHeardRouters = m_hasHeardRouters || !heard.empty();
    // A router that starts while it is cut off knows of no other. Were it to take itself for the whole fleet, several
    // such routers would together send cold targets more than these tolerate.
    if (!m_hasHeardRouters && !m_options.gossipSeeds().empty())
        return;
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.setRouters(now, heard, left); });
}

void Fleet::sendGossip(const std::vector<membership::Datagram>& datagrams)
{
    for (const membership::Datagram& it : datagrams)
        m_socket->send(it.address, gossipTag + it.bytes);
}

void Fleet::sendHeartbeats(TimePoint now)
{
    if (now < m_nextHeartbeat)
        return;
    const bool isBusy = m_state.activeRequests > 0;
    // One report is sent after the last request has ended, so that the others see that nothing is in flight.
    if (!isBusy && !m_hadActiveRequests && now - m_lastHeartbeat < idleInterval)
        return;
    m_hadActiveRequests = isBusy;
    m_lastHeartbeat = now;
    m_nextHeartbeat = now + reportInterval();
    sendOwnReport(now);
}

Duration Fleet::reportInterval() const
{
    if (m_plan.isDirect)
        return directReportInterval;
    const std::uint32_t capacity = m_plan.relay ? m_plan.relay->capacity : m_options.capacity();
    return capacity >= fastRelayCapacity ? relayedReportInterval : slowRelayReportInterval;
}

Heartbeat Fleet::makeHeartbeat(HeartbeatScope scope) const
{
    return { { { m_options.vm }, m_incarnation, m_options.callersListen, m_options.controlListen, { m_options.zone },
                 m_state.canServe(), m_state.knowledgeForPeers(), m_options.capacity(), m_state.utilizationPercent,
                 scope },
        {}, {}, {}, 0 };
}

std::string Fleet::encodeReport(HeartbeatScope scope, FleetUtilization use, const dispatch::LoadReport& load) const
{
    Heartbeat message = makeHeartbeat(scope);
    message.use = std::move(use);
    message.load = encode(load);
    message.sentAt = unsuspendedNow();
    return encodeCommonPart(message);
}

void Fleet::sendHeartbeat(const RouterAddress& to, std::uint64_t includedSerial, std::string_view shared)
{
    m_socket->send(to.gossipAddress, heartbeatTag + withIncludedSerial(includedSerial, shared));
}

void Fleet::sendOwnReport(TimePoint now)
{
    const dispatch::LoadReport own = m_state.withDispatcher([&](dispatch::Dispatcher& it) { return it.report(now); });
    if (m_plan.isRelay) {
        sendAggregateReports(now, own);
        return;
    }
    m_ownReports.sent(own);
    const std::string shared = encodeReport(HeartbeatScope::Router, {}, own);
    if (m_plan.relay) {
        sendHeartbeat(*m_plan.relay, 0, shared);
        return;
    }
    for (const RouterAddress& it : m_plan.others)
        sendHeartbeat(it, 0, shared);
}

void Fleet::sendAggregateReports(TimePoint now, const dispatch::LoadReport& own)
{
    m_relayReports.setRouterReport(now, { m_options.vm }, own);
    const dispatch::LoadReport zone = m_relayReports.zoneSum(now);
    const std::string toRelays = encodeReport(HeartbeatScope::Zone, localZoneUse(now), zone);
    for (const RouterAddress& it : m_plan.relays)
        sendHeartbeat(it, 0, toRelays);
    dispatch::LoadReport all = m_relayReports.sum(now, zone);
    const std::string toMembers = encodeReport(HeartbeatScope::All, fleetUse(now), all);
    for (const RouterAddress& it : m_plan.others)
        sendHeartbeat(it, m_relayReports.includedSerial(now, it.vm), toMembers);
    subtract(all, own);
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.peerReported(now, aggregateSource, all); });
    m_relayReports.clearForwardedPrompts(now);
    logLateReports(now);
}

void Fleet::logLateReports(TimePoint now)
{
    std::set<std::string> staleSources = m_relayReports.staleSources(now);
    if (staleSources == m_lateReports)
        return;
    std::map<std::string, bool> changed;
    for (const std::string& it : staleSources) {
        if (!m_lateReports.contains(it))
            changed.emplace(it, true);
    }
    for (const std::string& it : m_lateReports) {
        if (!staleSources.contains(it))
            changed.emplace(it, false);
    }
    std::string text;
    std::size_t named = 0;
    for (const auto& [name, isLate] : changed) {
        if (named++ < maxListedChanges)
            text += (text.empty() ? "" : ",") + name + (isLate ? ":late" : ":in-time");
    }
    m_lateReports = std::move(staleSources);
    process::log(process::LogLevel::Info, "reports-left-out",
        { { "count", std::to_string(m_lateReports.size()) }, { "changed", text } });
}

FleetUtilization Fleet::localZoneUse(TimePoint now) const
{
    std::vector<RouterUtilization> routers { { { m_options.vm }, { m_options.zone }, m_options.capacity(),
        m_state.utilizationPercent } };
    for (const Peer& it : m_peerHeartbeats.alive(now, heartbeatTimeout)) {
        if (m_plan.isDirect || it.zone.value == m_options.zone)
            routers.push_back({ it.vm, it.zone, it.capacity, it.utilizationPercent });
    }
    return summarizeUtilization(routers);
}

FleetUtilization Fleet::fleetUse(TimePoint now) const
{
    if (!m_plan.isDirect && !m_plan.isRelay) {
        const std::optional<Peer> relay = m_plan.relay ? m_peerHeartbeats.find(now, m_plan.relay->vm) : std::nullopt;
        return relay ? relay->use : FleetUtilization {};
    }
    FleetUtilization use = localZoneUse(now);
    for (const RouterAddress& it : m_plan.relays) {
        if (const std::optional<Peer> relay = m_peerHeartbeats.find(now, it.vm))
            add(use, relay->use);
    }
    return use;
}

void Fleet::updatePlan()
{
    std::vector<RouterAddress> alive;
    for (const membership::Member& it : m_gossip->view().members) {
        const bool isThere = it.state == membership::MemberState::Alive || it.state == membership::MemberState::Suspect;
        if (isThere)
            alive.push_back({ it.summary.life.vm, it.summary.zone, it.summary.gossipAddress, it.summary.capacity });
    }
    m_plan = planReports(alive, { m_options.vm });
}

void Fleet::receive(const std::string& from, std::string_view bytes)
{
    if (bytes.empty())
        return;
    const char tag = bytes.front();
    bytes.remove_prefix(1);
    if (tag == heartbeatTag) {
        receiveHeartbeat(bytes);
        return;
    }
    std::lock_guard lock(m_mutex);
    if (m_socket && tag == gossipTag)
        sendGossip(m_gossip->receive(steadyNow(), from, bytes));
}

void Fleet::receiveHeartbeat(std::string_view bytes)
{
    absl::StatusOr<Heartbeat> heartbeat = decodeHeartbeat(bytes);
    if (!heartbeat.ok() || heartbeat->vm.value == m_options.vm)
        return;
    const TimePoint now = steadyNow();
    absl::StatusOr<dispatch::LoadReport> load = dispatch::decodeLoadReport(heartbeat->load);
    std::lock_guard lock(m_mutex);
    heartbeat->knowledge = news::delayed(heartbeat->knowledge, transitDelay(*heartbeat));
    if (m_state.mergePeerKnowledge(heartbeat->knowledge).any())
        m_inbox.addSource({ heartbeat->vm, heartbeat->controlAddress });
    m_peerHeartbeats.heard(now, *heartbeat);
    if (!load.ok())
        return;
    if (m_plan.isRelay) {
        // A relay merges crash records into its own state, which it sends out a part at a time. Adding the records of
        // all reports to its sums would make these unbounded.
        m_state.withDispatcher([&](dispatch::Dispatcher& it) {
            it.crashes().learn(now, load->crashes);
            it.crashes().parts().learn(now, load->partCrashes);
        });
        load->crashes.clear();
        load->partCrashes.clear();
    }
    if (heartbeat->scope == HeartbeatScope::Zone) {
        m_relayReports.setZoneReport(now, heartbeat->zone, std::move(*load));
        return;
    }
    if (m_plan.isRelay && heartbeat->scope == HeartbeatScope::Router) {
        m_relayReports.setRouterReport(now, heartbeat->vm, std::move(*load));
        return;
    }
    const bool isSum = heartbeat->scope == HeartbeatScope::All;
    // Drops a sum that contains an own report too old to be subtracted: this router's requests would count twice.
    if (isSum && !m_ownReports.subtractFrom(*load, heartbeat->includedSerial))
        return;
    const VmId source = isSum ? aggregateSource : heartbeat->vm;
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.peerReported(now, source, *load); });
}

Duration Fleet::transitDelay(const Heartbeat& heartbeat)
{
    Transit& transit = m_transitByRouter[heartbeat.vm];
    if (transit.incarnation != heartbeat.incarnation)
        transit = { heartbeat.incarnation, {} };
    return transit.meter.delay(heartbeat.sentAt, unsuspendedNow());
}

void Fleet::logMembershipChanges()
{
    const membership::MembershipView& view = m_gossip->view();
    if (view.version == m_loggedViewVersion)
        return;
    m_loggedViewVersion = view.version;
    updatePlan();
    unsigned known = 0;
    std::size_t alive = 0;
    std::uint64_t digest = 0;
    std::map<VmId, membership::MemberState> states;
    for (const membership::Member& it : view.members) {
        const VmId& vm = it.summary.life.vm;
        const bool isAlive = it.state == membership::MemberState::Alive;
        alive += isAlive ? 1 : 0;
        known += it.state == membership::MemberState::Left ? 0 : 1;
        if (isAlive)
            digest = stableHash(vm.value, digest);
        states.emplace(vm, it.state);
    }
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.setRouterCount(known); });
    const std::string changed = describeChanges(m_loggedMemberStates, states);
    m_loggedMemberStates = std::move(states);
    process::log(process::LogLevel::Info, "members",
        { { "version", std::to_string(view.version) }, { "alive", std::to_string(alive) },
            { "digest", std::to_string(digest) }, { "changed", changed },
            { "relay",
                m_plan.isRelay     ? "self"
                    : m_plan.relay ? m_plan.relay->vm.value
                                   : "none" } });
}

void Fleet::addSeed(const std::string& gossipAddress)
{
    if (gossipAddress == m_gossipAddress)
        return;
    std::lock_guard lock(m_mutex);
    m_gossip->addSeed(gossipAddress);
}

std::vector<Peer> Fleet::peers(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_peerHeartbeats.alive(now, heartbeatTimeout);
}

std::vector<RouterContact> Fleet::contacts(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<RouterContact> found;
    if (m_plan.isDirect) {
        for (const Peer& it : m_peerHeartbeats.alive(now, heartbeatTimeout))
            found.push_back({ it.vm, it.controlAddress });
        return found;
    }
    for (const membership::Member& it : m_gossip->view().members) {
        if (it.state == membership::MemberState::Alive && it.summary.life.vm.value != m_options.vm)
            found.push_back({ it.summary.life.vm, it.summary.peerAddress });
    }
    return found;
}

bool Fleet::knowsOtherRouters() const
{
    std::lock_guard lock(m_mutex);
    return m_gossip->view().aliveCount() > 1;
}

bool Fleet::shouldAnnounce() const
{
    std::lock_guard lock(m_mutex);
    return m_plan.isDirect || m_plan.isRelay;
}

news::ReadStanding Fleet::readStanding(const news::NewsTimes& times) const
{
    const TimePoint now = steadyNow();
    std::lock_guard lock(m_mutex);
    if (m_plan.relay) {
        // Relays read the store for the fleet; a router that does not hear from them in time reads it itself.
        return { false, static_cast<unsigned>(m_plan.relays.size()) + 1 };
    }
    std::vector<news::ReaderPeer> others;
    const auto add = [&](const Peer& it) {
        std::optional<Duration> readAge = it.knowledge.readAge;
        if (readAge)
            *readAge += now - it.heardAt;
        others.push_back({ it.vm, it.capacity, readAge });
    };
    if (m_plan.isRelay) {
        for (const RouterAddress& it : m_plan.relays) {
            if (const std::optional<Peer> relay = m_peerHeartbeats.find(now, it.vm))
                add(*relay);
        }
    } else {
        for (const Peer& it : m_peerHeartbeats.alive(now, heartbeatTimeout))
            add(it);
    }
    return news::standing({ m_options.vm }, m_options.capacity(), others, times);
}

std::vector<std::string> Fleet::entryPoints(TimePoint now, const ZoneId& callerZone, std::string_view callerKey) const
{
    std::vector<EntryPoint> ready;
    if (m_state.canServe())
        ready.push_back(
            { m_options.callersListen, { m_options.zone }, m_options.capacity(), m_state.utilizationPercent });
    std::lock_guard lock(m_mutex);
    if (m_plan.isDirect) {
        for (const Peer& it : m_peerHeartbeats.alive(now, heartbeatTimeout)) {
            if (it.isReady)
                ready.push_back({ it.callerAddress, it.zone, it.capacity, it.utilizationPercent });
        }
        return chooseEntryPoints(ready, callerZone, callerKey);
    }
    // In a large fleet not every router sends its heartbeats here. Gossip, with some delay, has the live routers and
    // whether they have a configuration.
    const FleetUtilization use = fleetUse(now);
    const auto utilizationPercent = [&](const membership::MemberSummary& it) {
        const auto own = use.busyRouters.find(it.life.vm);
        if (own != use.busyRouters.end())
            return own->second;
        const auto zone = use.zones.find(it.zone);
        return zone == use.zones.end() ? 0 : std::min(zone->second, highUtilizationPercent);
    };
    for (const membership::Member& it : m_gossip->view().members) {
        const membership::MemberSummary& summary = it.summary;
        const bool isReady
            = it.state == membership::MemberState::Alive && !summary.draining && summary.configOffset > 0;
        if (isReady && summary.life.vm.value != m_options.vm)
            ready.push_back({ summary.callerAddress, summary.zone, summary.capacity, utilizationPercent(summary) });
    }
    return chooseEntryPoints(ready, callerZone, callerKey);
}

std::uint32_t Fleet::meanUsePercent(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    const FleetUtilization use = fleetUse(now);
    std::uint32_t sum = 0;
    for (const auto& [zone, percent] : use.zones)
        sum += percent;
    return use.zones.empty() ? 0 : sum / static_cast<std::uint32_t>(use.zones.size());
}

void Fleet::leave()
{
    std::lock_guard lock(m_mutex);
    sendGossip(m_gossip->leave(steadyNow()));
}

} // namespace sagechute::edge
