#pragma once

/// @file
/// Fair shares of engine capacity per customer, over all routers.

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// Max-min fair shares over a sliding window.
///
/// Without shares, a customer that sends many times its usual load fills the queues of all engines, and requests of
/// other customers are late or refused although they ask for little. A customer above the level up to which all demand
/// can be served equally is refused first; one below it is refused last.
class CustomerShares {
public:
    /// @param seed differs from router to router.
    explicit CustomerShares(Duration window, std::uint64_t seed = 0)
        : m_window(window)
        , m_random(seed)
    {
    }

    /// @param isRelayed whether reports of other routers come over relays. Only then are floods limited: with reports
    ///        that are exchanged directly, share ratios alone keep a flood below twice of what others get.
    void setRelayed(bool isRelayed) { m_isRelayed = isRelayed; }

    void requested(TimePoint now, const CustomerId&, double tokens);
    void granted(TimePoint now, const CustomerId&, double tokens);
    void shed(TimePoint now, const CustomerId&, double tokens);

    /// Replaces the previous report of the peer. A report counts for the whole window: if it expired earlier, a flood
    /// would seem small when a relay stops sending.
    /// @param age of the oldest report that it contains.
    void setPeerUsage(TimePoint now, const VmId& peer, const std::map<CustomerId, CustomerUsage>&, Duration age = {});

    /// @return usage in the window as counted by this router alone.
    std::map<CustomerId, CustomerUsage> localUsage(TimePoint now);

    /// Compares a customer's granted tokens with the max-min fair level at which all would have been served equally
    /// with the tokens that were granted in total. Granted tokens show the actual capacity, whatever is configured.
    ///
    /// If engines have far more capacity than configured and a flood takes it, all customers are above a level that is
    /// limited to the configured capacity, and the flood, which reaches more routers, is admitted more often than a
    /// customer with much less usage. So a customer below its fair part of the granted total, and far below the
    /// best-served customer, counts as only just over its share.
    /// @param capacity configured tokens of all engines in the window; an upper bound for the level.
    /// @return granted tokens as a multiple of the level: above 1 the customer is over its share. 0 while all demand
    /// can
    ///         be served.
    double shareRatio(TimePoint now, const CustomerId&, double capacity);

    /// Limits a customer that is granted a multiple of what another one gets.
    ///
    /// The first load: the engines have room, but the other customer is refused. This happens when all callers of the
    /// other customer use one small router, which can carry only a fraction of their requests, while this customer's
    /// callers use all routers. The fair level does not show it.
    ///
    /// The second load, in fleets with relays: demand exceeds capacity, one customer floods all routers, and a customer
    /// that requests far less gets less than half as much. By share ratios alone, all routers see the flood fall below
    /// its share at the same time, whenever its last burst leaves the window, and admit the next burst until the
    /// aggregate shows it. The limit then follows the level of what was granted, and it stays until the flood ends or
    /// no such customer has unmet demand.
    ///
    /// Grants made between two aggregates are not known to other routers, and each router admits as if it were the only
    /// one. So each router gets a part of the customer's limit, proportional to its part of the customer's requests.
    /// A customer whose own requests are shed is limited beside another such one only if it was granted more than the
    /// limit.
    ///
    /// A limit counts what is granted from the time on at which the other customer's requests are refused. If it
    /// counted what was granted before, when nobody had to wait, all requests of a customer would be refused for
    /// seconds while others are served.
    /// @param tokens of the request.
    /// @return the limit beside another customer that sends as much and whose requests are shed, or beside an
    ///         underserved one; spent if this router has granted its part. Absent if none holds. Uses the aggregate of
    ///         the last shareRatio().
    std::optional<GrantLimit> grantLimit(TimePoint now, const CustomerId&, double tokens);

    /// @return age of the oldest report in the aggregate; absent if no other router has reported within the window.
    std::optional<Duration> oldestReportAge(TimePoint now) const;

    /// @return the aggregate of the last shareRatio(); the capacity is not set.
    FairShareSnapshot view(TimePoint now) const;

private:
    struct Entry {
        TimePoint at;
        CustomerId customer;
        CustomerUsage usage;
    };

    /// Sums over a customer's entries; removed with the last of them.
    struct LocalUsage : CustomerUsage {
        unsigned entries = 0;
    };

    struct PeerUsage {
        TimePoint at;
        Duration age {}; ///< Age of the oldest report in it, on receipt.
        std::map<CustomerId, CustomerUsage> usage;
    };

    /// Token bucket with what this router may still grant a customer.
    struct Allowance {
        double tokens = 0; ///< Negative after a request larger than the remainder.
        TimePoint at;
        double perSecond = 0;
    };

    /// Customer whose requests are mostly shed because routers lack CPU time.
    struct ShedCustomer {
        CustomerUsage usage;
        TimePoint since; ///< When this router learned of it.
        double grantedBefore = 0; ///< In the window, at that time.
    };

    /// @return tokens that the customer would be granted in a whole window at the rate since its requests are shed.
    double grantedWhileShed(TimePoint now, const ShedCustomer&) const;

    /// Limit and when its reason arose.
    struct ReasonedLimit {
        GrantLimit limit;
        TimePoint since;
    };

    /// @return the lowest limit beside customers whose requests are mostly shed; absent if none of them limits it.
    std::optional<ReasonedLimit> shedLimit(TimePoint now, const CustomerId&, const CustomerUsage&) const;

    /// @return the lowest limit; absent if none holds.
    std::optional<ReasonedLimit> lowestLimit(TimePoint now, const CustomerId&) const;

    /// @return the time before now for which reports of other routers are missing from the aggregate, at most.
    Duration reportLag(TimePoint now) const;

    /// Requests that other routers have not reported yet are not counted here either: while demand grows, the parts of
    /// all routers would add up to more than 1.
    /// @return this router's part of the customer's requests, 0 to 1.
    double demandPart(TimePoint now, const CustomerId&) const;

    /// @param tokens of the request.
    /// @return what is left of this router's part of the limit, in tokens.
    double allowance(TimePoint now, const CustomerId&, double tokens, const ReasonedLimit&);

    /// @return tokens that were requested from this router in that time before now.
    double recentlyRequested(TimePoint now, const CustomerId&, Duration time) const;

    /// @return what this router has granted above the rate in that time before now and did not make up for since.
    double excessGrants(TimePoint now, const CustomerId&, Duration time, double perSecond) const;
    void add(TimePoint now, const CustomerId&, CustomerUsage);
    void expire(TimePoint now);
    std::map<CustomerId, CustomerUsage> totalUsage(TimePoint now);
    void updateShedCustomers(TimePoint now);

    /// @return whether the customer is granted more than twice as much as one that requests far less; once it was,
    ///         whether any such customer has unmet demand.
    bool isFlooding(const CustomerId&, const CustomerUsage&) const;
    void updateFloods(TimePoint now);

    const Duration m_window;
    SeededRandom m_random;
    std::deque<Entry> m_entries;
    std::map<CustomerId, LocalUsage> m_localUsage;
    std::map<VmId, PeerUsage> m_peers;
    std::optional<TimePoint> m_totalUsageAt;
    std::map<CustomerId, CustomerUsage> m_totalUsage; ///< Over all routers, as of m_totalUsageAt.
    double m_level = 0;
    double m_grantedLevel = 0; ///< Fair level of what was granted, without the bound of the configured capacity.
    double m_underservedBelow = 0; ///< A customer that was granted fewer tokens is underserved.
    std::map<CustomerId, ShedCustomer> m_shedCustomers;
    std::map<CustomerId, Allowance> m_allowances;
    bool m_isRelayed = false;
    std::map<CustomerId, TimePoint> m_floods; ///< Customers whose grants are limited because they flood; since when.
};

/// @return the max-min fair level L, for which the sum of min(requested, L) equals @p capacity; infinity if the
///         capacity suffices for all.
double maxMinLevel(std::vector<double> requested, double capacity);

} // namespace sagechute::dispatch
