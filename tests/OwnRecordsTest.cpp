// Tests of which of its records a router counts as lost when the store returns from a copy.

#include "../apps/sagechute-edge/OwnRecords.h"
#include "../apps/sagechute-edge/Options.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;
using quarantine::CrashRecord;

namespace {

constexpr TimePoint start { 100s };
using Records = std::vector<CrashRecord>;

} // namespace

// Guards against releases that are written again before the exits that they clear.
TEST_CASE("records of older eras are lost, in the order in which they were written")
{
    WrittenRecords written;
    const CrashRecord exit { 7, 1 };
    const CrashRecord release { 7, 1, true };
    written.add(start, 1, { exit });
    written.add(start + 1s, 1, { release });
    written.add(start + 2s, 2, { { 8, 1 } });
    CHECK(written.takeLost(1).empty());
    CHECK(written.takeLost(2) == Records { exit, release });
    CHECK(written.takeLost(2).empty());
    CHECK(written.takeLost(3) == Records { { 8, 1 } });
}

// Guards against a release that is forgotten during a long outage of the store, before it returns from a copy.
TEST_CASE("records are kept until the store is known not to have returned for as long as a copy can be old")
{
    WrittenRecords written;
    written.add(start, 1, { { 7, 1, true } });
    written.add(start + 1s, 1, { { 8, 1, true } });
    written.forgetOld(start + news::maxCopyAge);
    written.forgetOld(start + news::maxCopyAge + 500ms);
    CHECK(written.takeLost(2) == Records { { 8, 1, true } });
}

// Guards against memory that grows with the exits, and against a release that a flood of exits pushes out.
TEST_CASE("the records kept are bounded, and those that clear exits are dropped last")
{
    WrittenRecords written;
    const CrashRecord release { 7, 1, true };
    written.add(start, 1, { release });
    for (quarantine::TargetKey i = 1; i <= 2 * maxPendingRecords; ++i)
        written.add(start, 1, { { 8, i } });
    const Records lost = written.takeLost(2);
    CHECK(lost.size() == maxPendingRecords);
    CHECK(lost.front() == release);
    CHECK(lost.back() == CrashRecord { 8, 2 * maxPendingRecords });
    std::deque<CrashRecord> cleared(maxPendingRecords + 2, release);
    dropExcess(cleared);
    CHECK(cleared.size() == maxPendingRecords);
}

// Guards against a fleet that calls the store at one moment when it returns, and against repeated announcements.
TEST_CASE("routers announce themselves once in an era, those of a fleet at different times")
{
    std::set<Duration> delays;
    for (unsigned i = 0; i < 12; ++i) {
        AnnouncementSchedule schedule({ "vm-" + std::to_string(i) });
        CHECK(schedule.isDue(start, 1));
        CHECK(schedule.isDue(start, 1)); // Not accepted by the store.
        schedule.announced(1);
        CHECK_FALSE(schedule.isDue(start + 1h, 1));
        CHECK_FALSE(schedule.isDue(start + 1h, 0));
        Duration delay {};
        while (!schedule.isDue(start + delay, 2))
            delay += 1ms;
        CHECK(delay < 2s);
        delays.insert(delay);
        schedule.announced(2);
        CHECK_FALSE(schedule.isDue(start + 1h, 2));
    }
    CHECK(delays.size() > 8);
}

// Guards against a router that writes nothing again, as others read the store for it and it makes no calls.
TEST_CASE("a router learns of the store's return from other routers' news as well")
{
    struct SilentStore final : news::FleetStore {
        absl::StatusOr<news::ConfigNews> readConfig() override { return absl::UnavailableError(""); }
        absl::StatusOr<news::ConfigNews> followConfig(news::LogPosition, std::chrono::milliseconds) override
        {
            return absl::UnavailableError("");
        }
        absl::StatusOr<dispatch::FleetConfig> decodeConfig(const std::string&) const override
        {
            return absl::UnavailableError("");
        }
        absl::StatusOr<news::TargetNews> readTargets() override { return absl::UnavailableError(""); }
        absl::StatusOr<news::TargetNews> followTargets(news::LogPosition, std::chrono::milliseconds) override
        {
            return absl::UnavailableError("");
        }
        absl::Status announce(const news::RouterAnnouncement&) override { return absl::UnavailableError(""); }
        absl::StatusOr<std::vector<news::RouterAnnouncement>> announcements() override
        {
            return absl::UnavailableError("");
        }
        absl::StatusOr<news::CrashNews> readCrashes() override { return absl::UnavailableError(""); }
        absl::StatusOr<news::CrashNews> followCrashes(news::LogPosition, std::chrono::milliseconds) override
        {
            return absl::UnavailableError("");
        }
        absl::Status writeCrashes(const Records&, const Records&) override { return absl::UnavailableError(""); }
        absl::Status writeQuarantined(
            const std::vector<quarantine::CrashCase>&, const std::vector<quarantine::CrashCase>&) override
        {
            return absl::UnavailableError("");
        }
        std::uint64_t calls() const override { return 0; }
        news::StoreEra era() const override { return answeredIn; }
        news::StoreEra answeredIn = 0;
    } store;
    EdgeState state({}, news::NewsTimes::make(2s, false), { "vm" }, { "z" }, 1, true);
    CHECK(knownStoreEra(state.knowledge(), store) == 0);
    state.updateTargets([](news::TargetRoster& it) { it.known({ 5, 3 }, unsuspendedNow()); });
    CHECK(knownStoreEra(state.knowledge(), store) == 3);
    state.installOperatorNews(unsuspendedNow(), { std::nullopt, {}, true, { 5, 4 } }, std::nullopt);
    CHECK(knownStoreEra(state.knowledge(), store) == 4);
    store.answeredIn = 5;
    CHECK(knownStoreEra(state.knowledge(), store) == 5);
}
