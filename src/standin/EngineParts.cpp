#include "standin/EngineParts.h"

#include <algorithm>

namespace sagechute::standin {
namespace {

    constexpr std::size_t cacheEventsKept = 65536;
    constexpr Duration reportSpacing { 1000 };

} // namespace

CacheEventFeed::CacheEventFeed(Duration lag, std::uint64_t gapEvery)
    : m_lag(lag)
    , m_gapEvery(gapEvery)
{
}

void CacheEventFeed::add(bool stored, const std::string& prefix, TimePoint now)
{
    const std::uint64_t sequence = m_sequence++;
    const bool lost = m_gapEvery > 0 && sequence % m_gapEvery == m_gapEvery - 1;
    if (lost)
        return;
    m_events.push_back({ sequence, stored, prefix, now + m_lag });
    if (m_events.size() > cacheEventsKept)
        m_events.pop_front();
}

std::vector<CacheEvent> CacheEventFeed::read(std::uint64_t from, TimePoint now, std::size_t most) const
{
    const auto begin = std::lower_bound(m_events.begin(), m_events.end(), from,
        [](const CacheEvent& event, std::uint64_t sequence) { return event.sequence < sequence; });
    std::vector<CacheEvent> events;
    for (auto it = begin; it != m_events.end() && it->visibleAt <= now && events.size() < most; ++it)
        events.push_back(*it);
    return events;
}

std::optional<TimePoint> CacheEventFeed::visibleAt(std::uint64_t from) const
{
    const auto it = std::lower_bound(m_events.begin(), m_events.end(), from,
        [](const CacheEvent& event, std::uint64_t sequence) { return event.sequence < sequence; });
    if (it == m_events.end())
        return std::nullopt;
    return it->visibleAt;
}

PrefixCache::PrefixCache(std::size_t most)
    : m_most(most)
{
}

std::size_t PrefixCache::lookUp(const std::vector<std::string>& hashes)
{
    std::size_t cached = 0;
    while (cached < hashes.size() && m_places.contains(hashes[cached]))
        ++cached;
    // From the longest to the shortest: a long prefix is of no use without its shorter ones, so it has to go first.
    for (std::size_t i = cached; i-- > 0;)
        m_order.splice(m_order.begin(), m_order, m_places[hashes[i]]);
    return cached;
}

void PrefixCache::store(const std::vector<std::string>& hashes, CacheEventFeed& feed, TimePoint now)
{
    const std::size_t kept = std::min(hashes.size(), m_most);
    for (std::size_t i = kept; i-- > 0;) {
        const auto [place, added] = m_places.try_emplace(hashes[i]);
        if (added) {
            m_order.push_front(hashes[i]);
            place->second = m_order.begin();
            feed.add(true, hashes[i], now);
        } else {
            m_order.splice(m_order.begin(), m_order, place->second);
        }
    }
    while (m_order.size() > m_most) {
        feed.add(false, m_order.back(), now);
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
}

LoadHistory::LoadHistory(Duration lag)
    : m_lag(lag)
{
}

void LoadHistory::record(const LoadReport& report)
{
    if (!m_reports.empty() && report.at - m_reports.back().at < reportSpacing) {
        m_reports.back().running = report.running;
        m_reports.back().waiting = report.waiting;
        return;
    }
    m_reports.push_back(report);
    while (m_reports.size() > 1 && m_reports[1].at <= report.at - m_lag)
        m_reports.pop_front();
}

LoadReport LoadHistory::report(TimePoint now) const
{
    LoadReport seen;
    for (const LoadReport& it : m_reports) {
        if (it.at > now - m_lag)
            break;
        seen = it;
    }
    seen.at = now - m_lag;
    return seen;
}

} // namespace sagechute::standin
