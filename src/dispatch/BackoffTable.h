#pragma once

/// @file
/// Which targets asked this router for a pause, and how they are tried again afterwards.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Targets that want no request of this router for a time, by their own answers.
///
/// Load pattern: an overloaded target turns away all that it gets. A request that is sent there within its pause is
/// lost time for its caller and work for the target, so none is, whatever else speaks for the target. When the pause is
/// over, a single request tries it; the others follow once that one is served.
class BackoffTable {
public:
    /// Takes note of what a target asked for. A pause is never shortened.
    /// @return whether the target was not known to pause.
    bool ask(TimePoint now, const TargetLife&, Duration);

    /// @return when the target's pause ends; absent if it does not pause.
    std::optional<TimePoint> end(TimePoint now, const TargetLife&) const;
    bool isPaused(TimePoint now, const TargetLife& life) const { return end(now, life).has_value(); }

    /// @return whether its pause is over and the request that tries it has not been answered yet.
    bool isOnTrial(TimePoint now, const TargetLife&) const;

    /// A request goes to the target. @param patience how long it alone tries a target whose pause is over.
    void placed(TimePoint now, const TargetLife&, Duration patience);

    /// The target serves a request. While it pauses, that says nothing of later ones.
    void served(TimePoint now, const TargetLife&);

    /// Bounds what a wrong time can do: after it a single request asks the target again.
    static constexpr Duration mostPause = std::chrono::minutes(10);

private:
    struct Entry {
        TimePoint until; ///< Of the pause.
        TimePoint trialUntil; ///< While a request tries the target.
    };

    std::map<TargetLife, Entry> m_entries;
};

} // namespace sagechute::dispatch
