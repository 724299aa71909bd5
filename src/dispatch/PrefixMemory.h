#pragma once

/// @file
/// Model of an engine's prompt prefix cache.

#include <sagechute/Dispatch.h>

#include <limits>
#include <list>

namespace sagechute::dispatch {

/// Estimates the prefixes that an engine has cached, as an LRU cache of the engine's size. Updated with the placements
/// of all routers; the engine's own reports are late and incomplete and would give a worse estimate.
class PrefixMemory {
public:
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }

    /// Limits the prefixes that are remembered, whatever their sizes: prompts state these themselves, also as 0.
    void setMaxEntries(std::size_t entries) { m_maxEntries = entries; }

    /// The engine has been sent a prompt with these prefixes, shortest first.
    void touch(const std::vector<PrefixKey>&);

    /// The engine has been sent this many tokens that no other request will share.
    void insertUnshared(std::uint64_t tokens);

    /// @return tokens of the longest cached prefix.
    std::uint32_t cachedTokens(const std::vector<PrefixKey>&) const;

    std::uint64_t tokens() const { return m_tokens; }
    std::size_t entries() const { return m_entries.size(); }

private:
    void evictToCapacity();

    struct Entry {
        std::uint64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    std::uint64_t m_capacity = 0;
    std::size_t m_maxEntries = std::numeric_limits<std::size_t>::max();
    std::uint64_t m_tokens = 0;
    std::uint64_t m_unsharedCount = 0; ///< Makes the keys of unshared entries unique; they belong to no prompt.
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_order; ///< Most recently used first.
};

} // namespace sagechute::dispatch
