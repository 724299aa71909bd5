#include "StoreFollower.h"

#include "PeerState.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    using std::chrono::milliseconds;

    /// How often a router that knows no other looks into the store for one, and one that could not announce itself
    /// tries again.
    constexpr Duration searchInterval = std::chrono::seconds(1);

    /// A router announces itself when it has been there for so long: by then it knows whether the fleet is large, where
    /// only relays need to be found.
    constexpr Duration announceAfter = milliseconds(4000);

    /// One that knows no other by then has seeds that are down, and can only be found in the store.
    constexpr Duration aloneAfter = milliseconds(1500);

    /// A reader whose calls are all answered with news at once, as while many targets leave, lets some of them gather.
    constexpr int leastPauseParts = 5; ///< Of the time that the store may keep a call.

    /// Who reads changes with what is heard; looked at some times within the time after which a reader counts as lost.
    constexpr int looksPerBound = 10;

    /// How often what is missing is dropped and ages are looked at when nothing is heard.
    constexpr Duration lookInterval = milliseconds(200);

    /// A router that did not answer is not asked again for so long: others may know as much.
    constexpr Duration unreachedKept = std::chrono::seconds(2);
    constexpr int okStatus = 200;

    milliseconds toMs(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration); }

    std::string msText(Duration duration) { return std::to_string(toMs(duration).count()); }

    double placeOf(const std::string& vm) { return static_cast<double>(stableHash(vm) >> 11) * 0x1.0p-53; }

    bool isIn(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    std::string ageText(std::optional<TimePoint> until, TimePoint now)
    {
        return until ? msText(now - *until) : "unknown";
    }

} // namespace

StoreFollower::StoreFollower(EdgeState& state, Fleet& fleet, news::FleetStore& store, net::HttpClient& peerClient,
    NewsBox& news, EdgeMetrics& metrics, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_peerClient(peerClient)
    , m_news(news)
    , m_metrics(metrics)
    , m_times(options.newsTimes())
    , m_isSeed(isIn(options.seeds, options.controlListen))
    , m_place(placeOf(options.vm))
    , m_random(stableHash(options.vm))
    , m_config { "configuration", &StoreFollower::readConfig, [](const news::Knowledge& it) { return it.configUntil; },
        &state.configReadAt }
    , m_targets { "targets", &StoreFollower::readTargets, [](const news::Knowledge& it) { return it.targetsUntil; },
        &state.targetsReadAt, true }
{
}

void StoreFollower::start()
{
    m_threads.emplace_back([this] { follow(m_config); });
    m_threads.emplace_back([this] { follow(m_targets); });
    m_threads.emplace_back([this] { fetchNews(); });
}

StoreFollower::~StoreFollower()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    m_news.close();
    for (std::thread& it : m_threads)
        it.join();
}

bool StoreFollower::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    return !m_stopped.wait_for(lock, duration, [this] { return m_isStopping; });
}

news::ReadOccasion StoreFollower::occasion(const Topic& topic) const
{
    news::ReadOccasion it;
    it.startedAt = m_startedAt;
    it.isSeed = m_isSeed;
    it.knownUntil = topic.knownUntil(m_state.knowledge());
    it.standing = m_fleet.readStanding(m_times);
    it.place = m_place;
    it.failedAt = topic.failedAt;
    it.retryDelay = topic.cursor.retryDelay();
    it.failures = topic.cursor.failures();
    return it;
}

void StoreFollower::follow(Topic& topic)
{
    Duration delay {};
    while (pause(delay)) {
        const std::optional<TimePoint> until = topic.knownUntil(m_state.knowledge());
        if (topic.failedAt && until && *until > *topic.failedAt) {
            topic.cursor.renewed();
            topic.failedAt.reset();
        }
        const news::ReadOccasion now = occasion(topic);
        TimePoint due = news::readDue(now, m_times);
        if (topic.sentAt)
            due = std::max(due, *topic.sentAt + m_times.wait / leastPauseParts);
        const Duration left = due - unsuspendedNow();
        if (left > Duration::zero()) {
            delay = std::min(left, m_times.bound / looksPerBound);
        } else {
            topic.sentAt = unsuspendedNow();
            const bool isRead = (this->*topic.read)(topic, now.standing.isReader ? m_times.wait : Duration::zero());
            topic.failedAt = isRead ? std::nullopt : topic.sentAt;
            delay = Duration::zero();
        }
        if (topic.isTargets)
            findOthers();
    }
}

bool StoreFollower::noteRead(Topic& topic, const absl::Status& status, LogOffset next)
{
    m_metrics.storeCalls().Increment();
    const TimePoint now = unsuspendedNow();
    if (status.ok()) {
        topic.readAt->store(now);
        if (const std::optional<Duration> away = topic.cursor.readDone(now, next))
            process::log(
                process::LogLevel::Info, "store-regained", { { "topic", topic.name }, { "away-ms", msText(*away) } });
        return true;
    }
    if (errorKind(status) == ErrorKind::RetentionExceeded) {
        topic.cursor.historyLost();
        process::log(process::LogLevel::Warning, "store-history-lost", { { "topic", topic.name } });
    } else if (topic.cursor.readFailed(now)) {
        process::log(process::LogLevel::Warning, "store-lost",
            { { "topic", topic.name }, { "reason", std::string(status.message()) } });
    }
    return false;
}

bool StoreFollower::readConfig(Topic& topic, Duration wait)
{
    if (const LogOffset known = m_configNext)
        topic.cursor.toldByPeer(known);
    const std::optional<LogOffset> from = topic.cursor.next();
    const TimePoint sent = unsuspendedNow();
    const absl::StatusOr<news::ConfigNews> found
        = from ? m_store.followConfig(*from, toMs(wait)) : m_store.readConfig();
    if (!noteRead(topic, found.status(), found.ok() ? found->next : 0))
        return false;
    noteUnreadable(topic.name, found->unreadable);
    if (found->newest)
        adopt(*found->newest, "store");
    const bool isEmpty = from && found->next == *from;
    m_state.configKnown(news::knownByRead(sent, unsuspendedNow(), wait, isEmpty));
    return true;
}

void StoreFollower::adopt(const news::ConfigRecord& record, const std::string& source)
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
    const std::optional<TimePoint> until = m_state.knowledge().configUntil;
    if (!m_state.adoptConfig(record, std::move(*config)))
        return;
    m_configNext = record.offset + 1;
    process::log(process::LogLevel::Info, "configuration-in-force",
        { { "version", std::to_string(record.version) }, { "offset", std::to_string(record.offset) },
            { "source", source }, { "routes", std::to_string(routes) }, { "customers", std::to_string(customers) },
            { "tokens-per-second", std::to_string(tokensPerSecond) },
            { "former-age-ms", ageText(until, unsuspendedNow()) } });
}

bool StoreFollower::readTargets(Topic& topic, Duration wait)
{
    if (const auto known = m_state.withTargets([](const news::TargetRoster& it) { return it.next(); }))
        topic.cursor.toldByPeer(*known);
    const std::optional<LogOffset> from = topic.cursor.next();
    const TimePoint sent = unsuspendedNow();
    const absl::StatusOr<news::TargetNews> found
        = from ? m_store.followTargets(*from, toMs(wait)) : m_store.readTargets();
    if (!noteRead(topic, found.status(), found.ok() ? found->next : 0))
        return false;
    const TimePoint now = unsuspendedNow();
    const bool isEmpty = from && found->next == *from;
    const TimePoint until = news::knownByRead(sent, now, wait, isEmpty);
    m_state.changeTargets([&](news::TargetRoster& roster) {
        // Known first: a long absence decides whether what is missing now has lapsed.
        roster.known(found->next, until);
        if (from)
            roster.applyAll(now, found->changes);
        else
            roster.replace(now, found->changes, found->next);
    });
    noteUnreadable(topic.name, found->unreadable);
    for (const news::TargetChange& it : found->changes) {
        if (!it.target || it.target->draining)
            process::log(process::LogLevel::Info, it.target ? "target-draining" : "target-gone",
                { { "target", it.target ? toString(it.target->life()) : it.id.value },
                    { "offset", std::to_string(it.offset) } });
    }
    return true;
}

void StoreFollower::noteUnreadable(const char* topic, const std::vector<news::UnreadableRecord>& records)
{
    if (records.empty())
        return;
    m_metrics.unreadableRecords().Increment(static_cast<double>(records.size()));
    // One line a read, however many there are: another writer must not fill the log.
    const news::UnreadableRecord& first = records.front();
    process::log(process::LogLevel::Warning, "records-unreadable",
        { { "topic", topic }, { "count", std::to_string(records.size()) }, { "first-key", first.key },
            { "reason", first.reason } });
}

void StoreFollower::fetchNews()
{
    while (pause(Duration::zero())) {
        const std::optional<RouterContact> source = m_news.take(lookInterval);
        if (source && !isUnreached(source->vm))
            takeFrom(*source);
        else
            askAnyone();
        const TimePoint now = unsuspendedNow();
        m_state.changeTargets([&](news::TargetRoster& roster) { roster.expire(now); });
        noteKept();
        noteAge();
    }
}

void StoreFollower::askAnyone()
{
    const std::optional<TimePoint> until = news::knownUntil(m_state.knowledge());
    if (until != m_ask.knownUntil)
        m_ask.asked = 0;
    m_ask.startedAt = m_startedAt;
    m_ask.knownUntil = until;
    if (unsuspendedNow() < news::askDue(m_ask, m_times))
        return;
    std::vector<RouterContact> others = m_fleet.contacts(steadyNow());
    std::erase_if(others, [this](const RouterContact& it) { return isUnreached(it.vm); });
    if (others.empty())
        return;
    const auto turn = static_cast<std::size_t>(m_random.fraction() * static_cast<double>(others.size()));
    if (takeFrom(others[turn])) {
        ++m_ask.asked;
        m_ask.askedAt = unsuspendedNow();
    }
}

bool StoreFollower::isUnreached(const VmId& vm) const
{
    const auto it = m_unreached.find(vm);
    return it != m_unreached.end() && unsuspendedNow() - it->second < unreachedKept;
}

void StoreFollower::noteUnreached(const RouterContact& router, const net::TransferResult& result)
{
    m_unreached[router.vm] = unsuspendedNow();
    process::log(process::LogLevel::Warning, "peer-state-missing",
        { { "peer", router.vm.value }, { "status", std::to_string(result.httpStatus) }, { "reason", result.detail } });
}

bool StoreFollower::takeFrom(const RouterContact& peer)
{
    const news::Knowledge known = m_state.knowledge();
    PeerStateRequest asked { known.configVersion, std::nullopt };
    if (known.targetsUntil)
        asked.targetsNext = known.targetsNext;
    net::ClientRequest request;
    request.url = "http://" + peer.controlAddress + pathFor(asked);
    request.connectTimeout = toMs(news::peerPatience(m_peerFailures, m_times));
    request.totalTimeout = 2 * request.connectTimeout;
    const TimePoint sent = unsuspendedNow();
    const net::ClientResponse response = m_peerClient.perform(std::move(request));
    if (response.result.end != net::TransferEnd::Completed || response.result.httpStatus != okStatus) {
        ++m_peerFailures;
        ++peerTries().unanswered;
        noteUnreached(peer, response.result);
        return false;
    }
    m_peerFailures = 0;
    ++peerTries().answered;
    const absl::StatusOr<PeerState> state = decodePeerState(response.body);
    if (!state.ok()) {
        process::log(process::LogLevel::Warning, "peer-state-unreadable",
            { { "peer", peer.vm.value }, { "reason", std::string(state.status().message()) } });
        return false;
    }
    // Ages count from when the request was sent: how long the answer took is not known to either side.
    if (state->config)
        adopt(*state->config, peer.vm.value);
    const news::ToldKnowledge& told = state->knowledge;
    if (told.configAge && m_state.configVersion() >= told.configVersion)
        m_state.configKnown(sent - *told.configAge);
    if (!told.targetsAge)
        return true;
    const TimePoint now = unsuspendedNow();
    m_state.changeTargets([&](news::TargetRoster& roster) {
        roster.known(told.targetsNext, sent - *told.targetsAge);
        if (state->hasAllTargets)
            roster.replace(now, state->targets, told.targetsNext);
        else
            roster.applyAll(now, state->targets);
    });
    if (state->hasAllTargets || !state->targets.empty())
        process::log(process::LogLevel::Info, "targets-from-peer",
            { { "peer", peer.vm.value }, { "offset", std::to_string(told.targetsNext) },
                { "changes", std::to_string(state->targets.size()) }, { "all", state->hasAllTargets ? "yes" : "no" },
                { "age-ms", msText(*told.targetsAge) } });
    return true;
}

StoreFollower::PeerTries& StoreFollower::peerTries()
{
    const std::optional<TimePoint> until = news::knownUntil(m_state.knowledge());
    if (until != m_tries.since)
        m_tries = { until };
    return m_tries;
}

void StoreFollower::noteKept()
{
    const auto [until, size] = m_state.withTargets(
        [](const news::TargetRoster& it) { return std::pair(it.keepsMissingUntil(), it.size()); });
    if (until == m_keptUntil)
        return;
    m_keptUntil = until;
    process::log(process::LogLevel::Info, "missing-targets-kept",
        { { "for-ms", msText(*until - unsuspendedNow()) }, { "targets", std::to_string(size) },
            { "reason", "nothing was known of the store for a while; entries may have lapsed" } });
}

void StoreFollower::noteAge()
{
    const news::Knowledge known = m_state.knowledge();
    const TimePoint now = unsuspendedNow();
    const std::optional<TimePoint> until = news::knownUntil(known);
    const Duration age = now - until.value_or(m_startedAt);
    m_metrics.knowledgeAge(age, m_times.bound);
    const bool isLate = age > m_times.bound;
    if (isLate == m_isLate)
        return;
    m_isLate = isLate;
    const news::ReadStanding standing = m_fleet.readStanding(m_times);
    process::log(isLate ? process::LogLevel::Warning : process::LogLevel::Info,
        isLate ? "knowledge-late" : "knowledge-in-time",
        { { "config", std::to_string(known.configVersion) }, { "config-age-ms", ageText(known.configUntil, now) },
            { "targets-offset", std::to_string(known.targetsNext) },
            { "targets-age-ms", ageText(known.targetsUntil, now) }, { "bound-ms", msText(m_times.bound) },
            { "reader", standing.isReader ? "yes" : "no" }, { "rank", std::to_string(standing.rank) },
            { "peers-answered", std::to_string(peerTries().answered) },
            { "peers-unanswered", std::to_string(peerTries().unanswered) } });
}

void StoreFollower::findOthers()
{
    const TimePoint now = unsuspendedNow();
    const bool isAlone = !m_fleet.knowsOthers();
    if (now < m_startedAt + (isAlone ? aloneAfter : announceAfter) || now < m_nextSearch)
        return;
    const bool wantsToAnnounce = !m_isAnnounced && m_fleet.isLandmark();
    if (!wantsToAnnounce && !isAlone)
        return;
    m_nextSearch = now + searchInterval;
    if (wantsToAnnounce) {
        m_metrics.storeCalls().Increment();
        m_isAnnounced = m_store.announce({ m_state.vm, m_fleet.gossipAddress() }).ok();
    }
    if (!isAlone)
        return;
    m_metrics.storeCalls().Increment();
    const auto found = m_store.announcements();
    if (!found.ok())
        return;
    for (const news::RouterAnnouncement& it : *found)
        m_fleet.addSeed(it.gossipAddress);
}

} // namespace sagechute::edge
