#include <sagechute/Edge.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::edge {

namespace {

    using nlohmann::json;

    /// A router is left out of answers with this many times the mean of requests in flight, and a few more.
    constexpr double mostOverMean = 3;
    constexpr double loadMargin = 25;

    double mostLoad(const std::vector<EntryPoint>& ready)
    {
        double sum = 0;
        for (const EntryPoint& it : ready)
            sum += it.load;
        return ready.empty() ? 0 : mostOverMean * sum / static_cast<double>(ready.size()) + loadMargin;
    }

    constexpr unsigned lastScope = static_cast<unsigned>(HeartbeatScope::Others);
    constexpr std::size_t heartbeatFields = 11;

} // namespace

std::string encode(const Heartbeat& heartbeat)
{
    return encodeCbor(json::array({ heartbeat.vm.value, heartbeat.incarnation, heartbeat.callerAddress,
        heartbeat.controlAddress, heartbeat.zone.value, heartbeat.isReady, heartbeat.configVersion,
        heartbeat.targetsMark, heartbeat.reachesStore, static_cast<unsigned>(heartbeat.scope),
        json::binary({ heartbeat.load.begin(), heartbeat.load.end() }) }));
}

absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    const absl::Status malformed = makeError(ErrorKind::BadRequest, "a heartbeat has another form",
        "run the same release on all routers, and let nothing else send to their ports");
    const absl::StatusOr<json> document = decodeCbor(bytes);
    if (!document.ok() || !document->is_array() || document->size() != heartbeatFields)
        return malformed;
    try {
        const auto& load = document->at(10).get_binary();
        return Heartbeat { { { document->at(0).get<std::string>() }, document->at(1).get<Incarnation>(),
                               document->at(2).get<std::string>(), document->at(3).get<std::string>(),
                               { document->at(4).get<std::string>() }, document->at(5).get<bool>(),
                               document->at(6).get<std::uint64_t>(), document->at(7).get<std::uint64_t>(),
                               document->at(8).get<bool>(),
                               static_cast<HeartbeatScope>(std::min(document->at(9).get<unsigned>(), lastScope)) },
            std::string(load.begin(), load.end()) };
    } catch (const json::exception&) {
        return malformed;
    }
}

void PeerBoard::heard(TimePoint now, const Heartbeat& heartbeat) { m_peers[heartbeat.vm] = Peer { heartbeat, now }; }

std::vector<Peer> PeerBoard::alive(TimePoint now, Duration kept) const
{
    std::vector<Peer> result;
    for (const auto& [vm, peer] : m_peers) {
        if (now - peer.heardAt <= kept)
            result.push_back(peer);
    }
    return result;
}

std::vector<std::string> chooseEntryPoints(const std::vector<EntryPoint>& ready, const ZoneId& callerZone)
{
    const double most = mostLoad(ready);
    // With a single router in the zone, its loss would leave its callers without an address until they ask again.
    constexpr std::ptrdiff_t leastInZone = 2;
    const auto isNear = [&](const EntryPoint& it) { return it.zone == callerZone && it.load <= most; };
    const bool nearSuffice = std::count_if(ready.begin(), ready.end(), isNear) >= leastInZone;
    std::vector<std::string> addresses;
    addresses.reserve(ready.size());
    for (const EntryPoint& it : ready) {
        if (nearSuffice ? isNear(it) : it.load <= most)
            addresses.push_back(it.callerAddress);
    }
    return addresses;
}

StopTimes stopTimes(Duration grace)
{
    // The kill comes on time, but the process's own timers may be late by some tens of ms on a busy VM.
    constexpr Duration endMargin = std::chrono::milliseconds(500);
    // A stream of these deployments takes up to some five seconds. One that is taken later than this after SIGTERM may
    // not end before the process does.
    constexpr double takeShare = 0.35;
    const Duration end = grace > 2 * endMargin ? grace - endMargin : grace / 2;
    return { std::chrono::duration_cast<Duration>(takeShare * grace), end };
}

} // namespace sagechute::edge
