#include "PeerFollower.h"

#include "AgeText.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// Without peer events, the interval at which missing targets are expired and ages are checked.
    constexpr Duration maxWait = std::chrono::milliseconds(200);

    /// Keeps the thread from spinning while a request is due.
    constexpr Duration minWait = std::chrono::milliseconds(1);
    constexpr int okStatus = 200;

} // namespace

PeerFollower::PeerFollower(EdgeState& state, Fleet& fleet, ConfigIntake& configIntake, net::HttpClient& client,
    PeerInbox& inbox, EdgeMetrics& metrics, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_configIntake(configIntake)
    , m_client(client)
    , m_inbox(inbox)
    , m_metrics(metrics)
    , m_times(options.newsTimes())
    , m_random(stableHash(options.vm))
    , m_requests(m_times, m_startedAt)
{
}

PeerFollower::~PeerFollower()
{
    m_inbox.close();
    if (m_thread.joinable())
        m_thread.join();
}

void PeerFollower::start()
{
    m_thread = std::thread([this] { run(); });
}

void PeerFollower::run()
{
    while (const std::optional<PeerInbox::Events> events = m_inbox.take(nextWait())) {
        for (const PeerResponse& it : events->responses)
            handleResponse(it);
        fetchIfDue(events->source);
        m_state.updateTargets([&](news::TargetRoster& roster) { roster.expire(unsuspendedNow()); });
        expireEvacuations();
        logRetainedTargets();
        reportKnowledgeAge();
    }
}

void PeerFollower::expireEvacuations()
{
    for (const news::ZoneChange& it : m_state.expireEvacuations())
        process::log(process::LogLevel::Warning, it.isEvacuated ? "zone-evacuated" : "zone-returned",
            { { "zone", it.zone.value }, { "source", "store" },
                { "reason", "the store says so since its return from a copy, and nothing else was written in time" } });
}

std::optional<TimePoint> PeerFollower::witnessedUntil() const
{
    const news::Knowledge known = m_state.knowledge();
    return m_state.withTargets([&](const news::TargetRoster& it) { return news::witnessedUntil(known, it); });
}

Duration PeerFollower::nextWait() const
{
    const TimePoint now = unsuspendedNow();
    const TimePoint due = m_requests.anyoneDue(now, witnessedUntil());
    return std::clamp<Duration>(due - now, minWait, maxWait);
}

void PeerFollower::fetchIfDue(const std::optional<RouterContact>& source)
{
    using Whom = news::PeerRequests::Whom;
    const TimePoint now = unsuspendedNow();
    const auto vm = source ? std::optional(source->vm) : std::nullopt;
    const Whom whom = m_requests.due(now, witnessedUntil(), vm);
    if (whom == Whom::Source)
        fetch(*source, now, whom);
    else if (whom == Whom::Anyone)
        fetchFromRandomPeer(now);
}

void PeerFollower::fetchFromRandomPeer(TimePoint now)
{
    std::vector<RouterContact> others = m_fleet.contacts(steadyNow());
    std::erase_if(others, [&](const RouterContact& it) { return !m_requests.canAsk(it.vm, now); });
    if (others.empty()) {
        m_requests.nobodyThere(now);
        return;
    }
    const auto index = static_cast<std::size_t>(m_random.fraction() * static_cast<double>(others.size()));
    fetch(others[index], now, news::PeerRequests::Whom::Anyone);
}

void PeerFollower::fetch(const RouterContact& peer, TimePoint now, news::PeerRequests::Whom whom)
{
    const news::Knowledge known = m_state.knowledge();
    PeerStateRequest fetchRequest { known.configVersion, std::nullopt };
    if (known.targetsUntil)
        fetchRequest.targetsNext = known.targetsNext;
    net::ClientRequest request;
    request.url = "http://" + peer.controlAddress + peerStatePathFor(fetchRequest);
    request.connectTimeout = toMilliseconds(m_times.patience);
    request.totalTimeout = 2 * request.connectTimeout;
    m_requests.sent(peer.vm, now, whom);
    m_client.collect(std::move(request), [&inbox = m_inbox, peer, now](net::ClientResponse response) {
        inbox.addResponse({ peer, now, std::move(response) });
    });
}

void PeerFollower::handleResponse(const PeerResponse& response)
{
    const net::TransferResult& result = response.http.result;
    const bool isAnswered = net::isUncut(result.end) && result.httpStatus == okStatus;
    m_requests.ended(response.peer.vm, unsuspendedNow(), isAnswered);
    ++(isAnswered ? fetchCounts().answered : fetchCounts().unanswered);
    if (!isAnswered) {
        process::log(process::LogLevel::Warning, "peer-state-missing",
            { { "peer", response.peer.vm.value }, { "status", std::to_string(result.httpStatus) },
                { "reason", result.detail } });
        return;
    }
    absl::StatusOr<PeerState> state = decodePeerState(response.http.body);
    if (!state.ok()) {
        process::log(process::LogLevel::Warning, "peer-state-unreadable",
            { { "peer", response.peer.vm.value }, { "reason", std::string(state.status().message()) } });
        return;
    }
    const news::ToldKnowledge& told = state->knowledge;
    m_configIntake.install(
        { std::move(state->config), std::move(state->evacuatedZones), told.operatorNext.offset > 0, told.operatorNext },
        response.peer.vm.value);
    // Ages count from when the request was sent, as the response's transit time is unknown.
    m_state.extendConfigKnowledge(told, response.sentAt);
    if (told.targetsAge)
        applyTargets(*state, response);
}

void PeerFollower::applyTargets(const PeerState& state, const PeerResponse& response)
{
    const news::ToldKnowledge& told = state.knowledge;
    const TimePoint now = unsuspendedNow();
    bool isOfOlderEra = false;
    m_state.updateTargets([&](news::TargetRoster& roster) {
        isOfOlderEra = roster.next() && told.targetsNext.era < roster.next()->era;
        if (isOfOlderEra)
            return;
        roster.known(told.targetsNext, *news::toldRead(told, response.sentAt, now));
        if (state.hasAllTargets)
            roster.replace(now, state.targets, told.targetsNext);
        else
            roster.applyAll(now, state.targets);
    });
    if (isOfOlderEra)
        process::log(process::LogLevel::Info, "targets-of-older-era",
            { { "peer", response.peer.vm.value }, { "era", std::to_string(told.targetsNext.era) },
                { "reason",
                    "the store has returned from a copy since; routers of a former release don't tell eras" } });
    else if (state.hasAllTargets || !state.targets.empty())
        process::log(process::LogLevel::Info, "targets-from-peer",
            { { "peer", response.peer.vm.value }, { "offset", std::to_string(told.targetsNext.offset) },
                { "changes", std::to_string(state.targets.size()) }, { "all", state.hasAllTargets ? "yes" : "no" },
                { "age-ms", formatMs(*told.targetsAge) } });
}

PeerFollower::FetchCounts& PeerFollower::fetchCounts()
{
    const std::optional<TimePoint> until = news::knownUntil(m_state.knowledge());
    if (until != m_fetchCounts.since)
        m_fetchCounts = { until };
    return m_fetchCounts;
}

void PeerFollower::logRetainedTargets()
{
    const auto [until, size, missing] = m_state.withTargets(
        [](const news::TargetRoster& it) { return std::tuple(it.keepsMissingUntil(), it.size(), it.missingCount()); });
    if (until == m_retainedUntil)
        return;
    m_retainedUntil = until;
    if (!until)
        return;
    process::log(process::LogLevel::Info, "missing-targets-kept",
        { { "for-ms", formatMs(*until - unsuspendedNow()) }, { "targets", std::to_string(size) },
            { "missing", std::to_string(missing) },
            { "reason",
                "no router is known to have read the store for a while, or it returned from a copy; missing entries "
                "may be back" } });
}

void PeerFollower::reportKnowledgeAge()
{
    const news::Knowledge known = m_state.knowledge();
    const TimePoint now = unsuspendedNow();
    const std::optional<TimePoint> until = news::knownUntil(known);
    const Duration age = now - until.value_or(m_startedAt);
    m_metrics.recordKnowledgeAge(age, m_times.bound);
    m_metrics.evacuatedZones().Set(static_cast<double>(m_state.evacuatedZones().zones().size()));
    const bool isLate = age > m_times.bound;
    if (m_state.isKnowledgeStale.exchange(isLate) == isLate)
        return;
    const news::ReadStanding standing = m_fleet.readStanding(m_times);
    process::log(isLate ? process::LogLevel::Warning : process::LogLevel::Info,
        isLate ? "knowledge-late" : "knowledge-in-time",
        { { "config", std::to_string(known.configVersion) },
            { "operator-offset", std::to_string(known.operatorNext.offset) },
            { "config-age-ms", formatAgeMs(known.configUntil, now) },
            { "targets-offset", std::to_string(known.targetsNext.offset) },
            { "targets-age-ms", formatAgeMs(known.targetsUntil, now) }, { "bound-ms", formatMs(m_times.bound) },
            { "reader", standing.isReader ? "yes" : "no" }, { "rank", std::to_string(standing.rank) },
            { "peers-answered", std::to_string(fetchCounts().answered) },
            { "peers-unanswered", std::to_string(fetchCounts().unanswered) } });
}

} // namespace sagechute::edge
