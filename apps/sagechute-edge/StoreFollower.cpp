#include "StoreFollower.h"

#include "AgeText.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// A reader whose calls are all answered with news at once, as while many targets leave, lets some of them gather.
    constexpr int leastPauseParts = 5; ///< Of the time that the store may keep a call.

    /// Who reads changes with what is heard; looked at some times within the time after which a reader counts as lost.
    constexpr int looksPerBound = 10;

    double placeOf(const std::string& vm) { return static_cast<double>(stableHash(vm) >> 11) * 0x1.0p-53; }

    bool isIn(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

} // namespace

StoreFollower::StoreFollower(EdgeState& state, Fleet& fleet, news::FleetStore& store, ConfigIntake& intake,
    EdgeMetrics& metrics, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_intake(intake)
    , m_metrics(metrics)
    , m_times(options.newsTimes())
    , m_isSeed(isIn(options.seeds, options.controlListen))
    , m_place(placeOf(options.vm))
    , m_config { "configuration", &StoreFollower::readConfig, [](const news::Knowledge& it) { return it.configUntil; },
        &state.configReadAt }
    , m_targets { "targets", &StoreFollower::readTargets, [](const news::Knowledge& it) { return it.targetsUntil; },
        &state.targetsReadAt }
{
}

void StoreFollower::start()
{
    m_threads.emplace_back([this] { follow(m_config); });
    m_threads.emplace_back([this] { follow(m_targets); });
}

StoreFollower::~StoreFollower()
{
    m_gate.stop();
    for (std::thread& it : m_threads)
        it.join();
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
    while (m_gate.pause(delay)) {
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
    if (const LogOffset known = m_intake.next())
        topic.cursor.toldByPeer(known);
    const std::optional<LogOffset> from = topic.cursor.next();
    const TimePoint sent = unsuspendedNow();
    const absl::StatusOr<news::ConfigNews> found
        = from ? m_store.followConfig(*from, toMs(wait)) : m_store.readConfig();
    if (!noteRead(topic, found.status(), found.ok() ? found->next : 0))
        return false;
    noteUnreadable(topic.name, found->unreadable);
    if (found->newest)
        m_intake.adopt(*found->newest, "store");
    const bool isEmpty = from && found->next == *from;
    m_state.configKnown(news::knownByRead(sent, unsuspendedNow(), wait, isEmpty));
    return true;
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
        roster.known(found->next, news::ReadSpan { sent, until });
        if (from)
            roster.applyAll(now, found->changes);
        else
            roster.replace(now, found->changes, found->next);
    });
    noteUnreadable(topic.name, found->unreadable);
    for (const news::TargetChange& it : found->changes) {
        if (!it.target || it.target->draining)
            process::log(process::LogLevel::Info, it.target ? "target-draining" : "target-gone",
                { { "target", it.target ? toString(it.target->incarnation()) : it.id.value },
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

} // namespace sagechute::edge
