#pragma once

/// @file
/// How often requests of each size are taken, and which sizes come off badly.

#include <sagechute/Dispatch.h>

#include <array>

namespace sagechute::dispatch {

/// Keeps large requests of a kind from being turned away far more often than small ones.
///
/// Load pattern: more comes than engines can read, for seconds. Whoever may still wait for the longest fills the
/// queues up to that point. Small requests may, as reading them takes little of their goal; what takes long to read
/// finds the queues too long for it each time, and is never served until the load falls.
///
/// Sizes are told apart by tokens, as a multiple of the kind's mean, so that nothing depends on how fast engines are or
/// on what they keep. Counts fall by half within some seconds.
class SizeBalance {
public:
    /// A request was decided on. @param wait how long it would wait for others.
    void decided(TimePoint now, double tokens, Duration wait, bool isTaken);

    /// How badly requests of a size come off.
    enum class Standing {
        Even,
        Short, ///< They are taken far less often than all of the kind.
        Starved, ///< About half as often, or less.
    };

    Standing standing(double tokens) const;

    /// @return the mean size of the kind.
    double meanTokens() const { return m_all.asked > 0 ? m_tokens / m_all.asked : 0; }

    /// @return how long requests of the kind that were taken have waited for others, on the mean.
    Duration takenWait() const;

private:
    struct Counts {
        double asked = 0;
        double taken = 0;
    };

    static constexpr std::size_t classes = 5;

    std::size_t classOf(double tokens) const;
    void fade(TimePoint now);

    std::array<Counts, classes> m_classes {};
    Counts m_all;
    double m_tokens = 0; ///< Sum over m_all.asked.
    double m_waitSeconds = 0; ///< Sum over m_all.taken.
    std::optional<TimePoint> m_fadedAt;
};

} // namespace sagechute::dispatch
