#pragma once

/// @file
/// Backoff state of targets, and how they are probed after a pause.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Targets that asked this router, in an answer, to send no requests for some time.
///
/// An overloaded target rejects every request. A request sent to it during its pause wastes the caller's time and adds
/// to the target's load, so a pause overrides all other placement criteria. After the pause a single request probes the
/// target (like a half-open circuit breaker); others follow once the probe has been served.
class BackoffTable {
public:
    /// Starts or extends a pause; never shortens one.
    /// @return whether the target was not already in a pause.
    bool recordBackoff(TimePoint now, const TargetIncarnation&, Duration);

    /// @return end of the target's pause; absent if it is not in one.
    std::optional<TimePoint> pauseEnd(TimePoint now, const TargetIncarnation&) const;
    bool isPaused(TimePoint now, const TargetIncarnation& incarnation) const
    {
        return pauseEnd(now, incarnation).has_value();
    }

    /// @return whether the pause is over and the probing request has not been answered yet.
    bool isOnTrial(TimePoint now, const TargetIncarnation&) const;

    /// A request was placed on the target. @param trialTimeout after a pause, how long it remains the only probe.
    void placed(TimePoint now, const TargetIncarnation&, Duration trialTimeout);

    /// The target served a request. Ignored during a pause, as it says nothing about later requests.
    void served(TimePoint now, const TargetIncarnation&);

    /// Upper bound on a pause, which limits the effect of a wrong value: the target is probed after it.
    static constexpr Duration maxPause = std::chrono::minutes(10);

private:
    struct Entry {
        TimePoint until; ///< End of the pause.
        TimePoint trialUntil; ///< Until then a request is probing the target.
    };

    std::map<TargetIncarnation, Entry> m_entries;
};

} // namespace sagechute::dispatch
