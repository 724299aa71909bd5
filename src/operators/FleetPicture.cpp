#include "operators/FleetPicture.h"

#include <algorithm>

namespace sagechute::operators {
namespace {

    constexpr Duration recentPast = std::chrono::seconds(30);
    constexpr Duration sampleInterval = std::chrono::seconds(2);

    /// Joins what several routers say of one: the best health, since one that hears it is proof enough, and the highest
    /// offset, since gossip lags.
    void join(MemberStatus& known, const MemberStatus& other)
    {
        known.health = std::min(known.health, other.health);
        known.draining = known.draining || other.draining;
        known.configOffset = std::max(known.configOffset, other.configOffset);
    }

    void addPool(PoolPicture& sum, const PoolStatus& part, std::map<CustomerId, CustomerPart>& customers)
    {
        sum.waiting += part.waiting;
        sum.running += part.running;
        sum.slots += part.slots;
        sum.gap = std::max(sum.gap, part.gap);
        sum.gapBound = std::max(sum.gapBound, part.gapBound);
        for (const PoolCustomerStatus& it : part.customers) {
            CustomerPart& customer = customers[it.customer];
            customer.customer = it.customer;
            customer.waiting += it.waiting;
            // Each router's ledger covers the whole fleet, as far as it has heard: the largest is the latest.
            customer.virtualService = std::max(customer.virtualService, it.virtualService);
        }
    }

} // namespace

void FleetPicture::absorb(TimePoint now, const std::vector<PollResult>& results)
{
    const auto answered = [](const PollResult& result) { return result.status.ok(); };
    if (std::any_of(results.begin(), results.end(), answered)) {
        absorbMembers(results);
        absorbAnswers(now, results);
        m_asOf = now;
        sampleService(now);
    }
    absorbFaults(results);
}

void FleetPicture::absorbMembers(const std::vector<PollResult>& results)
{
    std::map<VmId, MemberStatus> members;
    for (const PollResult& result : results) {
        if (!result.status.ok())
            continue;
        for (const MemberStatus& member : result.status->members) {
            const auto [it, isNew] = members.emplace(member.vm, member);
            if (!isNew)
                join(it->second, member);
        }
    }
    std::erase_if(m_routers, [&](const auto& entry) { return !members.contains(entry.first); });
    for (const auto& [vm, member] : members) {
        RouterView& router = m_routers[vm];
        router.vm = vm;
        router.zone = member.zone;
        router.address = member.callerAddress;
        router.health = member.health;
        router.draining = member.draining;
        router.offset = member.configOffset;
    }
}

void FleetPicture::absorbAnswers(TimePoint now, const std::vector<PollResult>& results)
{
    for (const PollResult& result : results) {
        if (!result.status.ok())
            continue;
        const RouterStatus& status = *result.status;
        RouterView& router = m_routers[status.vm];
        router.vm = status.vm;
        router.zone = status.zone;
        router.address = result.address;
        // It speaks for itself, also when the others take it for dead: it may be serving callers on its side of a
        // partition.
        router.health = MemberHealth::Alive;
        router.draining = status.draining;
        router.offset = status.configOffset;
        router.direct = status;
        router.answered = now;
        router.fault.clear();
    }
}

void FleetPicture::absorbFaults(const std::vector<PollResult>& results)
{
    for (const PollResult& result : results) {
        if (result.status.ok())
            continue;
        for (auto& [vm, router] : m_routers) {
            if (router.address == result.address)
                router.fault = std::string(result.status.status().message());
        }
    }
}

std::string FleetPicture::whyLagging(const RouterView& router) const
{
    if (!router.fault.empty())
        return "does not answer: " + router.fault;
    if (router.health == MemberHealth::Suspect)
        return "the other routers suspect that it is down";
    if (router.direct && !router.direct->logReachable)
        return "cannot reach the log, learns from other routers";
    return "has not yet read so far";
}

Progress FleetPicture::progress(LogOffset offset) const
{
    Progress progress;
    for (const auto& [vm, router] : m_routers) {
        if (!router.counts())
            continue;
        ++progress.routers;
        if (router.offset >= offset)
            ++progress.inForce;
        else
            progress.lagging.push_back({ vm, router.offset, whyLagging(router) });
    }
    return progress;
}

std::vector<PoolPicture> FleetPicture::sumPools() const
{
    std::map<PoolId, PoolPicture> sums;
    std::map<PoolId, std::map<CustomerId, CustomerPart>> customers;
    for (const auto& [vm, router] : m_routers) {
        if (!router.counts() || !router.direct)
            continue;
        for (const PoolStatus& part : router.direct->pools) {
            PoolPicture& sum = sums[part.pool];
            sum.pool = part.pool;
            addPool(sum, part, customers[part.pool]);
        }
    }
    std::vector<PoolPicture> pools;
    for (auto& [id, sum] : sums) {
        for (auto& [customer, part] : customers[id])
            sum.customers.push_back(part);
        pools.push_back(std::move(sum));
    }
    return pools;
}

void FleetPicture::sampleService(TimePoint now)
{
    if (!m_samples.empty() && now - m_samples.back().at < sampleInterval)
        return;
    ServiceSample sample { now, {} };
    for (const PoolPicture& pool : sumPools()) {
        for (const CustomerPart& customer : pool.customers)
            sample.service[pool.pool][customer.customer] = customer.virtualService;
    }
    m_samples.push_back(std::move(sample));
    while (m_samples.size() > 2 && now - m_samples[1].at >= recentPast)
        m_samples.erase(m_samples.begin());
}

std::vector<PoolPicture> FleetPicture::pools() const
{
    std::vector<PoolPicture> pools = sumPools();
    if (m_samples.empty())
        return pools;
    const auto& before = m_samples.front().service;
    for (PoolPicture& pool : pools) {
        const auto known = before.find(pool.pool);
        if (known == before.end())
            continue;
        for (CustomerPart& customer : pool.customers) {
            const auto it = known->second.find(customer.customer);
            const Cost start = it == known->second.end() ? customer.virtualService : it->second;
            customer.recentService = std::max(0.0, customer.virtualService - start);
        }
    }
    return pools;
}

std::vector<std::string> FleetPicture::addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [vm, router] : m_routers) {
        if (router.counts() && !router.address.empty())
            addresses.push_back(router.address);
    }
    return addresses;
}

} // namespace sagechute::operators
