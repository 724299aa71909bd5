// Tests the division of cold targets' rates among routers (src/dispatch/ColdAllowance.h).

#include "dispatch/ColdAllowance.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>

using namespace sagechute;
using namespace sagechute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr double rate = 8.4;
constexpr double overage = 1.5;
constexpr double slack = 5;

/// Routers that all have more requests for one cold target than they may send.
class Fleet {
public:
    explicit Fleet(unsigned n)
    {
        for (unsigned i = 0; i < n; ++i)
            add();
    }

    void add()
    {
        m_names.push_back({ "vm-" + std::to_string(m_names.size()) });
        m_allowances.push_back(std::make_unique<ColdAllowance>(m_names.back()));
    }
    void restart(unsigned router) { m_allowances[router] = std::make_unique<ColdAllowance>(m_names[router]); }

    /// Lets the time pass. @param hears whether a router hears another one.
    void run(Duration duration, const std::function<bool(unsigned, unsigned)>& hears)
    {
        constexpr Duration step = 50ms;
        constexpr Duration tellInterval = 1s;
        for (const TimePoint end = m_now + duration; m_now < end; m_now += step) {
            for (unsigned i = 0; i < m_allowances.size(); ++i) {
                if ((m_now - start) % tellInterval == Duration::zero())
                    tell(i, hears);
                while (m_allowances[i]->take(m_now, { "cold" }, coldSlotCount(rate, overage, slack)))
                    count();
            }
        }
    }
    void run(Duration duration)
    {
        run(duration, [](unsigned, unsigned) { return true; });
    }

    /// @return the largest number of requests in any one second so far.
    std::size_t peak() const { return m_peak; }
    std::size_t total() const { return m_total; }

private:
    void tell(unsigned router, const std::function<bool(unsigned, unsigned)>& hears)
    {
        std::vector<VmId> heard;
        for (unsigned i = 0; i < m_names.size(); ++i) {
            if (i != router && hears(router, i))
                heard.push_back(m_names[i]);
        }
        m_allowances[router]->setRouters(m_now, heard, {});
    }

    void count()
    {
        ++m_total;
        m_sent.push_back(m_now);
        while (m_now - m_sent.front() > 1s)
            m_sent.pop_front();
        m_peak = std::max(m_peak, m_sent.size());
    }

    TimePoint m_now = start;
    std::vector<VmId> m_names;
    std::vector<std::unique_ptr<ColdAllowance>> m_allowances;
    std::deque<TimePoint> m_sent; ///< In the last second.
    std::size_t m_peak = 0;
    std::size_t m_total = 0;
};

const double bound = rate * overage + slack;

} // namespace

// Guards against a slot count whose double, for two views of the membership, exceeds the bound.
TEST_CASE("twice the slots of a target stay within the bound")
{
    CHECK(coldSlotCount(8.4, 1.5, 5) == 8);
    CHECK(coldSlotCount(0.2, 1.5, 5) == 1);
    CHECK(coldSlotCount(100, 1.5, 5) == 77);
    CHECK(coldSlotCount(100, 1, 0) == 50);
    CHECK(coldSlotCount(1e300, 1.5, 5) == 1000);
}

// Guards against a sum over many routers above the bound, and against a division that leaves most of the rate unused.
TEST_CASE("routers that hear each other use most of the rate and never more than the bound")
{
    const unsigned n = GENERATE(6U, 67U, 370U);
    Fleet fleet(n);
    fleet.run(ColdAllowance::settlingTime);
    CHECK(fleet.total() == 0);
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.peak()) <= bound);
    CHECK(static_cast<double>(fleet.total()) >= 0.4 * rate * 10);
}

// Guards against routers that join and use slots which others, who have not heard of them yet, use as well.
TEST_CASE("the sum stays within the bound while routers join")
{
    const unsigned n = GENERATE(6U, 67U, 370U);
    Fleet fleet(n);
    fleet.run(5s);
    for (unsigned i = 0; i < 5; ++i) {
        fleet.add();
        // Half of the routers hear of each new one at once, the others two seconds later.
        fleet.run(2s, [&](unsigned self, unsigned other) { return other < n + i || self >= n || self % 2 == 0; });
    }
    fleet.run(5s);
    CHECK(static_cast<double>(fleet.peak()) <= bound);
}

// Guards against restarted routers that know of nobody and each use all slots.
TEST_CASE("the sum stays within the bound when half of the routers restart at once")
{
    const unsigned n = GENERATE(6U, 67U, 370U);
    Fleet fleet(n);
    fleet.run(5s);
    for (unsigned i = 0; i < n; i += 2)
        fleet.restart(i);
    const bool areNoticed = GENERATE(true, false);
    // A restarted router hears from nobody for a second; the others may or may not notice that it was away.
    fleet.run(1s, [&](unsigned self, unsigned other) { return self % 2 == 1 && (other % 2 == 1 || !areNoticed); });
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.peak()) <= bound);
    CHECK(static_cast<double>(fleet.total()) >= 0.4 * rate * 5);
}

// Guards against groups that each take themselves for the whole fleet, also after the others have been forgotten.
TEST_CASE("groups that cannot hear each other stay within the bound together")
{
    const unsigned n = GENERATE(6U, 67U, 370U);
    const unsigned groups = GENERATE(2U, 3U);
    Fleet fleet(n);
    fleet.run(5s);
    const auto isSameGroup = [&](unsigned self, unsigned other) { return self * groups / n == other * groups / n; };
    fleet.run(ColdAllowance::memberTtl + 10s, isSameGroup);
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.peak()) <= bound);
}

// Guards against a lone router that uses slots of others, and against slots that stay lost with the router.
TEST_CASE("routers that hear nobody use no slots, and the others take theirs over")
{
    const unsigned n = GENERATE(6U, 67U, 370U);
    Fleet fleet(n);
    fleet.run(5s);
    const auto areTwoAlone = [](unsigned self, unsigned other) { return self > 1 && other > 1; };
    fleet.run(ColdAllowance::memberTtl + 2s, areTwoAlone);
    const std::size_t before = fleet.total();
    fleet.run(10s, areTwoAlone);
    CHECK(static_cast<double>(fleet.total() - before) >= 0.8 * rate * 10);
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.peak()) <= bound);

    ColdAllowance alone({ "vm-0" });
    std::vector<VmId> others;
    for (unsigned i = 1; i < n; ++i)
        others.push_back({ "vm-" + std::to_string(i) });
    alone.setRouters(start, others, {});
    CHECK(alone.nextFree(start + 5s, { "cold" }, 1000));
    alone.setRouters(start + 5s, {}, {});
    CHECK_FALSE(alone.nextFree(start + 5s, { "cold" }, 1000));
    alone.setRouters(start + 10min, {}, {});
    CHECK_FALSE(alone.nextFree(start + 10min, { "cold" }, 1000));
}

// Guards against an orderly reduction of the fleet that looks like a partition.
TEST_CASE("routers that left in order don't count for the majority")
{
    ColdAllowance allowance({ "a" });
    allowance.setRouters(start, { { "b" }, { "c" }, { "d" } }, {});
    allowance.setRouters(start + 4s, { { "b" } }, { { "c" }, { "d" } });
    CHECK(allowance.nextFree(start + 4s, { "cold" }, 100) == start + 4s);
    CHECK(allowance.take(start + 4s, { "cold" }, 100));
    allowance.setRouters(start + 5s, {}, { { "b" } });
    CHECK(allowance.ownSlots(start + 5s, { "cold" }, 100) == 100);
}

// Guards against a slot that is used twice within a second, and a wrong retry time for the refused caller.
TEST_CASE("a used slot is free again after its period")
{
    ColdAllowance allowance({ "a" });
    CHECK_FALSE(allowance.nextFree(start, { "cold" }, 1));
    allowance.setRouters(start, {}, {});
    CHECK(allowance.nextFree(start, { "cold" }, 1) == start + ColdAllowance::settlingTime);
    CHECK(allowance.take(start + 4s, { "cold" }, 1));
    CHECK_FALSE(allowance.take(start + 5s, { "cold" }, 1));
    CHECK(allowance.nextFree(start + 5s, { "cold" }, 1) == start + 4s + ColdAllowance::slotPeriod);
    CHECK(allowance.take(start + 4s + ColdAllowance::slotPeriod, { "cold" }, 1));
}
