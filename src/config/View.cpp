#include <sagechute/Config.h>

#include "config/View.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace sagechute::config {
namespace {

    template <typename List, typename Name> auto findByName(const List& list, const Name& name) -> decltype(list.data())
    {
        const auto it = std::lower_bound(
            list.begin(), list.end(), name, [](const auto& item, const Name& wanted) { return item.name < wanted; });
        return it != list.end() && it->name == name ? &*it : nullptr;
    }

    template <typename Item> void putByName(std::vector<Item>& list, const Item& item)
    {
        const auto it = std::lower_bound(
            list.begin(), list.end(), item, [](const Item& left, const Item& right) { return left.name < right.name; });
        if (it != list.end() && it->name == item.name)
            *it = item;
        else
            list.insert(it, item);
    }

    template <typename Item> void removeByName(std::vector<Item>& list, const std::string& name)
    {
        std::erase_if(list, [&](const Item& item) { return item.name.value == name; });
    }

    void put(ConfigView& view, const Customer& customer) { putByName(view.customers, customer); }
    void put(ConfigView& view, const Service& service) { putByName(view.services, service); }
    void put(ConfigView& view, const Target& target) { putByName(view.targets, target); }
    void put(ConfigView& view, const Fleet& fleet) { view.fleet = fleet; }
    void put(ConfigView& view, const Vm& vm) { putByName(view.vms, vm); }

    const Customer* findByKeyId(const ConfigView& view, std::string_view keyId)
    {
        if (view.customersByKeyId.size() != view.customers.size()) {
            const auto it = std::find_if(view.customers.begin(), view.customers.end(),
                [&](const Customer& customer) { return customer.keyId == keyId; });
            return it == view.customers.end() ? nullptr : &*it;
        }
        const auto isBefore
            = [&](std::uint32_t at, std::string_view wanted) { return view.customers[at].keyId < wanted; };
        const auto it = std::lower_bound(view.customersByKeyId.begin(), view.customersByKeyId.end(), keyId, isBefore);
        if (it == view.customersByKeyId.end() || view.customers[*it].keyId != keyId)
            return nullptr;
        return &view.customers[*it];
    }

} // namespace

const Customer* ConfigView::findCustomer(const CustomerId& name) const { return findByName(customers, name); }

const Customer* ConfigView::customerByKey(std::string_view key) const
{
    const Customer* customer = findByKeyId(*this, keyIdOf(key));
    return customer && keyMatches(key, customer->key) ? customer : nullptr;
}

const Service* ConfigView::findService(const ServiceId& name) const { return findByName(services, name); }

const Target* ConfigView::findTarget(const TargetId& name) const { return findByName(targets, name); }

const Vm* ConfigView::findVm(const VmId& name) const { return findByName(vms, name); }

std::vector<const Target*> ConfigView::targetsOf(const PoolId& pool) const
{
    std::vector<const Target*> found;
    for (const Target& target : targets) {
        if (target.pool == pool)
            found.push_back(&target);
    }
    return found;
}

std::vector<PoolId> ConfigView::pools() const
{
    std::set<PoolId> names;
    for (const Target& target : targets)
        names.insert(target.pool);
    for (const Service& service : services)
        names.insert(service.pool);
    return { names.begin(), names.end() };
}

void indexKeys(ConfigView& view)
{
    view.customersByKeyId.resize(view.customers.size());
    std::iota(view.customersByKeyId.begin(), view.customersByKeyId.end(), 0U);
    std::sort(view.customersByKeyId.begin(), view.customersByKeyId.end(), [&](std::uint32_t left, std::uint32_t right) {
        return view.customers[left].keyId < view.customers[right].keyId;
    });
}

void putInto(ConfigView& view, const Spec& spec)
{
    std::visit([&](const auto& value) { put(view, value); }, spec);
}

void removeFrom(ConfigView& view, Kind kind, const std::string& name)
{
    switch (kind) {
    case Kind::Customer:
        return removeByName(view.customers, name);
    case Kind::Service:
        return removeByName(view.services, name);
    case Kind::Target:
        return removeByName(view.targets, name);
    case Kind::Vm:
        return removeByName(view.vms, name);
    case Kind::Fleet:
        view.fleet = {};
    }
}

} // namespace sagechute::config
