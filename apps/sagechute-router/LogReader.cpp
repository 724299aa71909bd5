#include "LogReader.h"

namespace sagechute::router {

namespace {

    /// Two long polls fit into the 4 s (default of --freshness) for which a successful read counts as fresh.
    constexpr std::chrono::milliseconds longPoll { 1500 };
    constexpr Duration retryDelay = std::chrono::milliseconds(250);
    constexpr Duration stopCheckInterval = std::chrono::milliseconds(20);

    /// Estimated bytes sent per read on a keep-alive connection: request line, headers, and the TCP/IP headers of the
    /// request and of two ACKs.
    constexpr std::uint64_t requestBytes = 260;
    /// Estimated bytes of the status line, headers and TCP/IP headers of a response.
    constexpr std::uint64_t responseOverheadBytes = 260;

    std::uint64_t wireBytes(const config::LogBatch& batch)
    {
        std::uint64_t bytes = responseOverheadBytes;
        for (const config::LogRecord& it : batch.records)
            bytes += it.data.size() + 32;
        return bytes;
    }

} // namespace

LogReader::LogReader(config::LogPort& log, EventQueue& eventQueue)
    : m_log(log)
    , m_eventQueue(eventQueue)
    , m_thread([this] { run(); })
{
}

LogReader::~LogReader() { stop(); }

void LogReader::stop()
{
    m_stopped.store(true);
    if (m_thread.joinable())
        m_thread.join();
}

void LogReader::run()
{
    while (!m_stopped.load())
        readOnce();
}

void LogReader::readOnce()
{
    if (!m_snapshotChecked)
        readSnapshot();
    const TimePoint startedAt = steadyNow();
    m_sent.fetch_add(requestBytes);
    const LogOffset from = m_nextOffset.load(std::memory_order_relaxed);
    const absl::StatusOr<config::LogBatch> batch = m_log.read(config::configStream, from, longPoll);
    if (batch.ok() && batch->first <= from) {
        m_received.fetch_add(wireBytes(*batch));
        m_eventQueue.push(routing::LogRead { startedAt, batch->records });
        // The core advances the offset only after it has applied these records. A read before that would return the
        // same records again.
        while (!batch->records.empty() && m_nextOffset.load(std::memory_order_relaxed) <= from && !m_stopped.load())
            sleepUnlessStopped(std::chrono::milliseconds(1));
        return;
    }
    // The read failed, or records that this router still needs have expired from the log. Counting the latter as a
    // successful read would keep the router on its old configuration for good, so a snapshot is read first next time.
    m_snapshotChecked = m_snapshotChecked && !batch.ok();
    m_eventQueue.push(routing::LogReadFailed {});
    sleepUnlessStopped(retryDelay);
}

// A router that starts after the first records have expired can only catch up from a snapshot.
void LogReader::readSnapshot()
{
    const auto reader = config::ConfigReplica::make();
    const auto found = config::newestSnapshot(m_log, *reader);
    m_sent.fetch_add(requestBytes);
    m_snapshotChecked = found.ok();
    if (!found.ok() || !*found)
        return;
    m_received.fetch_add(responseOverheadBytes + (*found)->text.size());
    const LogOffset covers = (*found)->covers;
    m_eventQueue.push(routing::LogSnapshotRead { (*found)->text });
    while (m_nextOffset.load(std::memory_order_relaxed) <= covers && !m_stopped.load())
        sleepUnlessStopped(std::chrono::milliseconds(1));
}

void LogReader::sleepUnlessStopped(Duration duration)
{
    const TimePoint end = steadyNow() + duration;
    while (!m_stopped.load() && steadyNow() < end)
        std::this_thread::sleep_for(std::min(stopCheckInterval, duration));
}

} // namespace sagechute::router
