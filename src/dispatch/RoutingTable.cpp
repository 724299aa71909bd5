#include <sagechute/Dispatch.h>

#include <algorithm>

namespace sagechute::dispatch {

namespace {

    /// Removes the port and converts to lower case. Hosts match without regard to either.
    std::string normalizeHost(std::string_view host)
    {
        host = host.substr(0, host.rfind(':'));
        std::string text(host);
        for (char& c : text)
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
        return text;
    }

} // namespace

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::Once:
        return "once";
    case RequestKind::Stream:
        return "stream";
    }
    return "";
}

std::string toString(const TargetIncarnation& incarnation)
{
    return incarnation.startedAtMs ? incarnation.id.value + "@" + std::to_string(incarnation.startedAtMs)
                                   : incarnation.id.value;
}

std::shared_ptr<const RoutingTable> RoutingTable::make(FleetConfig config)
{
    return std::shared_ptr<const RoutingTable>(new RoutingTable(std::move(config)));
}

RoutingTable::RoutingTable(FleetConfig config)
    : m_config(std::move(config))
{
    for (const Route& it : m_config.routes)
        m_byHost[normalizeHost(it.host)].push_back(&it);
    for (auto& [host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const Route* a, const Route* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const Customer& customer : m_config.customers) {
        for (const std::string& key : customer.keys)
            m_byKey.emplace(key, &customer);
    }
    for (const Service& it : m_config.services)
        m_services.emplace(it.id.value, &it);
}

const Route* RoutingTable::findRoute(std::string_view host, std::string_view target) const
{
    const auto it = m_byHost.find(normalizeHost(host));
    if (it == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route* route : it->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const Customer* RoutingTable::findCustomer(std::string_view key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

const Service* RoutingTable::findService(const ServiceId& id) const
{
    const auto it = m_services.find(id.value);
    return it == m_services.end() ? nullptr : it->second;
}

const ServiceId* RoutingTable::chooseService(const Route& route, double point)
{
    double sum = 0;
    for (const ServiceShare& it : route.services)
        sum += it.weight;
    double left = point * sum;
    for (const ServiceShare& it : route.services) {
        left -= it.weight;
        if (left < 0)
            return &it.service;
    }
    return route.services.empty() ? nullptr : &route.services.back().service;
}

} // namespace sagechute::dispatch
