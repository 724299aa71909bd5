#include "CrashJournal.h"

#include <sagechute/Process.h>

namespace sagechute::edge {

namespace {

    constexpr Duration writePause = std::chrono::milliseconds(50);
    constexpr Duration readPause = std::chrono::milliseconds(250);

    /// After a call that the store did not answer.
    constexpr Duration retryPause = std::chrono::seconds(1);

    /// How long the store may keep a read; what is new it answers at once.
    constexpr std::chrono::milliseconds readWait { 5000 };

    constexpr std::size_t mostToWrite = 1024;

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
    m_gate.stop();
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
    m_toWrite.insert(m_toWrite.end(), records.begin(), records.end());
    while (m_toWrite.size() > mostToWrite)
        m_toWrite.pop_front();
}

void CrashJournal::runWriter()
{
    Duration pause = writePause;
    while (m_gate.pause(pause))
        pause = flush() ? writePause : retryPause;
}

bool CrashJournal::flush()
{
    std::vector<quarantine::CrashRecord> records;
    {
        std::lock_guard lock(m_mutex);
        records.assign(m_toWrite.begin(), m_toWrite.end());
    }
    if (records.empty())
        return true;
    // Written twice it says the same, so that a call without an answer is made again.
    if (!m_store.writeCrashes(records).ok())
        return false;
    std::lock_guard lock(m_mutex);
    for (const quarantine::CrashRecord& it : records) {
        if (it.isCleared)
            m_written.erase(it.request);
        if (!m_toWrite.empty() && m_toWrite.front() == it)
            m_toWrite.pop_front();
    }
    return true;
}

void CrashJournal::runReader()
{
    Duration pause {};
    while (m_gate.pause(pause)) {
        pause = readPause;
        const bool isAlone = m_fleet.peers(steadyNow()).empty();
        if (!isAlone && !m_fleet.readStanding(m_times).isReader)
            continue;
        if (!follow())
            pause = retryPause;
    }
}

bool CrashJournal::follow()
{
    const std::vector<quarantine::CrashCase> missing = unwritten();
    if (m_next && !missing.empty()) {
        if (!m_store.writeQuarantined(missing).ok())
            return false;
        std::lock_guard lock(m_mutex);
        for (const quarantine::CrashCase& it : missing)
            m_written.insert(it.request);
    }
    const absl::StatusOr<news::CrashNews> found
        = m_next ? m_store.followCrashes(*m_next, readWait) : m_store.readCrashes();
    if (!found.ok()) {
        if (errorKind(found.status()) == ErrorKind::RetentionExceeded)
            readAnew();
        return false;
    }
    m_next = found->next;
    take(*found);
    return true;
}

void CrashJournal::readAnew()
{
    m_next.reset();
    std::lock_guard lock(m_mutex);
    m_written.clear();
}

void CrashJournal::take(const news::CrashNews& news)
{
    {
        std::lock_guard lock(m_mutex);
        m_written.insert(news.quarantined.begin(), news.quarantined.end());
        for (const quarantine::RequestKey it : news.released)
            m_written.erase(it);
    }
    const TimePoint now = steadyNow();
    m_state.withDispatcher([&](dispatch::Dispatcher& it) { it.crashes().learn(now, news.records); });
}

std::vector<quarantine::CrashCase> CrashJournal::unwritten()
{
    std::vector<quarantine::CrashCase> cases
        = m_state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().cases(); });
    std::lock_guard lock(m_mutex);
    std::erase_if(cases, [this](const auto& it) { return !it.isQuarantined() || m_written.contains(it.request); });
    return cases;
}

} // namespace sagechute::edge
