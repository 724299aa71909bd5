#pragma once

/// @file
/// The store of a NewsWorld: what it has acknowledged, when, and whom it serves.

#include <sagechute/News.h>

#include <array>
#include <deque>

namespace sagechute::news::test {

/// How the store treats a router, or all of them.
enum class Treatment {
    Serves,
    Busy, ///< It refuses at once.
    Silent, ///< It takes the call and never answers.
    Slow,
};

/// Configurations, of which only the number counts, and entries of targets. Some targets leave, others come; entries of
/// targets lapse while the store answers nobody, and are back within two seconds of its return.
class NewsStore {
public:
    /// @param stableTime for so long after the store's return its acknowledgements don't count for a promise yet: which
    ///        entries have lapsed can't be known until then.
    NewsStore(TimePoint start, Duration stableTime);

    /// The operator changes the configuration, or a target comes or leaves. Nothing happens while the store is away.
    void change(TimePoint now, SeededRandom&);

    /// The store treats everybody so. @param until when it serves again.
    void treatAll(TimePoint now, Treatment, TimePoint until, SeededRandom&);

    /// Lets entries lapse and come back.
    void step(TimePoint now);

    /// @return how it treats everybody now.
    Treatment treatment(TimePoint now) const { return now < m_treatedUntil ? m_treatment : Treatment::Serves; }
    TimePoint treatedUntil() const { return m_treatedUntil; }

    std::uint64_t configVersions() const { return m_configAcknowledged.size(); }
    LogOffset targetsEnd() const { return m_records.size(); }

    /// @return all records of targets from @p from on.
    std::vector<TargetChange> targetsSince(LogOffset from) const;

    /// @return the present entries, each as a change that sets it.
    std::vector<TargetChange> targets() const;

    /// @return when the first configuration was acknowledged that a router with this one doesn't know; absent: none.
    std::optional<TimePoint> configMissingSince(std::uint64_t version) const;

    /// @return the same of changes of targets; entries that lapse or come back don't count.
    std::optional<TimePoint> targetsMissingSince(LogOffset next) const;

    /// @return from when on the leaving of a target counts; absent for one that lives.
    std::optional<TimePoint> leftAt(const TargetId&) const;

    /// @return when the store has been without disturbance for the stable time.
    TimePoint stableAt() const { return m_treatedUntil + m_stableTime; }

private:
    /// A target of which the entry may lapse; the moments are those at which that happens.
    struct Life {
        TargetId id;
        std::optional<TimePoint> left;
        std::optional<TimePoint> lapses;
        std::optional<TimePoint> returns;
        bool isListed = true;
    };

    void come(TimePoint now);
    void write(const TargetId&, bool isListed, std::optional<TimePoint> acknowledged);

    const Duration m_stableTime;
    std::vector<TimePoint> m_configAcknowledged;
    std::vector<TargetChange> m_records;
    std::vector<std::optional<TimePoint>> m_acknowledged; ///< By record; absent where no promise counts from it.
    std::vector<Life> m_lives;
    Treatment m_treatment = Treatment::Serves;
    TimePoint m_treatedUntil {};
    TimePoint m_awaySince {}; ///< The begin of the last time in which it answered nobody.
};

} // namespace sagechute::news::test
