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

    constexpr std::size_t maxPendingRecords = 1024;

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

void CrashJournal::write(const std::vector<quarantine::CrashRecord>& records)
{
    std::lock_guard lock(m_mutex);
    m_pendingRecords.insert(m_pendingRecords.end(), records.begin(), records.end());
    while (m_pendingRecords.size() > maxPendingRecords)
        m_pendingRecords.pop_front();
}

void CrashJournal::runWriter()
{
    Duration delay = writeInterval;
    while (m_sleeper.sleepFor(delay))
        delay = flush() ? writeInterval : retryDelay;
}

bool CrashJournal::flush()
{
    std::vector<quarantine::CrashRecord> records;
    {
        std::lock_guard lock(m_mutex);
        records.assign(m_pendingRecords.begin(), m_pendingRecords.end());
    }
    if (records.empty())
        return true;
    // Writes are idempotent, so that a call without an answer can be repeated.
    if (!m_store.writeCrashes(records).ok())
        return false;
    std::lock_guard lock(m_mutex);
    for (const quarantine::CrashRecord& it : records) {
        if (it.isCleared)
            m_storedQuarantines.erase(it.request);
        if (!m_pendingRecords.empty() && m_pendingRecords.front() == it)
            m_pendingRecords.pop_front();
    }
    return true;
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
    const std::vector<quarantine::CrashCase> missing = missingFromStore();
    if (m_nextOffset && !missing.empty()) {
        if (!m_store.writeQuarantined(missing).ok())
            return false;
        std::lock_guard lock(m_mutex);
        for (const quarantine::CrashCase& it : missing)
            m_storedQuarantines.insert(it.request);
    }
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
    m_storedQuarantines.clear();
}

void CrashJournal::applyRecords(const news::CrashNews& update)
{
    {
        std::lock_guard lock(m_mutex);
        m_storedQuarantines.insert(update.quarantined.begin(), update.quarantined.end());
        for (const quarantine::RequestKey it : update.released)
            m_storedQuarantines.erase(it);
    }
    const TimePoint now = steadyNow();
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.crashes().learn(now, update.records); });
}

std::vector<quarantine::CrashCase> CrashJournal::missingFromStore()
{
    std::vector<quarantine::CrashCase> cases
        = m_state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().cases(); });
    std::lock_guard lock(m_mutex);
    std::erase_if(
        cases, [this](const auto& it) { return !it.isQuarantined() || m_storedQuarantines.contains(it.request); });
    return cases;
}

} // namespace sagechute::edge
