#include <sagechute/Edge.h>

#include <algorithm>
#include <cmath>

namespace sagechute::edge {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// A customer counts as being refused for this long after a refusal: longer than the shortest retry time, so that
    /// one whose callers return is still counted, and short beside the seconds that a flood lasts.
    constexpr Duration activeTime = std::chrono::seconds(1);

    /// Interval of the recount of these customers, which walks through all of them.
    constexpr Duration recountInterval = std::chrono::milliseconds(250);

    /// Part of the honoured time over which callers without a place are spread, so that they don't return in bursts.
    constexpr double boundJitter = 0.25;

    /// @return the places of a slot. Fractions add up over successive slots, so that a slow router has places, too.
    unsigned placesOf(std::int64_t slot, double perSlot)
    {
        const double index = static_cast<double>(slot);
        return static_cast<unsigned>(std::floor((index + 1) * perSlot) - std::floor(index * perSlot));
    }

    /// @return the decay of an average over activeTime.
    double decay(Duration passed) { return std::exp(-(Seconds(passed) / Seconds(activeTime))); }

} // namespace

Duration ReturnOrder::refuse(TimePoint now, const CustomerId& customer, Duration timeLeft, double rate)
{
    const double places = rate * (1 - newRequestShare);
    Refused& own = count(now, customer, places);
    // Whole milliseconds: rounding for Retry-After then never goes beyond it.
    const Duration honoured = std::chrono::floor<std::chrono::milliseconds>(timeLeft / honouredDivisor);
    const Duration bound = std::clamp(honoured, minRetryAfter, maxRetryAfter);
    const TimePoint earliest = std::max(own.nextPlace, now + minRetryAfter);
    if (const auto place = takePlace(earliest, now + bound, m_active > 1 ? places + rate * joiningShare : places)) {
        const double part = std::min(m_fairPart, places);
        // Counted from the slot's begin, so that the jitter leaves no gaps.
        const TimePoint slotBegin(place->time_since_epoch() / slotWidth * slotWidth);
        own.nextPlace = std::max(earliest, slotBegin) + std::chrono::duration_cast<Duration>(Seconds(1 / part));
        return *place - now;
    }
    const Seconds jittered = Seconds(bound) * (1 - boundJitter * m_random.fraction());
    return std::max(std::chrono::duration_cast<Duration>(jittered), minRetryAfter);
}

ReturnOrder::Refused& ReturnOrder::count(TimePoint now, const CustomerId& customer, double places)
{
    Refused& own = m_customers[customer];
    if (now - own.at > activeTime)
        ++m_active;
    own.recent = own.recent * decay(now - own.at) + 1 / Seconds(activeTime).count();
    own.at = now;
    if (now - m_countedAt > recountInterval)
        recount(now, places);
    return own;
}

void ReturnOrder::recount(TimePoint now, double places)
{
    m_countedAt = now;
    std::erase_if(
        m_customers, [&](const auto& it) { return now - it.second.at > activeTime && it.second.nextPlace <= now; });
    std::vector<double> rates;
    for (const auto& [id, it] : m_customers) {
        if (now - it.at <= activeTime)
            rates.push_back(it.recent * decay(now - it.at));
    }
    m_active = rates.size();
    std::sort(rates.begin(), rates.end());
    // Customers that need less than an equal part leave the rest to the others.
    double left = places;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        m_fairPart = left / static_cast<double>(rates.size() - i);
        if (rates[i] >= m_fairPart)
            break;
        left -= rates[i];
    }
}

std::optional<TimePoint> ReturnOrder::takePlace(TimePoint from, TimePoint until, double rate)
{
    const double perSlot = rate * Seconds(slotWidth).count();
    for (std::int64_t index = from.time_since_epoch() / slotWidth; TimePoint(index * slotWidth) <= until; ++index) {
        const unsigned places = placesOf(index, perSlot);
        Slot& slot = m_slots[static_cast<std::size_t>(index) % slotCount];
        if (slot.index != index)
            slot = { index, 0 };
        if (slot.taken >= places)
            continue;
        // Later refusals get later times also within a slot.
        const TimePoint begin = std::max(from, TimePoint(index * slotWidth));
        const Seconds length = TimePoint((index + 1) * slotWidth) - begin;
        const double position = (slot.taken + m_random.fraction()) / places;
        const TimePoint place = begin + std::chrono::duration_cast<Duration>(length * position);
        if (place > until)
            return std::nullopt;
        ++slot.taken;
        return place;
    }
    return std::nullopt;
}

} // namespace sagechute::edge
