// Cost of a router's decisions at several fleet sizes, up to the size designed for: messages and their bytes, processor
// time by kind of event, and memory. The cores are production code; network, targets, callers and clock are fakes
// (RoutingFleet). Counters named ...PerSecond and ...Seconds are in virtual time; processor time is real.

#include "RoutingFleet.h"

#include <sagechute/Peer.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <atomic>
#include <numeric>
#include <thread>

namespace sagechute::bench {
namespace {

    using namespace std::chrono_literals;

    class Listener final : public peer::StreamListener {
    public:
        std::atomic<int> messages = 0;

    private:
        void onMessage(const RouterLife&, std::string_view) override { ++messages; }
        void onUp(const RouterLife&) override { }
        void onDown(const RouterLife&) override { }
    };

    /// @return the bytes in both directions that one end of a connection spends on opening and closing it, as counted
    /// by the transport: the bytes of a connection that carried one message, less those of the message.
    double connectionBytes()
    {
        constexpr Duration idle = 300ms;
        constexpr double segment = 52 + 9 + 2 + 52; // With its acknowledgement.
        Listener openerListener;
        Listener acceptorListener;
        peer::StreamOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.fleetSecret = "bench-secret";
        options.idleClose = idle;
        options.self = { VmId { "vm-1000" }, 1764700000000 };
        auto opener = peer::MessageStreams::make(options, openerListener).value();
        options.self = { VmId { "vm-1001" }, 1764700000001 };
        auto acceptor = peer::MessageStreams::make(options, acceptorListener).value();
        opener->send(VmId { "vm-1001" }, acceptor->listenAddress(), "m");
        while (!acceptorListener.messages)
            std::this_thread::sleep_for(5ms);
        std::this_thread::sleep_for(3 * idle);
        const peer::ByteCount bytes = opener->bytes();
        return static_cast<double>(bytes.sent + bytes.received) - segment;
    }

    double asSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    double mean(const std::vector<double>& values)
    {
        return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    }

    double maximum(const std::vector<double>& values) { return *std::max_element(values.begin(), values.end()); }

    std::vector<double> inSeconds(const std::vector<Duration>& times)
    {
        std::vector<double> result;
        result.reserve(times.size());
        for (const Duration& it : times)
            result.push_back(asSeconds(it));
        return result;
    }

    /// Reports one phase; all figures are per router.
    void report(benchmark::State& state, const std::string& phase, const FleetCosts& costs)
    {
        const double span = asSeconds(costs.span);
        state.counters[phase + "/controlBytesPerSecond"] = mean(costs.controlBytes) / span;
        state.counters[phase + "/controlBytesPerSecondMost"] = maximum(costs.controlBytes) / span;
        state.counters[phase + "/gossipBytesPerSecond"] = mean(costs.gossipBytes) / span;
        state.counters[phase + "/coreFraction"] = mean(inSeconds(costs.processorTime)) / span;
        state.counters[phase + "/coreFractionMost"] = maximum(inSeconds(costs.processorTime)) / span;
    }

    /// Reports each kind of event and message of a phase, per router.
    void reportKinds(benchmark::State& state, const FleetSize& size, const FleetCosts& costs)
    {
        const double routerSeconds = asSeconds(costs.span) * static_cast<double>(size.routers);
        for (const auto& [kind, cost] : costs.kinds) {
            state.counters[kind + ":perSecond"] = static_cast<double>(cost.count) / routerSeconds;
            state.counters[kind + ":microseconds"]
                = asSeconds(cost.time) * 1e6 / static_cast<double>(std::max<std::uint64_t>(1, cost.count));
            if (cost.bytes)
                state.counters[kind + ":bytes"] = static_cast<double>(cost.bytes) / static_cast<double>(cost.count);
        }
        state.counters["segmentsPerSecond"] = static_cast<double>(costs.segments) / routerSeconds;
        state.counters["connectionsPerSecond"] = 2 * static_cast<double>(costs.connectionsOpened) / routerSeconds;
        state.counters["requestsPerSecond"] = static_cast<double>(costs.requestsEnded) / asSeconds(costs.span);
        state.counters["tokensPerSecond"] = costs.tokens / asSeconds(costs.span);
        state.counters["refused"] = static_cast<double>(costs.refused);
    }

    std::size_t heapBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    /// The steady state at the size designed for, scaled to the given number of routers.
    void steady(benchmark::State& state)
    {
        FleetSize size = FleetSize::scaled(static_cast<std::size_t>(state.range(0)));
        size.poolsPerCustomer = static_cast<std::size_t>(state.range(1));
        const double perConnection = connectionBytes();
        for (auto _ : state) {
            const std::size_t before = heapBytes();
            RoutingFleet fleet(size, perConnection);
            state.counters["bootSeconds"] = asSeconds(fleet.boot());
            fleet.run(5s);
            state.counters["bytesPerIdleRouter"]
                = static_cast<double>(heapBytes() - before) / static_cast<double>(size.routers);
            fleet.reset();
            fleet.run(10s);
            report(state, "idle", fleet.costs());
            fleet.startLoad();
            fleet.run(70s);
            fleet.reset();
            fleet.run(30s);
            const FleetCosts costs = fleet.costs();
            report(state, "steady", costs);
            reportKinds(state, size, costs);
            state.counters["statusMicroseconds"] = asSeconds(fleet.statusTime()) * 1e6;
            state.counters["cellsOwnedMost"] = static_cast<double>(fleet.maxCellsOwned());
            state.counters["requestsHeld"] = static_cast<double>(fleet.runningPerRouter());
            state.counters["linksPerRouter"]
                = 2 * static_cast<double>(fleet.linksUp()) / static_cast<double>(size.routers);
            state.counters["bytesPerBusyRouter"]
                = static_cast<double>(heapBytes() - before) / static_cast<double>(size.routers);
            state.counters["connectionBytes"] = perConnection;
        }
    }

    /// Processor time that one configuration change and one router failure cost each other router.
    void changes(benchmark::State& state)
    {
        const FleetSize size = FleetSize::scaled(static_cast<std::size_t>(state.range(0)));
        for (auto _ : state) {
            RoutingFleet fleet(size, 0);
            fleet.boot();
            fleet.run(5s);
            fleet.reset();
            fleet.changeConfiguration();
            fleet.run(3s);
            const FleetCosts change = fleet.costs();
            const KindCost& records = change.kinds.at("log-records");
            state.counters["configurationMilliseconds"]
                = asSeconds(records.time) * 1e3 / static_cast<double>(records.count);
            fleet.reset();
            fleet.run(20s);
            const double idle = mean(inSeconds(fleet.costs().processorTime));
            fleet.kill({ 0 });
            fleet.reset();
            fleet.run(20s);
            state.counters["deathMilliseconds"] = (mean(inSeconds(fleet.costs().processorTime)) - idle) * 1e3;
        }
    }

    /// Reports the busiest five-second window and the time until all running routers see only each other.
    void reportPeak(
        benchmark::State& state, const std::string& name, RoutingFleet& fleet, Duration span, std::size_t aliveAfter)
    {
        constexpr Duration window = 5s;
        double bytes = 0;
        double maxBytes = 0;
        double core = 0;
        double maxCore = 0;
        double known = 0;
        for (Duration passed {}; passed < span; passed += window) {
            fleet.reset();
            fleet.run(window);
            const FleetCosts costs = fleet.costs();
            bytes = std::max(bytes, mean(costs.controlBytes) / asSeconds(window));
            maxBytes = std::max(maxBytes, maximum(costs.controlBytes) / asSeconds(window));
            core = std::max(core, mean(inSeconds(costs.processorTime)) / asSeconds(window));
            maxCore = std::max(maxCore, maximum(inSeconds(costs.processorTime)) / asSeconds(window));
            if (known == 0 && fleet.everyoneSees(aliveAfter))
                known = asSeconds(passed + window);
        }
        state.counters[name + "/controlBytesPerSecond"] = bytes;
        state.counters[name + "/controlBytesPerSecondMost"] = maxBytes;
        state.counters[name + "/coreFraction"] = core;
        state.counters[name + "/coreFractionMost"] = maxCore;
        state.counters[name + "/knownWithinSeconds"] = known;
    }

    /// An availability zone fails under load.
    void zoneLoss(benchmark::State& state)
    {
        const FleetSize size = FleetSize::scaled(static_cast<std::size_t>(state.range(0)));
        const double perConnection = connectionBytes();
        for (auto _ : state) {
            RoutingFleet fleet(size, perConnection);
            fleet.boot();
            fleet.startLoad();
            fleet.run(60s);
            const std::vector<std::size_t> lost = fleet.routersOfZone(0);
            fleet.kill(lost);
            reportPeak(state, "loss", fleet, 40s, size.routers - lost.size());
        }
    }

    /// Under load the network between two regions is partitioned and later heals.
    void regionCut(benchmark::State& state)
    {
        const FleetSize size = FleetSize::scaled(static_cast<std::size_t>(state.range(0)));
        const double perConnection = connectionBytes();
        for (auto _ : state) {
            RoutingFleet fleet(size, perConnection);
            fleet.boot();
            fleet.startLoad();
            fleet.run(60s);
            fleet.cutBetweenZones(size.zones / 2);
            reportPeak(state, "begin", fleet, 30s, size.routers / 2);
            fleet.run(30s);
            fleet.reset();
            fleet.run(30s);
            report(state, "apart", fleet.costs());
            fleet.healZones();
            reportPeak(state, "healed", fleet, 40s, size.routers);
        }
    }

    BENCHMARK(steady)
        ->Args({ 8, 1 })
        ->Args({ 37, 1 })
        ->Args({ 111, 1 })
        ->Args({ 111, 3 })
        ->Args({ 370, 1 })
        ->Iterations(1)
        ->ArgNames({ "routers", "poolsPerCustomer" })
        ->Unit(benchmark::kSecond);
    BENCHMARK(changes)->Arg(8)->Arg(37)->Arg(111)->Arg(370)->Iterations(1)->ArgName("routers")->Unit(
        benchmark::kSecond);
    BENCHMARK(zoneLoss)->Arg(37)->Arg(111)->Iterations(1)->ArgName("routers")->Unit(benchmark::kSecond);
    BENCHMARK(regionCut)->Arg(37)->Arg(111)->Iterations(1)->ArgName("routers")->Unit(benchmark::kSecond);

} // namespace
} // namespace sagechute::bench
