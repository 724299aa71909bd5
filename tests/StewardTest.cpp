#include "StewardSimulation.h"

#include <rapidcheck.h>

using namespace sagechute;
using namespace sagechute::steward;
using Fault = config::FaultyLog::Fault;

namespace {

constexpr std::size_t stewardCount = 3;

/// Injects one fault or configuration change, selected by @p number.
void injectFault(StewardSimulation& simulation, std::uint32_t number)
{
    const std::size_t index = number / 16 % stewardCount;
    const auto seconds = std::chrono::seconds(number / 64 % 30);
    switch (number % 8) {
    case 0:
        return simulation.pause(index, seconds);
    case 1:
        return simulation.delayNextOrders(index, seconds);
    case 2:
        return simulation.log.faults.push_back(static_cast<Fault>(number / 64 % 4));
    case 3:
        simulation.log.isOut = !simulation.log.isOut;
        return;
    case 4:
        return simulation.log.deliverLate();
    case 5:
        return simulation.setDesiredVersion(std::to_string(number / 64 % 3));
    case 6:
        return simulation.log.keepFrom(config::leaseStream,
            simulation.log.end(config::leaseStream)
                - std::min<LogOffset>(number / 64 % 4, simulation.log.end(config::leaseStream)));
    default:
        return;
    }
}

std::string secondsOf(TimePoint at)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(at - TimePoint { 1h }).count()) + "s";
}

} // namespace

TEST_CASE("Stewards with pauses and a faulty log have at most one lease holder, and targets converge")
{
    // Guards against two stewards alternately ordering different versions, and against an engine that stays on an old
    // version permanently. Either can follow from a mix of paused holders, delayed orders, lost or late lease records,
    // outages and expired records if the lease is decided by anything other than the order of the log, or if an order
    // is assumed to be effective without reading the state back.
    REQUIRE(rc::check("stewards", [] {
        const auto numbers
            = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 20));
        StewardSimulation simulation(stewardCount);
        for (const char* name : { "a1", "a2", "a3" })
            simulation.addEngine(name, "fencing", true);
        for (const char* name : { "b1", "b2", "b3" })
            simulation.addEngine(name, "ignoring", false);
        std::map<std::string, LogOffset> lastFencing;
        simulation.onOrder = [&](std::size_t, const SendOrder& order, OrderAnswer answer) {
            LogOffset& last = lastFencing[order.address];
            const bool isEffective
                = answer == OrderAnswer::Accepted && simulation.engines.at(order.address).checksFencing;
            RC_ASSERT(!isEffective || order.fencing >= last);
            last = std::max(last, order.fencing);
        };
        for (const std::uint32_t number : numbers) {
            injectFault(simulation, number);
            simulation.run(std::chrono::milliseconds(number / 8 % 5000));
        }
        simulation.log.isOut = false;
        simulation.log.faults.clear();
        simulation.log.deliverLate();
        simulation.setDesiredVersion("9");
        simulation.run(180s);
        RC_ASSERT(simulation.maxHolders <= 1U);
        RC_ASSERT(simulation.allServeVersion("9"));
    }));
}

TEST_CASE("An upgrade never takes a whole pool out of service and only continues while the other targets serve")
{
    // Guards against a pool without any serving target during an upgrade. This happens if a new version is ordered for
    // all targets at once, or if the next target is ordered before the previous one serves again, for example because
    // that one hangs.
    StewardSimulation simulation(1);
    for (int i = 0; i < 12; ++i)
        simulation.addEngine("e" + std::to_string(10 + i), "llm", true);
    std::size_t leastServing = 12;
    simulation.onStep = [&] { leastServing = std::min(leastServing, simulation.serving("llm")); };
    simulation.run(5s);
    simulation.setDesiredVersion("2");
    simulation.run(60s);
    CHECK(simulation.allServeVersion("2"));
    CHECK(leastServing == 8);

    simulation.onStep = [&] {
        FakeEngine& broken = simulation.engines.at("e10");
        broken.loadDoneAt = broken.state.loading ? simulation.now + 10s : broken.loadDoneAt;
        for (const char* name : { "e11", "e12", "e13" })
            simulation.engines.at(name).loadDoneAt
                = simulation.engines.at(name).state.loading ? simulation.now + 10s : TimePoint {};
    };
    simulation.setDesiredVersion("3");
    simulation.run(60s);
    CHECK(simulation.serving("llm") == 8);
}

TEST_CASE("The only target of a pool is upgraded only after it is declared leaving")
{
    StewardSimulation simulation(1);
    simulation.addEngine("only", "llm", false);
    simulation.setDesiredVersion("2");
    simulation.run(30s);
    CHECK(simulation.engines.at("only").state.version == "1");
    CHECK(simulation.orders(0).progress(simulation.now).at(0).blockedReason.find("only target") != std::string::npos);
    simulation.view.targets[0].state = config::TargetState::Leaving;
    simulation.configure();
    simulation.run(20s);
    CHECK(simulation.engines.at("only").state.version == "2");
}

TEST_CASE("Golden: order by a lapsed lease holder to a target without fencing")
{
    // Guards against an engine that returns to an old version after an upgrade: the holder checks its lease, is paused
    // and loses the lease, its successor upgrades the engine, and then the old order arrives. No check can exclude a
    // pause between check and send. An engine that checks fencing numbers rejects the old order; for one that ignores
    // them the successor sees the difference in the state read back and orders again.
    StewardSimulation simulation(2);
    simulation.addEngine("checks", "one", true);
    simulation.addEngine("checks2", "one", true);
    simulation.addEngine("ignores", "two", false);
    simulation.addEngine("ignores2", "two", false);
    std::ostringstream out;
    simulation.onOrder = [&](std::size_t index, const SendOrder& order, OrderAnswer answer) {
        constexpr std::array<const char*, 3> answers { "accepted", "superseded", "failed" };
        out << secondsOf(simulation.now) << " s" << index << " orders " << order.address << " " << toString(order.kind)
            << " " << order.version << " fencing " << order.fencing
            << (simulation.now > order.sendDeadline ? " (after its lease)" : "") << ": "
            << answers[static_cast<std::size_t>(answer)] << "\n";
    };
    std::map<std::string, std::string> shown;
    simulation.onStep = [&] {
        for (const auto& [name, engine] : simulation.engines) {
            const std::string text
                = engine.state.loading ? "loading " + engine.loadResult.version : "has " + engine.state.version;
            if (std::exchange(shown[name], text) != text)
                out << secondsOf(simulation.now) << " " << name << " " << text << "\n";
        }
    };
    simulation.run(30s);
    const std::size_t previousHolder = *simulation.holder();
    out << "holder s" << previousHolder << ", version 2 wanted, its next orders hang for 40s\n";
    simulation.delayNextOrders(previousHolder, 40s);
    simulation.setDesiredVersion("2");
    simulation.run(30s);
    out << "version 3 wanted\n";
    simulation.setDesiredVersion("3");
    simulation.run(60s);
    CHECK(simulation.allServeVersion("3"));
    config::checkGolden("steward-lapsed-holder", out.str());
}

TEST_CASE("Golden: snapshot by a paused steward")
{
    // Guards against a router that starts with configuration that is ten minutes old: a steward takes a snapshot and is
    // paused, its successor writes a later one, the records expire, and the first steward resumes and appends its
    // snapshot. The last snapshot in the stream is then not the newest one.
    config::FaultyLog log;
    std::ostringstream out;
    config::Member paused(log, {});
    config::Member successor(log, {});
    log.put(config::configStream, config::encodeChange(config::putCustomer("c1", "tellers", 1, 0)));
    REQUIRE(paused.follower->readToEnd().ok());
    const std::string delayedSnapshot = paused.replica->snapshot();
    out << "s0 takes a snapshot of offset " << paused.replica->offset() << " and is paused\n";
    log.put(config::configStream, config::encodeChange(config::putCustomer("c2", "tellers", 2, 1)));
    REQUIRE(successor.follower->readToEnd().ok());
    log.put(config::snapshotStream, successor.replica->snapshot());
    out << "s1 writes a snapshot of offset " << successor.replica->offset() << "\n";
    log.keepFrom(config::configStream, 3);
    log.put(config::snapshotStream, delayedSnapshot);
    out << "records before 3 are gone; s0 wakes up and writes its snapshot of offset 1\n";
    const auto found = config::newestSnapshot(log, *successor.replica).value();
    out << "newest snapshot: at " << found->at << " covers " << found->covers << "\n";
    config::Member router(log, {});
    REQUIRE(router.follower->readToEnd().ok());
    out << "a router starts: offset " << router.replica->offset() << ", tellers has weight "
        << router.replica->view()->findCustomer({ "tellers" })->weight << "\n";
    out << "and takes the late one: " << *router.follower->takeSnapshot(delayedSnapshot) << "\n";
    config::checkGolden("steward-paused-snapshot", out.str());
}

TEST_CASE("A lease released at a planned stop is acquired at once, and its previous holder sends no more orders")
{
    StewardSimulation simulation(2);
    simulation.run(30s);
    const std::size_t previousHolder = *simulation.holder();
    simulation.contender(previousHolder).release();
    simulation.run(3s);
    CHECK(simulation.contender(previousHolder).released());
    CHECK(simulation.holder() == 1 - previousHolder);
}

TEST_CASE("Snapshots are due before the records that they replace expire, even without configuration changes")
{
    // Guards against a restarted router that finds neither records nor a snapshot. This happens after a period without
    // changes that is longer than the log's retention, if the schedule counts only changes or does not know the
    // retention.
    SnapshotSchedule schedule({});
    TimePoint now { 1h };
    schedule.observeLog(1, 10, now);
    CHECK_FALSE(schedule.due(0, now));
    CHECK(schedule.due(10, now));
    schedule.wrote(10, now);
    CHECK_FALSE(schedule.due(10, now + 9min));
    CHECK(schedule.due(10, now + 10min));
    now += 3min;
    schedule.observeLog(11, 20, now);
    REQUIRE(schedule.observedRetention() == Duration(3min));
    schedule.wrote(20, now);
    CHECK_FALSE(schedule.due(20, now + 59s));
    CHECK(schedule.due(20, now + 60s));
    CHECK(schedule.due(24, now + 10s));
}

TEST_CASE("A malformed record in the lease stream never crashes a steward and never changes the holder")
{
    REQUIRE(rc::check("lease", [] {
        StewardSimulation simulation(1);
        simulation.run(2s);
        const auto bytes = *rc::gen::arbitrary<std::string>();
        std::string copy = simulation.log.kept(config::leaseStream).back().data;
        copy.insert(*rc::gen::inRange<std::size_t>(0, copy.size() + 1), bytes);
        simulation.log.put(config::leaseStream, copy);
        simulation.log.put(config::leaseStream, bytes);
        simulation.run(5s);
        RC_ASSERT(simulation.holderCount() == 1U);
    }));
}

TEST_CASE("A state read that started before an order does not confirm or repeat the order")
{
    // Guards against ordering a load twice in a row: a state read is in flight when the order is sent, its result
    // arrives late, and is mistaken for the state after the order.
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
    const HeldLease hold { 7, now + 60s };
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
    REQUIRE(tick().empty()); // The state of "b" is unknown: it might not be serving.
    const std::uint64_t outstandingRead = reads["a"];
    orders->stateRead({ "b" }, reads["b"], old, now);
    REQUIRE(tick() == "a");
    orders->orderAnswered({ "a" }, OrderAnswer::Accepted, now);
    now += 11s;
    orders->stateRead({ "a" }, outstandingRead, old, now);
    CHECK(orders->counts().repeated == 0);
    tick();
    orders->stateRead({ "a" }, reads["a"], old, now);
    orders->stateRead({ "b" }, reads["b"], old, now);
    CHECK(orders->counts().repeated == 1); // A read that started after the order shows that the order had no effect.
    CHECK(tick() == "a");
}

TEST_CASE("A holder measures its term from when it sent the record, not from when it read it back")
{
    // Guards against two stewards sending orders for some seconds: the holder's renewal is stored at once but the reply
    // arrives late. Other processes measure the term from the record, so the holder must not measure it from the reply.
    const auto contender = LeaseContender::make("a", {});
    const TimePoint sent { 1h };
    REQUIRE(contender->next(sent).type == LeaseAction::Type::Read);
    contender->read({ 1, 1, {} }, sent);
    const LeaseAction action = contender->next(sent);
    REQUIRE(action.type == LeaseAction::Type::Append);
    contender->appended(sent + 8s);
    contender->read({ 1, 2, { { 1, action.record } } }, sent + 8s);
    REQUIRE(contender->held(sent + 8s));
    CHECK(contender->held(sent + 8s)->fencing == 1);
    CHECK_FALSE(contender->held(sent + 9s));
}

TEST_CASE("Load grants are requested one at a time, for the pool with the lowest serving fraction first")
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
    const HeldLease hold { 7, now + 60s };
    const auto requestedGrants = [&] {
        std::vector<std::string> names;
        for (const OrderAction& action : orders->tick(hold, now)) {
            if (const auto* request = std::get_if<RequestLoadGrant>(&action))
                names.push_back(request->target.value);
            if (const auto* read = std::get_if<ReadState>(&action)) {
                const bool isEmpty = read->target.value == "b2";
                orders->stateRead(
                    read->target, read->number, ObservedState { isEmpty ? "" : "m", "1", "", 0, false }, now);
            }
        }
        return names;
    };
    CHECK(requestedGrants().empty());
    CHECK(requestedGrants() == std::vector<std::string> { "b2" });
    CHECK(requestedGrants().empty());
    orders->loadRefused({ "b2" }, 5s, now);
    now += 4s;
    CHECK(requestedGrants().empty());
    now += 1s;
    CHECK(requestedGrants() == std::vector<std::string> { "b2" });
    orders->loadGranted({ "b2" }, now);
    const auto actions = orders->tick(hold, now);
    CHECK(std::any_of(actions.begin(), actions.end(), [](const OrderAction& action) {
        const auto* order = std::get_if<SendOrder>(&action);
        return order && order->target.value == "b2" && order->fencing == 7;
    }));
}
