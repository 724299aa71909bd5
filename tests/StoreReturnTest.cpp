// Tests of what a router makes of a store that returned from a copy: its era has risen, offsets are given out again.

#include <sagechute/News.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::news;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
constexpr StoreEra former = 1;
constexpr StoreEra current = 2;

/// How an entry reads.
enum class State { Ready, Draining };

TargetChange entry(const std::string& id, LogPosition position, State state = State::Ready, std::int64_t bornMs = 1000)
{
    return { { id }, dispatch::Target { { id }, { "s" }, "127.0.0.1:1", { "a" }, 4, state == State::Draining, bornMs },
        position };
}

TargetChange gone(const std::string& id, LogPosition position) { return { { id }, std::nullopt, position }; }

/// @return a list of the targets "a" and "b" that is known up to offset 100 of the former era.
TargetRoster rosterBeforeReturn(std::int64_t bornMs = 1000)
{
    TargetRoster roster;
    roster.known({ 100, former }, start);
    roster.replace(start,
        { entry("a", { 40, former }, State::Ready, bornMs), entry("b", { 99, former }, State::Ready, bornMs) },
        { 100, former });
    return roster;
}

/// Ends the time in which missing targets are kept after a return 3 s after the start.
void passGracePeriod(TargetRoster& roster, LogOffset next)
{
    for (Duration at = 3500ms; at <= 6s; at += 500ms) {
        roster.known({ next, current }, start + at);
        roster.expire(start + at);
    }
}

/// Applies the first list of the current era.
void readAfterReturn(TargetRoster& roster, TimePoint now, const std::vector<TargetChange>& listed, LogOffset end = 60)
{
    roster.known({ end, current }, now);
    roster.replace(now, listed, { end, current });
}

std::set<std::string> usable(const TargetRoster& roster)
{
    std::set<std::string> ids;
    for (const dispatch::Target& it : roster.targets()) {
        if (!it.draining)
            ids.insert(it.id.value);
    }
    return ids;
}

ZoneChange evacuation(const std::string& zone, LogPosition position) { return { { zone }, true, position }; }

} // namespace

// Guards against words that are passed over because routers held a later offset before the return.
TEST_CASE("records of the new era count, whatever offsets were known before")
{
    TargetRoster roster = rosterBeforeReturn();
    readAfterReturn(roster, start + 3s, { entry("a", { 40, current }), entry("b", { 50, current }) });
    passGracePeriod(roster, 60);
    const TimePoint later = start + 6500ms;
    roster.known({ 62, current }, later);
    roster.applyAll(later, { entry("a", { 60, current }, State::Draining), gone("b", { 61, current }) });
    CHECK(usable(roster).empty());
    CHECK(roster.next() == LogPosition { 62, current });
    const auto noticed = roster.takeStoreReturn();
    REQUIRE(noticed);
    CHECK(noticed->former == LogPosition { 100, former });
    CHECK(noticed->current == LogPosition { 60, current });
    CHECK(noticed->listed == 2);
    CHECK_FALSE(roster.takeStoreReturn());
}

// Guards against live targets that are given up because they registered after the copy was made, and against targets
// that are kept for ever because nobody writes their removal again.
TEST_CASE("a target that the copy lacks is kept for the time that it has to register again")
{
    TargetRoster roster = rosterBeforeReturn();
    readAfterReturn(roster, start + 3s, { entry("a", { 40, current }) });
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
    SECTION("it does not")
    {
        passGracePeriod(roster, 60);
        CHECK(usable(roster) == std::set<std::string> { "a" });
    }
    SECTION("it does, at a lower offset than before")
    {
        roster.applyAll(start + 4s, { entry("b", { 60, current }) });
        passGracePeriod(roster, 61);
        CHECK(usable(roster) == std::set<std::string> { "a", "b" });
    }
}

// Guards against requests to a target that left because the copy is from before it said so.
TEST_CASE("a target that was known to leave is not used by the word of an older copy")
{
    const std::int64_t bornMs = GENERATE(1000, 0);
    TargetRoster roster = rosterBeforeReturn(bornMs);
    const bool isDraining = GENERATE(true, false);
    roster.known({ 111, former }, start + 1s);
    roster.applyAll(
        start + 1s, { isDraining ? entry("a", { 110, former }, State::Draining, bornMs) : gone("a", { 110, former }) });
    REQUIRE(usable(roster) == std::set<std::string> { "b" });
    readAfterReturn(
        roster, start + 3s, { entry("a", { 40, current }, State::Ready, bornMs), entry("b", { 50, current }) });
    CHECK(usable(roster) == std::set<std::string> { "b" });
    if (!isDraining && bornMs) {
        // It lives, or it would not write: its entry had only lapsed.
        roster.applyAll(start + 4s, { entry("a", { 60, current }, State::Ready, bornMs) });
        CHECK(usable(roster) == std::set<std::string> { "a", "b" });
    }
}

// Guards against a target that is refused for ever because its removal had a higher offset than its return.
TEST_CASE("a target that returned before the copy was made is used again by the copy's word")
{
    TargetRoster roster = rosterBeforeReturn();
    roster.applyAll(start + 1s, { gone("a", { 45, former }) });
    readAfterReturn(roster, start + 3s, { entry("a", { 55, current }), entry("b", { 50, current }) });
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
}

// Guards against targets that are used after their removal as a router was told its first list without an era.
TEST_CASE("a list that follows one without an era is no return of the store")
{
    TargetRoster roster;
    roster.known({ 100 }, start);
    roster.replace(start, { entry("a", { 40 }), entry("b", { 99 }) }, { 100 });
    roster.known({ 110, current }, start + 500ms);
    roster.replace(start + 500ms, { entry("a", { 40, current }) }, { 110, current });
    CHECK(usable(roster) == std::set<std::string> { "a" });
    CHECK_FALSE(roster.takeStoreReturn());
    EvacuatedZones zones;
    zones.replace(start, { evacuation("a", { 99 }) }, { 100 });
    CHECK(zones.replace(start + 500ms, {}, { 110, current }).size() == 1);
}

// Guards against a late answer, or a router that has not met the return, that takes the list back.
TEST_CASE("lists and records of an older era change nothing")
{
    TargetRoster roster = rosterBeforeReturn();
    readAfterReturn(roster, start + 3s, { entry("a", { 40, current }) });
    passGracePeriod(roster, 60);
    const std::uint64_t revision = roster.revision();
    roster.known({ 130, former }, start + 7s);
    SECTION("as a list") { roster.replace(start + 7s, { entry("c", { 120, former }) }, { 130, former }); }
    SECTION("as records") { roster.applyAll(start + 7s, { gone("a", { 120, former }), entry("c", { 121, former }) }); }
    CHECK(roster.revision() == revision);
    CHECK(usable(roster) == std::set<std::string> { "a" });
    CHECK(roster.next() == LogPosition { 60, current });
    CHECK(roster.knownUntil() == start + 6s);
}

// Guards against positions of the former era that reach another router as if they were of the current one: it would
// pass over all that is written until the log is as long as before.
TEST_CASE("a router that has not met the return gets the full list, with positions of the current era")
{
    TargetRoster roster = rosterBeforeReturn();
    // The record of "b" is older than what is known, and so is not applied.
    readAfterReturn(roster, start + 3s, { entry("a", { 40, current }), entry("b", { 30, current }) });
    CHECK_FALSE(roster.changesSince({ 100, former }));
    for (const TargetChange& it : roster.all()) {
        CHECK(it.position.era == current);
        CHECK(it.position <= LogPosition { 60, current });
    }
    TargetRoster other;
    other.known({ 60, current }, start + 3s);
    other.replace(start + 3s, roster.all(), { 60, current });
    other.applyAll(start + 7s, { entry("b", { 60, current }, State::Draining) });
    CHECK(usable(other) == std::set<std::string> { "a" });
}

// Guards against warm targets that are limited again as the copy has the time that they had left when it was made.
TEST_CASE("the record that the list was made of does not make a target cold again")
{
    TargetRoster roster;
    TargetChange cold = entry("a", { 40, former });
    cold.target->coldLeft = 2s;
    roster.known({ 100, former }, start);
    roster.replace(start, { cold }, { 100, former });
    REQUIRE(roster.targets(start + 3s).front().coldLeft == 0s);
    cold.position.era = current;
    readAfterReturn(roster, start + 3s, { cold });
    CHECK(roster.targets(start + 3s).front().coldLeft == 0s);
}

// Guards against requests to an evacuated zone until the operator has written the evacuation again.
TEST_CASE("an evacuation that the copy lacks stays in force for the time that it has to be written again")
{
    EvacuatedZones zones;
    zones.replace(start, { evacuation("a", { 99, former }) }, { 100, former });
    CHECK(zones.replace(start + 3s, {}, { 60, current }).empty());
    CHECK(zones.zones().contains({ "a" }));
    CHECK(zones.all().empty());
    CHECK(zones.expire(start + 5s).empty());
    SECTION("it is not")
    {
        CHECK(zones.expire(start + 6s).size() == 1);
        CHECK(zones.zones().empty());
    }
    SECTION("it is, at a lower offset than before")
    {
        zones.applyAll(start + 5s, { evacuation("a", { 60, current }) }, { 61, current });
        CHECK(zones.expire(start + 6s).empty());
        CHECK(zones.all().size() == 1);
    }
    SECTION("it is lifted")
    {
        CHECK(zones.applyAll(start + 5s, { { { "a" }, false, { 60, current } } }, { 61, current }).size() == 1);
        CHECK(zones.zones().empty());
    }
}

// Guards against a full read after each lost one, for as long as the log is shorter than before the return.
TEST_CASE("reading goes on after the first list of the new era")
{
    ReadCursor cursor;
    cursor.readDone(start, { 100, former });
    cursor.historyLost();
    cursor.toldByPeer({ 100, former });
    CHECK_FALSE(cursor.next());
    SECTION("read")
    {
        cursor.readDone(start + 1s, { 60, current });
        cursor.toldByPeer({ 100, former });
    }
    SECTION("told") { cursor.toldByPeer({ 60, current }); }
    CHECK(cursor.next() == LogPosition { 60, current });
}

// Guards against a router that takes itself for up to date by the reads of one that has not met the return.
TEST_CASE("an age of an older era is not adopted, but a newer configuration is fetched from whoever has it")
{
    Knowledge mine { 7, start, { 60, current }, start, start, { 12, current } };
    const ToldKnowledge old { 7, 0ms, { 100, former }, 0ms, 0ms, 0ms, { 20, former } };
    CHECK_FALSE(learn(mine, old, start + 1s).any());
    CHECK(mine.configUntil == start);
    CHECK(mine.targetsUntil == start);
    ToldKnowledge newerConfig = old;
    newerConfig.configVersion = 8;
    CHECK(learn(mine, newerConfig, start + 1s).config);
    Knowledge behind { 7, start, { 100, former }, start, start, { 20, former } };
    const Missing missing = learn(behind, { 7, 0ms, { 60, current }, 0ms, 0ms, 0ms, { 12, current } }, start + 1s);
    CHECK(missing.config);
    CHECK(missing.targets);
    CHECK(behind.targetsUntil == start);
}

// Guards against live targets that are given up because their lapse had a higher offset than their new entry.
TEST_CASE("targets whose lapse was known are used when the first list after the return has them again")
{
    const std::int64_t bornMs = GENERATE(1000, 0);
    TargetRoster roster = rosterBeforeReturn(bornMs);
    // The store was away for 3 s; the entries lapsed, and their removals are read in the former era.
    roster.known({ 102, former }, start + 3s);
    roster.applyAll(start + 3s, { gone("a", { 100, former }), gone("b", { 101, former }) });
    REQUIRE(usable(roster) == std::set<std::string> { "a", "b" });
    // It returns from a copy (end 60); both have registered again at 60 and 61 when the first list is read.
    readAfterReturn(roster, start + 4s,
        { entry("a", { 60, current }, State::Ready, bornMs), entry("b", { 61, current }, State::Ready, bornMs) }, 62);
    for (Duration at = 4500ms; at <= 30s; at += 500ms) {
        roster.known({ 62, current }, start + at);
        roster.expire(start + at);
    }
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
}

// Guards against a live target that is never used again because its lapse had a higher offset than the copy's entry.
TEST_CASE("a lapsed target that the copy lists is used")
{
    TargetRoster roster = rosterBeforeReturn(0);
    roster.known({ 111, former }, start + 1s);
    roster.applyAll(start + 1s, { gone("a", { 110, former }) });
    readAfterReturn(roster, start + 3s,
        { entry("a", { 40, current }, State::Ready, 0), entry("b", { 50, current }, State::Ready, 0) });
    for (Duration at = 3500ms; at <= 60s; at += 500ms) {
        const std::vector<TargetChange> list { entry("a", { 40, current }, State::Ready, 0),
            entry("b", { 50, current }, State::Ready, 0) };
        roster.known({ 60, current }, start + at);
        roster.replace(start + at, list, { 60, current });
        roster.expire(start + at);
    }
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
}

// Guards against a state that is inferred and told to others as if it were a record.
TEST_CASE("a router that read later does not take a target from one that read it")
{
    const std::int64_t bornMs = GENERATE(1000, 0);
    TargetRoster early = rosterBeforeReturn(bornMs);
    TargetRoster late = rosterBeforeReturn(bornMs);
    for (TargetRoster* it : { &early, &late }) {
        it->known({ 111, former }, start + 1s);
        it->applyAll(start + 1s, { gone("b", { 110, former }) });
    }
    readAfterReturn(early, start + 3s, { entry("a", { 40, current }, State::Ready, bornMs) }, 60);
    early.known({ 71, current }, start + 3500ms);
    early.applyAll(start + 3500ms, { entry("b", { 70, current }, State::Ready, bornMs) });
    REQUIRE(usable(early) == std::set<std::string> { "a", "b" });
    readAfterReturn(late, start + 4s,
        { entry("a", { 40, current }, State::Ready, bornMs), entry("b", { 70, current }, State::Ready, bornMs) }, 80);
    // To this router the entry may be one from before the removal.
    CHECK(usable(late) == std::set<std::string> { "a" });
    passGracePeriod(early, 71);
    const auto changes = late.changesSince(*early.next());
    early.known({ 80, current }, start + 6500ms);
    if (changes)
        early.applyAll(start + 6500ms, *changes);
    else
        early.replace(start + 6500ms, late.all(), { 80, current });
    CHECK(usable(early) == std::set<std::string> { "a", "b" });
    passGracePeriod(late, 80);
    late.expire(start + 4s + TargetRoster::lostRemovalTime);
    CHECK(usable(late) == std::set<std::string> { "a", "b" });
}

// Guards against requests that go on to the address of a life that has ended.
TEST_CASE("a next life that was written before the first list was read is used")
{
    TargetRoster roster = rosterBeforeReturn();
    readAfterReturn(
        roster, start + 3s, { entry("a", { 40, current }), entry("b", { 70, current }, State::Ready, 2000) }, 80);
    bool isNewLife = false;
    for (const dispatch::Target& it : roster.targets())
        isNewLife = isNewLife || (it.id.value == "b" && it.startedAtMs == 2000);
    CHECK(isNewLife);
}

// Guards against requests that are refused as the copy has an evacuation that was lifted.
TEST_CASE("a zone whose evacuation was lifted is not evacuated by the copy")
{
    EvacuatedZones zones;
    zones.replace(start, { evacuation("a", { 40, former }) }, { 100, former });
    zones.applyAll(start + 1s, { { { "a" }, false, { 100, former } } }, { 101, former });
    REQUIRE(zones.zones().empty());
    zones.replace(start + 3s, { evacuation("a", { 40, current }) }, { 60, current });
    CHECK(zones.zones().empty());
}

// Guards against an evacuation that a router keeps out of force although it was written after the return.
TEST_CASE("a zone that is evacuated again after the return is evacuated at once")
{
    EvacuatedZones zones;
    zones.replace(start, { evacuation("a", { 40, former }) }, { 100, former });
    zones.applyAll(start + 1s, { { { "a" }, false, { 100, former } } }, { 101, former });
    zones.replace(start + 3s, { evacuation("a", { 40, current }) }, { 60, current });
    REQUIRE(zones.zones().empty());
    SECTION("by a list") { zones.replace(start + 4s, { evacuation("a", { 60, current }) }, { 61, current }); }
    SECTION("by a record") { zones.applyAll(start + 4s, { evacuation("a", { 60, current }) }, { 61, current }); }
    CHECK(zones.zones().contains({ "a" }));
    CHECK(zones.all() == std::vector { evacuation("a", { 60, current }) });
}

// Guards against live targets that are given up after two returns in a row.
TEST_CASE("targets that are missing at one return and listed at the next are used")
{
    TargetRoster roster = rosterBeforeReturn();
    readAfterReturn(roster, start + 3s, {}, 60);
    REQUIRE(usable(roster) == std::set<std::string> { "a", "b" });
    roster.known({ 62, 3 }, start + 4s);
    roster.replace(start + 4s, { entry("a", { 55, 3 }), entry("b", { 56, 3 }) }, { 62, 3 });
    for (Duration at = 4500ms; at <= 9s; at += 500ms) {
        roster.known({ 62, 3 }, start + at);
        roster.expire(start + at);
    }
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
}

// Guards against one record of the copy that counts as two because routers know it by different positions.
TEST_CASE("lists of several routers do not end a draining life")
{
    // "b" was ready at 99; only the reader has read that it drains, at 100, when the store goes away.
    TargetRoster reader = rosterBeforeReturn(0), second = rosterBeforeReturn(0), third = rosterBeforeReturn(0);
    reader.known({ 101, former }, start + 1s);
    reader.applyAll(start + 1s, { entry("b", { 100, former }, State::Draining, 0) });
    REQUIRE(usable(reader) == std::set<std::string> { "a" });
    const std::vector<TargetChange> list { entry("a", { 40, current }, State::Ready, 0),
        entry("b", { 50, current }, State::Ready, 0) };
    readAfterReturn(reader, start + 3s, list, 60);
    readAfterReturn(second, start + 3100ms, list, 65);
    readAfterReturn(third, start + 3200ms, list, 70);
    for (const TargetRoster* it : { &second, &third }) {
        const auto changes = it->changesSince(*reader.next());
        reader.known(*it->next(), start + 3300ms);
        if (changes)
            reader.applyAll(start + 3300ms, *changes);
        else
            reader.replace(start + 3300ms, it->all(), *it->next());
    }
    CHECK(usable(reader) == std::set<std::string> { "a" });
}

// Guards against a target that is used after its removal as a fetch was on its way.
TEST_CASE("a late full list does not bring back a target removed by the first record of the era")
{
    TargetRoster reader = rosterBeforeReturn(0), other = rosterBeforeReturn(0);
    const std::vector<TargetChange> list { entry("a", { 40, current }, State::Ready, 0),
        entry("b", { 50, current }, State::Ready, 0) };
    readAfterReturn(reader, start + 3s, list, 60);
    readAfterReturn(other, start + 3s, list, 60);
    reader.known({ 61, current }, start + 3100ms);
    reader.applyAll(start + 3100ms, { gone("b", { 60, current }) });
    // The answer to a request from before the return.
    reader.known({ 60, current }, start + 3000ms);
    reader.replace(start + 3150ms, other.all(), { 60, current });
    for (Duration at = 3500ms; at <= 20s; at += 500ms) {
        reader.known({ 61, current }, start + at);
        reader.expire(start + at);
    }
    CHECK(usable(reader) == std::set<std::string> { "a" });
}

// Guards against the same where the copy lists it.
TEST_CASE("a late full list does not bring back a target that was listed")
{
    TargetRoster reader, other;
    const std::vector<TargetChange> list { entry("a", { 40, current }, State::Ready, 0),
        entry("b", { 50, current }, State::Ready, 0) };
    readAfterReturn(reader, start + 3s, list, 60);
    readAfterReturn(other, start + 3s, list, 60);
    reader.known({ 61, current }, start + 3100ms);
    reader.applyAll(start + 3100ms, { gone("b", { 60, current }) });
    reader.known({ 60, current }, start + 3000ms);
    reader.replace(start + 3150ms, other.all(), { 60, current });
    CHECK(usable(reader) == std::set<std::string> { "a" });
}

// Guards against a return that ends the suspension of targets that left while the router did not run.
TEST_CASE("a router that stood still over the return does not send to targets gone long ago")
{
    const StoreEra era = GENERATE(former, current); // former: control, no return
    TargetRoster roster;
    std::vector<TargetChange> all;
    for (const char* id : { "a", "b", "c", "d" })
        all.push_back(entry(id, { 40, former }));
    roster.known({ 100, former }, start);
    roster.replace(start, all, { 100, former });
    roster.noteStall({ start + 100ms, start + 20s });
    // "d" was removed 15 s ago.
    roster.known({ 120, era }, start + 20100ms);
    all.pop_back();
    for (TargetChange& it : all)
        it.position.era = era;
    roster.replace(start + 20100ms, all, { 120, era });
    CAPTURE(era);
    CHECK(usable(roster) == std::set<std::string> { "a", "b", "c" });
}

// Guards against a target that is never used as its record seems to be part of an earlier list.
TEST_CASE("the first record of the era counts after removed lives are forgotten")
{
    TargetRoster roster = rosterBeforeReturn();
    roster.known({ 111, former }, start + 1s);
    roster.applyAll(start + 1s, { gone("b", { 110, former }) });
    readAfterReturn(roster, start + 3s, { entry("a", { 40, current }) }, 60);
    passGracePeriod(roster, 60);
    for (Duration at = 10s; at <= 11min; at += 1s) {
        roster.known({ 60, current }, start + at);
        roster.expire(start + at);
    }
    roster.known({ 61, current }, start + 11min + 1s);
    roster.applyAll(start + 11min + 1s, { entry("c", { 60, current }, State::Ready, 700000) });
    CHECK(usable(roster) == std::set<std::string> { "a", "c" });
}

// Guards against a live target that is held back for longer than it needs to show that it lives.
TEST_CASE("a target that is listed after its removal and renews its entry is used")
{
    // bornMs == 0, as the platform's entries have no start time.
    TargetRoster roster = rosterBeforeReturn(0);
    roster.known({ 111, former }, start + 1s);
    roster.applyAll(start + 1s, { gone("a", { 110, former }) });
    readAfterReturn(roster, start + 3s,
        { entry("a", { 40, current }, State::Ready, 0), entry("b", { 50, current }, State::Ready, 0) });
    roster.known({ 61, current }, start + 4s);
    roster.applyAll(start + 4s, { entry("a", { 60, current }, State::Ready, 0) });
    CHECK(usable(roster) == std::set<std::string> { "a", "b" });
}
