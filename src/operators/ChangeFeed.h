#pragma once

#include <sagechute/Config.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::operators {

/// An accepted change as watches see it.
struct FeedEvent {
    LogOffset offset = 0;
    config::Kind kind = config::Kind::Customer;
    std::string name;
    bool deleted = false;
    std::string data; ///< The event's JSON document, without line breaks.
};

/// A part of the feed.
struct FeedSlice {
    std::vector<FeedEvent> events;
    LogOffset upTo = 0; ///< Every event up to this offset is in this slice or before it.
};

/// The latest accepted changes in order of the log, bounded in bytes. It is rebuilt from the log by every API process,
/// so that a watch can go on at any of them.
class ChangeFeed {
public:
    explicit ChangeFeed(std::size_t mostBytes)
        : m_mostBytes(mostBytes)
    {
    }

    /// Adds a change; offsets grow.
    void add(FeedEvent);

    /// Every record up to @p offset has been looked at, whether it held a change or not.
    void advanceTo(LogOffset offset) { m_end = std::max(m_end, offset); }

    /// Starts anew after a snapshot: what lies at or below @p offset is not known in order.
    void restartAt(LogOffset offset);

    /// @param from the last offset that the reader has seen.
    /// @param kind only events of this kind.
    /// @return the next events, or nullopt when some after @p from are no longer held: the reader has to list again.
    std::optional<FeedSlice> after(LogOffset from, std::optional<config::Kind> kind, std::size_t most) const;

    LogOffset floor() const { return m_floor; }
    LogOffset end() const { return m_end; }

private:
    const std::size_t m_mostBytes;
    std::deque<FeedEvent> m_events;
    std::size_t m_bytes = 0;
    LogOffset m_floor = 0; ///< Events after this offset are held.
    LogOffset m_end = 0;
};

} // namespace sagechute::operators
