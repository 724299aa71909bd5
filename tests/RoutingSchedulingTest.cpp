// Fair shares and busy slots over several routers.

#include "RoutingFleets.h"

#include <cmath>

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

constexpr int targets = 12;
constexpr std::uint32_t slotsPerTarget = 4;
constexpr int slotsInAll = targets * slotsPerTarget;

std::unique_ptr<FleetFake> largeFleet(FleetFake::Options options)
{
    options.routers = 8;
    auto fleet = std::make_unique<FleetFake>(std::move(options));
    fleet->declareCustomer("batch");
    fleet->declareCustomer("tellers");
    fleet->declareCustomer("pensioners", 2);
    for (int n = 1; n <= targets; ++n)
        fleet->declareTarget("worker-" + std::to_string(n), "model", slotsPerTarget);
    fleet->declareService("model", "model", true);
    fleet->start();
    return fleet;
}

/// Costs between 5 and 600 ms with a long tail, mean about 100.
Duration someCost(Random& random)
{
    return std::chrono::milliseconds(std::clamp(static_cast<int>(-100 * std::log(1 - random.fraction())), 5, 600));
}

double idleShare(const FleetFake& fleet)
{
    return static_cast<double>(fleet.idleWhileWaiting().count())
        / static_cast<double>(fleet.slotTimeWhileWaiting().count());
}

/// Three customers, each with all its callers on routers of its own, all backlogged for half a minute.
/// @param factor of the caller's hints, from the true cost.
/// @return the largest difference of normalised service, as a multiple of the bound that the owners export.
double worstGap(FleetFake& fleet, double hintFactor)
{
    SeededRandom random(11);
    struct Party {
        std::string customer;
        double weight;
        std::vector<std::size_t> routers;
    };
    const std::vector<Party> parties { { "batch", 1, { 0 } }, { "tellers", 1, { 1, 2, 3, 4, 5, 6 } },
        { "pensioners", 2, { 7 } } };
    const auto sendSome = [&](int count) {
        for (const Party& it : parties) {
            for (int n = 0; n < count; ++n) {
                Send send { .customer = it.customer, .cost = someCost(random) };
                send.hint = hintFactor * static_cast<double>(send.cost / 1ms) * random.fraction();
                fleet.send(it.routers[random.below(it.routers.size())], send);
            }
        }
    };
    sendSome(1500);
    double worst = 0;
    std::vector<double> since;
    for (int step = 0; step < 300; ++step) {
        fleet.run(100ms);
        sendSome(20);
        std::vector<double> got;
        got.reserve(parties.size());
        for (const Party& it : parties)
            got.push_back(fleet.serviceOf(it.customer) / it.weight);
        if (step < 5) {
            since = got; // All backlogged everywhere, and costs have been learned.
            continue;
        }
        double least = got[0] - since[0];
        double most = least;
        for (std::size_t n = 1; n < got.size(); ++n) {
            least = std::min(least, got[n] - since[n]);
            most = std::max(most, got[n] - since[n]);
        }
        double bound = 0;
        for (std::size_t n = 0; n < fleet.routers(); ++n)
            bound = std::max(bound, fleet.status(n).pools.front().gapBound);
        worst = std::max(worst, (most - least) / bound);
    }
    return worst;
}

} // namespace

TEST_CASE("no slot idles beyond a round trip while work waits")
{
    // Symptom: with several cells three quarters of all slots idle although thousands of requests wait.
    // Sequence: all load comes through one router, or an equal part through each; the pool has 1 to 12 cells.
    // Cause: a customer's requests waited in one cell, and the owners of the others heard of them a second later.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 3u, 6u, 12u);
    const bool one = GENERATE(true, false);
    auto fleet = largeFleet(options);
    for (int n = 0; n < 2400; ++n)
        fleet->send(one ? 2 : static_cast<std::size_t>(n) % 8, { n % 3 ? "batch" : "tellers" });
    fleet->run(4800ms);
    INFO("cells " << options.cellsPerPool << (one ? ", one router" : ", all routers"));
    // The round trip is 3 ms: settlement, grant, start. A request takes 100.
    REQUIRE(idleShare(*fleet) < 0.031);
    requireQuiet(*fleet);
}

TEST_CASE("a pool just below its capacity leaves few slots idle while work waits")
{
    // Symptom: at nine tenths of the capacity a request waits in a busy cell while a slot of another one idles.
    // Sequence: requests come one by one, through one router or all.
    // Cause: where only a few wait, they cannot wait in every cell, and digests come once a second.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 6u, 12u);
    const bool one = GENERATE(true, false);
    auto fleet = largeFleet(options);
    SeededRandom random(7);
    const TimePoint begin = fleet->now();
    double next = 0;
    while (next < 10000) {
        fleet->run(Duration(static_cast<Duration::rep>(next * 1000)) - (fleet->now() - begin));
        fleet->send(one ? 0 : random.below(8), { .customer = "batch", .cost = someCost(random) });
        next -= std::log(1 - random.fraction()) * 100 / (0.9 * slotsInAll);
    }
    INFO("cells " << options.cellsPerPool << (one ? ", one router" : ", all routers"));
    REQUIRE(idleShare(*fleet) < 0.06);
    requireQuiet(*fleet);
}

TEST_CASE("shares are fair over routers, wherever a customer's callers are")
{
    // Symptom: a customer whose callers all use one router gets less than one spread over six, or more.
    // Sequence: three customers of different weights, unevenly placed, all backlogged, with hints up to 30 times off.
    // Cause: shares counted per router are not shares of the fleet.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 3u, 6u, 12u);
    const double hintFactor = GENERATE(0.0, 30.0);
    auto fleet = largeFleet(options);
    const double gap = worstGap(*fleet, hintFactor);
    INFO("cells " << options.cellsPerPool << ", gap " << gap << " of the bound");
    REQUIRE(gap <= 1);
    requireKept(*fleet);
}

TEST_CASE("the check of fair shares notices an unfair policy")
{
    FleetFake::Options options;
    options.cellsPerPool = 1;
    options.policy = GENERATE(scheduling::Policy::Fifo, scheduling::Policy::Static);
    auto fleet = largeFleet(options);
    REQUIRE(worstGap(*fleet, 0) > 1);
}

TEST_CASE("a flood through one router")
{
    // Symptom: while one customer floods a router, the owners' memory grows with the flood and others wait longer.
    // Sequence: 5,000 requests of one customer come at once; another one sends a few, through the same router.
    // Cause: offers without a window make a flood in one router a flood everywhere.
    const auto cells = GENERATE(1u, 6u);
    const auto waits = [cells](int flood) {
        FleetFake::Options options;
        options.cellsPerPool = cells;
        auto fleet = largeFleet(options);
        std::vector<RequestId> others;
        std::uint64_t mostWaiting = 0;
        for (int n = 0; n < flood; ++n)
            fleet->send(0, { "batch" });
        for (int step = 0; step < 40; ++step) {
            others.push_back(fleet->send(0, { "tellers" }));
            others.push_back(fleet->send(5, { "pensioners" }));
            fleet->run(50ms);
            const std::uint64_t offered = fleet->messagesOf("offer") - fleet->messagesOf("grant");
            mostWaiting = std::max(mostWaiting, offered);
        }
        REQUIRE(mostWaiting < 200);
        fleet->run(30s);
        std::vector<Duration> result;
        result.reserve(others.size());
        for (const RequestId& it : others)
            result.push_back(onlyEnd(*fleet, it).at - fleet->record(it).sent);
        std::sort(result.begin(), result.end());
        requireKept(*fleet);
        return result[result.size() * 95 / 100];
    };
    const Duration modest = waits(1500);
    const Duration flooded = waits(5000);
    INFO(modest.count() << " us, in the flood " << flooded.count());
    REQUIRE(static_cast<double>(flooded.count()) <= 1.1 * static_cast<double>(modest.count()));
}
