#pragma once

/// @file
/// Simulated store of a NewsWorld.

#include <sagechute/News.h>

#include <array>
#include <deque>
#include <map>

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
///
/// It may return from a copy that is some seconds old. What was written since is gone and is written again by the
/// operator and the targets within two seconds, in another order.
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

    /// Targets write their entries every 1.2 s from now on. Without it they write only what changes.
    void startRenewals(TimePoint now);

    /// Makes the topics what they were in the past, in a new era.
    /// @param age of the copy.
    void returnFromCopy(TimePoint now, Duration age, SeededRandom&);

    /// Copies may be of before an earlier return and bring back records that it lost. Otherwise they are the beginning
    /// of the present topics.
    void keepFormerEras() { m_keepsFormerEras = true; }

    /// Lets the operator write lost versions again in any order, not in theirs.
    void mixVersions() { m_mixesVersions = true; }

    /// Expires entries, and writes again what expired or was lost, when due.
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

    /// @return the version of the last configuration among the operator records in [from, end); zero without one.
    std::uint64_t lastConfig(LogOffset from, LogOffset end) const;

    /// @return when the first operator record at or after @p next was acknowledged; absent if there is none. To a
    /// position of an older era all records are later that were written since that era.
    std::optional<TimePoint> operatorMissingSince(LogPosition next) const;

    LogPosition targetsEnd() const { return { m_records.size(), m_era }; }

    /// @return all target records at or after @p from.
    std::vector<TargetChange> targetsSince(LogOffset from) const;

    /// @return the current entries, each as a change that sets it.
    std::vector<TargetChange> targets() const;

    /// @return when the first configuration newer than this one was acknowledged; absent if there is none.
    std::optional<TimePoint> configMissingSince(std::uint64_t version) const;

    /// @return the same for target changes; expiry and renewed registration of entries are not counted.
    std::optional<TimePoint> targetsMissingSince(LogPosition next) const;

    /// @return when the removal of a target takes effect; absent for a live target.
    std::optional<TimePoint> leftAt(const TargetId&) const;

    /// @return the live targets that have been listed without a break since @p at.
    std::vector<TargetId> listedSince(TimePoint at) const;

    /// @return the zones whose state the operator has not changed since @p at, and whether it wants them evacuated.
    std::map<ZoneId, bool> zonesWantedSince(TimePoint at) const;

    /// @return the last time at which something was, or is going to be, written again after a return.
    TimePoint writtenAgainAt() const { return m_writtenAgainAt; }

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
        std::optional<TimePoint> leavesAgain; ///< When its lost removal is written again.
        std::optional<TimePoint> renews;
        TimePoint listedSince {};
    };

    void addTarget(TimePoint now);
    void write(TimePoint now, const TargetId&, bool isListed, std::optional<TimePoint> acknowledged);
    void writeConfig(TimePoint now, std::uint64_t version);
    void returnTarget(TimePoint now, Life&, Duration delay);
    bool isInLog(const TargetId&) const;
    void stepLife(TimePoint now, Life&);

    struct OperatorRecord {
        TimePoint written;
        TimePoint acknowledged; ///< Or back, if it was lost in between.
        std::optional<ZoneChange> zone; ///< Absent: a configuration.
        std::uint64_t version = 0;
    };

    /// What the operator wants a zone to be.
    struct WantedZone {
        bool isEvacuated = false;
        TimePoint since;
        std::optional<TimePoint> writesAgain;
    };

    /// What was in the topics at the end of an era.
    struct FormerEra {
        TimePoint begin;
        std::vector<OperatorRecord> operators;
        std::vector<TargetChange> records;
        std::vector<TimePoint> written;
        std::vector<std::optional<TimePoint>> acknowledged;
    };

    /// Puts back the topics of the era in which a copy was made.
    /// @return that era.
    StoreEra restoreEra(TimePoint now, TimePoint copiedAt);

    /// Ends of what the topics of two eras have in common.
    struct CopyEnd {
        LogOffset operatorEnd = 0;
        LogOffset targetsEnd = 0;
    };

    /// @return the offset from which on records are unknown to one who has read up to @p next.
    LogOffset firstMissing(LogPosition next, LogOffset CopyEnd::*end) const;

    const Duration m_stableTime;
    StoreEra m_era = 1;
    std::vector<OperatorRecord> m_operator;
    LogOffset m_operatorFirst = 0;
    std::vector<std::optional<TimePoint>> m_configAcknowledged; ///< Absent while lost.
    std::map<std::uint64_t, TimePoint> m_versionsToWrite; ///< Lost, and when they are written again.
    std::map<ZoneId, WantedZone> m_wantedZones;
    std::vector<std::vector<CopyEnd>> m_common; ///< By era, for each era before it; the first is of era 1.
    std::vector<FormerEra> m_formerEras; ///< The first is era 1.
    TimePoint m_eraBegin {};
    bool m_keepsFormerEras = false;
    TimePoint m_writtenAgainAt {};
    bool m_mixesVersions = false;
    bool m_isRenewing = false;
    std::vector<TargetChange> m_records;
    std::vector<std::optional<TimePoint>>
        m_acknowledged; ///< Acknowledgement time by record; absent where the bound does not apply.
    std::vector<TimePoint> m_written; ///< Time of writing by record.
    std::vector<Life> m_lives;
    StoreBehavior m_behavior = StoreBehavior::Serves;
    TimePoint m_behaviorUntil {};
    TimePoint m_awaySince {}; ///< Start of the last interval in which the store answered nobody.
};

} // namespace sagechute::news::test
