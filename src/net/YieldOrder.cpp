#include "net/YieldOrder.h"

#include "net/ServerConnection.h"

namespace sagechute::net {

namespace {

    /// A body that takes no longer than this to arrive is left alone, so that uploads in progress end.
    constexpr Duration slowBodyAfter = std::chrono::seconds(2);

    /// A caller that reads slowly keeps its connection for so long between two bytes.
    constexpr Duration stuckAfter = std::chrono::seconds(5);

} // namespace

void YieldOrder::add(Place& place, ServerConnection& connection, TimePoint now)
{
    place.since = now;
    place.it = line(place.standing).insert(line(place.standing).end(), &connection);
}

void YieldOrder::move(Place& place, Standing standing, TimePoint now)
{
    if (place.standing != standing)
        renew(place, standing, now);
}

void YieldOrder::renew(Place& place, Standing standing, TimePoint now)
{
    line(standing).splice(line(standing).end(), line(place.standing), place.it);
    place.standing = standing;
    place.since = now;
}

void YieldOrder::remove(Place& place) { line(place.standing).erase(place.it); }

ServerConnection* YieldOrder::first(Standing standing) const
{
    const Line& line = m_lines[static_cast<std::size_t>(standing)];
    return line.empty() ? nullptr : line.front();
}

ServerConnection* YieldOrder::oldestOf(std::initializer_list<Standing> standings) const
{
    ServerConnection* oldest = nullptr;
    for (const Standing it : standings) {
        ServerConnection* const candidate = first(it);
        if (candidate && (!oldest || candidate->place().since < oldest->place().since))
            oldest = candidate;
    }
    return oldest;
}

ServerConnection* YieldOrder::firstToLeave(TimePoint now) const
{
    if (ServerConnection* it = first(Standing::Lingering))
        return it;
    if (ServerConnection* it
        = oldestOf({ Standing::Silent, Standing::InHead, Standing::InBody, Standing::InDroppedBody }))
        return it;
    if (ServerConnection* it = first(Standing::Kept))
        return it;
    ServerConnection* const stuck = firstStuck(now);
    return stuck && now - stuck->place().since > stuckAfter ? stuck : nullptr;
}

ServerConnection* YieldOrder::firstInRequest(TimePoint) const
{
    return oldestOf({ Standing::InHead, Standing::InBody, Standing::InDroppedBody });
}

ServerConnection* YieldOrder::firstWithSlowBody(TimePoint now) const
{
    ServerConnection* const slow = first(Standing::InBody);
    return slow && now - slow->place().since > slowBodyAfter ? slow : nullptr;
}

ServerConnection* YieldOrder::firstStuck(TimePoint) const { return first(Standing::Stuck); }

} // namespace sagechute::net
