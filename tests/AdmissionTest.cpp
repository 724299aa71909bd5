#include <sagechute/Delivery.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace sagechute;
using namespace sagechute::delivery;

TEST_CASE("Each bound of admission refuses with its own kind and counts nothing in")
{
    // Symptom: a customer at one bound loses room at another, until nothing is admitted any more.
    // Sequence: a request passes the first bounds and is refused at a later one.
    // Cause: the counts taken at the first bounds aren't given back.
    const AdmissionLimits limits { .maxOpen = 3, .maxQueued = 2, .maxQueuedBytes = 100 };
    AdmissionCounters counters;

    CHECK(errorKind(counters.enter(limits, 101)) == ErrorKind::TooLarge);
    REQUIRE(counters.enter(limits, 60).ok());
    CHECK(errorKind(counters.enter(limits, 41)) == ErrorKind::QueueFull);
    REQUIRE(counters.enter(limits, 40).ok());
    const absl::Status full = counters.enter(limits, 0);
    CHECK(errorKind(full) == ErrorKind::QueueFull);
    CHECK_FALSE(errorRemedy(full).empty());
    counters.leaveQueue(60);
    REQUIRE(counters.enter(limits, 60).ok());
    counters.leaveQueue(60);
    CHECK(errorKind(counters.enter(limits, 0)) == ErrorKind::TooManyRequests);

    CHECK(counters.open() == 3);
    CHECK(counters.queued() == 1);
    CHECK(counters.queuedBytes() == 40);
}

TEST_CASE("A leave too many doesn't wrap the counts around")
{
    // Symptom: a customer is refused for ever with "too many requests" although it has none open.
    // Sequence: a connection's end is reported twice.
    // Cause: a count of 0 wraps around to the largest number.
    AdmissionCounters counters;
    counters.leave(10, true);
    CHECK(counters.open() == 0);
    CHECK(counters.queued() == 0);
    CHECK(counters.queuedBytes() == 0);
    CHECK(counters.enter({}, 10).ok());
}

TEST_CASE("Threads that enter and leave at once never pass a bound and leave all counts at zero")
{
    // Symptom: a customer's open count creeps up, or passes its bound, on a busy router.
    // Sequence: several threads enter and leave at the same moment, most of them at the bound.
    // Cause: a count is read, compared and written in separate steps.
    const AdmissionLimits limits { .maxOpen = 3, .maxQueued = 2, .maxQueuedBytes = 150 };
    constexpr int kThreads = 4;
    constexpr int kRounds = 20000;
    AdmissionCounters counters;
    std::atomic<int> inside { 0 };
    std::atomic<int> admitted { 0 };
    std::atomic<bool> exceeded { false };
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
        threads.emplace_back([&, thread] {
            for (int round = 0; round < kRounds; ++round) {
                const std::uint64_t bytes = 20 + static_cast<std::uint64_t>(thread + round) % 70;
                if (!counters.enter(limits, bytes).ok())
                    continue;
                const bool tooMany = inside.fetch_add(1) + 1 > static_cast<int>(limits.maxOpen);
                if (tooMany || counters.queuedBytes() > limits.maxQueuedBytes)
                    exceeded = true;
                ++admitted;
                const bool waiting = round % 2 == 0;
                if (!waiting)
                    counters.leaveQueue(bytes);
                inside.fetch_sub(1);
                counters.leave(bytes, waiting);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK_FALSE(exceeded);
    CHECK(admitted > 0);
    CHECK(counters.open() == 0);
    CHECK(counters.queued() == 0);
    CHECK(counters.queuedBytes() == 0);
}
