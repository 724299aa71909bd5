// Load readings of targets: aging, combination with load reports, and selection.

#include "dispatch/LoadReadings.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr unsigned slots = 6;

LoadEstimate estimateAt(TimePoint now, const InstanceLoad& load, const ReportedOccupancy& reported = {})
{
    LoadReadings readings;
    readings.observe(start, load);
    return readings.estimate(now, reported, slots);
}

} // namespace

// Guards against placement by a state that ended long ago.
TEST_CASE("a reading loses weight with age and is worth nothing after its maximum age")
{
    LoadReadings readings;
    CHECK_FALSE(readings.isUsable(start));
    CHECK(readings.weight(start) == 0);
    CHECK(readings.pace(start) == 1);
    readings.observe(start, { 6, 2, slots, 250 });
    CHECK(readings.weight(start) == 1);
    CHECK(readings.pace(start) == Approx(2.5));
    CHECK(readings.weight(start + LoadReadings::loadHalfLife) == Approx(0.5));
    CHECK(readings.pace(start + LoadReadings::paceHalfLife) == Approx(1.75));
    CHECK(readings.isUsable(start + LoadReadings::maxAge));
    CHECK_FALSE(readings.isUsable(start + LoadReadings::maxAge + 1ms));
    CHECK(readings.weight(start + LoadReadings::maxAge + 1ms) == 0);
    CHECK(readings.pace(start + LoadReadings::maxAge + 1ms) == 1);
}

// Guards against a reading that another router passed on late replacing a newer one.
TEST_CASE("only a newer reading replaces the present one")
{
    LoadReadings readings;
    readings.observe(start, { 1, 0, slots, 100 });
    readings.observe(start - 1ms, { 6, 6, slots, 100 });
    CHECK(readings.load()->running == 1);
    readings.observe(start + 1ms, { 6, 0, slots, 100 });
    CHECK(readings.load()->running == 6);
}

// Guards against sending several requests to a target until its next answer arrives.
TEST_CASE("requests placed since the reading count as load")
{
    LoadReadings readings;
    readings.observe(start, { 2, 0, slots, {} });
    readings.placed();
    readings.placed();
    CHECK(readings.estimate(start, {}, slots).occupancy == Approx(4));
    readings.observe(start + 1ms, { 2, 0, slots, {} });
    CHECK(readings.estimate(start + 1ms, {}, slots).occupancy == Approx(2));
}

// Guards against a target that stops reporting being judged by its last reading for ever.
TEST_CASE("an old reading gives way to the load reports")
{
    const ReportedOccupancy reported { 3, 0ms };
    CHECK(estimateAt(start, { 6, 3, slots, {} }, reported).occupancy == Approx(6));
    CHECK(estimateAt(start + 1s, { 6, 3, slots, {} }, reported).occupancy == Approx(3));
    CHECK(estimateAt(start + 1h, { 6, 3, slots, {} }, reported).occupancy == Approx(3));
    CHECK(estimateAt(start + 1h, { 6, 3, slots, {} }).confidence == 0);
}

// Guards against a target with an absurd reading getting nothing until that reading is old.
TEST_CASE("no reading makes a target unusable")
{
    const LoadEstimate absurd = estimateAt(start, { 1'000'000, 1'000'000, slots, 10'000 });
    CHECK(absurd.occupancy <= 8 * slots);
    CHECK(selectionWeight(absurd, 30ms, 0ms, 0) > 0);
}

// Guards against routers with the same readings all choosing the same target.
TEST_CASE("a target is preferred by fresh readings, and by old ones only for its pace")
{
    const auto weightOf = [](const InstanceLoad& load, Duration age) {
        return selectionWeight(estimateAt(start + age, load), 30ms, 0ms, 1);
    };
    const InstanceLoad idle { 0, 0, slots, 100 };
    const InstanceLoad full { 6, 0, slots, 100 };
    CHECK(weightOf(idle, 0ms) > 10 * weightOf(full, 0ms));
    CHECK(weightOf(idle, 500ms) == Approx(weightOf(full, 500ms)).epsilon(0.01));
    CHECK(weightOf({ 6, 0, slots, 250 }, 0ms) == Approx(weightOf(full, 0ms) / 2.5));
}

// Guards against the prediction of an engine following every change of the pace in full.
TEST_CASE("the pace counts in part for an engine")
{
    LoadReadings readings;
    readings.observe(start, { 6, 0, 64, 150 });
    CHECK(readings.enginePace(start) == Approx(1.25));
    readings.observe(start, { 6, 0, 64, 10'000 });
    CHECK(readings.enginePace(start) == Approx(2));
    readings.observe(start, { 6, 0, 64, {} });
    CHECK(readings.enginePace(start) == 1);
}
