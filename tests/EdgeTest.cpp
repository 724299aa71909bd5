// Tests of heartbeats, addresses for callers, planned stops and denials: src/edge.

#include "../apps/sagechute-edge/PeerState.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

} // namespace

TEST_CASE("a heartbeat survives encoding and decoding, and malformed datagrams are rejected")
{
    const Heartbeat sent { { { "vm" }, 5, "127.0.0.1:1", "127.0.0.1:2", { "z" }, true,
                               { 9, 1500ms, { 77, 4 }, 250ms, std::nullopt, 90s, { 31, 5 } }, 500, 70,
                               HeartbeatScope::Zone },
        start, { { { { "z" }, 55 } }, { { { "vm" }, 70 } } }, std::string("\0\xFF", 2), 41 };
    const auto read = decodeHeartbeat(encode(sent));
    REQUIRE(read.ok());
    CHECK(read->vm == sent.vm);
    CHECK(read->load == sent.load);
    CHECK(read->knowledge.configVersion == 9);
    CHECK(read->knowledge.configAge == Duration(1500ms));
    CHECK(read->knowledge.targetsNext == news::LogPosition { 77, 4 });
    CHECK(read->knowledge.targetsAge == Duration(250ms));
    CHECK_FALSE(read->knowledge.readAge);
    CHECK(read->knowledge.targetsFromAge == Duration(90s));
    CHECK(read->knowledge.operatorNext == news::LogPosition { 31, 5 });
    CHECK(read->sentAt == start);
    CHECK(read->includedSerial == 41);
    CHECK(read->scope == HeartbeatScope::Zone);
    CHECK(read->capacity == 500);
    CHECK(read->utilizationPercent == 70);
    CHECK(read->use == sent.use);
    CHECK(read->isReady);
    CHECK_FALSE(decodeHeartbeat("x").ok());
    CHECK_FALSE(decodeHeartbeat("\xDF\x61\x61\x61\x61").ok()); // A map of 1.6 billion entries.
    CHECK_FALSE(decodeHeartbeat("\x01\xDD\xFF\xFF\xFF\xFF").ok());
    CHECK_FALSE(decodeHeartbeat(encode(sent) + "x").ok());
    CHECK_FALSE(decodeHeartbeat(encode(sent).substr(1)).ok());
    CHECK_FALSE(decodeHeartbeat(encodeCbor(nlohmann::json { 1 })).ok());
}

// Guards against routers of two releases that can't decode each other's heartbeats during an upgrade.
TEST_CASE("knowledge from a release without the offset of the operator records is decoded")
{
    using FormerKnowledge
        = std::tuple<std::uint64_t, std::int64_t, std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;
    using Percents = std::map<std::string, std::uint32_t>;
    const std::tuple<std::string, Incarnation, std::string, std::string, std::string, bool, FormerKnowledge,
        std::uint32_t, std::uint32_t, unsigned, std::int64_t, std::tuple<Percents, Percents>, std::string>
        former { "vm", 5, "127.0.0.1:1", "127.0.0.1:2", "z", true, { 9, 1500, 77, 250, -1, 90 }, 500, 70, 0, 7, {},
            "load" };
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, former);
    const auto read = decodeHeartbeat(withIncludedSerial(41, { bytes.data(), bytes.size() }));
    REQUIRE(read.ok());
    CHECK(read->knowledge.configVersion == 9);
    CHECK(read->knowledge.targetsFromAge == Duration(90us));
    CHECK(read->knowledge.operatorNext == news::LogPosition { 0 });
    CHECK(read->load == "load");
    nlohmann::json item = encodeKnowledge({ 9, 1500ms, { 77, 4 }, 250ms, std::nullopt, 90s, { 31, 5 } });
    CHECK(decodeKnowledge(item).targetsNext == news::LogPosition { 77, 4 });
    CHECK(decodeKnowledge(item).operatorNext == news::LogPosition { 31, 5 });
    // A release without eras, and one without evacuations.
    item.erase(item.size() - 1);
    item.erase(item.size() - 1);
    CHECK(decodeKnowledge(item).targetsNext == news::LogPosition { 77, 0 });
    CHECK(decodeKnowledge(item).operatorNext == news::LogPosition { 31, 0 });
    item.erase(item.size() - 1);
    CHECK(decodeKnowledge(item).operatorNext == news::LogPosition {});
    CHECK(decodeKnowledge(item).targetsFromAge == Duration(90s));
}

TEST_CASE("the state for another router carries its evacuated zones; that of a former release has none")
{
    PeerState state;
    state.knowledge = { 9, 1500ms, { 77, 4 }, 250ms, std::nullopt, 90s, { 31, 5 } };
    state.evacuatedZones = { { { "a" }, true, { 12, 5 } }, { { "b" }, true, { 30, 5 } } };
    const auto read = decodePeerState(encode(state));
    REQUIRE(read.ok());
    CHECK(read->evacuatedZones == state.evacuatedZones);
    CHECK(read->knowledge.operatorNext == news::LogPosition { 31, 5 });
    nlohmann::json former = *decodeCbor(encode(state));
    former.erase(former.size() - 1);
    const auto formerRead = decodePeerState(encodeCbor(former));
    REQUIRE(formerRead.ok());
    CHECK(formerRead->evacuatedZones.empty());
}

namespace {

dispatch::FleetConfig configOf(std::uint64_t version)
{
    dispatch::FleetConfig config;
    config.version = version;
    config.services = { { { "app" }, 100, std::nullopt } };
    return config;
}

EdgeState makeEdgeState(bool appliesEvacuations)
{
    return { {}, news::NewsTimes::make(2s, false), { "vm" }, { "a" }, 1, appliesEvacuations };
}

const dispatch::Target targetInZoneA { { "t" }, { "app" }, "127.0.0.1:1", { "a" }, 8, false };

void list(EdgeState& state, const dispatch::Target& target)
{
    state.updateTargets([&](news::TargetRoster& it) { it.apply(start, { target.id, target, 1 }); });
}

bool maySend(EdgeState& state, const dispatch::Target& target)
{
    return state.withDispatcher(
        [&](const dispatch::Dispatcher& it) { return it.maySend(steadyNow(), target.incarnation()); });
}

} // namespace

// Guards against a starting router that follows the topic from its configuration, or from too far on: a record between
// the two would be applied again or never.
TEST_CASE("after a peer's answer the operator topic is followed from the offset up to which the peer knows it")
{
    EdgeState state = makeEdgeState(true);
    list(state, targetInZoneA);
    CHECK(maySend(state, targetInZoneA));
    const OperatorNews peer { news::ConfigRecord { 2, { 3 }, "" }, { { { "a" }, true, { 5 } } }, true, { 8 } };
    const OperatorChanges changes = state.installOperatorNews(start, peer, configOf(2));
    CHECK(changes.isConfigInstalled);
    CHECK(changes.zones.size() == 1);
    CHECK_FALSE(maySend(state, targetInZoneA));
    CHECK(state.knowledge().operatorNext == news::LogPosition { 8 });
    CHECK(state.evacuatedZones().next() == news::LogPosition { 8 });
    SECTION("the end of the evacuation is in the next record")
    {
        state.installOperatorNews(start, { std::nullopt, { { { "a" }, false, { 8 } } }, false, { 9 } }, std::nullopt);
        CHECK(maySend(state, targetInZoneA));
    }
    SECTION("a router that tells no offset changes nothing but the configuration")
    {
        CHECK(state.installOperatorNews(start, { news::ConfigRecord { 3, { 9 }, "" }, {}, false, {} }, configOf(3))
                  .isConfigInstalled);
        CHECK_FALSE(maySend(state, targetInZoneA));
        CHECK(state.knowledge().operatorNext == news::LogPosition { 8 });
        // Its age says nothing of evacuations.
        state.extendConfigKnowledge({ 3, 0ms, {}, std::nullopt, std::nullopt, std::nullopt, {} }, start);
        CHECK_FALSE(state.knowledge().configUntil);
    }
}

TEST_CASE("without a bound for evacuations they are passed on, but not in force")
{
    EdgeState state = makeEdgeState(false);
    list(state, targetInZoneA);
    state.installOperatorNews(start, { std::nullopt, { { { "a" }, true, { 5 } } }, true, { 8 } }, std::nullopt);
    CHECK(maySend(state, targetInZoneA));
    CHECK(state.evacuatedZones().all().size() == 1);
}

TEST_CASE("a router without heartbeats is no longer offered to callers")
{
    PeerTable peers;
    peers.heard(start,
        { { { "p" }, 1, "127.0.0.1:1", "127.0.0.1:2", { "z" }, true, {}, 250, 0, HeartbeatScope::Router }, {}, {} });
    CHECK(peers.alive(start + heartbeatTimeout, heartbeatTimeout).size() == 1);
    CHECK(peers.alive(start + heartbeatTimeout + 1ms, heartbeatTimeout).empty());
}

TEST_CASE("callers are offered the routers of their availability zone if there are two or more")
{
    const std::vector<EntryPoint> ready { { "a1", { "a" } }, { "a2", { "a" } }, { "b1", { "b" } } };
    CHECK(chooseEntryPoints(ready, { "a" }, "caller") == std::vector<std::string> { "a1", "a2" });
    CHECK(chooseEntryPoints(ready, { "b" }, "caller").size() == 3);
    CHECK(chooseEntryPoints(ready, { "elsewhere" }, "caller").size() == 3);
    CHECK(chooseEntryPoints({}, { "a" }, "caller").empty());
}

// Guards against streams that a planned stop cuts off. After SIGTERM a caller still connects by cached addresses; its
// stream is accepted 5 s later and takes 4 s. It breaks if the router accepts requests until shortly before its process
// ends.
TEST_CASE("a stopping router reserves most of the grace period for requests that it has accepted")
{
    const StopTimes times = stopTimes(8s);
    CHECK(times.stopAccepting >= 2s);
    CHECK(times.end - times.stopAccepting >= 4500ms);
    CHECK(times.end <= 7500ms);
    rc::prop("for any grace period", [] {
        const Duration grace = std::chrono::milliseconds(*rc::gen::inRange(1, 60000));
        const StopTimes it = stopTimes(grace);
        RC_ASSERT(it.stopAccepting < it.end);
        RC_ASSERT(it.end < grace);
    });
}

// Guards against routers with an eighth of a core that lag by seconds while those with half a core are idle. Callers
// pick one of their addresses at random, so with seven small routers per large one this happens if every router is
// offered to every caller.
TEST_CASE("callers are distributed in proportion to the routers' cores, and each caller gets the same addresses again")
{
    std::vector<EntryPoint> ready { { "large", { "a" }, 500 } };
    for (int i = 0; i < 7; ++i)
        ready.push_back({ "small" + std::to_string(i), { "a" }, 125 });
    std::map<std::string, double> share;
    constexpr int callers = 4000;
    for (int i = 0; i < callers; ++i) {
        const std::string caller = "10.9.0." + std::to_string(i);
        const auto told = chooseEntryPoints(ready, { "a" }, caller);
        REQUIRE(told.size() >= 2);
        CHECK(told == chooseEntryPoints(ready, { "a" }, caller));
        for (const std::string& it : told)
            share[it] += 1.0 / static_cast<double>(told.size()) / callers;
    }
    CHECK(share["large"] > 0.33);
    CHECK(share["large"] < 0.45);
    for (int i = 0; i < 7; ++i)
        CHECK(share["small" + std::to_string(i)] < 0.11);
}

// Guards against the loss of 24,000 of 31,000 requests of one availability zone, refused or without a connection, while
// the routers of the other three zones are idle. It happens when all callers of a customer that sends ten times its
// usual rate are in one zone and are only offered the routers of that zone, whatever their load.
TEST_CASE("callers of an overloaded zone are offered no more routers of other zones than necessary")
{
    const auto remoteFraction = [](std::uint32_t own, std::uint32_t others) {
        std::vector<EntryPoint> ready;
        for (int i = 0; i < 10; ++i) {
            ready.push_back({ "a" + std::to_string(i), { "a" }, 250, own });
            ready.push_back({ "b" + std::to_string(i), { "b" }, 250, others });
        }
        double remote = 0;
        constexpr int callers = 500;
        for (int i = 0; i < callers; ++i) {
            const auto told = chooseEntryPoints(ready, { "a" }, "10.9.0." + std::to_string(i));
            const auto far = std::count_if(told.begin(), told.end(), [](const auto& it) { return it[0] == 'b'; });
            remote += static_cast<double>(far) / static_cast<double>(told.size()) / callers;
        }
        return remote;
    };
    CHECK(remoteFraction(highUtilizationPercent, 0) == 0);
    CHECK(remoteFraction(60, 10) > 0.2);
    CHECK(remoteFraction(60, 10) < 0.45);
    CHECK(remoteFraction(90, 10) > 0.45);
    // If all zones are overloaded, sending callers elsewhere does not help.
    CHECK(remoteFraction(90, 90) == 0);
}

TEST_CASE("the utilization of a zone is the mean over its cores, and only highly utilized routers are listed")
{
    const FleetUtilization use = summarizeUtilization(
        { { { "large" }, { "a" }, 500, 30 }, { { "small" }, { "a" }, 125, 90 }, { { "far" }, { "b" }, 0, 10 } });
    CHECK(use.zones.at({ "a" }) == 42);
    CHECK(use.zones.at({ "b" }) == 10);
    CHECK(use.busyRouters == std::map<VmId, std::uint32_t> { { { "small" }, 90 } });
}

TEST_CASE("a router with far more load than the others is not offered to callers")
{
    std::vector<EntryPoint> ready;
    ready.reserve(20);
    for (int i = 0; i < 19; ++i)
        ready.push_back({ "a" + std::to_string(i), { "a" }, 125, 20 });
    ready.push_back({ "drowned", { "a" }, 125, 300 });
    const auto given = chooseEntryPoints(ready, { "a" }, "caller");
    CHECK(given.size() == 19);
    CHECK(std::count(given.begin(), given.end(), "drowned") == 0);
    // If all routers are overloaded, none is left out.
    for (EntryPoint& it : ready)
        it.utilizationPercent = 300;
    CHECK(chooseEntryPoints(ready, { "a" }, "caller").size() == 20);
}

// Guards against a router that denies a newly added route because its saturated link delays the configuration.
TEST_CASE("a router with stale knowledge asks callers to retry instead of denying a route or a key")
{
    CHECK(denialOf(404, false).status == 404);
    CHECK_FALSE(denialOf(404, false).comeBack);
    CHECK(denialOf(404, true).status == 503);
    CHECK(denialOf(401, true).comeBack);
}
