#include "operators/ChangeFeed.h"

#include <algorithm>

namespace sagechute::operators {
namespace {

    std::size_t sizeOf(const FeedEvent& event) { return sizeof(FeedEvent) + event.name.size() + event.data.size(); }

} // namespace

void ChangeFeed::add(FeedEvent event)
{
    advanceTo(event.offset);
    m_bytes += sizeOf(event);
    m_events.push_back(std::move(event));
    while (m_bytes > m_mostBytes) {
        m_floor = m_events.front().offset;
        m_bytes -= sizeOf(m_events.front());
        m_events.pop_front();
    }
}

void ChangeFeed::restartAt(LogOffset offset)
{
    m_events.clear();
    m_bytes = 0;
    m_floor = offset;
    m_end = offset;
}

std::optional<FeedSlice> ChangeFeed::after(LogOffset from, std::optional<config::Kind> kind, std::size_t most) const
{
    if (from < m_floor)
        return std::nullopt;
    FeedSlice slice;
    slice.upTo = std::max(from, m_end);
    const auto isSeen = [](LogOffset offset, const FeedEvent& event) { return offset < event.offset; };
    for (auto it = std::upper_bound(m_events.begin(), m_events.end(), from, isSeen); it != m_events.end(); ++it) {
        if (kind && it->kind != *kind)
            continue;
        if (slice.events.size() == most) {
            slice.upTo = slice.events.back().offset;
            break;
        }
        slice.events.push_back(*it);
    }
    return slice;
}

} // namespace sagechute::operators
