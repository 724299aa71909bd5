#include <sagechute/Scheduling.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace sagechute;
using namespace sagechute::scheduling;

namespace {

const PoolId kPool { "appraisal" };

std::vector<OwnerCandidate> routers(int count)
{
    std::vector<OwnerCandidate> all;
    all.reserve(count);
    for (int n = 0; n < count; ++n)
        all.push_back({ VmId { "vm-" + std::to_string(n) }, ZoneId { "zone-" + std::to_string(n % 4) } });
    return all;
}

struct Size {
    int routers = 0;
    std::uint32_t cells = 0;
};

} // namespace

TEST_CASE("Few cells move when a router leaves, and no router exceeds the cap", "[scheduling]")
{
    const Size size
        = GENERATE(Size { 8, 2 }, Size { 8, 16 }, Size { 8, 66 }, Size { 64, 66 }, Size { 370, 66 }, Size { 370, 370 });
    const auto all = routers(size.routers);
    const CellMap full = CellMap::build(all, { { kPool, size.cells } });
    const std::size_t cap = (5 * size.cells + 4 * size.routers - 1) / (4 * size.routers);
    std::size_t owned = 0;
    std::size_t moved = 0;
    for (int n = 0; n < size.routers; n += std::max(1, size.routers / 32)) {
        REQUIRE(full.ownedBy(all[n].vm, kPool).size() <= cap);
        auto fewer = all;
        fewer.erase(fewer.begin() + n);
        const CellMap map = CellMap::build(fewer, { { kPool, size.cells } });
        owned += full.ownedBy(all[n].vm, kPool).size();
        for (std::uint32_t index = 0; index < size.cells; ++index)
            moved += full.owners({ kPool, index }).front() != map.owners({ kPool, index }).front();
    }
    CAPTURE(size.routers, size.cells, owned, moved);
    REQUIRE(moved <= 2 * owned);
}

TEST_CASE("The map depends on the set of routers only, and a successor is in another zone", "[scheduling]")
{
    auto all = routers(8);
    const CellMap map = CellMap::build(all, { { kPool, 12 } });
    std::reverse(all.begin(), all.end());
    all.push_back(all.front());
    const CellMap same = CellMap::build(all, { { kPool, 12 } });
    std::map<VmId, ZoneId> zones;
    for (const auto& it : all)
        zones[it.vm] = it.zone;
    for (std::uint32_t index = 0; index < 12; ++index) {
        const auto owners = map.owners({ kPool, index });
        REQUIRE(owners == same.owners({ kPool, index }));
        REQUIRE(owners.size() == 3);
        const bool survivesZone = zones[owners[1]] != zones[owners[0]] || zones[owners[2]] != zones[owners[0]];
        REQUIRE(survivesZone);
    }
    REQUIRE(map.cellCount(kPool) == 12);
    REQUIRE(map.owners({ kPool, 12 }).empty());
    REQUIRE(CellMap::build({}, { { kPool, 1 } }).owners({ kPool, 0 }).empty());
}

TEST_CASE("Targets are divided evenly, and few move when one joins", "[scheduling]")
{
    std::vector<TargetId> targets;
    targets.reserve(661);
    for (int n = 0; n < 661; ++n)
        targets.push_back({ "worker-" + std::to_string(n) });
    const auto with = divideTargets(targets, 66);
    std::map<std::uint32_t, int> sizes;
    for (const auto it : with)
        ++sizes[it];
    REQUIRE(sizes.size() == 66);
    for (const auto& it : sizes)
        REQUIRE((it.second == 10 || it.second == 11));
    REQUIRE(cellOf(targets[17], targets, 66) == with[17]);

    targets.pop_back();
    const auto without = divideTargets(targets, 66);
    int moved = 0;
    for (std::size_t n = 0; n < targets.size(); ++n)
        moved += with[n] != without[n];
    REQUIRE(moved <= 66);
    std::reverse(targets.begin(), targets.end());
    REQUIRE(cellOf(targets[0], targets, 66) == without[659]);
}
