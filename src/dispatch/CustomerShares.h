#pragma once

/// @file
/// Who has had how much of the engines lately, over all routers.

#include <sagechute/Dispatch.h>

#include <deque>

namespace sagechute::dispatch {

/// Max-min shares over a sliding window.
///
/// Load pattern: one customer sends many times its usual. Without shares it fills every engine's queue, and the others'
/// requests come late or are refused though they ask for little. A customer above the level up to which all can be
/// served alike is the first to be turned away; one below it is the last.
class CustomerShares {
public:
    explicit CustomerShares(Duration window)
        : m_window(window)
    {
    }

    void asked(TimePoint now, const CustomerId&, double tokens);
    void granted(TimePoint now, const CustomerId&, double tokens);
    void turnedAway(TimePoint now, const CustomerId&, double tokens);

    /// Replaces what a peer said before.
    void peerUse(TimePoint now, const VmId& peer, const std::map<CustomerId, CustomerUse>&);

    /// @return what this router alone has counted in the window.
    std::map<CustomerId, CustomerUse> own(TimePoint now);

    /// @param capacity tokens that all engines produce in the window.
    /// @return what the customer was granted, as a multiple of the level up to which all can be served alike: above 1
    /// it
    ///         is over its share. 0 while all that is asked for can be served.
    double overShare(TimePoint now, const CustomerId&, double capacity);

    /// Load pattern: a customer's callers all come to one small router, which carries a fraction of what they ask for;
    /// another customer's come to all routers. The engines then have room, and the other one is granted many times as
    /// much, whatever the level is.
    ///
    /// What the others have granted is known late: hundreds of routers that stop only when the sum says so have granted
    /// as much again by then. Of a customer that asks for more than its share each router therefore keeps to its own
    /// part of what that one may have, the part of its requests that came here, as it accrues. None is held below its
    /// share: engines would idle for the sake of a customer that a router's cores hold up.
    /// @param tokens of the request that is to be decided on, which asked() was told of.
    /// @param chance in [0, 1), evenly spread.
    /// @return whether granting it would give the customer far more than another one has that sends as much and is
    /// turned
    ///         away. By the sums of the last overShare().
    bool isFarAboveOthers(TimePoint now, const CustomerId&, double tokens, double chance);

    /// @param n routers in the fleet, this one included.
    void setRouterCount(unsigned n) { m_routers = n; }

private:
    struct Entry {
        TimePoint at;
        CustomerId customer;
        CustomerUse use;
    };

    /// Sums over the entries of a customer; gone with the last of them.
    struct OwnUse : CustomerUse {
        unsigned entries = 0;
        TimePoint since; ///< The first of these entries.
    };

    /// What a customer that is bound by another one's waiting may still have here.
    struct Allowance {
        double tokens = 0; ///< Below zero: it has to wait until they have accrued.
        TimePoint at;
    };

    struct PeerPart {
        TimePoint at;
        std::map<CustomerId, CustomerUse> use;
    };

    void add(TimePoint now, const CustomerId&, CustomerUse);
    void expire(TimePoint now);
    std::map<CustomerId, CustomerUse> total(TimePoint now);
    void noteWaiting();

    /// @return what a customer above its share may have beside those that wait for as much; infinity: none does.
    double limitBesideWaiting() const;

    /// @return whether this router's part of that has accrued; see isFarAboveOthers().
    bool hasAllowance(TimePoint now, const CustomerId&, double tokens, double chance);

    /// @param all what all routers are known to have been asked for by the customer.
    /// @return the part of that which came to this one.
    double ownPart(TimePoint now, const OwnUse& own, const CustomerUse& all) const;

    const Duration m_window;
    unsigned m_routers = 1;
    std::deque<Entry> m_entries;
    std::map<CustomerId, OwnUse> m_own;
    std::map<VmId, PeerPart> m_peers;
    std::map<CustomerId, Allowance> m_allowances;
    std::optional<TimePoint> m_summedAt;
    std::map<CustomerId, CustomerUse> m_sum; ///< Of all routers, at that time.
    double m_level = 0;
    std::vector<CustomerUse>
        m_waiting; ///< Of customers whose requests are mostly turned away for want of routers' cores.
};

/// @return the level L for which the sum of min(asked, L) over all is @p capacity; infinity when all fits.
double maxMinLevel(std::vector<double> asked, double capacity);

} // namespace sagechute::dispatch
