#include "PeerFollower.h"

#include "AgeText.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// How often what is missing is dropped and ages are looked at when nothing is heard.
    constexpr Duration lookInterval = std::chrono::milliseconds(200);

    /// Of a look that is due, so that the thread sleeps at all.
    constexpr Duration leastWait = std::chrono::milliseconds(1);
    constexpr int okStatus = 200;

} // namespace

PeerFollower::PeerFollower(EdgeState& state, Fleet& fleet, ConfigIntake& intake, net::HttpClient& client,
    PeerInbox& inbox, EdgeMetrics& metrics, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_intake(intake)
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
    while (const std::optional<PeerInbox::Content> content = m_inbox.take(untilLook())) {
        for (const PeerAnswer& it : content->answers)
            take(it);
        askOthers(content->source);
        m_state.changeTargets([&](news::TargetRoster& roster) { roster.expire(unsuspendedNow()); });
        noteKept();
        noteAge();
    }
}

Duration PeerFollower::untilLook() const
{
    const TimePoint now = unsuspendedNow();
    const TimePoint due = m_requests.anyoneDue(now, news::knownUntil(m_state.knowledge()));
    return std::clamp<Duration>(due - now, leastWait, lookInterval);
}

void PeerFollower::askOthers(const std::optional<RouterContact>& source)
{
    using Whom = news::PeerRequests::Whom;
    const TimePoint now = unsuspendedNow();
    const auto vm = source ? std::optional(source->vm) : std::nullopt;
    const Whom whom = m_requests.due(now, news::knownUntil(m_state.knowledge()), vm);
    if (whom == Whom::Source)
        ask(*source, now, whom);
    else if (whom == Whom::Anyone)
        askAnyone(now);
}

void PeerFollower::askAnyone(TimePoint now)
{
    std::vector<RouterContact> others = m_fleet.contacts(steadyNow());
    std::erase_if(others, [&](const RouterContact& it) { return !m_requests.canAsk(it.vm, now); });
    if (others.empty()) {
        m_requests.nobodyThere(now);
        return;
    }
    const auto turn = static_cast<std::size_t>(m_random.fraction() * static_cast<double>(others.size()));
    ask(others[turn], now, news::PeerRequests::Whom::Anyone);
}

void PeerFollower::ask(const RouterContact& peer, TimePoint now, news::PeerRequests::Whom whom)
{
    const news::Knowledge known = m_state.knowledge();
    PeerStateRequest asked { known.configVersion, std::nullopt };
    if (known.targetsUntil)
        asked.targetsNext = known.targetsNext;
    net::ClientRequest request;
    request.url = "http://" + peer.controlAddress + pathFor(asked);
    request.connectTimeout = toMs(m_times.patience);
    request.totalTimeout = 2 * request.connectTimeout;
    m_requests.sent(peer.vm, now, whom);
    m_client.collect(std::move(request), [&inbox = m_inbox, peer, now](net::ClientResponse response) {
        inbox.answered({ peer, now, std::move(response) });
    });
}

void PeerFollower::take(const PeerAnswer& answer)
{
    const net::TransferResult& result = answer.response.result;
    const bool isAnswered = net::isUncut(result.end) && result.httpStatus == okStatus;
    m_requests.ended(answer.peer.vm, unsuspendedNow(), isAnswered);
    ++(isAnswered ? tries().answered : tries().unanswered);
    if (!isAnswered) {
        process::log(process::LogLevel::Warning, "peer-state-missing",
            { { "peer", answer.peer.vm.value }, { "status", std::to_string(result.httpStatus) },
                { "reason", result.detail } });
        return;
    }
    const absl::StatusOr<PeerState> state = decodePeerState(answer.response.body);
    if (!state.ok()) {
        process::log(process::LogLevel::Warning, "peer-state-unreadable",
            { { "peer", answer.peer.vm.value }, { "reason", std::string(state.status().message()) } });
        return;
    }
    if (state->config)
        m_intake.adopt(*state->config, answer.peer.vm.value);
    // Ages count from when the request was sent: how long the answer took is not known to either side.
    const news::ToldKnowledge& told = state->knowledge;
    if (told.configAge && m_state.configVersion() >= told.configVersion)
        m_state.configKnown(answer.sent - *told.configAge);
    if (told.targetsAge)
        takeTargets(*state, answer);
}

void PeerFollower::takeTargets(const PeerState& state, const PeerAnswer& answer)
{
    const news::ToldKnowledge& told = state.knowledge;
    const TimePoint now = unsuspendedNow();
    m_state.changeTargets([&](news::TargetRoster& roster) {
        roster.known(told.targetsNext, *news::toldRead(told, answer.sent, now));
        if (state.hasAllTargets)
            roster.replace(now, state.targets, told.targetsNext);
        else
            roster.applyAll(now, state.targets);
    });
    if (state.hasAllTargets || !state.targets.empty())
        process::log(process::LogLevel::Info, "targets-from-peer",
            { { "peer", answer.peer.vm.value }, { "offset", std::to_string(told.targetsNext) },
                { "changes", std::to_string(state.targets.size()) }, { "all", state.hasAllTargets ? "yes" : "no" },
                { "age-ms", msText(*told.targetsAge) } });
}

PeerFollower::Tries& PeerFollower::tries()
{
    const std::optional<TimePoint> until = news::knownUntil(m_state.knowledge());
    if (until != m_tries.since)
        m_tries = { until };
    return m_tries;
}

void PeerFollower::noteKept()
{
    const auto [until, size] = m_state.withTargets(
        [](const news::TargetRoster& it) { return std::pair(it.keepsMissingUntil(), it.size()); });
    if (until == m_keptUntil)
        return;
    m_keptUntil = until;
    if (!until)
        return;
    process::log(process::LogLevel::Info, "missing-targets-kept",
        { { "for-ms", msText(*until - unsuspendedNow()) }, { "targets", std::to_string(size) },
            { "reason", "nothing was known of the store for a while; entries may have lapsed" } });
}

void PeerFollower::noteAge()
{
    const news::Knowledge known = m_state.knowledge();
    const TimePoint now = unsuspendedNow();
    const std::optional<TimePoint> until = news::knownUntil(known);
    const Duration age = now - until.value_or(m_startedAt);
    m_metrics.knowledgeAge(age, m_times.bound);
    const bool isLate = age > m_times.bound;
    if (m_state.isKnowledgeStale.exchange(isLate) == isLate)
        return;
    const news::ReadStanding standing = m_fleet.readStanding(m_times);
    process::log(isLate ? process::LogLevel::Warning : process::LogLevel::Info,
        isLate ? "knowledge-late" : "knowledge-in-time",
        { { "config", std::to_string(known.configVersion) }, { "config-age-ms", ageText(known.configUntil, now) },
            { "targets-offset", std::to_string(known.targetsNext) },
            { "targets-age-ms", ageText(known.targetsUntil, now) }, { "bound-ms", msText(m_times.bound) },
            { "reader", standing.isReader ? "yes" : "no" }, { "rank", std::to_string(standing.rank) },
            { "peers-answered", std::to_string(tries().answered) },
            { "peers-unanswered", std::to_string(tries().unanswered) } });
}

} // namespace sagechute::edge
