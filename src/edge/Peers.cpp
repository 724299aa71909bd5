#include "dispatch/UnpackBounded.h"

#include <sagechute/Edge.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::edge {

namespace {

    using nlohmann::json;

    /// A router is left out of answers to callers when its utilization exceeds this multiple of the mean plus a margin
    /// in percentage points.
    constexpr double maxUtilizationRatio = 2;
    constexpr double utilizationMarginPercent = 25;

    /// Minimum number of addresses for a caller: losing its only address would leave a caller without any until it asks
    /// again.
    constexpr std::size_t minAddresses = 2;

    /// Utilization above highUtilizationPercent, in percentage points, at which routers of other zones are offered like
    /// those of the caller's own. Below that only a fraction of the callers gets them, so that no more traffic leaves
    /// the zone than necessary.
    constexpr double fullSpillPercent = 40;

    /// Mean utilization of routers, weighted by their cores.
    class UtilizationMean {
    public:
        void count(std::uint32_t capacity, std::uint32_t percent)
        {
            const double weight = std::max(1U, capacity);
            m_weights += weight;
            m_sum += weight * percent;
        }

        double percent() const { return m_weights > 0 ? m_sum / m_weights : 0; }

    private:
        double m_weights = 0;
        double m_sum = 0;
    };

    template <typename Filter> double meanUtilization(const std::vector<EntryPoint>& routers, Filter&& filter)
    {
        UtilizationMean mean;
        for (const EntryPoint& it : routers) {
            if (filter(it))
                mean.count(it.capacity, it.utilizationPercent);
        }
        return mean.percent();
    }

    /// @return the fraction of callers, 0 to 1, that are offered routers of other zones.
    double spillFraction(const std::vector<EntryPoint>& usable, const ZoneId& callerZone)
    {
        const auto isNear = [&](const EntryPoint& it) { return it.zone == callerZone; };
        if (static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(), isNear)) < minAddresses)
            return 1;
        const double all = meanUtilization(usable, [](const EntryPoint&) { return true; });
        const double over = meanUtilization(usable, isNear) - std::max<double>(highUtilizationPercent, all);
        return std::clamp(over / fullSpillPercent, 0.0, 1.0);
    }

    /// A router that may be offered to a caller.
    struct Candidate {
        const EntryPoint* router = nullptr;
        double rank = 0; ///< Differs from caller to caller; at most 1 if the router is offered to it.
    };

    /// @return the router's rank for a caller, which is at most 1 for the given share of callers.
    double rankFor(const EntryPoint& it, double share, std::string_view callerKey)
    {
        const std::uint64_t place = stableHash(it.callerAddress, stableHash(callerKey));
        return static_cast<double>(place >> 11) * 0x1.0p-53 / share;
    }

    json encodeAge(std::optional<Duration> age)
    {
        return age ? json(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : json(nullptr);
    }

    std::optional<Duration> decodeAge(const json& item)
    {
        return item.is_null() ? std::nullopt
                              : std::optional<Duration>(std::chrono::milliseconds(item.get<std::uint32_t>()));
    }

    constexpr unsigned lastScope = static_cast<unsigned>(HeartbeatScope::All);

    // Wire format of a heartbeat. Ages and times are in microseconds; an unknown age is -1. Fields that a former
    // release doesn't send are last in their tuple and zero when absent; it ignores fields that it doesn't know.
    using WireKnowledge = std::tuple<std::uint64_t, std::int64_t, LogOffset, std::int64_t, std::int64_t, std::int64_t,
        LogOffset, news::StoreEra, news::StoreEra>;
    using WireUtilization = std::tuple<std::map<std::string, std::uint32_t>, std::map<std::string, std::uint32_t>>;
    using WireHead = std::tuple<std::string, Incarnation, std::string, std::string, std::string, bool, WireKnowledge,
        std::uint32_t, std::uint32_t, unsigned, std::int64_t, WireUtilization, std::string>;

    std::int64_t toWire(std::optional<Duration> age) { return age ? age->count() : -1; }

    std::optional<Duration> ageFromWire(std::int64_t age)
    {
        return age < 0 ? std::nullopt : std::optional(Duration(age));
    }

    template <typename Key> std::map<std::string, std::uint32_t> toWire(const std::map<Key, std::uint32_t>& percents)
    {
        std::map<std::string, std::uint32_t> wire;
        for (const auto& [key, percent] : percents)
            wire.emplace(key.value, percent);
        return wire;
    }

    template <typename Key> std::map<Key, std::uint32_t> fromWire(const std::map<std::string, std::uint32_t>& wire)
    {
        std::map<Key, std::uint32_t> percents;
        for (const auto& [key, percent] : wire)
            percents.emplace(Key { key }, percent);
        return percents;
    }

    WireHead toWire(const Heartbeat& it)
    {
        const news::ToldKnowledge& known = it.knowledge;
        return { it.vm.value, it.incarnation, it.callerAddress, it.controlAddress, it.zone.value, it.isReady,
            { known.configVersion, toWire(known.configAge), known.targetsNext.offset, toWire(known.targetsAge),
                toWire(known.readAge), toWire(known.targetsFromAge), known.operatorNext.offset, known.targetsNext.era,
                known.operatorNext.era },
            it.capacity, it.utilizationPercent, static_cast<unsigned>(it.scope), it.sentAt.time_since_epoch().count(),
            { toWire(it.use.zones), toWire(it.use.busyRouters) }, it.load };
    }

    Heartbeat fromWire(WireHead&& wire)
    {
        auto& [vm, incarnation, callers, control, zone, isReady, known, capacity, use, scope, sentAt, fleetUse, load]
            = wire;
        Heartbeat it;
        it.vm = { std::move(vm) };
        it.incarnation = incarnation;
        it.callerAddress = std::move(callers);
        it.controlAddress = std::move(control);
        it.zone = { std::move(zone) };
        it.isReady = isReady;
        it.knowledge
            = { std::get<0>(known), ageFromWire(std::get<1>(known)), { std::get<2>(known), std::get<7>(known) },
                  ageFromWire(std::get<3>(known)), ageFromWire(std::get<4>(known)), ageFromWire(std::get<5>(known)),
                  { std::get<6>(known), std::get<8>(known) } };
        it.capacity = capacity;
        it.utilizationPercent = use;
        it.scope = static_cast<HeartbeatScope>(std::min(scope, lastScope));
        it.sentAt = TimePoint(Duration(sentAt));
        it.use = { fromWire<ZoneId>(std::get<0>(fleetUse)), fromWire<VmId>(std::get<1>(fleetUse)) };
        it.load = std::move(load);
        return it;
    }

} // namespace

FleetUtilization summarizeUtilization(const std::vector<RouterUtilization>& routers)
{
    std::map<ZoneId, UtilizationMean> means;
    FleetUtilization use;
    for (const RouterUtilization& it : routers) {
        means[it.zone].count(it.capacity, it.percent);
        if (it.percent > highUtilizationPercent)
            use.busyRouters[it.vm] = it.percent;
    }
    for (const auto& [zone, mean] : means)
        use.zones[zone] = static_cast<std::uint32_t>(mean.percent());
    return use;
}

void add(FleetUtilization& sum, const FleetUtilization& other)
{
    sum.zones.insert(other.zones.begin(), other.zones.end());
    sum.busyRouters.insert(other.busyRouters.begin(), other.busyRouters.end());
}

nlohmann::json encodeKnowledge(const news::ToldKnowledge& told)
{
    return json::array({ told.configVersion, encodeAge(told.configAge), told.targetsNext.offset,
        encodeAge(told.targetsAge), encodeAge(told.readAge), encodeAge(told.targetsFromAge), told.operatorNext.offset,
        told.targetsNext.era, told.operatorNext.era });
}

news::ToldKnowledge decodeKnowledge(const json& item)
{
    // Former releases send fewer fields.
    const auto number = [&](std::size_t i) { return item.size() > i ? item.at(i).get<std::uint64_t>() : 0; };
    return { item.at(0).get<std::uint64_t>(), decodeAge(item.at(1)), { item.at(2).get<LogOffset>(), number(7) },
        decodeAge(item.at(3)), decodeAge(item.at(4)), decodeAge(item.at(5)), { number(6), number(8) } };
}

std::string encodeCommonPart(const Heartbeat& heartbeat)
{
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, toWire(heartbeat));
    return { bytes.data(), bytes.size() };
}

std::string withIncludedSerial(std::uint64_t includedSerial, std::string_view shared)
{
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, includedSerial);
    std::string datagram(bytes.data(), bytes.size());
    datagram += shared;
    return datagram;
}

std::string encode(const Heartbeat& heartbeat)
{
    return withIncludedSerial(heartbeat.includedSerial, encodeCommonPart(heartbeat));
}

absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    const absl::Status malformed = makeError(ErrorKind::BadRequest, "malformed heartbeat datagram",
        "run the same release on all routers and keep other traffic off their UDP ports");
    // The library reports malformed bytes by exceptions; none of them is a valid heartbeat.
    try {
        std::size_t end = 0;
        const auto serial = dispatch::unpackBounded(bytes, end)->as<std::uint64_t>();
        const msgpack::object_handle head = dispatch::unpackBounded(bytes, end);
        if (end != bytes.size())
            return malformed;
        Heartbeat it = fromWire(head->as<WireHead>());
        it.includedSerial = serial;
        return it;
    } catch (const msgpack::unpack_error&) {
        return malformed;
    } catch (const msgpack::type_error&) {
        return malformed;
    }
}

void PeerTable::heard(TimePoint now, const Heartbeat& heartbeat)
{
    m_peers[heartbeat.vm] = Peer { heartbeat, heartbeat.use, now };
}

std::vector<Peer> PeerTable::alive(TimePoint now, Duration maxAge) const
{
    std::vector<Peer> result;
    for (const auto& [vm, peer] : m_peers) {
        if (now - peer.heardAt <= maxAge)
            result.push_back(peer);
    }
    return result;
}

std::optional<Peer> PeerTable::find(TimePoint now, const VmId& vm) const
{
    const auto it = m_peers.find(vm);
    return it != m_peers.end() && now - it->second.heardAt <= heartbeatTimeout ? std::optional(it->second)
                                                                               : std::nullopt;
}

std::vector<std::string> chooseEntryPoints(
    const std::vector<EntryPoint>& ready, const ZoneId& callerZone, std::string_view callerKey)
{
    const double maxUtilization = maxUtilizationRatio * meanUtilization(ready, [](const EntryPoint&) { return true; })
        + utilizationMarginPercent;
    std::vector<EntryPoint> usable;
    std::copy_if(ready.begin(), ready.end(), std::back_inserter(usable),
        [&](const EntryPoint& it) { return it.utilizationPercent <= maxUtilization; });
    const double spill = spillFraction(usable, callerZone);
    double largest = 1;
    for (const EntryPoint& it : usable)
        largest = std::max<double>(largest, it.capacity);
    std::vector<Candidate> candidates;
    for (const EntryPoint& it : usable) {
        const double byCores = it.capacity ? it.capacity / largest : 1;
        const double share = it.zone == callerZone ? byCores : byCores * spill;
        if (share > 0)
            candidates.push_back({ &it, rankFor(it, share, callerKey) });
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
    std::vector<std::string> addresses;
    for (const Candidate& it : candidates) {
        if (it.rank <= 1 || addresses.size() < minAddresses)
            addresses.push_back(it.router->callerAddress);
    }
    return addresses;
}

StopTimes stopTimes(Duration grace)
{
    // SIGKILL comes on time, but the process's own timers may be tens of milliseconds late on a busy VM.
    constexpr Duration endMargin = std::chrono::milliseconds(500);
    // A stream in these deployments takes up to about five seconds. One that is accepted later than this after SIGTERM
    // may not end before the process does.
    constexpr double acceptFraction = 0.35;
    const Duration end = grace > 2 * endMargin ? grace - endMargin : grace / 2;
    return { std::chrono::duration_cast<Duration>(acceptFraction * grace), end };
}

} // namespace sagechute::edge
