#include "CrashJournal.h"

#include <sagechute/Process.h>

namespace sagechute::edge {

namespace {

    constexpr Duration writeInterval = std::chrono::milliseconds(50);
    constexpr Duration pollInterval = std::chrono::milliseconds(250);

    /// After a failed call to the store.
    constexpr Duration retryDelay = std::chrono::seconds(1);

    /// Longest time the store may hold a read without news; new records are returned at once.
    constexpr std::chrono::milliseconds longPollTimeout { 5000 };

    /// From the operator's call to its answer. Long enough for a hung write (1.2 s), the retry delay and another write.
    constexpr std::chrono::milliseconds releaseTimeout { 3500 };

    /// Releases by hand are rare; more at a time are rejected.
    constexpr std::size_t maxPendingReleases = 64;

} // namespace

CrashJournal::CrashJournal(EdgeState& state, Fleet& fleet, news::FleetStore& store, const Options& options)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_times(options.newsTimes())
{
}

CrashJournal::~CrashJournal()
{
    m_sleeper.stop();
    for (std::thread& it : m_threads)
        it.join();
}

void CrashJournal::start()
{
    m_threads.emplace_back([this] { runWriter(); });
    m_threads.emplace_back([this] { runReader(); });
}

void CrashJournal::Subjects::add(const Records& records)
{
    pendingRecords.insert(pendingRecords.end(), records.begin(), records.end());
    dropExcess(pendingRecords);
}

void CrashJournal::Subjects::prepend(const Records& records)
{
    pendingRecords.insert(pendingRecords.begin(), records.begin(), records.end());
    dropExcess(pendingRecords);
}

void CrashJournal::Subjects::markWritten(TimePoint now, news::StoreEra era, const Records& records)
{
    writtenRecords.add(now, era, records);
    for (const quarantine::CrashRecord& it : records) {
        if (it.isCleared)
            storedQuarantines.erase(it.subject);
        if (!pendingRecords.empty() && pendingRecords.front() == it)
            pendingRecords.pop_front();
    }
}

void CrashJournal::Subjects::markWritten(const Cases& cases)
{
    for (const quarantine::CrashCase& it : cases)
        storedQuarantines.insert(it.subject);
}

void CrashJournal::Subjects::apply(const news::SubjectCrashNews& update)
{
    storedQuarantines.insert(update.quarantined.begin(), update.quarantined.end());
    for (const quarantine::SubjectKey it : update.released)
        storedQuarantines.erase(it);
}

void CrashJournal::write(
    const std::vector<quarantine::CrashRecord>& requests, const std::vector<quarantine::CrashRecord>& parts)
{
    std::lock_guard lock(m_mutex);
    m_requests.add(requests);
    m_parts.add(parts);
}

bool CrashJournal::release(SubjectKind kind, quarantine::SubjectKey subject, ReleaseHandler onEnd)
{
    Release release { kind, {}, steadyNow() + releaseTimeout, std::move(onEnd) };
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        release.records = kind == SubjectKind::Part ? it.crashes().parts().releaseRecords(subject)
                                                    : it.crashes().releaseRecords(subject);
    });
    if (release.records.empty())
        return false;
    {
        std::lock_guard lock(m_mutex);
        if (m_releases.size() < maxPendingReleases) {
            m_releases.emplace(++m_lastReleaseId, std::move(release));
            return true;
        }
    }
    release.onEnd(makeError(ErrorKind::LogUnavailable,
        "release-not-stored: " + std::to_string(maxPendingReleases)
            + " releases, the limit, already wait for the store; nothing was released",
        "repeat it once the store accepts records"));
    return true;
}

void CrashJournal::tick(TimePoint now)
{
    std::vector<Release> failed;
    {
        std::lock_guard lock(m_mutex);
        for (auto it = m_releases.begin(); it != m_releases.end();) {
            if (now < it->second.deadline) {
                ++it;
                continue;
            }
            failed.push_back(std::move(it->second));
            it = m_releases.erase(it);
        }
    }
    for (const Release& it : failed)
        it.onEnd(makeError(ErrorKind::LogUnavailable,
            "release-not-stored: the store did not confirm the release within " + std::to_string(releaseTimeout.count())
                + " ms; it is in force only if the store has accepted the last attempt all the same",
            "repeat it once the store accepts records"));
}

void CrashJournal::runWriter()
{
    Duration delay = writeInterval;
    while (m_sleeper.sleepFor(delay))
        delay = flush() ? writeInterval : retryDelay;
}

void CrashJournal::requeueLost(const news::Knowledge& known, news::StoreEra era)
{
    Records requests;
    Records parts;
    {
        std::lock_guard lock(m_mutex);
        requests = m_requests.writtenRecords.takeLost(era);
        parts = m_parts.writtenRecords.takeLost(era);
        if (known.targetsUntil && known.targetsNext.era >= era) {
            m_requests.writtenRecords.forgetOld(*known.targetsUntil);
            m_parts.writtenRecords.forgetOld(*known.targetsUntil);
        }
    }
    if (requests.empty() && parts.empty())
        return;
    // An exit that another router has cleared since must not be the store's last word on it.
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        requests = it.crashes().newest(std::move(requests));
        parts = it.crashes().parts().newest(std::move(parts));
    });
    process::log(process::LogLevel::Info, "crash-records-written-again",
        { { "era", std::to_string(era) }, { "requests", std::to_string(requests.size()) },
            { "parts", std::to_string(parts.size()) } });
    std::lock_guard lock(m_mutex);
    m_requests.prepend(requests);
    m_parts.prepend(parts);
}

bool CrashJournal::flush()
{
    Records requests;
    Records parts;
    Releases releases;
    std::lock_guard writeLock(m_storeWriteMutex);
    const news::Knowledge known = m_state.knowledge();
    const news::StoreEra era = knownStoreEra(known, m_store);
    requeueLost(known, era);
    {
        std::lock_guard lock(m_mutex);
        requests = m_requests.pending();
        parts = m_parts.pending();
        releases = m_releases;
    }
    // Releases come last, since a later record replaces an earlier one of the same target.
    for (const auto& [id, release] : releases) {
        Records& records = release.kind == SubjectKind::Part ? parts : requests;
        records.insert(records.end(), release.records.begin(), release.records.end());
    }
    if (requests.empty() && parts.empty())
        return true;
    // Writes are idempotent, so that a call without an answer can be repeated.
    if (!m_store.writeCrashes(requests, parts).ok())
        return false;
    applyReleases(releases);
    {
        std::lock_guard lock(m_mutex);
        const TimePoint now = unsuspendedNow();
        m_requests.markWritten(now, era, requests);
        m_parts.markWritten(now, era, parts);
    }
    endReleases(releases);
    return true;
}

void CrashJournal::applyReleases(const Releases& releases)
{
    const TimePoint now = steadyNow();
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        for (const auto& [id, release] : releases) {
            if (release.kind == SubjectKind::Part)
                it.crashes().parts().release(now, release.records);
            else
                it.crashes().release(now, release.records);
        }
    });
}

void CrashJournal::endReleases(const Releases& written)
{
    std::vector<ReleaseHandler> handlers;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [id, release] : written) {
            if (m_releases.erase(id))
                handlers.push_back(release.onEnd);
        }
    }
    for (const ReleaseHandler& it : handlers)
        it(absl::OkStatus());
}

void CrashJournal::runReader()
{
    Duration delay {};
    while (m_sleeper.sleepFor(delay)) {
        delay = pollInterval;
        const bool hasNoPeers = m_fleet.peers(steadyNow()).empty();
        if (!hasNoPeers && !m_fleet.readStanding(m_times).isReader)
            continue;
        if (!pollStore())
            delay = retryDelay;
    }
}

bool CrashJournal::pollStore()
{
    if (m_nextOffset && !writeMissing())
        return false;
    const absl::StatusOr<news::CrashNews> found
        = m_nextOffset ? m_store.followCrashes(*m_nextOffset, longPollTimeout) : m_store.readCrashes();
    if (!found.ok()) {
        if (errorKind(found.status()) == ErrorKind::RetentionExceeded)
            restartFromSnapshot();
        return false;
    }
    m_nextOffset = found->next;
    applyRecords(*found);
    return true;
}

void CrashJournal::restartFromSnapshot()
{
    m_nextOffset.reset();
    std::lock_guard lock(m_mutex);
    m_requests.storedQuarantines.clear();
    m_parts.storedQuarantines.clear();
}

void CrashJournal::applyRecords(const news::CrashNews& update)
{
    Records requests;
    Records parts;
    {
        std::lock_guard lock(m_mutex);
        m_requests.apply(update);
        m_parts.apply(update.parts);
    }
    const TimePoint now = steadyNow();
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        it.crashes().learn(now, update.records);
        it.crashes().parts().learn(now, update.parts.records);
        requests = it.crashes().clearedRecords(update.quarantined);
        parts = it.crashes().parts().clearedRecords(update.parts.quarantined);
    });
    // Released meanwhile: the store returned from a copy of before, or a router that did not know yet wrote it. The
    // router that wrote the release may be lost.
    write(requests, parts);
}

bool CrashJournal::writeMissing()
{
    Cases requests;
    Cases parts;
    std::lock_guard writeLock(m_storeWriteMutex);
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        requests = it.crashes().cases();
        parts = it.crashes().parts().cases();
    });
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(requests, [this](const auto& it) {
            return !it.isQuarantined() || m_requests.storedQuarantines.contains(it.subject);
        });
        std::erase_if(parts, [this](const auto& it) {
            return !it.isPartQuarantined() || m_parts.storedQuarantines.contains(it.subject);
        });
    }
    if (requests.empty() && parts.empty())
        return true;
    if (!m_store.writeQuarantined(requests, parts).ok())
        return false;
    std::lock_guard lock(m_mutex);
    m_requests.markWritten(requests);
    m_parts.markWritten(parts);
    return true;
}

} // namespace sagechute::edge
