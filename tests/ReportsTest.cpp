// Who tells whom of its load, and what the sums hold: ReportPlan, RelayDesk and OwnReports of src/edge.

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

// Load pattern: fleets of tens and hundreds of routers, each with a few requests a second.
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

// Symptom: a relay of an eighth of a core is late with everything, and so are the requests that it takes.
// Cause: it reads and writes a report for each router of its zone; the routers with more cores did not.
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

TEST_CASE("a relay tells all routers one sum, of which each takes its own part off, once for prefixes")
{
    RelayDesk desk;
    dispatch::LoadReport one;
    one.serial = 4;
    one.targets[1] = { 10, 1, 100 };
    one.customers[{ "c" }] = { 5, 4 };
    one.placed[1] = { { { 7, 1 } }, 100 };
    dispatch::LoadReport two = one;
    two.serial = 9;
    two.targets[1] = { 20, 2, 200 };
    two.placed[1].shared = { { 7, 1 }, { 8, 3 } };
    desk.memberReported(start, { "a" }, one);
    desk.memberReported(start, { "b" }, two);
    desk.zoneReported(start, { "far" }, one);
    const dispatch::LoadReport zone = desk.zoneSum(start);
    CHECK(zone.targets.at(1).prefillTokens == 30);
    const dispatch::LoadReport all = desk.sum(start, zone);
    CHECK(all.targets.at(1).prefillTokens == 40);
    CHECK(all.placed.at(1).shared.size() == 2);
    CHECK(all.placed.at(1).unsharedTokens == 300);
    CHECK(desk.includedSerial(start, { "a" }) == 4);
    CHECK(desk.includedSerial(start, { "b" }) == 9);
    CHECK(desk.includedSerial(start, { "unheard" }) == 0);
    CHECK(desk.includedSerial(start + 5s, { "a" }) == 0);

    OwnReports ownReports;
    ownReports.sent(one);
    dispatch::LoadReport forA = all;
    REQUIRE(ownReports.takeOff(forA, 4));
    CHECK(forA.targets.at(1).prefillTokens == 30);
    CHECK(forA.customers.at({ "c" }).granted == 8);

    desk.passedOn();
    CHECK(desk.sum(start, desk.zoneSum(start)).placed.empty());
    CHECK(desk.sum(start, desk.zoneSum(start)).targets.at(1).active == 4);
    CHECK(desk.zoneSum(start + 5s).targets.empty());
}

TEST_CASE("a sum tells how old the oldest report in it is, and a relay which reports are too old to be in it")
{
    RelayDesk desk;
    dispatch::LoadReport far;
    far.age = 150ms;
    desk.zoneReported(start, { "far" }, far);
    desk.memberReported(start + 100ms, { "vm" }, {});
    CHECK(desk.zoneSum(start + 300ms).age == 200ms);
    CHECK(desk.sum(start + 300ms, desk.zoneSum(start + 300ms)).age == 450ms);
    CHECK(desk.late(start + 300ms).empty());
    CHECK(desk.late(start + 1250ms) == std::set<std::string> { "far" });
    CHECK(desk.late(start + 5s) == std::set<std::string> { "far", "vm" });
}

// Guards against a flood that seems small because a zone's relay stands still for a moment.
TEST_CASE(
    "what a silent zone's customers were granted stays in the sums for the window, what it has in flight does not")
{
    RelayDesk desk;
    dispatch::LoadReport far;
    far.targets[1] = { 10, 1, 100 };
    far.customers[{ "c" }] = { 5, 4 };
    desk.zoneReported(start, { "far" }, far);
    const dispatch::LoadReport late = desk.sum(start + 2s, {});
    CHECK(late.targets.empty());
    CHECK(late.customers.at({ "c" }).granted == 4);
    CHECK(late.age == 2s);
    CHECK(desk.sum(start + 5s, {}).customers.empty());
}

TEST_CASE("a sum with a report that is no longer remembered, or not yet, is not taken for the others'")
{
    OwnReports ownReports;
    dispatch::LoadReport sum;
    sum.targets[1] = { 10, 1, 100 };
    CHECK(ownReports.takeOff(sum, 0));
    CHECK(sum.targets.at(1).prefillTokens == 10);
    CHECK_FALSE(ownReports.takeOff(sum, 5));
    dispatch::LoadReport own = sum;
    for (own.serial = 1; own.serial <= 100; ++own.serial)
        ownReports.sent(own);
    CHECK_FALSE(ownReports.takeOff(sum, 1));
    CHECK(ownReports.takeOff(sum, 99));
    CHECK(sum.targets.at(1).active == 0);
}

// Symptom: routers of a large fleet take targets for busier, or idler, than they are, for as long as reports are lost.
// Sequence: reports to the relay, and sums from it, are lost, late or doubled; members fall silent and come back.
// Cause: a part that is taken off a sum must be the one that is in it.
TEST_CASE("whatever is lost, late or doubled, a router's view of the others is theirs as of some earlier moment")
{
    rc::prop("sums less the own part", [] {
        constexpr std::size_t members = 4;
        RelayDesk desk;
        std::array<OwnReports, members> own;
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
                desk.memberReported(now, { std::to_string(i) }, sent[i][sent[i].size() - delivered]);
            std::array<std::uint64_t, members> serials {};
            for (std::size_t k = 0; k < members; ++k)
                serials[k] = desk.includedSerial(now, { std::to_string(k) });
            sums.emplace_back(desk.sum(now, desk.zoneSum(now)), serials);
            // A sum reaches a member now, or one from before does.
            auto [sum, included] = sums[*rc::gen::inRange<std::size_t>(0, sums.size())];
            if (!own[i].takeOff(sum, included[i]))
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
