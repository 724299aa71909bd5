// A router with more to do than its cores carry: CrowdMeter and ReadinessGate of src/edge.

#include <sagechute/Edge.h>

#include <catch2/catch.hpp>

#include <deque>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

/// A router's machine under a virtual clock: work waits in line, as in the kernel's queues, and takes its time.
class Machine {
public:
    struct Load {
        double perSecond = 100;
        unsigned pieces = 10; ///< Of each stream, over a second and a half.
        bool isMostlyOne = false; ///< All but one in forty of the requests are one customer's.
    };

    /// @return milliseconds of work that are done in a millisecond.
    using Speed = std::function<double(Duration sinceStart)>;

    /// Work that may be done in each tenth of a second, at full speed; then nothing until the next one begins.
    void setQuota(double ms) { m_quotaMs = ms; }

    struct Seen {
        unsigned asked = 0;
        unsigned taken = 0;
        unsigned smallAsked = 0; ///< Of customers that don't flood.
        unsigned smallTaken = 0;
        Duration longestWait {};
        double busyShare = 0;
    };

    /// @param requestMs work of a request without its stream.
    Machine(CrowdMeter& meter, double requestMs, Speed speed)
        : m_meter(meter)
        , m_requestMs(requestMs)
        , m_speed(std::move(speed))
    {
    }

    /// @return what was seen of the time until @p until, from the end of the last play.
    Seen play(const Load& load, Duration until)
    {
        m_seen = {};
        const Duration from = m_now;
        const Duration busyBefore = m_work.busy;
        for (; m_now < until; m_now += step)
            advance(load);
        using Seconds = std::chrono::duration<double>;
        m_seen.busyShare = Seconds(m_work.busy - busyBefore) / Seconds(until - from);
        return m_seen;
    }

private:
    static constexpr Duration step = 1ms;
    static constexpr double pieceWork = 0.09;
    static constexpr double refusalWork = 0.34;

    struct Item {
        Duration at;
        bool isPiece = false;
        bool isSmall = false;
    };

    void advance(const Load& load)
    {
        m_due += load.perSecond * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; m_due -= 1)
            m_queue.push_back({ m_now, false, !load.isMostlyOne || ++m_serial % 40 == 0 });
        for (; !m_pieces.empty() && *m_pieces.begin() <= m_now; m_pieces.erase(m_pieces.begin()))
            m_queue.push_back({ m_now, true });
        if (m_now % 100ms == 0ms)
            m_leftOfQuota = m_quotaMs;
        const double speed = m_speed(m_now);
        const double available = std::min(speed, m_leftOfQuota);
        double left = available;
        while (left > 0 && (m_left > 0 || !m_queue.empty())) {
            if (m_left <= 0)
                begin(load);
            const double done = std::min(left, m_left);
            left -= done;
            m_left -= done;
        }
        m_leftOfQuota -= available - left;
        const bool hasMore = m_left > 0 || !m_queue.empty();
        m_work.busy += hasMore ? step : std::chrono::duration_cast<Duration>((available - left) / speed * step);
        if (m_now % 100ms == 0ms)
            m_meter.measure(start + m_now, m_work, 10);
    }

    void begin(const Load& load)
    {
        const Item item = m_queue.front();
        m_queue.pop_front();
        m_seen.longestWait = std::max(m_seen.longestWait, m_now - item.at);
        if (item.isPiece) {
            ++m_work.pieces;
            m_left = m_requestMs * pieceWork;
            return;
        }
        const std::string customer = item.isSmall ? "c" + std::to_string(m_small++ % 10) : "flood";
        const bool isTaken = m_meter.takes(start + m_now, { customer });
        m_left = m_requestMs * (isTaken ? 1 : refusalWork);
        ++(isTaken ? m_work.taken : m_work.refused);
        for (unsigned i = 1; isTaken && i <= load.pieces; ++i)
            m_pieces.insert(m_now + 1500ms / load.pieces * i);
        ++m_seen.asked;
        m_seen.taken += isTaken ? 1 : 0;
        m_seen.smallAsked += item.isSmall ? 1 : 0;
        m_seen.smallTaken += item.isSmall && isTaken ? 1 : 0;
    }

    CrowdMeter& m_meter;
    const double m_requestMs;
    const Speed m_speed;
    Duration m_now {};
    double m_due = 0;
    unsigned m_serial = 0;
    unsigned m_small = 0;
    std::deque<Item> m_queue;
    std::multiset<Duration> m_pieces;
    double m_left = 0; ///< Work of what is being done.
    double m_quotaMs = std::numeric_limits<double>::infinity();
    double m_leftOfQuota = 0;
    RouterWork m_work;
    Seen m_seen;
};

} // namespace

// Symptom: a router refuses most of what comes while its core is half idle, or takes all and answers nothing in time.
// Sequence: a customer's callers send several times what one router can carry. Cause: what a request costs was written
// down once, for one machine and one way of carrying requests.
TEST_CASE("a router learns what its machine can carry, takes that and refuses the rest at once")
{
    const double cores = GENERATE(0.12, 0.25, 0.5, 1.0);
    const double requestMs = GENERATE(0.1, 0.4, 1.6);
    const unsigned pieces = GENERATE(0U, 10U, 40U);
    CrowdMeter meter(cores, 1000);
    Machine machine(meter, requestMs, [&](Duration) { return cores; });
    const double capacity = 1000 * cores / (requestMs * (1 + 0.09 * pieces));
    const Machine::Load flood { 2 * capacity, pieces, false };
    machine.play(flood, 6s);
    const Machine::Seen seen = machine.play(flood, 12s);
    INFO("cores " << cores << ", request " << requestMs << " ms, pieces " << pieces);
    CHECK(seen.busyShare > 0.6);
    CHECK(seen.longestWait < 250ms);
    CHECK(meter.usePercent() > 120);
    CHECK(meter.isCrowded());
}

TEST_CASE("at a usual load a router refuses nothing and sends nobody away")
{
    CrowdMeter meter(0.25, 1000);
    Machine machine(meter, 0.4, [](Duration) { return 0.25; });
    const Machine::Seen seen = machine.play({ 60, 10, false }, 20s);
    CHECK(seen.taken == seen.asked);
    CHECK_FALSE(meter.isCrowded());
}

// Symptom: requests pass their deadlines in a router that slowed down, or whose core is taken away for parts of each
// tenth of a second. Cause: it believes in what requests cost before.
TEST_CASE("a router follows a machine that slows down fivefold and recovers, and one that runs by quota")
{
    const auto slowed = [](Duration t) { return t >= 8s && t < 14s ? 0.05 : 0.25; };
    const Machine::Load load { 350, 10, false };
    SECTION("slowed")
    {
        CrowdMeter meter(0.25, 1000);
        Machine machine(meter, 0.2, slowed);
        machine.play(load, 4s);
        const Machine::Seen before = machine.play(load, 8s);
        machine.play(load, 10s);
        const Machine::Seen during = machine.play(load, 14s);
        machine.play(load, 18s);
        const Machine::Seen after = machine.play(load, 22s);
        // Streams that were taken before still have a second's work left.
        CHECK(during.longestWait < 1500ms);
        CHECK(during.taken < before.taken / 3);
        CHECK(after.taken > before.taken * 8 / 10);
    }
    SECTION("by quota")
    {
        CrowdMeter meter(0.25, 1000);
        Machine machine(meter, 0.2, [](Duration) { return 1.0; });
        machine.setQuota(25);
        const Machine::Load flood { 800, 10, false };
        machine.play(flood, 6s);
        const Machine::Seen seen = machine.play(flood, 12s);
        CHECK(seen.longestWait < 500ms);
        CHECK(seen.taken > 6 * 300);
    }
    SECTION("deliberate fault: believes in the old cost")
    {
        CrowdMeter meter(0.25, 1000, { .learns = false });
        Machine machine(meter, 0.2, slowed);
        machine.play(load, 10s);
        CHECK(machine.play(load, 14s).longestWait > 3s);
    }
}

// Symptom: after a quiet hour a router refuses the first requests of a burst. Sequence: nothing but heartbeats and
// readiness checks for long. Cause: their time was taken for the cost of the few requests between them.
TEST_CASE("a quiet time teaches a router nothing wrong")
{
    CrowdMeter meter(0.25, 1000);
    RouterWork work;
    for (int i = 0; i < 36'000; ++i) {
        work.busy += 1ms;
        work.taken += i % 600 == 0 ? 1 : 0;
        meter.measure(start + i * 100ms, work, 5);
    }
    const TimePoint later = start + 3600s;
    unsigned taken = 0;
    for (int i = 0; i < 100; ++i)
        taken += meter.takes(later + i * 5ms, { "c" + std::to_string(i % 10) }) ? 1 : 0;
    CHECK(taken == 100);
}

// Symptom: a router that stands still is told to callers like the others. Few requests come through it any more.
TEST_CASE("a router that is at work all the time is crowded, however few requests come")
{
    CrowdMeter meter(0.12, 1000);
    RouterWork work;
    for (int i = 0; i < 30; ++i) {
        work.busy += 100ms;
        work.pieces += 2;
        meter.measure(start + i * 100ms, work, 10);
    }
    CHECK(meter.isCrowded());
}

TEST_CASE("a router with more connections than it should have is crowded until they have gone")
{
    CrowdMeter meter(0.5, 1000);
    meter.measure(start, {}, 10);
    meter.measure(start + 100ms, {}, 900);
    CHECK(meter.isCrowded());
    meter.measure(start + 200ms, {}, 10);
    CHECK_FALSE(meter.isCrowded());
}

// Symptom: one router of an eighth of a core turns away most of a customer's requests while its neighbours idle.
// Sequence: all of the customer's callers keep to that router, whatever addresses they are told, as long as the
// platform finds it ready. Cause: it said that it was.
TEST_CASE("a router that has far more to do than it can carry, and others not, is not ready for a while")
{
    ReadinessGate gate;
    const auto after = [&](Duration t, std::uint32_t own, std::uint32_t fleet) {
        gate.measure(start + t, own, fleet);
        return gate.isOpen();
    };
    CHECK(after(0ms, 300, 20));
    CHECK(after(500ms, 300, 20));
    SECTION("a burst is over before anybody could move")
    {
        CHECK(after(800ms, 90, 20));
        CHECK(after(1500ms, 300, 20));
    }
    SECTION("it lasts")
    {
        CHECK_FALSE(after(1s, 300, 20));
        CHECK_FALSE(after(2s, 10, 20)); // They have moved; if it came back at once, so would they.
        CHECK_FALSE(after(20s, 10, 20));
        CHECK(after(22s, 10, 20));
        CHECK(after(23s, 300, 20));
        CHECK_FALSE(after(24s, 300, 20));
    }
    SECTION("all have much to do: nobody would have room, and callers would find no router at all")
    {
        CHECK(after(1s, 300, 90));
        CHECK(after(10s, 300, 90));
    }
}

// Symptom: a small customer's requests are refused for six seconds on end, while the largest gets all it can take.
// Sequence: a caller that repeats at once floods the only router of its zone; the router refuses what its cores can't
// carry. Cause: it refused whoever came next, and the flood came next nearly always.
TEST_CASE("a customer that floods a router does not take the others' requests with it")
{
    CrowdMeter meter(0.25, 1000);
    Machine machine(meter, 0.4, [](Duration) { return 0.25; });
    const Machine::Load flood { 400, 10, true };
    machine.play(flood, 3s);
    const Machine::Seen seen = machine.play(flood, 13s);
    CHECK(seen.smallTaken >= seen.smallAsked * 95 / 100);
    CHECK(seen.taken - seen.smallTaken > 1300);
}
