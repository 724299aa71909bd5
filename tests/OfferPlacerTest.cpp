#include <sagechute/Scheduling.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace sagechute;
using namespace sagechute::scheduling;
using std::chrono::milliseconds;

namespace {

const CustomerId kTellers { "tellers" };
constexpr std::uint32_t kOwn = 1;

struct Fixture {
    Fixture() { placer->setCells(3, { kOwn }); }

    void learn(std::uint32_t index, std::uint32_t freeSlots, std::uint32_t waiting, Cost headService)
    {
        placer->learn(now, { index, freeSlots, waiting, headService });
    }

    std::uint32_t place(Cost service = 0) { return placer->place(now, kTellers, service).index; }

    PoolId pool { "posting" };
    TimePoint now {};
    std::unique_ptr<OfferPlacer> placer = OfferPlacer::make(pool);
};

} // namespace

TEST_CASE("The own cell comes first, then free slots elsewhere", "[scheduling]")
{
    Fixture fleet;
    REQUIRE(fleet.place() == kOwn);
    fleet.learn(0, 0, 5, 10);
    fleet.learn(1, 2, 0, 0);
    fleet.learn(2, 3, 0, 0);
    std::map<std::uint32_t, int> placed;
    for (int n = 0; n < 5; ++n)
        ++placed[fleet.place()];
    REQUIRE(placed == std::map<std::uint32_t, int> { { 1, 2 }, { 2, 3 } });
}

TEST_CASE("While all cells are full a customer waits in each", "[scheduling]")
{
    // Symptom: with two cells one customer gets ever further ahead of another.
    // Sequence: each customer's router owns a cell and offers there only; one customer is alone in its cell.
    // Cause: no cell could compare the two, however exact their counters were.
    Fixture fleet;
    for (std::uint32_t index = 0; index < 3; ++index)
        fleet.learn(index, 0, 4, 100);
    std::map<std::uint32_t, int> placed;
    for (int n = 0; n < 9; ++n)
        ++placed[fleet.place(50)];
    REQUIRE(placed == std::map<std::uint32_t, int> { { 0, 3 }, { 1, 3 }, { 2, 3 } });
    for (int n = 0; n < 3; ++n)
        fleet.placer->left(kTellers, { fleet.pool, 2 });
    for (int n = 0; n < 3; ++n)
        REQUIRE(fleet.place(50) == 2);
}

TEST_CASE("Old digests count for nothing", "[scheduling]")
{
    Fixture fleet;
    fleet.learn(0, 9, 0, 0);
    fleet.now += std::chrono::seconds(3);
    REQUIRE(fleet.place() == kOwn);
    fleet.placer->setCells(3, {});
    std::set<std::uint32_t> homes;
    for (int n = 0; n < 20; ++n)
        homes.insert(fleet.placer->place(fleet.now, CustomerId { std::to_string(n) }, 0).index);
    REQUIRE(homes.size() == 3);
}

TEST_CASE("An offer moves only when it is clearly better off, and not at once", "[scheduling]")
{
    Fixture fleet;
    const CellId here { fleet.pool, 1 };
    const TimePoint since = fleet.now;
    fleet.learn(1, 0, 4, 100);
    fleet.learn(2, 1, 0, 0);
    REQUIRE_FALSE(fleet.placer->better(fleet.now, here, since, 150));
    fleet.now += milliseconds(50);
    REQUIRE(fleet.placer->better(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    // That takes the only free slot, and one more offer is the first to wait there; the third would not be better off.
    REQUIRE(fleet.placer->better(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    REQUIRE_FALSE(fleet.placer->better(fleet.now, here, since, 150));
    fleet.learn(2, 0, 4, 200);
    REQUIRE(fleet.placer->better(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    REQUIRE_FALSE(fleet.placer->better(fleet.now, here, since, 90));
    REQUIRE_FALSE(fleet.placer->better(fleet.now, here, since, 250));
    fleet.learn(1, 1, 0, 0);
    REQUIRE_FALSE(fleet.placer->better(fleet.now, here, since, 150));
}
