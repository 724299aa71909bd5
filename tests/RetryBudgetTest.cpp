#include <sagechute/Delivery.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace sagechute;
using namespace sagechute::delivery;

TEST_CASE("Retries stay within the burst and the fraction of first attempts, per customer and over all")
{
    // Symptom: a failing target gets several times its usual load just as it fails.
    // Sequence: all attempts of a few customers fail for a long time, each asking for retries at once.
    // Cause: retries aren't bounded by the first attempts that earned them.
    const RetrySettings settings { .budgetFraction = 0.25, .burst = 3, .burstOverAll = 5 };
    REQUIRE(rc::check("retries are bounded", [&](const std::vector<std::uint8_t>& steps) {
        const auto budget = RetryBudget::make(settings);
        SeededRandom random(7);
        std::map<int, double> room;
        double roomOverAll = settings.burstOverAll;
        for (const int customer : { 0, 1, 2 })
            room[customer] = settings.burst;
        for (const std::uint8_t step : steps) {
            const int customer = step % 3;
            const CustomerId id { std::to_string(customer) };
            if (step & 0x40) {
                budget->firstAttempt(id);
                room[customer] = std::min(settings.burst, room[customer] + settings.budgetFraction);
                roomOverAll = std::min(settings.burstOverAll, roomOverAll + settings.budgetFraction);
                continue;
            }
            const bool expected = room[customer] >= 1 && roomOverAll >= 1;
            RC_ASSERT(budget->takeRetry(id, 1, random).has_value() == expected);
            if (expected) {
                room[customer] -= 1;
                roomOverAll -= 1;
            }
        }
    }));
}

TEST_CASE("The delay doubles up to its bound, is jittered, and ends with the attempts")
{
    const RetrySettings settings { .burst = 1000,
        .burstOverAll = 1000,
        .backoffLeast = std::chrono::milliseconds(20),
        .backoffMost = std::chrono::milliseconds(100),
        .attemptsMost = 6 };
    const auto budget = RetryBudget::make(settings);
    SeededRandom random(11);
    const CustomerId customer { "kokura-bank" };
    const std::vector<int> ceilingMs { 20, 40, 80, 100, 100 };
    for (unsigned attempts = 1; attempts <= ceilingMs.size(); ++attempts) {
        const Duration ceiling = std::chrono::milliseconds(ceilingMs[attempts - 1]);
        Duration least = Duration::max();
        Duration most = Duration::zero();
        for (int n = 0; n < 50; ++n) {
            const auto delay = budget->takeRetry(customer, attempts, random);
            REQUIRE(delay);
            least = std::min(least, *delay);
            most = std::max(most, *delay);
        }
        CHECK(least >= ceiling / 2);
        CHECK(most <= ceiling);
        CHECK(most - least > ceiling / 4);
    }
    CHECK_FALSE(budget->takeRetry(customer, settings.attemptsMost, random));
}
