#include "operators/FleetDocument.h"

#include "operators/Documents.h"

#include <algorithm>

namespace sagechute::operators {
namespace {

    using nlohmann::json;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    double weightOf(const config::ConfigView& view, const CustomerId& id)
    {
        const config::Customer* customer = view.findCustomer(id);
        return customer ? customer->weight : 1;
    }

    /// @return a customer's part of the pool's recent service, nothing while nobody was served.
    json shareOf(const CustomerPart& customer, const PoolPicture& pool, const config::ConfigView& view)
    {
        Cost all = 0;
        for (const CustomerPart& it : pool.customers)
            all += it.recentService * weightOf(view, it.customer);
        if (all <= 0)
            return nullptr;
        return customer.recentService * weightOf(view, customer.customer) / all;
    }

    json customerDocument(const CustomerPart& customer, const PoolPicture& pool, const config::ConfigView& view)
    {
        return {
            { "customer", customer.customer.value },
            { "weight", weightOf(view, customer.customer) },
            { "share", shareOf(customer, pool, view) },
            { "virtualService", customer.virtualService },
            { "waiting", customer.waiting },
        };
    }

    json poolDocument(const PoolPicture& pool, const config::ConfigView& view)
    {
        json customers = json::array();
        for (const CustomerPart& customer : pool.customers)
            customers.push_back(customerDocument(customer, pool, view));
        return {
            { "pool", pool.pool.value },
            { "waiting", pool.waiting },
            { "running", pool.running },
            { "slots", pool.slots },
            { "gap", pool.gap },
            { "gapBound", pool.gapBound },
            { "customers", std::move(customers) },
        };
    }

    json routerDocument(const RouterView& router, LogOffset offset)
    {
        json document = {
            { "vm", router.vm.value },
            { "zone", router.zone.value },
            { "address", router.address },
            { "state", toString(router.health) },
            { "draining", router.draining },
            { "configOffset", router.offset },
            { "behind", offset > router.offset ? offset - router.offset : 0 },
            { "fault", router.fault },
        };
        document["load"] = router.direct ? json(router.direct->load) : json();
        document["logReachable"] = router.direct ? json(router.direct->logReachable) : json();
        return document;
    }

    json targetDocument(const config::Target& target)
    {
        return {
            { "target", target.name.value },
            { "pool", target.pool.value },
            { "zone", target.zone.value },
            { "slots", target.slots },
            { "state", target.state == config::TargetState::Leaving ? "leaving" : "serving" },
        };
    }

    json customerStatus(const CustomerId& id, const FleetPicture& picture, const config::ConfigView& view)
    {
        json pools = json::array();
        for (const PoolPicture& pool : picture.pools()) {
            for (const CustomerPart& customer : pool.customers) {
                if (customer.customer != id)
                    continue;
                json document = customerDocument(customer, pool, view);
                document["pool"] = pool.pool.value;
                document["gap"] = pool.gap;
                document["gapBound"] = pool.gapBound;
                pools.push_back(std::move(document));
            }
        }
        json status = { { "pools", std::move(pools) } };
        if (const config::Customer* customer = view.findCustomer(id))
            status["keyId"] = customer->keyId;
        return status;
    }

    json poolStatus(const PoolId& id, const FleetPicture& picture, const config::ConfigView& view)
    {
        const std::vector<PoolPicture> pools = picture.pools();
        const auto it
            = std::find_if(pools.begin(), pools.end(), [&](const PoolPicture& pool) { return pool.pool == id; });
        return it == pools.end() ? json::object() : json { { "pool", poolDocument(*it, view) } };
    }

    json vmStatus(const VmId& id, const FleetPicture& picture)
    {
        const auto it = picture.routers().find(id);
        return it == picture.routers().end() ? json { { "router", nullptr } }
                                             : json { { "router", routerDocument(it->second, it->second.offset) } };
    }

} // namespace

json fleetDocument(
    const FleetPicture& picture, const config::ConfigView& view, const LogStanding& standing, TimePoint now)
{
    json routers = json::array();
    for (const auto& [vm, router] : picture.routers())
        routers.push_back(routerDocument(router, standing.offset));
    json pools = json::array();
    for (const PoolPicture& pool : picture.pools())
        pools.push_back(poolDocument(pool, view));
    json targets = json::array();
    for (const config::Target& target : view.targets)
        targets.push_back(targetDocument(target));
    json document = {
        { "configOffset", standing.offset },
        { "logReachable", standing.reachable },
        { "logFault", standing.fault },
        { "progress", progressDocument(picture.progress(standing.offset)) },
        { "routers", std::move(routers) },
        { "pools", std::move(pools) },
        { "targets", std::move(targets) },
    };
    const auto age = [](Duration time) { return json(duration_cast<milliseconds>(time).count()); };
    document["routersSeenMsAgo"] = picture.asOf() ? age(now - *picture.asOf()) : json();
    document["logSeenMsAgo"] = standing.sinceContact ? age(*standing.sinceContact) : json();
    return document;
}

json observedStatus(const config::Resource& resource, const FleetPicture& picture, const config::ConfigView& view)
{
    json status = json::object();
    if (resource.kind == config::Kind::Customer)
        status = customerStatus({ resource.name }, picture, view);
    if (resource.kind == config::Kind::Service)
        status = poolStatus({ resource.spec.value("pool", std::string()) }, picture, view);
    if (resource.kind == config::Kind::Target)
        status = poolStatus({ resource.spec.value("pool", std::string()) }, picture, view);
    if (resource.kind == config::Kind::Vm)
        status = vmStatus({ resource.name }, picture);
    status["inForce"] = progressDocument(picture.progress(resource.version));
    return status;
}

} // namespace sagechute::operators
