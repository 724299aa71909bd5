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

    void updateDigest(std::uint32_t index, std::uint32_t freeSlots, std::uint32_t waiting, Cost headService)
    {
        placer->updateDigest(now, { index, freeSlots, waiting, headService });
    }

    std::uint32_t place(Cost service = 0) { return placer->place(now, kTellers, service).index; }

    PoolId pool { "posting" };
    TimePoint now {};
    std::unique_ptr<OfferPlacer> placer = OfferPlacer::make(pool);
};

} // namespace

TEST_CASE("Owned cells are preferred, then other cells with free slots", "[scheduling]")
{
    Fixture fleet;
    REQUIRE(fleet.place() == kOwn);
    fleet.updateDigest(0, 0, 5, 10);
    fleet.updateDigest(1, 2, 0, 0);
    fleet.updateDigest(2, 3, 0, 0);
    std::map<std::uint32_t, int> placed;
    for (int n = 0; n < 5; ++n)
        ++placed[fleet.place()];
    REQUIRE(placed == std::map<std::uint32_t, int> { { 1, 2 }, { 2, 3 } });
}

TEST_CASE("A customer waits in every cell while all are full", "[scheduling]")
{
    // Guards against an unbounded gap between two customers in two cells. Each customer's router owned a cell and
    // offered requests only there, so one customer was alone in its cell. No cell could compare the two customers,
    // however exact the ledger was.
    Fixture fleet;
    for (std::uint32_t index = 0; index < 3; ++index)
        fleet.updateDigest(index, 0, 4, 100);
    std::map<std::uint32_t, int> placed;
    for (int n = 0; n < 9; ++n)
        ++placed[fleet.place(50)];
    REQUIRE(placed == std::map<std::uint32_t, int> { { 0, 3 }, { 1, 3 }, { 2, 3 } });
    for (int n = 0; n < 3; ++n)
        fleet.placer->offerRemoved(kTellers, { fleet.pool, 2 });
    for (int n = 0; n < 3; ++n)
        REQUIRE(fleet.place(50) == 2);
}

TEST_CASE("Expired digests are ignored", "[scheduling]")
{
    Fixture fleet;
    fleet.updateDigest(0, 9, 0, 0);
    fleet.now += std::chrono::seconds(3);
    REQUIRE(fleet.place() == kOwn);
    fleet.placer->setCells(3, {});
    std::set<std::uint32_t> homes;
    for (int n = 0; n < 20; ++n)
        homes.insert(fleet.placer->place(fleet.now, CustomerId { std::to_string(n) }, 0).index);
    REQUIRE(homes.size() == 3);
}

TEST_CASE("An offer moves only for a clear advantage and after a minimum time", "[scheduling]")
{
    Fixture fleet;
    const CellId here { fleet.pool, 1 };
    const TimePoint since = fleet.now;
    fleet.updateDigest(1, 0, 4, 100);
    fleet.updateDigest(2, 1, 0, 0);
    REQUIRE_FALSE(fleet.placer->findBetterCell(fleet.now, here, since, 150));
    fleet.now += milliseconds(50);
    REQUIRE(fleet.placer->findBetterCell(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    // The first move takes the only free slot, and the second offer becomes the first to wait there. A third has no
    // advantage.
    REQUIRE(fleet.placer->findBetterCell(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    REQUIRE_FALSE(fleet.placer->findBetterCell(fleet.now, here, since, 150));
    fleet.updateDigest(2, 0, 4, 200);
    REQUIRE(fleet.placer->findBetterCell(fleet.now, here, since, 150) == CellId { fleet.pool, 2 });
    REQUIRE_FALSE(fleet.placer->findBetterCell(fleet.now, here, since, 90));
    REQUIRE_FALSE(fleet.placer->findBetterCell(fleet.now, here, since, 250));
    fleet.updateDigest(1, 1, 0, 0);
    REQUIRE_FALSE(fleet.placer->findBetterCell(fleet.now, here, since, 150));
}
