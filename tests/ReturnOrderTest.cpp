// Tests of ReturnOrder of src/edge: when callers return that a crowded router has refused.

#include <sagechute/Edge.h>

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
constexpr double rate = 100;
constexpr Duration timeLeft = 9s;
const CustomerId flooding { "flooding" };
constexpr Duration placesEnd = timeLeft / 3 * 3 / 4; ///< Callers without a place return later.

/// @return the most times within @p window of each other.
std::ptrdiff_t mostWithin(std::vector<TimePoint> times, Duration window)
{
    std::sort(times.begin(), times.end());
    std::ptrdiff_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it)
        most = std::max(most, std::lower_bound(it, times.end(), *it + window) - it);
    return most;
}

/// Replays 1,000 callers per second for @p floodTime at a router that admits 100, then 20 per second. Each returns
/// once, every second one at once if @p hasImpatient. @return how many of the flood's callers are served.
unsigned servedOfFlood(Duration floodTime, bool hasImpatient, auto decide)
{
    AdaptiveRateLimiter limiter(0.1, 1000, { .isAdaptive = false });
    REQUIRE(limiter.rate() == Approx(rate));
    std::multimap<TimePoint, TimePoint> callers; // With their first arrival.
    for (Duration at {}; at < floodTime + 5s; at += at < floodTime ? 1ms : 50ms)
        callers.emplace(start + at, start + at);
    unsigned served = 0;
    for (unsigned refused = 0; !callers.empty(); callers.erase(callers.begin())) {
        const auto [now, first] = *callers.begin();
        const bool isAdmitted = limiter.admit(now, flooding);
        served += isAdmitted && first < start + floodTime ? 1 : 0;
        if (const Duration told = isAdmitted || now != first ? 0ms : decide(now); told > 0ms)
            callers.emplace(now + (hasImpatient && ++refused % 2 == 0 ? 1ms : told), first);
    }
    return served;
}

} // namespace

// Guards against callers that all return while the flood still lasts, and a router that is idle right after it.
TEST_CASE("callers refused in a flood return while the router has room for them")
{
    const Duration floodTime = GENERATE(1s, 3s);
    const bool hasImpatient = GENERATE(false, true);
    ReturnOrder order(1);
    const auto decide = [&](TimePoint now) { return order.refuse(now, flooding, timeLeft, rate); };
    const unsigned served = servedOfFlood(floodTime, hasImpatient, decide);
    const unsigned before = servedOfFlood(floodTime, hasImpatient, [](auto) { return ReturnOrder::minRetryAfter; });
    CAPTURE(floodTime.count(), hasImpatient, served, before);
    // After the flood the router is busy until the last honoured time, except for the part kept for new requests.
    CHECK(served >= rate * (1 - ReturnOrder::newRequestShare) * ((floodTime + timeLeft / 3) / 1s));
    CHECK(served > before);
}

// Guards against more callers at one moment than the router admits, also if it admits few or its rate drops.
TEST_CASE("times follow the order of refusals at the admitted rate")
{
    const double rateAfter = GENERATE(100.0, 20.0, 2.0);
    ReturnOrder order(1);
    std::vector<TimePoint> times;
    for (TimePoint now = start; now < start + 600ms; now += 1ms) {
        const Duration told = order.refuse(now, flooding, timeLeft, times.size() < 20 ? rate : rateAfter);
        if (told < placesEnd)
            times.push_back(now + told);
    }
    CHECK(times.front() < start + 200ms); // A router that has restarted begins with the minimum.
    CHECK(std::is_sorted(times.begin(), times.end()));
    REQUIRE(times.size() > 20);
    CHECK(mostWithin({ times.begin() + 20, times.end() }, 1s) <= std::max(1.0, rateAfter));
}

// Guards against times that are not honoured, places that several customers get twice, and places that two floods leave
// unused because 20 quiet customers, each refused once a second, don't need their equal parts.
TEST_CASE("no time is beyond a third of the remaining time, or below the minimum, and each place is given once")
{
    const Duration left = GENERATE(-1000ms, 300ms, 600ms, 1200ms, 100'000ms);
    const Duration most = std::clamp<Duration>(left / 3, 150ms, 10s);
    ReturnOrder order(1);
    std::vector<TimePoint> times;
    for (TimePoint now = start; now < start + 2s; now += 1ms) {
        const auto i = (now - start) / 1ms;
        const Duration told = order.refuse(now, { std::to_string(i % 50 == 0 ? i / 50 % 20 : 20 + i % 2) }, left, rate);
        REQUIRE(told == std::clamp<Duration>(told, 150ms, most));
        if (told < most * 3 / 4)
            times.push_back(now + told);
    }
    CHECK(mostWithin(times, 200ms) <= 0.2 * rate);
    const double unneeded = rate * (1 - ReturnOrder::newRequestShare) - 20;
    CHECK(static_cast<double>(times.size()) >= unneeded * static_cast<double>((most * 3 / 4 - 200ms) / 1ms) / 1000);
}

// Guards against a customer whose callers retry at once and so take the places of others.
TEST_CASE("a flooding customer does not push back a quiet one")
{
    const CustomerId quiet { GENERATE("quiet", "flooding") }; // Deliberate fault: customers are not distinguished.
    const Duration joinsAt = GENERATE(0s, 5s); // After 5 s the flood has filled the order.
    ReturnOrder order(1);
    Duration longest {};
    std::vector<TimePoint> times;
    for (Duration at {}; at < 10s; at += 1ms) {
        if (const Duration told = order.refuse(start + at, flooding, timeLeft, rate); told < placesEnd)
            times.push_back(start + at + told);
        if (at < joinsAt || at % 100ms != 0ms)
            continue;
        times.push_back(start + at + order.refuse(start + at, quiet, timeLeft, rate));
        longest = std::max(longest, times.back() - start - at);
    }
    // Its 10 refusals per second fit into the 12.5 places per second that are left to customers that join.
    CHECK((longest < 400ms) == (quiet != flooding));
    CHECK(mostWithin(times, 1s) <= rate);
}
