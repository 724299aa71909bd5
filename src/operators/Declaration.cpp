#include "operators/CtlCommands.h"
#include "operators/Documents.h"

#include <algorithm>
#include <set>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::string_view resourceForm = R"(write each as {"kind":...,"name":...,"spec":{...}})";
    constexpr std::size_t noPlace = 1000;

    absl::Status bad(std::size_t place, const std::string& what)
    {
        return makeError(ErrorKind::BadRequest, "resource " + std::to_string(place) + " " + what, resourceForm);
    }

    /// Fields that `get -o json` prints beside those that are declared.
    bool isKnownField(const std::string& name)
    {
        static const std::set<std::string> known { "kind", "name", "spec", "version", "status" };
        return known.contains(name);
    }

    absl::StatusOr<std::string> readText(const json& item, std::size_t place, const char* field)
    {
        const auto it = item.find(field);
        if (it == item.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            return bad(place, "has no text \"" + std::string(field) + "\"");
        return it->get<std::string>();
    }

    absl::StatusOr<DeclaredResource> readResource(const json& item, std::size_t place)
    {
        if (!item.is_object())
            return bad(place, "is not an object");
        for (const auto& [name, value] : item.items()) {
            if (!isKnownField(name))
                return bad(place, "has an unknown field \"" + printable(name) + "\"");
        }
        const absl::StatusOr<std::string> kind = readText(item, place, "kind");
        if (!kind.ok())
            return kind.status();
        const absl::StatusOr<std::string> name = readText(item, place, "name");
        if (!name.ok())
            return name.status();
        DeclaredResource resource { *kind, *name, item.value("spec", json()), std::nullopt };
        if (!resource.spec.is_object())
            return bad(place, "has no object \"spec\"");
        if (item.contains("version")) {
            if (!item["version"].is_number_unsigned())
                return bad(place, "has a \"version\" that is no whole number");
            resource.expected = item["version"].get<LogOffset>();
        }
        return resource;
    }

    std::size_t rank(const DeclaredResource& resource)
    {
        const absl::StatusOr<config::Kind> kind = config::parseKind(resource.kind);
        if (!kind.ok())
            return noPlace;
        const auto& kinds = allKinds();
        return static_cast<std::size_t>(std::find(kinds.begin(), kinds.end(), *kind) - kinds.begin());
    }

    absl::StatusOr<json> findResources(const json& document)
    {
        if (document.is_object() && document.contains("resources") && document["resources"].is_array())
            return document["resources"];
        if (document.is_object() && document.contains("kind"))
            return json::array({ document });
        return makeError(ErrorKind::BadRequest, "the document has no list \"resources\"",
            R"(write {"resources":[{"kind":...,"name":...,"spec":{...}}]})");
    }

} // namespace

absl::StatusOr<std::vector<DeclaredResource>> parseDeclaration(std::string_view text)
{
    const absl::StatusOr<json> document = parseJsonStrictly(text);
    if (!document.ok())
        return document.status();
    const absl::StatusOr<json> items = findResources(*document);
    if (!items.ok())
        return items.status();
    std::vector<DeclaredResource> resources;
    std::set<std::string> seen;
    for (const json& item : *items) {
        absl::StatusOr<DeclaredResource> resource = readResource(item, resources.size() + 1);
        if (!resource.ok())
            return resource.status();
        if (!seen.insert(resource->text()).second)
            return bad(resources.size() + 1, "repeats " + printable(resource->text()));
        resources.push_back(*std::move(resource));
    }
    std::stable_sort(resources.begin(), resources.end(),
        [](const DeclaredResource& a, const DeclaredResource& b) { return rank(a) < rank(b); });
    return resources;
}

} // namespace sagechute::operators
