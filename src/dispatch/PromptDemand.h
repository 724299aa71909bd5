#pragma once

/// @file
/// Demand for shared prompt prefixes, which decides how many engines keep each of them.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Estimates the demand for each shared prefix from the requests of this router.
///
/// Load pattern: hundreds of shared prefixes, each of which one router needs less than once a minute, and a few that a
/// quarter of all callers use for some seconds. Two engines can serve a prefix of the first kind. If every engine that
/// happens to be idle read it too, most of the engines' time would go to prefixes that another engine has cached. A
/// prefix of the second kind needs as many engines as its requests keep busy.
class PromptDemand {
public:
    /// Counts a request. @param prefix key of its longest shared prefix. @param tokens that no other request shares.
    void requested(TimePoint now, std::uint64_t prefix, std::uint32_t tokens);

    /// @return unshared tokens per second of the requests with this prefix, at this router.
    double tokensPerSecond(TimePoint now, std::uint64_t prefix) const;

    std::size_t size() const { return m_entries.size(); }

    /// Long compared with the time between two requests for a prefix that two engines can't serve, and short compared
    /// with a burst.
    static constexpr Duration halfLife = std::chrono::seconds(4);

    /// Above this number of prefixes, those without a request in the last few half-lives are removed; if that is not
    /// enough, new ones aren't counted.
    static constexpr std::size_t maxEntries = 4096;

private:
    struct Entry {
        double tokens = 0; ///< Decayed as of @c at.
        TimePoint at;
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace sagechute::dispatch
