#include "StoreFollower.h"

#include "PeerState.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A change of the configuration is answered to the waiting call at once. The shorter the wait, the sooner a
    /// connection that went silent is noticed; another reader has one of its own.
    constexpr std::chrono::milliseconds configWait { 2000 };

    /// A leaving target must get nothing new two seconds after the store knows; a call then may still fail once.
    constexpr Duration targetInterval = std::chrono::milliseconds(450);

    /// Entries lapse after three heartbeats of their targets; a shorter absence of the store costs none.
    constexpr Duration lapseTime = std::chrono::seconds(3);

    /// How often a router that knows no other looks into the store for one.
    constexpr Duration searchInterval = std::chrono::seconds(1);

    /// A router that follows others reads the store itself only so often, in case these stand still in a way that their
    /// heartbeats don't show.
    constexpr Duration ownReadInterval = std::chrono::seconds(120);

    /// After a router has read all it hears of the others; most then find that two read already. When 65 routers start
    /// at once each call that isn't made then counts 65 times.
    constexpr Duration afterWholeRead = std::chrono::milliseconds(450);

    /// A router announces itself when it has been there for so long: by then it knows whether the fleet is large, where
    /// only relays need to be found.
    constexpr Duration announceAfter = std::chrono::milliseconds(1500);

    /// One that knows no other by then has seeds that are down, and can only be found in the store.
    constexpr Duration aloneAfter = std::chrono::milliseconds(600);

    /// While those that should read for it are silent or don't reach the store a router reads itself, as they may be
    /// refused alone; all at once and at a reader's pace they would be many calls. A leaving target must get nothing
    /// new two seconds after the store knows.
    constexpr Duration stepInInterval = std::chrono::seconds(1);

    /// How often a follower looks whether a reader has news. A third of the time between a reader's reads.
    constexpr Duration followInterval = std::chrono::milliseconds(150);

    constexpr std::chrono::milliseconds peerTimeout { 400 };
    constexpr int okStatus = 200;

} // namespace

StoreFollower::StoreFollower(
    EdgeState& state, Fleet& fleet, FleetStore& store, net::HttpClient& peerClient, EdgeMetrics& metrics)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_peerClient(peerClient)
    , m_metrics(metrics)
{
}

void StoreFollower::start()
{
    m_configThread = std::thread([this] { followConfig(); });
    m_targetThread = std::thread([this] { followTargets(); });
}

StoreFollower::~StoreFollower()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    for (std::thread* it : { &m_configThread, &m_targetThread }) {
        if (it->joinable())
            it->join();
    }
}

bool StoreFollower::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    return !m_stopped.wait_for(lock, duration, [this] { return m_isStopping; });
}

void StoreFollower::followConfig()
{
    TimePoint lastOwnRead {};
    for (;;) {
        Duration delay {};
        const bool isWhole = !m_configCursor.next();
        if (followOthers(lastOwnRead, false)) {
            delay = followInterval;
        } else if (readConfigOnce()) {
            delay = isWhole ? afterWholeRead : Duration {};
        } else {
            takeFromAnyPeer(false);
            delay = m_configCursor.retryDelay();
        }
        if (!pause(delay))
            return;
    }
}

bool StoreFollower::readConfigOnce()
{
    absl::StatusOr<ConfigNews> news
        = m_configCursor.next() ? m_store.followConfig(*m_configCursor.next(), configWait) : m_store.readConfig();
    m_metrics.storeCalls().Increment();
    m_state.readsConfig = news.ok();
    if (!news.ok()) {
        noteFailure(m_configCursor, "configuration", news.status());
        return false;
    }
    noteReturn("configuration", m_configCursor.readDone(steadyNow(), news->next));
    noteUnreadable("configuration", news->unreadable);
    if (news->newest)
        adopt(*news->newest, "store");
    return true;
}

void StoreFollower::adopt(const ConfigRecord& record, const char* source)
{
    absl::StatusOr<dispatch::FleetConfig> config = m_store.decodeConfig(record.document);
    if (!config.ok()) {
        process::log(process::LogLevel::Error, "configuration-unreadable",
            { { "version", std::to_string(record.version) }, { "reason", std::string(config.status().message()) } });
        return;
    }
    const std::size_t routes = config->routes.size();
    const std::size_t customers = config->customers.size();
    const auto tokensPerSecond = static_cast<std::uint64_t>(config->tokensPerSecond);
    if (!m_state.adoptConfig(record, std::move(*config)))
        return;
    process::log(process::LogLevel::Info, "configuration-in-force",
        { { "version", std::to_string(record.version) }, { "offset", std::to_string(record.offset) },
            { "source", source }, { "routes", std::to_string(routes) }, { "customers", std::to_string(customers) },
            { "tokens-per-second", std::to_string(tokensPerSecond) } });
}

void StoreFollower::followTargets()
{
    TimePoint lastOwnRead {};
    bool isFollowing = false;
    do {
        isFollowing = followOthers(lastOwnRead, true);
        if (!isFollowing && !readTargetsOnce())
            takeFromAnyPeer(true);
        findOthers();
        const TimePoint now = steadyNow();
        m_state.changeTargets(now, [&](TargetRoster& roster) { roster.expire(now); });
    } while (pause(isFollowing ? followInterval : targetInterval));
}

void StoreFollower::trust(const std::vector<Peer>& sources)
{
    for (const Peer& it : sources) {
        // The same list: it is as new as the source's, so that a router that begins to read itself need not read all.
        if (it.targetsMark == m_state.targetsMark && it.targetsOffset > m_state.nextTargetOffset)
            m_state.nextTargetOffset = it.targetsOffset;
    }
    // What a source keeps though its entry is missing comes with its list; nothing lapses by this router's own count.
    m_targetCursor.toldByPeer(m_state.nextTargetOffset);
    const TimePoint now = steadyNow();
    m_state.changeTargets(now, [&](TargetRoster& roster) { roster.storeRegained(now, false); });
}

bool StoreFollower::readTargetsOnce()
{
    const bool isWhole = !m_targetCursor.next();
    absl::StatusOr<TargetNews> news = isWhole ? m_store.readTargets() : m_store.followTargets(*m_targetCursor.next());
    m_metrics.storeCalls().Increment();
    const TimePoint now = steadyNow();
    m_state.readsTargets = news.ok();
    if (!news.ok()) {
        noteFailure(m_targetCursor, "targets", news.status());
        m_state.changeTargets(now, [&](TargetRoster& roster) { roster.storeLost(now); });
        return false;
    }
    const std::optional<Duration> away = m_targetCursor.readDone(now, news->next);
    noteReturn("targets", away);
    m_state.nextTargetOffset.store(news->next);
    const bool mayHaveLapsed = away && *away > lapseTime / 3;
    m_state.changeTargets(now, [&](TargetRoster& roster) {
        roster.storeRegained(now, mayHaveLapsed);
        if (isWhole)
            roster.replace(now, news->changes);
        else
            roster.applyAll(now, news->changes);
    });
    noteUnreadable("targets", news->unreadable);
    for (const TargetChange& it : news->changes) {
        if (!it.target || it.target->draining)
            process::log(process::LogLevel::Info, it.target ? "target-draining" : "target-gone",
                { { "target", it.target ? toString(it.target->life()) : it.id.value },
                    { "offset", std::to_string(news->next) } });
    }
    return true;
}

void StoreFollower::noteUnreadable(const char* topic, const std::vector<UnreadableRecord>& records)
{
    if (records.empty())
        return;
    m_metrics.unreadableRecords().Increment(static_cast<double>(records.size()));
    // One line a read, however many there are: another writer must not fill the log.
    const UnreadableRecord& first = records.front();
    process::log(process::LogLevel::Warning, "records-unreadable",
        { { "topic", topic }, { "count", std::to_string(records.size()) }, { "first-key", first.key },
            { "reason", first.reason } });
}

void StoreFollower::noteReturn(const char* topic, std::optional<Duration> away)
{
    if (!away)
        return;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*away).count();
    process::log(process::LogLevel::Info, "store-regained", { { "topic", topic }, { "away-ms", std::to_string(ms) } });
}

void StoreFollower::noteFailure(ReadCursor& cursor, const char* topic, const absl::Status& status)
{
    if (errorKind(status) == ErrorKind::RetentionExceeded) {
        cursor.historyLost();
        process::log(process::LogLevel::Warning, "store-history-lost", { { "topic", topic } });
        return;
    }
    if (cursor.readFailed(steadyNow()))
        process::log(process::LogLevel::Warning, "store-lost",
            { { "topic", topic }, { "reason", std::string(status.message()) } });
}

void StoreFollower::takeFromAnyPeer(bool wantsTargets)
{
    const std::vector<Peer> peers = m_fleet.peers(steadyNow());
    if (peers.empty())
        return;
    const Peer& peer = peers[m_peerTurn++ % peers.size()];
    if (wantsTargets || peer.configVersion > m_state.configVersion())
        takeFrom(peer, wantsTargets);
}

bool StoreFollower::hasNews(const Peer& source, bool wantsTargets) const
{
    if (source.configVersion > m_state.configVersion())
        return true;
    return wantsTargets && source.targetsMark != m_state.targetsMark && source.targetsOffset > m_state.nextTargetOffset;
}

bool StoreFollower::followOthers(TimePoint& lastOwnRead, bool wantsTargets)
{
    const TimePoint now = steadyNow();
    const StoreWatch watch = m_fleet.storeWatch(now);
    m_state.followsReader = !watch.sources.empty();
    if (watch.role == StoreRole::Reads)
        return false;
    const bool stepsIn = watch.role == StoreRole::StepsIn;
    if (now - lastOwnRead >= (stepsIn ? stepInInterval : ownReadInterval)) {
        lastOwnRead = now;
        return false;
    }
    // What the store said to this router before is no news: others must not take it for one that reads.
    if (!stepsIn)
        (wantsTargets ? m_state.readsTargets : m_state.readsConfig) = false;
    for (const Peer& it : watch.sources) {
        if (hasNews(it, wantsTargets))
            takeFrom(it, wantsTargets);
    }
    if (wantsTargets && !watch.sources.empty())
        trust(watch.sources);
    return true;
}

void StoreFollower::takeFrom(const Peer& peer, bool wantsTargets)
{
    net::ClientRequest request;
    request.url = "http://" + peer.controlAddress + peerStatePath;
    request.connectTimeout = peerTimeout;
    request.totalTimeout = peerTimeout;
    const net::ClientResponse response = m_peerClient.perform(std::move(request));
    if (response.result.end != net::TransferEnd::Completed || response.result.httpStatus != okStatus)
        return;
    const absl::StatusOr<PeerState> state = decodePeerState(response.body);
    if (!state.ok()) {
        process::log(process::LogLevel::Warning, "peer-state-unreadable",
            { { "peer", peer.vm.value }, { "reason", std::string(state.status().message()) } });
        return;
    }
    if (state->config && state->config->version > m_state.configVersion())
        adopt(*state->config, peer.vm.value.c_str());
    if (!wantsTargets || state->nextTargetOffset <= m_state.nextTargetOffset)
        return;
    const TimePoint now = steadyNow();
    m_state.changeTargets(now, [&](TargetRoster& roster) { roster.replaceFromPeer(now, state->targets); });
    m_state.nextTargetOffset.store(state->nextTargetOffset);
    process::log(process::LogLevel::Info, "targets-from-peer",
        { { "peer", peer.vm.value }, { "offset", std::to_string(state->nextTargetOffset) },
            { "targets", std::to_string(state->targets.size()) } });
}

void StoreFollower::findOthers()
{
    const TimePoint now = steadyNow();
    if (!m_state.reachesStore())
        return;
    const bool isAlone = !m_fleet.knowsOthers();
    const bool isSettled = now >= m_startedAt + (isAlone ? aloneAfter : announceAfter);
    if (!m_isAnnounced && isSettled && m_fleet.isLandmark()) {
        m_metrics.storeCalls().Increment();
        m_isAnnounced = m_store.announce({ m_state.vm, m_fleet.gossipAddress() }).ok();
    }
    if (!isAlone || !isSettled || now < m_nextSearch)
        return;
    m_nextSearch = now + searchInterval;
    m_metrics.storeCalls().Increment();
    const auto found = m_store.announcements();
    if (!found.ok())
        return;
    for (const RouterAnnouncement& it : *found)
        m_fleet.addSeed(it.gossipAddress);
}

} // namespace sagechute::edge
