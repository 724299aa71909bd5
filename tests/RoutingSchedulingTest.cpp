// Fair shares and slot utilisation across several routers.

#include "RoutingFleets.h"

#include <cmath>

using namespace sagechute;
using namespace sagechute::testing;
using namespace std::chrono_literals;

namespace {

constexpr int targets = 12;
constexpr std::uint32_t slotsPerTarget = 4;
constexpr int totalSlots = targets * slotsPerTarget;

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

/// Costs between 5 and 600 ms with a long tail; mean about 100 ms.
Duration randomCost(Random& random)
{
    return std::chrono::milliseconds(std::clamp(static_cast<int>(-100 * std::log(1 - random.fraction())), 5, 600));
}

double idleShare(const FleetFake& fleet)
{
    return static_cast<double>(fleet.idleWhileWaiting().count())
        / static_cast<double>(fleet.slotTimeWhileWaiting().count());
}

/// Three customers, each sending through its own set of routers, all backlogged for half a minute.
/// @param hintFactor upper bound of the caller's cost hints, relative to the true cost.
/// @return the largest difference of normalised service, as a multiple of the bound that the owners export.
double worstGap(FleetFake& fleet, double hintFactor)
{
    SeededRandom random(11);
    struct CustomerLoad {
        std::string customer;
        double weight;
        std::vector<std::size_t> routers;
    };
    const std::vector<CustomerLoad> loads { { "batch", 1, { 0 } }, { "tellers", 1, { 1, 2, 3, 4, 5, 6 } },
        { "pensioners", 2, { 7 } } };
    const auto sendBatch = [&](int count) {
        for (const CustomerLoad& it : loads) {
            for (int n = 0; n < count; ++n) {
                Send send { .customer = it.customer, .cost = randomCost(random) };
                send.hint = hintFactor * static_cast<double>(send.cost / 1ms) * random.fraction();
                fleet.send(it.routers[random.below(it.routers.size())], send);
            }
        }
    };
    sendBatch(1500);
    double worst = 0;
    std::vector<double> baseline;
    for (int step = 0; step < 300; ++step) {
        fleet.run(100ms);
        sendBatch(20);
        std::vector<double> received;
        received.reserve(loads.size());
        for (const CustomerLoad& it : loads)
            received.push_back(fleet.serviceOf(it.customer) / it.weight);
        if (step < 5) {
            baseline = received; // From here on all customers are backlogged at all of their routers and costs have
                                 // been learned.
            continue;
        }
        double least = received[0] - baseline[0];
        double most = least;
        for (std::size_t n = 1; n < received.size(); ++n) {
            least = std::min(least, received[n] - baseline[n]);
            most = std::max(most, received[n] - baseline[n]);
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
    // Guards against idle slots while thousands of requests wait. A customer's requests used to wait in one cell, and
    // the owners of the other cells learned of them a second later; three quarters of all slots idled. The load arrives
    // through one router or evenly through all, with 1 to 12 cells.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 3u, 6u, 12u);
    const bool one = GENERATE(true, false);
    auto fleet = largeFleet(options);
    for (int n = 0; n < 2400; ++n)
        fleet->send(one ? 2 : static_cast<std::size_t>(n) % 8, { n % 3 ? "batch" : "tellers" });
    fleet->run(4800ms);
    INFO("cells " << options.cellsPerPool << (one ? ", one router" : ", all routers"));
    // The round trip takes 3 ms (settlement, grant, start), and a request takes 100 ms.
    REQUIRE(idleShare(*fleet) < 0.031);
    requireQuiescent(*fleet);
}

TEST_CASE("a pool just below its capacity leaves few slots idle while requests wait")
{
    // Guards against a request waiting in a busy cell while a slot of another cell idles. At 90 percent of the capacity
    // only a few requests wait, so they cannot wait in every cell, and digests arrive once a second. Requests arrive
    // one by one, through one router or all.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 6u, 12u);
    const bool one = GENERATE(true, false);
    auto fleet = largeFleet(options);
    SeededRandom random(7);
    const TimePoint begin = fleet->now();
    double next = 0;
    while (next < 10000) {
        fleet->run(Duration(static_cast<Duration::rep>(next * 1000)) - (fleet->now() - begin));
        fleet->send(one ? 0 : random.below(8), { .customer = "batch", .cost = randomCost(random) });
        next -= std::log(1 - random.fraction()) * 100 / (0.9 * totalSlots);
    }
    INFO("cells " << options.cellsPerPool << (one ? ", one router" : ", all routers"));
    REQUIRE(idleShare(*fleet) < 0.06);
    requireQuiescent(*fleet);
}

TEST_CASE("shares are fair over routers, wherever a customer's callers are")
{
    // Guards against shares that are fair per router but not across the fleet: a customer whose callers all use one
    // router would get a different share from one spread over six. Three customers of different weights are placed
    // unevenly, all backlogged, with hints up to 30 times off.
    FleetFake::Options options;
    options.cellsPerPool = GENERATE(1u, 3u, 6u, 12u);
    const double hintFactor = GENERATE(0.0, 30.0);
    auto fleet = largeFleet(options);
    const double gap = worstGap(*fleet, hintFactor);
    INFO("cells " << options.cellsPerPool << ", gap " << gap << " of the bound");
    REQUIRE(gap <= 1);
    requireNoViolations(*fleet);
}

TEST_CASE("the fairness check detects an unfair policy")
{
    FleetFake::Options options;
    options.cellsPerPool = 1;
    options.policy = GENERATE(scheduling::Policy::Fifo, scheduling::Policy::Static);
    auto fleet = largeFleet(options);
    REQUIRE(worstGap(*fleet, 0) > 1);
}

TEST_CASE("a flood through one router")
{
    // Guards against the owners' memory growing with a flood and other customers waiting longer. 5,000 requests of one
    // customer arrive at once, and others send a few, one through the same router. Without a window of offers a flood
    // at one router would reach every owner.
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
        requireNoViolations(*fleet);
        return result[result.size() * 95 / 100];
    };
    const Duration modest = waits(1500);
    const Duration flooded = waits(5000);
    INFO(modest.count() << " us, in the flood " << flooded.count());
    REQUIRE(static_cast<double>(flooded.count()) <= 1.1 * static_cast<double>(modest.count()));
}
