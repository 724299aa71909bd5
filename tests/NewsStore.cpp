#include "NewsStore.h"

#include <algorithm>
#include <utility>

namespace sagechute::news::test {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t targetCount = 8;
    constexpr double configShare = 0.4; ///< Fraction of all changes.

    // Targets renew their entries every 1.2 s; three consecutive failures remove an entry. It is registered again
    // within two seconds.
    constexpr Duration firstLapse = milliseconds(2400);
    constexpr Duration lapseSpread = milliseconds(1200);
    constexpr Duration maxReregistrationDelay = milliseconds(1900);
    constexpr Duration renewalInterval = milliseconds(1200);
    constexpr Duration renewalOffset = milliseconds(150); ///< Of each target to the one before.

    Duration fractionOf(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

} // namespace

NewsStore::NewsStore(TimePoint start, Duration stableTime)
    : m_stableTime(stableTime)
    , m_operator { { start, start, std::nullopt, 1 } }
    , m_configAcknowledged { start }
    , m_common(1)
{
    for (std::size_t i = 0; i < targetCount; ++i)
        addTarget(start);
}

void NewsStore::addTarget(TimePoint now)
{
    m_lives.push_back({ { "target-" + std::to_string(m_lives.size()) }, {}, {}, {}, true });
    m_lives.back().listedSince = now;
    if (m_isRenewing)
        m_lives.back().renews = now + renewalInterval;
    write(now, m_lives.back().id, true, now);
}

void NewsStore::startRenewals(TimePoint now)
{
    m_isRenewing = true;
    for (std::size_t i = 0; i < m_lives.size(); ++i)
        m_lives[i].renews = now + renewalOffset * static_cast<int>(i);
}

void NewsStore::write(TimePoint now, const TargetId& id, bool isListed, std::optional<TimePoint> acknowledged)
{
    TargetChange change { id, std::nullopt, targetsEnd() };
    if (isListed) {
        change.target = dispatch::Target {};
        change.target->id = id;
    }
    m_records.push_back(std::move(change));
    m_written.push_back(now);
    m_acknowledged.push_back(acknowledged);
}

void NewsStore::change(TimePoint now, SeededRandom& random)
{
    if (behavior(now) != StoreBehavior::Serves)
        return;
    if (random.fraction() < configShare) {
        m_configAcknowledged.push_back(now);
        writeConfig(now, configVersions());
        return;
    }
    const auto present = std::count_if(m_lives.begin(), m_lives.end(), [](const Life& it) { return !it.left; });
    if (static_cast<std::size_t>(present) < targetCount) {
        addTarget(now);
        return;
    }
    const auto oldest = std::find_if(
        m_lives.begin(), m_lives.end(), [](const Life& it) { return !it.left && it.isListed && !it.returns; });
    if (oldest == m_lives.end())
        return;
    oldest->left = std::max(now, stableAt());
    oldest->isListed = false;
    oldest->renews.reset();
    write(now, oldest->id, false, now);
}

void NewsStore::writeConfig(TimePoint now, std::uint64_t version)
{
    m_operator.push_back({ now, now, std::nullopt, version });
    m_configAcknowledged[version - 1] = now;
    // The versions are one key of the topic: a later one leaves nothing of those before to be written.
    if (m_mixesVersions)
        m_versionsToWrite.erase(version);
    else
        m_versionsToWrite.erase(m_versionsToWrite.begin(), m_versionsToWrite.upper_bound(version));
}

void NewsStore::changeZone(TimePoint now, const ZoneId& zone, bool isEvacuated)
{
    m_operator.push_back({ now, now, ZoneChange { zone, isEvacuated, operatorEnd() } });
    WantedZone& wanted = m_wantedZones[zone];
    if (wanted.isEvacuated != isEvacuated)
        wanted.since = now;
    wanted.isEvacuated = isEvacuated;
    wanted.writesAgain.reset();
}

void NewsStore::returnFromCopy(TimePoint now, Duration age, SeededRandom& random)
{
    const TimePoint copiedAt = now - age;
    const bool isAway = behavior(now) == StoreBehavior::Busy || behavior(now) == StoreBehavior::Silent;
    m_behaviorUntil = std::max(m_behaviorUntil, now);
    const TimePoint servesFrom = isAway ? m_behaviorUntil : now;
    const auto drawTime = [&] {
        const TimePoint at = servesFrom + fractionOf(maxReregistrationDelay, random.fraction());
        m_writtenAgainAt = std::max(m_writtenAgainAt, at);
        return at;
    };
    const StoreEra source = restoreEra(now, copiedAt);
    // Never older than the start, whose records are written at its time.
    while (m_operator.size() > 1 && m_operator.back().written > copiedAt)
        m_operator.pop_back();
    m_configAcknowledged.assign(m_configAcknowledged.size(), std::nullopt);
    for (const OperatorRecord& it : m_operator) {
        if (!it.zone)
            m_configAcknowledged[it.version - 1] = it.acknowledged;
    }
    while (m_records.size() > targetCount && m_written.back() > copiedAt) {
        m_records.pop_back();
        m_written.pop_back();
        m_acknowledged.pop_back();
    }
    ++m_era;
    for (OperatorRecord& it : m_operator) {
        if (it.zone)
            it.zone->position.era = m_era;
    }
    for (TargetChange& it : m_records)
        it.position.era = m_era;
    m_operatorFirst = std::min<LogOffset>(m_operatorFirst, m_operator.size());
    std::vector<CopyEnd> common;
    for (StoreEra era = 1; era < m_era; ++era) {
        CopyEnd end { m_operator.size(), m_records.size() };
        if (era != source) {
            const CopyEnd& before = m_common[std::max(era, source) - 1][std::min(era, source) - 1];
            end = { std::min(end.operatorEnd, before.operatorEnd), std::min(end.targetsEnd, before.targetsEnd) };
        }
        common.push_back(end);
    }
    m_common.push_back(std::move(common));

    m_versionsToWrite.clear();
    std::vector<TimePoint> times;
    const std::uint64_t firstLost = m_mixesVersions ? 1 : lastConfig(0, m_operator.size()) + 1;
    for (std::uint64_t version = firstLost; version <= configVersions(); ++version) {
        if (!m_configAcknowledged[version - 1]) {
            m_versionsToWrite[version] = {};
            times.push_back(drawTime());
        }
    }
    if (!m_mixesVersions)
        std::sort(times.begin(), times.end());
    std::size_t n = 0;
    for (auto& [version, at] : m_versionsToWrite)
        at = times[n++];

    std::map<ZoneId, bool> held;
    for (const ZoneChange& it : zonesBefore(m_operator.size()))
        held[it.zone] = true;
    for (auto& [zone, wanted] : m_wantedZones) {
        wanted.writesAgain.reset();
        if (wanted.isEvacuated != held.contains(zone))
            wanted.writesAgain = drawTime();
    }
    for (Life& it : m_lives)
        returnTarget(now, it, drawTime() - now);
}

StoreEra NewsStore::restoreEra(TimePoint now, TimePoint copiedAt)
{
    m_formerEras.push_back({ m_eraBegin, m_operator, m_records, m_written, m_acknowledged });
    m_eraBegin = now;
    if (!m_keepsFormerEras)
        return m_era;
    StoreEra source = m_era;
    while (source > 1 && copiedAt < m_formerEras[source - 1].begin)
        --source;
    if (source == m_era)
        return source;
    const FormerEra& former = m_formerEras[source - 1];
    const CopyEnd& common = m_common[m_era - 1][source - 1];
    m_operator = former.operators;
    m_records = former.records;
    m_written = former.written;
    m_acknowledged = former.acknowledged;
    // Nobody could read the rest just now, so that the bound counts from the return.
    for (std::size_t i = common.operatorEnd; i < m_operator.size(); ++i)
        m_operator[i].acknowledged = now;
    for (std::size_t i = common.targetsEnd; i < m_records.size(); ++i) {
        if (m_acknowledged[i])
            m_acknowledged[i] = now;
    }
    return source;
}

void NewsStore::returnTarget(TimePoint now, Life& it, Duration delay)
{
    const bool isInCopy = isInLog(it.id);
    const bool wasListed = std::exchange(it.isListed, isInCopy);
    if (!isInCopy || !wasListed)
        it.listedSince = now;
    if (!it.left) {
        it.returns = now + delay;
        return;
    }
    const auto removal = std::find_if(
        m_records.rbegin(), m_records.rend(), [&](const TargetChange& change) { return change.id == it.id; });
    // As when the store is disturbed otherwise: an exemption that has not ended restarts.
    if (*it.left > now)
        it.left = stableAt();
    const bool isRemovalBack = removal != m_records.rend() && !removal->target
        && m_acknowledged[static_cast<std::size_t>(m_records.rend() - removal - 1)] == now;
    if (isRemovalBack)
        it.left = std::max(*it.left, stableAt());
    const bool isRemovalHeld = removal != m_records.rend() && !removal->target;
    it.leavesAgain.reset();
    if (isRemovalHeld)
        return;
    if (isInCopy)
        it.leavesAgain = now + delay;
    // Nobody can read the lost notice any more.
    it.left = std::max(*it.left, stableAt());
}

bool NewsStore::isInLog(const TargetId& id) const
{
    const auto last = std::find_if(
        m_records.rbegin(), m_records.rend(), [&](const TargetChange& change) { return change.id == id; });
    return last != m_records.rend() && last->target.has_value();
}

std::vector<ZoneChange> NewsStore::zoneChanges(LogOffset from, LogOffset end) const
{
    std::vector<ZoneChange> changes;
    for (LogOffset i = from; i < end; ++i) {
        if (m_operator[i].zone)
            changes.push_back(*m_operator[i].zone);
    }
    return changes;
}

std::vector<ZoneChange> NewsStore::zonesBefore(LogOffset end) const
{
    std::map<ZoneId, ZoneChange> newest;
    for (const ZoneChange& it : zoneChanges(0, end))
        newest[it.zone] = it;
    std::vector<ZoneChange> present;
    for (const auto& [zone, change] : newest) {
        if (change.isEvacuated)
            present.push_back(change);
    }
    return present;
}

std::uint64_t NewsStore::lastConfig(LogOffset from, LogOffset end) const
{
    for (LogOffset i = end; i > from; --i) {
        if (!m_operator[i - 1].zone)
            return m_operator[i - 1].version;
    }
    return 0;
}

LogOffset NewsStore::firstMissing(LogPosition next, LogOffset CopyEnd::*end) const
{
    if (next.era == 0 || next.era >= m_era)
        return next.offset;
    return std::min(next.offset, m_common[m_era - 1][next.era - 1].*end);
}

std::optional<TimePoint> NewsStore::operatorMissingSince(LogPosition next) const
{
    const LogOffset first = firstMissing(next, &CopyEnd::operatorEnd);
    return first < m_operator.size() ? std::optional(m_operator[first].acknowledged) : std::nullopt;
}

void NewsStore::setBehavior(TimePoint now, StoreBehavior behavior, TimePoint until, SeededRandom& random)
{
    const StoreBehavior before = this->behavior(now);
    const bool wasAway = before == StoreBehavior::Busy || before == StoreBehavior::Silent;
    // An unavailable store stays so until its last fault ends; only then can entries be written again.
    if (wasAway && (behavior == StoreBehavior::Slow || until <= m_behaviorUntil))
        return;
    if (!wasAway)
        m_awaySince = now;
    m_behavior = behavior;
    m_behaviorUntil = until;
    for (Life& it : m_lives) {
        // The removal was still exempt from the bound when the store was disturbed again: the exemption restarts.
        if (it.left && *it.left > now)
            it.left = stableAt();
        if (it.leavesAgain && behavior != StoreBehavior::Slow)
            it.leavesAgain = until + fractionOf(maxReregistrationDelay, random.fraction());
        if (it.left || behavior == StoreBehavior::Slow)
            continue;
        const TimePoint lapses = m_awaySince + firstLapse + fractionOf(lapseSpread, random.fraction());
        it.returns = until + fractionOf(maxReregistrationDelay, random.fraction());
        it.lapses = lapses < until ? std::optional(lapses) : std::nullopt;
    }
}

void NewsStore::step(TimePoint now)
{
    for (Life& it : m_lives)
        stepLife(now, it);
    const StoreBehavior behavior = this->behavior(now);
    if (behavior == StoreBehavior::Busy || behavior == StoreBehavior::Silent)
        return;
    const auto due = [&] {
        return std::find_if(
            m_versionsToWrite.begin(), m_versionsToWrite.end(), [&](const auto& it) { return now >= it.second; });
    };
    for (auto it = due(); it != m_versionsToWrite.end(); it = due()) {
        m_writtenAgainAt = std::max(m_writtenAgainAt, now);
        writeConfig(now, it->first);
    }
    for (auto& [zone, wanted] : m_wantedZones) {
        if (wanted.writesAgain && now >= *wanted.writesAgain) {
            m_writtenAgainAt = std::max(m_writtenAgainAt, now);
            changeZone(now, zone, wanted.isEvacuated);
        }
    }
}

void NewsStore::stepLife(TimePoint now, Life& it)
{
    const StoreBehavior behavior = this->behavior(now);
    const bool isAway = behavior == StoreBehavior::Busy || behavior == StoreBehavior::Silent;
    if (it.lapses && now >= *it.lapses) {
        it.lapses.reset();
        if (it.isListed)
            write(now, it.id, false, std::nullopt);
        it.isListed = false;
    }
    if (it.returns && now >= *it.returns) {
        it.returns.reset();
        if (!it.isListed || m_isRenewing)
            write(now, it.id, true, std::nullopt);
        if (!it.isListed)
            it.listedSince = now;
        it.isListed = true;
        if (m_isRenewing)
            it.renews = now + renewalInterval;
    }
    if (it.renews && now >= *it.renews && !it.left && !it.returns && it.isListed && !isAway) {
        write(now, it.id, true, std::nullopt);
        it.renews = now + renewalInterval;
    }
    if (it.leavesAgain && now >= *it.leavesAgain && !isAway) {
        m_writtenAgainAt = std::max(m_writtenAgainAt, now);
        it.leavesAgain.reset();
        it.isListed = false;
        write(now, it.id, false, now);
    }
}

std::vector<TargetChange> NewsStore::targetsSince(LogOffset from) const
{
    return { m_records.begin() + static_cast<std::ptrdiff_t>(std::min<LogOffset>(from, m_records.size())),
        m_records.end() };
}

std::vector<TargetChange> NewsStore::targets() const
{
    std::map<TargetId, TargetChange> newest;
    for (const TargetChange& it : m_records)
        newest[it.id] = it;
    std::vector<TargetChange> present;
    for (const auto& [id, change] : newest) {
        if (change.target)
            present.push_back(change);
    }
    return present;
}

std::optional<TimePoint> NewsStore::configMissingSince(std::uint64_t version) const
{
    std::optional<TimePoint> first;
    for (std::size_t i = version; i < m_configAcknowledged.size(); ++i) {
        if (m_configAcknowledged[i])
            first = std::min(first.value_or(*m_configAcknowledged[i]), *m_configAcknowledged[i]);
    }
    return first;
}

std::optional<TimePoint> NewsStore::targetsMissingSince(LogPosition next) const
{
    for (LogOffset i = firstMissing(next, &CopyEnd::targetsEnd); i < m_acknowledged.size(); ++i) {
        if (m_acknowledged[i])
            return m_acknowledged[i];
    }
    return std::nullopt;
}

std::vector<TargetId> NewsStore::listedSince(TimePoint at) const
{
    std::vector<TargetId> result;
    for (const Life& it : m_lives) {
        if (!it.left && it.isListed && it.listedSince <= at)
            result.push_back(it.id);
    }
    return result;
}

std::map<ZoneId, bool> NewsStore::zonesWantedSince(TimePoint at) const
{
    std::map<ZoneId, bool> result;
    for (const auto& [zone, wanted] : m_wantedZones) {
        if (wanted.since <= at)
            result[zone] = wanted.isEvacuated;
    }
    return result;
}

std::optional<TimePoint> NewsStore::leftAt(const TargetId& id) const
{
    const auto it = std::find_if(m_lives.begin(), m_lives.end(), [&](const Life& life) { return life.id == id; });
    return it == m_lives.end() ? std::nullopt : it->left;
}

} // namespace sagechute::news::test
