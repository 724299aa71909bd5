#pragma once

/// @file
/// Load that targets report with their answers: aging, and selection among targets of a small service.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Estimate of a target's state.
struct LoadEstimate {
    double occupancy = 0; ///< Requests that run or wait there.
    double confidence = 0; ///< In the occupancy; 0: nothing is known, 1: as of now.
    double pace = 1; ///< Factor on the time that work takes.
    double slots = 1;
};

/// Requests in flight to a target, as known from the load reports of all routers.
struct ReportedOccupancy {
    double active = 0;
    std::optional<Duration> age; ///< Of the oldest report; absent without recent reports.
};

/// Newest reading of one target.
class LoadReadings {
public:
    /// @param takenAt when the target sent it. A reading that is older than the present one is ignored.
    void observe(TimePoint takenAt, const InstanceLoad&);

    /// A request was placed on the target, so the reading lacks it.
    void placed() { ++m_placedSince; }

    /// @return whether there is a reading that is recent enough to be of any use.
    bool isUsable(TimePoint now) const { return m_load && now - m_takenAt <= maxAge; }

    /// @return the reading, whatever its age; absent if there was none.
    const std::optional<InstanceLoad>& load() const { return m_load; }
    TimePoint takenAt() const { return m_takenAt; }

    /// @return weight of the reading's numbers of requests, from 1 for a fresh reading to 0.
    double weight(TimePoint now) const;

    /// @return factor on the time that work takes on the target, which tends to 1 as the reading ages.
    double pace(TimePoint now) const;

    /// @return as pace(), for the time that an engine needs to prefill a prompt: a part of it.
    double enginePace(TimePoint now) const;

    /// @param slots of the target as listed; used without a reading.
    /// @return the reading, combined with reported requests in flight by the ages of both.
    LoadEstimate estimate(TimePoint now, const ReportedOccupancy&, unsigned slots) const;

    /// Half of the interval between two load reports, and about the time of one request, after which most of the
    /// requests that a reading counted have ended. With 60 ms twice as many requests are rejected as full in the replay
    /// of a small service behind 67 and 81 routers.
    static constexpr Duration loadHalfLife = std::chrono::milliseconds(30);

    /// Other workloads on a VM change several times a second, but stay for longer than a request.
    static constexpr Duration paceHalfLife = std::chrono::milliseconds(300);

    /// An older reading has less than a thousandth of its pace's weight left.
    static constexpr Duration maxAge = std::chrono::seconds(3);

private:
    std::optional<InstanceLoad> m_load;
    TimePoint m_takenAt {};
    unsigned m_placedSince = 0; ///< By this router.
};

/// @return relative probability with which a request is sent to this target of an application. Random, as routers with
///         the same readings would otherwise all choose the same target.
/// @param answerTime of a request at the usual pace, without queueing.
/// @param extraCost such as that of another zone.
/// @param serviceUse fraction of the slots of all targets of the service that are in use.
double selectionWeight(const LoadEstimate&, Duration answerTime, Duration extraCost, double serviceUse);

} // namespace sagechute::dispatch
