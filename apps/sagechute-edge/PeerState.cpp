#include "PeerState.h"

#include <nlohmann/json.hpp>

namespace sagechute::edge {

namespace {

    using nlohmann::json;

    json encodeTarget(const ListedTarget& listed)
    {
        json keptFor = nullptr;
        if (listed.keptFor)
            keptFor = listed.keptFor->count();
        const dispatch::Target& target = listed.target;
        return { target.id.value, target.service.value, target.address, target.zone.value, target.slots,
            target.draining, std::move(keptFor), target.born };
    }

    ListedTarget decodeTarget(const json& item)
    {
        ListedTarget listed;
        listed.target = { { item.at(0).get<std::string>() }, { item.at(1).get<std::string>() },
            item.at(2).get<std::string>(), { item.at(3).get<std::string>() }, item.at(4).get<unsigned>(),
            item.at(5).get<bool>(), item.at(7).get<std::int64_t>() };
        if (const json& keptFor = item.at(6); !keptFor.is_null())
            listed.keptFor = Duration(keptFor.get<Duration::rep>());
        return listed;
    }

} // namespace

std::string encode(const PeerState& state)
{
    json config = nullptr;
    if (state.config)
        config = { state.config->version, state.config->offset, state.config->document };
    json targets = json::array();
    for (const ListedTarget& it : state.targets)
        targets.push_back(encodeTarget(it));
    return encodeCbor(json::array({ std::move(config), state.nextTargetOffset, std::move(targets) }));
}

absl::StatusOr<PeerState> decodePeerState(std::string_view bytes)
{
    const absl::StatusOr<json> document = decodeCbor(bytes);
    if (!document.ok())
        return document.status();
    try {
        PeerState state;
        if (const json& config = document->at(0); !config.is_null())
            state.config = ConfigRecord { config.at(0), config.at(1), config.at(2).get<std::string>() };
        state.nextTargetOffset = document->at(1).get<LogOffset>();
        for (const json& it : document->at(2))
            state.targets.push_back(decodeTarget(it));
        return state;
    } catch (const json::exception& problem) {
        return makeError(ErrorKind::BadRequest, std::string("a router's state can't be read: ") + problem.what(),
            "run the same release on all routers");
    }
}

} // namespace sagechute::edge
