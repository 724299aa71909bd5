#include "StewardWorld.h"

#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::steward;
using Fault = config::FaultyLog::Fault;

namespace {

constexpr std::size_t stewardCount = 3;

/// Disturbs a world, one number after the other.
void disturb(StewardWorld& world, std::uint32_t number)
{
    const std::size_t who = number / 16 % stewardCount;
    const auto seconds = std::chrono::seconds(number / 64 % 30);
    switch (number % 8) {
    case 0:
        return world.pause(who, seconds);
    case 1:
        return world.delayNextOrders(who, seconds);
    case 2:
        return world.log.faults.push_back(static_cast<Fault>(number / 64 % 4));
    case 3:
        world.log.isOut = !world.log.isOut;
        return;
    case 4:
        return world.log.deliverLate();
    case 5:
        return world.want(std::to_string(number / 64 % 3));
    case 6:
        return world.log.keepFrom(config::leaseStream,
            world.log.end(config::leaseStream)
                - std::min<LogOffset>(number / 64 % 4, world.log.end(config::leaseStream)));
    default:
        return;
    }
}

std::string secondsOf(TimePoint at)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(at - TimePoint { 1h }).count()) + "s";
}

} // namespace

TEST_CASE("Stewards with pauses and a faulty log: one holder at a time, and targets converge")
{
    // Symptom: two stewards order different versions in turn, or an engine stays on an old version for good.
    // Sequence: any mix of paused holders, orders that leave late, lost and late lease records, outages and retention.
    // Cause: a lease judged by anything but the log's order, or an order that is believed without reading the state
    // back.
    REQUIRE(rc::check("stewards", [] {
        const auto numbers
            = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 20));
        StewardWorld world(stewardCount);
        for (const char* name : { "a1", "a2", "a3" })
            world.addEngine(name, "fencing", true);
        for (const char* name : { "b1", "b2", "b3" })
            world.addEngine(name, "ignoring", false);
        std::map<std::string, LogOffset> lastFencing;
        world.onOrder = [&](std::size_t, const SendOrder& order, OrderAnswer answer) {
            LogOffset& last = lastFencing[order.address];
            const bool isEffective = answer == OrderAnswer::Accepted && world.engines.at(order.address).checksFencing;
            RC_ASSERT(!isEffective || order.fencing >= last);
            last = std::max(last, order.fencing);
        };
        for (const std::uint32_t number : numbers) {
            disturb(world, number);
            world.run(std::chrono::milliseconds(number / 8 % 5000));
        }
        world.log.isOut = false;
        world.log.faults.clear();
        world.log.deliverLate();
        world.want("9");
        world.run(180s);
        RC_ASSERT(world.mostHolders <= 1U);
        RC_ASSERT(world.allHave("9"));
    }));
}

TEST_CASE("An upgrade never takes a whole pool down, and only goes on while the rest serves")
{
    // Symptom: no target of a pool answers during an upgrade. Sequence: a new version is wanted for all targets; one of
    // them hangs. Cause: orders to all at once, or a next order before the former target is back.
    StewardWorld world(1);
    for (int i = 0; i < 12; ++i)
        world.addEngine("e" + std::to_string(10 + i), "llm", true);
    std::size_t leastServing = 12;
    world.onStep = [&] { leastServing = std::min(leastServing, world.serving("llm")); };
    world.run(5s);
    world.want("2");
    world.run(60s);
    CHECK(world.allHave("2"));
    CHECK(leastServing == 8);

    world.onStep = [&] {
        FakeEngine& broken = world.engines.at("e10");
        broken.loadedAt = broken.state.loading ? world.now + 10s : broken.loadedAt;
        for (const char* name : { "e11", "e12", "e13" })
            world.engines.at(name).loadedAt = world.engines.at(name).state.loading ? world.now + 10s : TimePoint {};
    };
    world.want("3");
    world.run(60s);
    CHECK(world.serving("llm") == 8);
}

TEST_CASE("The only target of a pool is upgraded once it is leaving")
{
    StewardWorld world(1);
    world.addEngine("only", "llm", false);
    world.want("2");
    world.run(30s);
    CHECK(world.engines.at("only").state.version == "1");
    CHECK(world.orders(0).progress(world.now).at(0).waitsFor.find("only target") != std::string::npos);
    world.view.targets[0].state = config::TargetState::Leaving;
    world.configure();
    world.run(20s);
    CHECK(world.engines.at("only").state.version == "2");
}

TEST_CASE("Golden: order by a lapsed lease holder to a target without fencing")
{
    // Symptom: an engine falls back to an old version after an upgrade. Sequence: the holder looks at its lease, is
    // paused, loses the lease; its successor upgrades; the old order arrives. Cause: the engine ignores the fencing
    // number, and no check can exclude a pause between check and send. The state read back shows it, and the successor
    // orders again; an engine that checks refuses at once.
    StewardWorld world(2);
    world.addEngine("checks", "one", true);
    world.addEngine("checks2", "one", true);
    world.addEngine("ignores", "two", false);
    world.addEngine("ignores2", "two", false);
    std::ostringstream out;
    world.onOrder = [&](std::size_t who, const SendOrder& order, OrderAnswer answer) {
        constexpr std::array<const char*, 3> answers { "accepted", "superseded", "failed" };
        out << secondsOf(world.now) << " s" << who << " orders " << order.address << " " << toString(order.kind) << " "
            << order.version << " fencing " << order.fencing << (world.now > order.notAfter ? " (after its lease)" : "")
            << ": " << answers[static_cast<std::size_t>(answer)] << "\n";
    };
    std::map<std::string, std::string> shown;
    world.onStep = [&] {
        for (const auto& [name, engine] : world.engines) {
            const std::string text
                = engine.state.loading ? "loading " + engine.loaded.version : "has " + engine.state.version;
            if (std::exchange(shown[name], text) != text)
                out << secondsOf(world.now) << " " << name << " " << text << "\n";
        }
    };
    world.run(30s);
    const std::size_t former = *world.holder();
    out << "holder s" << former << ", version 2 wanted, its next orders hang for 40s\n";
    world.delayNextOrders(former, 40s);
    world.want("2");
    world.run(30s);
    out << "version 3 wanted\n";
    world.want("3");
    world.run(60s);
    CHECK(world.allHave("3"));
    config::checkGolden("steward-lapsed-holder", out.str());
}

TEST_CASE("Golden: snapshot by a paused steward")
{
    // Symptom: settings of ten minutes ago are back after a restart. Sequence: a steward takes a snapshot and is
    // paused; its successor writes a later one; records expire; the first wakes up and writes; a router starts. Cause:
    // the last snapshot taken for the newest.
    config::FaultyLog log;
    std::ostringstream out;
    config::Member paused(log, {});
    config::Member successor(log, {});
    log.put(config::configStream, config::encodeChange(config::putCustomer("c1", "tellers", 1, 0)));
    REQUIRE(paused.follower->readToEnd().ok());
    const std::string inHand = paused.replica->snapshot();
    out << "s0 takes a snapshot of offset " << paused.replica->offset() << " and is paused\n";
    log.put(config::configStream, config::encodeChange(config::putCustomer("c2", "tellers", 2, 1)));
    REQUIRE(successor.follower->readToEnd().ok());
    log.put(config::snapshotStream, successor.replica->snapshot());
    out << "s1 writes a snapshot of offset " << successor.replica->offset() << "\n";
    log.keepFrom(config::configStream, 3);
    log.put(config::snapshotStream, inHand);
    out << "records before 3 are gone; s0 wakes up and writes its snapshot of offset 1\n";
    const auto found = config::newestSnapshot(log, *successor.replica).value();
    out << "newest snapshot: at " << found->at << " covers " << found->covers << "\n";
    config::Member router(log, {});
    REQUIRE(router.follower->readToEnd().ok());
    out << "a router starts: offset " << router.replica->offset() << ", tellers has weight "
        << router.replica->view()->findCustomer({ "tellers" })->weight << "\n";
    out << "and takes the late one: " << *router.follower->takeSnapshot(inHand) << "\n";
    config::checkGolden("steward-paused-snapshot", out.str());
}

TEST_CASE("A lease given up at a planned stop is taken at once, and its former holder gives no more orders")
{
    StewardWorld world(2);
    world.run(30s);
    const std::size_t former = *world.holder();
    world.keeper(former).release();
    world.run(3s);
    CHECK(world.keeper(former).released());
    CHECK(world.holder() == 1 - former);
}

TEST_CASE("Snapshots are due before the records that they replace expire, and on a quiet fleet too")
{
    // Symptom: a restarted router finds neither records nor a snapshot. Sequence: no change for longer than the log
    // keeps records. Cause: a schedule that counts changes only, or one that does not know how long the log keeps them.
    SnapshotSchedule schedule({});
    TimePoint now { 1h };
    schedule.sawLog(1, 10, now);
    CHECK_FALSE(schedule.due(0, now));
    CHECK(schedule.due(10, now));
    schedule.wrote(10, now);
    CHECK_FALSE(schedule.due(10, now + 9min));
    CHECK(schedule.due(10, now + 10min));
    now += 3min;
    schedule.sawLog(11, 20, now);
    REQUIRE(schedule.learnedAge() == Duration(3min));
    schedule.wrote(20, now);
    CHECK_FALSE(schedule.due(20, now + 59s));
    CHECK(schedule.due(20, now + 60s));
    CHECK(schedule.due(24, now + 10s));
}

TEST_CASE("A hostile record in the lease stream never crashes and never takes the lease")
{
    REQUIRE(rc::check("lease", [] {
        StewardWorld world(1);
        world.run(2s);
        const auto bytes = *rc::gen::arbitrary<std::string>();
        std::string copy = world.log.kept(config::leaseStream).back().data;
        copy.insert(*rc::gen::inRange<std::size_t>(0, copy.size() + 1), bytes);
        world.log.put(config::leaseStream, copy);
        world.log.put(config::leaseStream, bytes);
        world.run(5s);
        RC_ASSERT(world.holders() == 1U);
    }));
}

TEST_CASE("A state read before an order does not tell what became of it")
{
    // Symptom: a target is ordered to load twice in a row. Sequence: a read is under way when an order leaves, and is
    // answered late. Cause: an answer taken for newer than it is.
    const auto orders = TargetOrders::make({});
    TimePoint now { 1h };
    config::ConfigView view;
    for (const char* name : { "a", "b" }) {
        config::Target& target = view.targets.emplace_back();
        target.name = { name };
        target.pool = { "llm" };
        target.address = name;
        target.checksFencing = true;
        target.model = "m";
        target.version = "2";
    }
    orders->configure(view, now);
    const LeaseHold hold { 7, now + 60s };
    const ObservedState old { "m", "1", "", 0, false };
    std::map<std::string, std::uint64_t> reads;
    const auto tick = [&] {
        std::string ordered;
        for (const OrderAction& action : orders->tick(hold, now)) {
            if (const auto* read = std::get_if<ReadState>(&action))
                reads[read->target.value] = read->number;
            if (const auto* order = std::get_if<SendOrder>(&action))
                ordered += order->target.value;
        }
        return ordered;
    };
    tick();
    orders->stateRead({ "a" }, reads["a"], old, now);
    now += 2s;
    REQUIRE(tick().empty()); // The other one has not told its state: it might not serve.
    const std::uint64_t underWay = reads["a"];
    orders->stateRead({ "b" }, reads["b"], old, now);
    REQUIRE(tick() == "a");
    orders->orderAnswered({ "a" }, OrderAnswer::Accepted, now);
    now += 11s;
    orders->stateRead({ "a" }, underWay, old, now);
    CHECK(orders->counts().repeated == 0);
    tick();
    orders->stateRead({ "a" }, reads["a"], old, now);
    orders->stateRead({ "b" }, reads["b"], old, now);
    CHECK(orders->counts().repeated == 1); // A read after the order shows that it had no effect.
    CHECK(tick() == "a");
}

TEST_CASE("A holder counts its term from when it sent the record, not from when it read it back")
{
    // Symptom: two stewards give orders for some seconds. Sequence: the holder's renewal is taken at once, its reply
    // comes late; others count their wait from the record. Cause: a term that begins with the reply.
    const auto keeper = LeaseKeeper::make("a", {});
    const TimePoint sent { 1h };
    REQUIRE(keeper->next(sent).type == LeaseAction::Type::Read);
    keeper->read({ 1, 1, {} }, sent);
    const LeaseAction action = keeper->next(sent);
    REQUIRE(action.type == LeaseAction::Type::Append);
    keeper->appended(sent + 8s);
    keeper->read({ 1, 2, { { 1, action.record } } }, sent + 8s);
    REQUIRE(keeper->held(sent + 8s));
    CHECK(keeper->held(sent + 8s)->fencing == 1);
    CHECK_FALSE(keeper->held(sent + 9s));
}

TEST_CASE("Loads wait for the weight store one at a time, those whose pool has lost most first")
{
    OrderSettings settings;
    settings.asksWeightStore = true;
    const auto orders = TargetOrders::make(settings);
    TimePoint now { 1h };
    config::ConfigView view;
    for (const char* name : { "a1", "a2", "a3", "b1", "b2", "b3" }) {
        config::Target target;
        target.name = { name };
        target.pool = { std::string(1, name[0]) };
        target.address = name;
        target.checksFencing = true;
        target.model = "m";
        target.version = "2";
        view.targets.push_back(target);
    }
    orders->configure(view, now);
    const LeaseHold hold { 7, now + 60s };
    const auto asked = [&] {
        std::vector<std::string> names;
        for (const OrderAction& action : orders->tick(hold, now)) {
            if (const auto* ask = std::get_if<AskLoad>(&action))
                names.push_back(ask->target.value);
            if (const auto* read = std::get_if<ReadState>(&action)) {
                const bool isEmpty = read->target.value == "b2";
                orders->stateRead(
                    read->target, read->number, ObservedState { isEmpty ? "" : "m", "1", "", 0, false }, now);
            }
        }
        return names;
    };
    CHECK(asked().empty());
    CHECK(asked() == std::vector<std::string> { "b2" });
    CHECK(asked().empty());
    orders->loadRefused({ "b2" }, 5s, now);
    now += 4s;
    CHECK(asked().empty());
    now += 1s;
    CHECK(asked() == std::vector<std::string> { "b2" });
    orders->loadGranted({ "b2" }, now);
    const auto actions = orders->tick(hold, now);
    CHECK(std::any_of(actions.begin(), actions.end(), [](const OrderAction& action) {
        const auto* order = std::get_if<SendOrder>(&action);
        return order && order->target.value == "b2" && order->fencing == 7;
    }));
}
