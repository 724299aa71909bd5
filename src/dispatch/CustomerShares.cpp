#include "dispatch/CustomerShares.h"

#include <algorithm>
#include <limits>

namespace sagechute::dispatch {

namespace {

    /// Usage within this interval is merged into one entry per customer, which bounds the number of entries by time and
    /// customers rather than by requests.
    constexpr Duration bucketSpan = std::chrono::milliseconds(250);

    /// A customer may be granted at most this multiple of what a customer with mostly shed requests is granted. Twice
    /// as much counts as unfair; the margin allows for aggregates that lag behind grants.
    constexpr double maxGrantRatio = 1.6;

    /// An unused allowance of a router accrues for at most this time.
    constexpr Duration maxAccrualTime = std::chrono::milliseconds(500);

    /// Shorter observations of a rate are too noisy.
    constexpr Duration minShedTime = std::chrono::milliseconds(500);

    /// A limit begins, on average, in the middle between two requests of a router.
    constexpr double startFraction = 0.5;

    /// Demand counts as fully served from this granted fraction on, as single requests are refused for other reasons.
    constexpr double fullyServedFraction = 0.98;

    /// Two large requests, in tokens; a smaller difference is noise.
    constexpr double minGrantMargin = 60'000;

    /// Upper bound on the share ratio of an underserved customer. It is above 1, so that its requests wait no longer
    /// than their goal, but only just, so that customers with more usage are refused first.
    constexpr double maxUnderservedRatio = 1.05;

    /// A customer is underserved if it was granted less than this fraction of what the best-served one was granted.
    constexpr double underservedFraction = 0.85;

    /// A customer counts as flooding beside one that requests less than this fraction of what it requests. Customers
    /// with similar demand share an overload without one of them flooding.
    constexpr double floodVictimFraction = 1.0 / 3;

    /// Twice as much as another customer counts as unfair by the operators' rule.
    constexpr double unfairRatio = 2;

    /// Demand counts as unmet below this granted fraction. Single requests are refused for other reasons, too.
    constexpr double unmetFraction = 0.75;

    /// A limited flood, and the others beside it, may have this multiple of the level of what was granted: below
    /// unfairRatio, and above 1, so that the level rises again when engines have room.
    constexpr double floodGrantRatio = 1.2;

    /// Reports of live routers are not older; the last one of a router that fell silent says nothing about the others.
    constexpr Duration maxReportLag = std::chrono::seconds(1);

    constexpr Duration aggregateTtl = std::chrono::milliseconds(25);

    void addUsage(CustomerUsage& sum, const CustomerUsage& usage)
    {
        sum.requested += usage.requested;
        sum.granted += usage.granted;
        sum.shed += usage.shed;
    }

    /// @param maxTokens upper bound on the capacity, whatever was granted.
    /// @return the max-min fair level at which the tokens granted to all customers would be divided.
    double fairShareLevel(
        const std::map<CustomerId, CustomerUsage>& sum, double maxTokens = std::numeric_limits<double>::infinity())
    {
        std::vector<double> requested;
        requested.reserve(sum.size());
        CustomerUsage all;
        for (const auto& [id, usage] : sum) {
            requested.push_back(usage.requested);
            addUsage(all, usage);
        }
        const bool isFullyServed = all.granted >= fullyServedFraction * all.requested;
        return maxMinLevel(std::move(requested), isFullyServed ? maxTokens : std::min(maxTokens, all.granted));
    }

    double maxGranted(const std::map<CustomerId, CustomerUsage>& sum)
    {
        double highest = 0;
        for (const auto& [id, usage] : sum)
            highest = std::max(highest, usage.granted);
        return highest;
    }

} // namespace

double maxMinLevel(std::vector<double> requested, double capacity)
{
    std::sort(requested.begin(), requested.end());
    double remaining = capacity;
    for (std::size_t i = 0; i < requested.size(); ++i) {
        const double equalShare = remaining / static_cast<double>(requested.size() - i);
        if (requested[i] > equalShare)
            return equalShare;
        remaining -= requested[i];
    }
    return std::numeric_limits<double>::infinity();
}

void CustomerShares::requested(TimePoint now, const CustomerId& customer, double tokens)
{
    add(now, customer, { tokens, 0, 0 });
}

void CustomerShares::granted(TimePoint now, const CustomerId& customer, double tokens)
{
    if (const auto it = m_allowances.find(customer); it != m_allowances.end())
        it->second.tokens -= tokens;
    add(now, customer, { 0, tokens, 0 });
}

void CustomerShares::shed(TimePoint now, const CustomerId& customer, double tokens)
{
    add(now, customer, { 0, 0, tokens });
}

void CustomerShares::add(TimePoint now, const CustomerId& customer, CustomerUsage usage)
{
    expire(now);
    LocalUsage& sum = m_localUsage[customer];
    addUsage(sum, usage);
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && now - it->at < bucketSpan; ++it) {
        if (it->customer == customer) {
            addUsage(it->usage, usage);
            return;
        }
    }
    ++sum.entries;
    m_entries.push_back({ now, customer, usage });
}

void CustomerShares::expire(TimePoint now)
{
    while (!m_entries.empty() && now - m_entries.front().at > m_window) {
        const Entry& oldest = m_entries.front();
        LocalUsage& sum = m_localUsage.at(oldest.customer);
        sum.requested = std::max(0.0, sum.requested - oldest.usage.requested);
        sum.granted = std::max(0.0, sum.granted - oldest.usage.granted);
        sum.shed = std::max(0.0, sum.shed - oldest.usage.shed);
        if (--sum.entries == 0)
            m_localUsage.erase(oldest.customer);
        m_entries.pop_front();
    }
}

void CustomerShares::setPeerUsage(
    TimePoint now, const VmId& peer, const std::map<CustomerId, CustomerUsage>& usage, Duration age)
{
    m_peers[peer] = { now, age, usage };
}

std::optional<Duration> CustomerShares::oldestReportAge(TimePoint now) const
{
    std::optional<Duration> oldest;
    for (const auto& [peer, part] : m_peers) {
        if (now - part.at <= m_window)
            oldest = std::max(oldest.value_or(Duration::zero()), now - part.at + part.age);
    }
    return oldest;
}

FairShareSnapshot CustomerShares::view(TimePoint now) const
{
    return { 0, m_level, m_totalUsage, oldestReportAge(now) };
}

std::map<CustomerId, CustomerUsage> CustomerShares::localUsage(TimePoint now)
{
    expire(now);
    return { m_localUsage.begin(), m_localUsage.end() };
}

std::map<CustomerId, CustomerUsage> CustomerShares::totalUsage(TimePoint now)
{
    std::map<CustomerId, CustomerUsage> sum = localUsage(now);
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.at > m_window; });
    for (const auto& [peer, part] : m_peers) {
        for (const auto& [customer, usage] : part.usage)
            addUsage(sum[customer], usage);
    }
    return sum;
}

double CustomerShares::shareRatio(TimePoint now, const CustomerId& customer, double capacity)
{
    // Aggregation costs more than the rest of a decision, and the peer reports are older than the TTL anyway.
    if (!m_totalUsageAt || now - *m_totalUsageAt >= aggregateTtl) {
        m_totalUsageAt = now;
        m_totalUsage = totalUsage(now);
        m_level = fairShareLevel(m_totalUsage, capacity);
        m_grantedLevel = fairShareLevel(m_totalUsage);
        m_underservedBelow = std::min(m_grantedLevel, underservedFraction * maxGranted(m_totalUsage));
        updateFloods(now);
        updateShedCustomers(now);
    }
    const auto self = m_totalUsage.find(customer);
    if (self == m_totalUsage.end() || m_level <= 0)
        return 0;
    const double share = self->second.granted / m_level;
    const bool isBesideFlood = !m_floods.empty() && !m_floods.contains(customer);
    const double underservedBelow = isBesideFlood ? floodGrantRatio * m_grantedLevel : m_underservedBelow;
    return self->second.granted < underservedBelow ? std::min(share, maxUnderservedRatio) : share;
}

bool CustomerShares::isFlooding(const CustomerId& customer, const CustomerUsage& self) const
{
    if (self.requested * floodVictimFraction < m_grantedLevel)
        return false;
    // A limit that ended when the customers are even would let all routers admit the flood again at the same moment.
    const bool wasFlooding = m_floods.contains(customer);
    return std::any_of(m_totalUsage.begin(), m_totalUsage.end(), [&](const auto& it) {
        const CustomerUsage& other = it.second;
        const double attainable = std::min(other.requested, self.granted);
        return it.first != customer && other.requested <= floodVictimFraction * self.requested
            && other.granted < unmetFraction * other.requested
            && (wasFlooding || unfairRatio * other.granted + minGrantMargin < attainable);
    });
}

void CustomerShares::updateFloods(TimePoint now)
{
    std::map<CustomerId, TimePoint> floods;
    for (const auto& [id, usage] : m_totalUsage) {
        if (!m_isRelayed || !isFlooding(id, usage))
            continue;
        const auto known = m_floods.find(id);
        floods.emplace(id, known == m_floods.end() ? now : known->second);
    }
    m_floods = std::move(floods);
}

void CustomerShares::updateShedCustomers(TimePoint now)
{
    std::map<CustomerId, ShedCustomer> customers;
    for (const auto& [id, usage] : m_totalUsage) {
        if (usage.shed <= usage.granted)
            continue;
        const auto known = m_shedCustomers.find(id);
        ShedCustomer shed { usage, now, usage.granted };
        if (known != m_shedCustomers.end()) {
            shed.since = known->second.since;
            shed.grantedBefore = known->second.grantedBefore;
        }
        customers.emplace(id, shed);
    }
    m_shedCustomers = std::move(customers);
}

double CustomerShares::grantedWhileShed(TimePoint now, const ShedCustomer& customer) const
{
    const auto shedTime = now - customer.since;
    if (shedTime < minShedTime || shedTime >= m_window)
        return customer.usage.granted;
    const double part = std::chrono::duration<double>(shedTime) / std::chrono::duration<double>(m_window);
    // What remains in the window of the time before says nothing about the rate now.
    const double grantedSince = customer.usage.granted - (1 - part) * customer.grantedBefore;
    return std::max(customer.usage.granted, grantedSince / part);
}

std::optional<CustomerShares::ReasonedLimit> CustomerShares::shedLimit(
    TimePoint now, const CustomerId& customer, const CustomerUsage& self) const
{
    const bool isShed = m_shedCustomers.contains(customer);
    std::optional<ReasonedLimit> lowest;
    for (const auto& [id, other] : m_shedCustomers) {
        const double limit = maxGrantRatio * grantedWhileShed(now, other) + minGrantMargin;
        // A customer whose own requests are shed is already held back by its routers.
        const bool isBelow = isShed ? self.granted <= limit : self.requested <= limit;
        const bool isLimiting = id != customer && other.usage.requested + other.usage.shed >= self.granted && !isBelow;
        if (isLimiting && (!lowest || limit < lowest->limit.fleetTokens))
            lowest = ReasonedLimit { { id, limit }, other.since };
    }
    return lowest;
}

std::optional<CustomerShares::ReasonedLimit> CustomerShares::lowestLimit(
    TimePoint now, const CustomerId& customer) const
{
    const auto self = m_totalUsage.find(customer);
    if (self == m_totalUsage.end())
        return std::nullopt;
    std::optional<ReasonedLimit> shed = shedLimit(now, customer, self->second);
    const auto flood = m_floods.find(customer);
    const double floodTokens = floodGrantRatio * m_grantedLevel;
    if (flood == m_floods.end() || (shed && shed->limit.fleetTokens < floodTokens))
        return shed;
    return ReasonedLimit { { {}, floodTokens }, flood->second };
}

double CustomerShares::recentlyRequested(TimePoint now, const CustomerId& customer, Duration time) const
{
    double requested = 0;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && now - it->at < time; ++it)
        requested += it->customer == customer ? it->usage.requested : 0;
    return requested;
}

double CustomerShares::excessGrants(TimePoint now, const CustomerId& customer, Duration time, double perSecond) const
{
    double granted = 0;
    double excess = 0;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && now - it->at < time; ++it) {
        granted += it->customer == customer ? it->usage.granted : 0;
        excess = std::max(excess, granted - perSecond * std::chrono::duration<double>(now - it->at).count());
    }
    return excess;
}

Duration CustomerShares::reportLag(TimePoint now) const
{
    return std::min({ maxReportLag, m_window / 2, oldestReportAge(now).value_or(Duration::zero()) + bucketSpan });
}

double CustomerShares::demandPart(TimePoint now, const CustomerId& customer) const
{
    const Duration lag = reportLag(now);
    const auto local = m_localUsage.find(customer);
    const double requested = local == m_localUsage.end() ? 0 : local->second.requested;
    const double windowFraction
        = std::chrono::duration<double>(m_window - lag) / std::chrono::duration<double>(m_window);
    const double reported = (requested - recentlyRequested(now, customer, lag)) / windowFraction;
    const double others = std::max(0.0, m_totalUsage.at(customer).requested - requested);
    return reported + others > 0 ? reported / (reported + others) : 1;
}

double CustomerShares::allowance(
    TimePoint now, const CustomerId& customer, double tokens, const ReasonedLimit& reasoned)
{
    using Seconds = std::chrono::duration<double>;
    const double fleetTokens = reasoned.limit.fleetTokens;
    const double perSecond = demandPart(now, customer) * fleetTokens / Seconds(m_window).count();
    // What accrues between two requests of the customer at a router, on average.
    const double perRequest = tokens * std::min(1.0, fleetTokens / std::max(m_totalUsage.at(customer).requested, 1.0));
    const auto [it, isNew] = m_allowances.try_emplace(customer);
    Allowance& allowance = it->second;
    if (isNew) {
        const Duration counted = std::min(m_window, now - reasoned.since + reportLag(now));
        // By chance, some of hundreds of routers have granted a request more than their part.
        const double excess = std::max(0.0, excessGrants(now, customer, counted, perSecond) - tokens);
        // If all of them granted one when the limit begins, they would exceed it many times together.
        const double phase = startFraction * perRequest - m_random.fraction() * tokens;
        allowance = { phase - excess, now, 0 };
    }
    allowance.tokens += allowance.perSecond * Seconds(now - allowance.at).count();
    allowance.at = now;
    allowance.perSecond = perSecond;
    // At a router that gets few requests, an allowance must not lapse before the next one.
    const double maxTokens = std::max(perSecond * Seconds(maxAccrualTime).count(), perRequest);
    allowance.tokens = std::min(allowance.tokens, maxTokens);
    return allowance.tokens;
}

std::optional<GrantLimit> CustomerShares::grantLimit(TimePoint now, const CustomerId& customer, double tokens)
{
    const std::optional<ReasonedLimit> lowest = lowestLimit(now, customer);
    if (!lowest) {
        m_allowances.erase(customer);
        return std::nullopt;
    }
    // The aggregate is not compared with the limit: all routers would see it fall below the limit at the same moment
    // and admit too much together.
    GrantLimit limit = lowest->limit;
    limit.allowance = allowance(now, customer, tokens, *lowest);
    limit.isSpent = limit.allowance <= 0;
    return limit;
}

} // namespace sagechute::dispatch
