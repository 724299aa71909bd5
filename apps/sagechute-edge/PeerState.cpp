#include "PeerState.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace sagechute::edge {

namespace {

    using nlohmann::json;

    constexpr const char* configField = "config";
    constexpr const char* targetsField = "targets";
    constexpr const char* targetsEraField = "targets-era"; ///< A release that doesn't know eras sends none: era 0.

    /// Position of the evacuated zones in an encoded state. A release without them sends a shorter array.
    constexpr std::size_t evacuatedZonesIndex = 4;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc {} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
    }

    json encodeChange(const news::TargetChange& change)
    {
        json item = json::array({ change.id.value, change.position.offset });
        if (!change.target)
            return item;
        const dispatch::Target& target = *change.target;
        for (json field : { json(target.service.value), json(target.address), json(target.zone.value),
                 json(target.slots), json(target.draining), json(target.startedAtMs),
                 json(std::chrono::ceil<std::chrono::milliseconds>(target.coldLeft).count()) })
            item.push_back(std::move(field));
        return item;
    }

    /// @param era of all changes in the response.
    news::TargetChange decodeChange(const json& item, news::StoreEra era)
    {
        news::TargetChange change { { item.at(0).get<std::string>() }, std::nullopt,
            { item.at(1).get<LogOffset>(), era } };
        if (item.size() == 2)
            return change;
        change.target = dispatch::Target { change.id, { item.at(2).get<std::string>() }, item.at(3).get<std::string>(),
            { item.at(4).get<std::string>() }, item.at(5).get<unsigned>(), item.at(6).get<bool>(),
            item.at(7).get<std::int64_t>() };
        // A router of a release without this field knows no cold targets.
        if (item.size() > 8)
            change.target->coldLeft
                = std::min<Duration>(std::chrono::milliseconds(item.at(8).get<std::uint32_t>()), dispatch::maxColdLeft);
        return change;
    }

    /// @return the state that the requesting router lacks; absent if the store's era changed meanwhile.
    std::optional<PeerState> collectState(const EdgeState& state, const PeerStateRequest& request)
    {
        PeerState answer;
        // The knowledge is taken first, so that the data read after it is at least as new as claimed.
        answer.knowledge = state.knowledgeForPeers();
        const news::EvacuatedZones zones = state.evacuatedZones();
        answer.evacuatedZones = zones.all();
        std::optional<news::ConfigRecord> config = state.configRecord();
        if (config && config->version > request.configVersion)
            answer.config = std::move(config);
        const news::LogPosition targetsNext = state.withTargets([&](const news::TargetRoster& roster) {
            // Read under the lock: an earlier time would make the cold times sent longer than they are.
            const TimePoint now = unsuspendedNow();
            std::optional<std::vector<news::TargetChange>> changes;
            if (request.targetsNext)
                changes = roster.changesSince(*request.targetsNext, now);
            answer.hasAllTargets = !changes;
            answer.targets = changes ? std::move(*changes) : roster.all(now);
            return roster.next().value_or(news::LogPosition {});
        });
        const bool isOfOneEra = targetsNext.era == answer.knowledge.targetsNext.era
            && zones.next().value_or(news::LogPosition {}).era == answer.knowledge.operatorNext.era;
        return isOfOneEra ? std::optional(std::move(answer)) : std::nullopt;
    }

} // namespace

std::string peerStatePathFor(const PeerStateRequest& request)
{
    std::string path = std::string(peerStatePath) + "?" + configField + "=" + std::to_string(request.configVersion);
    if (request.targetsNext)
        path += std::string("&") + targetsField + "=" + std::to_string(request.targetsNext->offset) + "&"
            + targetsEraField + "=" + std::to_string(request.targetsNext->era);
    return path;
}

PeerStateRequest decodePeerStateRequest(const std::vector<net::Field>& query)
{
    PeerStateRequest request;
    news::StoreEra era = 0;
    for (const net::Field& it : query) {
        if (it.name == configField)
            request.configVersion = parseNumber(it.value).value_or(0);
        else if (it.name == targetsEraField)
            era = parseNumber(it.value).value_or(0);
        else if (const auto offset = parseNumber(it.value); it.name == targetsField && offset)
            request.targetsNext = news::LogPosition { *offset, 0 };
    }
    if (request.targetsNext)
        request.targetsNext->era = era;
    return request;
}

PeerState makePeerState(const EdgeState& state, const PeerStateRequest& request)
{
    // The store may be found to have returned while the answer is put together.
    std::optional<PeerState> answer;
    while (!answer)
        answer = collectState(state, request);
    return std::move(*answer);
}

std::string encode(const PeerState& state)
{
    json config = nullptr;
    if (state.config)
        config = { state.config->version, state.config->position.offset, state.config->document,
            state.config->position.era };
    json targets = json::array();
    for (const news::TargetChange& it : state.targets)
        targets.push_back(encodeChange(it));
    json zones = json::array();
    for (const news::ZoneChange& it : state.evacuatedZones)
        zones.push_back(json::array({ it.zone.value, it.position.offset }));
    return encodeCbor(json::array({ encodeKnowledge(state.knowledge), std::move(config), state.hasAllTargets,
        std::move(targets), std::move(zones) }));
}

absl::StatusOr<PeerState> decodePeerState(std::string_view bytes)
{
    const absl::StatusOr<json> document = decodeCbor(bytes);
    if (!document.ok())
        return document.status();
    try {
        PeerState state;
        state.knowledge = decodeKnowledge(document->at(0));
        if (const json& config = document->at(1); !config.is_null()) {
            const news::StoreEra era = config.size() > 3 ? config.at(3).get<news::StoreEra>() : 0;
            state.config = news::ConfigRecord { config.at(0), { config.at(1).get<LogOffset>(), era },
                config.at(2).get<std::string>() };
        }
        state.hasAllTargets = document->at(2).get<bool>();
        for (const json& it : document->at(3))
            state.targets.push_back(decodeChange(it, state.knowledge.targetsNext.era));
        if (document->size() > evacuatedZonesIndex) {
            for (const json& it : document->at(evacuatedZonesIndex))
                state.evacuatedZones.push_back({ { it.at(0).get<std::string>() }, true,
                    { it.at(1).get<LogOffset>(), state.knowledge.operatorNext.era } });
        }
        return state;
    } catch (const json::exception& problem) {
        return makeError(ErrorKind::BadRequest, std::string("cannot decode another router's state: ") + problem.what(),
            "run the same release on all routers");
    }
}

} // namespace sagechute::edge
