#include "dispatch/LoadReadings.h"

#include <algorithm>
#include <cmath>

namespace sagechute::dispatch {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// How sharply the occupancy of a target that is known exactly reduces its probability: a full target is chosen a
    /// twentieth as often as an idle one. In the replay of a small service 5 instead of 3 gives more rejections with 6
    /// routers, as these choose the same target, and no fewer with 81.
    constexpr double occupancyExponent = 3;

    /// A reading counts as at most this many requests per slot, so that a wrong number can't keep a target from being
    /// used until the reading is old.
    constexpr double maxUse = 8;

    /// An engine's answers take longer than a pace lasts, and its learned speed includes a part of it.
    constexpr double enginePaceFraction = 0.5;
    constexpr double maxEnginePace = 2;

    double decayed(Duration age, Duration halfLife)
    {
        return std::exp2(-std::max(0.0, Milliseconds(age).count()) / Milliseconds(halfLife).count());
    }

} // namespace

void LoadReadings::observe(TimePoint takenAt, const InstanceLoad& load)
{
    if (m_load && takenAt < m_takenAt)
        return;
    m_load = load;
    m_takenAt = takenAt;
    m_placedSince = 0;
}

double LoadReadings::weight(TimePoint now) const { return isUsable(now) ? decayed(now - m_takenAt, loadHalfLife) : 0; }

double LoadReadings::enginePace(TimePoint now) const
{
    return std::min(maxEnginePace, 1 + enginePaceFraction * (pace(now) - 1));
}

double LoadReadings::pace(TimePoint now) const
{
    if (!isUsable(now) || !m_load->pacePercent)
        return 1;
    return 1 + (*m_load->pacePercent / 100.0 - 1) * decayed(now - m_takenAt, paceHalfLife);
}

LoadEstimate LoadReadings::estimate(TimePoint now, const ReportedOccupancy& reported, unsigned slots) const
{
    LoadEstimate it;
    it.slots = std::max(1U, isUsable(now) ? m_load->slots : slots);
    it.pace = pace(now);
    const double own = weight(now);
    const double others = reported.age ? decayed(*reported.age, loadHalfLife) : 0;
    const double sum = own + others;
    if (sum <= 0) {
        it.occupancy = reported.active;
        return it;
    }
    const double read
        = m_load ? std::min(1.0 * m_load->running + m_load->waiting + m_placedSince, maxUse * it.slots) : 0;
    it.occupancy = (own * read + others * reported.active) / sum;
    it.confidence = std::max(own, others);
    return it;
}

double selectionWeight(const LoadEstimate& it, Duration answerTime, Duration extraCost, double serviceUse)
{
    const double ms = std::max(1.0, Milliseconds(answerTime).count());
    // In proportion to their speed, as all would be equally busy then. The fewer slots are in use, the more the time of
    // a request counts, as the quick ones then have room for all.
    const double speed = it.slots / it.pace;
    const double idle = std::clamp(1 - serviceUse, 0.0, 1.0);
    const double cost = idle * it.pace + Milliseconds(extraCost).count() / ms;
    return speed * std::exp(-occupancyExponent * it.confidence * it.occupancy / it.slots - cost);
}

} // namespace sagechute::dispatch
