#include "config/References.h"

#include "core/Concat.h"

#include <algorithm>

namespace sagechute::config {
namespace {

    std::string modeText(TargetMode mode) { return mode == TargetMode::Engine ? "engine" : "application"; }

    absl::Status conflict(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::Conflict, message, remedy);
    }

    /// @return "service/a, service/b and 3 more".
    std::string nameList(Kind kind, const std::vector<std::string>& names)
    {
        constexpr std::size_t mostNames = 3;
        std::string text;
        for (std::size_t i = 0; i < std::min(names.size(), mostNames); ++i)
            text += concat(i ? ", " : "", resourceText(kind, names[i]));
        if (names.size() > mostNames)
            text += concat(" and ", names.size() - mostNames, " more");
        return text;
    }

    template <typename Item, typename Test>
    std::vector<std::string> namesWhere(const std::vector<Item>& list, Test test)
    {
        std::vector<std::string> names;
        for (const Item& item : list) {
            if (test(item))
                names.push_back(item.name.value);
        }
        return names;
    }

    /// Who else belongs to a pool with another mode.
    struct ModeClash {
        std::vector<std::string> targets;
        std::vector<std::string> services;
    };

    absl::Status clashError(const std::string& resource, const PoolId& pool, TargetMode mode, const ModeClash& clash)
    {
        if (clash.targets.empty() && clash.services.empty())
            return absl::OkStatus();
        const std::string others
            = clash.targets.empty() ? nameList(Kind::Service, clash.services) : nameList(Kind::Target, clash.targets);
        return conflict(concat(resource, ": mode ", modeText(mode), " does not fit pool ", pool.value, ", where ",
                            others, " differs"),
            "Use the mode of the pool, or another pool");
    }

    /// A pool that a service uses keeps a target: without one every request of the service would be refused, which is
    /// seen by callers first.
    absl::Status checkPoolKeepsTarget(const ConfigView& view, const Target& leaver)
    {
        const auto others = namesWhere(view.targets,
            [&](const Target& target) { return target.pool == leaver.pool && target.name != leaver.name; });
        if (!others.empty())
            return absl::OkStatus();
        const auto services
            = namesWhere(view.services, [&](const Service& service) { return service.pool == leaver.pool; });
        if (services.empty())
            return absl::OkStatus();
        return conflict(concat(resourceText(Kind::Target, leaver.name.value), " is the last target of pool ",
                            leaver.pool.value, ", which ", nameList(Kind::Service, services), " uses"),
            "Add another target to the pool, or delete or move the service first");
    }

    absl::Status check(const ConfigView& view, const Customer& customer)
    {
        if (keepsKey(customer))
            return absl::OkStatus();
        // Two customers with one key could not be told apart: one would be served on the other's account.
        const auto holders = namesWhere(view.customers,
            [&](const Customer& other) { return other.keyId == customer.keyId && other.name != customer.name; });
        if (holders.empty())
            return absl::OkStatus();
        return conflict(concat(resourceText(Kind::Customer, customer.name.value), ": its key is already that of ",
                            nameList(Kind::Customer, holders)),
            "Make a fresh random key");
    }

    absl::Status check(const ConfigView& view, const Service& service)
    {
        const auto differs
            = [&](const auto& other) { return other.pool == service.pool && other.mode != service.mode; };
        ModeClash clash;
        clash.targets = namesWhere(view.targets, differs);
        clash.services = namesWhere(
            view.services, [&](const Service& other) { return differs(other) && other.name != service.name; });
        return clashError(resourceText(Kind::Service, service.name.value), service.pool, service.mode, clash);
    }

    absl::Status checkAddress(const ConfigView& view, const Target& target)
    {
        // One process declared twice would be given twice its slots, and one of the two could be drained without
        // effect.
        const auto holders = namesWhere(view.targets,
            [&](const Target& other) { return other.address == target.address && other.name != target.name; });
        if (holders.empty())
            return absl::OkStatus();
        return conflict(concat(resourceText(Kind::Target, target.name.value), ": address ", target.address,
                            " is that of ", nameList(Kind::Target, holders)),
            "Delete the other target first, or give another address");
    }

    absl::Status check(const ConfigView& view, const Target& target)
    {
        const auto differs = [&](const auto& other) { return other.pool == target.pool && other.mode != target.mode; };
        ModeClash clash;
        clash.targets = namesWhere(
            view.targets, [&](const Target& other) { return differs(other) && other.name != target.name; });
        clash.services = namesWhere(view.services, differs);
        absl::Status status
            = clashError(resourceText(Kind::Target, target.name.value), target.pool, target.mode, clash);
        if (status.ok())
            status = checkAddress(view, target);
        const Target* former = view.findTarget(target.name);
        if (status.ok() && former && former->pool != target.pool)
            status = checkPoolKeepsTarget(view, *former);
        return status;
    }

    absl::Status check(const ConfigView&, const Fleet&) { return absl::OkStatus(); }
    absl::Status check(const ConfigView&, const Vm&) { return absl::OkStatus(); }

} // namespace

absl::Status checkPut(const ConfigView& view, const Spec& spec)
{
    return std::visit([&](const auto& value) { return check(view, value); }, spec);
}

absl::Status checkDelete(const ConfigView& view, Kind kind, const std::string& name)
{
    if (kind != Kind::Target)
        return absl::OkStatus();
    const Target* target = view.findTarget(TargetId { name });
    return target ? checkPoolKeepsTarget(view, *target) : absl::OkStatus();
}

} // namespace sagechute::config
