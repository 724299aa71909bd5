// Heartbeats, addresses for callers, planned stops and denials: src/edge.

#include <sagechute/Edge.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

} // namespace

TEST_CASE("a heartbeat survives its encoding, and other bytes are refused")
{
    const Heartbeat sent { { { "vm" }, 5, "127.0.0.1:1", "127.0.0.1:2", { "z" }, true,
                               { 9, 1500ms, 77, 250ms, std::nullopt, 90s }, 500, 70, HeartbeatScope::Zone },
        start, { { { { "z" }, 55 } }, { { { "vm" }, 70 } } }, std::string("\0\xFF", 2), 41 };
    const auto read = decodeHeartbeat(encode(sent));
    REQUIRE(read.ok());
    CHECK(read->vm == sent.vm);
    CHECK(read->load == sent.load);
    CHECK(read->knowledge.configVersion == 9);
    CHECK(read->knowledge.configAge == Duration(1500ms));
    CHECK(read->knowledge.targetsNext == 77);
    CHECK(read->knowledge.targetsAge == Duration(250ms));
    CHECK_FALSE(read->knowledge.readAge);
    CHECK(read->knowledge.targetsFromAge == Duration(90s));
    CHECK(read->sentAt == start);
    CHECK(read->includedSerial == 41);
    CHECK(read->scope == HeartbeatScope::Zone);
    CHECK(read->capacity == 500);
    CHECK(read->usePercent == 70);
    CHECK(read->use == sent.use);
    CHECK(read->isReady);
    CHECK_FALSE(decodeHeartbeat("x").ok());
    CHECK_FALSE(decodeHeartbeat("\xDF\x61\x61\x61\x61").ok()); // A map of 1.6 thousand million entries.
    CHECK_FALSE(decodeHeartbeat("\x01\xDD\xFF\xFF\xFF\xFF").ok());
    CHECK_FALSE(decodeHeartbeat(encode(sent) + "x").ok());
    CHECK_FALSE(decodeHeartbeat(encode(sent).substr(1)).ok());
    CHECK_FALSE(decodeHeartbeat(encodeCbor(nlohmann::json { 1 })).ok());
}

TEST_CASE("a router that falls silent leaves the answers to callers")
{
    PeerBoard board;
    board.heard(start,
        { { { "p" }, 1, "127.0.0.1:1", "127.0.0.1:2", { "z" }, true, {}, 250, 0, HeartbeatScope::Router }, {}, {} });
    CHECK(board.alive(start + heartbeatKept, heartbeatKept).size() == 1);
    CHECK(board.alive(start + heartbeatKept + 1ms, heartbeatKept).empty());
}

TEST_CASE("callers get the routers of their availability zone if there are two or more")
{
    const std::vector<EntryPoint> ready { { "a1", { "a" } }, { "a2", { "a" } }, { "b1", { "b" } } };
    CHECK(chooseEntryPoints(ready, { "a" }, "caller") == std::vector<std::string> { "a1", "a2" });
    CHECK(chooseEntryPoints(ready, { "b" }, "caller").size() == 3);
    CHECK(chooseEntryPoints(ready, { "elsewhere" }, "caller").size() == 3);
    CHECK(chooseEntryPoints({}, { "a" }, "caller").empty());
}

// Symptom: around a planned stop streams are cut off in the middle.
// Sequence: SIGTERM; a caller connects by an answer that it still keeps; its stream is taken 5 s later and takes 4 s.
// Cause: new requests were taken until shortly before the process ended.
TEST_CASE("a stopping router keeps most of the grace period for what it has taken")
{
    const StopTimes times = stopTimes(8s);
    CHECK(times.stopTaking >= 2s);
    CHECK(times.end - times.stopTaking >= 4500ms);
    CHECK(times.end <= 7500ms);
    rc::prop("for any grace period", [] {
        const Duration grace = std::chrono::milliseconds(*rc::gen::inRange(1, 60000));
        const StopTimes it = stopTimes(grace);
        RC_ASSERT(it.stopTaking < it.end);
        RC_ASSERT(it.end < grace);
    });
}

// Symptom: routers of an eighth of a core lag by seconds, while those of half a core are idle.
// Sequence: callers choose one of the addresses that they were told at random; there are seven small routers to a large
// one. Cause: all were told to all.
TEST_CASE("callers come to routers in proportion to their cores, and each caller is told the same again")
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

// Symptom: of 31,000 requests of one availability zone 24,000 are refused or find no connection, while the routers of
// the other three zones are idle. Sequence: a customer whose callers are all in one zone sends ten times its usual.
// Cause: callers were told only the routers of their own zone, whatever these had to do.
TEST_CASE("callers of a zone with too much to do are told routers of other zones, no more of them than must be")
{
    const auto partAbroad = [](std::uint32_t own, std::uint32_t others) {
        std::vector<EntryPoint> ready;
        for (int i = 0; i < 10; ++i) {
            ready.push_back({ "a" + std::to_string(i), { "a" }, 250, own });
            ready.push_back({ "b" + std::to_string(i), { "b" }, 250, others });
        }
        double abroad = 0;
        constexpr int callers = 500;
        for (int i = 0; i < callers; ++i) {
            const auto told = chooseEntryPoints(ready, { "a" }, "10.9.0." + std::to_string(i));
            const auto far = std::count_if(told.begin(), told.end(), [](const auto& it) { return it[0] == 'b'; });
            abroad += static_cast<double>(far) / static_cast<double>(told.size()) / callers;
        }
        return abroad;
    };
    CHECK(partAbroad(crowdedPercent, 0) == 0);
    CHECK(partAbroad(60, 10) > 0.2);
    CHECK(partAbroad(60, 10) < 0.45);
    CHECK(partAbroad(90, 10) > 0.45);
    // Where all zones have too much to do, going abroad helps nobody.
    CHECK(partAbroad(90, 90) == 0);
}

TEST_CASE("the use of a zone is the mean over its cores, and only crowded routers are named")
{
    const FleetUse use = sumUse(
        { { { "large" }, { "a" }, 500, 30 }, { { "small" }, { "a" }, 125, 90 }, { { "far" }, { "b" }, 0, 10 } });
    CHECK(use.zones.at({ "a" }) == 42);
    CHECK(use.zones.at({ "b" }) == 10);
    CHECK(use.crowded == std::map<VmId, std::uint32_t> { { { "small" }, 90 } });
}

TEST_CASE("a router with far more to do than the others is left out of callers' answers")
{
    std::vector<EntryPoint> ready;
    ready.reserve(20);
    for (int i = 0; i < 19; ++i)
        ready.push_back({ "a" + std::to_string(i), { "a" }, 125, 20 });
    ready.push_back({ "drowned", { "a" }, 125, 300 });
    const auto given = chooseEntryPoints(ready, { "a" }, "caller");
    CHECK(given.size() == 19);
    CHECK(std::count(given.begin(), given.end(), "drowned") == 0);
    // Where all have much to do, none stands out.
    for (EntryPoint& it : ready)
        it.usePercent = 300;
    CHECK(chooseEntryPoints(ready, { "a" }, "caller").size() == 20);
}

// Guards against a route that was just added being denied by a router whose full link keeps the news from it.
TEST_CASE("a router whose knowledge is late asks to come back instead of denying a route or a key")
{
    CHECK(denialOf(404, false).status == 404);
    CHECK_FALSE(denialOf(404, false).comeBack);
    CHECK(denialOf(404, true).status == 503);
    CHECK(denialOf(401, true).comeBack);
}
