#pragma once

#include <sagechute/Standin.h>

#include <list>

namespace sagechute::standin {

/// A bounded set of prefixes; the least recently used goes first.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t most);

    /// @return how many of @p hashes, from the first without a gap, are cached; these become the most recently used.
    std::size_t lookUp(const std::vector<std::string>& hashes);

    /// Stores all of @p hashes and reports what changed.
    void store(const std::vector<std::string>& hashes, CacheEventFeed&, TimePoint now);

private:
    std::size_t m_most;
    std::list<std::string> m_order; ///< Most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> m_places;
};

/// Load reports that are seen only after a lag.
class LoadHistory {
public:
    explicit LoadHistory(Duration lag);
    void record(const LoadReport&);
    LoadReport report(TimePoint now) const;

private:
    Duration m_lag;
    std::deque<LoadReport> m_reports;
};

} // namespace sagechute::standin
