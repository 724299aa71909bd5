#pragma once

/// @file
/// Small fleets for the routing tests, and the check that all promises were kept.

#include "FleetFake.h"

#include <catch2/catch.hpp>

#include <memory>

namespace sagechute::testing {

/// Two customers, a pool of engines and one of applications whose calls may not be repeated.
inline std::unique_ptr<FleetFake> smallFleet(FleetFake::Options options = {})
{
    auto fleet = std::make_unique<FleetFake>(std::move(options));
    fleet->declareCustomer("tellers");
    fleet->declareCustomer("batch");
    fleet->declareTarget("worker-1", "model", 2);
    fleet->declareTarget("worker-2", "model", 2);
    fleet->declareTarget("posting-1", "posting", 2);
    fleet->declareTarget("posting-2", "posting", 2);
    fleet->declareService("model", "model", true);
    fleet->declareService("posting", "posting", false);
    fleet->start();
    return fleet;
}

/// The same with one cell for each pool, so that its owner is known.
inline std::unique_ptr<FleetFake> oneCellFleet(FleetFake::Options options = {})
{
    options.cellsPerPool = 1;
    return smallFleet(std::move(options));
}

inline void requireKept(const FleetFake& fleet)
{
    INFO(fleet.details());
    REQUIRE(fleet.breaches().empty());
}

/// Lets everything end and requires all promises, those that hold in the end included.
inline void requireQuiet(FleetFake& fleet, Duration patience = std::chrono::seconds(20))
{
    fleet.run(patience);
    fleet.checkQuiet();
    requireKept(fleet);
}

inline std::size_t countEnds(const FleetFake& fleet, Outcome outcome)
{
    std::size_t count = 0;
    for (const auto& [id, record] : fleet.records())
        count += !record.ends.empty() && record.ends.front().outcome == outcome;
    return count;
}

inline const CallerEnd& onlyEnd(const FleetFake& fleet, const RequestId& id)
{
    INFO(toString(id));
    REQUIRE(fleet.record(id).ends.size() == 1);
    return fleet.record(id).ends.front();
}

/// @return a router other than those given.
inline std::size_t otherThan(const FleetFake& fleet, std::initializer_list<std::size_t> taken)
{
    for (std::size_t n = 0; n < fleet.routers(); ++n) {
        if (std::find(taken.begin(), taken.end(), n) == taken.end())
            return n;
    }
    FAIL("no router is left");
    return 0;
}

} // namespace sagechute::testing
