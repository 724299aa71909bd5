#include "StoreFollower.h"

#include "AgeText.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// Shortest interval between reads, as a divisor of the store's hold time. Batches records when every call is
    /// answered at once, as while many targets leave.
    constexpr int minIntervalDivisor = 5;

    /// Which routers read the store changes with heartbeats, so this is checked several times within the time after
    /// which a reader counts as lost.
    constexpr int checksPerBound = 10;

    double hashToUnitInterval(const std::string& vm) { return static_cast<double>(stableHash(vm) >> 11) * 0x1.0p-53; }

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

} // namespace

StoreFollower::StoreFollower(EdgeState& state, Fleet& fleet, news::FleetStore& store, ConfigIntake& configIntake,
    EdgeMetrics& metrics, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_configIntake(configIntake)
    , m_metrics(metrics)
    , m_times(options.newsTimes())
    , m_isSeed(contains(options.seeds, options.controlListen))
    , m_place(hashToUnitInterval(options.vm))
    , m_config { "configuration", &StoreFollower::readConfig, [](const news::Knowledge& it) { return it.configUntil; },
        &state.configReadAt }
    , m_targets { "targets", &StoreFollower::readTargets, [](const news::Knowledge& it) { return it.targetsUntil; },
        &state.targetsReadAt }
{
}

void StoreFollower::start()
{
    m_threads.emplace_back([this] { run(m_config); });
    m_threads.emplace_back([this] { run(m_targets); });
}

StoreFollower::~StoreFollower()
{
    m_sleeper.stop();
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

void StoreFollower::run(Topic& topic)
{
    Duration delay {};
    while (m_sleeper.sleepFor(delay)) {
        const std::optional<TimePoint> until = topic.knownUntil(m_state.knowledge());
        if (topic.failedAt && until && *until > *topic.failedAt) {
            topic.cursor.renewed();
            topic.failedAt.reset();
        }
        const news::ReadOccasion now = occasion(topic);
        TimePoint due = news::readDue(now, m_times);
        if (topic.sentAt)
            due = std::max(due, *topic.sentAt + m_times.wait / minIntervalDivisor);
        const Duration left = due - unsuspendedNow();
        if (left > Duration::zero()) {
            delay = std::min(left, m_times.bound / checksPerBound);
        } else {
            topic.sentAt = unsuspendedNow();
            const bool isRead = (this->*topic.read)(topic, now.standing.isReader ? m_times.wait : Duration::zero());
            // A store that lacks the records has answered, and a full read can follow at once.
            topic.failedAt = isRead || topic.hasLostHistory ? std::nullopt : topic.sentAt;
            delay = Duration::zero();
        }
    }
}

bool StoreFollower::recordRead(Topic& topic, const absl::Status& status, news::LogPosition next)
{
    m_metrics.storeCalls().Increment();
    m_metrics.storeEra().Set(static_cast<double>(m_store.era()));
    const TimePoint now = unsuspendedNow();
    topic.hasLostHistory = errorKind(status) == ErrorKind::RetentionExceeded;
    if (status.ok()) {
        topic.readAt->store(now);
        if (const std::optional<Duration> away = topic.cursor.readDone(now, next))
            process::log(
                process::LogLevel::Info, "store-regained", { { "topic", topic.name }, { "away-ms", formatMs(*away) } });
        return true;
    }
    if (topic.hasLostHistory) {
        topic.cursor.historyLost();
        m_metrics.historyLosses().Increment();
        process::log(process::LogLevel::Warning, "store-history-lost",
            { { "topic", topic.name }, { "reason", std::string(status.message()) } });
    } else if (topic.cursor.readFailed(now)) {
        process::log(process::LogLevel::Warning, "store-lost",
            { { "topic", topic.name }, { "reason", std::string(status.message()) } });
    }
    return false;
}

bool StoreFollower::readConfig(Topic& topic, Duration wait)
{
    if (const news::LogPosition known = m_state.knowledge().operatorNext; known > news::LogPosition {})
        topic.cursor.toldByPeer(known);
    const std::optional<news::LogPosition> from = topic.cursor.next();
    const TimePoint sent = unsuspendedNow();
    absl::StatusOr<news::ConfigNews> found
        = from ? m_store.followConfig(*from, toMilliseconds(wait)) : m_store.readConfig();
    if (!recordRead(topic, found.status(), found.ok() ? found->next : news::LogPosition {}))
        return false;
    reportUnreadable(topic.name, found->unreadable);
    const bool isEmpty = from && found->next == *from;
    m_configIntake.install({ std::move(found->newest), std::move(found->zones), !from, found->next }, "store");
    m_state.extendConfigKnowledge(news::knownByRead(sent, unsuspendedNow(), wait, isEmpty));
    return true;
}

bool StoreFollower::readTargets(Topic& topic, Duration wait)
{
    if (const auto known = m_state.withTargets([](const news::TargetRoster& it) { return it.next(); }))
        topic.cursor.toldByPeer(*known);
    const std::optional<news::LogPosition> from = topic.cursor.next();
    const TimePoint sent = unsuspendedNow();
    const absl::StatusOr<news::TargetNews> found
        = from ? m_store.followTargets(*from, toMilliseconds(wait)) : m_store.readTargets();
    if (!recordRead(topic, found.status(), found.ok() ? found->next : news::LogPosition {}))
        return false;
    const TimePoint now = unsuspendedNow();
    const bool isEmpty = from && found->next == *from;
    const TimePoint until = news::knownByRead(sent, now, wait, isEmpty);
    m_state.updateTargets([&](news::TargetRoster& roster) {
        // Must come first: after a long gap in reads, entries that are missing now may only have expired.
        roster.known(found->next, news::ReadSpan { sent, until });
        if (from)
            roster.applyAll(now, found->changes);
        else
            roster.replace(now, found->changes, found->next);
    });
    reportUnreadable(topic.name, found->unreadable);
    for (const news::TargetChange& it : found->changes) {
        if (!it.target || it.target->draining)
            process::log(process::LogLevel::Info, it.target ? "target-draining" : "target-gone",
                { { "target", it.target ? toString(it.target->incarnation()) : it.id.value },
                    { "offset", std::to_string(it.position.offset) } });
    }
    return true;
}

void StoreFollower::reportUnreadable(const char* topic, const std::vector<news::UnreadableRecord>& records)
{
    if (records.empty())
        return;
    m_metrics.unreadableRecords().Increment(static_cast<double>(records.size()));
    // One line per read, however many records there are, so that another writer cannot flood the log.
    const news::UnreadableRecord& first = records.front();
    process::log(process::LogLevel::Warning, "records-unreadable",
        { { "topic", topic }, { "count", std::to_string(records.size()) }, { "first-key", first.key },
            { "reason", first.reason } });
}

} // namespace sagechute::edge
