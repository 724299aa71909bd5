#include "dispatch/UnpackBounded.h"

#include <sagechute/Dispatch.h>

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    // One target, customer or list of prompts, as it is written.
    using UseRow = std::tuple<TargetKey, std::uint32_t, std::uint32_t, std::uint32_t>;
    using CustomerRow = std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;
    using PlacedRow = std::tuple<TargetKey, std::uint64_t, std::map<std::uint64_t, std::uint32_t>>;
    using Rows = std::tuple<std::uint64_t, std::uint32_t, std::vector<UseRow>, std::vector<CustomerRow>,
        std::vector<PlacedRow>>;

    using CrashRow = std::tuple<quarantine::RequestKey, TargetKey, bool>;

    /// A release that knows no crashes sends the rows before them only.
    constexpr std::size_t crashesAt = std::tuple_size_v<Rows>;

    using WireAge = std::chrono::duration<std::uint32_t, std::milli>;

    absl::Status malformed()
    {
        return makeError(ErrorKind::BadRequest, "a load report has another form",
            "run the same release on all routers, and let nothing else send to their ports");
    }

    void takeOff(std::uint32_t& sum, std::uint32_t part) { sum -= std::min(sum, part); }

    void takeOff(double& sum, double part) { sum = std::max(0.0, sum - part); }

} // namespace

TargetKey keyOf(const TargetLife& life) { return static_cast<TargetKey>(stableHash(life.id.value, life.born)); }

void add(LoadReport& sum, const LoadReport& part)
{
    sum.age = std::max(sum.age, part.age);
    for (const auto& [key, use] : part.targets) {
        TargetUse& total = sum.targets[key];
        total.tokensToRead += use.tokensToRead;
        total.active += use.active;
        total.memoryTokens += use.memoryTokens;
    }
    for (const auto& [id, use] : part.customers) {
        CustomerUse& total = sum.customers[id];
        total.asked += use.asked;
        total.granted += use.granted;
        total.turnedAway += use.turnedAway;
    }
    for (const auto& [key, placed] : part.placed) {
        PlacedPrompts& total = sum.placed[key];
        total.shared.insert(placed.shared.begin(), placed.shared.end());
        total.ownTokens += placed.ownTokens;
    }
    sum.crashes.insert(part.crashes.begin(), part.crashes.end());
}

void subtract(LoadReport& sum, const LoadReport& part)
{
    for (const auto& [key, use] : part.targets) {
        const auto it = sum.targets.find(key);
        if (it == sum.targets.end())
            continue;
        takeOff(it->second.tokensToRead, use.tokensToRead);
        takeOff(it->second.active, use.active);
        takeOff(it->second.memoryTokens, use.memoryTokens);
    }
    for (const auto& [id, use] : part.customers) {
        const auto it = sum.customers.find(id);
        if (it == sum.customers.end())
            continue;
        takeOff(it->second.asked, use.asked);
        takeOff(it->second.granted, use.granted);
        takeOff(it->second.turnedAway, use.turnedAway);
    }
}

std::string encode(const LoadReport& report)
{
    msgpack::sbuffer bytes;
    msgpack::packer<msgpack::sbuffer> out(bytes);
    out.pack_array(crashesAt + 1);
    out.pack(report.serial);
    out.pack(std::chrono::duration_cast<WireAge>(report.age).count());
    out.pack_array(static_cast<std::uint32_t>(report.targets.size()));
    for (const auto& [key, use] : report.targets)
        out.pack(UseRow { key, use.tokensToRead, use.active, use.memoryTokens });
    out.pack_array(static_cast<std::uint32_t>(report.customers.size()));
    for (const auto& [id, use] : report.customers)
        out.pack(CustomerRow { id.value, static_cast<std::uint64_t>(use.asked), static_cast<std::uint64_t>(use.granted),
            static_cast<std::uint64_t>(use.turnedAway) });
    out.pack_array(static_cast<std::uint32_t>(report.placed.size()));
    for (const auto& [key, placed] : report.placed)
        out.pack(PlacedRow { key, placed.ownTokens, placed.shared });
    out.pack_array(static_cast<std::uint32_t>(report.crashes.size()));
    for (const quarantine::CrashRecord& it : report.crashes)
        out.pack(CrashRow { it.request, it.target, it.isCleared });
    return { bytes.data(), bytes.size() };
}

absl::StatusOr<LoadReport> decodeLoadReport(std::string_view bytes)
{
    // The library says by exceptions what is wrong with the bytes; whatever it is, they are no report.
    try {
        std::size_t end = 0;
        const msgpack::object_handle handle = unpackBounded(bytes, end);
        if (end != bytes.size())
            return malformed();
        const Rows rows = handle->as<Rows>();
        LoadReport report;
        report.serial = std::get<0>(rows);
        report.age = WireAge(std::get<1>(rows));
        for (const auto& [key, toRead, active, memory] : std::get<2>(rows))
            report.targets[key] = { toRead, active, memory };
        for (const auto& [id, asked, granted, turnedAway] : std::get<3>(rows))
            report.customers[{ id }]
                = { static_cast<double>(asked), static_cast<double>(granted), static_cast<double>(turnedAway) };
        for (const auto& [key, ownTokens, shared] : std::get<4>(rows))
            report.placed[key] = { shared, ownTokens };
        if (handle->via.array.size > crashesAt) {
            for (const auto& [request, target, isCleared] :
                handle->via.array.ptr[crashesAt].as<std::vector<CrashRow>>())
                report.crashes.insert({ request, target, isCleared });
        }
        return report;
    } catch (const msgpack::unpack_error&) {
        return malformed();
    } catch (const msgpack::type_error&) {
        return malformed();
    }
}

} // namespace sagechute::dispatch
