#include <sagechute/Config.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace sagechute;
using namespace sagechute::config;

namespace {

// The size to design for, and the number of its parts that a fleet of a tenth and of a third of it would have.
constexpr int customerCount = 1100;
constexpr int targetCount = 660;
constexpr int wholeParts = 30;
constexpr int changesADay = 1000;

int part(int whole, int parts) { return std::max(1, whole * parts / wholeParts); }

const std::string salt = "00112233445566778899aabbccddeeff";

std::string keyOf(int i) { return "a-random-key-of-customer-" + std::to_string(i); }

std::string customerRecord(int serial, int i, double weight, LogOffset expected, LogOffset base)
{
    Change change;
    change.id = "c" + std::to_string(serial);
    change.name = "customer-" + std::to_string(i);
    change.expected = expected;
    change.base = base;
    change.spec
        = canonicalSpec(Kind::Customer, change.name, { { "weight", weight }, { "key", keyOf(i) } }, salt).value();
    return encodeChange(change);
}

std::string targetRecord(int serial, int i)
{
    Change change;
    change.id = "c" + std::to_string(serial);
    change.kind = Kind::Target;
    change.name = "target-" + std::to_string(i);
    const std::string address = "10.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200) + ":8000";
    change.spec = canonicalSpec(
        change.kind, change.name, { { "pool", "llm" }, { "zone", "kokura" }, { "address", address } }, salt)
                      .value();
    return encodeChange(change);
}

std::vector<LogRecord> declarations(int parts)
{
    std::vector<LogRecord> records;
    int serial = 0;
    for (int i = 0; i < part(customerCount, parts); ++i, ++serial)
        records.push_back({ static_cast<LogOffset>(serial + 1), customerRecord(serial, i, 1, 0, 0) });
    for (int i = 0; i < part(targetCount, parts); ++i, ++serial)
        records.push_back({ static_cast<LogOffset>(serial + 1), targetRecord(serial, i) });
    return records;
}

/// A replica of a part of the size to design for. Its last offset is that of its last record.
std::unique_ptr<ConfigReplica> fullReplica(int parts = wholeParts)
{
    auto replica = ConfigReplica::make();
    replica->apply(declarations(parts));
    return replica;
}

void bySize(benchmark::internal::Benchmark* benchmark)
{
    benchmark->Arg(wholeParts / 10)->Arg(wholeParts / 3)->Arg(wholeParts)->ArgName("thirtieths");
}

void findCustomerByKey(benchmark::State& state)
{
    const auto replica = fullReplica();
    const auto view = replica->view();
    const std::string key = keyOf(700);
    for (auto _ : state)
        benchmark::DoNotOptimize(view->customerByKey(key));
}
BENCHMARK(findCustomerByKey);

void refuseUnknownKey(benchmark::State& state)
{
    const auto replica = fullReplica();
    const auto view = replica->view();
    const std::string key = keyOf(customerCount + 1);
    for (auto _ : state)
        benchmark::DoNotOptimize(view->customerByKey(key));
}
BENCHMARK(refuseUnknownKey);

void applyOneChange(benchmark::State& state)
{
    const auto replica = fullReplica(static_cast<int>(state.range(0)));
    constexpr int changed = 50;
    LogOffset version = changed + 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const LogOffset offset = replica->offset() + 1;
        const LogRecord record { offset, customerRecord(static_cast<int>(offset), changed, 2, version, offset - 1) };
        bytes = record.data.size();
        version = offset;
        state.ResumeTiming();
        if (replica->apply({ record }).at(0).verdict != Verdict::Accepted)
            state.SkipWithError("the change was not accepted");
        // Part of the cost: whoever asks for the view after a change has it built.
        benchmark::DoNotOptimize(replica->view());
    }
    state.counters["recordBytes"] = static_cast<double>(bytes);
}
BENCHMARK(applyOneChange)->Apply(bySize)->Unit(benchmark::kMicrosecond);

/// All declarations at once, as a router without memory reads them.
void startFromRecords(benchmark::State& state)
{
    const std::vector<LogRecord> records = declarations(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        const auto replica = ConfigReplica::make();
        replica->apply(records);
        benchmark::DoNotOptimize(replica->view());
    }
}
BENCHMARK(startFromRecords)->Apply(bySize)->Unit(benchmark::kMillisecond);

/// What a replica holds, after the declarations and after four more days of changes.
void memory(benchmark::State& state)
{
    constexpr int days = 4;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        const auto replica = fullReplica(static_cast<int>(state.range(0)));
        std::shared_ptr<const ConfigView> view = replica->view();
        state.counters["bytesFresh"] = static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before);
        LogOffset version = 1;
        for (int n = 0; n < days * changesADay; ++n) {
            const LogOffset offset = replica->offset() + 1;
            replica->apply({ { offset, customerRecord(static_cast<int>(offset), 0, 1 + n % 2, version, offset - 1) } });
            version = offset;
        }
        view = replica->view();
        state.counters["bytesAfterFourDays"] = static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before);
    }
}
BENCHMARK(memory)->Apply(bySize)->Iterations(1)->Unit(benchmark::kMillisecond);

void takeSnapshot(benchmark::State& state)
{
    const auto replica = fullReplica(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = replica->snapshot().size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeSnapshot)->Apply(bySize)->Unit(benchmark::kMillisecond);

void startFromSnapshot(benchmark::State& state)
{
    const std::string snapshot = fullReplica(static_cast<int>(state.range(0)))->snapshot();
    for (auto _ : state) {
        const auto replica = ConfigReplica::make();
        if (!replica->adopt(snapshot).ok())
            state.SkipWithError("the snapshot was not taken over");
    }
}
BENCHMARK(startFromSnapshot)->Apply(bySize)->Unit(benchmark::kMillisecond);

} // namespace
