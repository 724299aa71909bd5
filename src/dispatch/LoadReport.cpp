#include "dispatch/UnpackBounded.h"

#include <sagechute/Dispatch.h>

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    // Wire format of one target, customer or list of prompts.
    using LoadRow = std::tuple<TargetKey, std::uint32_t, std::uint32_t, std::uint32_t>;
    using CustomerRow = std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;
    using PlacedRow = std::tuple<TargetKey, std::uint64_t, std::map<std::uint64_t, std::uint32_t>>;
    using Record = std::tuple<std::uint64_t, std::uint32_t, std::vector<LoadRow>, std::vector<CustomerRow>,
        std::vector<PlacedRow>>;

    using CrashRow = std::tuple<quarantine::RequestKey, TargetKey, bool>;
    using PartCrashRow = std::tuple<quarantine::PartKey, TargetKey, bool, bool, bool>;

    /// Index of the crash rows of requests. Releases without crash detection send only the rows before them, and those
    /// without detection of crashing parts not the rows behind them.
    constexpr std::size_t crashesIndex = std::tuple_size_v<Record>;
    constexpr std::size_t partCrashesIndex = crashesIndex + 1;

    /// Key, running, waiting, slots, pace in per cent (0: not reported) and age in ms. Sent only if there are any,
    /// which leaves the reports of fleets without readings as they were.
    using ReadingRow = std::tuple<TargetKey, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    constexpr std::size_t readingsIndex = partCrashesIndex + 1;

    using WireAge = std::chrono::duration<std::uint32_t, std::milli>;

    absl::Status malformedReport()
    {
        return makeError(ErrorKind::BadRequest, "malformed load report",
            "run the same release on all routers, and let nothing else send to their ports");
    }

    void subtractSaturating(std::uint32_t& sum, std::uint32_t part) { sum -= std::min(sum, part); }

    void subtractSaturating(double& sum, double part) { sum = std::max(0.0, sum - part); }

} // namespace

TargetKey keyOf(const TargetIncarnation& incarnation)
{
    return static_cast<TargetKey>(stableHash(incarnation.id.value, incarnation.startedAtMs));
}

void add(LoadReport& sum, const LoadReport& part, Duration delay)
{
    sum.age = std::max(sum.age, part.age);
    for (const auto& [key, use] : part.targets) {
        TargetLoad& total = sum.targets[key];
        total.prefillTokens += use.prefillTokens;
        total.active += use.active;
        total.reservedTokens += use.reservedTokens;
    }
    for (const auto& [id, use] : part.customers) {
        CustomerUsage& total = sum.customers[id];
        total.requested += use.requested;
        total.granted += use.granted;
        total.shed += use.shed;
    }
    for (const auto& [key, placed] : part.placed) {
        PlacedPrompts& total = sum.placed[key];
        total.shared.insert(placed.shared.begin(), placed.shared.end());
        total.unsharedTokens += placed.unsharedTokens;
    }
    sum.crashes.insert(part.crashes.begin(), part.crashes.end());
    sum.partCrashes.insert(part.partCrashes.begin(), part.partCrashes.end());
    for (const auto& [key, reading] : part.readings) {
        const auto [it, isNew] = sum.readings.try_emplace(key, ReportedReading { reading.load, reading.age + delay });
        if (!isNew && reading.age + delay < it->second.age)
            it->second = { reading.load, reading.age + delay };
    }
}

void subtract(LoadReport& sum, const LoadReport& part)
{
    for (const auto& [key, use] : part.targets) {
        const auto it = sum.targets.find(key);
        if (it == sum.targets.end())
            continue;
        subtractSaturating(it->second.prefillTokens, use.prefillTokens);
        subtractSaturating(it->second.active, use.active);
        subtractSaturating(it->second.reservedTokens, use.reservedTokens);
    }
    for (const auto& [id, use] : part.customers) {
        const auto it = sum.customers.find(id);
        if (it == sum.customers.end())
            continue;
        subtractSaturating(it->second.requested, use.requested);
        subtractSaturating(it->second.granted, use.granted);
        subtractSaturating(it->second.shed, use.shed);
    }
}

std::string encode(const LoadReport& report)
{
    msgpack::sbuffer bytes;
    msgpack::packer<msgpack::sbuffer> out(bytes);
    const bool hasReadings = !report.readings.empty();
    out.pack_array(readingsIndex + (hasReadings ? 1 : 0));
    out.pack(report.serial);
    out.pack(std::chrono::duration_cast<WireAge>(report.age).count());
    out.pack_array(static_cast<std::uint32_t>(report.targets.size()));
    for (const auto& [key, use] : report.targets)
        out.pack(LoadRow { key, use.prefillTokens, use.active, use.reservedTokens });
    out.pack_array(static_cast<std::uint32_t>(report.customers.size()));
    for (const auto& [id, use] : report.customers)
        out.pack(CustomerRow { id.value, static_cast<std::uint64_t>(use.requested),
            static_cast<std::uint64_t>(use.granted), static_cast<std::uint64_t>(use.shed) });
    out.pack_array(static_cast<std::uint32_t>(report.placed.size()));
    for (const auto& [key, placed] : report.placed)
        out.pack(PlacedRow { key, placed.unsharedTokens, placed.shared });
    out.pack_array(static_cast<std::uint32_t>(report.crashes.size()));
    for (const quarantine::CrashRecord& it : report.crashes)
        out.pack(CrashRow { it.subject, it.target, it.isCleared });
    out.pack_array(static_cast<std::uint32_t>(report.partCrashes.size()));
    for (const quarantine::CrashRecord& it : report.partCrashes)
        out.pack(PartCrashRow { it.subject, it.target, it.isCleared, it.isConfirmed, it.isRepeated });
    if (hasReadings)
        out.pack_array(static_cast<std::uint32_t>(report.readings.size()));
    for (const auto& [key, it] : report.readings)
        out.pack(ReadingRow { key, it.load.running, it.load.waiting, it.load.slots, it.load.pacePercent.value_or(0),
            std::chrono::duration_cast<WireAge>(it.age).count() });
    return { bytes.data(), bytes.size() };
}

absl::StatusOr<LoadReport> decodeLoadReport(std::string_view bytes)
{
    // The library reports invalid bytes by exceptions; any of them means that this is not a report.
    try {
        std::size_t end = 0;
        const msgpack::object_handle handle = unpackBounded(bytes, end);
        if (end != bytes.size())
            return malformedReport();
        const Record record = handle->as<Record>();
        LoadReport report;
        report.serial = std::get<0>(record);
        report.age = WireAge(std::get<1>(record));
        for (const auto& [key, prefill, active, memory] : std::get<2>(record))
            report.targets[key] = { prefill, active, memory };
        for (const auto& [id, requested, granted, shed] : std::get<3>(record))
            report.customers[{ id }]
                = { static_cast<double>(requested), static_cast<double>(granted), static_cast<double>(shed) };
        for (const auto& [key, unsharedTokens, shared] : std::get<4>(record))
            report.placed[key] = { shared, unsharedTokens };
        if (handle->via.array.size > crashesIndex) {
            for (const auto& [request, target, isCleared] :
                handle->via.array.ptr[crashesIndex].as<std::vector<CrashRow>>())
                report.crashes.insert({ request, target, isCleared });
        }
        if (handle->via.array.size > partCrashesIndex) {
            for (const auto& [part, target, isCleared, isConfirmed, isRepeated] :
                handle->via.array.ptr[partCrashesIndex].as<std::vector<PartCrashRow>>())
                report.partCrashes.insert({ part, target, isCleared, isConfirmed, isRepeated });
        }
        if (handle->via.array.size > readingsIndex) {
            for (const auto& [target, running, waiting, slots, pace, age] :
                handle->via.array.ptr[readingsIndex].as<std::vector<ReadingRow>>()) {
                if (slots == 0)
                    return malformedReport();
                report.readings[target]
                    = { { running, waiting, slots, pace ? std::optional(pace) : std::nullopt }, WireAge(age) };
            }
        }
        return report;
    } catch (const msgpack::unpack_error&) {
        return malformedReport();
    } catch (const msgpack::type_error&) {
        return malformedReport();
    }
}

} // namespace sagechute::dispatch
