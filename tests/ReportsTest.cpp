// Tests of which routers exchange load reports and what the sums include: ReportPlan, LoadReportAggregator and
// SentReports of src/edge.

#include <sagechute/Edge.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

std::vector<RouterAddress> routers(unsigned zones, unsigned each)
{
    std::vector<RouterAddress> all;
    for (unsigned z = 0; z < zones; ++z) {
        for (unsigned i = 0; i < each; ++i) {
            const std::string zone = "z" + std::to_string(z);
            all.push_back({ { zone + "-" + std::to_string(100 + i) }, { zone }, zone + ":" + std::to_string(i) });
        }
    }
    return all;
}

} // namespace

TEST_CASE("in a small fleet each router reports to all others")
{
    const auto all = routers(3, 2);
    const ReportPlan plan = planReports(all, all[3].vm);
    CHECK(plan.isDirect);
    CHECK(plan.others.size() == 5);
    CHECK_FALSE(plan.relay);
}

// Load pattern: fleets of tens to hundreds of routers, each with a few requests per second.
TEST_CASE("in a large fleet a router sends one report, and each zone has one relay")
{
    for (const unsigned each : { 20U, 90U }) {
        const auto all = routers(4, each);
        unsigned relays = 0;
        for (const RouterAddress& it : all) {
            const ReportPlan plan = planReports(all, it.vm);
            CHECK_FALSE(plan.isDirect);
            if (plan.isRelay) {
                ++relays;
                CHECK(plan.others.size() == each - 1);
                CHECK(plan.relays.size() == 3);
            } else {
                REQUIRE(plan.relay);
                CHECK(plan.relay->zone == it.zone);
                CHECK(plan.others.empty());
                CHECK(plan.relays.empty());
            }
        }
        CHECK(relays == 4);
    }
}

// Guards against a relay with an eighth of a core, which is late with its own requests because it reads and writes a
// report for each router of its zone, while routers with more cores are available.
TEST_CASE("the relay of a zone is one of its routers with the most cores")
{
    auto all = routers(2, 10);
    for (RouterAddress& it : all)
        it.capacity = 120;
    all[4].capacity = 500;
    all[6].capacity = 500;
    CHECK(planReports(all, all[4].vm).isRelay);
    CHECK(planReports(all, all[0].vm).relay->vm == all[4].vm);
    CHECK(planReports(all, all[10].vm).isRelay);
}

TEST_CASE("a relay sends all routers one sum, each router subtracts its own report, and prefixes are sent once")
{
    LoadReportAggregator aggregator;
    dispatch::LoadReport one;
    one.serial = 4;
    one.targets[1] = { 10, 1, 100 };
    one.customers[{ "c" }] = { 5, 4 };
    one.placed[1] = { { { 7, 1 } }, 100 };
    dispatch::LoadReport two = one;
    two.serial = 9;
    two.targets[1] = { 20, 2, 200 };
    two.placed[1].shared = { { 7, 1 }, { 8, 3 } };
    aggregator.setRouterReport(start, { "a" }, one);
    aggregator.setRouterReport(start, { "b" }, two);
    aggregator.setZoneReport(start, { "far" }, one);
    const dispatch::LoadReport zone = aggregator.zoneSum(start);
    CHECK(zone.targets.at(1).prefillTokens == 30);
    const dispatch::LoadReport all = aggregator.sum(start, zone);
    CHECK(all.targets.at(1).prefillTokens == 40);
    CHECK(all.placed.at(1).shared.size() == 2);
    CHECK(all.placed.at(1).unsharedTokens == 300);
    CHECK(aggregator.includedSerial(start, { "a" }) == 4);
    CHECK(aggregator.includedSerial(start, { "b" }) == 9);
    CHECK(aggregator.includedSerial(start, { "unheard" }) == 0);
    CHECK(aggregator.includedSerial(start + 5s, { "a" }) == 0);

    SentReports sentReports;
    sentReports.sent(one);
    dispatch::LoadReport forA = all;
    REQUIRE(sentReports.subtractFrom(forA, 4));
    CHECK(forA.targets.at(1).prefillTokens == 30);
    CHECK(forA.customers.at({ "c" }).granted == 8);

    aggregator.clearForwardedPrompts(start);
    CHECK(aggregator.sum(start, aggregator.zoneSum(start)).placed.empty());
    CHECK(aggregator.sum(start, aggregator.zoneSum(start)).targets.at(1).active == 4);
    CHECK(aggregator.zoneSum(start + 5s).targets.empty());
}

// Guards against routers that prefill a shared part again, as they were never told which engine has it: another zone's
// relay sent two reports between two sums of this one.
TEST_CASE("prefixes of a report that was replaced before it was forwarded are forwarded with the next one")
{
    LoadReportAggregator aggregator;
    dispatch::LoadReport former;
    former.placed[1] = { { { 7, 1 } }, 100 };
    dispatch::LoadReport next;
    next.placed[1] = { { { 8, 3 } }, 50 };
    next.placed[2] = { { { 9, 2 } }, 0 };
    const auto checkPlaced = [&] {
        const dispatch::LoadReport all = aggregator.sum(start, aggregator.zoneSum(start));
        CHECK(all.placed.at(1).shared.size() == 2);
        CHECK(all.placed.at(1).unsharedTokens == 150);
        CHECK(all.placed.at(2).shared.size() == 1);
        aggregator.clearForwardedPrompts(start);
    };
    aggregator.setZoneReport(start, { "far" }, former);
    aggregator.setZoneReport(start, { "far" }, next);
    checkPlaced();
    aggregator.setRouterReport(start, { "a" }, former);
    aggregator.setRouterReport(start, { "a" }, next);
    checkPlaced();
}

// Guards against memory that grows in a router that others take for a relay.
TEST_CASE("a router that forwards nothing keeps no prefixes of former reports")
{
    LoadReportAggregator aggregator;
    dispatch::LoadReport report;
    for (std::uint64_t key = 0; key < 100; ++key) {
        report.placed[1].shared = { { key, 10 } };
        aggregator.setZoneReport(start + key * 100ms, { "far" }, report);
    }
    CHECK(aggregator.sum(start + 9900ms, {}).placed.at(1).shared.size() == 1);
}

TEST_CASE(
    "a sum states the age of its oldest report, and a relay names the sources whose reports are too old to include")
{
    LoadReportAggregator aggregator;
    dispatch::LoadReport far;
    far.age = 150ms;
    aggregator.setZoneReport(start, { "far" }, far);
    aggregator.setRouterReport(start + 100ms, { "vm" }, {});
    CHECK(aggregator.zoneSum(start + 300ms).age == 200ms);
    CHECK(aggregator.sum(start + 300ms, aggregator.zoneSum(start + 300ms)).age == 450ms);
    CHECK(aggregator.staleSources(start + 300ms).empty());
    CHECK(aggregator.staleSources(start + 1250ms) == std::set<std::string> { "far" });
    CHECK(aggregator.staleSources(start + 5s) == std::set<std::string> { "far", "vm" });
}

// Guards against a flood that is underestimated because a zone's relay stalls for a moment.
TEST_CASE("grants of a silent zone's customers stay in the sums for the window, its requests in flight do not")
{
    LoadReportAggregator aggregator;
    dispatch::LoadReport far;
    far.targets[1] = { 10, 1, 100 };
    far.customers[{ "c" }] = { 5, 4 };
    aggregator.setZoneReport(start, { "far" }, far);
    const dispatch::LoadReport late = aggregator.sum(start + 2s, {});
    CHECK(late.targets.empty());
    CHECK(late.customers.at({ "c" }).granted == 4);
    CHECK(late.age == 2s);
    CHECK(aggregator.sum(start + 5s, {}).customers.empty());
}

TEST_CASE("a sum that includes a report no longer or not yet remembered is rejected")
{
    SentReports sentReports;
    dispatch::LoadReport sum;
    sum.targets[1] = { 10, 1, 100 };
    CHECK(sentReports.subtractFrom(sum, 0));
    CHECK(sum.targets.at(1).prefillTokens == 10);
    CHECK_FALSE(sentReports.subtractFrom(sum, 5));
    dispatch::LoadReport own = sum;
    for (own.serial = 1; own.serial <= 100; ++own.serial)
        sentReports.sent(own);
    CHECK_FALSE(sentReports.subtractFrom(sum, 1));
    CHECK(sentReports.subtractFrom(sum, 99));
    CHECK(sum.targets.at(1).active == 0);
}

// Guards against routers of a large fleet that over- or underestimate the load of targets while reports are lost.
// Reports to a relay and its sums are lost, delayed or duplicated, and routers fall silent and return, so the report
// that a router subtracts from a sum must be the one that the sum includes.
TEST_CASE("with lost, delayed and duplicated messages, a router's view of the others matches some earlier moment")
{
    rc::prop("sums without the router's own report", [] {
        constexpr std::size_t members = 4;
        LoadReportAggregator aggregator;
        std::array<SentReports, members> own;
        std::array<std::vector<dispatch::LoadReport>, members> sent;
        std::vector<std::pair<dispatch::LoadReport, std::array<std::uint64_t, members>>> sums;
        const int steps = *rc::gen::inRange(5, 60);
        for (int step = 0; step < steps; ++step) {
            const TimePoint now = start + step * 20ms;
            const auto i = *rc::gen::inRange<std::size_t>(0, members);
            dispatch::LoadReport report;
            report.serial = sent[i].size() + 1;
            const auto target = *rc::gen::inRange<dispatch::TargetKey>(1, 4);
            report.targets[target].active = *rc::gen::inRange<std::uint32_t>(0, 50);
            sent[i].push_back(report);
            own[i].sent(report);
            const auto delivered = *rc::gen::inRange<std::size_t>(0, 4);
            if (delivered > 0 && delivered <= sent[i].size())
                aggregator.setRouterReport(now, { std::to_string(i) }, sent[i][sent[i].size() - delivered]);
            std::array<std::uint64_t, members> serials {};
            for (std::size_t k = 0; k < members; ++k)
                serials[k] = aggregator.includedSerial(now, { std::to_string(k) });
            sums.emplace_back(aggregator.sum(now, aggregator.zoneSum(now)), serials);
            // A member receives this sum or an earlier one.
            auto [sum, included] = sums[*rc::gen::inRange<std::size_t>(0, sums.size())];
            if (!own[i].subtractFrom(sum, included[i]))
                continue;
            dispatch::LoadReport expected;
            for (std::size_t k = 0; k < members; ++k) {
                if (k != i && included[k])
                    add(expected, sent[k][included[k] - 1]);
            }
            for (const auto& [key, use] : sum.targets)
                RC_ASSERT(use.active == expected.targets[key].active);
        }
    });
}
