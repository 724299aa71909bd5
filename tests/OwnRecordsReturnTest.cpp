// Tests of what a router writes again when the store returns from a copy: its announcement, releases and crash records.

#include "../apps/sagechute-edge/CrashJournal.h"
#include "../apps/sagechute-edge/RouterDiscovery.h"

#include <CrashRecords.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

#include <unistd.h>

using namespace sagechute;
using namespace sagechute::edge;
using namespace std::chrono_literals;
using quarantine::CrashRecord;
using quarantine::Standing;

namespace {

constexpr quarantine::RequestKey crashing = 7;
constexpr quarantine::PartKey crashingPart = 9;

/// Well above the retry delay, the interval of searches and the spread of announcements.
constexpr Duration patience = 8s;

template <typename Condition> bool comesTrue(Condition&& condition)
{
    for (const TimePoint end = steadyNow() + patience; steadyNow() < end; std::this_thread::sleep_for(10ms)) {
        if (condition())
            return true;
    }
    return condition();
}

/// The crash topic and the announcements of a store that can return from a copy. Thread-safe.
class ReturningStore {
public:
    struct Copy {
        std::vector<platform::Record> log;
        std::vector<news::RouterAnnouncement> announcements;
    };

    Copy copy() const
    {
        std::lock_guard lock(m_mutex);
        return m_content;
    }

    void returnFrom(Copy copy)
    {
        std::lock_guard lock(m_mutex);
        m_content = std::move(copy);
        ++m_era;
    }

    news::StoreEra era() const
    {
        std::lock_guard lock(m_mutex);
        return m_era;
    }

    std::size_t appended() const
    {
        std::lock_guard lock(m_mutex);
        return m_appended;
    }

    void append(std::vector<platform::Record> records)
    {
        std::lock_guard lock(m_mutex);
        m_appended += records.size();
        m_content.log.insert(m_content.log.end(), records.begin(), records.end());
    }

    void announce(const news::RouterAnnouncement& it)
    {
        std::lock_guard lock(m_mutex);
        m_content.announcements.push_back(it);
    }

    absl::StatusOr<news::CrashNews> read(std::optional<news::LogPosition> from) const
    {
        std::lock_guard lock(m_mutex);
        const std::vector<platform::Record>& log = m_content.log;
        if (from && (from->era < m_era || from->offset > log.size()))
            return makeError(ErrorKind::RetentionExceeded, "gone", "read again");
        news::CrashNews found;
        found.next = { log.size(), m_era };
        if (from) {
            for (std::size_t i = from->offset; i < log.size(); ++i)
                platform::decodeCrash(log[i], found);
            return found;
        }
        std::map<std::string, platform::Record> newest;
        for (const platform::Record& it : log)
            newest[it.key] = it;
        for (const auto& [key, record] : newest) {
            if (record.value)
                platform::decodeCrash(record, found);
        }
        return found;
    }

private:
    mutable std::mutex m_mutex;
    Copy m_content;
    news::StoreEra m_era = 1;
    std::size_t m_appended = 0;
};

/// One router's connection to the store.
class StoreConnection final : public news::FleetStore {
public:
    explicit StoreConnection(ReturningStore& store)
        : m_store(store)
    {
    }

    absl::StatusOr<news::ConfigNews> readConfig() override { return unavailable(); }
    absl::StatusOr<news::ConfigNews> followConfig(news::LogPosition, std::chrono::milliseconds) override
    {
        return unavailable();
    }
    absl::StatusOr<dispatch::FleetConfig> decodeConfig(const std::string&) const override { return unavailable(); }
    absl::StatusOr<news::TargetNews> readTargets() override { return unavailable(); }
    absl::StatusOr<news::TargetNews> followTargets(news::LogPosition, std::chrono::milliseconds) override
    {
        return unavailable();
    }

    absl::Status announce(const news::RouterAnnouncement& announcement) override
    {
        m_era = m_store.era();
        m_store.announce(announcement);
        return absl::OkStatus();
    }

    absl::StatusOr<std::vector<news::RouterAnnouncement>> announcements() override
    {
        m_era = m_store.era();
        return m_store.copy().announcements;
    }

    absl::StatusOr<news::CrashNews> readCrashes() override
    {
        m_era = m_store.era();
        return m_store.read(std::nullopt);
    }

    absl::StatusOr<news::CrashNews> followCrashes(news::LogPosition from, std::chrono::milliseconds) override
    {
        std::this_thread::sleep_for(10ms);
        m_era = m_store.era();
        return m_store.read(from);
    }

    absl::Status writeCrashes(const std::vector<CrashRecord>& requests, const std::vector<CrashRecord>& parts) override
    {
        m_store.append(platform::encodeCrashes(requests, parts));
        m_era = m_store.era();
        return absl::OkStatus();
    }

    absl::Status writeQuarantined(
        const std::vector<quarantine::CrashCase>& requests, const std::vector<quarantine::CrashCase>& parts) override
    {
        m_store.append(platform::encodeQuarantined(requests, parts));
        m_era = m_store.era();
        return absl::OkStatus();
    }

    std::uint64_t calls() const override { return 0; }
    news::StoreEra era() const override { return m_era; }

private:
    static absl::Status unavailable()
    {
        return makeError(ErrorKind::LogUnavailable, "not simulated", "use another call");
    }

    ReturningStore& m_store;
    std::atomic<news::StoreEra> m_era { 0 };
};

Options makeOptions()
{
    Options options;
    options.vm = "vm";
    options.zone = "z";
    // An address of this process alone.
    options.address = "127.88." + std::to_string(getpid() >> 8 & 0xFF) + "." + std::to_string(getpid() & 0xFF);
    options.portRange = { "7400", "7415" };
    return options;
}

/// A router without others.
struct Router {
    explicit Router(ReturningStore& store)
        : connection(store)
    {
    }

    void learn(const std::vector<CrashRecord>& requests, const std::vector<CrashRecord>& parts = {})
    {
        state.withDispatcher([&](dispatch::Dispatcher& it) {
            it.crashes().learn(steadyNow(), requests);
            it.crashes().parts().learn(steadyNow(), parts);
        });
    }

    bool isQuarantined()
    {
        return state.withDispatcher([](dispatch::Dispatcher& it) {
            return it.crashes().standing(steadyNow(), crashing) == Standing::Quarantined;
        });
    }

    bool isPartQuarantined()
    {
        return state.withDispatcher([](dispatch::Dispatcher& it) {
            const auto cases = it.crashes().parts().cases();
            return std::any_of(
                cases.begin(), cases.end(), [](const quarantine::CrashCase& it) { return it.isPartQuarantined(); });
        });
    }

    Options options = makeOptions();
    EdgeState state { options.dispatchSettings(), options.newsTimes(), { options.vm }, { options.zone }, 1, false };
    PeerInbox inbox;
    std::unique_ptr<Fleet> fleet = *Fleet::make(state, inbox, options, generateIncarnation());
    StoreConnection connection;
    process::Metrics metrics;
    EdgeMetrics edgeMetrics { metrics };
};

std::vector<CrashRecord> exits(quarantine::SubjectKey subject, unsigned count, bool isCleared, bool isConfirmed = false)
{
    std::vector<CrashRecord> records;
    for (unsigned i = 1; i <= count; ++i)
        records.push_back({ subject, i, isCleared, isConfirmed });
    return records;
}

/// @return whether a router that starts now, and reads the store only, quarantines the request.
bool isQuarantinedIn(const ReturningStore& store)
{
    quarantine::CrashGuard guard;
    guard.learn(TimePoint { 100s }, store.read(std::nullopt)->records);
    return guard.standing(TimePoint { 100s }, crashing) == Standing::Quarantined;
}

/// @return whether the newest records of the store quarantine the part.
bool isPartQuarantinedIn(const ReturningStore& store)
{
    quarantine::PartGuard guard;
    guard.learn(TimePoint { 100s }, store.read(std::nullopt)->parts.records);
    const auto cases = guard.cases();
    return std::any_of(
        cases.begin(), cases.end(), [](const quarantine::CrashCase& it) { return it.isPartQuarantined(); });
}

std::size_t exitsIn(const ReturningStore& store) { return store.read(std::nullopt)->records.size(); }

} // namespace

// Guards against a router that starts after the store's return and finds no other, as their announcements are lost.
TEST_CASE("a router announces itself again, once, after a return of the store that lost its announcement")
{
    ReturningStore store;
    Router router(store);
    RouterDiscovery discovery(router.state, *router.fleet, router.connection, router.edgeMetrics);
    const ReturningStore::Copy empty = store.copy();
    discovery.start();
    REQUIRE(comesTrue([&] { return !store.copy().announcements.empty(); }));
    // The first answer names the era: the announcement may be repeated once.
    std::this_thread::sleep_for(4s);
    const std::size_t before = store.copy().announcements.size();
    CHECK(before <= 2);
    store.returnFrom(empty);
    CHECK(comesTrue([&] { return !store.copy().announcements.empty(); }));
    std::this_thread::sleep_for(4s);
    CHECK(store.copy().announcements.size() == 1);
}

// Guards against a quarantine that an operator has released and that is back in force at each router that starts later.
TEST_CASE("releases that the store lost by its return are written again")
{
    ReturningStore store;
    Router router(store);
    CrashJournal journal(router.state, *router.fleet, router.connection, router.options);
    router.learn(exits(crashing, 3, false), exits(crashingPart, 5, false, true));
    journal.start();
    REQUIRE(comesTrue([&] { return isQuarantinedIn(store) && isPartQuarantinedIn(store); }));
    const ReturningStore::Copy quarantined = store.copy();
    std::atomic<int> released { 0 };
    const auto onEnd = [&](const absl::Status& status) { released += status.ok() ? 1 : 0; };
    REQUIRE(journal.release(CrashJournal::SubjectKind::Request, crashing, onEnd));
    REQUIRE(journal.release(CrashJournal::SubjectKind::Part, crashingPart, onEnd));
    REQUIRE(comesTrue([&] { return released == 2; }));
    REQUIRE_FALSE(isQuarantinedIn(store));
    REQUIRE_FALSE(isPartQuarantinedIn(store));
    store.returnFrom(quarantined);
    CHECK(isQuarantinedIn(store));
    CHECK(comesTrue([&] { return !isQuarantinedIn(store) && !isPartQuarantinedIn(store); }));
    CHECK_FALSE(router.isQuarantined());
    CHECK_FALSE(router.isPartQuarantined());
}

// Guards against a release that is lost with the router that wrote it, though other routers know it.
TEST_CASE("a quarantine that the store still has after its release by a lost router is released again")
{
    ReturningStore store;
    std::vector<quarantine::CrashCase> requests { { crashing, { 1, 2, 3 } } };
    std::vector<quarantine::CrashCase> parts { { crashingPart, { 1, 2, 3, 4, 5 }, 5 } };
    store.append(platform::encodeQuarantined(requests, parts));
    REQUIRE(isQuarantinedIn(store));
    REQUIRE(isPartQuarantinedIn(store));
    Router router(store);
    router.learn(exits(crashing, 3, true), exits(crashingPart, 5, true, true));
    CrashJournal journal(router.state, *router.fleet, router.connection, router.options);
    journal.start();
    CHECK(comesTrue([&] { return !isQuarantinedIn(store) && !isPartQuarantinedIn(store); }));
    CHECK_FALSE(router.isQuarantined());
    CHECK_FALSE(router.isPartQuarantined());
}

// Guards against exits that are counted anew after the store's return, so that more targets end under the request.
TEST_CASE("crash records that the store lost by its return are written again, and no others twice")
{
    ReturningStore store;
    Router router(store);
    CrashJournal journal(router.state, *router.fleet, router.connection, router.options);
    journal.start();
    REQUIRE(comesTrue([&] { return router.connection.era() == 1; }));
    const ReturningStore::Copy empty = store.copy();
    journal.write(exits(crashing, 2, false), {});
    REQUIRE(comesTrue([&] { return exitsIn(store) == 2; }));
    std::this_thread::sleep_for(500ms);
    CHECK(store.appended() == 2);
    store.returnFrom(empty);
    CHECK(comesTrue([&] { return exitsIn(store) == 2; }));
    std::this_thread::sleep_for(500ms);
    CHECK(store.appended() == 4);
}

// Guards against an exit that is written again by one router after another router's release of the request.
TEST_CASE("a crash record that was cleared since is written again as cleared")
{
    ReturningStore store;
    Router router(store);
    CrashJournal journal(router.state, *router.fleet, router.connection, router.options);
    journal.start();
    REQUIRE(comesTrue([&] { return router.connection.era() == 1; }));
    const ReturningStore::Copy empty = store.copy();
    journal.write(exits(crashing, 3, false), {});
    REQUIRE(comesTrue([&] { return exitsIn(store) == 3; }));
    router.learn(exits(crashing, 3, true));
    store.returnFrom(empty);
    CHECK(comesTrue([&] { return exitsIn(store) == 3; }));
    CHECK_FALSE(isQuarantinedIn(store));
}

// Guards against a quarantine that the store lost and that a router which starts later does not know.
TEST_CASE("a quarantine that the store lost by its return is written again")
{
    ReturningStore store;
    Router router(store);
    CrashJournal journal(router.state, *router.fleet, router.connection, router.options);
    const ReturningStore::Copy empty = store.copy();
    router.learn(exits(crashing, 3, false), exits(crashingPart, 5, false, true));
    journal.start();
    REQUIRE(comesTrue([&] { return isQuarantinedIn(store) && isPartQuarantinedIn(store); }));
    store.returnFrom(empty);
    CHECK_FALSE(isQuarantinedIn(store));
    CHECK(comesTrue([&] { return isQuarantinedIn(store) && isPartQuarantinedIn(store); }));
}
