#include <sagechute/Config.h>

#include <benchmark/benchmark.h>

using namespace sagechute;
using namespace sagechute::config;

namespace {

// The size to design for.
constexpr int customerCount = 1100;
constexpr int targetCount = 660;

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

/// A replica of the size to design for. Its last offset is that of its last record.
std::unique_ptr<ConfigReplica> fullReplica()
{
    auto replica = ConfigReplica::make();
    std::vector<LogRecord> records;
    int serial = 0;
    for (int i = 0; i < customerCount; ++i, ++serial)
        records.push_back({ static_cast<LogOffset>(serial + 1), customerRecord(serial, i, 1, 0, 0) });
    for (int i = 0; i < targetCount; ++i, ++serial)
        records.push_back({ static_cast<LogOffset>(serial + 1), targetRecord(serial, i) });
    replica->apply(records);
    return replica;
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
    const auto replica = fullReplica();
    LogOffset version = 701;
    for (auto _ : state) {
        state.PauseTiming();
        const LogOffset offset = replica->offset() + 1;
        const LogRecord record { offset, customerRecord(static_cast<int>(offset), 700, 2, version, offset - 1) };
        version = offset;
        state.ResumeTiming();
        if (replica->apply({ record }).at(0).verdict != Verdict::Accepted)
            state.SkipWithError("the change was not accepted");
    }
}
BENCHMARK(applyOneChange)->Unit(benchmark::kMicrosecond);

void takeSnapshot(benchmark::State& state)
{
    const auto replica = fullReplica();
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = replica->snapshot().size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeSnapshot)->Unit(benchmark::kMillisecond);

void startFromSnapshot(benchmark::State& state)
{
    const std::string snapshot = fullReplica()->snapshot();
    for (auto _ : state) {
        const auto replica = ConfigReplica::make();
        if (!replica->adopt(snapshot).ok())
            state.SkipWithError("the snapshot was not taken over");
    }
}
BENCHMARK(startFromSnapshot)->Unit(benchmark::kMillisecond);

} // namespace
