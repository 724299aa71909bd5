#pragma once

/// @file
/// Reads the configuration stream on a dedicated thread.

#include "EventQueue.h"

#include <sagechute/Config.h>
#include <sagechute/Peer.h>

#include <atomic>
#include <thread>

namespace sagechute::router {

/// Long-polls the log and forwards records to the core thread, which is the only one that applies them.
class LogReader {
public:
    /// @p log and @p eventQueue must outlive the reader.
    LogReader(config::LogPort& log, EventQueue& eventQueue);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    /// Sets the next offset to read: the first that the core has not applied.
    void setNextOffset(LogOffset next) { m_nextOffset.store(next, std::memory_order_relaxed); }

    /// Stops and joins the thread after the read in progress.
    void stop();

    /// @return bytes sent and received, including an estimate of HTTP and TCP/IP headers.
    peer::ByteCount bytes() const { return { m_sent.load(), m_received.load() }; }

private:
    void run();
    void readOnce();
    void readSnapshot();
    void sleepUnlessStopped(Duration);

    config::LogPort& m_log;
    EventQueue& m_eventQueue;
    std::atomic<LogOffset> m_nextOffset { 1 };
    std::atomic<bool> m_stopped { false };
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_received { 0 };
    bool m_snapshotChecked = false;
    std::thread m_thread;
};

} // namespace sagechute::router
