#include "config/ResourceTable.h"

#include "config/References.h"
#include "config/View.h"
#include "core/Concat.h"

namespace sagechute::config {
namespace {

    using nlohmann::json;

    /// Keeps views and snapshots small enough to be copied and stored in one piece.
    constexpr std::size_t mostOfAKind = 4096;

    Resource defaultFleet() { return { Kind::Fleet, std::string(fleetName), 0, specDocument(Fleet {}) }; }

} // namespace

const ResourceTable::Stored* ResourceTable::stored(Kind kind, std::string_view name) const
{
    const auto it = of(kind).find(name);
    return it == of(kind).end() ? nullptr : &it->second;
}

absl::Status ResourceTable::checkVersion(const Change& change, const Stored* present) const
{
    const std::string resource = resourceText(change.kind, change.name);
    if (!present && !change.spec)
        return makeError(
            ErrorKind::Conflict, concat(resource, " does not exist"), "List the resources; it may be gone already");
    const LogOffset version = present ? present->version : 0;
    if (version == change.expected)
        return absl::OkStatus();
    if (!present)
        return makeError(ErrorKind::Conflict,
            concat(resource, " does not exist any more, the change was made from version ", change.expected),
            "To create it again, send the change with expected version 0");
    if (change.expected == 0)
        return makeError(ErrorKind::Conflict, concat(resource, " exists already, with version ", version),
            "Read it and change it from that version, or use another name");
    return makeError(ErrorKind::Conflict,
        concat(resource, " has version ", version, ", the change was made from version ", change.expected),
        "Read the resource again, see what the other change did, and send yours from its version");
}

absl::StatusOr<Spec> ResourceTable::withKeptKey(const Change& change, Spec spec) const
{
    Customer* customer = std::get_if<Customer>(&spec);
    if (!customer || !keepsKey(*customer))
        return spec;
    const Customer* present = m_working.findCustomer(customer->name);
    if (!present)
        return makeError(ErrorKind::BadRequest,
            concat(resourceText(change.kind, change.name), ": a new customer needs a key"),
            "Add spec.key, a random text of 16 to 256 characters");
    customer->keyId = present->keyId;
    customer->key = present->key;
    return spec;
}

absl::StatusOr<ResourceTable::Effect> ResourceTable::judgePut(const Change& change, const Stored* present) const
{
    absl::StatusOr<Spec> spec = parseSpec(change.kind, change.name, *change.spec);
    if (!spec.ok())
        return spec.status();
    absl::Status status = checkVersion(change, present);
    if (!status.ok())
        return status;
    spec = withKeptKey(change, *std::move(spec));
    if (!spec.ok())
        return spec.status();
    if (!present && of(change.kind).size() >= mostOfAKind)
        return makeError(ErrorKind::Conflict,
            concat("There are ", mostOfAKind, " resources of kind ", toString(change.kind), " already"),
            "Delete one that is not needed");
    status = checkPut(m_working, *spec);
    if (!status.ok())
        return status;
    json after = specDocument(*spec);
    return Effect { *std::move(spec), present ? present->spec : json(), std::move(after) };
}

absl::StatusOr<ResourceTable::Effect> ResourceTable::judge(const Change& change) const
{
    const Stored* present = stored(change.kind, change.name);
    if (change.spec)
        return judgePut(change, present);
    absl::Status status = checkVersion(change, present);
    if (status.ok())
        status = checkDelete(m_working, change.kind, change.name);
    if (!status.ok())
        return status;
    return Effect { std::nullopt, present->spec, json() };
}

void ResourceTable::enforce(const Change& change, const Effect& effect, LogOffset version)
{
    m_keysChanged = m_keysChanged || change.kind == Kind::Customer;
    if (effect.spec) {
        of(change.kind)[change.name] = { version, effect.after };
        putInto(m_working, *effect.spec);
        return;
    }
    of(change.kind).erase(change.name);
    removeFrom(m_working, change.kind, change.name);
}

absl::Status ResourceTable::restore(const Resource& resource)
{
    const absl::StatusOr<Spec> spec = parseSpec(resource.kind, resource.name, resource.spec);
    if (!spec.ok())
        return spec.status();
    const Customer* customer = std::get_if<Customer>(&*spec);
    if (customer && keepsKey(*customer))
        return makeError(ErrorKind::BadRequest, concat(resourceText(resource.kind, resource.name), " has no key"),
            "Use another snapshot");
    if (!of(resource.kind).emplace(resource.name, Stored { resource.version, specDocument(*spec) }).second)
        return makeError(ErrorKind::BadRequest, concat(resourceText(resource.kind, resource.name), " is there twice"),
            "Use another snapshot");
    putInto(m_working, *spec);
    return absl::OkStatus();
}

std::vector<Resource> ResourceTable::list(Kind kind) const
{
    std::vector<Resource> resources;
    for (const auto& [name, item] : of(kind))
        resources.push_back({ kind, name, item.version, item.spec });
    if (kind == Kind::Fleet && resources.empty())
        resources.push_back(defaultFleet());
    return resources;
}

std::optional<Resource> ResourceTable::find(Kind kind, std::string_view name) const
{
    if (const Stored* item = stored(kind, name))
        return Resource { kind, std::string(name), item->version, item->spec };
    if (kind == Kind::Fleet && name == fleetName)
        return defaultFleet();
    return std::nullopt;
}

std::shared_ptr<const ConfigView> ResourceTable::publish(LogOffset offset)
{
    if (m_keysChanged)
        indexKeys(m_working);
    m_keysChanged = false;
    m_working.offset = offset;
    return std::make_shared<const ConfigView>(m_working);
}

} // namespace sagechute::config
