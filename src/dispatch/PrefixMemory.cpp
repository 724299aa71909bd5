#include "dispatch/PrefixMemory.h"

namespace sagechute::dispatch {

std::vector<PrefixKey> prefixesOf(const std::vector<PromptPart>& parts)
{
    std::vector<PrefixKey> result;
    std::uint64_t key = 0;
    for (const PromptPart& it : parts) {
        const std::uint64_t id = it.id;
        key = stableHash({ reinterpret_cast<const char*>(&id), sizeof(id) }, key);
        result.push_back({ key, it.tokens });
    }
    return result;
}

void PrefixMemory::touch(const std::vector<PrefixKey>& prefixes)
{
    // Backwards, so that the leading one is the most recent: an engine can't use a part whose predecessor has gone.
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        const auto [found, isNew] = m_entries.try_emplace(it->key);
        if (isNew) {
            m_order.push_front(it->key);
            found->second = { it->tokens, m_order.begin() };
            m_tokens += it->tokens;
        } else {
            m_order.splice(m_order.begin(), m_order, found->second.place);
        }
    }
    shrink();
}

void PrefixMemory::takeUnshared(std::uint64_t tokens)
{
    const std::uint64_t key = stableHash("unshared", ++m_unshared);
    const auto [found, isNew] = m_entries.try_emplace(key);
    if (!isNew)
        return;
    m_order.push_front(key);
    found->second = { tokens, m_order.begin() };
    m_tokens += tokens;
    shrink();
}

std::uint32_t PrefixMemory::keptTokens(const std::vector<PrefixKey>& prefixes) const
{
    std::uint32_t kept = 0;
    for (const PrefixKey& it : prefixes) {
        if (!m_entries.contains(it.key))
            break;
        kept += it.tokens;
    }
    return kept;
}

void PrefixMemory::shrink()
{
    while (m_tokens > m_capacity && !m_order.empty()) {
        const auto oldest = m_entries.find(m_order.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_order.pop_back();
    }
}

} // namespace sagechute::dispatch
