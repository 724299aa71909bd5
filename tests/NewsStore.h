#pragma once

/// @file
/// Simulated store of a NewsWorld.

#include <sagechute/News.h>

#include <array>
#include <deque>

namespace sagechute::news::test {

/// Behavior of the store towards one router or all of them.
enum class StoreBehavior {
    Serves,
    Busy, ///< Refuses calls immediately.
    Silent, ///< Accepts calls and never answers.
    Slow,
};

/// Holds configurations, modelled by their version number, and target entries. Targets are added and removed; entries
/// expire while the store answers nobody, and are registered again within two seconds of its return.
class NewsStore {
public:
    /// @param stableTime time after the store's return during which its acknowledgements are exempt from the bound,
    /// since expired entries cannot be told from removed ones until then.
    NewsStore(TimePoint start, Duration stableTime);

    /// Changes the configuration, or adds or removes a target. Does nothing while the store is unavailable.
    void change(TimePoint now, SeededRandom&);

    /// Evacuates a zone, or lifts its evacuation. The store must be serving.
    void changeZone(TimePoint now, const ZoneId&, bool isEvacuated);

    /// Discards the operator records written so far; only the present keys can be read from then on.
    void truncateOperatorHistory() { m_operatorFirst = m_operator.size(); }

    /// Sets the behavior towards all routers. @param until when the store serves again.
    void setBehavior(TimePoint now, StoreBehavior, TimePoint until, SeededRandom&);

    /// Expires entries and registers them again when due.
    void step(TimePoint now);

    /// @return the current behavior towards all routers.
    StoreBehavior behavior(TimePoint now) const { return now < m_behaviorUntil ? m_behavior : StoreBehavior::Serves; }
    TimePoint behaviorUntil() const { return m_behaviorUntil; }

    std::uint64_t configVersions() const { return m_configAcknowledged.size(); }
    StoreEra era() const { return m_era; }
    LogPosition operatorEnd() const { return { m_operator.size(), m_era }; }
    LogOffset operatorFirst() const { return m_operatorFirst; }

    /// @return the zone changes among the operator records in [from, end).
    std::vector<ZoneChange> zoneChanges(LogOffset from, LogOffset end) const;

    /// @return the zones that are evacuated by the operator records before @p end, each with its newest record.
    std::vector<ZoneChange> zonesBefore(LogOffset end) const;

    /// @return the number of configurations among the operator records before @p end.
    std::uint64_t configVersionsBefore(LogOffset end) const;

    /// @return when the first operator record at or after @p next was acknowledged; absent if there is none.
    std::optional<TimePoint> operatorMissingSince(LogOffset next) const;

    LogPosition targetsEnd() const { return { m_records.size(), m_era }; }

    /// @return all target records at or after @p from.
    std::vector<TargetChange> targetsSince(LogOffset from) const;

    /// @return the current entries, each as a change that sets it.
    std::vector<TargetChange> targets() const;

    /// @return when the first configuration newer than this one was acknowledged; absent if there is none.
    std::optional<TimePoint> configMissingSince(std::uint64_t version) const;

    /// @return the same for target changes; expiry and renewed registration of entries are not counted.
    std::optional<TimePoint> targetsMissingSince(LogOffset next) const;

    /// @return when the removal of a target takes effect; absent for a live target.
    std::optional<TimePoint> leftAt(const TargetId&) const;

    /// @return when the store has been undisturbed for the stable time.
    TimePoint stableAt() const { return m_behaviorUntil + m_stableTime; }

private:
    /// A target whose entry may expire, with the times of its events.
    struct Life {
        TargetId id;
        std::optional<TimePoint> left;
        std::optional<TimePoint> lapses;
        std::optional<TimePoint> returns;
        bool isListed = true;
    };

    void addTarget(TimePoint now);
    void write(const TargetId&, bool isListed, std::optional<TimePoint> acknowledged);

    struct OperatorRecord {
        TimePoint acknowledged;
        std::optional<ZoneChange> zone; ///< Absent: a configuration.
    };

    const Duration m_stableTime;
    StoreEra m_era = 1;
    std::vector<OperatorRecord> m_operator;
    LogOffset m_operatorFirst = 0;
    std::vector<TimePoint> m_configAcknowledged;
    std::vector<TargetChange> m_records;
    std::vector<std::optional<TimePoint>>
        m_acknowledged; ///< Acknowledgement time by record; absent where the bound does not apply.
    std::vector<Life> m_lives;
    StoreBehavior m_behavior = StoreBehavior::Serves;
    TimePoint m_behaviorUntil {};
    TimePoint m_awaySince {}; ///< Start of the last interval in which the store answered nobody.
};

} // namespace sagechute::news::test
