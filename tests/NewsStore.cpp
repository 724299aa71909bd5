#include "NewsStore.h"

#include <algorithm>

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

    Duration fractionOf(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

} // namespace

NewsStore::NewsStore(TimePoint start, Duration stableTime)
    : m_stableTime(stableTime)
    , m_operator { { start, std::nullopt } }
    , m_configAcknowledged { start }
{
    for (std::size_t i = 0; i < targetCount; ++i)
        addTarget(start);
}

void NewsStore::addTarget(TimePoint now)
{
    m_lives.push_back({ { "target-" + std::to_string(m_lives.size()) }, {}, {}, {}, true });
    write(m_lives.back().id, true, now);
}

void NewsStore::write(const TargetId& id, bool isListed, std::optional<TimePoint> acknowledged)
{
    TargetChange change { id, std::nullopt, targetsEnd() };
    if (isListed) {
        change.target = dispatch::Target {};
        change.target->id = id;
    }
    m_records.push_back(std::move(change));
    m_acknowledged.push_back(acknowledged);
}

void NewsStore::change(TimePoint now, SeededRandom& random)
{
    if (behavior(now) != StoreBehavior::Serves)
        return;
    if (random.fraction() < configShare) {
        m_configAcknowledged.push_back(now);
        m_operator.push_back({ now, std::nullopt });
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
    write(oldest->id, false, now);
}

void NewsStore::changeZone(TimePoint now, const ZoneId& zone, bool isEvacuated)
{
    m_operator.push_back({ now, ZoneChange { zone, isEvacuated, operatorEnd() } });
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

std::uint64_t NewsStore::configVersionsBefore(LogOffset end) const { return end - zoneChanges(0, end).size(); }

std::optional<TimePoint> NewsStore::operatorMissingSince(LogOffset next) const
{
    return next < m_operator.size() ? std::optional(m_operator[next].acknowledged) : std::nullopt;
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
        if (it.left || behavior == StoreBehavior::Slow)
            continue;
        const TimePoint lapses = m_awaySince + firstLapse + fractionOf(lapseSpread, random.fraction());
        it.returns = until + fractionOf(maxReregistrationDelay, random.fraction());
        it.lapses = lapses < until ? std::optional(lapses) : std::nullopt;
    }
}

void NewsStore::step(TimePoint now)
{
    for (Life& it : m_lives) {
        if (it.lapses && now >= *it.lapses) {
            it.lapses.reset();
            if (it.isListed)
                write(it.id, false, std::nullopt);
            it.isListed = false;
        }
        if (it.returns && now >= *it.returns) {
            it.returns.reset();
            if (!it.isListed)
                write(it.id, true, std::nullopt);
            it.isListed = true;
        }
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
    return version < m_configAcknowledged.size() ? std::optional(m_configAcknowledged[version]) : std::nullopt;
}

std::optional<TimePoint> NewsStore::targetsMissingSince(LogOffset next) const
{
    for (LogOffset i = next; i < m_acknowledged.size(); ++i) {
        if (m_acknowledged[i])
            return m_acknowledged[i];
    }
    return std::nullopt;
}

std::optional<TimePoint> NewsStore::leftAt(const TargetId& id) const
{
    const auto it = std::find_if(m_lives.begin(), m_lives.end(), [&](const Life& life) { return life.id == id; });
    return it == m_lives.end() ? std::nullopt : it->left;
}

} // namespace sagechute::news::test
