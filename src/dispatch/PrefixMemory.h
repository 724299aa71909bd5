#pragma once

/// @file
/// What one engine is believed to keep of prompts.

#include <sagechute/Dispatch.h>

#include <list>

namespace sagechute::dispatch {

/// Least recently used prefixes within the engine's memory. It is told what any router sent; the engine itself reports
/// late and with gaps, so that this is the better guess.
class PrefixMemory {
public:
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }

    /// The engine has been sent these prefixes, in order.
    void touch(const std::vector<PrefixKey>&);

    /// The engine has been sent so many tokens that nobody else will ask for.
    void takeUnshared(std::uint64_t tokens);

    /// @return tokens of the leading prefixes that are kept.
    std::uint32_t keptTokens(const std::vector<PrefixKey>&) const;

    std::uint64_t tokens() const { return m_tokens; }

private:
    void shrink();

    struct Entry {
        std::uint64_t tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };

    std::uint64_t m_capacity = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_unshared = 0; ///< Counts such entries: their keys are no prompt's.
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_order; ///< The most recent first.
};

} // namespace sagechute::dispatch
