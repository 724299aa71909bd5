#pragma once

/// @file
/// Addressable priority queue: entries can be updated and removed by item.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

namespace sagechute::scheduling {

/// 4-ary min-heap over items numbered from 0, in a flat array. With a thousand items an update touches a few cache
/// lines, whereas a balanced tree touches one per level.
template <typename Key> class IndexedHeap {
public:
    struct Entry {
        Key key {};
        std::uint32_t item = 0;
    };

    bool empty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    bool contains(std::uint32_t item) const { return item < m_positions.size() && m_positions[item] != kNoPosition; }
    const Entry& top() const { return m_entries.front(); }
    const std::vector<Entry>& entries() const { return m_entries; }

    /// Adds an item or changes its key.
    void set(std::uint32_t item, const Key& key)
    {
        if (item >= m_positions.size())
            m_positions.resize(item + 1, kNoPosition);
        if (m_positions[item] == kNoPosition) {
            m_entries.push_back({ key, item });
            siftUp(m_entries.size() - 1);
            return;
        }
        const std::size_t position = m_positions[item];
        const bool isSmaller = key < m_entries[position].key;
        m_entries[position].key = key;
        if (isSmaller)
            siftUp(position);
        else
            siftDown(position);
    }

    void erase(std::uint32_t item)
    {
        const std::size_t position = m_positions[item];
        m_positions[item] = kNoPosition;
        const Entry last = m_entries.back();
        m_entries.pop_back();
        if (position == m_entries.size())
            return;
        m_entries[position] = last;
        siftUp(position);
        siftDown(m_positions[last.item]);
    }

    /// Visits entries in ascending order of their keys until @p visitor returns false. Searches the candidates
    /// linearly, which suits callers that stop after a few entries.
    template <typename Visitor> void visit(const Visitor& visitor) const
    {
        if (m_entries.empty())
            return;
        std::vector<std::size_t> open { 0 };
        while (!open.empty()) {
            std::size_t best = 0;
            for (std::size_t n = 1; n < open.size(); ++n) {
                if (m_entries[open[n]].key < m_entries[open[best]].key)
                    best = n;
            }
            const std::size_t position = open[best];
            if (!visitor(m_entries[position]))
                return;
            open[best] = open.back();
            open.pop_back();
            for (std::size_t n = kChildren * position + 1; n <= kChildren * position + kChildren; ++n) {
                if (n < m_entries.size())
                    open.push_back(n);
            }
        }
    }

private:
    static constexpr std::size_t kChildren = 4;
    static constexpr std::uint32_t kNoPosition = std::numeric_limits<std::uint32_t>::max();

    void place(std::size_t position, const Entry& entry)
    {
        m_entries[position] = entry;
        m_positions[entry.item] = std::uint32_t(position);
    }

    void siftUp(std::size_t position)
    {
        const Entry entry = m_entries[position];
        while (position) {
            const std::size_t parent = (position - 1) / kChildren;
            if (!(entry.key < m_entries[parent].key))
                break;
            place(position, m_entries[parent]);
            position = parent;
        }
        place(position, entry);
    }

    std::size_t smallestChild(std::size_t position) const
    {
        const std::size_t first = kChildren * position + 1;
        const std::size_t end = std::min(first + kChildren, m_entries.size());
        std::size_t best = first;
        for (std::size_t n = first + 1; n < end; ++n) {
            if (m_entries[n].key < m_entries[best].key)
                best = n;
        }
        return best;
    }

    void siftDown(std::size_t position)
    {
        const Entry entry = m_entries[position];
        while (kChildren * position + 1 < m_entries.size()) {
            const std::size_t child = smallestChild(position);
            if (!(m_entries[child].key < entry.key))
                break;
            place(position, m_entries[child]);
            position = child;
        }
        place(position, entry);
    }

    std::vector<Entry> m_entries;
    std::vector<std::uint32_t> m_positions; ///< Position in m_entries, by item.
};

} // namespace sagechute::scheduling
