#include "LogReader.h"

namespace sagechute::router {

namespace {

    /// Two reads fit well into the four seconds for which a successful read counts as fresh.
    constexpr std::chrono::milliseconds longPoll { 1500 };
    constexpr Duration retryDelay = std::chrono::milliseconds(250);
    constexpr Duration stopCheck = std::chrono::milliseconds(20);

    /// One read on a kept-alive connection: request line and headers, and TCP/IP headers of the request and two
    /// acknowledgements.
    constexpr std::uint64_t requestBytes = 260;
    /// Status line, headers and TCP/IP headers of the answer.
    constexpr std::uint64_t answerOverhead = 260;

    std::uint64_t bytesOf(const config::LogBatch& batch)
    {
        std::uint64_t bytes = answerOverhead;
        for (const config::LogRecord& it : batch.records)
            bytes += it.data.size() + 32;
        return bytes;
    }

} // namespace

LogReader::LogReader(config::LogPort& log, Inbox& inbox)
    : m_log(log)
    , m_inbox(inbox)
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
    if (!m_snapshotTried)
        readSnapshot();
    const TimePoint startedAt = steadyNow();
    m_sent.fetch_add(requestBytes);
    const LogOffset from = m_next.load(std::memory_order_relaxed);
    const absl::StatusOr<config::LogBatch> batch = m_log.read(config::configStream, from, longPoll);
    if (batch.ok() && batch->first <= from) {
        m_received.fetch_add(bytesOf(*batch));
        m_inbox.push(routing::LogRead { startedAt, batch->records });
        // The core tells its next offset only after it has applied these; reading before would bring the same records
        // again.
        while (!batch->records.empty() && m_next.load(std::memory_order_relaxed) <= from && !m_stopped.load())
            pause(std::chrono::milliseconds(1));
        return;
    }
    // Records that this router lacks are gone. Taking the answer for a fresh one would leave it at its old
    // configuration for good.
    m_snapshotTried = m_snapshotTried && !batch.ok();
    m_inbox.push(routing::LogReadFailed {});
    pause(retryDelay);
}

// Without a snapshot a reader that starts after the first records expired could never begin.
void LogReader::readSnapshot()
{
    const auto reader = config::ConfigReplica::make();
    const auto found = config::newestSnapshot(m_log, *reader);
    m_sent.fetch_add(requestBytes);
    m_snapshotTried = found.ok();
    if (!found.ok() || !*found)
        return;
    m_received.fetch_add(answerOverhead + (*found)->text.size());
    const LogOffset covers = (*found)->covers;
    m_inbox.push(routing::LogSnapshotRead { (*found)->text });
    while (m_next.load(std::memory_order_relaxed) <= covers && !m_stopped.load())
        pause(std::chrono::milliseconds(1));
}

void LogReader::pause(Duration most)
{
    const TimePoint end = steadyNow() + most;
    while (!m_stopped.load() && steadyNow() < end)
        std::this_thread::sleep_for(std::min(stopCheck, most));
}

} // namespace sagechute::router
