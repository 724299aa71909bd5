#pragma once

/// @file
/// Reads the configuration stream on a thread of its own.

#include "Inbox.h"

#include <sagechute/Config.h>
#include <sagechute/Peer.h>

#include <atomic>
#include <thread>

namespace sagechute::router {

/// Long-polls the log and hands what it reads to the deciding thread, which alone applies it.
class LogReader {
public:
    /// @param log outlives the reader, as does @p inbox.
    LogReader(config::LogPort& log, Inbox& inbox);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    /// The next offset that the core lacks.
    void setNext(LogOffset next) { m_next.store(next, std::memory_order_relaxed); }

    /// Ends the thread after the read under way.
    void stop();

    /// @return bytes of reads and answers, with an estimate of HTTP and TCP headers.
    peer::ByteCount bytes() const { return { m_sent.load(), m_received.load() }; }

private:
    void run();
    void readOnce();
    void readSnapshot();
    void pause(Duration);

    config::LogPort& m_log;
    Inbox& m_inbox;
    std::atomic<LogOffset> m_next { 1 };
    std::atomic<bool> m_stopped { false };
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_received { 0 };
    bool m_snapshotTried = false;
    std::thread m_thread;
};

} // namespace sagechute::router
