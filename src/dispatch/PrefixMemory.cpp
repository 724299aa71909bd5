#include "dispatch/PrefixMemory.h"

#include <algorithm>

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

std::vector<quarantine::PartKey> sharedPartsOf(const PromptSize& prompt)
{
    std::vector<quarantine::PartKey> shared;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        if (std::find(shared.begin(), shared.end(), prompt.parts[i].id) == shared.end())
            shared.push_back(prompt.parts[i].id);
    }
    return shared;
}

void PrefixMemory::touch(const std::vector<PrefixKey>& prefixes)
{
    // Longest first, so that the shortest prefix becomes the most recent: an engine cannot use a part without those
    // before it.
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        const auto [found, isNew] = m_entries.try_emplace(it->key);
        if (isNew) {
            m_order.push_front(it->key);
            found->second = { it->tokens, m_order.begin() };
            m_tokens += it->tokens;
        } else {
            m_order.splice(m_order.begin(), m_order, found->second.position);
        }
    }
    evictToCapacity();
}

void PrefixMemory::insertUnshared(std::uint64_t tokens)
{
    const std::uint64_t key = stableHash("unshared", ++m_unsharedCount);
    const auto [found, isNew] = m_entries.try_emplace(key);
    if (!isNew)
        return;
    m_order.push_front(key);
    found->second = { tokens, m_order.begin() };
    m_tokens += tokens;
    evictToCapacity();
}

std::uint32_t PrefixMemory::cachedTokens(const std::vector<PrefixKey>& prefixes) const
{
    std::uint32_t cached = 0;
    for (const PrefixKey& it : prefixes) {
        if (!m_entries.contains(it.key))
            break;
        cached += it.tokens;
    }
    return cached;
}

void PrefixMemory::evictToCapacity()
{
    while ((m_tokens > m_capacity || m_entries.size() > m_maxEntries) && !m_order.empty()) {
        const auto oldest = m_entries.find(m_order.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_order.pop_back();
    }
}

} // namespace sagechute::dispatch
