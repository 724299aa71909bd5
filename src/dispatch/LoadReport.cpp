#include <sagechute/Dispatch.h>

#include <nlohmann/json.hpp>

namespace sagechute::dispatch {

namespace {

    using nlohmann::json;

    constexpr std::size_t reportFields = 4;

    absl::Status malformed()
    {
        return makeError(ErrorKind::BadRequest, "a load report has another form",
            "run the same release on all routers, and let nothing else send to their ports");
    }

    json encodePrefixes(const std::vector<PrefixKey>& prefixes)
    {
        json list = json::array();
        for (const PrefixKey& it : prefixes) {
            list.push_back(it.key);
            list.push_back(it.tokens);
        }
        return list;
    }

    std::vector<PrefixKey> decodePrefixes(const json& list)
    {
        std::vector<PrefixKey> prefixes;
        for (std::size_t i = 0; i + 1 < list.size(); i += 2)
            prefixes.push_back({ list.at(i).get<std::uint64_t>(), list.at(i + 1).get<std::uint32_t>() });
        return prefixes;
    }

    /// @param item a list that begins with the life's name and start.
    TargetLife decodeLife(const json& item)
    {
        return { { item.at(0).get<std::string>() }, item.at(1).get<std::int64_t>() };
    }

} // namespace

void add(LoadReport& sum, const LoadReport& part)
{
    for (const auto& [life, use] : part.targets) {
        TargetUse& total = sum.targets[life];
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
    for (const auto& [life, prefixes] : part.placed) {
        auto& told = sum.placed[life];
        told.insert(told.end(), prefixes.begin(), prefixes.end());
    }
}

std::string encode(const LoadReport& report)
{
    json targets = json::array();
    for (const auto& [life, use] : report.targets)
        targets.push_back({ life.id.value, life.born, use.tokensToRead, use.active, use.memoryTokens });
    json customers = json::object();
    for (const auto& [id, use] : report.customers)
        customers[id.value] = { static_cast<std::uint64_t>(use.asked), static_cast<std::uint64_t>(use.granted),
            static_cast<std::uint64_t>(use.turnedAway) };
    json placed = json::array();
    for (const auto& [life, prefixes] : report.placed)
        placed.push_back({ life.id.value, life.born, encodePrefixes(prefixes) });
    return encodeCbor(json::array({ report.serial, std::move(targets), std::move(customers), std::move(placed) }));
}

absl::StatusOr<LoadReport> decodeLoadReport(std::string_view bytes)
{
    const absl::StatusOr<json> document = decodeCbor(bytes);
    if (!document.ok() || !document->is_array() || document->size() != reportFields)
        return malformed();
    LoadReport report;
    try {
        report.serial = document->at(0).get<std::uint64_t>();
        for (const json& it : document->at(1))
            report.targets[decodeLife(it)] = { it.at(2), it.at(3), it.at(4) };
        for (const auto& [id, use] : document->at(2).items())
            report.customers[{ id }] = { use.at(0).get<double>(), use.at(1).get<double>(), use.at(2).get<double>() };
        for (const json& it : document->at(3))
            report.placed[decodeLife(it)] = decodePrefixes(it.at(2));
    } catch (const json::exception&) {
        return malformed();
    }
    return report;
}

} // namespace sagechute::dispatch
