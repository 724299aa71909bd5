#include "operators/FleetPicture.h"
#include "operators/FleetDocument.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::operators;
using nlohmann::json;

namespace {

std::string vmName(int i) { return "vm-" + std::to_string(i); }
std::string addressOf(int i) { return "10.0.0." + std::to_string(i) + ":9000"; }

MemberStatus member(int i, LogOffset offset, MemberHealth health = MemberHealth::Alive)
{
    return { { vmName(i) }, health, { "kokura" }, addressOf(i), offset, false };
}

PollResult answer(int i, LogOffset offset, std::vector<MemberStatus> members)
{
    RouterStatus status;
    status.vm.value = vmName(i);
    status.configOffset = offset;
    status.logReachable = true;
    status.members = std::move(members);
    return { addressOf(i), status };
}

PollResult silence(int i) { return { addressOf(i), makeError(ErrorKind::Internal, "connection refused", "look") }; }

constexpr TimePoint start {};

} // namespace

TEST_CASE("A router that restarted with no memory is not counted as having the change")
{
    // Symptom: in force on 2 of 2, while one router works with nothing. Sequence: vm-2 had offset 9, restarts, reports
    // 0. Cause: the highest offset ever seen of a VM taken for its present one.
    FleetPicture picture;
    picture.absorb(
        start, { answer(1, 9, { member(1, 9), member(2, 9) }), answer(2, 9, { member(1, 9), member(2, 9) }) });
    REQUIRE(picture.progress(9).everywhere());
    picture.absorb(start, { answer(1, 9, { member(1, 9), member(2, 9) }), answer(2, 0, { member(2, 0) }) });
    REQUIRE(picture.progress(9).inForce == 1);
    REQUIRE(picture.progress(9).lagging.front().vm.value == "vm-2");
}

TEST_CASE("A router on the other side of a partition counts as long as it answers the API")
{
    // Symptom: in force everywhere, while callers of a cut-off zone still get the old configuration. Sequence: the
    // others declare vm-3 dead, it runs on and answers the API. Cause: the majority's opinion taken for the truth.
    FleetPicture picture;
    const auto seenDead = member(3, 5, MemberHealth::Dead);
    picture.absorb(start, { answer(1, 9, { member(1, 9), member(2, 9), seenDead }), answer(3, 5, { member(3, 5) }) });
    const Progress progress = picture.progress(9);
    REQUIRE(progress.routers == 3);
    REQUIRE(progress.lagging.size() == 1);
    picture.absorb(start, { answer(1, 9, { member(1, 9), member(2, 9), seenDead }) });
    REQUIRE(picture.progress(9).routers == 2);
    REQUIRE(picture.progress(9).everywhere());
}

TEST_CASE("Without any answer nothing is said to be in force, and what was known stays")
{
    // Symptom: apply --wait succeeds at once in a fleet that is unreachable. Sequence: no router answers. Cause: all of
    // none taken for all.
    FleetPicture picture;
    REQUIRE_FALSE(picture.progress(0).everywhere());
    picture.absorb(start, { answer(1, 9, { member(1, 9) }) });
    picture.absorb(start, { silence(1) });
    REQUIRE(picture.progress(10).lagging.front().why.find("connection refused") != std::string::npos);
    REQUIRE(picture.progress(10).routers == 1);
}

TEST_CASE("Gossip of several routers joins to the newest; a router's own word goes first")
{
    FleetPicture picture;
    picture.absorb(start,
        { answer(1, 9, { member(1, 9), member(2, 3), member(4, 7, MemberHealth::Suspect) }),
            answer(2, 4, { member(1, 8), member(2, 4), member(4, 9) }) });
    REQUIRE(picture.routers().at({ "vm-2" }).offset == 4);
    REQUIRE(picture.routers().at({ "vm-4" }).offset == 9);
    REQUIRE(picture.routers().at({ "vm-4" }).health == MemberHealth::Alive);
}

TEST_CASE("Shares come from the service of the recent past, by weight")
{
    // Symptom: a customer that flooded last week still shows the largest share. Cause: shares of all service ever
    // given.
    config::ConfigView view;
    view.customers = { { .name = { "batch" }, .weight = 1 }, { .name = { "tellers" }, .weight = 3 } };
    FleetPicture picture;
    const auto poll = [&](TimePoint now, Cost batch, Cost tellers) {
        PollResult result = answer(1, 1, { member(1, 1) });
        PoolStatus pool { { "models" }, 0, 4, 4, 12, 100,
            { { { "batch" }, batch, 0 }, { { "tellers" }, tellers, 2 } } };
        result.status->pools = { pool };
        picture.absorb(now, { result });
    };
    poll(start, 1'000'000, 10);
    poll(start + std::chrono::seconds(10), 1'000'100, 110);
    const json document = fleetDocument(picture, view, {}, start + std::chrono::seconds(10));
    const json customers = document["pools"][0]["customers"];
    REQUIRE(customers[0]["share"].get<double>() == Approx(0.25));
    REQUIRE(customers[1]["share"].get<double>() == Approx(0.75));
    REQUIRE(document["pools"][0]["gap"] == 12);
}

TEST_CASE("A router's status is read strictly in what is used, and loosely in what is not")
{
    const json good = { { "vm", "vm-1" }, { "incarnation", 3 }, { "zone", "kokura" }, { "configOffset", 7 },
        { "logReachable", true }, { "draining", false }, { "load", 1 }, { "members", json::array() },
        { "pools", json::array() }, { "newer", "field" } };
    REQUIRE(parseRouterStatus(good.dump()).ok());
    for (const auto& [name, value] : good.items()) {
        if (name == "newer")
            continue;
        json wrong = good;
        wrong[name] = -1;
        const auto status = parseRouterStatus(wrong.dump());
        REQUIRE_FALSE(status.ok());
        REQUIRE(std::string(status.status().message()).find("/" + name) != std::string::npos);
        wrong.erase(name);
        REQUIRE_FALSE(parseRouterStatus(wrong.dump()).ok());
    }
}

TEST_CASE("No bytes in place of a router's status make the API fail")
{
    const json good
        = { { "vm", "vm-1" }, { "incarnation", 3 }, { "zone", "z" }, { "configOffset", 7 }, { "logReachable", true },
              { "draining", false }, { "load", 1 }, { "members", { { { "vm", "vm-2" }, { "state", "alive" } } } },
              { "pools", { { { "pool", "models" }, { "customers", json::array({ 1 }) } } } } };
    REQUIRE(rc::check("mutated documents", [&] {
        std::string text = good.dump();
        const auto edits = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
            rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(), rc::gen::arbitrary<char>()));
        for (const auto& [place, byte] : edits)
            text[place % text.size()] = byte;
        (void)parseRouterStatus(text).ok();
        (void)parseRouterStatus(text.substr(0, text.size() / 2)).ok();
    }));
}
