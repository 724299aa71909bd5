// Tests the estimate of the demand for shared prompt prefixes (src/dispatch).

#include "dispatch/PromptDemand.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

} // namespace

// Guards against too few or too many engines for a prefix that callers begin to use.
TEST_CASE("the demand approaches the rate of requests and decays after them")
{
    PromptDemand demand;
    CHECK(demand.tokensPerSecond(start, 1) == 0);
    TimePoint now = start;
    for (; now < start + 40s; now += 500ms)
        demand.requested(now, 1, 1000);
    CHECK(demand.tokensPerSecond(now, 1) == Approx(2000).epsilon(0.1));
    CHECK(demand.tokensPerSecond(now + PromptDemand::halfLife, 1) == Approx(1000).epsilon(0.1));
    CHECK(demand.tokensPerSecond(now, 2) == 0);
}

// Guards against memory that grows with each prefix that was ever requested, and against a flood of new prefixes that
// displaces the one with high demand.
TEST_CASE("the number of prefixes is bounded, and old ones make room")
{
    PromptDemand demand;
    demand.requested(start, 0, 1000);
    for (std::uint64_t key = 1; key < 3 * PromptDemand::maxEntries; ++key)
        demand.requested(start + 1s, key, 1000);
    CHECK(demand.size() == PromptDemand::maxEntries);
    CHECK(demand.tokensPerSecond(start + 1s, 0) > 0);
    demand.requested(start + 60s, 1'000'000, 1000);
    CHECK(demand.size() == 1);
}
