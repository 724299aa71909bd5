#include "config/Specs.h"

#include "config/Fields.h"
#include "config/Keys.h"
#include "config/Text.h"
#include "core/Concat.h"

#include <array>

namespace sagechute::config {
namespace {

    using nlohmann::json;

    constexpr std::string_view keyField = "key";
    constexpr std::string_view keyIdField = "keyId";
    constexpr std::string_view keySaltField = "keySalt";
    constexpr std::string_view keyDigestField = "keyDigest";

    /// What tells the kinds apart when specs are read; indexed by Kind.
    struct KindTraits {
        std::string_view text;
        absl::StatusOr<Spec> (*parse)(std::string_view resource, std::string_view name, const json& spec);
        std::vector<FieldHelp> (*help)();
    };

    /// Takes a text field out of @p fields; absent leaves @p out empty.
    absl::Status takeText(std::string_view resource, json& fields, std::string_view name,
        bool (*isRight)(std::string_view), std::string_view wanted, std::string& out)
    {
        const auto it = fields.find(name);
        if (it == fields.end())
            return absl::OkStatus();
        // The value is not repeated in the message: it may be a secret.
        if (!it->is_string() || !isRight(it->get_ref<const std::string&>()))
            return fieldError(resource, name, concat("must be ", wanted), concat("Give spec.", name, " as ", wanted));
        out = it->get<std::string>();
        fields.erase(it);
        return absl::OkStatus();
    }

    absl::Status takeKeyFields(std::string_view resource, json& fields, Customer& out)
    {
        absl::Status status = takeText(resource, fields, keyIdField, isKeyId, "12 hex digits", out.keyId);
        if (status.ok())
            status = takeText(resource, fields, keySaltField, isSalt, "16 to 64 hex digits", out.key.salt);
        if (status.ok())
            status = takeText(resource, fields, keyDigestField, isDigest, "64 hex digits", out.key.digest);
        if (!status.ok())
            return status;
        const int given = !out.keyId.empty() + !out.key.salt.empty() + !out.key.digest.empty();
        if (given == 1 || given == 2)
            return fieldError(resource, keyIdField, "does not stand with keySalt and keyDigest",
                "Give all of keyId, keySalt and keyDigest, or a plain key, or none of them to keep the key");
        return absl::OkStatus();
    }

    absl::StatusOr<Spec> parseCustomer(std::string_view resource, std::string_view name, const json& spec)
    {
        Customer keys;
        json fields = spec;
        if (fields.is_object()) {
            const absl::Status status = takeKeyFields(resource, fields, keys);
            if (!status.ok())
                return status;
        }
        absl::StatusOr<Customer> customer = readFields<Customer>(resource, fields);
        if (!customer.ok())
            return customer.status();
        customer->name.value = name;
        customer->keyId = keys.keyId;
        customer->key = keys.key;
        return Spec(*std::move(customer));
    }

    absl::StatusOr<Spec> parseService(std::string_view resource, std::string_view name, const json& spec)
    {
        absl::StatusOr<Service> service = readFields<Service>(resource, spec);
        if (!service.ok())
            return service.status();
        service->name.value = name;
        return Spec(*std::move(service));
    }

    absl::Status checkOrders(std::string_view resource, const Target& target)
    {
        const bool isOrdered = !target.model.empty() || !target.version.empty() || !target.role.empty();
        if (target.mode == TargetMode::Application && isOrdered)
            return fieldError(resource, "model", "is set, but an application takes no orders",
                "Leave model, version and role out, or set mode to engine");
        if (target.model.empty() && !target.version.empty())
            return fieldError(resource, "version", "is set without a model", "Set model too, or leave version out");
        return absl::OkStatus();
    }

    absl::StatusOr<Spec> parseTarget(std::string_view resource, std::string_view name, const json& spec)
    {
        absl::StatusOr<Target> target = readFields<Target>(resource, spec);
        if (!target.ok())
            return target.status();
        const absl::Status status = checkOrders(resource, *target);
        if (!status.ok())
            return status;
        target->name.value = name;
        return Spec(*std::move(target));
    }

    absl::StatusOr<Spec> parseFleet(std::string_view resource, std::string_view name, const json& spec)
    {
        if (name != fleetName)
            return makeError(ErrorKind::BadRequest,
                concat(resource, ": the fleet's settings are one resource named \"fleet\""), "Use the name \"fleet\"");
        absl::StatusOr<Fleet> fleet = readFields<Fleet>(resource, spec);
        if (!fleet.ok())
            return fleet.status();
        return Spec(*std::move(fleet));
    }

    absl::StatusOr<Spec> parseVm(std::string_view resource, std::string_view name, const json& spec)
    {
        absl::StatusOr<Vm> vm = readFields<Vm>(resource, spec);
        if (!vm.ok())
            return vm.status();
        vm->name.value = name;
        return Spec(*std::move(vm));
    }

    std::vector<FieldHelp> helpCustomer()
    {
        std::vector<FieldHelp> lines = helpFields<Customer>();
        lines.push_back({ std::string(keyField), "text", "", "",
            "the customer's key, 16 to 256 printable characters; only its digest is kept; left out: as it was" });
        return lines;
    }

    constexpr std::array kindTable {
        KindTraits { "customer", parseCustomer, helpCustomer },
        KindTraits { "service", parseService, helpFields<Service> },
        KindTraits { "target", parseTarget, helpFields<Target> },
        KindTraits { "fleet", parseFleet, helpFields<Fleet> },
        KindTraits { "vm", parseVm, helpFields<Vm> },
    };

    const KindTraits& traits(Kind kind) { return kindTable[static_cast<std::size_t>(kind)]; }

    json document(const Customer& customer)
    {
        json spec = writeFields(customer);
        if (keepsKey(customer))
            return spec;
        spec[keyIdField] = customer.keyId;
        spec[keySaltField] = customer.key.salt;
        spec[keyDigestField] = customer.key.digest;
        return spec;
    }

    template <typename S> json document(const S& value) { return writeFields(value); }

    /// Replaces a plain key by what is kept of it.
    absl::Status digestPlainKey(std::string_view resource, json& spec, std::string_view salt)
    {
        std::string key;
        absl::Status status = takeText(
            resource, spec, keyField, isPlainKey, "16 to 256 printable ASCII characters without spaces", key);
        if (!status.ok() || key.empty())
            return status;
        if (spec.contains(keyIdField) || spec.contains(keySaltField) || spec.contains(keyDigestField))
            return fieldError(resource, keyField, "stands beside the digest of a key",
                "Give either key or keyId, keySalt and keyDigest");
        const KeyDigest digest = digestKey(key, salt);
        spec[keyIdField] = keyIdOf(key);
        spec[keySaltField] = digest.salt;
        spec[keyDigestField] = digest.digest;
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<Kind> parseKind(std::string_view text)
{
    for (std::size_t i = 0; i < kindTable.size(); ++i) {
        if (kindTable[i].text == text)
            return static_cast<Kind>(i);
    }
    return makeError(ErrorKind::BadRequest, concat("\"", clip(text, 60), "\" is not a kind of resource"),
        "Use customer, service, target, fleet or vm");
}

std::string_view toString(Kind kind) { return traits(kind).text; }

std::string resourceText(Kind kind, std::string_view name) { return concat(toString(kind), "/", clip(name, 63)); }

absl::StatusOr<Spec> parseSpec(Kind kind, std::string_view name, const json& spec)
{
    const std::string resource = resourceText(kind, name);
    if (!isName(name))
        return makeError(ErrorKind::BadRequest, concat(resource, ": the name is not acceptable"),
            "Use 1 to 63 characters of a-z, 0-9, '-' and '.', the first and the last a letter or digit");
    return traits(kind).parse(resource, name, spec);
}

json specDocument(const Spec& spec)
{
    return std::visit([](const auto& value) { return document(value); }, spec);
}

bool keepsKey(const Customer& customer) { return customer.keyId.empty(); }

absl::StatusOr<json> canonicalSpec(Kind kind, std::string_view name, const json& spec, std::string_view salt)
{
    json fields = spec;
    if (kind == Kind::Customer && fields.is_object()) {
        const absl::Status status = digestPlainKey(resourceText(kind, name), fields, salt);
        if (!status.ok())
            return status;
    }
    absl::StatusOr<Spec> parsed = parseSpec(kind, name, fields);
    if (!parsed.ok())
        return parsed.status();
    return specDocument(*parsed);
}

std::vector<FieldHelp> explain(Kind kind) { return traits(kind).help(); }

} // namespace sagechute::config
