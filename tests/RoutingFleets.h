#pragma once

/// @file
/// Small fleets for the routing tests, and checks of the invariants.

#include "FleetFake.h"

#include <catch2/catch.hpp>

#include <memory>

namespace sagechute::testing {

/// Two customers, one pool of engines, and one pool of applications whose calls may not be repeated.
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

/// Like smallFleet() but with one cell per pool, so that its owner is known.
inline std::unique_ptr<FleetFake> oneCellFleet(FleetFake::Options options = {})
{
    options.cellsPerPool = 1;
    return smallFleet(std::move(options));
}

inline void requireNoViolations(const FleetFake& fleet)
{
    INFO(fleet.details());
    REQUIRE(fleet.violations().empty());
}

/// Lets all requests end and requires all invariants, including those that hold only at the end.
inline void requireQuiescent(FleetFake& fleet, Duration timeout = std::chrono::seconds(20))
{
    fleet.run(timeout);
    fleet.checkQuiescent();
    requireNoViolations(fleet);
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

/// @return a router that is not among @p taken.
inline std::size_t routerOtherThan(const FleetFake& fleet, std::initializer_list<std::size_t> taken)
{
    for (std::size_t n = 0; n < fleet.routers(); ++n) {
        if (std::find(taken.begin(), taken.end(), n) == taken.end())
            return n;
    }
    FAIL("no router is left");
    return 0;
}

} // namespace sagechute::testing
