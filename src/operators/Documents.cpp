#include "operators/Documents.h"

#include <algorithm>
#include <array>
#include <set>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    /// What is kept of a customer's key. Left out of what operators see: a spec without them can be put back as it is.
    constexpr std::array keyFields { "keyDigest", "keyId", "keySalt" };
    constexpr std::string_view hidden = "(kept secret)";

    json leaves(const json& spec) { return spec.is_object() && !spec.empty() ? spec.flatten() : json::object(); }

    json leaf(const json& leaves, const std::string& path)
    {
        const auto it = leaves.find(path);
        return it == leaves.end() ? json() : *it;
    }

    bool isKeyPath(std::string_view path)
    {
        return std::any_of(
            keyFields.begin(), keyFields.end(), [&](const char* field) { return path.substr(1) == field; });
    }

} // namespace

const std::vector<config::Kind>& allKinds()
{
    static const std::vector<config::Kind> kinds { config::Kind::Fleet, config::Kind::Customer, config::Kind::Target,
        config::Kind::Service, config::Kind::Vm };
    return kinds;
}

std::string toText(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

json publicSpec(config::Kind kind, json spec)
{
    if (kind != config::Kind::Customer || !spec.is_object())
        return spec;
    for (const char* field : keyFields)
        spec.erase(field);
    return spec;
}

json resourceDocument(const config::Resource& resource)
{
    return {
        { "kind", config::toString(resource.kind) },
        { "name", resource.name },
        { "version", resource.version },
        { "spec", publicSpec(resource.kind, resource.spec) },
    };
}

json watchDocument(const FeedEvent& event, const std::optional<config::Resource>& resource)
{
    json document = {
        { "offset", event.offset },
        { "kind", config::toString(event.kind) },
        { "name", event.name },
        { "deleted", event.deleted },
    };
    if (resource)
        document["spec"] = publicSpec(event.kind, resource->spec);
    return document;
}

json auditDocument(const config::AuditEntry& entry)
{
    return {
        { "offset", entry.offset },
        { "changeId", entry.changeId },
        { "operator", entry.operatorName },
        { "from", entry.from },
        { "at", entry.at },
        { "action", entry.action },
        { "resource", entry.resource },
        { "difference", entry.difference },
        { "verdict", entry.verdict },
        { "reason", entry.reason },
    };
}

json progressDocument(const Progress& progress)
{
    json lagging = json::array();
    for (const LaggingRouter& router : progress.lagging)
        lagging.push_back({ { "vm", router.vm.value }, { "configOffset", router.offset }, { "why", router.why } });
    return {
        { "inForce", progress.inForce },
        { "routers", progress.routers },
        { "everywhere", progress.everywhere() },
        { "lagging", std::move(lagging) },
    };
}

json appliedDocument(const config::Applied& applied)
{
    return {
        { "id", applied.changeId },
        { "verdict", config::toString(applied.verdict) },
        { "offset", applied.offset },
        { "kind", config::toString(applied.kind) },
        { "name", applied.name },
        { "deleted", applied.deleted },
        { "reason", applied.reason },
    };
}

json keepKey(json spec, const json& current)
{
    for (const char* field : keyFields) {
        if (spec.contains(field))
            return spec;
    }
    for (const char* field : keyFields) {
        if (current.contains(field))
            spec[field] = current[field];
    }
    return spec;
}

std::string saltOf(const json& spec)
{
    const auto it = spec.find("keySalt");
    return it != spec.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::vector<FieldDifference> compareSpecs(const json& before, const json& after)
{
    const json old = leaves(before);
    const json now = leaves(after);
    std::set<std::string> paths;
    for (const auto& [path, value] : old.items())
        paths.insert(path);
    for (const auto& [path, value] : now.items())
        paths.insert(path);
    std::vector<FieldDifference> differences;
    bool keyDiffers = false;
    for (const std::string& path : paths) {
        FieldDifference difference { path, leaf(old, path), leaf(now, path) };
        if (difference.before == difference.after)
            continue;
        if (isKeyPath(path))
            keyDiffers = true;
        else
            differences.push_back(std::move(difference));
    }
    if (keyDiffers)
        differences.push_back({ "/key", before.contains(keyFields.front()) ? json(hidden) : json(), hidden });
    return differences;
}

json differencesDocument(const std::vector<FieldDifference>& differences)
{
    json document = json::array();
    for (const FieldDifference& it : differences)
        document.push_back({ { "path", it.path }, { "before", it.before }, { "after", it.after } });
    return document;
}

} // namespace sagechute::operators
